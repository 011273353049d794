"""Budget of the memory and connections that clients make a process hold.

Whatever a client can make a process hold belongs to a holding, and is taken
from the budget before the memory is used. If the budget is spent, the holding
gives way that holds most for longest without progress; if none may, the
request that asks for more is refused.
"""

import collections.abc
import dataclasses
import datetime
import logging

from magnoliawood.core import clock as clocks
from magnoliawood.telemetry import registry as registries

# Held for each connection, also an idle one: its tasks, its parser, what is
# read ahead, and what lies unread in the kernel.
CONNECTION_BYTES = 40 * 1024
# A holding of this size or less may use the whole budget; larger ones leave a
# part of it to small requests.
SMALL_BYTES = 128 * 1024
_SHARE_OF_LARGE = 0.75
# Bytes that a client has to send or read to make progress.
PROGRESS_BYTES = 64 * 1024
_LOG_INTERVAL = datetime.timedelta(seconds=10)

_log = logging.getLogger(__name__)

GiveWay = collections.abc.Callable[[], collections.abc.Awaitable[None]]


@dataclasses.dataclass(frozen=True, slots=True)
class BudgetLimits:
    """Limits on what all clients of a process hold together.

    :param memory_bytes: memory for connections, bodies and responses
    :param connections: number of connections
    :param stall_time: time without progress after which a request that is
        received, or a response that is read, gives way to others
    """

    memory_bytes: int
    connections: int
    stall_time: datetime.timedelta = datetime.timedelta(seconds=1)


def limit_for(size: int, limit_bytes: int) -> int:
    """Return how much of a limit may be used for what has a given size.

    Examples
    ========

    >>> limit_for(1000, 1_000_000), limit_for(200_000, 1_000_000)
    (1000000, 750000)
    """
    if size <= SMALL_BYTES:
        return limit_bytes
    return int(limit_bytes * _SHARE_OF_LARGE)


class Holding:
    """What one connection holds."""

    def __init__(
        self, budget: 'ClientBudget', now: datetime.timedelta
    ) -> None:
        self._budget = budget
        self._give_way: GiveWay | None = None
        self._bytes = 0
        # Time since when it makes no progress, once it was looked at.
        self._since: datetime.timedelta | None = now
        self._is_idle = True
        self._is_fixed = False
        self._is_lost = False
        self._moved_bytes = 0

    @property
    def held_bytes(self) -> int:
        """Memory that was taken and not given back."""
        return self._bytes

    @property
    def most_bytes(self) -> int:
        """Memory that it may ever hold."""
        return self._budget.limit_of_large_bytes

    @property
    def is_lost(self) -> bool:
        """Whether it gave way, or its connection has ended."""
        return self._is_lost

    def add(self, size: int) -> None:
        """Record memory that the budget granted."""
        self._bytes += size

    async def take(self, size: int) -> bool:
        """Take memory before it is used.

        :param size: in bytes
        :returns: whether it was taken; otherwise nothing was
        """
        return await self._budget.take(self, size)

    async def take_at_most(self, size: int) -> bool:
        """Take memory; no more than a single request may ever hold.

        What needs more than that is served while no other large request is.

        :param size: in bytes
        :returns: whether it was taken; otherwise nothing was
        """
        left = self.most_bytes - self._bytes
        return await self.take(max(0, min(size, left)))

    def refuse_as_too_large(self) -> None:
        """Record a request that needs more than it may ever hold."""
        self._budget.refuse('values')

    def give_back(self, size: int) -> None:
        """Give memory back that was taken."""
        size = max(0, min(size, self._bytes))
        self._bytes -= size
        self._budget.give_back(size)

    def now(self) -> datetime.timedelta:
        """Return the monotonic time."""
        return self._budget.now()

    def end_with(self, give_way: GiveWay) -> None:
        """Set what ends the connection, so that what it holds is freed."""
        self._give_way = give_way

    def begin_receiving(self, now: datetime.timedelta) -> None:
        """Record that a part of a request has arrived."""
        if self._is_idle:
            self._is_idle = False
            self._since = now
            self._moved_bytes = 0

    def begin_serving(self) -> None:
        """Record that it can't give way, since its request may be running."""
        self._is_idle = False
        self._is_fixed = True

    def wait_for_client(self) -> None:
        """Record that it may give way again: its client has to move."""
        self._is_fixed = False
        self._restart()

    def end_request(self) -> None:
        """Give back all that a request took."""
        self.give_back(self._bytes - CONNECTION_BYTES)
        self._is_fixed = False
        self._restart()

    def become_idle(self, now: datetime.timedelta) -> None:
        """Record that the connection waits for a request."""
        self._is_idle = True
        self._since = now
        self._moved_bytes = 0

    @property
    def is_wanted(self) -> bool:
        """Whether all connections are taken, and others need this one."""
        return self._budget.is_full

    def record_moved(self, size: int) -> None:
        """Record that the client has sent or read some bytes."""
        self._moved_bytes += size
        if self._moved_bytes >= PROGRESS_BYTES:
            self._restart()

    def close(self) -> None:
        """Give back everything; the connection has ended."""
        self._is_lost = True
        self.give_back(self._bytes)
        self._budget.remove(self)

    def _restart(self) -> None:
        self._since = None
        self._moved_bytes = 0

    def stalled_time(self) -> datetime.timedelta | None:
        """Return how long it made no progress; ``None`` if it may stay."""
        if self._is_fixed or self._is_lost:
            return None
        now = self._budget.now()
        if self._since is None:
            self._since = now
        stalled = now - self._since
        if not self._is_idle and stalled < self._budget.stall_time:
            return None
        return stalled

    async def evict(self) -> None:
        """Make it give way to others."""
        phase = self._budget.idle_phase if self._is_idle else 'stalled'
        self._budget.record_eviction(phase)
        self.close()
        if self._give_way is not None:
            await self._give_way()


