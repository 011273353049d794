"""Logs and counters tell the causes of a lost turn apart (issue 45)."""

import dataclasses

import curio
import pytest

from magnoliawood.core import errors
from magnoliawood.limits import circuit_breaker
from magnoliawood.turns import records
from magnoliawood_server.gateway.tests import keeper_support
from magnoliawood_server.keeper import messages

ABSENT = 'turn that was asked for is not stored'


@pytest.fixture(autouse=True)
def all_lines(caplog):
    caplog.set_level('INFO')


def _lines(caplog, message):
    return [
        record for record in caplog.records if record.getMessage() == message
    ]


def _counted(keepers, name):
    """Return the counters of a name, by their label."""
    return {
        series.split('"')[1]: value
        for series, value in keepers.registry.counters().items()
        if series.startswith(f'{name}{{') and value
    }


def _refusal(tmp_path, prepare):
    """Return the error of turn t2 that continues t1, and the keepers."""

    async def play():
        keepers = keeper_support.Keepers(tmp_path)
        async with keepers.running():
            await prepare(keepers)
            with pytest.raises(errors.MagnoliawoodError) as caught:
                await keeper_support.Gateway(keepers).begin('t2', 't1')
            return caught.value, keepers

    return curio.run(play)


async def _run_first(keepers):
    await keeper_support.Gateway(keepers).run('t1')


def test_turn_that_was_dropped_is_told_from_one_that_never_was(
    tmp_path, caplog
):
    """H1 and H2: guards against a 404 that says nothing of the keepers."""

    async def expire(keepers):
        await _run_first(keepers)
        keepers.clock.advance(keeper_support.RETENTION * 2)
        await keepers.clean()

    error, keepers = _refusal(tmp_path / 'dropped', expire)
    assert error.code is errors.ErrorCode.UNKNOWN_CALL
    assert error.detail == '2 disks of epoch 1 lack turn t1'
    assert _counted(keepers, 'unread_chains_total') == {'absent': 1}
    assert _counted(keepers, 'absent_turns_total') == {'dropped': 2}
    assert {
        (line.request_id, line.cause) for line in _lines(caplog, ABSENT)
    } == {('t1', 'dropped')}
    past = keeper_support.RETENTION - (
        keeper_support.ROUTE.timeout
        + keeper_support.turn_guard.CLOCK_TOLERANCE
    )
    assert _lines(caplog, ABSENT)[0].seconds_past_expiry == past.seconds
    assert _lines(caplog, 'records expired')[0].last_turns == ['t1']

    async def do_nothing(keepers):
        pass

    caplog.clear()
    error, keepers = _refusal(tmp_path / 'unknown', do_nothing)
    assert error.code is errors.ErrorCode.UNKNOWN_CALL
    assert _counted(keepers, 'unread_chains_total') == {'absent': 1}
    assert _counted(keepers, 'absent_turns_total') == {'unknown': 2}
    assert _lines(caplog, ABSENT)[0].seconds_past_expiry is None


def test_incomplete_copies_are_named_in_the_refusal(tmp_path):
    """H2: guards against a 503 whose log line was left out or is far away."""

    async def join_anew(keepers):
        epoch = keepers.group.epoch + 1
        joining = [
            dataclasses.replace(member, since=epoch)
            for member in keepers.group.members[:2]
        ]
        keepers.group = dataclasses.replace(
            keepers.group,
            epoch=epoch,
            members=(*joining, *keepers.group.members[2:]),
        )
        for replica in keepers.replicas.values():
            replica.update_group(keepers.group)

    error, keepers = _refusal(tmp_path, join_anew)
    assert error.code is errors.ErrorCode.STORE_UNAVAILABLE
    for member in keepers.group.members[:2]:
        assert f'{member.disk_id}: copy_incomplete' in error.detail
    assert keepers.group.members[2].disk_id not in error.detail
    assert _counted(keepers, 'unread_chains_total') == {'no_quorum': 1}
    assert _counted(keepers, 'quorum_failures_total') == {'too_few': 1}


def test_refusal_without_a_question_to_the_replicas_says_so(tmp_path):
    """Guards against 503 in the name of replicas that were not asked."""

    async def play():
        keepers = keeper_support.Keepers(tmp_path)
        async with keepers.running():
            keepers.away = set('abc')
            client = keepers.client()
            details = []
            for _ in range(4):
                gateway = keeper_support.Gateway(keepers, client)
                with pytest.raises(errors.MagnoliawoodError) as caught:
                    await gateway.begin('t2', 't1')
                details.append(caught.value.detail)
                if client.is_reachable:
                    keepers.clock.advance(circuit_breaker.OPEN_AFTER)
            return details, keepers

    details, keepers = curio.run(play)
    assert details[-1].startswith('no replica was asked')
    named = [
        member.disk_id
        for member in keepers.group.members
        if f'{member.disk_id}: peer_lost' in details[0]
    ]
    assert len(named) == keepers.group.read_quorum
    assert _counted(keepers, 'quorum_failures_total') == {
        'too_few': 3,
        'not_asked': 1,
    }


@pytest.mark.parametrize(
    'seconds_left, cause, code',
    [
        (1, 'gap', errors.ErrorCode.STORE_UNAVAILABLE),
        (-1, 'expired', errors.ErrorCode.UNKNOWN_CALL),
    ],
)
def test_gap_before_a_retained_turn_is_told_from_one_before_an_expired(
    tmp_path, seconds_left, cause, code
):
    """H3 and H1: guards against gaps that are counted as what has ended."""

    async def store_on_nothing(keepers):
        expires_at = keepers.clock.now().timestamp() + seconds_left
        for replica in keepers.replicas.values():
            replica.table.apply(
                records.TurnRecord('t1', 't0', b'in', b'out', expires_at)
            )

    error, keepers = _refusal(tmp_path, store_on_nothing)
    assert error.code is code
    assert 'lack turn t0' in error.detail
    assert _counted(keepers, 'unread_chains_total') == {cause: 1}


def test_restarted_keeper_knows_how_long_its_disk_was_away(tmp_path):
    """H5: guards against a keeper that was away for long, and none knows."""

    async def play():
        keepers = keeper_support.Keepers(tmp_path)
        first = keepers.replicas['a'].time_away
        async with keepers.running():
            await keepers.restart('a')
        return first, keepers.replicas['a'].time_away

    first, second = curio.run(play)
    assert first is None
    assert second is not None


def test_chain_that_could_not_be_completed_is_not_reported_as_complete(
    tmp_path, caplog
):
    """Guards against a line that names a keeper which lacks the turns."""

    class Refusing(keeper_support.Keepers):
        """Keepers of which one is lost once it has said what it lacks."""

        async def request(self, address, message, timeout):
            reply = await super().request(address, message, timeout)
            if isinstance(message, messages.FindMissingTurns):
                self.away = {address}
            return reply

    async def play():
        keepers = Refusing(tmp_path)
        async with keepers.running():
            gateway = keeper_support.Gateway(keepers)
            keepers.away = {'a'}
            await gateway.run('t1')
            keepers.away = set()
            await gateway.run('t2', 't1')
            async with curio.timeout_after(10):
                while not keepers.away:
                    await curio.sleep(0)
            await curio.sleep(0.1)
            assert not keepers.turn_ids('a')

    curio.run(play)
    assert not _lines(caplog, 'chain of a turn completed on a keeper')
    [line] = _lines(caplog, 'chain of a turn not completed on a keeper')
    assert (line.keeper, line.request_id, line.turns) == ('a', 't2', 1)
