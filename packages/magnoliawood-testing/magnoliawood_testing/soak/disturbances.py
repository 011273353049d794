"""Series of disturbances that overlap, and when each of them was.

Disks are lost one at a time: another one is lost only once all keepers, and
the store, have been undisturbed for as long as the platform allows for that.
"""

import collections.abc
import contextlib
import dataclasses
import json
import random
import signal
import threading
import time
import typing

from magnoliawood_testing.cluster import hosted
from magnoliawood_testing.cluster import hosted_routes
from magnoliawood_testing.cluster import process as processes

CATCH_UP_SECONDS = 4.9
CONTACT_SECONDS = 3.0
_GRACE_SECONDS = 8.0
_CONFIGURATION_SECONDS = 1.0
_STORE_KINDS: dict[str, dict[str, object]] = {
    'store down': {'outage': True},
    'store slow': {'delay_seconds': 0.3},
    'store silent': {'delay_seconds': 5.0},
    'store loses answers': {'lost_reply_rate': 0.5},
    'store cuts watch': {'lost_event_rate': 1.0},
}
_CALM_STORE = {
    'outage': False,
    'delay_seconds': 0.0,
    'lost_reply_rate': 0.0,
    'lost_event_rate': 0.0,
}
# The longest is enough for turns to expire on the others meanwhile.
_DOWN_SECONDS = (0.0, 0.3, 2.5, 12.0)
_PLANNED_KINDS = frozenset({'stopped', 'reloaded', 'configured'})


@dataclasses.dataclass(slots=True)
class Disturbance:
    """Something that was done to a process or to the store.

    :param ended_at: monotonic time of its end; infinite until then
    """

    target: str
    kind: str
    began_at: float
    ended_at: float = float('inf')

    @property
    def is_planned(self) -> bool:
        """Whether the platform does this in ordinary operation."""
        return self.kind in _PLANNED_KINDS


