"""Bytes of the response to one request."""

import h11

from magnoliawood_server.http import heads

_MAX_COPIED_BYTES = 64 * 1024


class ResponseFraming:
    """Frames a response and keeps the parser of its connection in step.

    Explanation
    ===========

    The parser is told only that a response begins and ends. It frames the
    whole response itself where that depends on the request: for old versions
    of HTTP and for responses that have no body.

    :param machine: parser that has received the request
    """

    def __init__(self, machine: h11.Connection, request: h11.Request) -> None:
        self._h11 = machine
        self._request = request
        self._is_plain = True

    def complete(
        self, status: int, headers: heads.Headers, body: bytes, is_last: bool
    ) -> bytes:
        """Return a response whose whole body is available.

        :param is_last: whether the connection closes after the response
        """
        return b''.join(self.complete_parts(status, headers, body, is_last))

    def complete_parts(
        self, status: int, headers: heads.Headers, body: bytes, is_last: bool
    ) -> tuple[bytes, ...]:
        """Return the parts of a complete response; a long body isn't copied.

        :param is_last: whether the connection closes after the response
        """
        length = (b'content-length', b'%d' % len(body))
        head = self._head(status, [*headers, length], is_last)
        if self._is_plain:
            self._h11.send(heads.END)
            if len(body) > _MAX_COPIED_BYTES:
                return head, body
            return (head + body,)
        data = self._h11.send(h11.Data(data=body)) if body else b''
        return (b''.join((head, data or b'', self.end())),)

    def start(
        self, status: int, headers: heads.Headers, data: bytes, is_last: bool
    ) -> bytes:
        """Return the head and the first part of a response in parts."""
        chunked = (b'transfer-encoding', b'chunked')
        head = self._head(status, [*headers, chunked], is_last)
        return head + self.part(data)

    def part(self, data: bytes) -> bytes:
        """Return a further part of a response in parts."""
        if self._is_plain:
            return heads.chunk(data)
        return self._h11.send(h11.Data(data=data)) or b''

    def end(self) -> bytes:
        """Return the end of a response in parts."""
        data = self._h11.send(heads.END) or b''
        return heads.LAST_CHUNK if self._is_plain else data

    def _head(
        self, status: int, headers: heads.Headers, is_last: bool
    ) -> bytes:
        is_last = is_last or heads.asks_to_close(self._request.headers)
        if is_last:
            headers = [*headers, (b'connection', b'close')]
        self._is_plain = heads.may_have_body(self._request, status)
        if self._is_plain:
            self._h11.send(heads.response_event(is_last))
            return heads.response_head(status, headers)
        response = h11.Response(
            status_code=status, headers=headers, reason=heads.reason(status)
        )
        return self._h11.send(response)
