"""Small client: one request on a new connection, read to its end."""

import asyncio
import dataclasses


@dataclasses.dataclass
class Answer:
    """What a client saw. status is 0 if there was no complete head."""

    request_id: str
    status: int = 0
    headers: dict = dataclasses.field(default_factory=dict)
    body: bytes = b''
    complete: bool = False
    error: str = ''

    @property
    def served(self):
        return (
            self.complete
            and 200 <= self.status < 300
            and 'server-stamp' in self.headers
        )

    @property
    def events(self):
        return self.body.count(b'\n\n')


async def send(
    address, method, path, headers, body=b'', deadline_s=4.0, keep=None
):
    """Send one request; `keep` gets the Answer while it is being read."""
    answer = keep or Answer(headers.get('Request-Id', ''))
    host, _, port = address.rpartition(':')
    try:
        async with asyncio.timeout(deadline_s):
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(host, int(port))
            try:
                await _exchange(
                    reader, writer, method, path, headers, body, answer
                )
            finally:
                writer.close()
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError,
            ValueError) as error:
        answer.error = type(error).__name__
    return answer


async def _exchange(reader, writer, method, path, headers, body, answer):
    lines = [f'{method} {path} HTTP/1.1']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    lines += [f'Content-Length: {len(body)}', 'Connection: close', '', '']
    writer.write('\r\n'.join(lines).encode() + body)
    await writer.drain()
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    first, *fields = head.split('\r\n')
    answer.headers = {
        field.partition(':')[0].strip().lower():
        field.partition(':')[2].strip()
        for field in fields if field
    }
    answer.status = int(first.split(' ')[1])
    if answer.headers.get('transfer-encoding') == 'chunked':
        while True:
            size = int(await reader.readuntil(b'\r\n'), 16)
            data = await reader.readexactly(size + 2)
            if not size:
                answer.complete = True
                return
            answer.body += data[:-2]
    length = int(answer.headers.get('content-length', '0'))
    answer.body = await reader.readexactly(length)
    answer.complete = True
