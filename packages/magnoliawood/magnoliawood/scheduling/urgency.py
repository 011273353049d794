"""Order of the requests that wait for room at the upstreams."""

import collections
import collections.abc
import dataclasses
import datetime

# Share of the target after which a refusal would hold the caller up: it has
# to be told before that it is refused.
EARLY_SHARE = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class WaitingRequest:
    """Request that needs room at an upstream; the times are monotonic.

    :param account: name of the client account; empty if none
    :param priority: priority of the account, then of the route; 0 is the
        highest
    :param arrived: time at which it arrived
    :param first_arrived: time at which it arrived for the first time, if it
        has been refused before
    :param due: time at which it should be done: the whole program if it is
        part of one in progress
    :param deadline: time at which it is aborted
    :param target: time within which it counts as on time
    :param run_time: time that its run is expected to take
    :param tokens: engine memory that it is expected to need
    :param has_begun: whether its caller already receives the stream
    :param is_new: whether it begins a program
    :param is_part: whether it is a turn of a program in progress
    :param has_place: whether it was refused, and a place kept for its return
    """

    account: str
    priority: tuple[int, int]
    arrived: datetime.timedelta
    first_arrived: datetime.timedelta
    due: datetime.timedelta
    deadline: datetime.timedelta
    target: datetime.timedelta
    run_time: datetime.timedelta = datetime.timedelta()
    tokens: int = 0
    has_begun: bool = False
    is_new: bool = False
    is_part: bool = False
    has_place: bool = False

    @property
    def start_on_time(self) -> datetime.timedelta:
        """Latest time to start it so that it is done when it is due."""
        return self.due - self.run_time

    @property
    def last_start(self) -> datetime.timedelta:
        """Latest time to start it so that it ends before its deadline."""
        return self.deadline - self.run_time

    @property
    def refuse_by(self) -> datetime.timedelta:
        """Time until which a refusal does not hold up its caller."""
        return self.arrived + self.target * EARLY_SHARE


# What does not change while a request waits.
Rank = tuple[bool, bool, tuple[int, int]]


def rank(request: WaitingRequest) -> Rank:
    """Return the rank of a request, whether on time or not."""
    return not request.has_begun, request.is_new, request.priority


Order = tuple[bool, bool, bool, tuple[int, int], float, datetime.timedelta]


def order(
    request: WaitingRequest, now: datetime.timedelta, account_use: float
) -> Order:
    """Return the key by which requests are sorted, the first to run first.

    Explanation
    ===========

    Streams that have begun come first, then what can still be on time, what
    is in progress, the priority, the account that uses less and the earliest
    time due. One that returns after a refusal is as old as at its first
    arrival.

    Examples
    ========

    >>> second = datetime.timedelta(seconds=1)
    >>> start = datetime.timedelta()
    >>> urgent, other = (
    ...     WaitingRequest('', (0, rank), start, start, 2 * second,
    ...                    4 * second, 2 * second)
    ...     for rank in (0, 1)
    ... )
    >>> order(urgent, start, 0.9) < order(other, start, 0.1)
    True
    >>> order(urgent, start, 0.9) < order(urgent, start, 0.1)
    False

    :param account_use: share of what is under way that its account has
    """
    age_at_arrival = request.arrived - request.first_arrived
    return (
        not request.has_begun,
        now > request.start_on_time,
        request.is_new,
        request.priority,
        account_use,
        request.due - age_at_arrival,
    )


class AccountUse:
    """Share of the room under way that each client account has.

    Explanation
    ===========

    The larger of its shares of slots and of tokens counts, so that neither
    many short requests nor few long ones gain. An account without requests
    under way takes no space.

    Examples
    ========

    >>> use = AccountUse()
    >>> use.add('calm', 100)
    >>> use.add('busy', 100)
    >>> use.add('busy', 800)
    >>> use.share('busy'), use.share('calm'), use.share('new')
    (0.9, 0.3333333333333333, 0.0)
    """

    def __init__(self) -> None:
        self._slots: collections.Counter[str] = collections.Counter()
        self._tokens: collections.Counter[str] = collections.Counter()
        self._all_slots = 0
        self._all_tokens = 0

    def add(self, account: str, tokens: int) -> None:
        """Record a request that has got room."""
        self._change(account, 1, tokens)

    def remove(self, account: str, tokens: int) -> None:
        """Record the end of a request that had room."""
        self._change(account, -1, -tokens)

    def slots(self) -> collections.abc.Mapping[str, int]:
        """Return the requests under way by account."""
        return self._slots

    def share(self, account: str) -> float:
        """Return the share that an account has of what is under way."""
        slots = self._slots.get(account, 0) / max(1, self._all_slots)
        tokens = self._tokens.get(account, 0) / max(1, self._all_tokens)
        return max(slots, tokens)

    def is_over_share(self, account: str) -> bool:
        """Return whether an account has more than an equal share."""
        accounts = len(self._slots)
        return accounts > 1 and self.share(account) > 1 / accounts

    def _change(self, account: str, slots: int, tokens: int) -> None:
        self._slots[account] += slots
        self._tokens[account] += tokens
        self._all_slots += slots
        self._all_tokens += tokens
        if not self._slots[account]:
            del self._slots[account]
            del self._tokens[account]
