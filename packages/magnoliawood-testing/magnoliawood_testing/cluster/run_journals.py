"""Journals in which the stand-ins of upstreams record what they run."""

import collections
import dataclasses
import json
import pathlib

from magnoliawood_testing.standins import signed_upstream


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """One run of a request, as an upstream recorded it in its journal.

    :param version: version of the upstream's software
    :param stream: id of the request that began the stream, if it is one
    :param account: name of the client account that the gateway stated
    :param credentials: credentials of the caller, which no upstream should get
    """

    request_id: str
    body: str
    version: str = signed_upstream.DEFAULT_VERSION
    stream: str = ''
    account: str = ''
    credentials: str = ''


class RunJournals:
    """Journals of all upstreams of a deployment, also of terminated ones.

    :param folder: folder with the journals
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder

    def path(self, upstream: str) -> pathlib.Path:
        """Return the journal of an upstream."""
        return self._folder / f'runs-{upstream}.jsonl'

    def runs(self) -> dict[str, int]:
        """Return the number of runs of each request over all upstreams."""
        return collections.Counter(run.request_id for run in self.all_runs())

    def runs_at(self, upstream: str) -> int:
        """Return the number of runs at one upstream."""
        path = self.path(upstream)
        return len(path.read_text().splitlines()) if path.exists() else 0

    def arrivals_at(self, upstream: str) -> list[float]:
        """Return the monotonic times in s of all requests to an upstream."""
        path = signed_upstream.arrivals_file(self.path(upstream))
        if not path.exists():
            return []
        return [float(line) for line in path.read_text().splitlines()]

    def body_of(self, request_id: str) -> str:
        """Return the body with which a request ran."""
        for run in self.all_runs():
            if run.request_id == request_id:
                return run.body
        raise AssertionError(f'{request_id} did not run')

    def all_runs(self) -> list[Run]:
        """Return all runs of all upstreams, including terminated ones."""
        return [
            Run(**json.loads(line))
            for path in self._folder.glob('runs-*.jsonl')
            for line in path.read_text(encoding='utf-8').splitlines()
        ]
