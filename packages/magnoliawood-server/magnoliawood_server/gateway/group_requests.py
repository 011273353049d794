"""Requests to quorums of the replica group, whose newest epoch is tracked."""

import collections.abc
import dataclasses
import datetime
import itertools
import logging
import typing

import curio

from magnoliawood.core import clock as clocks
from magnoliawood.core import errors
from magnoliawood.limits import circuit_breaker
from magnoliawood.replication import group as groups
from magnoliawood.replication import preference
from magnoliawood.telemetry import registry as registries
from magnoliawood_server.gateway import quorum_calls
from magnoliawood_server.gateway import quorum_log
from magnoliawood_server.keeper import messages
from magnoliawood_server.platform import group_store as group_stores
from magnoliawood_server.platform import objects

REQUEST_TIMEOUT = datetime.timedelta(milliseconds=900)
RETRY_AFTER = datetime.timedelta(milliseconds=300)
# After this long without a reply, requests are sent to the other replicas too.
HEDGE_DELAY = datetime.timedelta(milliseconds=30)
# Minimum time between two reads of the replica group.
REFRESH_INTERVAL = datetime.timedelta(milliseconds=400)
# Tries of one operation: the group may change during the first one.
MAX_TRIES = 2
# Pauses before further tries of what has to succeed, while replicas that
# respond take part in a change of the group: 1.5 s in all.
CHANGE_PAUSES = tuple(
    datetime.timedelta(milliseconds=pause)
    for pause in (50, 50, 100, 100, 200, 200, 400, 400)
)
# Codes with which a replica responds while its group changes.
_CHANGE_CODES = frozenset(
    {errors.ErrorCode.STALE_EPOCH, errors.ErrorCode.COPY_INCOMPLETE}
)

_log = logging.getLogger(__name__)


class ReplicasFull(errors.MagnoliawoodError):  # noqa: N818
    """Too few replicas have room for a record."""


RequestFactory = collections.abc.Callable[[groups.Member, int], typing.Any]


@dataclasses.dataclass(frozen=True, slots=True)
class _GroupResult:
    """Outcome of requests to the replicas of one group.

    :param replies: replies of a quorum; ``None`` if there was none
    :param codes: codes with which replicas rejected the request
    :param failure: why there was no quorum; empty if no group is known
    """

    replies: list[typing.Any] | None
    codes: frozenset[errors.ErrorCode] = frozenset()
    failure: str = ''

    @property
    def is_outdated(self) -> bool:
        """Whether a replica rejected the epoch as stale."""
        return errors.ErrorCode.STALE_EPOCH in self.codes

    @property
    def is_full(self) -> bool:
        """Whether a replica has no room for the records."""
        return errors.ErrorCode.OVERLOADED in self.codes

    @property
    def is_group_changing(self) -> bool:
        """Whether a replica takes part in a change of the group."""
        return bool(_CHANGE_CODES & self.codes)


_NOT_ASKED = _GroupResult(None)


