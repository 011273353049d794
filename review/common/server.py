"""Small stand-in of a model server or plain service, as PROTOCOL.md tells.

It answers 421 to a request for another instance, records each request that
it runs, echoes Request-Id, signs with Server-Stamp and streams numbered
events. It stops work when its connection closes or the deadline passes.
"""

import asyncio
import time


class Server:
    """One server.

    events: number of events in each stream
    event_s: pause before each event; a function of the request's id
    """

    def __init__(self, name, service, zone, log):
        self.name = name
        self.service = service
        self.zone = zone
        self.log = log
        self.events = 16
        self.event_s = lambda request_id: 0.01
        self.runs = []
        self.running = set()
        self.address = ''
        self._server = None
        self._writers = set()

    async def start(self, host, port):
        self.address = f'{host}:{port}'
        self._server = await asyncio.start_server(self._serve, host, port)

    def spec(self, state='ready'):
        return {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': 48,
            'state': state,
            'cold_left_ms': 0,
            'stage': 'both',
            'models': [{'name': 'm', 'version': 1, 'adapters': []}],
            'call_seq': 0,
        }

    async def stop(self):
        """End like a process: close the listener and all connections."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
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
                await self._answer(method, target, headers, body, writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, method, target, headers, body, writer):
        request_id = headers.get('request-id', '')
        echo = f'Request-Id: {request_id}\r\n' if request_id else ''
        if target.startswith(('/healthz', '/report')):
            writer.write(
                f'HTTP/1.1 200 OK\r\nInstance-Id: {self.name}\r\n'
                'Content-Length: 2\r\n\r\n{}'.encode()
            )
            return
        if headers.get('expect-instance', self.name) != self.name:
            writer.write(
                f'HTTP/1.1 421 Misdirected\r\n{echo}'
                f'Instance-Id: {self.name}\r\n'
                'Content-Length: 0\r\n\r\n'.encode()
            )
            return
        self.runs.append((time.time(), request_id, body))
        self.log('run', self.name, request_id, f'{len(body)} bytes')
        stamp = f'Server-Stamp: {self.name}.{request_id}\r\n'
        if '/stream' not in target:
            await asyncio.sleep(self.event_s(request_id))
            writer.write(
                f'HTTP/1.1 200 OK\r\n{echo}{stamp}'
                'Content-Length: 4\r\n\r\ndone'.encode()
            )
            return
        loop = asyncio.get_running_loop()
        end = loop.time() + int(headers.get('deadline-ms', '30000')) / 1000
        writer.write(
            f'HTTP/1.1 200 OK\r\n{echo}{stamp}'
            'Content-Type: text/event-stream\r\n'
            'Transfer-Encoding: chunked\r\n\r\n'.encode()
        )
        first = int(headers.get('last-event-id', '0')) + 1
        self.running.add(request_id)
        try:
            for number in range(first, self.events + 1):
                await asyncio.sleep(self.event_s(request_id))
                if loop.time() > end or writer.is_closing():
                    writer.transport.abort()
                    return
                event = event_bytes(request_id, number)
                writer.write(b'%x\r\n%b\r\n' % (len(event), event))
            writer.write(b'0\r\n\r\n')
        finally:
            self.running.discard(request_id)


def data_of(request_id, number):
    return f'{request_id}-{number}'


def event_bytes(request_id, number):
    return f'id: {number}\ndata: {data_of(request_id, number)}\n\n'.encode()


def output_of(request_id, events):
    """What a whole turn adds to its chain: each event's data, a line feed."""
    return b''.join(
        data_of(request_id, number).encode() + b'\n'
        for number in range(1, events + 1)
    )
