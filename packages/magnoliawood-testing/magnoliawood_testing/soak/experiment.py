"""One soak run: seeded callers and faults, and the checks."""

import collections
import collections.abc
import dataclasses
import pathlib
import threading
import time

from magnoliawood_testing.chaos import schedule as schedules
from magnoliawood_testing.cluster import deployment as deployments
from magnoliawood_testing.cluster import hosted
from magnoliawood_testing.soak import accounts
from magnoliawood_testing.soak import crashing
from magnoliawood_testing.soak import injector as injectors
from magnoliawood_testing.soak import limiting
from magnoliawood_testing.soak import promises
from magnoliawood_testing.soak import traffic

BUDGET_TOKENS = 5 * promises.TURN_TOKENS
# Time limit for each check of recovery after the last fault.
_RECOVERY_SECONDS = 20.0
# Interval at which the runs of the upstreams are checked during the faults.
_CHECK_SECONDS = 1.0
# Sessions of each caller that are continued after the faults.
_SESSIONS_CONTINUED = 5


@dataclasses.dataclass(frozen=True, slots=True)
class Size:
    """Number of processes of each role and of callers.

    :param losses: number of disks that may fail at once
    :param has_crashing_caller: whether some requests crash upstreams
    :param has_limits: whether upstreams name rate limits now and then
    :param has_accounts: whether keys and limits of an account change
    :param versions: versions of the software of the upstreams, in turn
    """

    gateways: int = 3
    keepers: int = 4
    upstreams: int = 3
    callers: int = 8
    losses: int = 1
    has_crashing_caller: bool = False
    has_limits: bool = False
    has_accounts: bool = False
    versions: tuple[str, ...] = ('v1', 'v2')


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Result of one seed.

    :param outcomes: number of responses with each status; ``None`` stands
        for requests that got no response
    :param logs: folder with the logs if a guarantee was violated
    :param limit_windows: number of windows in which a rate limit was checked
    :param quota_windows: number of windows in which a quota was checked
    """

    seed: int
    faults: list[schedules.Fault]
    outcomes: collections.Counter[int | None]
    problems: list[str]
    logs: pathlib.Path | None
    limit_windows: int = 0
    quota_windows: int = 0


class Experiment:
    """Runs callers and faults on one deployment and checks the guarantees.

    :param seed: determines the faults and the requests
    """

    def __init__(self, seed: int, fault_count: int, size: Size) -> None:
        self._seed = seed
        self._size = size
        self._faults = schedules.make_schedule(
            seed, fault_count, tuple(injectors.FaultKind)
        )
        self._checker = promises.GuaranteeChecker(BUDGET_TOKENS)
        self._stop = threading.Event()
        self._limit_windows = 0
        self._quota_windows = 0

    def run(self) -> Report:
        """Run the experiment to its end and return the result."""
        size = self._size
        deployment = hosted.HostedDeployment(
            size.keepers,
            size.gateways,
            size.losses,
            size.upstreams,
            True,
            size.versions,
        )
        with deployment:
            self._run(deployment)
            logs = None
            if self._checker.problems:
                logs = deployment.save_logs()
        outcomes = collections.Counter(
            outcome.status for outcome in self._checker.outcomes
        )
        return Report(
            self._seed,
            self._faults,
            outcomes,
            self._checker.problems,
            logs,
            self._limit_windows,
            self._quota_windows,
        )

    def _run(self, deployment: hosted.HostedDeployment) -> None:
        callers = [
            traffic.Caller(
                number, self._seed, deployment, self._checker, BUDGET_TOKENS
            )
            for number in range(self._size.callers)
        ]
        threads = [
            threading.Thread(target=caller.run, args=(self._stop,))
            for caller in callers
        ]
        threads.append(
            threading.Thread(
                target=self._check_periodically, args=(deployment,)
            )
        )
        injector = injectors.Injector(deployment, self._checker)
        crashing_caller = crashing.CrashingCaller(
            self._seed, deployment, self._checker, injector
        )
        if self._size.has_crashing_caller:
            threads.append(
                threading.Thread(
                    target=crashing_caller.run, args=(self._stop,)
                )
            )
        limiting_upstreams = limiting.LimitingUpstreams(
            self._seed, deployment, self._checker, self._faults
        )
        if self._size.has_limits:
            threads.append(
                threading.Thread(
                    target=limiting_upstreams.run, args=(self._stop,)
                )
            )
        account_callers = accounts.AccountCallers(
            self._seed, deployment, self._checker, injector, self._faults
        )
        if self._size.has_accounts:
            account_callers.prepare()
            threads.append(
                threading.Thread(
                    target=account_callers.run, args=(self._stop,)
                )
            )
        for thread in threads:
            thread.start()
        injector.run(self._faults)
        if self._size.has_accounts:
            time.sleep(accounts.CALM_SECONDS)
        if self._size.has_limits:
            time.sleep(limiting.CALM_SECONDS)
        self._stop.set()
        for thread in threads:
            thread.join()
        limiting_upstreams.check_arrivals()
        self._limit_windows = limiting_upstreams.checked_windows
        injector.restart_crashed_upstreams()
        self._check_recovery(deployment, callers)
        runs = deployment.journals.all_runs()
        self._checker.check_runs(runs)
        crashing_caller.check_runs(runs)
        account_callers.check_runs(runs)
        self._quota_windows = account_callers.checked_windows

    def _check_periodically(self, deployment: hosted.HostedDeployment) -> None:
        while not self._stop.wait(_CHECK_SECONDS):
            problem_count = len(self._checker.problems)
            self._checker.check_runs(deployment.journals.all_runs())
            if len(self._checker.problems) > problem_count:
                return

    def _check_recovery(
        self,
        deployment: hosted.HostedDeployment,
        callers: list[traffic.Caller],
    ) -> None:
        try:
            deployment.wait_until_ready()
            deployment.wait_for_replicas()
        except TimeoutError:
            self._checker.record_problem(
                'deployment not ready after the faults'
            )
            return
        for caller in callers:
            for session in caller.sessions[-_SESSIONS_CONTINUED:]:
                if not _succeeds_in_time(
                    lambda c=caller, item=session: c.continue_session(item)
                ):
                    self._checker.record_problem(
                        f'{session} could not be continued'
                    )
        # The store may have taken a change although its answer was lost.
        version = deployment.configuration_version()
        if version > 1:
            path = f'{injectors.added_prefix(version)}page'
            for number in range(len(deployment.gateways)):
                self._check_configuration(callers[0], number, path)

    def _check_configuration(
        self, caller: traffic.Caller, gateway: int, path: str
    ) -> None:
        if not _succeeds_in_time(
            lambda: caller.call(gateway, path).is_success
        ):
            self._checker.record_problem(
                f'gateway {gateway} does not serve {path}'
            )


def _succeeds_in_time(condition: collections.abc.Callable[[], bool]) -> bool:
    """Return whether a condition holds within the recovery time limit."""
    try:
        deployments.wait_until(condition, 'recovery', _RECOVERY_SECONDS)
    except TimeoutError:
        return False
    return True
