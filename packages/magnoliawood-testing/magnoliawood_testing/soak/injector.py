"""Injects faults into processes, links, the store and upstreams."""

import enum
import signal
import threading
import time
import typing

from magnoliawood_server.runtime import stop as stops
from magnoliawood_testing.chaos import schedule as schedules
from magnoliawood_testing.cluster import hosted
from magnoliawood_testing.cluster import hosted_routes
from magnoliawood_testing.cluster import process as processes
from magnoliawood_testing.soak import promises
from magnoliawood_testing.standins import signed_upstream

# The only route that needs a key, where client accounts are declared.
ACCOUNT_PREFIX = '/accounts/'
_SLOW_STORE_SECONDS = 0.3
_SLOW_LINK_SECONDS = 0.15
# A one-way link fault that lasts longer blocks the data to the server, a
# shorter one the data to the client: the seed determines the direction.
_LONG_FAULT_SECONDS = 2.0
# Partial frame of a record, as left by a power loss during a write.
_TORN_FRAME = b'\x00\x00\x01\x00torn'


class FaultKind(enum.StrEnum):
    """Kinds of faults that the soak test injects."""

    GATEWAY_KILLED = 'gateway_killed'
    GATEWAY_PAUSED = 'gateway_paused'
    GATEWAY_RESTARTED = 'gateway_restarted'
    GATEWAY_RELOADED = 'gateway_reloaded'
    KEEPER_KILLED = 'keeper_killed'
    KEEPER_PAUSED = 'keeper_paused'
    KEEPER_LOG_TORN = 'keeper_log_torn'
    KEEPER_EMPTIED = 'keeper_emptied'
    ALL_KILLED = 'all_killed'
    STORE_DOWN = 'store_down'
    STORE_SLOW = 'store_slow'
    STORE_LOSES_ANSWERS = 'store_loses_answers'
    STORE_FORGETS = 'store_forgets'
    UPSTREAM_KILLED = 'upstream_killed'
    UPSTREAM_PAUSED = 'upstream_paused'
    UPSTREAM_REFUSES = 'upstream_refuses'
    UPSTREAM_LOSES_ANSWERS = 'upstream_loses_answers'
    UPSTREAM_CUTS = 'upstream_cuts'
    UPSTREAM_LEAVES = 'upstream_leaves'
    UPSTREAM_FORGETS = 'upstream_forgets'
    LINK_CUT = 'link_cut'
    LINK_REFUSES = 'link_refuses'
    LINK_SLOW = 'link_slow'
    LINK_SILENT = 'link_silent'
    LINK_ONE_WAY = 'link_one_way'
    CONFIGURATION_CHANGED = 'configuration_changed'


def added_prefix(version: int) -> str:
    """Return the path prefix that only one configuration routes."""
    return f'/added-{version}/'


