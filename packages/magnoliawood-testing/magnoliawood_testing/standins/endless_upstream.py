"""Stand-in of a faulty upstream whose responses have no end.

It sends bytes to each caller until the caller closes the connection.
"""

import argparse
import typing

import curio

Fault = typing.Literal['head', 'body', 'chunks', 'late', 'informational']

_READ_SIZE_BYTES = 64 * 1024
_PIECE_BYTES = 64 * 1024
_HEADER = b'request-id:'
# Printed for each request.
ANSWERING = 'answering without end'


def response_of(fault: Fault, request_id: bytes) -> tuple[bytes, bytes]:
    """Return the start of a response, and what is repeated after it."""
    status = b'HTTP/1.1 200 OK\r\n'
    own = b'Request-Id: %b\r\nServer-Stamp: endless\r\n' % request_id
    match fault:
        case 'head':
            return status + own + b'Filler: ', b'x'
        case 'body':
            return status + own + b'\r\n', b'x'
        case 'chunks':
            chunk = b'1000\r\n' + b'x' * 0x1000 + b'\r\n'
            return status + own + b'Transfer-Encoding: chunked\r\n\r\n', chunk
        case 'late':
            return status + b'Request-Id: another\r\n\r\n', b'x'
        case 'informational':
            return b'', b'HTTP/1.1 100 Continue\r\n\r\n'


class EndlessUpstream:
    """Upstream that answers each request without end."""

    def __init__(self, fault: Fault) -> None:
        self._fault = fault

    async def serve(self, sock: curio.io.Socket, _: object) -> None:
        """Send bytes until the caller closes the connection."""
        async with sock:
            try:
                start, repeated = response_of(
                    self._fault, await _read_request_id(sock)
                )
                piece = repeated * max(1, _PIECE_BYTES // len(repeated))
                print(ANSWERING, flush=True)
                await sock.sendall(start)
                while True:
                    await sock.sendall(piece)
                    await curio.sleep(0)
            except OSError:
                return


async def _read_request_id(sock: curio.io.Socket) -> bytes:
    head = b''
    while b'\r\n\r\n' not in head:
        data = await sock.recv(_READ_SIZE_BYTES)
        if not data:
            raise ConnectionResetError('closed before the request')
        head += data
    for line in head.split(b'\r\n'):
        if line.lower().startswith(_HEADER):
            return line[len(_HEADER) :].strip()
    return b''


def main() -> None:
    """Run the upstream stand-in until the process ends."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--listen', required=True)
    parser.add_argument('--fault', choices=typing.get_args(Fault))
    options = parser.parse_args()
    host, _, port = options.listen.rpartition(':')
    upstream = EndlessUpstream(options.fault)
    curio.run(curio.tcp_server, host, int(port), upstream.serve)


if __name__ == '__main__':
    main()
