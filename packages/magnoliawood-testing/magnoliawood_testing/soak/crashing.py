"""Caller of the soak test whose requests crash upstreams."""

import collections
import collections.abc
import itertools
import random
import threading
import time

from magnoliawood.limits import crash_list
from magnoliawood_testing.cluster import hosted
from magnoliawood_testing.soak import attempt as attempts
from magnoliawood_testing.soak import injector as injectors
from magnoliawood_testing.soak import promises
from magnoliawood_testing.standins import signed_upstream

# Number of times that each request is sent before the next one.
SENDS = 60
_SEND_INTERVAL_SECONDS = 0.1
_CRASH_BODY = signed_upstream.SignedUpstreamFaults().crash_body


class CrashingCaller:
    """Sends requests that crash each upstream that runs them.

    Each request is sent several times, to any gateway and from another
    program each time.
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
            self._send(f'crash-{number}', f'crash-{number}.{send}')
            self._injector.restart_crashed_upstreams()
            time.sleep(_SEND_INTERVAL_SECONDS)

    def check_runs(self, runs: collections.abc.Iterable[hosted.Run]) -> None:
        """Check how many upstreams each request has crashed.

        Explanation
        ===========

        A gateway that is cut off from its peers and the store knows only
        what it has seen since its start, so each start may add crashes.
        """
        starts = sum(process.starts for process in self._deployment.gateways)
        allowed = crash_list.QUARANTINE_CRASHES * starts
        crashes = collections.Counter(
            run.request_id.partition('.')[0]
            for run in runs
            if run.body == _CRASH_BODY
        )
        for name, count in crashes.items():
            if count > allowed:
                self._checker.record_problem(
                    f'{name} crashed {count} upstreams, allowed are {allowed}'
                )

    def _send(self, name: str, request_id: str) -> None:
        kind = attempts.Kind.BOOKING
        self._checker.record_request(
            attempts.Attempt(request_id, kind, _CRASH_BODY)
        )
        gateway = self._random.randrange(len(self._deployment.gateways))
        self._deployment.call(
            gateway,
            f'{kind.path}/{name}',
            request_id,
            _CRASH_BODY.encode(),
            Program_Id=request_id,
        )
