"""Quorums of answers, without a network."""

import datetime

import curio
import pytest

from magnoliawood.core import clock as clocks
from magnoliawood.core import errors
from magnoliawood.replication import group as groups
from magnoliawood.replication import quorum
from magnoliawood.turns import records
from magnoliawood_server.gateway import record_client
from magnoliawood_server.keeper import messages
from magnoliawood_server.platform import group_store
from magnoliawood_server.platform import objects

DISKS = tuple(groups.Member(name, name, name) for name in 'abc')
GROUP = groups.Group(4, 1, DISKS)
TURN = records.TurnRecord('t1', '', b'in', b'out', 4e9)


class _Store:
    """The group as the platform's store has it."""

    def __init__(self, group=GROUP):
        self.group = group

    async def read(self):
        if self.group is None:
            raise objects.StoreUnavailable('outage')
        return group_store.StoredGroup(self.group, 1)


class _Requester:
    """Keepers by address; an error in place of one refuses."""

    def __init__(self, **keepers):
        self.keepers = keepers
        self.asked = []

    async def request(self, address, message, timeout):
        assert timeout > datetime.timedelta()
        self.asked.append((address, message))
        keeper = self.keepers[address]
        if isinstance(keeper, errors.ErrorCode):
            raise errors.MagnoliawoodError(keeper, address)
        return keeper(message)


def _empty(message):
    match message:
        case messages.ReadChain():
            return messages.ChainRecords([])
        case messages.TakeGroup():
            return messages.CopyStatus('x', 0, None)
        case messages.ReadCharges():
            return messages.Charges([])
    return messages.RecordsWritten()


def _with_turn(message):
    if isinstance(message, messages.ReadChain):
        return messages.ChainRecords([records.encode(TURN)])
    return _empty(message)


def _client(requester, store=None):
    return record_client.RecordClient(
        store or _Store(), requester, clocks.ManualClock()
    )


LOST = errors.ErrorCode.PEER_LOST


def test_record_counts_with_one_copy_lost():
    client = _client(_Requester(a=_empty, b=LOST, c=_empty))
    curio.run(client.write, [TURN])


@pytest.mark.parametrize('code', [LOST, errors.ErrorCode.COPY_INCOMPLETE])
def test_record_does_not_count_with_too_few_copies(code):
    client = _client(_Requester(a=_empty, b=code, c=code))
    with pytest.raises(errors.MagnoliawoodError) as caught:
        curio.run(client.write, [TURN])
    assert caught.value.status == 503
    assert caught.value.retry_after > datetime.timedelta()


def test_turn_on_one_copy_is_found():
    client = _client(_Requester(a=_empty, b=LOST, c=_with_turn))
    chain = curio.run(client.read_chain, quorum.Chain('t1'))
    assert chain.body == b'inout'


def test_turn_is_absent_only_when_a_read_quorum_says_so():
    client = _client(_Requester(a=_empty, b=_empty, c=LOST))
    with pytest.raises(errors.MagnoliawoodError) as caught:
        curio.run(client.read_chain, quorum.Chain('t1'))
    assert caught.value.status == 404


def test_turn_is_not_denied_by_too_few_copies():
    client = _client(_Requester(a=_empty, b=LOST, c=LOST))
    with pytest.raises(errors.MagnoliawoodError) as caught:
        curio.run(client.read_chain, quorum.Chain('t1'))
    assert caught.value.status == 503


def test_newer_group_is_learned_from_a_keeper_in_a_store_outage():
    joined = GROUP.replace('b', groups.Member('d', 'd', 'd'))

    def newer(message):
        if isinstance(message, messages.TakeGroup):
            return messages.CopyStatus('a', 4, joined)
        if message.epoch < joined.epoch:
            raise errors.MagnoliawoodError(
                errors.ErrorCode.STALE_EPOCH, 'older'
            )
        return _empty(message)

    requester = _Requester(a=newer, b=LOST, c=newer, d=newer)
    store = _Store()
    client = _client(requester, store)
    client.update_group(GROUP)
    store.group = None
    curio.run(client.write, [TURN])
    assert client.group == joined


def test_callers_of_a_gateway_that_is_cut_off_are_refused_at_once():
    """Load pattern: all turns of a gateway that reaches no keeper."""
    requester = _Requester(a=LOST, b=LOST, c=LOST)
    clock = clocks.ManualClock()
    client = record_client.RecordClient(_Store(), requester, clock)
    for _ in range(2):
        with pytest.raises(errors.MagnoliawoodError):
            curio.run(client.write, [TURN])
        clock.advance(datetime.timedelta(seconds=1))
    assert not client.is_reachable
    with pytest.raises(errors.MagnoliawoodError):
        curio.run(client.write, [TURN])
    asked = len(requester.asked)
    with pytest.raises(errors.MagnoliawoodError) as caught:
        curio.run(client.write, [TURN])
    assert len(requester.asked) == asked
    assert caught.value.retry_after > datetime.timedelta()
    requester.keepers = dict.fromkeys('abc', _empty)
    clock.advance(datetime.timedelta(seconds=1))
    curio.run(client.write, [TURN])
    assert client.is_reachable


DISKS_OF_FIVE = tuple(groups.Member(name, name, name) for name in 'abcde')
CHARGE = records.ChargeRecord('p', 'a1', 16, True, 4e9)


def _client_of_five(requester):
    return _client(requester, _Store(groups.Group(4, 2, DISKS_OF_FIVE)))


def _asked(requester, kind):
    return [at for at, message in requester.asked if isinstance(message, kind)]


def test_turns_are_written_to_all_copies():
    requester = _Requester(**dict.fromkeys('abcde', _empty))
    curio.run(_client_of_five(requester).write, [TURN])
    assert sorted(_asked(requester, messages.WriteRecords)) == list('abcde')


def test_no_more_copies_are_asked_than_needed():
    """Many short turns: each message costs gateways and keepers time."""
    requester = _Requester(**dict.fromkeys('abcde', _empty))
    client = _client_of_five(requester)
    curio.run(client.settle, CHARGE)
    assert len(_asked(requester, messages.WriteRecords)) == 3
    curio.run(client.read_charges, 'p')
    assert len(_asked(requester, messages.ReadCharges)) == 3


def test_copy_that_fails_is_replaced_by_another():
    requester = _Requester(a=LOST, b=LOST, c=_empty, d=_empty, e=_empty)
    found = curio.run(_client_of_five(requester).read_charges, 'p')
    assert len(found) == 3


class _UnresponsiveRequester(_Requester):
    """Keepers, of which those without a function never answer."""

    async def request(self, address, message, timeout):
        if self.keepers[address] is None:
            self.asked.append((address, message))
            await curio.Event().wait()
        return await super().request(address, message, timeout)


def test_silent_copy_delays_one_question_only():
    requester = _UnresponsiveRequester(
        a=None, b=_empty, c=_empty, d=_empty, e=_empty
    )
    client = _client_of_five(requester)
    for _ in range(5):
        assert len(curio.run(client.read_charges, 'p')) == 3
    assert _asked(requester, messages.ReadCharges).count('a') == 1