class ClientBudget:
    """What all clients of a process may make it hold.

    :param registry: counts what gave way and what was refused
    :param idle_phase: name under which idle connections are counted that
        gave way

    Examples
    ========

    >>> budget = ClientBudget(
    ...     BudgetLimits(1024 * 1024, 10), clocks.ManualClock()
    ... )
    >>> budget.held_bytes
    0
    """

    def __init__(
        self,
        limits: BudgetLimits,
        clock: clocks.Clock,
        registry: registries.Registry | None = None,
        idle_phase: str = 'idle',
    ) -> None:
        self.idle_phase = idle_phase
        self._limits = limits
        self._clock = clock
        self._registry = registry or registries.Registry()
        self._holdings: set[Holding] = set()
        self._held_bytes = 0
        self._logged: datetime.timedelta | None = None

    @property
    def held_bytes(self) -> int:
        """Memory that all clients hold."""
        return self._held_bytes

    @property
    def connections(self) -> int:
        """Number of connections."""
        return len(self._holdings)

    @property
    def limit_of_large_bytes(self) -> int:
        """Memory that large requests may hold together."""
        return limit_for(SMALL_BYTES + 1, self._limits.memory_bytes)

    @property
    def stall_time(self) -> datetime.timedelta:
        """Time after which one without progress may have to give way."""
        return self._limits.stall_time

    def now(self) -> datetime.timedelta:
        """Return the monotonic time."""
        return self._clock.monotonic()

    @property
    def is_limited(self) -> bool:
        """Whether it has any limits."""
        return self._limits.memory_bytes < _NO_LIMIT

    @property
    def is_full(self) -> bool:
        """Whether there are as many connections as there may be."""
        return len(self._holdings) >= self._limits.connections

    async def open(self) -> Holding | None:
        """Return the holding of a new connection.

        :returns: ``None`` if there is no room, and the connection is refused
        """
        while self.is_full:
            stalled = self._find_stalled(lambda holding: 1)
            if not stalled:
                self.refuse('connections')
                return None
            await stalled[0].evict()
        holding = Holding(self, self.now())
        self._holdings.add(holding)
        if await holding.take(CONNECTION_BYTES):
            return holding
        holding.close()
        return None

    async def take(self, holding: Holding, size: int) -> bool:
        """Take memory for a holding."""
        if holding.is_lost:
            return False
        limit = limit_for(holding.held_bytes + size, self._limits.memory_bytes)
        while self._held_bytes + size > limit:
            if not await self._make_room(holding, size, limit):
                self.refuse('memory')
                return False
        self._held_bytes += size
        holding.add(size)
        return True

    async def _make_room(
        self, holding: Holding, size: int, limit: int
    ) -> bool:
        """Let others give way until a size fits.

        :returns: whether enough of them may; otherwise none has
        """
        others = self._find_stalled(
            lambda other: 0 if other is holding else other.held_bytes
        )
        held = sum(other.held_bytes for other in others)
        if self._held_bytes + size - held > limit:
            return False
        for other in others:
            if self._held_bytes + size <= limit:
                break
            await other.evict()
        return True

    def give_back(self, size: int) -> None:
        """Give memory back."""
        self._held_bytes -= size

    def remove(self, holding: Holding) -> None:
        """Forget a holding whose connection has ended."""
        self._holdings.discard(holding)

    def record_eviction(self, phase: str) -> None:
        """Count a holding that gives way."""
        self._registry.count('client_evictions_total', phase=phase)
        self._log_pressure()

    def _find_stalled(
        self, weight: collections.abc.Callable[[Holding], int]
    ) -> list[Holding]:
        """Return the holdings that may give way.

        :returns: the one that weighs most for longest first
        """
        weighed = [
            (weight(holding) * stalled.total_seconds(), holding)
            for holding in self._holdings
            if (stalled := holding.stalled_time()) is not None
            and weight(holding)
        ]
        weighed.sort(key=lambda pair: pair[0], reverse=True)
        return [holding for _, holding in weighed]

    def refuse(self, reason: str) -> None:
        """Count a connection or a request for which there is no room."""
        self._registry.count('client_budget_refusals_total', reason=reason)
        self._log_pressure()

    def _log_pressure(self) -> None:
        """Log that clients hold all that they may, now and then."""
        now = self.now()
        if self._logged is not None and now - self._logged < _LOG_INTERVAL:
            return
        self._logged = now
        _log.warning(
            'clients hold all that they may',
            extra={
                'held_bytes': self._held_bytes,
                'limit_bytes': self._limits.memory_bytes,
                'connections': len(self._holdings),
                'connection_limit': self._limits.connections,
            },
        )


_NO_LIMIT = 2**62


def unlimited(clock: clocks.Clock) -> ClientBudget:
    """Return a budget without limits."""
    return ClientBudget(BudgetLimits(_NO_LIMIT, _NO_LIMIT), clock)


def unlimited_holding(clock: clocks.Clock) -> Holding:
    """Return the holding of a connection that no budget limits."""
    return Holding(unlimited(clock), clock.monotonic())
