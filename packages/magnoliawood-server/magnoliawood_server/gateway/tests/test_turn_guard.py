"""Tests of the admission of turns, with one disk and no network."""

import dataclasses
import datetime

import curio
import pytest

from magnoliawood.core import clock as clocks
from magnoliawood.core import errors
from magnoliawood.routes import configuration as configurations
from magnoliawood.turns import records
from magnoliawood.turns import table as tables
from magnoliawood_server.gateway import stream_guard
from magnoliawood_server.gateway import turn_guard
from magnoliawood_server.platform import requests

SECOND = datetime.timedelta(seconds=1)
ORIGIN = records.StreamRecord('t', 'llm', 'v1', 1, 4e9)


class Client:
    """One disk that counts rounds."""

    def __init__(self):
        self.table = tables.RecordTable(clocks.ManualClock())
        self.charged = []
        self.settled = []

    def check_room(self, is_first):
        pass

    async def charge(self, program_id, new_records):
        self.charged.append(new_records)
        for record in new_records:
            self.table.apply(record)
        return [self.table.charges(program_id)]

    async def read_chain(self, chain, take_memory):
        extended = chain.extend(self.table.chain(chain.missing_id))
        if extended.is_complete:
            return extended
        raise errors.MagnoliawoodError(
            errors.ErrorCode.STORE_UNAVAILABLE, 'a part is missing'
        )

    async def settle(self, *charges):
        self.settled.append(charges)
        for charge in charges:
            self.table.apply(charge)


def _metadata(name='t', budget=160):
    return requests.decode_request_metadata(
        [
            (b'request-id', name.encode()),
            (b'program-id', b'p'),
            (b'token-budget', str(budget).encode()),
            (b'token-usage', b'10,80'),
        ]
    )


def _route():
    return configurations.Route(
        'streams',
        'app',
        '/',
        configurations.RequestKind.STREAMING,
        SECOND,
        SECOND,
        0,
        (configurations.ServiceShare('llm'),),
        2,
    )


@pytest.fixture
def client():
    return Client()


@pytest.fixture
def guard(client):
    return turn_guard.TurnGuard(client, clocks.ManualClock())


def test_planned_origin_is_stored_in_the_round_of_the_charge(guard, client):
    """Guards against a message of its own for the origin of each stream."""
    stream = stream_guard.StreamBinding(planned=ORIGIN)
    turn = curio.run(guard.admit, _metadata(), _route(), '', stream)
    assert client.charged == [[turn.charge, ORIGIN]]
    assert stream.origin == ORIGIN
    assert not stream.is_bound


def test_planned_origin_without_a_charge_is_not_taken_for_stored(guard):
    stream = stream_guard.StreamBinding(planned=ORIGIN)
    metadata = requests.decode_request_metadata([(b'request-id', b't')])
    curio.run(guard.admit, metadata, _route(), '', stream)
    assert stream.origin is None


def test_turn_beyond_the_budget_is_rejected_and_withdrawn(guard, client):
    async def admit_two():
        await guard.admit(_metadata('t1', 100), _route())
        with pytest.raises(errors.MagnoliawoodError) as caught:
            await guard.admit(_metadata('t2', 100), _route())
        assert caught.value.code is errors.ErrorCode.BUDGET_EXHAUSTED
        await guard.flush()

    curio.run(admit_two)
    [(withdrawn,)] = client.settled
    assert withdrawn.tokens == 0


def test_budget_counts_what_an_ended_turn_has_spent_before_it_is_stored(
    guard, client
):
    """Guards against rejecting a program's next turn while gathering."""

    async def run():
        turn = await guard.admit(_metadata('t1', 100), _route())
        await guard.settle(turn, 20)
        await guard.admit(_metadata('t2', 100), _route())
        assert not client.settled

    curio.run(run)


@pytest.mark.parametrize('stored_previous', ['', 'unknown', 't'])
def test_turn_that_continues_itself_is_rejected(
    guard, client, stored_previous
):
    """Guards against reading without an end, and a chain without a start."""
    client.table.apply(
        records.TurnRecord('t', stored_previous, b'in', b'out', 4e9)
    )
    route = dataclasses.replace(
        _route(), keeps_history=True, history_period=SECOND
    )
    metadata = dataclasses.replace(_metadata(), previous_turn_id='t')
    with pytest.raises(errors.MagnoliawoodError) as caught:
        curio.run(guard.admit, metadata, route)
    expected = 503 if stored_previous else 400
    assert caught.value.status == expected
