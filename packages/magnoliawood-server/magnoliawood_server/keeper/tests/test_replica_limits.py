"""Replica whose bodies leave the memory, and whose disk falls behind."""

import curio
import pytest

from magnoliawood.core import clock as clocks
from magnoliawood.core import errors
from magnoliawood.turns import records
from magnoliawood_server.keeper import disk_log
from magnoliawood_server.keeper import replica as replicas

BODY = 20_000
LIMITS = replicas.ReplicaLimits(body_bytes=3 * BODY)


def _turn(number, expires_at=2e9):
    data = bytes([number]) * BODY
    previous = f't{number - 1}' if number else ''
    return records.TurnRecord(f't{number}', previous, data, b'out', expires_at)


def _replica(folder, clock=None, limits=LIMITS):
    return replicas.DiskReplica(folder, clock or clocks.ManualClock(), limits)


async def _write(replica, *turns):
    running = await curio.spawn(replica.run)
    for turn in turns:
        await replica.write([records.encode(turn)])
    await running.cancel()


def _held(replica):
    stubs = replica.table.without_bodies()
    return sum(len(part) for turn in stubs for part in turn.parts)


def test_bodies_beyond_the_limit_are_read_from_the_disk(tmp_path):
    replica = _replica(tmp_path)
    turns = [_turn(number) for number in range(10)]
    curio.run(_write, replica, *turns)
    assert _held(replica) <= LIMITS.body_bytes
    assert replica.table.chain('t9') == turns[::-1]
    assert list(replica.table.records()) == turns


def test_bodies_are_read_after_a_restart_too(tmp_path):
    turns = [_turn(number) for number in range(10)]
    curio.run(_write, _replica(tmp_path), *turns)
    reloaded = _replica(tmp_path)
    assert _held(reloaded) <= LIMITS.body_bytes
    assert reloaded.table.chain('t9') == turns[::-1]


def test_later_expiry_of_a_turn_on_disk_applies(tmp_path):
    replica = _replica(tmp_path)
    turns = [_turn(number) for number in range(10)]
    curio.run(_write, replica, *turns, _turn(0, expires_at=3e9))
    assert replica.table.chain('t0') == [_turn(0, expires_at=3e9)]


def test_bodies_are_found_after_the_log_was_rewritten(tmp_path, monkeypatch):
    monkeypatch.setattr(replicas, '_REWRITE_BYTES', 0)
    monkeypatch.setattr(disk_log, '_REWRITE_PAGE_BYTES', 2 * BODY)
    replica = _replica(tmp_path)
    kept = [_turn(number) for number in range(10)]

    async def play():
        running = await curio.spawn(replica.run)
        for turn in kept:
            # Twice on the disk, so half of the log is outdated.
            await replica.write([records.encode(turn)] * 3)
        before = sorted(tmp_path.glob('records-*'))
        await replica.clean()
        await running.cancel()
        return before

    before = curio.run(play)
    assert not set(before) & set(tmp_path.glob('records-*'))
    assert replica.table.chain('t9') == kept[::-1]
    assert _replica(tmp_path).table.chain('t9') == kept[::-1]


def test_places_are_right_after_a_failed_write(tmp_path, monkeypatch):
    replica = _replica(tmp_path)
    turns = [_turn(number) for number in range(8)]
    append = disk_log.DiskLog._append_durably
    failures = iter([True])

    def fail_once(log, content):
        if next(failures, False):
            raise OSError('injected fault')
        append(log, content)

    monkeypatch.setattr(disk_log.DiskLog, '_append_durably', fail_once)

    async def play():
        running = await curio.spawn(replica.run)
        with pytest.raises(OSError):
            await replica.write([records.encode(turns[0])])
        for turn in turns[1:]:
            await replica.write([records.encode(turn)])
        await running.cancel()

    curio.run(play)
    assert replica.table.chain('t7') == turns[::-1]


@pytest.mark.parametrize(
    'limits',
    [
        replicas.ReplicaLimits(waiting_bytes=BODY),
        replicas.ReplicaLimits(disk_bytes=BODY),
        replicas.ReplicaLimits(index_bytes=1),
    ],
)
def test_records_without_room_are_refused(tmp_path, limits):
    replica = _replica(tmp_path, limits=limits)
    entry = records.encode(_turn(0))

    async def play():
        writing = await curio.spawn(replica.write, [entry], daemon=True)
        await curio.sleep(0)
        with pytest.raises(errors.MagnoliawoodError) as caught:
            replica.check_room([entry])
        await writing.cancel()
        return caught.value

    error = curio.run(play)
    assert error.code is errors.ErrorCode.OVERLOADED
    assert error.retry_after is not None
    assert replica.table.chain('t1') == []


def test_room_for_turns_of_programs_under_way_is_left_for_longer(tmp_path):
    limits = replicas.ReplicaLimits(disk_bytes=5 * BODY)
    replica = _replica(tmp_path, limits=limits)
    rooms = []

    async def play():
        running = await curio.spawn(replica.run, daemon=True)
        for number in range(4):
            await replica.write([records.encode(_turn(number))])
            rooms.append((replica.takes_first_turns, replica.takes_next_turns))
        await running.cancel()

    curio.run(play)
    assert rooms == [(True, True), (True, True), (False, True), (False, False)]
