"""Tests of the refusal of turns whose records would find no room."""

import pytest

from magnoliawood.core import clock as clocks
from magnoliawood.core import errors
from magnoliawood.telemetry import registry as registries
from magnoliawood_server.gateway import record_room
from magnoliawood_server.keeper import messages


def _room(*replies):
    room = record_room.RecordRoom(registries.Registry(), clocks.ManualClock())
    room.record(replies)
    return room


def _is_refused(room, is_first):
    try:
        room.check(is_first)
    except errors.MagnoliawoodError as error:
        assert error.code is errors.ErrorCode.STORE_UNAVAILABLE
        assert error.retry_after is not None
        return True
    return False


AMPLE = messages.RecordsWritten()
SCARCE = messages.RecordsWritten(takes_first_turns=False)
NONE = messages.RecordsWritten(takes_first_turns=False, takes_next_turns=False)


@pytest.mark.parametrize(
    ('replies', 'refused'),
    [
        ((AMPLE, AMPLE), (False, False)),
        ((AMPLE, SCARCE), (True, False)),
        ((NONE, AMPLE), (True, True)),
        ((), (False, False)),
    ],
)
def test_turns_are_refused_by_what_replicas_replied(replies, refused):
    room = _room(*replies)
    assert (_is_refused(room, True), _is_refused(room, False)) == refused
    assert room.is_scarce == refused[0]


def test_room_that_is_back_ends_the_refusals():
    room = _room(AMPLE)
    room.record_full()
    assert _is_refused(room, False)
    room.record([AMPLE])
    assert not _is_refused(room, True)
