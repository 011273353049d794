"""Reads and writes records on the group of copies."""

import collections.abc
import datetime
import logging
import typing

import curio

from magnoliawood.core import clock as clocks
from magnoliawood.core import errors
from magnoliawood.limits import circuit_breaker
from magnoliawood.replication import group as groups
from magnoliawood.replication import preference
from magnoliawood.replication import quorum
from magnoliawood.turns import records
from magnoliawood_server.gateway import quorum_calls
from magnoliawood_server.keeper import messages
from magnoliawood_server.platform import group_store as group_stores
from magnoliawood_server.platform import objects

REQUEST_TIMEOUT = datetime.timedelta(milliseconds=900)
RETRY_AFTER = datetime.timedelta(milliseconds=300)
# Without an answer for this long, the other copies are asked as well.
HEDGE_DELAY = datetime.timedelta(milliseconds=30)
# The group is read again at most so often.
REFRESH_INTERVAL = datetime.timedelta(milliseconds=400)
# Failed quorums are logged at most so often, with their number.
WARN_INTERVAL = datetime.timedelta(milliseconds=500)
# Tries of one operation, since the group may change in between.
MAX_TRIES = 2

# No program has this name.
_PROBED_PROGRAM = ''

_log = logging.getLogger(__name__)

RequestFactory = collections.abc.Callable[[groups.Member, int], typing.Any]


