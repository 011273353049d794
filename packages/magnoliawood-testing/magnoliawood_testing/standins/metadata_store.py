"""Stand-in of the platform's metadata store."""

import argparse
import collections
import dataclasses
import itertools
import json
import random
import time
import typing

import curio

from magnoliawood_server.http import message as http_message
from magnoliawood_testing.standins import control

# Maximum number of objects in one page of a list, and of their bytes.
_PAGE_SIZE = 50
_PAGE_BYTES = 1_000_000
# Maximum size of an object.
_OBJECT_BYTES = 1024 * 1024
# Maximum number of changes kept for each kind. A watch from a revision before
# the kept changes gets status 410.
_MAX_KEPT_EVENTS = 2000
_OBJECTS = 'objects'


class MetadataStoreFaults(control.Faults):
    """Faults of the metadata store.

    :param outage: whether the connection of every call is closed without a
        response
    :param lost_writes: number of writes that are applied but get no response
    :param lost_reply_rate: share of writes that are applied but get no
        response
    :param lost_event_rate: share of watches that report no change even if
        there is one
    :param delay_seconds: delay before every call
    :param stale_seconds: age of the state that a list with the
        ``serializable`` parameter returns
    """

    outage: bool = False
    lost_writes: int = 0
    lost_reply_rate: float = 0.0
    lost_event_rate: float = 0.0
    delay_seconds: float = 0.0
    stale_seconds: float = 0.5


@dataclasses.dataclass(slots=True)
class _Object:
    name: str
    revision: int
    spec: typing.Any
    status: typing.Any = None

    def document(self) -> dict[str, typing.Any]:
        metadata = {
            'name': self.name,
            'revision': self.revision,
            'create_revision': self.revision,
            'finalizers': [],
            'deleting': False,
        }
        return {
            'metadata': metadata,
            'spec': self.spec,
            'status': self.status,
        }


@dataclasses.dataclass(slots=True)
class _Event:
    at: float
    revision: int
    name: str
    document: dict[str, typing.Any]
    deleted: bool


