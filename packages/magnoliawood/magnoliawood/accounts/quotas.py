"""Quotas of client accounts, which hold for all gateways together.

Explanation
===========

Each gateway keeps, for each account in use, a copy of one bucket. The copy
fills at the rate of the quota up to its burst; what this gateway admits is
taken from it at once, what others have admitted when their facts arrive. Of
what a copy holds, a gateway may take only its *share* until all gateways in
touch know what it has taken and it knows what they had taken by then. What
they do not know yet is called *unsettled*.

Why the sum stays within the limit: let ``r`` be the rate, ``b`` the burst and
``m`` a margin, and let ``A`` of the requests admitted in a window ``w`` be
settled. A copy has been told of all of ``A``, no earlier than they ran, so
that with what is unsettled here it holds at most ``p = b + m + r w - A``.
Gateway ``i`` has at most ``s_i p`` unsettled, so all have admitted at most
``A + p (s_1 + s_2 + ...) = r w + b + m`` as the shares add up to one at most:
they are in proportion to demands, where each gateway counts its own as the
least of what others may believe it to be.

While a copy holds more than the account may send before others hear of it, a
gateway takes requests without looking at its share, since the share of a low
limit is less than a request. This is not proved for any load: it holds while
an account does not send many times its pace to many gateways at once. The
model plays 7.5 times the pace at 22 gateways.

A gateway that is lost gets its share of rate, burst and margin set aside, and
counts those of all others as set aside itself, so the same sum holds on both
sides of a cut. A process starts with an empty bucket, as all that it had may
have been used before. What remains is the time for which two gateways may
disagree about which gateways there are, and a report in flight while another
one is acknowledged: the tolerance of the limit that ``m`` leaves.
"""

import collections.abc
import dataclasses
import datetime
import random

from magnoliawood.accounts import client_account
from magnoliawood.accounts import contacts as account_contacts
from magnoliawood.accounts import demand as demands
from magnoliawood.accounts import quota_bucket
from magnoliawood.core import clock as clocks

