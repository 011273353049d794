"""Tests of gathered settlements, without a network."""

import curio
import pytest

from magnoliawood.core import errors
from magnoliawood.turns import records
from magnoliawood_server.gateway import settlements


class Client:
    """Counts rounds; the first ones may fail."""

    def __init__(self, failures=0):
        self.rounds = []
        self.failures = failures

    async def settle(self, *charges):
        if self.failures:
            self.failures -= 1
            raise errors.MagnoliawoodError(
                errors.ErrorCode.STORE_UNAVAILABLE, 'injected fault'
            )
        self.rounds.append(charges)


@pytest.fixture
def no_delay(monkeypatch):
    monkeypatch.setattr(
        settlements, 'SETTLE_RETRY_DELAY', 0 * settlements.GATHER_PERIOD
    )


def _settlement(number):
    return records.ChargeRecord(f'p{number}', f'a{number}.x', 16, True, 4e9)


def _add_and_flush(client, count):
    async def run():
        gathered = settlements.Settlements(client)
        for number in range(count):
            await gathered.add(_settlement(number))
        assert list(gathered.of_program('p1')) == [_settlement(1)]
        await gathered.flush()
        assert not list(gathered.of_program('p1'))

    curio.run(run)


def test_many_turns_that_end_together_are_settled_in_one_round():
    """Guards against a round for each of 50 turns that end at once."""
    client = Client()
    _add_and_flush(client, 50)
    assert [len(charges) for charges in client.rounds] == [50]


def test_settlements_are_stored_without_a_flush(monkeypatch):
    monkeypatch.setattr(
        settlements, 'GATHER_PERIOD', 0 * settlements.GATHER_PERIOD
    )
    client = Client()

    async def run():
        gathered = settlements.Settlements(client)
        await gathered.add(_settlement(0))
        while not client.rounds:
            await curio.sleep(0)

    curio.run(run)


@pytest.mark.usefixtures('no_delay')
def test_failed_round_is_tried_again():
    client = Client(failures=settlements.MAX_SETTLE_TRIES - 1)
    _add_and_flush(client, 2)
    assert [len(charges) for charges in client.rounds] == [2]


@pytest.mark.usefixtures('no_delay')
def test_flush_ends_when_no_round_succeeds():
    client = Client(failures=settlements.MAX_SETTLE_TRIES)
    _add_and_flush(client, 2)
    assert not client.rounds


@pytest.mark.usefixtures('no_delay')
@pytest.mark.parametrize('successes', [0, 1])
def test_settlements_that_are_given_up_are_named(caplog, successes):
    """Guards against a last try whose line reads as that of any other."""
    client = Client(failures=settlements.MAX_SETTLE_TRIES - successes)
    _add_and_flush(client, 2)
    given_up = [
        record.request_ids
        for record in caplog.records
        if record.getMessage().startswith('settlements given up')
    ]
    assert given_up == ([] if successes else [['a0', 'a1']])
