"""Measures the time until all entries apply a configuration change."""

import argparse
import collections.abc
import contextlib
import random
import signal
import time

from hdrh import histogram

from magnoliawood_testing import cluster
from magnoliawood_testing.cluster import deployment as deployments

_ENTRIES = 3
_APPLY_TIMEOUT_SECONDS = 60.0
_MICROSECONDS = 1_000_000
_HIGHEST_MICROSECONDS = int(_APPLY_TIMEOUT_SECONDS * _MICROSECONDS)
_FROZEN_SECONDS = 1.0
_PERCENTILES = (50, 95, 100)


class Rounds:
    """Changes a work class repeatedly under different faults.

    :param seed: determines the entries that receive the changes and those
        that fail
    """

    def __init__(self, deployment: cluster.Deployment, seed: int) -> None:
        self._deployment = deployment
        self._random = random.Random(seed)
        self._version = 0
        self._faults: dict[str, collections.abc.Callable[[], float]] = {
            'none': self._without_fault,
            'reply of the store lost': self._with_lost_reply,
            'all watches lose events': self._with_lost_events,
            'one entry frozen, from its thaw': self._with_frozen_entry,
            'one entry restarted in a store outage, from its start': (
                self._with_restart
            ),
        }

    @property
    def fault_names(self) -> list[str]:
        """Names of the faults in the order of the measurements."""
        return list(self._faults)

    def measure(self, fault: str, rounds: int) -> histogram.HdrHistogram:
        """Run the given number of rounds under a fault.

        :returns: microseconds until all entries had applied the change
        """
        durations = histogram.HdrHistogram(1, _HIGHEST_MICROSECONDS, 3)
        for _ in range(rounds):
            durations.record_value(int(self._faults[fault]() * _MICROSECONDS))
        return durations

    def _entries(self) -> list[deployments.Node]:
        return list(self._deployment.entries.values())

    def _change(self, node: deployments.Node) -> None:
        target = self._random.randrange(1, 1000)
        headers = {
            'authorization': f'Bearer {deployments.OPERATOR_TOKEN}',
            'if-match': str(self._version),
        }
        if not self._version:
            headers['if-none-match'] = '*'
        status, response = deployments.call(
            node.http,
            'PUT',
            '/admin/v1/classes/measured',
            {'name': 'measured', 'target_seconds': target},
            headers,
        )
        assert status == 200, response
        self._version = response['version']

    def _wait(self, since: float) -> float:
        for node in self._entries():
            deployments.wait_until(
                lambda node=node: self._has_applied(node),
                'change applied by all entries',
                _APPLY_TIMEOUT_SECONDS,
            )
        return time.monotonic() - since

    def _has_applied(self, node: deployments.Node) -> bool:
        if not deployments.is_responding(node.http):
            return False
        version = self._deployment.metric(node, 'configuration_version')
        return version >= self._version

    @contextlib.contextmanager
    def _platform_faults(
        self, **faults: object
    ) -> collections.abc.Iterator[None]:
        platform = self._deployment.platform
        defaults = {name: type(value)() for name, value in faults.items()}
        self._deployment.set_faults(platform, **faults)
        try:
            yield
        finally:
            self._deployment.set_faults(platform, **defaults)

    def _without_fault(self) -> float:
        self._change(self._random.choice(self._entries()))
        return self._wait(time.monotonic())

    def _with_lost_reply(self) -> float:
        with self._platform_faults(lost_reply_rate=1.0):
            self._change(self._random.choice(self._entries()))
        return self._wait(time.monotonic())

    def _with_lost_events(self) -> float:
        with self._platform_faults(lost_event_rate=1.0):
            return self._without_fault()

    def _with_frozen_entry(self) -> float:
        frozen, other, *_ = self._random.sample(self._entries(), _ENTRIES)
        frozen.process.send_signal(signal.SIGSTOP)
        try:
            self._change(other)
            time.sleep(_FROZEN_SECONDS)
        finally:
            frozen.process.send_signal(signal.SIGCONT)
        return self._wait(time.monotonic())

    def _with_restart(self) -> float:
        restarted, other, *_ = self._random.sample(self._entries(), _ENTRIES)
        self._change(other)
        self._wait(time.monotonic())
        with self._platform_faults(outage=True):
            restarted.process.kill()
            started_at = time.monotonic()
            restarted.process.start()
            elapsed = self._wait(started_at)
        deployments.wait_until(self._deployment.is_ready, 'ready entries')
        return elapsed


def main() -> None:
    """Measure each fault and print a table of the times."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--rounds', type=int, default=30)
    parser.add_argument('--seed', type=int, default=1)
    options = parser.parse_args()
    print('| fault | rounds | p50 s | p95 s | max s |')
    print('|---|---|---|---|---|')
    with cluster.Deployment(
        engines=1, services=(), entries=_ENTRIES
    ) as deployment:
        rounds = Rounds(deployment, options.seed)
        for fault in rounds.fault_names:
            durations = rounds.measure(fault, options.rounds)
            columns = ' | '.join(
                f'{durations.get_value_at_percentile(p) / _MICROSECONDS:.2f}'
                for p in _PERCENTILES
            )
            print(f'| {fault} | {options.rounds} | {columns} |', flush=True)


if __name__ == '__main__':
    main()
