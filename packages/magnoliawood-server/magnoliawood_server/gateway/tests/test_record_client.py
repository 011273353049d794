"""Tests for quorums of replies, without a network."""

import datetime
import itertools

import curio
import pytest

from magnoliawood.core import clock as clocks
from magnoliawood.core import errors
from magnoliawood.replication import group as groups
from magnoliawood.replication import quorum
from magnoliawood.turns import ledger as ledgers
from magnoliawood.turns import records
from magnoliawood_server.gateway import record_client
from magnoliawood_server.keeper import messages
from magnoliawood_server.platform import group_store
from magnoliawood_server.platform import objects

DISKS = tuple(groups.Member(name, name, name) for name in 'abc')
GROUP = groups.Group(4, 1, DISKS)
TURN = records.TurnRecord('t1', '', b'in', b'out', 4e9)


class _Store:
    """Fake group store; it is unavailable if it has no group."""

    def __init__(self, group=GROUP):
        self.group = group

    async def read(self):
        if self.group is None:
            raise objects.StoreUnavailable('outage')
        return group_store.StoredGroup(self.group, 1)


class _Requester:
    """Fake keepers by address; one given as an error code raises it."""

    def __init__(self, **keepers):
        self.keepers = keepers
        self.requested = []

    direct_timeout = datetime.timedelta(seconds=1)

    async def begin(self, address, message, listener):
        """Send nothing without a task."""
        return None

    async def request(self, address, message, timeout):
        assert timeout > datetime.timedelta()
        self.requested.append((address, message))
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
    clock = clocks.ManualClock()
    # The group was read at no time yet, which is not at time zero.
    clock.advance(datetime.timedelta(seconds=1))
    return record_client.RecordClient(store or _Store(), requester, clock)


LOST = errors.ErrorCode.PEER_LOST


def test_write_succeeds_with_one_replica_lost():
    client = _client(_Requester(a=_empty, b=LOST, c=_empty))
    curio.run(client.write, [TURN])


@pytest.mark.parametrize('code', [LOST, errors.ErrorCode.COPY_INCOMPLETE])
def test_write_fails_with_too_few_replicas(code):
    client = _client(_Requester(a=_empty, b=code, c=code))
    with pytest.raises(errors.MagnoliawoodError) as caught:
        curio.run(client.write, [TURN])
    assert caught.value.status == 503
    assert caught.value.retry_after > datetime.timedelta()


def test_turn_on_one_replica_is_found():
    client = _client(_Requester(a=_empty, b=LOST, c=_with_turn))
    chain = curio.run(client.read_chain, quorum.Chain('t1'))
    assert chain.body == b'inout'


def test_turn_is_unknown_only_when_a_read_quorum_lacks_it():
    client = _client(_Requester(a=_empty, b=_empty, c=LOST))
    with pytest.raises(errors.MagnoliawoodError) as caught:
        curio.run(client.read_chain, quorum.Chain('t1'))
    assert caught.value.status == 404


@pytest.mark.parametrize(('expires_at', 'status'), [(4e9, 503), (0.0, 404)])
def test_turn_is_not_unknown_while_one_that_continues_it_is_retained(
    expires_at, status
):
    """Guards against 404 for a turn that certainly exists (issue 41)."""
    head = records.TurnRecord('t2', 't1', b'in', b'out', expires_at)
    client = _client(_Requester(a=_empty, b=_empty, c=_empty))
    with pytest.raises(errors.MagnoliawoodError) as caught:
        curio.run(client.read_chain, quorum.Chain('t2', (head,)))
    assert caught.value.status == status


def test_too_few_replicas_do_not_make_a_turn_unknown():
    client = _client(_Requester(a=_empty, b=LOST, c=LOST))
    with pytest.raises(errors.MagnoliawoodError) as caught:
        curio.run(client.read_chain, quorum.Chain('t1'))
    assert caught.value.status == 503


GROUP_WITH_D = GROUP.replace('b', groups.Member('d', 'd', 'd'))


def _in_newer_group(message):
    if isinstance(message, messages.TakeGroup):
        return messages.CopyStatus('a', 4, GROUP_WITH_D)
    if message.epoch < GROUP_WITH_D.epoch:
        raise errors.MagnoliawoodError(errors.ErrorCode.STALE_EPOCH, 'older')
    return _empty(message)


