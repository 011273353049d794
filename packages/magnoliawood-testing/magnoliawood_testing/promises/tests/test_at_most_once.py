import random
import signal
import time

import pytest

from magnoliawood_testing.cluster import deployment as deployments


def slow_down(scenario, seconds):
    for node in scenario.services():
        scenario.deployment.set_faults(node, delay_seconds=seconds)


def wait_for_witness(scenario):
    """Wait until a sidecar of the service has accepted a call."""
    sidecars = [scenario.sidecar_of(node.name) for node in scenario.services()]

    def accepted():
        waiting = {
            node.name: scenario.deployment.metric(node, 'waiting_calls')
            for node in sidecars
        }
        return [name for name, count in waiting.items() if count]

    deployments.wait_until(accepted, 'an accepted booking')
    name = accepted()[0]
    return scenario.deployment.sidecars[name]


def check(scenario, name, sequence, answer):
    """Compare the verdict with the services' own counts."""
    runs = scenario.runs(name, sequence)
    assert runs <= 1, (runs, answer)
    assert answer.false_verdicts == 0, answer
    if answer.verdict == 'ran':
        assert runs == 1
    else:
        assert answer.verdict == 'may_have_run'
    again = scenario.book(name, sequence)
    assert again.verdict == answer.verdict
    assert scenario.runs(name, sequence) == runs
    following = scenario.book(name, sequence + 1)
    assert following.verdict == 'ran'
    assert scenario.runs(name, sequence + 1) == 1


def test_lost_reply_is_not_sent_again(scenario):
    name = scenario.open()
    for node in scenario.services():
        scenario.deployment.set_faults(node, lost_replies=1)
    answer = scenario.book(name, 1)
    for node in scenario.services():
        scenario.deployment.set_faults(node, lost_replies=0)
    check(scenario, name, 1, answer)
    assert answer.verdict == 'may_have_run'


def test_owner_killed_after_its_order(scenario):
    name = scenario.open()
    slow_down(scenario, 3.0)
    booking = scenario.start_booking(name, 1)
    wait_for_witness(scenario)
    scenario.owner_of(name).process.kill()
    slow_down(scenario, 0.005)
    answer = booking.result()
    assert answer.verdict == 'ran'
    check(scenario, name, 1, answer)


@pytest.mark.parametrize('seed', range(3))
def test_owner_killed_at_any_moment(scenario, seed):
    chance = random.Random(seed)
    name = scenario.open()
    booking = scenario.start_booking(name, 1)
    time.sleep(chance.uniform(0, 0.06))
    scenario.owner_of(name).process.kill()
    check(scenario, name, 1, booking.result())


def test_sidecar_killed_with_the_call(scenario):
    name = scenario.open()
    slow_down(scenario, 1.0)
    booking = scenario.start_booking(name, 1)
    sidecar = wait_for_witness(scenario)
    sidecar.process.kill()
    sidecar.process.start()
    answer = booking.result()
    slow_down(scenario, 0.005)
    check(scenario, name, 1, answer)
    assert answer.verdict == 'may_have_run'


def test_owner_and_sidecar_killed_together(scenario):
    name = scenario.open()
    slow_down(scenario, 1.0)
    booking = scenario.start_booking(name, 1)
    sidecar = wait_for_witness(scenario)
    scenario.owner_of(name).process.kill()
    sidecar.process.kill()
    sidecar.process.start()
    slow_down(scenario, 0.005)
    answer = booking.result()
    check(scenario, name, 1, answer)
    assert answer.verdict == 'may_have_run'


def test_owner_and_sidecar_killed_in_a_store_outage(scenario):
    name = scenario.open()
    owner = scenario.owner_of(name)
    platform = scenario.deployment.platform
    scenario.deployment.set_faults(platform, outage=True)
    for node in scenario.services():
        scenario.deployment.set_faults(node, reply_delay_seconds=5.0)
    booking = scenario.start_booking(name, 1, [owner])
    sidecar = wait_for_witness(scenario)
    runner = scenario.deployment.upstreams[
        sidecar.name.removesuffix('-sidecar')
    ]
    deployments.wait_until(
        lambda: scenario.runs(name, 1) == 1, 'the run at the service'
    )
    owner.process.kill()
    sidecar.process.kill()
    assert scenario.runner_of(name, 1) is runner
    sidecar.process.start()
    scenario.deployment.set_faults(platform, outage=False)
    answer = scenario.book(name, 1, _others(scenario, owner))
    for node in scenario.services():
        scenario.deployment.set_faults(node, reply_delay_seconds=0.0)
    booking.cancel()
    check(scenario, name, 1, answer)
    assert answer.verdict == 'may_have_run'


