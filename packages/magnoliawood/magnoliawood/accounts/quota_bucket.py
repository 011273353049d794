"""One gateway's copy of the bucket of a client account.

:mod:`magnoliawood.accounts.quotas` explains how the copies work together.
"""

import collections.abc
import dataclasses
import datetime
import math

from magnoliawood.accounts import client_account
from magnoliawood.accounts import contacts as account_contacts
from magnoliawood.accounts import demand as demands

# Part of the requests allowed in a window, and number of requests, that may
# run beyond them; half of the platform's tolerance is kept for the rest.
MARGIN_PART = 0.04
MARGIN_REQUESTS = 18.0
# Part of the rate that counts as demand, in equal parts at all gateways, so
# that those without demand have a share.
IDLE_DEMAND_PART = 0.25
# Part of a full bucket that is divided equally, whatever the demand: it grows
# with the number of gateways, since reports become rarer and the demand at
# each is less certain.
MIN_EQUAL_PART = 0.2
EQUAL_PART_PER_GATEWAY = 0.005
MAX_EQUAL_PART = 0.7
# Part of the burst that new programs leave to those in progress.
RESERVE_PART = 0.15
# While the bucket holds more than an account may send, if it suddenly sends
# this many times what it does, before others hear of it, a gateway takes the
# rest, or so many requests if that is less, without looking at its share.
SURGE_FACTOR = 3.0
TRUSTED_REQUESTS = 4.0
# Time over which the pace of all admitted requests is averaged, in seconds.
PACE_PERIOD = 4.0
# Use is told to others if more than this part of the allowance is unsettled.
TOLD_PART = 0.25
# An allowance of less than a request is drawn for once in this time.
DRAW_INTERVAL = datetime.timedelta(milliseconds=500)
# An account that has not been used for this time is forgotten in any case.
MAX_IDLE = datetime.timedelta(minutes=1)
# No caller is told to wait for longer.
MAX_WAIT = datetime.timedelta(seconds=5)
_TINY = 1e-9


@dataclasses.dataclass(frozen=True, slots=True)
class Use:
    """What a gateway tells of an account.

    :param start: identifies the start of its process
    :param total: requests admitted since then
    :param recent: requests admitted within a window
    :param demand: requests per second that callers sent, refused ones too
    """

    start: float
    total: float
    recent: float
    demand: float

    @property
    def need(self) -> float:
        """Weight of its demand."""
        return demands.need(self.demand)

    def values(self) -> tuple[float, ...]:
        """Return it as the values of a fact."""
        return dataclasses.astuple(self)