class Injector:
    """Applies the faults of a schedule, each in a separate thread.

    :param checker: records the processes that exited unexpectedly
    """

    def __init__(
        self,
        deployment: hosted.HostedDeployment,
        checker: promises.GuaranteeChecker,
    ) -> None:
        self._deployment = deployment
        self._checker = checker
        self._process_lock = threading.Lock()
        self._disk_lock = threading.Lock()
        self._configuration_lock = threading.Lock()
        self._version = 1
        self._accounts: list[dict[str, typing.Any]] | None = None

    def run(self, faults: list[schedules.Fault]) -> None:
        """Apply all faults and return once all have been reverted."""
        threads = [
            threading.Thread(target=self._apply, args=(fault,))
            for fault in faults
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def restart_crashed_upstreams(self) -> None:
        """Start the upstreams again that a request has crashed."""
        for process in self._deployment.upstream_processes.values():
            with self._process_lock:
                if self._has_crashed_on_a_request(process):
                    process.start()

    def _apply(self, fault: schedules.Fault) -> None:
        time.sleep(fault.start_seconds)
        component, _, _ = fault.kind.partition('_')
        match component:
            case 'gateway':
                self._break_process(fault, self._deployment.gateways)
            case 'keeper':
                self._break_keeper(fault)
            case 'all':
                self._kill_all(fault)
            case 'store':
                self._break_store(fault)
            case 'upstream':
                self._break_upstream(fault)
            case 'link':
                self._break_link(fault)
            case 'configuration':
                self._change_configuration()

    def _break_process(
        self, fault: schedules.Fault, candidates: list[processes.Process]
    ) -> None:
        process = fault.pick(candidates)
        match fault.kind.partition('_')[2]:
            case 'killed':
                self._kill(process)
                time.sleep(fault.duration_seconds)
                self._start(process)
            case 'paused':
                process.send_signal(signal.SIGSTOP)
                time.sleep(fault.duration_seconds)
                process.send_signal(signal.SIGCONT)
            case 'restarted':
                self._restart(process)
            case 'reloaded':
                process.send_signal(signal.SIGHUP)

    def _break_keeper(self, fault: schedules.Fault) -> None:
        keepers = self._deployment.keepers
        if fault.kind is FaultKind.KEEPER_EMPTIED:
            self._wipe_disk(fault)
        elif fault.kind is FaultKind.KEEPER_LOG_TORN:
            number = fault.pick(range(len(keepers)))
            with self._process_lock:
                keepers[number].kill()
                self._deployment.tear_log(number, _TORN_FRAME)
                keepers[number].start()
        else:
            self._break_process(fault, keepers)

    def _wipe_disk(self, fault: schedules.Fault) -> None:
        """Wipe a disk, unless the replicas are not complete yet."""
        with self._disk_lock:
            if not self._deployment.are_replicas_complete():
                return
            number = fault.pick(range(len(self._deployment.keepers)))
            keeper = self._deployment.keepers[number]
            with self._process_lock:
                keeper.kill()
                self._deployment.wipe_disk(number)
                keeper.start()

    def _kill_all(self, fault: schedules.Fault) -> None:
        deployment = self._deployment
        all_processes = (*deployment.keepers, *deployment.gateways)
        for process in all_processes:
            self._kill(process)
        time.sleep(fault.duration_seconds / 2)
        for process in all_processes:
            self._start(process)

    def _break_store(self, fault: schedules.Fault) -> None:
        kinds = FaultKind
        deployment = self._deployment
        match fault.kind:
            case kinds.STORE_FORGETS:
                deployment.store('POST', '/control/compact', {})
            case kinds.STORE_LOSES_ANSWERS:
                deployment.set_store_faults(lost_writes=2)
            case kinds.STORE_DOWN:
                deployment.set_store_faults(outage=True)
                time.sleep(fault.duration_seconds)
                deployment.set_store_faults(outage=False)
            case kinds.STORE_SLOW:
                deployment.set_store_faults(delay_seconds=_SLOW_STORE_SECONDS)
                time.sleep(fault.duration_seconds)
                deployment.set_store_faults(delay_seconds=0.0)

    def _break_upstream(self, fault: schedules.Fault) -> None:
        kinds = FaultKind
        deployment = self._deployment
        name = fault.pick(list(deployment.upstreams))
        process = deployment.upstream_processes[name]
        match fault.kind:
            case kinds.UPSTREAM_KILLED | kinds.UPSTREAM_PAUSED:
                self._break_process(fault, [process])
            case kinds.UPSTREAM_REFUSES:
                deployment.set_upstream_faults(name, refusals=10)
            case kinds.UPSTREAM_LOSES_ANSWERS:
                deployment.set_upstream_faults(name, lost_answers=3)
            case kinds.UPSTREAM_CUTS:
                deployment.set_upstream_faults(name, cut_after=2)
                time.sleep(fault.duration_seconds)
                deployment.set_upstream_faults(name, cut_after=-1)
            case kinds.UPSTREAM_FORGETS:
                deployment.set_upstream_faults(name, forget_idle_seconds=0.1)
                time.sleep(fault.duration_seconds)
                deployment.set_upstream_faults(name, forget_idle_seconds=0)
            case kinds.UPSTREAM_LEAVES:
                deployment.set_upstream_state(name, 'draining')
                time.sleep(fault.duration_seconds)
                deployment.set_upstream_state(name, 'ready')

    def _break_link(self, fault: schedules.Fault) -> None:
        kinds = FaultKind
        links = self._deployment.links
        name = fault.pick(links.names())

        def command(action: str, **fields: object) -> None:
            links.command(name.client, name.server, action, **fields)

        match fault.kind:
            case kinds.LINK_CUT:
                command('cut')
            case kinds.LINK_REFUSES:
                command('faults', refuse=True)
                command('cut')
                time.sleep(fault.duration_seconds)
                command('faults', refuse=False)
            case kinds.LINK_SLOW:
                command('faults', delay_seconds=_SLOW_LINK_SECONDS)
                time.sleep(fault.duration_seconds)
                command('faults', delay_seconds=0.0)
            case kinds.LINK_SILENT | kinds.LINK_ONE_WAY:
                direction = _direction(fault)
                command('faults', frozen=direction)
                command('freeze', direction=direction)
                time.sleep(fault.duration_seconds)
                command('faults', frozen='none')
                command('freeze', direction='none')

    def change_accounts(self, accounts: list[dict[str, typing.Any]]) -> bool:
        """Declare client accounts; return whether the store acknowledged it.

        All routes but one for the accounts are public from then on.
        """
        with self._configuration_lock:
            self._accounts = accounts
            return self._put_configuration()

    def _change_configuration(self) -> None:
        with self._configuration_lock:
            self._put_configuration()

    def _put_configuration(self) -> bool:
        version = self._version + 1
        routes = hosted_routes.standard_routes()
        added = {
            **routes[0],
            'name': f'added-{version}',
            'path_prefix': added_prefix(version),
        }
        routes.append(added)
        if self._accounts is not None:
            own = {**added, 'name': 'own', 'path_prefix': ACCOUNT_PREFIX}
            routes = [*({**route, 'public': True} for route in routes), own]
        is_taken = self._deployment.put_configuration(
            version, routes, self._accounts
        )
        # A version whose answer was lost may be in force with its accounts.
        if is_taken or self._accounts is not None:
            self._version = version
        return is_taken

    def _kill(self, process: processes.Process) -> None:
        with self._process_lock:
            self._check_no_exit(process)
            process.kill()

    def _start(self, process: processes.Process) -> None:
        with self._process_lock:
            if not process.is_running:
                process.start()

    def _restart(self, process: processes.Process) -> None:
        with self._process_lock:
            self._check_no_exit(process)
            if not process.is_running:
                return
            process.send_signal(signal.SIGCONT)
            had_started = process.has_started
            code = process.stop()
            if had_started and code not in list(stops.ExitCode):
                self._checker.record_problem(
                    f'{process.name} exited with code {code}'
                )
            process.start()

    def _has_crashed_on_a_request(self, process: processes.Process) -> bool:
        upstreams = self._deployment.upstream_processes.values()
        is_crash = process.exit_code == signed_upstream.CRASH_EXIT_CODE
        return is_crash and process in upstreams

    def _check_no_exit(self, process: processes.Process) -> None:
        # SIGKILL is expected: the injector killed the process and will start
        # it again.
        code = process.exit_code
        if code in (None, -signal.SIGKILL):
            return
        if not self._has_crashed_on_a_request(process):
            self._checker.record_problem(
                f'{process.name} exited with code {code}'
            )


def _direction(fault: schedules.Fault) -> str:
    if fault.kind is FaultKind.LINK_SILENT:
        return 'both'
    is_long = fault.duration_seconds > _LONG_FAULT_SECONDS
    return 'to_server' if is_long else 'to_client'