def test_store_down_throughout(scenario):
    name = scenario.open()
    platform = scenario.deployment.platform
    scenario.deployment.set_faults(platform, outage=True)
    answer = scenario.book(name, 1)
    assert answer.verdict == 'ran'
    check(scenario, name, 1, answer)


def freeze_with_stored_intent(scenario):
    """Freeze an owner after its intent arrived at the store.

    The reply is still on its way, so the owner has not sent the order.
    """
    platform = scenario.deployment.platform
    for _ in range(10):
        name = scenario.open()
        owner = scenario.owner_of(name)
        writes = scenario.store_writes()
        scenario.deployment.set_faults(platform, delay_seconds=0.4)
        booking = scenario.start_booking(name, 1, [owner])
        deployments.wait_until(
            lambda known=writes: scenario.store_writes() > known,
            'a write on its way',
        )
        owner.process.send_signal(signal.SIGSTOP)
        time.sleep(0.4)
        scenario.deployment.set_faults(platform, delay_seconds=0.0)
        if scenario.intended_sidecar(name) and not scenario.runs(name, 1):
            return name, owner, booking
        # It was another write. Nothing is proved, so begin anew.
        owner.process.send_signal(signal.SIGCONT)
        booking.result()
    raise AssertionError('the intent was never caught on its way')


def test_frozen_owner_wakes_with_the_order_still_to_send(scenario):
    name, owner, booking = freeze_with_stored_intent(scenario)
    sidecar = scenario.intended_sidecar(name)
    deployments.wait_until(
        lambda: scenario.owner_of(name) is not owner, 'takeover'
    )
    # The new owner has to send its order to another sidecar, which does
    # not know the first one by its call.
    scenario.set_leaving(sidecar, True)
    others = _others(scenario, owner)
    answers = [scenario.book(name, 1, others)]
    owner.process.send_signal(signal.SIGCONT)
    answers.append(booking.result())
    scenario.set_leaving(sidecar, False)
    found = [*answers, scenario.book(name, 1)]
    assert len({answer.verdict for answer in found}) == 1
    check(scenario, name, 1, found[0])


def test_silent_sidecar_comes_back_with_the_call(scenario):
    name = scenario.open()
    sidecars = [scenario.sidecar_of(node.name) for node in scenario.services()]
    owner = scenario.owner_of(name)
    for node in sidecars:
        node.process.send_signal(signal.SIGSTOP)
    booking = scenario.start_booking(name, 1)
    # The order is on its way once its intent is stored.
    deployments.wait_until(
        lambda: scenario.intended_sidecar(name), 'a stored intent'
    )
    owner.process.kill()
    answer = booking.result()
    for node in sidecars:
        node.process.send_signal(signal.SIGCONT)
    deployments.wait_until(
        lambda: all(
            scenario.deployment.metric(node, 'waiting_calls') == 0
            for node in sidecars
        ),
        'idle sidecars',
    )
    check(scenario, name, 1, answer)
    assert answer.verdict == 'may_have_run'


def test_repeats_through_all_entries_at_once(scenario):
    name = scenario.open()
    slow_down(scenario, 0.2)
    entries = scenario.running_entries()
    bookings = [
        scenario.start_booking(name, 1, [entries[number % len(entries)]])
        for number in range(9)
    ]
    answers = [booking.result() for booking in bookings]
    assert {answer.verdict for answer in answers} == {'ran'}
    assert len({answer.body['content'] for answer in answers}) == 1
    check(scenario, name, 1, answers[0])


def test_balancer_repeats_after_losing_the_first_entry(scenario):
    name = scenario.open()
    owner = scenario.owner_of(name)
    first = _others(scenario, owner)[0]
    slow_down(scenario, 0.5)
    booking = scenario.start_booking(name, 1, [first, owner])
    wait_for_witness(scenario)
    first.process.kill()
    answer = booking.result()
    assert answer.verdict == 'ran'
    check(scenario, name, 1, answer)


def _others(scenario, owner):
    return [node for node in scenario.running_entries() if node is not owner]
