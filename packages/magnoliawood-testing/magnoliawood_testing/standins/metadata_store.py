"""Stand-in of the platform's metadata store."""

import argparse
import dataclasses
import typing

import curio

from magnoliawood_server.http import message as http_message
from magnoliawood_testing.standins import control

_PAGE_SIZE = 50
_OBJECTS = 'objects'


class MetadataStoreFaults(control.Faults):
    """Faults of the store.

    :param outage: whether every call hangs up
    :param lost_writes: writes to do without an answer
    :param delay_seconds: added to every call
    """

    outage: bool = False
    lost_writes: int = 0
    delay_seconds: float = 0.0


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
    kind: str
    revision: int
    document: dict[str, typing.Any]
    deleted: bool


class MetadataStore:
    """Objects by kind and name, with conditional writes and watches."""

    def __init__(self) -> None:
        self._objects: dict[tuple[str, str], _Object] = {}
        self._events: list[_Event] = []
        self._oldest = 0
        self._revision = 1
        self._changed = curio.Event()
        self.faults = MetadataStoreFaults()

    async def handle(
        self, request: http_message.Request
    ) -> http_message.Response:
        """Serve one call."""
        if request.path == '/control/faults':
            self.faults = control.updated(self.faults, request)
            return http_message.Response.from_json({})
        if request.path == '/control/compact':
            self._events.clear()
            self._oldest = self._revision
            return http_message.Response.from_json({})
        if self.faults.delay_seconds:
            await curio.sleep(self.faults.delay_seconds)
        if self.faults.outage:
            raise ConnectionResetError('outage')
        folder, kind, *rest = request.segments
        if folder != _OBJECTS:
            raise control.no_route(request)
        if request.method == 'GET':
            return await self._read(request, kind, rest)
        response = await self._write(request, kind, rest)
        if self.faults.lost_writes:
            self.faults.lost_writes -= 1
            raise ConnectionResetError('answer lost')
        return response

    async def _read(
        self, request: http_message.Request, kind: str, rest: list[str]
    ) -> http_message.Response:
        if rest:
            found = self._objects.get((kind, rest[0]))
            if found is None:
                return http_message.Response.from_json({}, 404)
            return http_message.Response.from_json(found.document())
        if 'watch' in request.query:
            return await self._watch(kind, request.query)
        return self._list(kind, request.query.get('after', ''))

    def _list(self, kind: str, after: str) -> http_message.Response:
        names = sorted(
            name
            for of_kind, name in self._objects
            if of_kind == kind and name > after
        )
        page = names[:_PAGE_SIZE]
        items = [self._objects[kind, name].document() for name in page]
        return http_message.Response.from_json(
            {
                'items': items,
                'more': len(names) > len(page),
                'current_rev': self._revision,
            }
        )

    async def _watch(
        self, kind: str, query: dict[str, str]
    ) -> http_message.Response:
        since = int(query['watch'])
        if since < self._oldest:
            return http_message.Response.from_json({}, 410)
        seconds = int(query['wait_ms']) / 1000
        async with curio.ignore_after(seconds):
            while not (events := self._events_since(kind, since)):
                if self.faults.outage:
                    raise ConnectionResetError('outage')
                await self._changed.wait()
            return self._watched(events)
        return self._watched([])

    def _events_since(self, kind: str, since: int) -> list[_Event]:
        return [
            event
            for event in self._events
            if event.kind == kind and event.revision > since
        ]

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
        known = self._objects.get((kind, name))
        if request.method == 'POST' and known is not None:
            return http_message.Response.from_json(known.document(), 409)
        if request.method != 'POST' and known is None:
            return http_message.Response.from_json({}, 404)
        expected = metadata.get('revision')
        if known and expected is not None and expected != known.revision:
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
        self._revision += 1
        changed.revision = self._revision
        self._objects[kind, changed.name] = changed
        await self._note(kind, changed, deleted=False)
        return http_message.Response.from_json(changed.document())

    async def _delete(
        self, kind: str, known: _Object
    ) -> http_message.Response:
        del self._objects[kind, known.name]
        self._revision += 1
        await self._note(kind, known, deleted=True)
        return http_message.Response.from_json(known.document())

    async def _note(self, kind: str, changed: _Object, deleted: bool) -> None:
        self._events.append(
            _Event(kind, self._revision, changed.document(), deleted)
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