class Disturbances:
    """Disturbs the processes of a deployment in series until it is stopped.

    :param seed: determines the disturbances
    :param path_retentions: retention in s of the turns of each path
    """

    def __init__(
        self,
        seed: int,
        deployment: hosted.HostedDeployment,
        path_retentions: dict[str, int],
    ) -> None:
        self._seed = seed
        self._deployment = deployment
        self._path_retentions = path_retentions
        self._stop = threading.Event()
        self._version = 1
        self.history: list[Disturbance] = []
        self.problems: list[str] = []

    def run(self, seconds: float) -> None:
        """Disturb for a time, and return when all processes run again."""
        series = (
            self._disturb_keepers,
            self._disturb_gateways,
            self._disturb_store,
            self._change_configurations,
        )
        threads = [
            threading.Thread(
                target=run, args=(random.Random(f'{self._seed}/{number}'),)
            )
            for number, run in enumerate(series)
        ]
        for thread in threads:
            thread.start()
        time.sleep(seconds)
        self._stop.set()
        for thread in threads:
            thread.join()

    def strike_finally(self) -> float:
        """Kill all processes, and lose a disk or not, once that is allowed.

        :returns: monotonic time at which all processes run again
        """
        self._stop.clear()
        self._wait_until_whole()
        generator = random.Random(f'{self._seed}/final')
        struck = [*self._deployment.keepers]
        if generator.random() < 0.7:
            struck += self._deployment.gateways
        wiped = generator.choice((None, *range(len(self._deployment.keepers))))
        with contextlib.ExitStack() as recorded:
            for process in struck:
                recorded.enter_context(self._recorded(process.name, 'killed'))
                process.kill()
            if wiped is not None:
                self._deployment.wipe_disk(wiped)
            time.sleep(generator.choice((0.0, 1.0)))
            for process in struck:
                process.start()
            for process in struck:
                self._wait_for_start(process)
        return time.monotonic()

    def overlapping(
        self, began_at: float, ended_at: float
    ) -> list[Disturbance]:
        """Return what was done in a span of monotonic time."""
        return [
            item
            for item in self.history
            if item.began_at <= ended_at and item.ended_at >= began_at
        ]

    def is_in_touch(self, process: str, at: float) -> bool:
        """Whether a process was undisturbed for the time of contact."""
        return not any(
            item.target == process and item.kind != 'reloaded'
            for item in self.overlapping(at - CONTACT_SECONDS, at)
        )

    def configure(self, generator: random.Random) -> None:
        """Write a configuration in which what is in use stays the same."""
        self._version += 1
        common = hosted_routes.standard_routes()[2]
        routes = [
            {
                **common,
                'name': path.strip('/'),
                'path_prefix': path,
                'retain_s': retain_s,
                'timeout_ms': generator.choice((1500, 3000, 6000)),
            }
            for path, retain_s in self._path_retentions.items()
        ]
        routes += [
            {**common, 'name': f'unused-{name}', 'path_prefix': f'/u{name}/'}
            for name in generator.sample(range(20), generator.randrange(8))
        ]
        routes += hosted_routes.standard_routes()
        services = [
            {'name': 'llm', 'engine': {'slots': 8, 'chunk_tokens': 16}},
            {'name': 'unused', 'engine': {'slots': 8, 'chunk_tokens': 16}},
        ]
        spec = {
            'version': self._version,
            'routes': generator.sample(routes, len(routes)),
            'services': services[: generator.choice((1, 2))],
            'limits': {},
        }
        self._deployment.store(
            'PUT',
            '/objects/config/main',
            {'metadata': {'name': 'main'}, 'spec': spec},
        )

    @contextlib.contextmanager
    def _recorded(
        self, target: str, kind: str
    ) -> collections.abc.Iterator[None]:
        disturbance = Disturbance(target, kind, time.monotonic())
        self.history.append(disturbance)
        try:
            yield
        finally:
            disturbance.ended_at = time.monotonic()

    def _sleep(self, seconds: float) -> None:
        self._stop.wait(seconds)

    def _disturb_keepers(self, generator: random.Random) -> None:
        number = 0
        while not self._stop.is_set():
            number = (number + generator.choice((1, 1, 2))) % len(
                self._deployment.keepers
            )
            keeper = self._deployment.keepers[number]
            kind = generator.choice(
                ('stopped', 'killed', 'wiped', 'wiped', 'evacuated', 'paused')
            )
            down_seconds = generator.choice(_DOWN_SECONDS)
            if kind in ('wiped', 'evacuated') and not self._wait_until_whole():
                return
            with self._recorded(keeper.name, kind):
                self._disturb_keeper(kind, number, down_seconds)
                self._wait_for_start(keeper)
            self._sleep(generator.choice((0.0, 0.5, CATCH_UP_SECONDS)))

    def _disturb_keeper(
        self, kind: str, number: int, down_seconds: float
    ) -> None:
        keeper = self._deployment.keepers[number]
        match kind:
            case 'stopped':
                self._stop_process(keeper)
            case 'paused':
                keeper.send_signal(signal.SIGSTOP)
                time.sleep(down_seconds)
                keeper.send_signal(signal.SIGCONT)
                return
            case 'killed':
                keeper.kill()
            case 'wiped':
                keeper.kill()
                self._deployment.wipe_disk(number)
            case 'evacuated':
                if not self._evacuate(keeper.name):
                    return
                keeper.kill()
                self._deployment.wipe_disk(number)
                self._delete_evacuation(keeper.name)
        time.sleep(down_seconds)
        keeper.start()

    def _wait_until_whole(self) -> bool:
        """Wait until a disk may be lost; return whether it came to that."""
        while not self._stop.is_set():
            now = time.monotonic()
            disturbed_until = [
                item.ended_at
                + (CONTACT_SECONDS if item.target == 'store' else 0)
                for item in self.history
                if item.target == 'store' or item.target.startswith('keeper')
            ]
            if now > max(disturbed_until, default=0) + CATCH_UP_SECONDS:
                return True
            self._sleep(0.1)
        return False

    def _evacuate(self, host: str) -> bool:
        """Empty a host; return whether that completed in time."""
        body = {'metadata': {'name': host}, 'spec': {'duration_s': 5}}
        self._deployment.store('POST', '/objects/retirements', body)
        target = f'/objects/retirements/{host}'
        limit = time.monotonic() + 3 * _GRACE_SECONDS
        while time.monotonic() < limit and not self._stop.is_set():
            response = self._deployment.store('GET', target)
            if response.status == 200:
                status = json.loads(response.body)['status'] or {}
                if status.get('state') == 'completed':
                    return True
            time.sleep(0.1)
        self._delete_evacuation(host)
        return False

    def _delete_evacuation(self, host: str) -> None:
        target = f'/objects/retirements/{host}'
        while self._deployment.store('DELETE', target).status != 404:
            time.sleep(0.1)

    def _disturb_gateways(self, generator: random.Random) -> None:
        while not self._stop.is_set():
            self._sleep(generator.choice((0.0, 0.5, 2.0, 4.0)))
            gateway = generator.choice(self._deployment.gateways)
            kind = generator.choice(
                ('stopped', 'stopped', 'killed', 'reloaded', 'reloaded')
            )
            with self._recorded(gateway.name, kind):
                if kind == 'reloaded':
                    gateway.send_signal(signal.SIGHUP)
                    continue
                if kind == 'stopped':
                    self._stop_process(gateway)
                else:
                    gateway.kill()
                gateway.start()
                self._wait_for_start(gateway)

    def _disturb_store(self, generator: random.Random) -> None:
        while not self._stop.is_set():
            # Disks are lost only in the longer pauses.
            self._sleep(generator.choice((0.5, 3.0, 15.0, 15.0)))
            if generator.random() < 0.3:
                self._deployment.store('POST', '/control/compact', {})
            kind = generator.choice(tuple(_STORE_KINDS))
            with self._recorded('store', kind):
                self._deployment.set_store_faults(**_STORE_KINDS[kind])
                self._sleep(generator.uniform(0.5, 4.0))
                self._deployment.set_store_faults(**_CALM_STORE)

    def _change_configurations(self, generator: random.Random) -> None:
        while not self._stop.is_set():
            with self._recorded('configuration', 'configured'):
                self.configure(generator)
            self._sleep(_CONFIGURATION_SECONDS)

    def _stop_process(self, process: processes.Process) -> None:
        code = process.stop()
        if code:
            self.problems.append(f'{process.name} exited with code {code}')

    def _wait_for_start(self, process: processes.Process) -> None:
        while not process.has_started:
            time.sleep(0.05)


def describe(
    disturbances: collections.abc.Iterable[Disturbance],
) -> dict[str, typing.Any]:
    """Return how often each kind was done to each kind of process."""
    counts: dict[str, int] = {}
    for item in disturbances:
        key = f'{item.target.partition("-")[0]} {item.kind}'
        counts[key] = counts.get(key, 0) + 1
    return dict(sorted(counts.items()))