class GroupRequester:
    """Sends requests to quorums of the replica group.

    :param store: store that holds the agreed replica group
    :param requester: sends messages to keepers
    :param registry: counts the quorums that were not reached
    """

    def __init__(
        self,
        store: group_stores.GroupStore,
        requester: quorum_calls.RoundRequester,
        clock: clocks.Clock,
        registry: registries.Registry,
    ) -> None:
        self._store = store
        self._registry = registry
        self._requester = requester
        self._clock = clock
        self._group: groups.Group | None = None
        self._refresh_lock = curio.Lock()
        self._refreshed: datetime.timedelta | None = None
        self._following_lock = curio.Lock()
        self._following_began: datetime.timedelta | None = None
        self._circuit_breaker = circuit_breaker.CircuitBreaker(clock)
        self._preference = preference.ReplicaPreference(clock)
        self._failures = quorum_log.QuorumLog(clock)

    @property
    def group(self) -> groups.Group | None:
        """The newest known replica group, if any."""
        return self._group

    @property
    def is_reachable(self) -> bool:
        """Whether the last operations reached a quorum of replicas."""
        return not self._circuit_breaker.is_open

    def update_group(self, group: groups.Group | None) -> None:
        """Set the replica group if its epoch is newer than the known one."""
        if group is None:
            return
        if self._group is None or group.epoch > self._group.epoch:
            self._group = group
            _log.info(
                'replica group updated',
                extra={
                    'epoch': group.epoch,
                    'members': [member.host for member in group.members],
                },
            )

    async def refresh(self) -> None:
        """Read the replica group, unless it was read within the interval."""
        async with self._refresh_lock:
            now = self._clock.monotonic()
            if (
                self._refreshed is not None
                and now - self._refreshed < REFRESH_INTERVAL
            ):
                return
            await self._refresh()
            self._refreshed = self._clock.monotonic()

    async def _refresh(self) -> None:
        known_group = self._group
        if known_group is not None:
            await self._refresh_from_keepers(known_group)
            if self._group is not known_group:
                return
        try:
            stored = await self._store.read()
        except (objects.StoreUnavailable, ValueError) as error:
            _log.warning(
                'replica group not read from the store',
                extra={'error': str(error)},
            )
            return
        if stored is not None:
            self.update_group(stored.group)

    async def _follow_keepers(self, outdated: groups.Group) -> bool:
        """Ask the keepers for the group that replaced a known one.

        Explanation
        ===========

        A keeper that rejects an epoch as stale knows a newer group, so this
        waits neither for the interval nor for the store. Requests that failed
        before the keepers were asked share their replies.

        :returns: whether a newer group is known now
        """
        failed_at = self._clock.monotonic()
        async with self._following_lock:
            began = self._following_began
            if self._group is outdated and (
                began is None or began <= failed_at
            ):
                self._following_began = self._clock.monotonic()
                await self._refresh_from_keepers(outdated)
        return self._group is not outdated

    async def _refresh_from_keepers(self, known_group: groups.Group) -> None:
        result = await quorum_calls.request_until(
            self._requester,
            [
                quorum_calls.PeerRequest(
                    member.disk_id,
                    member.address,
                    messages.TakeGroup(known_group),
                )
                for member in known_group.members
            ],
            REQUEST_TIMEOUT / 3,
            lambda peer_replies: any(
                peer_reply.reply is not None
                and peer_reply.reply.group is not None
                and peer_reply.reply.group.epoch > known_group.epoch
                for peer_reply in peer_replies
            ),
        )
        for peer_reply in result.peer_replies:
            if peer_reply.reply is not None:
                self.update_group(peer_reply.reply.group)

    async def request(
        self,
        make_request: RequestFactory,
        quorum_of: collections.abc.Callable[[groups.Group], int],
        is_final: collections.abc.Callable[[typing.Any], bool] | None = None,
        sends_to_all: bool = True,
        key: str = '',
        requester: quorum_calls.RoundRequester | None = None,
        waits_for_change: bool = False,
    ) -> list[typing.Any]:
        """Return the replies of a quorum.

        :param is_final: returns whether one reply is sufficient by itself
        :param sends_to_all: whether requests are sent to all replicas at
            once, rather than to a quorum first
        :param key: whoever names the same key asks the same replicas first
        :param requester: sends the messages in place of the usual one
        :param waits_for_change: whether to go on trying for a while if the
            group changes
        """
        if not self._circuit_breaker.allow_request():
            raise self._unavailable(
                'not_asked', 'no replica was asked, since too few responded'
            )
        pauses = iter(CHANGE_PAUSES if waits_for_change else ())
        failure = ''
        for number in itertools.count(1):
            if self._group is None:
                await self.refresh()
            group = self._group
            result = _NOT_ASKED
            if group is not None:
                result = await self._request_group(
                    group,
                    make_request,
                    quorum_of(group),
                    is_final,
                    sends_to_all,
                    key,
                    requester or self._requester,
                )
            if result.replies is not None:
                self._record_reachability(True)
                return result.replies
            failure = result.failure or failure
            if number >= MAX_TRIES:
                pause = next(pauses, None)
                if pause is None or not result.is_group_changing:
                    break
                await curio.sleep(pause.total_seconds())
            await self._update_after(group, result)
        if result.is_full:
            self._registry.count('quorum_failures_total', reason='full')
            raise ReplicasFull(
                errors.ErrorCode.STORE_UNAVAILABLE,
                failure,
                retry_after=RETRY_AFTER,
            )
        self._record_reachability(False)
        if not failure:
            raise self._unavailable('no_group', 'no replica group is known')
        raise self._unavailable('too_few', failure)

    def _unavailable(
        self, reason: str, detail: str
    ) -> errors.MagnoliawoodError:
        self._registry.count('quorum_failures_total', reason=reason)
        return errors.MagnoliawoodError(
            errors.ErrorCode.STORE_UNAVAILABLE, detail, retry_after=RETRY_AFTER
        )

    async def _update_after(
        self, group: groups.Group | None, result: _GroupResult
    ) -> None:
        """Look for a newer group after a try that failed."""
        is_followed = (
            group is not None
            and result.is_outdated
            and await self._follow_keepers(group)
        )
        if not is_followed:
            await self.refresh()

    def _record_reachability(self, is_reachable: bool) -> None:
        was_open = self._circuit_breaker.is_open
        if is_reachable:
            self._circuit_breaker.record_success()
        else:
            self._circuit_breaker.record_failure()
        if self._circuit_breaker.is_open != was_open:
            change = 'lost' if self._circuit_breaker.is_open else 'regained'
            _log.warning(
                f'quorum of replicas {change}',
                extra={'epoch': self._group.epoch if self._group else 0},
            )

    async def _request_group(
        self,
        group: groups.Group,
        make_request: RequestFactory,
        needed: int,
        is_final: collections.abc.Callable[[typing.Any], bool] | None,
        sends_to_all: bool,
        key: str,
        requester: quorum_calls.RoundRequester,
    ) -> _GroupResult:
        def replies_of(
            peer_replies: list[quorum_calls.PeerReply],
        ) -> list[typing.Any]:
            return [
                peer_reply.reply
                for peer_reply in peer_replies
                if peer_reply.error is None
            ]

        def is_enough(peer_replies: list[quorum_calls.PeerReply]) -> bool:
            replies = replies_of(peer_replies)
            failures = len(peer_replies) - len(replies)
            if len(group.members) - failures < needed:
                return True
            if is_final is not None and any(map(is_final, replies)):
                return True
            return len(replies) >= needed

        result = await quorum_calls.request_until(
            requester,
            [
                quorum_calls.PeerRequest(
                    member.disk_id,
                    member.address,
                    make_request(member, group.epoch),
                )
                for member in self._order(group, key)
            ],
            REQUEST_TIMEOUT,
            is_enough,
            None if sends_to_all else needed,
            HEDGE_DELAY,
        )
        for disk_id in result.slow_peers:
            self._preference.mark_slow(disk_id)
        replies = replies_of(result.peer_replies)
        if len(replies) >= needed or (
            is_final is not None and any(map(is_final, replies))
        ):
            return _GroupResult(replies)
        failed = quorum_log.errors_of(result.peer_replies)
        self._failures.log(group, needed, failed)
        return _GroupResult(
            None,
            frozenset(
                peer_reply.error.code
                for peer_reply in result.peer_replies
                if peer_reply.error is not None
            ),
            'too few replicas of the records responded: '
            f'epoch {group.epoch}, {needed} needed, {"; ".join(failed)}',
        )

    def _order(self, group: groups.Group, key: str) -> list[groups.Member]:
        if key:
            return self._preference.order_for(key, group.members)
        return self._preference.order(group.members)