def _requester_of_newer_group():
    return _Requester(b=LOST, **dict.fromkeys('acd', _in_newer_group))


def test_newer_group_is_read_from_a_keeper_in_a_store_outage():
    store = _Store()
    client = _client(_requester_of_newer_group(), store)
    client.update_group(GROUP)
    store.group = None
    curio.run(client.write, [TURN])
    assert client.group == GROUP_WITH_D


def test_newer_group_is_read_though_the_group_was_read_just_before():
    """Guards against turns that ran and are cut as a planned change begins.

    Both tries of their write were for the group before the change (issue 45).
    """
    requester = _Requester(**dict.fromkeys('abc', _empty))
    client = _client(requester)
    curio.run(client.refresh)
    requester.keepers = _requester_of_newer_group().keepers
    curio.run(client.write, [TURN])
    assert client.group == GROUP_WITH_D


def test_turn_that_ran_is_stored_once_the_group_has_changed():
    """Guards against a turn that is cut while the size of its group changes.

    All replicas are incomplete for a moment then (issue 45).
    """
    left = itertools.count(20, -1)

    def incomplete_at_first(message):
        if isinstance(message, messages.WriteRecords) and next(left) > 0:
            code = errors.ErrorCode.COPY_INCOMPLETE
            raise errors.MagnoliawoodError(code, 'copying')
        return _empty(message)

    requester = _Requester(**dict.fromkeys('abc', incomplete_at_first))
    client = _client(requester)
    with pytest.raises(errors.MagnoliawoodError):
        curio.run(client.write, [CHARGE])
    curio.run(client.write_turn, TURN, [], [])
    assert next(left) < 0
    requester.keepers = dict.fromkeys('abc', LOST)
    requester.requested.clear()
    with pytest.raises(errors.MagnoliawoodError):
        curio.run(client.write_turn, TURN, [], [])
    assert len(_requested(requester, messages.WriteRecords)) == 2 * 3


class _SilentStore(_Store):
    """Group store that never responds."""

    def __init__(self):
        super().__init__()
        self.reading = curio.Event()

    async def read(self):
        await self.reading.set()
        await curio.sleep(3600)


def test_newer_group_is_read_while_the_store_is_silent():
    """Guards against writes that wait for the store (issue 45)."""
    requester = _Requester(**dict.fromkeys('abc', _empty))
    store = _SilentStore()
    client = _client(requester, store)
    client.update_group(GROUP)

    async def write_during_refresh():
        refresh = await curio.spawn(client.refresh)
        await store.reading.wait()
        requester.keepers = _requester_of_newer_group().keepers
        await curio.timeout_after(5, client.write, [TURN])
        await refresh.cancel()

    curio.run(write_during_refresh)
    assert client.group == GROUP_WITH_D


def test_keepers_that_know_no_newer_group_cause_no_further_reads():
    """Guards against a store that is read at each failed request."""

    def of_another_disk(message):
        if isinstance(message, messages.TakeGroup):
            return messages.CopyStatus('x', 0, GROUP)
        raise errors.MagnoliawoodError(errors.ErrorCode.STALE_EPOCH, 'disk')

    store = _Store()
    reads = []
    read = store.read
    store.read = lambda: reads.append(1) or read()
    client = _client(_Requester(a=of_another_disk, b=LOST, c=LOST), store)
    for _ in range(2):
        with pytest.raises(errors.MagnoliawoodError):
            curio.run(client.write, [TURN])
    assert len(reads) == 1


def test_operations_fail_at_once_when_no_replica_is_reachable():
    """Guards against futile requests while no keeper is reachable.

    Without the circuit breaker, each turn of such a gateway would send
    requests and wait until they fail.
    """
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
    requested = len(requester.requested)
    with pytest.raises(errors.MagnoliawoodError) as caught:
        curio.run(client.write, [TURN])
    assert len(requester.requested) == requested
    assert caught.value.retry_after > datetime.timedelta()
    requester.keepers = dict.fromkeys('abc', _empty)
    clock.advance(datetime.timedelta(seconds=1))
    curio.run(client.write, [TURN])
    assert client.is_reachable


DISKS_OF_FIVE = tuple(groups.Member(name, name, name) for name in 'abcde')
CHARGE = records.ChargeRecord('p', 'a1', 16, True, 4e9)


