import random
import signal
import time

import pytest

from magnoliawood_testing.cluster import deployment as deployments


def set_service_delay(scenario, seconds):
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


def check_verdict(scenario, name, sequence, response):
    """Compare the verdict with the runs that the services counted."""
    runs = scenario.runs(name, sequence)
    assert runs <= 1, (runs, response)
    assert response.false_verdicts == 0, response
    if response.verdict == 'ran':
        assert runs == 1
    else:
        assert response.verdict == 'may_have_run'
    again = scenario.book(name, sequence)
    assert again.verdict == response.verdict
    assert scenario.runs(name, sequence) == runs
    following = scenario.book(name, sequence + 1)
    assert following.verdict == 'ran'
    assert scenario.runs(name, sequence + 1) == 1


def test_call_whose_reply_was_lost_is_not_repeated(scenario):
    name = scenario.open()
    for node in scenario.services():
        scenario.deployment.set_faults(node, lost_replies=1)
    response = scenario.book(name, 1)
    for node in scenario.services():
        scenario.deployment.set_faults(node, lost_replies=0)
    check_verdict(scenario, name, 1, response)
    assert response.verdict == 'may_have_run'


def test_owner_killed_after_dispatching_the_call(scenario):
    name = scenario.open()
    set_service_delay(scenario, 3.0)
    booking = scenario.start_booking(name, 1)
    wait_for_witness(scenario)
    scenario.owner_of(name).process.kill()
    set_service_delay(scenario, 0.005)
    response = booking.result()
    assert response.verdict == 'ran'
    check_verdict(scenario, name, 1, response)


@pytest.mark.parametrize('seed', range(3))
def test_owner_killed_at_any_moment(scenario, seed):
    generator = random.Random(seed)
    name = scenario.open()
    booking = scenario.start_booking(name, 1)
    time.sleep(generator.uniform(0, 0.06))
    scenario.owner_of(name).process.kill()
    check_verdict(scenario, name, 1, booking.result())


def test_sidecar_killed_with_the_call(scenario):
    name = scenario.open()
    set_service_delay(scenario, 1.0)
    booking = scenario.start_booking(name, 1)
    sidecar = wait_for_witness(scenario)
    sidecar.process.kill()
    sidecar.process.start()
    response = booking.result()
    set_service_delay(scenario, 0.005)
    check_verdict(scenario, name, 1, response)
    assert response.verdict == 'may_have_run'


def test_owner_and_sidecar_killed_together(scenario):
    name = scenario.open()
    set_service_delay(scenario, 1.0)
    booking = scenario.start_booking(name, 1)
    sidecar = wait_for_witness(scenario)
    scenario.owner_of(name).process.kill()
    sidecar.process.kill()
    sidecar.process.start()
    set_service_delay(scenario, 0.005)
    response = booking.result()
    check_verdict(scenario, name, 1, response)
    assert response.verdict == 'may_have_run'


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
    response = scenario.book(name, 1, _others(scenario, owner))
    for node in scenario.services():
        scenario.deployment.set_faults(node, reply_delay_seconds=0.0)
    booking.cancel()
    check_verdict(scenario, name, 1, response)
    assert response.verdict == 'may_have_run'


def test_store_down_throughout(scenario):
    name = scenario.open()
    platform = scenario.deployment.platform
    scenario.deployment.set_faults(platform, outage=True)
    response = scenario.book(name, 1)
    assert response.verdict == 'ran'
    check_verdict(scenario, name, 1, response)


def freeze_with_stored_intent(scenario):
    """Freeze an owner after its intent has reached the store.

    The owner has not received the reply of the store, so it has not
    dispatched the call to a sidecar.
    """
    platform = scenario.deployment.platform
    for _ in range(10):
        name = scenario.open()
        owner = scenario.owner_of(name)
        writes = scenario.store_writes()
        scenario.deployment.set_faults(platform, delay_seconds=0.4)
        booking = scenario.start_booking(name, 1, [owner])
        deployments.wait_until(
            lambda previous=writes: scenario.store_writes() > previous,
            'a write that reached the store',
        )
        owner.process.send_signal(signal.SIGSTOP)
        time.sleep(0.4)
        scenario.deployment.set_faults(platform, delay_seconds=0.0)
        if scenario.intended_sidecar(name) and not scenario.runs(name, 1):
            return name, owner, booking
        # The write was not the intent, so the attempt proves nothing: retry.
        owner.process.send_signal(signal.SIGCONT)
        booking.result()
    raise AssertionError('no intent was stored before its owner was frozen')


def test_frozen_owner_resumes_before_dispatching_the_call(scenario):
    name, owner, booking = freeze_with_stored_intent(scenario)
    sidecar = scenario.intended_sidecar(name)
    deployments.wait_until(
        lambda: scenario.owner_of(name) is not owner, 'takeover'
    )
    # The new owner has to dispatch the call to another sidecar, which cannot
    # recognise the first attempt by its call.
    scenario.set_leaving(sidecar, True)
    others = _others(scenario, owner)
    responses = [scenario.book(name, 1, others)]
    owner.process.send_signal(signal.SIGCONT)
    responses.append(booking.result())
    scenario.set_leaving(sidecar, False)
    all_responses = [*responses, scenario.book(name, 1)]
    assert len({response.verdict for response in all_responses}) == 1
    check_verdict(scenario, name, 1, all_responses[0])


def test_unresponsive_sidecar_resumes_with_the_call(scenario):
    name = scenario.open()
    sidecars = [scenario.sidecar_of(node.name) for node in scenario.services()]
    owner = scenario.owner_of(name)
    for node in sidecars:
        node.process.send_signal(signal.SIGSTOP)
    booking = scenario.start_booking(name, 1)
    # The call is dispatched once its intent is stored.
    deployments.wait_until(
        lambda: scenario.intended_sidecar(name), 'a stored intent'
    )
    owner.process.kill()
    response = booking.result()
    for node in sidecars:
        node.process.send_signal(signal.SIGCONT)
    deployments.wait_until(
        lambda: all(
            scenario.deployment.metric(node, 'waiting_calls') == 0
            for node in sidecars
        ),
        'idle sidecars',
    )
    check_verdict(scenario, name, 1, response)
    assert response.verdict == 'may_have_run'


def test_repeats_through_all_entries_at_once(scenario):
    name = scenario.open()
    set_service_delay(scenario, 0.2)
    entries = scenario.running_entries()
    bookings = [
        scenario.start_booking(name, 1, [entries[number % len(entries)]])
        for number in range(9)
    ]
    responses = [booking.result() for booking in bookings]
    assert {response.verdict for response in responses} == {'ran'}
    assert len({response.body['content'] for response in responses}) == 1
    check_verdict(scenario, name, 1, responses[0])


def test_balancer_repeats_after_losing_the_first_entry(scenario):
    name = scenario.open()
    owner = scenario.owner_of(name)
    first = _others(scenario, owner)[0]
    set_service_delay(scenario, 0.5)
    booking = scenario.start_booking(name, 1, [first, owner])
    wait_for_witness(scenario)
    first.process.kill()
    response = booking.result()
    assert response.verdict == 'ran'
    check_verdict(scenario, name, 1, response)


def _others(scenario, owner):
    return [node for node in scenario.running_entries() if node is not owner]
