"""Turns that keepers store must keep their whole chain."""

import datetime

import curio
import pytest

from magnoliawood.core import errors
from magnoliawood.replication import quorum
from magnoliawood.turns import records
from magnoliawood_server.gateway import record_client
from magnoliawood_server.gateway.tests import keeper_support
from magnoliawood_server.keeper import messages
from magnoliawood_server.peer import connection as connections
from magnoliawood_server.peer import frame as frames


def _seconds(number):
    return datetime.timedelta(seconds=number)


def test_chain_survives_a_gap_of_each_replica_in_turn(tmp_path):
    """Guards against a history lost after a rolling restart (issue 41)."""

    async def play():
        keepers = keeper_support.Keepers(tmp_path)
        async with keepers.running():
            gateway = keeper_support.Gateway(keepers)
            previous_id = ''
            for name in 'abc':
                turn_id = f'with-{name}'
                await gateway.run(turn_id, previous_id)
                keepers.away = {name}
                await gateway.run(f'without-{name}', turn_id)
                keepers.away = set()
                await keepers.restart(name)
                previous_id = f'without-{name}'
                keepers.clock.advance(_seconds(5))
            for number in range(8):
                await gateway.run(f'late-{number}', previous_id)
                previous_id = f'late-{number}'
                keepers.clock.advance(_seconds(10))
                await keepers.clean()
            elsewhere = await keeper_support.Gateway(keepers).run(
                'elsewhere', previous_id
            )
            return elsewhere, keepers

    elsewhere, keepers = curio.run(play)
    assert elsewhere.history.startswith(b'inwith-ainwithout-ainwith-b')
    assert len(keepers.turn_ids('a')) == 15


def test_turn_counts_as_stored_only_with_its_chain(tmp_path):
    """A write is not confirmed by a disk that lacks a previous turn."""

    async def play():
        keepers = keeper_support.Keepers(tmp_path)
        async with keepers.running():
            gateway = keeper_support.Gateway(keepers)
            keepers.away = {'a'}
            await gateway.run('t1')
            keepers.away = {'b'}
            await gateway.run('t2', 't1')
            assert keepers.turn_ids('a') == {'t1', 't2'}
            keepers.away = {'b', 'c'}
            with pytest.raises(errors.MagnoliawoodError) as caught:
                await gateway.run('t3', 't2')
            assert caught.value.code is errors.ErrorCode.STORE_UNAVAILABLE

    curio.run(play)


@pytest.mark.parametrize('cache_bytes', [0, 16 * 1024 * 1024])
def test_turn_that_ends_after_the_one_before_expired_has_its_chain(
    tmp_path, monkeypatch, cache_bytes
):
    """Guards against a turn stored on top of nothing (issue 41)."""
    monkeypatch.setattr(
        'magnoliawood_server.gateway.turn_cache._CACHE_BYTES', cache_bytes
    )

    async def play():
        keepers = keeper_support.Keepers(tmp_path)
        async with keepers.running():
            gateway = keeper_support.Gateway(keepers)
            await gateway.run('t1')
            keepers.clock.advance(_seconds(59))
            turn = await gateway.begin('t2', 't1')
            keepers.clock.advance(_seconds(9))
            await keepers.clean()
            assert not keepers.turn_ids('a')
            await gateway.end(turn)
            keepers.clock.advance(_seconds(7))
            await keepers.clean()
            elsewhere = keeper_support.Gateway(keepers)
            return await elsewhere.begin('t3', 't2')

    assert curio.run(play).history == b'int1int2'


class _SlowWrites:
    """Keepers whose replies to writes take nearly all of the time left."""

    def __init__(self, keepers):
        self._keepers = keepers
        self.direct_timeout = keepers.direct_timeout

    async def begin(self, address, message, listener):
        return None

    async def request(self, address, message, timeout):
        reply = await self._keepers.request(address, message, timeout)
        if isinstance(message, messages.WriteRecords):
            self._keepers.clock.advance(
                keeper_support.ROUTE.timeout * 0.9 / len(_DISKS)
            )
        return reply


_DISKS = 'abc'


@pytest.mark.parametrize('clock_ahead', [0, 4])
def test_turn_is_retained_from_the_end_of_its_response(tmp_path, clock_ahead):
    """Guards against 404 shortly before the retention period has passed.

    The write of the turn is slow, and the clocks of the keepers are ahead.
    """

    async def play():
        keepers = keeper_support.Keepers(tmp_path)
        async with keepers.running():
            client = record_client.RecordClient(
                keepers, _SlowWrites(keepers), keepers.clock
            )
            gateway = keeper_support.Gateway(keepers, client)
            await gateway.run('t1')
            keepers.clock.advance(keeper_support.RETENTION - _seconds(0.1))
            keepers.clock.advance(_seconds(clock_ahead))
            await keepers.clean()
            return await keeper_support.Gateway(keepers).begin('t2', 't1')

    assert curio.run(play).history == b'int1'


