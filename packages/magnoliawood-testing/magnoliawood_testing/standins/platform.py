"""Stand-in of the platform: object API and host list."""

import argparse
import collections
import dataclasses
import random
import time

import curio

from magnoliawood_server.http import message as http_message
from magnoliawood_testing.standins import control

_CONFLICT_STATUS = 412


class PlatformFaults(control.Faults):
    """Faults of the platform.

    :param outage: whether every call of the API hangs up
    :param delay_seconds: added to every call
    :param lost_reply_rate: share of writes whose reply is lost
    :param lost_event_rate: share of watches that report no change although
        there is one
    :param host_list_lag_seconds: age of the host list that is shown
    """

    outage: bool = False
    delay_seconds: float = 0.0
    lost_reply_rate: float = 0.0
    lost_event_rate: float = 0.0
    host_list_lag_seconds: float = 0.5


@dataclasses.dataclass(slots=True)
class _Object:
    name: str
    version: int
    value: str
    write_id: str

    def document(self) -> dict[str, object]:
        return dataclasses.asdict(self)


class Platform:
    """Objects with versions, conditional writes and watches."""

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)
        self._objects: dict[str, _Object] = {}
        self._changed_at: dict[str, int] = {}
        self._version = 0
        self._changed = curio.Event()
        self._host_lists: list[tuple[float, list[object]]] = []
        self._calls: collections.Counter[str] = collections.Counter()
        self.faults = PlatformFaults()

    async def handle(
        self, request: http_message.Request
    ) -> http_message.Response:
        """Serve one request."""
        match request.segments:
            case ['control', *_]:
                return self._control(request)
            case ['v1', *_]:
                return await self._serve_api(request)
        raise control.no_route(request)

    def _control(self, request: http_message.Request) -> http_message.Response:
        match request.segments:
            case ['control', 'hosts']:
                hosts = control.body_of(request)['hosts']
                self._host_lists.append((time.monotonic(), hosts))
            case ['control', 'calls']:
                return http_message.Response.from_json(dict(self._calls))
            case ['control', 'faults']:
                self.faults = control.updated(self.faults, request)
            case _:
                raise control.no_route(request)
        return http_message.Response.from_json({})

    async def _serve_api(
        self, request: http_message.Request
    ) -> http_message.Response:
        self._calls[f'{request.method} {request.segments[1]}'] += 1
        if self.faults.delay_seconds:
            await curio.sleep(self.faults.delay_seconds)
        if self.faults.outage:
            raise ConnectionResetError('outage')
        response = await self._route(request)
        is_write = request.method in ('PUT', 'DELETE')
        is_lost = self._random.random() < self.faults.lost_reply_rate
        if self.faults.outage or (is_write and is_lost):
            raise ConnectionResetError('reply lost')
        return response

    async def _route(
        self, request: http_message.Request
    ) -> http_message.Response:
        name = '/'.join(request.segments[2:])
        match (request.method, request.segments[1]):
            case ('GET', 'objects') if name:
                return self._get(name)
            case ('GET', 'objects'):
                return self._list(request.query['prefix'])
            case ('PUT', 'objects'):
                return await self._put(name, request)
            case ('DELETE', 'objects'):
                return await self._delete(name, request)
            case ('GET', 'watch'):
                return await self._watch(request)
            case ('GET', 'hosts'):
                return self._hosts()
        raise control.no_route(request)

    def _get(self, name: str) -> http_message.Response:
        found = self._objects.get(name)
        if found is None:
            return http_message.Response.from_json({}, status=404)
        return http_message.Response.from_json(found.document())

    def _list(self, prefix: str) -> http_message.Response:
        items = [
            item.document()
            for name, item in sorted(self._objects.items())
            if name.startswith(prefix)
        ]
        return http_message.Response.from_json(
            {'version': self._version, 'items': items}
        )

    async def _put(
        self, name: str, request: http_message.Request
    ) -> http_message.Response:
        if not self._matches(name, request):
            return self._conflict(name)
        body = control.body_of(request)
        self._version += 1
        written = _Object(name, self._version, body['value'], body['write_id'])
        self._objects[name] = written
        await self._notify(name)
        return http_message.Response.from_json(written.document())

    async def _delete(
        self, name: str, request: http_message.Request
    ) -> http_message.Response:
        if not self._matches(name, request):
            return self._conflict(name)
        self._version += 1
        self._objects.pop(name, None)
        await self._notify(name)
        return http_message.Response.from_json({'version': self._version})

    def _matches(self, name: str, request: http_message.Request) -> bool:
        found = self._objects.get(name)
        current = found.version if found else 0
        return int(request.header('if-match')) == current

    def _conflict(self, name: str) -> http_message.Response:
        found = self._objects.get(name)
        document = found.document() if found else {}
        return http_message.Response.from_json(
            document, status=_CONFLICT_STATUS
        )

    async def _notify(self, name: str) -> None:
        self._changed_at[name] = self._version
        changed, self._changed = self._changed, curio.Event()
        await changed.set()

    async def _watch(
        self, request: http_message.Request
    ) -> http_message.Response:
        query = request.query
        after = int(query['after'])
        if self._random.random() < self.faults.lost_event_rate:
            await curio.sleep(float(query['wait_seconds']))
            return http_message.Response.from_json({'version': after})
        async with curio.ignore_after(float(query['wait_seconds'])):
            while self._newest(query['prefix']) <= after:
                await self._changed.wait()
        newest = max(after, self._newest(query['prefix']))
        return http_message.Response.from_json({'version': newest})

    def _newest(self, prefix: str) -> int:
        return max(
            (
                version
                for name, version in self._changed_at.items()
                if name.startswith(prefix)
            ),
            default=0,
        )

    def _hosts(self) -> http_message.Response:
        limit = time.monotonic() - self.faults.host_list_lag_seconds
        shown = [hosts for at, hosts in self._host_lists if at <= limit]
        return http_message.Response.from_json(
            {'hosts': shown[-1] if shown else []}
        )


def main() -> None:
    """Run the stand-in."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--listen', required=True)
    parser.add_argument('--seed', type=int, default=1)
    options = parser.parse_args()
    control.serve(options.listen, Platform(options.seed).handle)


if __name__ == '__main__':
    main()