class _Kind:
    """The objects of one kind and their most recent changes."""

    def __init__(self) -> None:
        self.objects: dict[str, _Object] = {}
        self._events: list[_Event] = []
        self._compacted_revision = 0
        self._compacted_documents: dict[str, dict[str, typing.Any]] = {}

    def append_event(self, event: _Event) -> None:
        self._events.append(event)
        if len(self._events) > _MAX_KEPT_EVENTS:
            self.compact(_MAX_KEPT_EVENTS // 2)

    def compact(self, kept: int = 0) -> None:
        """Drop all changes except the last ``kept``."""
        count = len(self._events) - kept
        dropped, self._events = self._events[:count], self._events[count:]
        for event in dropped:
            _apply(event, self._compacted_documents)
            self._compacted_revision = event.revision

    def retains_changes_since(self, revision: int) -> bool:
        return revision >= self._compacted_revision

    def events_since(self, revision: int) -> list[_Event]:
        newest_first = itertools.takewhile(
            lambda event: event.revision > revision, reversed(self._events)
        )
        return list(newest_first)[::-1]

    def documents_at(self, moment: float) -> dict[str, dict[str, typing.Any]]:
        documents = dict(self._compacted_documents)
        for event in self._events:
            if event.at <= moment:
                _apply(event, documents)
        return documents

    def documents(self) -> dict[str, dict[str, typing.Any]]:
        return {
            name: stored.document() for name, stored in self.objects.items()
        }


def _size_of(document: dict[str, typing.Any]) -> int:
    return len(json.dumps(document))


def _page_of(
    names: list[str], documents: dict[str, dict[str, typing.Any]]
) -> list[str]:
    """Return the names of a page: one or more, of a limited size."""
    totals = itertools.accumulate(_size_of(documents[name]) for name in names)
    fitting = sum(1 for total in totals if total <= _PAGE_BYTES)
    return names[: max(1, fitting)]


def _apply(event: _Event, documents: dict[str, dict[str, typing.Any]]) -> None:
    documents[event.name] = event.document
    if event.deleted:
        del documents[event.name]


class MetadataStore:
    """Store of objects with conditional writes, lists and watches."""

    def __init__(self) -> None:
        self._kinds: dict[str, _Kind] = collections.defaultdict(_Kind)
        self._revision = 1
        self._changed = curio.Event()
        self._calls: collections.Counter[str] = collections.Counter()
        self._reads: collections.Counter[str] = collections.Counter()
        self._random = random.Random(1)
        self.faults = MetadataStoreFaults()

    async def handle(
        self, request: http_message.Request
    ) -> http_message.Response:
        """Serve a call to the store or to a control page."""
        if request.segments[0] == 'control':
            return self._control(request)
        if request.segments[0] != _OBJECTS:
            raise control.unknown_path_error(request)
        self._calls[request.method] += 1
        if self.faults.delay_seconds:
            await curio.sleep(self.faults.delay_seconds)
        self._raise_if_outage()
        _, kind, *subpath = request.segments
        if request.method == 'GET':
            self._reads[kind] += 1
            response = await self._read(request, kind, subpath)
        else:
            response = await self._write(request, kind, subpath)
            self._raise_if_reply_lost()
        self._raise_if_outage()
        return response

    def _control(self, request: http_message.Request) -> http_message.Response:
        match request.path:
            case '/control/faults':
                self.faults = control.updated_faults(self.faults, request)
            case '/control/compact':
                for kind in self._kinds.values():
                    kind.compact()
            case '/control/calls':
                return http_message.Response.from_json(dict(self._calls))
            case '/control/reads':
                return http_message.Response.from_json(dict(self._reads))
            case _:
                raise control.unknown_path_error(request)
        return http_message.Response.from_json({})

    def _raise_if_outage(self) -> None:
        if self.faults.outage:
            raise ConnectionResetError('injected fault: outage of the store')

    def _raise_if_reply_lost(self) -> None:
        if self.faults.lost_writes:
            self.faults.lost_writes -= 1
            raise ConnectionResetError('injected fault: reply lost')
        if self._random.random() < self.faults.lost_reply_rate:
            raise ConnectionResetError('injected fault: reply lost')

    async def _read(
        self, request: http_message.Request, kind: str, subpath: list[str]
    ) -> http_message.Response:
        if subpath:
            existing = self._kinds[kind].objects.get(subpath[0])
            if existing is None:
                return http_message.Response.from_json({}, 404)
            return http_message.Response.from_json(existing.document())
        if 'watch' in request.query:
            return await self._watch(kind, request.query)
        return self._list(kind, request.query)

    def _list(self, kind: str, query: dict[str, str]) -> http_message.Response:
        if 'serializable' in query:
            moment = time.monotonic() - self.faults.stale_seconds
            documents = self._kinds[kind].documents_at(moment)
        else:
            documents = self._kinds[kind].documents()
        after = query.get('after', '')
        names = sorted(name for name in documents if name > after)
        page = _page_of(names[:_PAGE_SIZE], documents)
        return http_message.Response.from_json(
            {
                'items': [documents[name] for name in page],
                'more': len(names) > len(page),
                'current_rev': self._revision,
            }
        )

    async def _watch(
        self, kind: str, query: dict[str, str]
    ) -> http_message.Response:
        watched_kind = self._kinds[kind]
        since = int(query['watch'])
        if not watched_kind.retains_changes_since(since):
            return http_message.Response.from_json({}, 410)
        seconds = int(query['wait_ms']) / 1000
        if self._random.random() < self.faults.lost_event_rate:
            await curio.sleep(seconds)
            return self._watch_response([])
        async with curio.ignore_after(seconds):
            while not (events := watched_kind.events_since(since)):
                self._raise_if_outage()
                await self._changed.wait()
                if not watched_kind.retains_changes_since(since):
                    return http_message.Response.from_json({}, 410)
            return self._watch_response(events)
        return self._watch_response([])

    def _watch_response(self, events: list[_Event]) -> http_message.Response:
        return http_message.Response.from_json(
            {
                'events': [
                    {'object': event.document, 'deleted': event.deleted}
                    for event in events
                ],
                'current_rev': self._revision,
            }
        )

    async def _write(
        self, request: http_message.Request, kind: str, subpath: list[str]
    ) -> http_message.Response:
        body = control.body_of(request) if request.body else {}
        metadata = body.get('metadata', {})
        name = subpath[0] if subpath else metadata['name']
        existing = self._kinds[kind].objects.get(name)
        if request.method == 'POST' and existing is not None:
            return http_message.Response.from_json(existing.document(), 409)
        if request.method != 'POST' and existing is None:
            return http_message.Response.from_json({}, 404)
        expected = metadata.get('revision', request.query.get('revision'))
        if (
            existing
            and expected is not None
            and int(expected) != existing.revision
        ):
            return http_message.Response.from_json(existing.document(), 409)
        if request.method == 'DELETE':
            return await self._delete(kind, existing)
        changed = _Object(name, 0, body.get('spec'))
        if existing is not None:
            changed.status = existing.status
            if subpath[1:] == ['status']:
                changed.spec = existing.spec
                changed.status = body.get('status')
        return await self._put(kind, changed)

    async def _put(self, kind: str, changed: _Object) -> http_message.Response:
        if _size_of(changed.document()) > _OBJECT_BYTES:
            return http_message.Response.from_json({}, 413)
        changed.revision = self._revision + 1
        self._kinds[kind].objects[changed.name] = changed
        await self._record_change(kind, changed, deleted=False)
        return http_message.Response.from_json(changed.document())

    async def _delete(
        self, kind: str, existing: _Object
    ) -> http_message.Response:
        del self._kinds[kind].objects[existing.name]
        await self._record_change(kind, existing, deleted=True)
        return http_message.Response.from_json(existing.document())

    async def _record_change(
        self, kind: str, changed: _Object, deleted: bool
    ) -> None:
        self._revision += 1
        self._kinds[kind].append_event(
            _Event(
                time.monotonic(),
                self._revision,
                changed.name,
                changed.document(),
                deleted,
            )
        )
        waiting, self._changed = self._changed, curio.Event()
        await waiting.set()


def main() -> None:
    """Run the metadata store stand-in until the process ends."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--listen', required=True)
    options = parser.parse_args()
    control.serve(options.listen, MetadataStore().handle)


if __name__ == '__main__':
    main()