def test_replica_that_was_away_is_completed_with_the_next_turn(tmp_path):
    """Guards against gaps that stay until another replica is lost."""

    async def play():
        keepers = keeper_support.Keepers(tmp_path)
        async with keepers.running():
            gateway = keeper_support.Gateway(keepers)
            await gateway.run('t1')
            keepers.away = {'a'}
            await gateway.run('t2', 't1')
            await gateway.run('t3', 't2')
            keepers.away = set()
            await gateway.run('t4', 't3')
            async with curio.timeout_after(10):
                while len(keepers.turn_ids('a')) < 4:
                    await curio.sleep(0)

    curio.run(play)


class _Frames:
    """Keepers whose replies must fit into a frame, as on a connection."""

    def __init__(self, keepers):
        self._keepers = keepers
        self.direct_timeout = keepers.direct_timeout

    async def begin(self, address, message, listener):
        return None

    async def request(self, address, message, timeout):
        reply = await self._keepers.request(address, message, timeout)
        frames.encode(frames.Frame(1, False, reply))
        return reply


def test_chain_that_is_longer_than_a_frame_is_read_in_parts(tmp_path):
    """Guards against 503 for good where it must be read (review/4)."""
    turns = 5
    text = b'x' * (frames.FRAME_LIMIT_BYTES // (turns - 1))

    async def play():
        keepers = keeper_support.Keepers(tmp_path)
        async with keepers.running():
            client = record_client.RecordClient(
                keepers, _Frames(keepers), keepers.clock
            )
            for number in range(turns):
                previous = f't{number - 1}' if number else ''
                turn = records.TurnRecord(
                    f't{number}', previous, text, b'', 4e9
                )
                await client.write_turn(turn, [], [])
            return await client.read_chain(quorum.Chain(f't{turns - 1}'))

    chain = curio.run(play)
    assert len(chain.body) == turns * len(text)


class _SlowLink(_Frames):
    """Keepers that share a link; a reply that takes too long is lost."""

    bytes_per_second = 2 * 1024 * 1024

    async def request(self, address, message, timeout):
        reply = await self._keepers.request(address, message, timeout)
        size = len(frames.encode(frames.Frame(1, False, reply)))
        if size / self.bytes_per_second > timeout.total_seconds():
            raise connections.PeerLost('no response in time')
        return reply


def test_long_chain_is_read_over_a_slow_link(tmp_path):
    """Guards against 503 for a chain that one reply can't bring in time."""
    turns = 40
    text = b'x' * 100_000

    async def play():
        keepers = keeper_support.Keepers(tmp_path)
        async with keepers.running():
            client = record_client.RecordClient(
                keepers, _SlowLink(keepers), keepers.clock
            )
            for number in range(turns):
                previous = f't{number - 1}' if number else ''
                turn = records.TurnRecord(
                    f't{number}', previous, text, b'', 4e9
                )
                await client.write_turn(turn, [], [])
            return await client.read_chain(quorum.Chain(f't{turns - 1}'))

    chain = curio.run(play)
    assert len(chain.body) == turns * len(text)


class _Busy(record_client.RecordClient):
    """Client whose first writes reach too few keepers."""

    failures = 3

    async def write_turn(self, turn, other_records, chain):
        if self.failures:
            self.failures -= 1
            raise errors.MagnoliawoodError(
                errors.ErrorCode.STORE_UNAVAILABLE,
                'injected fault',
                retry_after=_seconds(0.01),
            )
        await super().write_turn(turn, other_records, chain)


@pytest.mark.parametrize('time_left', [0, 4])
def test_turn_is_stored_late_rather_than_cut(tmp_path, time_left):
    """Guards against a whole response cut since a write took too long.

    It is tried again until the deadline of its request.
    """

    async def play():
        keepers = keeper_support.Keepers(tmp_path)
        async with keepers.running():
            client = _Busy(keepers, keepers, keepers.clock)
            gateway = keeper_support.Gateway(keepers, client)
            turn = await gateway.begin('t1')
            deadline = keepers.clock.monotonic() + _seconds(time_left)
            try:
                await gateway.end(turn, deadline)
            except errors.MagnoliawoodError as error:
                return error.code
            return [sorted(keepers.turn_ids(name)) for name in _DISKS]

    unavailable = errors.ErrorCode.STORE_UNAVAILABLE
    expected = [['t1']] * len(_DISKS) if time_left else unavailable
    assert curio.run(play) == expected
