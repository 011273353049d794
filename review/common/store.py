"""Small stand-in of the platform's metadata store, as PROTOCOL.md tells.

Linearizable answers, one revision counter, conditional writes, lists with
pages, watches. Faults are set by the driver: `delay_s` before each answer.
"""

import asyncio
import json
import urllib.parse

PAGE_ITEMS = 500
HISTORY_EVENTS = 4000


class Store:
    def __init__(self):
        self.objects = {}
        self.revision = 10
        self.events = []
        self.compacted = {}
        self.changed = asyncio.Event()
        self.answer_s = 0.004
        self.log = lambda *fields: None
        self._server = None

    async def start(self, host, port):
        self._server = await asyncio.start_server(self._serve, host, port)

    async def stop(self):
        self._server.close()

    # The driver's own writes (operator and servers).
    def put(self, kind, name, spec, status=None):
        key = (kind, name)
        old = self.objects.get(key)
        if old and old['spec'] == spec and status is None:
            return
        self.revision += 1
        document = {
            'metadata': {
                'name': name,
                'revision': self.revision,
                'create_revision': old['metadata']['create_revision']
                if old else self.revision,
                'finalizers': [],
                'deleting': False,
            },
            'spec': spec,
            'status': status if status is not None
            else (old or {}).get('status'),
        }
        self.objects[key] = document
        self._event(kind, document, False)
        return document

    def remove(self, kind, name):
        document = self.objects.pop((kind, name), None)
        if document is not None:
            self.revision += 1
            self._event(kind, document, True)

    def compact(self):
        """Discard the history, which the store may do at any time."""
        for event in self.events:
            self.compacted[event[1]] = event[0]
        self.events.clear()
        self._wake()

    def _event(self, kind, document, deleted):
        self.events.append((self.revision, kind, document, deleted))
        self._wake()

    def _wake(self):
        waiting, self.changed = self.changed, asyncio.Event()
        waiting.set()

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                lines = head.decode('latin-1').split('\r\n')
                method, target, _ = lines[0].split(' ')
                headers = {
                    line.partition(':')[0].strip().lower():
                    line.partition(':')[2].strip()
                    for line in lines[1:] if line
                }
                length = int(headers.get('content-length', '0'))
                body = await reader.readexactly(length) if length else b''
                status, value = await self._call(method, target, body)
                data = json.dumps(value).encode()
                writer.write(
                    b'HTTP/1.1 %d X\r\nContent-Type: application/json\r\n'
                    b'Content-Length: %d\r\n\r\n' % (status, len(data)) + data
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _call(self, method, target, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        parts = [urllib.parse.unquote(p) for p in url.path.split('/') if p]
        if parts[:1] != ['objects'] or len(parts) < 2:
            return 404, {}
        await asyncio.sleep(self.answer_s)
        kind, rest = parts[1], parts[2:]
        if method == 'GET':
            if rest:
                found = self.objects.get((kind, rest[0]))
                return (200, found) if found else (404, {})
            if 'watch' in query:
                return await self._watch(kind, query)
            return 200, self._list(kind, query)
        return self._write(method, kind, rest, query, body)

    def _list(self, kind, query):
        names = sorted(
            name for k, name in self.objects
            if k == kind and name > query.get('after', '')
        )
        page = names[:PAGE_ITEMS]
        return {
            'items': [self.objects[kind, name] for name in page],
            'more': len(names) > len(page),
            'current_rev': self.revision,
        }

    async def _watch(self, kind, query):
        since = int(query['watch'])
        loop = asyncio.get_running_loop()
        end = loop.time() + int(query.get('wait_ms', '0')) / 1000
        while True:
            if since < self.compacted.get(kind, 0):
                return 410, {}
            events = [
                {'object': document, 'deleted': deleted}
                for revision, k, document, deleted in self.events
                if k == kind and revision > since
            ]
            left = end - loop.time()
            if events or left <= 0:
                return 200, {'events': events, 'current_rev': self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def _write(self, method, kind, rest, query, body):
        fields = json.loads(body) if body else {}
        metadata = fields.get('metadata', {})
        name = rest[0] if rest else metadata.get('name')
        old = self.objects.get((kind, name))
        if method == 'POST':
            if old:
                return 409, old
            return 200, self.put(kind, name, fields.get('spec'))
        if not old:
            return 404, {}
        wanted = metadata.get('revision', query.get('revision'))
        if wanted is not None and int(wanted) != old['metadata']['revision']:
            return 409, old
        if method == 'DELETE':
            self.remove(kind, name)
            return 200, old
        if rest[1:] == ['status']:
            self.put(kind, name, old['spec'], fields.get('status') or {})
        else:
            self.put(kind, name, fields.get('spec'))
        return 200, self.objects[kind, name]
