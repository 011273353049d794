"""Caller of the soak test whose requests crash upstreams."""

import collections
import collections.abc
import itertools
import random
import threading
import time

from magnoliawood.limits import crash_record
from magnoliawood_testing.cluster import hosted
from magnoliawood_testing.cluster import run_journals
from magnoliawood_testing.soak import attempt as attempts
from magnoliawood_testing.soak import injector as injectors
from magnoliawood_testing.soak import promises
from magnoliawood_testing.standins import signed_upstream

# Number of times that each request is sent before the next one.
SENDS = 60
# A page is read by another caller once in so many sends.
_SENDS_PER_READ = 5
_SEND_INTERVAL_SECONDS = 0.1
_CRASH_BODY = signed_upstream.SignedUpstreamFaults().crash_body
_CRASH_SESSION = signed_upstream.SignedUpstreamFaults().crash_session
_CRASH_PREFIX = 'crash-'
# What may differ each time, and how often it does.
_VARIED_HEADERS = ('Session_Id', 'Affinity_Key', 'Previous_Turn')
_VARY_SHARE = 0.7
_BODY_ENDS = ('', 'more ' * 500)
# Upstreams that a page that others complete may crash while it is sent: one
# more after the first pause of design note 40, as no request is retried.
_PAGE_CRASHES = crash_record.QUARANTINE_CRASHES + 1


class CrashingCaller:
    """Sends requests that crash each upstream that runs them.

    Each request is sent several times, to any gateway, from another program
    each time, with other headers and with two lengths of its body. Every
    second one is for a page that is completed for other callers.
    """

    def __init__(
        self,
        seed: int,
        deployment: hosted.HostedDeployment,
        checker: promises.GuaranteeChecker,
        injector: injectors.Injector,
    ) -> None:
        self._random = random.Random(f'{seed}/crashing')
        self._deployment = deployment
        self._checker = checker
        self._injector = injector

    def run(self, stop: threading.Event) -> None:
        """Send requests until the event is set."""
        for count in itertools.count():
            if stop.is_set():
                return
            number, send = divmod(count, SENDS)
            if _is_page(number):
                self._send_for_page(number, send)
            else:
                name = f'{_CRASH_PREFIX}{number}'
                body = _CRASH_BODY + self._random.choice(_BODY_ENDS)
                self._send(name, f'{name}.{send}', body)
            self._injector.restart_crashed_upstreams()
            time.sleep(_SEND_INTERVAL_SECONDS)

    def check_runs(
        self, runs: collections.abc.Iterable[run_journals.Run]
    ) -> None:
        """Check how many upstreams each request has crashed.

        Explanation
        ===========

        A gateway that is cut off from its peers and the store knows only
        what it has seen since its start, so each start may add crashes.
        """
        starts = sum(process.starts for process in self._deployment.gateways)
        crashes = collections.Counter(
            run.request_id.partition('.')[0]
            for run in runs
            if run.request_id.startswith(_CRASH_PREFIX)
        )
        for name, count in crashes.items():
            allowed = _allowed_crashes(name) * starts
            if count > allowed:
                self._checker.record_problem(
                    f'{name} crashed {count} upstreams, allowed are {allowed}'
                )

    def _send_for_page(self, number: int, send: int) -> None:
        name = f'{_CRASH_PREFIX}{number}'
        if send % _SENDS_PER_READ == 0:
            reader = f'read-{number}.{send}'
            self._send(name, reader, Session_Id=reader)
        session = f'{_CRASH_SESSION}-{send}'
        self._send(name, f'{name}.{send}', Session_Id=session)

    def _send(
        self, name: str, request_id: str, body: str = '', **headers: str
    ) -> None:
        kind = attempts.Kind.BOOKING
        self._checker.record_request(attempts.Attempt(request_id, kind, body))
        gateway = self._random.randrange(len(self._deployment.gateways))
        varied = {
            header: f'{header}-{request_id}'
            for header in _VARIED_HEADERS
            if self._random.random() < _VARY_SHARE
        }
        self._deployment.call(
            gateway,
            f'{kind.path}/{name}?try={request_id}',
            request_id,
            body.encode(),
            **{'Program_Id': request_id, **varied, **headers},
        )


def _is_page(number: int) -> bool:
    return number % 2 == 1


def _allowed_crashes(name: str) -> int:
    """Return the number of crashes allowed for one start of a gateway."""
    if _is_page(int(name.removeprefix(_CRASH_PREFIX))):
        return _PAGE_CRASHES
    return crash_record.QUARANTINE_CRASHES