def _client_of_five(requester):
    return _client(requester, _Store(groups.Group(4, 2, DISKS_OF_FIVE)))


def _requested(requester, kind):
    return [
        address
        for address, message in requester.requested
        if isinstance(message, kind)
    ]


def test_turns_are_written_to_all_replicas():
    requester = _Requester(**dict.fromkeys('abcde', _empty))
    curio.run(_client_of_five(requester).write, [TURN])
    assert sorted(_requested(requester, messages.WriteRecords)) == list(
        'abcde'
    )


def test_requests_go_to_no_more_replicas_than_needed():
    """Guards against surplus messages under many short turns.

    Each message costs gateways and keepers time.
    """
    requester = _Requester(**dict.fromkeys('abcde', _empty))
    client = _client_of_five(requester)
    curio.run(client.settle, CHARGE)
    assert len(_requested(requester, messages.WriteRecords)) == 3
    curio.run(client.read_charges, 'p')
    assert len(_requested(requester, messages.ReadCharges)) == 3


def test_request_to_failed_replica_goes_to_another():
    requester = _Requester(a=LOST, b=LOST, c=_empty, d=_empty, e=_empty)
    replies = curio.run(_client_of_five(requester).read_charges, 'p')
    assert len(replies) == 3


class _UnresponsiveRequester(_Requester):
    """Fake keepers; those given as ``None`` never respond."""

    async def request(self, address, message, timeout):
        if self.keepers[address] is None:
            self.requested.append((address, message))
            await curio.Event().wait()
        return await super().request(address, message, timeout)


def test_unresponsive_replica_delays_one_request_only():
    requester = _UnresponsiveRequester(
        a=None, b=_empty, c=_empty, d=_empty, e=_empty
    )
    client = _client_of_five(requester)
    for _ in range(5):
        assert len(curio.run(client.read_charges, 'p')) == 3
    assert _requested(requester, messages.ReadCharges).count('a') == 1


class _Ledgers(_Requester):
    """Keepers that store charges and list those of a program.

    :param releases_before: keepers of an earlier release, which list none
    """

    def __init__(self, releases_before=''):
        super().__init__()
        self.charges = {name: [] for name in 'abcde'}
        self._releases_before = releases_before

    async def request(self, address, message, timeout):
        self.requested.append((address, message))
        charges = self.charges[address]
        if isinstance(message, messages.ReadCharges):
            return messages.Charges(list(charges))
        for record in map(records.decode, message.records):
            charges.append(ledgers.Charge(record.attempt_id, 16, False))
        if address in self._releases_before:
            return messages.RecordsWritten()
        return messages.RecordsWritten(list(charges))


def _charge(client, attempt_id):
    charge = records.ChargeRecord('p', attempt_id, 16, False, 4e9)
    return curio.run(client.charge, 'p', [charge])


def test_turns_in_succession_each_take_one_round_to_a_quorum():
    """Guards against surplus messages under many short turns."""
    requester = _Ledgers()
    for number, client in enumerate(
        [_client_of_five(requester), _client_of_five(requester)]
    ):
        listed = _charge(client, f'a{number}')
        assert [len(charges) for charges in listed] == [number + 1] * 3
    assert len(requester.requested) == 6
    assert len({address for address, _ in requester.requested}) == 3


def test_programs_spread_over_all_replicas():
    requester = _Ledgers()
    client = _client_of_five(requester)
    for number in range(30):
        curio.run(client.charge, f'p{number}', [])
    assert {address for address, _ in requester.requested} == set('abcde')


def test_charge_that_disks_list_differently_is_read_again():
    """Guards against three attempts of which each sees only one other."""
    requester = _Ledgers()
    client = _client_of_five(requester)
    _charge(client, 'a0')
    requester.charges[requester.requested[0][0]].append(
        ledgers.Charge('concurrent', 16, False)
    )
    listed = _charge(client, 'a1')
    assert len(_requested(requester, messages.ReadCharges)) == 3
    attempts = {charge.attempt_id for disk in listed for charge in disk}
    assert attempts == {'a0', 'a1', 'concurrent'}


def test_charge_on_keepers_of_an_earlier_release_is_read_again():
    requester = _Ledgers(releases_before='abcde')
    assert len(_charge(_client_of_five(requester), 'a0')) == 3
    assert len(_requested(requester, messages.ReadCharges)) == 3
