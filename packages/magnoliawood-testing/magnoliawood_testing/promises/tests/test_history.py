import hypothesis
from hypothesis import strategies

from magnoliawood.programs import message as conversation
from magnoliawood_testing.cluster import deployment as deployments
from magnoliawood_testing.promises import scenario as scenarios
from magnoliawood_testing.standins import reference

STEPS = ('opened', 'sent', 'running', 'answered', 'next sent')


def extend(history, text, max_tokens=40):
    """Return a history with one more turn, as the engine generates it."""
    messages = [*history, conversation.Message('user', text)]
    response = reference.answer_text(messages, max_tokens)
    return [*messages, conversation.Message('assistant', response)]


def tokens_of(history):
    return sum(
        len(message.content.split())
        for message in history
        if message.role == 'assistant'
    )


def check(scenario, name, history):
    assert scenario.history(name) == history
    status = scenario.status(name)
    assert status['tokens_spent'] == tokens_of(history)
    assert status['next_sequence'] == len(history) // 2 + 1


def run_next_turn(scenario, name, history):
    """Run one more turn; check its content, the history and the status."""
    number = len(history) // 2 + 1
    text = f'more {number}'
    response = scenario.turn(name, number, text)
    history = extend(history, text)
    assert response.body['content'] == history[-1].content
    check(scenario, name, history)
    return history


def kill(*nodes):
    for node in nodes:
        node.process.kill()


@hypothesis.settings(
    max_examples=8,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=[
        hypothesis.HealthCheck.function_scoped_fixture,
        hypothesis.HealthCheck.too_slow,
    ],
)
@hypothesis.given(
    step=strategies.sampled_from(STEPS),
    with_sidecar=strategies.booleans(),
)
def test_owner_killed_after_any_step(scenario, step, with_sidecar):
    scenario.heal()
    name = scenario.open()
    victims = [scenario.owner_of(name)]
    history = []
    scenario.set_step(0.03)
    if step != 'opened':
        turn = scenario.start_turn(name, 1, 'hello')
        if step == 'running':
            deployments.wait_until(scenario.busy_engine, 'a running turn')
        elif step != 'sent':
            turn.result()
        if step == 'next sent':
            following = scenario.start_turn(name, 2, 'and then')
    busy = scenario.busy_engine()
    if with_sidecar and busy is not None:
        victims.append(busy)
    kill(*victims)
    scenario.set_step(0.005)
    if step != 'opened':
        history = extend(history, 'hello')
        assert turn.result().body['content'] == history[-1].content
    if step == 'next sent':
        history = extend(history, 'and then')
        assert following.result().body['content'] == history[-1].content
    kept = scenario.history(name)
    assert kept == history
    status = scenario.status(name)
    charged = status['tokens_spent'] - tokens_of(history)
    assert charged in (0, 40) if len(victims) == 2 else charged == 0
    answer = scenario.turn(name, len(history) // 2 + 1, 'last')
    assert answer.body['content'] == extend(history, 'last')[-1].content


def test_owner_and_sidecars_killed_after_a_response_in_an_outage(scenario):
    name = scenario.open()
    history = run_next_turn(scenario, name, [])
    platform = scenario.deployment.platform
    owner = scenario.owner_of(name)
    scenario.deployment.set_faults(platform, outage=True)
    child = scenario.open(f'{name}:helper')
    for _ in range(3):
        history = run_next_turn(scenario, name, history)
    engines = [
        node
        for node in scenario.deployment.sidecars.values()
        if node.name.startswith('engine')
    ]
    kill(owner, *engines)
    for node in engines:
        node.process.start()
    scenario.deployment.set_faults(platform, outage=False)
    check(scenario, name, history)
    assert scenario.status(child)['state'] == 'open'
    run_next_turn(scenario, name, history)


def test_owner_killed_while_the_store_is_slow_and_loses_replies(scenario):
    platform = scenario.deployment.platform
    name = scenario.open()
    scenario.deployment.set_faults(
        platform, delay_seconds=0.3, lost_reply_rate=0.3
    )
    history = []
    for _ in range(3):
        history = run_next_turn(scenario, name, history)
    kill(scenario.owner_of(name))
    history = run_next_turn(scenario, name, history)
    run_next_turn(scenario, name, history)


def test_equal_program_names_of_two_callers_are_separate(scenario):
    name = scenario.open()
    other = scenarios.OTHER_CALLER
    scenario.open(name, other)
    turns = {
        caller: scenario.start_turn(name, 1, f'I am {caller}', caller=caller)
        for caller in (scenarios.CALLER, other)
    }
    kill(scenario.owner_of(name))
    for caller, turn in turns.items():
        history = extend([], f'I am {caller}')
        assert turn.result().body['content'] == history[-1].content
        assert scenario.history(name, caller) == history


def test_lost_turn_is_charged_and_never_over_budget(scenario):
    name = scenario.open(tokens=60)
    scenario.set_step(0.05)
    turn = scenario.start_turn(name, 1, 'hello ' * 50, 40)
    deployments.wait_until(scenario.busy_engine, 'a running turn')
    kill(scenario.owner_of(name), scenario.busy_engine())
    scenario.set_step(0.005)
    response = turn.result()
    status = scenario.status(name)
    assert response.body['tokens'] <= 20
    assert status['tokens_spent'] == 40 + response.body['tokens']
    assert status['tokens_spent'] <= 60


def test_sub_agents_share_one_budget_while_the_owner_is_killed(scenario):
    name = scenario.open(tokens=150)
    children = [scenario.open(f'{name}:{number}') for number in range(6)]
    turns = [
        scenario.start_turn(child, 1, 'hello ' * 20, 40) for child in children
    ]
    kill(scenario.owner_of(name))
    responses = [turn.result() for turn in turns]
    spent = [a.body['tokens'] for a in responses if a.status == 200]
    assert scenario.status(name)['tokens_spent'] == sum(spent) <= 150
    rejection_codes = [a.body['code'] for a in responses if a.status != 200]
    assert set(rejection_codes) <= {'budget_exhausted'}


def test_endless_program_is_stopped_at_its_budget(scenario):
    name = scenario.open(tokens=100, calls=30)
    responses = []
    while not responses or responses[-1].status == 200:
        number = len(responses) + 1
        if number == 3:
            kill(scenario.owner_of(name))
        responses.append(scenario.turn(name, number, f'again {number}'))
    assert responses[-1].body['code'] == 'budget_exhausted'
    assert scenario.status(name)['tokens_spent'] <= 100