class AccountQuota:
    """Copy of the bucket of one account."""

    def __init__(
        self,
        account: client_account.ClientAccount,
        window: datetime.timedelta,
        age: float,
        now: float,
    ) -> None:
        # Tells the figures of this object from those of an earlier one.
        self.start = now
        self.used_at = now
        self._window = window.total_seconds()
        self._rate = self._burst = self._margin = 0.0
        self.set_limit(account)
        self.level = min(self._burst, self._rate * age)
        self._filled_at = now
        self.log = demands.UseLog(self._window, now)
        # Last that each peer has told, and sums of the demands.
        self._peers: dict[str, Use] = {}
        self._demand = demands.PeerDemand(now)
        self._aside: dict[str, float] = {}
        self._gateways = 1
        self._live_gateways = 1
        self._live_need = 0.0
        self._live_part = 1.0
        self.next_slot = now
        self._drawn_at = float('-inf')
        self._pace = 0.0
        self._paced_at = now

    def set_limit(self, account: client_account.ClientAccount) -> None:
        """Apply the limit of a configuration."""
        if (account.rate, account.burst) == (self._rate, self._burst):
            return
        self._rate, self._burst = account.rate, account.burst
        allowed = account.rate * self._window + account.burst
        self._margin = MARGIN_PART * allowed + MARGIN_REQUESTS

    @property
    def rate(self) -> float:
        """Rate at which the bucket fills."""
        return self._rate * self._live_part

    def fill(self, now: float) -> None:
        """Add what has come in since the last call."""
        self.level = min(
            self._burst * self._live_part,
            self.level + self.rate * max(0.0, now - self._filled_at),
        )
        self._filled_at = now
        self._demand.note(self._whole_demand(), now)

    def record_peer(self, source: str, use: Use, now: float) -> None:
        """Take what another gateway has admitted."""
        self.fill(now)
        self.used_at = now
        former = self._peers.get(source)
        self._peers[source] = use
        admitted = use.recent
        if former is not None and former.start == use.start:
            admitted = min(admitted, use.total - former.total)
        self._add_to_pace(admitted, now)
        change = use.need - (former.need if former else 0.0)
        self._demand.total += change
        if source in self._aside:
            # Its part was set aside, so it is paid for.
            return
        self._live_need += change
        lowest = -2 * self._margin - self._burst
        self.level = max(lowest, self.level - admitted)

    def apply_contacts(
        self, contacts: account_contacts.Contacts, now: float
    ) -> None:
        """Set shares of lost gateways aside and take those of others back."""
        self.fill(now)
        self._gateways = contacts.gateways
        known = contacts.live | set(contacts.lost)
        for source in [one for one in self._peers if one not in known]:
            self._demand.total -= self._peers.pop(source).need
        whole = max(self._demand.least + self._idle_demand(), _TINY)
        unsettled = self.log.unsettled
        pool = self._pool(unsettled)
        taken = 0.0
        aside = {}
        for source in contacts.lost:
            part = self._aside.get(source)
            if part is None:
                weight = min(1.0, self._peer_need(source) / whole)
                part = self._frozen_part(weight)
                taken += max(part * pool, self._allowed(weight, pool))
            aside[source] = part
        unheard = self._gateways - 1 - len(known)
        missing = unheard / self._gateways + sum(aside.values())
        self._aside = aside
        self._live_gateways = len(contacts.live) + 1
        self._live_need = sum(
            self._peers[source].need
            for source in contacts.live
            if source in self._peers
        )
        part = max(1.0 - missing, 0.0)
        if part < self._live_part:
            pool = min(pool * part / self._live_part, pool - taken)
        else:
            # What was set aside comes back with its part of the margin.
            pool += self._margin * (part - self._live_part)
        self._live_part = part
        self.level = pool - unsettled - self._margin * part

    def _pool(self, unsettled: float) -> float:
        return self.level + unsettled + self._margin * self._live_part

    def _idle_demand(self) -> float:
        return IDLE_DEMAND_PART * self._rate

    def _whole_demand(self) -> float:
        return self._demand.total + demands.need(self.log.told_demand)

    def _peer_need(self, source: str) -> float:
        use = self._peers.get(source)
        idle = self._idle_demand() / self._gateways
        return idle + (use.need if use else 0.0)

    def _equal_part(self) -> float:
        growing = MIN_EQUAL_PART + EQUAL_PART_PER_GATEWAY * self._gateways
        return min(MAX_EQUAL_PART, growing)

    def _frozen_part(self, weight: float) -> float:
        """Return the part of the quota that a gateway keeps when it is lost.

        :param weight: part of the demand that was there
        """
        equal = self._equal_part()
        return equal / self._gateways + (1 - equal) * weight

    def _allowed(self, weight: float, pool: float) -> float:
        """Return how many requests of a pool a gateway may take.

        What a nearly full bucket holds is divided equally, so that callers
        may come to any gateway; the rest goes where the demand is.
        """
        whole = (self._burst + self._margin) * self._live_part
        scarce = min(pool, (1 - self._equal_part()) * whole)
        return weight * scarce + (pool - scarce) / self._live_gateways

    def weight(self) -> float:
        """Return the part of the demand at this gateway."""
        idle = self._idle_demand() / self._gateways
        own = demands.need(self.log.told_demand) + idle
        others = self._live_need + idle * (self._live_gateways - 1)
        return own / max(own + others, _TINY)

    def missing(
        self,
        is_new_program: bool,
        now: float,
        draw: collections.abc.Callable[[], float],
    ) -> float:
        """Return how much the bucket lacks for a request; 0 if nothing."""
        unsettled = self.log.unsettled
        reserve = 0.0
        if is_new_program:
            reserve = RESERVE_PART * self._burst * self._live_part
        spare = self._spare(now) - reserve
        if spare >= 1.0 and unsettled < max(TRUSTED_REQUESTS, spare):
            return 0.0
        weight = self.weight()
        pool = self._pool(unsettled) - reserve
        allowance = self._allowed(weight, pool)
        needed = unsettled + 1
        if needed <= allowance:
            return 0.0
        may_draw = (
            self._gateways > 1
            and not unsettled
            and now - self._drawn_at >= DRAW_INTERVAL.total_seconds()
        )
        if may_draw and allowance > 0:
            self._drawn_at = now
            if draw() < allowance:
                return 0.0
        return (needed - allowance) / max(weight, _TINY)

    def take(self, requests: float, now: float) -> None:
        """Take requests that this gateway has admitted."""
        self.level -= requests
        self.log.add(requests, now)
        self._add_to_pace(requests, now)

    def _add_to_pace(self, requests: float, now: float) -> None:
        self._pace = max(0.0, self._faded_pace(now) + requests / PACE_PERIOD)
        self._paced_at = now

    def _faded_pace(self, now: float) -> float:
        return self._pace * math.exp((self._paced_at - now) / PACE_PERIOD)

    def _spare(self, now: float) -> float:
        """Return what the bucket holds beyond what others may take unheard.

        Explanation
        ===========

        The part of a low limit that is a gateway's own is less than a
        request. But what all may be taking unheard is little too: what the
        account sends, many times over, while reports are under way.
        """
        surge = SURGE_FACTOR * self._faded_pace(now)
        unheard = surge * demands.SETTLING_TIME
        # One half of the margin is for calls that come together, the other
        # half for what is unheard.
        half = self._margin * self._live_part / 2
        return self.level + half - max(0.0, unheard - half)

    def allowance(self) -> float:
        """Return how many requests may be unsettled."""
        return self._allowed(self.weight(), self._pool(self.log.unsettled))

    def must_tell(self, now: float) -> bool:
        """Whether its use comes near what others must know of."""
        return (
            self.log.unsettled > TOLD_PART * self.allowance()
            or self.log.demand(now) > TOLD_PART * self.rate * self.weight()
        )

    def is_idle(self, now: float) -> bool:
        """Whether it holds no more than a new one would know."""
        unused = now - self.used_at
        self.fill(now)
        is_full = self.level >= self._burst * self._live_part
        return unused > self._window and (
            is_full or unused > MAX_IDLE.total_seconds()
        )

    def slot(self, missing: float, now: float) -> float:
        """Return the time after which a refused caller finds room.

        Callers are sent away to times as far apart as this gateway admits.
        """
        rate = max(self.rate, 1e-3)
        wait = missing / rate
        self.next_slot = max(self.next_slot, now + wait)
        self.next_slot += 1.0 / (rate * max(self.weight(), 1e-3))
        limit = MAX_WAIT.total_seconds()
        if self.next_slot - now > limit:
            self.next_slot = now + min(wait, limit)
        return self.next_slot - now
