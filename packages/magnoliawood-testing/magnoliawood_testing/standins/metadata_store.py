"""Stand-in of the platform's metadata store."""

import argparse
import collections
import dataclasses
import itertools
import random
import time
import typing

import curio

from magnoliawood_server.http import message as http_message
from magnoliawood_testing.standins import control

_PAGE_SIZE = 50
# Changes of one kind that a watch may go back to.
_HISTORY_EVENTS = 2000
_OBJECTS = 'objects'


class MetadataStoreFaults(control.Faults):
    """Faults of the store.

    :param outage: whether every call hangs up
    :param lost_writes: writes to do without an answer
    :param lost_reply_rate: share of writes to do without an answer
    :param lost_event_rate: share of watches that report no change although
        there is one
    :param delay_seconds: added to every call
    :param stale_seconds: age of lists that may be old
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
    """The objects of one kind and their latest changes."""

    def __init__(self) -> None:
        self.objects: dict[str, _Object] = {}
        self._events: list[_Event] = []
        self._oldest = 0
        self._at_oldest: dict[str, dict[str, typing.Any]] = {}

    def note(self, event: _Event) -> None:
        self._events.append(event)
        if len(self._events) > _HISTORY_EVENTS:
            self.forget(_HISTORY_EVENTS // 2)

    def forget(self, kept: int = 0) -> None:
        """Drop all changes but the last ones."""
        count = len(self._events) - kept
        dropped, self._events = self._events[:count], self._events[count:]
        for event in dropped:
            _apply(event, self._at_oldest)
            self._oldest = event.revision

    def remembers(self, revision: int) -> bool:
        return revision >= self._oldest

    def events_since(self, revision: int) -> list[_Event]:
        newest_first = itertools.takewhile(
            lambda event: event.revision > revision, reversed(self._events)
        )
        return list(newest_first)[::-1]

    def documents_at(self, moment: float) -> dict[str, dict[str, typing.Any]]:
        found = dict(self._at_oldest)
        for event in self._events:
            if event.at <= moment:
                _apply(event, found)
        return found

    def documents(self) -> dict[str, dict[str, typing.Any]]:
        return {
            name: stored.document() for name, stored in self.objects.items()
        }


def _apply(event: _Event, documents: dict[str, dict[str, typing.Any]]) -> None:
    documents[event.name] = event.document
    if event.deleted:
        del documents[event.name]


class MetadataStore:
    """Objects by kind and name, with conditional writes and watches."""

    def __init__(self) -> None:
        self._kinds: dict[str, _Kind] = collections.defaultdict(_Kind)
        self._revision = 1
        self._changed = curio.Event()
        self._calls: collections.Counter[str] = collections.Counter()
        self._random = random.Random(1)
        self.faults = MetadataStoreFaults()

    async def handle(
        self, request: http_message.Request
    ) -> http_message.Response:
        """Serve one call."""
        if request.segments[0] == 'control':
            return self._control(request)
        if request.segments[0] != _OBJECTS:
            raise control.unknown_path_error(request)
        self._calls[request.method] += 1
        if self.faults.delay_seconds:
            await curio.sleep(self.faults.delay_seconds)
        self._check_outage()
        _, kind, *rest = request.segments
        if request.method == 'GET':
            response = await self._read(request, kind, rest)
        else:
            response = await self._write(request, kind, rest)
            self._lose_reply()
        self._check_outage()
        return response

    def _control(self, request: http_message.Request) -> http_message.Response:
        match request.path:
            case '/control/faults':
                self.faults = control.updated_faults(self.faults, request)
            case '/control/compact':
                for known in self._kinds.values():
                    known.forget()
            case '/control/calls':
                return http_message.Response.from_json(dict(self._calls))
            case _:
                raise control.unknown_path_error(request)
        return http_message.Response.from_json({})

    def _check_outage(self) -> None:
        if self.faults.outage:
            raise ConnectionResetError('outage')

    def _lose_reply(self) -> None:
        if self.faults.lost_writes:
            self.faults.lost_writes -= 1
            raise ConnectionResetError('answer lost')
        if self._random.random() < self.faults.lost_reply_rate:
            raise ConnectionResetError('answer lost')

    async def _read(
        self, request: http_message.Request, kind: str, rest: list[str]
    ) -> http_message.Response:
        if rest:
            found = self._kinds[kind].objects.get(rest[0])
            if found is None:
                return http_message.Response.from_json({}, 404)
            return http_message.Response.from_json(found.document())
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
        page = names[:_PAGE_SIZE]
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
        known = self._kinds[kind]
        since = int(query['watch'])
        if not known.remembers(since):
            return http_message.Response.from_json({}, 410)
        seconds = int(query['wait_ms']) / 1000
        if self._random.random() < self.faults.lost_event_rate:
            await curio.sleep(seconds)
            return self._watched([])
        async with curio.ignore_after(seconds):
            while not (events := known.events_since(since)):
                self._check_outage()
                await self._changed.wait()
            return self._watched(events)
        return self._watched([])

    def _watched(self, events: list[_Event]) -> http_message.Response:
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
        self, request: http_message.Request, kind: str, rest: list[str]
    ) -> http_message.Response:
        body = control.body_of(request) if request.body else {}
        metadata = body.get('metadata', {})
        name = rest[0] if rest else metadata['name']
        known = self._kinds[kind].objects.get(name)
        if request.method == 'POST' and known is not None:
            return http_message.Response.from_json(known.document(), 409)
        if request.method != 'POST' and known is None:
            return http_message.Response.from_json({}, 404)
        expected = metadata.get('revision', request.query.get('revision'))
        if known and expected is not None and int(expected) != known.revision:
            return http_message.Response.from_json(known.document(), 409)
        if request.method == 'DELETE':
            return await self._delete(kind, known)
        changed = _Object(name, 0, body.get('spec'))
        if known is not None:
            changed.status = known.status
            if rest[1:] == ['status']:
                changed.spec = known.spec
                changed.status = body.get('status')
        return await self._put(kind, changed)

    async def _put(self, kind: str, changed: _Object) -> http_message.Response:
        changed.revision = self._revision + 1
        self._kinds[kind].objects[changed.name] = changed
        await self._note(kind, changed, deleted=False)
        return http_message.Response.from_json(changed.document())

    async def _delete(
        self, kind: str, known: _Object
    ) -> http_message.Response:
        del self._kinds[kind].objects[known.name]
        await self._note(kind, known, deleted=True)
        return http_message.Response.from_json(known.document())

    async def _note(self, kind: str, changed: _Object, deleted: bool) -> None:
        self._revision += 1
        self._kinds[kind].note(
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
    """Run the stand-in."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--listen', required=True)
    options = parser.parse_args()
    control.serve(options.listen, MetadataStore().handle)


if __name__ == '__main__':
    main()
