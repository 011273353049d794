"""Client accounts of the soak test, whose keys and limits change meanwhile."""

import bisect
import collections.abc
import dataclasses
import itertools
import random
import threading
import time
import typing

from magnoliawood_testing.chaos import schedule as schedules
from magnoliawood_testing.cluster import hosted
from magnoliawood_testing.cluster import run_journals
from magnoliawood_testing.soak import attempt as attempts
from magnoliawood_testing.soak import injector as injectors
from magnoliawood_testing.soak import promises

# Callers go on for this long after the last fault.
CALM_SECONDS = 12.0
_CHANGE_SECONDS = 3.0
_WINDOW_SECONDS = 5.0
# A change holds from this time after the store has acknowledged it.
_APPLY_SECONDS = 3.0
# Rate and burst: of these a few are far below what is sent.
_LIMITS = ((3.0, 3.0), (20.0, 20.0), (40.0, 20.0))
_SENDERS = 4
_PAUSE_SECONDS = 0.02
_PATH = f'{injectors.ACCOUNT_PREFIX}page'
_BODY = 'text'


@dataclasses.dataclass(frozen=True, slots=True)
class _Change:
    """Key and limit that hold from a change on, in monotonic time.

    :param acknowledged_at: none if the store may or may not have taken it
    """

    key: str
    allowed: float
    sent_at: float
    acknowledged_at: float | None


class AccountCallers:
    """Sends with the keys of an account, changes them, and checks the runs.

    The highest limit so far is checked at all times. A lowered limit and a
    key that was taken away are checked without a fault only, since a gateway
    that is cut off may not know.
    """

    def __init__(
        self,
        seed: int,
        deployment: hosted.HostedDeployment,
        checker: promises.GuaranteeChecker,
        injector: injectors.Injector,
        faults: list[schedules.Fault],
    ) -> None:
        self._random = random.Random(f'{seed}/accounts')
        self._deployment = deployment
        self._checker = checker
        self._injector = injector
        self._faults = faults
        self._numbers = itertools.count()
        self._changes: list[_Change] = []
        self._sent: dict[str, tuple[float, str]] = {}
        self._faults_begin = 0.0
        self.checked_windows = 0

    def prepare(self) -> None:
        """Declare the account before any caller starts."""
        self._change()

    def run(self, stop: threading.Event) -> None:
        """Send and change until the event is set."""
        self._faults_begin = time.monotonic()
        senders = [
            threading.Thread(target=self._send, args=(number, stop))
            for number in range(_SENDERS)
        ]
        for sender in senders:
            sender.start()
        while not stop.wait(_CHANGE_SECONDS):
            self._change()
        for sender in senders:
            sender.join()

    def _change(self) -> None:
        rate, burst = self._random.choice(_LIMITS)
        key = f'key-{len(self._changes)}'
        account: dict[str, typing.Any] = {'name': 'kiln', 'api_keys': [key]}
        account |= {'rate_per_s': rate, 'burst': burst}
        sent_at = time.monotonic()
        is_taken = self._injector.change_accounts([account])
        self._changes.append(
            _Change(
                key,
                1.1 * (rate * _WINDOW_SECONDS + burst) + 20,
                sent_at,
                time.monotonic() if is_taken else None,
            )
        )

    def _send(self, sender: int, stop: threading.Event) -> None:
        chooser = random.Random(f'{sender}/account sender')
        while not stop.wait(_PAUSE_SECONDS):
            # Callers that have not heard of a new key still send the old one.
            key = chooser.choice(self._changes[-2:]).key
            name = f'account-{sender}-{next(self._numbers)}'
            gateway = chooser.randrange(len(self._deployment.gateways))
            self._sent[name] = time.monotonic(), key
            self._checker.record_request(
                attempts.Attempt(name, attempts.Kind.PAGE, _BODY)
            )
            self._deployment.call(
                gateway,
                _PATH,
                name,
                _BODY.encode(),
                Authorization=f'Bearer {key}',
            )

    def check_runs(
        self, runs: collections.abc.Iterable[run_journals.Run]
    ) -> None:
        """Check which requests ran, and how many."""
        times = []
        for run in runs:
            if run.request_id in self._sent:
                sent_at, key = self._sent[run.request_id]
                times.append(sent_at)
                self._check_key(run, sent_at, key)
        times.sort()
        for index, start in enumerate(times):
            end = bisect.bisect_left(times, start + _WINDOW_SECONDS)
            self._check_window(start, end - index)

    def _check_key(
        self, run: run_journals.Run, sent_at: float, key: str
    ) -> None:
        if (run.account, run.credentials) != ('kiln', ''):
            self._checker.record_problem(
                f'{run.request_id} ran as {run.account!r}'
            )
        current = self._in_force(sent_at)
        if all(change.key != key for change in current):
            self._checker.record_problem(
                f'{run.request_id} ran with a key that was taken away'
            )

    def _check_window(self, start: float, number: int) -> None:
        self.checked_windows += 1
        current = self._in_force(start, start + _WINDOW_SECONDS)
        allowed = max(change.allowed for change in current)
        if number > allowed:
            self._checker.record_problem(
                f'{number} requests of an account ran in a window of {allowed}'
            )

    def _in_force(
        self, moment: float, end: float | None = None
    ) -> list[_Change]:
        """Return the changes of which a gateway may use any."""
        possible: list[_Change] = []
        for change in self._changes:
            if change.sent_at > (moment if end is None else end):
                break
            at = change.acknowledged_at
            is_applied = at is not None and at + _APPLY_SECONDS <= moment
            if at is not None and is_applied and self._is_calm(at, moment):
                possible.clear()
            possible.append(change)
        return possible

    def _is_calm(self, begin: float, end: float) -> bool:
        """Whether no fault excuses gateways within a time."""
        return not any(
            self._faults_begin + fault.start_seconds <= end
            and begin
            <= self._faults_begin
            + fault.start_seconds
            + fault.duration_seconds
            + _APPLY_SECONDS
            for fault in self._faults
        )