class RecordClient:
    """Client of the group of copies.

    :param store: where the group is agreed
    """

    def __init__(
        self,
        store: group_stores.GroupStore,
        pool: quorum_calls.Requester,
        clock: clocks.Clock,
    ) -> None:
        self._store = store
        self._pool = pool
        self._clock = clock
        self._group: groups.Group | None = None
        self._refresh_lock = curio.Lock()
        self._refreshed: datetime.timedelta | None = None
        self._circuit_breaker = circuit_breaker.CircuitBreaker(clock)
        self._preference = preference.ReplicaPreference(clock)
        self._warned: datetime.timedelta | None = None
        self._unlogged = 0

    @property
    def group(self) -> groups.Group | None:
        """The newest group that is known."""
        return self._group

    @property
    def is_reachable(self) -> bool:
        """Whether enough copies answered lately."""
        return not self._circuit_breaker.is_open

    def update_group(self, group: groups.Group | None) -> None:
        """Take over a group unless a newer one is known."""
        if group is None:
            return
        if self._group is None or group.epoch > self._group.epoch:
            self._group = group
            _log.info(
                'group of copies in force',
                extra={
                    'epoch': group.epoch,
                    'members': [member.host for member in group.members],
                },
            )

    async def write(
        self, found: collections.abc.Iterable[records.Record]
    ) -> None:
        """Store records on as many disks as may not all be lost.

        :raises MagnoliawoodError: with ``store_unavailable`` if too few
            disks confirmed them; they may be stored all the same
        """
        await self._write(found, are_all_asked=True)

    async def settle(self, charge: records.ChargeRecord) -> None:
        """Store what an attempt has spent, on no more disks than needed.

        Explanation
        ===========

        Without its settlement an attempt stays charged with its most, so
        nothing is lost with it.

        :raises MagnoliawoodError: with ``store_unavailable`` if too few
            disks confirmed it
        """
        await self._write([charge], are_all_asked=False)

    async def read_charges(self, program_id: str) -> list[messages.Charges]:
        """Return the charges of a program as a read quorum knows them.

        :raises MagnoliawoodError: with ``store_unavailable`` if too few
            disks answered
        """

        def make_request(member: groups.Member, epoch: int) -> typing.Any:
            return messages.ReadCharges(epoch, member.disk_id, program_id)

        return await self._request(
            make_request, lambda group: group.read_quorum, are_all_asked=False
        )

    async def read_chain(self, chain: quorum.Chain) -> quorum.Chain:
        """Return a chain completed from the copies.

        :raises MagnoliawoodError: with ``unknown_call`` if a turn of it
            certainly does not exist, with ``store_unavailable`` if too few
            disks answered to tell
        """
        while not chain.is_complete:
            missing_id = chain.missing_id
            chain = chain.extend(await self._read_turns(missing_id))
            if chain.missing_id == missing_id:
                raise errors.MagnoliawoodError(
                    errors.ErrorCode.UNKNOWN_CALL,
                    f'no turn {missing_id}',
                )
        return chain

    async def probe_forever(self) -> None:
        """Find out when copies that were lost answer again.

        Explanation
        ===========

        A gateway that reaches too few copies says that it isn't ready, so
        no request may come that would find out.
        """
        while True:
            await curio.sleep(circuit_breaker.PROBE_INTERVAL.total_seconds())
            if self._circuit_breaker.is_open:
                try:
                    await self.read_charges(_PROBED_PROGRAM)
                except errors.MagnoliawoodError:
                    continue

    async def refresh(self) -> None:
        """Read the group again, unless that was done a moment ago."""
        async with self._refresh_lock:
            now = self._clock.monotonic()
            if self._refreshed and now - self._refreshed < REFRESH_INTERVAL:
                return
            await self._refresh()
            self._refreshed = self._clock.monotonic()

    async def _refresh(self) -> None:
        known = self._group
        if known is not None:
            await self._refresh_from_keepers(known)
            if self._group is not known:
                return
        try:
            stored = await self._store.read()
        except (objects.StoreUnavailable, ValueError) as error:
            _log.warning('group not read', extra={'error': str(error)})
            return
        if stored is not None:
            self.update_group(stored.group)

    async def _refresh_from_keepers(self, known: groups.Group) -> None:
        answers = await quorum_calls.request_until(
            self._pool,
            [
                quorum_calls.PeerRequest(
                    member.disk_id, member.address, messages.TakeGroup(known)
                )
                for member in known.members
            ],
            REQUEST_TIMEOUT / 3,
            lambda answers: any(
                answer.reply is not None
                and answer.reply.group is not None
                and answer.reply.group.epoch > known.epoch
                for answer in answers
            ),
        )
        for answer in answers.found:
            if answer.reply is not None:
                self.update_group(answer.reply.group)

    async def _write(
        self,
        found: collections.abc.Iterable[records.Record],
        are_all_asked: bool,
    ) -> None:
        entries = [records.encode(record) for record in found]

        def make_request(member: groups.Member, epoch: int) -> typing.Any:
            return messages.WriteRecords(epoch, member.disk_id, entries)

        await self._request(
            make_request,
            lambda group: group.write_quorum,
            are_all_asked=are_all_asked,
        )

    async def _read_turns(self, turn_id: str) -> list[records.TurnRecord]:
        def make_request(member: groups.Member, epoch: int) -> typing.Any:
            return messages.ReadChain(epoch, member.disk_id, turn_id)

        replies = await self._request(
            make_request,
            lambda group: group.read_quorum,
            is_final=lambda reply: bool(reply.records),
            are_all_asked=False,
        )
        longest = max(replies, key=lambda reply: len(reply.records))
        decoded = map(records.decode, longest.records)
        return [
            record
            for record in decoded
            if isinstance(record, records.TurnRecord)
        ]

    async def _request(
        self,
        make_request: RequestFactory,
        quorum_of: collections.abc.Callable[[groups.Group], int],
        is_final: collections.abc.Callable[[typing.Any], bool] | None = None,
        are_all_asked: bool = True,
    ) -> list[typing.Any]:
        """Return the replies of a quorum.

        :param is_final: whether one reply is enough by itself
        :param are_all_asked: whether all copies are asked at once, and not
            just a quorum of them first
        """
        if not self._circuit_breaker.allow_request():
            raise _unavailable()
        for last_try in (False,) * (MAX_TRIES - 1) + (True,):
            if self._group is None:
                await self.refresh()
            group = self._group
            if group is not None:
                replies = await self._ask_group(
                    group,
                    make_request,
                    quorum_of(group),
                    is_final,
                    are_all_asked,
                )
                if replies is not None:
                    self._note_reachable(True)
                    return replies
            if not last_try:
                await self.refresh()
        self._note_reachable(False)
        raise _unavailable()

    def _note_reachable(self, is_reachable: bool) -> None:
        was_open = self._circuit_breaker.is_open
        if is_reachable:
            self._circuit_breaker.record_success()
        else:
            self._circuit_breaker.record_failure()
        if self._circuit_breaker.is_open != was_open:
            change = 'lost' if self._circuit_breaker.is_open else 'regained'
            _log.warning(
                f'copies {change}',
                extra={'epoch': self._group.epoch if self._group else 0},
            )

    async def _ask_group(
        self,
        group: groups.Group,
        make_request: RequestFactory,
        needed: int,
        is_final: collections.abc.Callable[[typing.Any], bool] | None,
        are_all_asked: bool,
    ) -> list[typing.Any] | None:
        def replies_of(
            answers: list[quorum_calls.PeerReply],
        ) -> list[typing.Any]:
            return [answer.reply for answer in answers if answer.error is None]

        def is_enough(answers: list[quorum_calls.PeerReply]) -> bool:
            replies = replies_of(answers)
            failures = len(answers) - len(replies)
            if len(group.members) - failures < needed:
                return True
            if is_final is not None and any(map(is_final, replies)):
                return True
            return len(replies) >= needed

        answers = await quorum_calls.request_until(
            self._pool,
            [
                quorum_calls.PeerRequest(
                    member.disk_id,
                    member.address,
                    make_request(member, group.epoch),
                )
                for member in self._preference.order(group.members)
            ],
            REQUEST_TIMEOUT,
            is_enough,
            None if are_all_asked else needed,
            HEDGE_DELAY,
        )
        for disk_id in answers.slow_peers:
            self._preference.mark_slow(disk_id)
        replies = replies_of(answers.found)
        if len(replies) >= needed or (
            is_final is not None and any(map(is_final, replies))
        ):
            return replies
        self._warn(group, needed, answers.found)
        return None

    def _warn(
        self,
        group: groups.Group,
        needed: int,
        answers: list[quorum_calls.PeerReply],
    ) -> None:
        """Log a failed quorum, but not once for each request."""
        now = self._clock.monotonic()
        if self._warned is not None and now - self._warned < WARN_INTERVAL:
            self._unlogged += 1
            return
        _log.warning(
            'too few copies answered',
            extra={
                'epoch': group.epoch,
                'needed': needed,
                'errors': [
                    str(answer.error) for answer in answers if answer.error
                ],
                'times_before': self._unlogged,
            },
        )
        self._warned = now
        self._unlogged = 0


def _unavailable() -> errors.MagnoliawoodError:
    return errors.MagnoliawoodError(
        errors.ErrorCode.STORE_UNAVAILABLE,
        'too few copies of the records answered',
        retry_after=RETRY_AFTER,
    )
