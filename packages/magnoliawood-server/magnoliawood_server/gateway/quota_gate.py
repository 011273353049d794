"""Refuses requests of client accounts beyond their quotas."""

import collections.abc
import datetime
import logging

from magnoliawood.accounts import contacts as account_contacts
from magnoliawood.accounts import quota_facts
from magnoliawood.accounts import quotas
from magnoliawood.core import clock as clocks
from magnoliawood.core import errors
from magnoliawood.telemetry import registry as registries
from magnoliawood_server.gateway import job as jobs

# The state of the contacts is read at most this often.
CONTACTS_INTERVAL = datetime.timedelta(milliseconds=50)
# Within this time at most LOGGED_REFUSALS refusals are logged with their
# inputs; each has its line about the request in any case.
LOG_PERIOD = datetime.timedelta(seconds=1)
LOGGED_REFUSALS = 20
_MILLISECOND = datetime.timedelta(milliseconds=1)

_log = logging.getLogger(__name__)


class QuotaGate:
    """Gate for the quotas of client accounts.

    :param facts: what peers tell of the use of accounts
    :param contacts: returns the state of the exchange with peers
    :param max_contact_age: returns the time after which a peer without a
        complete exchange is lost
    """

    def __init__(
        self,
        book: quotas.QuotaBook,
        facts: quota_facts.QuotaFacts,
        contacts: collections.abc.Callable[[], list[account_contacts.Contact]],
        max_contact_age: collections.abc.Callable[[], datetime.timedelta],
        clock: clocks.Clock,
        registry: registries.Registry,
    ) -> None:
        self._book = book
        self._facts = facts
        self._contacts = contacts
        self._max_contact_age = max_contact_age
        self._clock = clock
        self._registry = registry
        self._updated_at: datetime.timedelta | None = None
        self._logged_since = clock.monotonic()
        self._logged = 0

    def admit(self, job: jobs.Job) -> None:
        """Admit a request within the quota of its account.

        :raises MagnoliawoodError: with ``quota_exceeded`` beyond it
        """
        account = job.identity.account if job.identity is not None else None
        if account is None or not account.is_limited:
            return
        self.update()
        refusal = self._book.admit(account, job.is_new_program)
        if refusal is None:
            job.is_counted = True
            return
        self._registry.count('quota_refusals_total')
        self._log_refused(job, refusal)
        raise errors.MagnoliawoodError(
            errors.ErrorCode.QUOTA_EXCEEDED,
            f'the account {account.name} is beyond its quota: {refusal}',
            retry_after=refusal.wait,
        )

    def end(self, job: jobs.Job) -> None:
        """Count a request as often as upstreams may have run it."""
        if job.is_counted:
            self._book.correct(job.account, job.runs - 1)

    def update(self) -> None:
        """Apply which peers are in touch."""
        now = self._clock.monotonic()
        if (
            self._updated_at is not None
            and now - self._updated_at < CONTACTS_INTERVAL
        ):
            return
        self._updated_at = now
        self._book.update_contacts(self._contacts(), self._max_contact_age())

    def clean_up(self) -> None:
        """Forget accounts that are not in use."""
        self.update()
        self._facts.clean_up()

    def _log_refused(self, job: jobs.Job, refusal: quotas.Refusal) -> None:
        now = self._clock.monotonic()
        if now - self._logged_since >= LOG_PERIOD:
            self._logged_since = now
            self._logged = 0
        self._logged += 1
        if self._logged > LOGGED_REFUSALS:
            return
        oldest = refusal.oldest
        _log.warning(
            'quota exceeded',
            extra={
                'request_id': job.metadata.request_id,
                'account': job.account,
                'level': round(refusal.level, 1),
                'share': round(refusal.share, 4),
                'unsettled': refusal.unsettled,
                'oldest_report_ms': (
                    None if oldest is None else oldest // _MILLISECOND
                ),
                'wait_ms': refusal.wait // _MILLISECOND,
            },
        )