MIN_WAIT = datetime.timedelta(milliseconds=100)
# What callers are told to wait is spread by up to this part of it.
WAIT_SPREAD = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Why a request is refused, and until when.

    :param wait: time after which there is room
    :param level: requests that the bucket holds, as far as known
    :param share: part of it that this gateway may take
    :param unsettled: own requests that others do not know of yet
    :param oldest: age of what is known of the others; ``None`` if none is in
        touch
    """

    wait: datetime.timedelta
    level: float
    share: float
    unsettled: float
    oldest: datetime.timedelta | None

    def __str__(self) -> str:
        oldest = 'none in touch'
        if self.oldest is not None:
            oldest = f'{self.oldest.total_seconds():.2f} s'
        return (
            f'level {self.level:.1f}, share {self.share:.4f}, '
            f'unsettled {self.unsettled:g}, oldest report: {oldest}'
        )


class QuotaBook:
    """Quotas of the accounts that are in use.

    Examples
    ========

    >>> clock = clocks.ManualClock()
    >>> window = datetime.timedelta(seconds=5)
    >>> book = QuotaBook(window, 1.0, clock, account_contacts.Contacts(0))
    >>> clock.advance(window)
    >>> account = client_account.ClientAccount('kiln', rate=1.0, burst=2.0)
    >>> sum(book.admit(account) is None for _ in range(100)) <= 2 + 19
    True

    :param start: identifies the start of this process
    """

    def __init__(
        self,
        window: datetime.timedelta,
        start: float,
        clock: clocks.Clock,
        contacts: account_contacts.Contacts,
        chooser: random.Random | None = None,
    ) -> None:
        self._window = window
        self._start = start
        self._clock = clock
        self._contacts = contacts
        self._chooser = chooser or random.Random()
        self._started_at = self._now()
        self._quotas: dict[str, quota_bucket.AccountQuota] = {}
        # Accounts with requests that have not been told yet.
        self._untold: set[str] = set()
        self._told_at = float('-inf')

    def _now(self) -> float:
        return self._clock.monotonic().total_seconds()

    def admit(
        self,
        account: client_account.ClientAccount,
        is_new_program: bool = False,
    ) -> Refusal | None:
        """Take a request from the quota; return why not, if it is refused."""
        now = self._now()
        quota = self._quota(account.name, account, now)
        quota.set_limit(account)
        quota.fill(now)
        quota.used_at = now
        quota.log.settle(self._settled_at(), now)
        quota.log.ask(now)
        self._untold.add(account.name)
        missing = quota.missing(is_new_program, now, self._chooser.random)
        if missing <= 0:
            quota.take(1, now)
            return None
        wait = quota.slot(missing, now)
        wait *= 1 + WAIT_SPREAD * self._chooser.random()
        settled_at = self._contacts.settled_at
        return Refusal(
            max(MIN_WAIT, datetime.timedelta(seconds=wait)),
            quota.level,
            quota.weight(),
            quota.log.unsettled,
            None
            if settled_at is None
            else self._clock.monotonic() - settled_at,
        )

    def correct(self, name: str, requests: int) -> None:
        """Count requests more that ran, or fewer, than were admitted."""
        quota = self._quotas.get(name)
        if quota is None or not requests:
            return
        now = self._now()
        quota.fill(now)
        quota.take(requests, now)
        self._untold.add(name)

    def record_peer(
        self,
        source: str,
        account: client_account.ClientAccount,
        values: tuple[float, ...],
    ) -> None:
        """Record what another gateway tells of an account."""
        now = self._now()
        quota = self._quota(account.name, account, now)
        quota.record_peer(source, quota_bucket.Use(*values[:4]), now)

    def update_contacts(
        self,
        contacts: collections.abc.Iterable[account_contacts.Contact],
        max_age: datetime.timedelta,
    ) -> None:
        """Apply which gateways are in touch."""
        now = self._clock.monotonic()
        if self._contacts.update(contacts, now, max_age):
            for quota in self._quotas.values():
                quota.apply_contacts(self._contacts, now.total_seconds())

    def untold(self) -> list[tuple[str, quota_bucket.Use]]:
        """Return what the others have to know; called before each report."""
        now = self._now()
        if now - self._told_at < demands.TELL_INTERVAL:
            return []
        self._told_at = now
        told = []
        for name in list(self._untold):
            quota = self._quotas[name]
            quota.log.settle(self._settled_at(), now)
            if not quota.log.is_told and not quota.must_tell(now):
                self._untold.discard(name)
            elif quota.log.has_news(now):
                told.append((name, self._tell(quota, now)))
            elif quota.log.demand(now) < 1.0:
                self._untold.discard(name)
        return told

    def _tell(
        self, quota: quota_bucket.AccountQuota, now: float
    ) -> quota_bucket.Use:
        log = quota.log
        log.tell(now)
        start = self._start + quota.start
        return quota_bucket.Use(start, log.total, log.recent, log.demand(now))

    def clean_up(self) -> list[str]:
        """Forget accounts that are not in use; return their names."""
        now = self._now()
        idle = [
            name for name, quota in self._quotas.items() if quota.is_idle(now)
        ]
        for name in idle:
            del self._quotas[name]
            self._untold.discard(name)
        return idle

    def _settled_at(self) -> float | None:
        settled_at = self._contacts.settled_at
        if settled_at is None:
            return None
        return settled_at.total_seconds() - demands.TELL_INTERVAL

    def _quota(
        self, name: str, account: client_account.ClientAccount, now: float
    ) -> quota_bucket.AccountQuota:
        quota = self._quotas.get(name)
        if quota is None:
            quota = quota_bucket.AccountQuota(
                account, self._window, now - self._started_at, now
            )
            quota.apply_contacts(self._contacts, now)
            self._quotas[name] = quota
        return quota
