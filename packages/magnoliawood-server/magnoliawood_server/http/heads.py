"""Heads of requests and responses, written from fields that are valid.

The fields come from messages that h11 parsed, or from this program, so they
are not matched against the grammar once more. Whatever a field contains, a
head never has more lines than fields.
"""

import collections.abc
import functools
import http

import h11

Headers = list[tuple[bytes, bytes]]

_HOST = b'host'
_CONTENT_LENGTH = b'content-length'
_MAX_METHODS = 64
# Statuses and methods whose responses have no body of their own.
_STATUSES_WITHOUT_BODY = frozenset(
    {http.HTTPStatus.NO_CONTENT, http.HTTPStatus.NOT_MODIFIED}
)
_METHODS_WITHOUT_BODY = frozenset({b'HEAD', b'CONNECT'})
_HTTP_1_1 = b'1.1'
# Memory of a parsed field, of its value's copies, and of one item of a list in
# a value; a head that needs less than the usual takes none of its own.
_FIELD_BYTES = 400
_COPIES_OF_VALUE = 3
_ITEM_BYTES = 200
_USUAL_HEAD_BYTES = 16 * 1024
_CLOSE = b'close'

END = h11.EndOfMessage()
_NO_BODY = (b'content-length', b'0')
_RESPONSE = h11.Response(status_code=200, headers=[_NO_BODY])
_LAST_RESPONSE = h11.Response(
    status_code=200, headers=[_NO_BODY, (b'connection', _CLOSE)]
)


def unusual_memory(headers: collections.abc.Iterable) -> int:
    """Return the memory that a parsed head needs beyond a usual one.

    Fields may be so short that their objects take many times their length.

    Examples
    ========

    >>> unusual_memory([(b'host', b'h')])
    0
    >>> unusual_memory([(b'a', b'')] * 100)
    23616
    """
    size = sum(
        _FIELD_BYTES
        + _COPIES_OF_VALUE * len(value)
        + _ITEM_BYTES * value.count(b',')
        for _, value in headers
    )
    return max(0, size - _USUAL_HEAD_BYTES)


def request_head(method: str, target: str, headers: Headers) -> bytes:
    """Return the head of a request.

    :raises LocalProtocolError: if a field contains a line break

    Examples
    ========

    >>> request_head('GET', '/', [(b'a', b'1'), (b'host', b'h')])
    b'GET / HTTP/1.1\\r\\nhost: h\\r\\na: 1\\r\\n\\r\\n'
    """
    first_line = f'{method} {target} HTTP/1.1'.encode('latin-1')
    # A server finds the host in the first field.
    fields = [
        *(pair for pair in headers if pair[0] == _HOST),
        *(pair for pair in headers if pair[0] != _HOST),
    ]
    return _head(first_line, fields)


def response_head(status: int, headers: Headers) -> bytes:
    """Return the head of a response.

    :raises LocalProtocolError: if a field contains a line break

    Examples
    ========

    >>> response_head(404, [(b'a', b'1')])
    b'HTTP/1.1 404 Not Found\\r\\na: 1\\r\\n\\r\\n'
    """
    return _head(_status_line(status), headers)


def chunk(data: bytes) -> bytes:
    """Return a chunk of a body; nothing if there is no data.

    Examples
    ========

    >>> chunk(b'data')
    b'4\\r\\ndata\\r\\n'
    """
    return b'%x\r\n%b\r\n' % (len(data), data) if data else b''


LAST_CHUNK = b'0\r\n\r\n'


@functools.lru_cache(maxsize=_MAX_METHODS)
def request_event(method: str) -> h11.Request:
    """Return a request that tells a parser only its method."""
    return h11.Request(
        method=method, target='/', headers=[(_HOST, b'none'), _NO_BODY]
    )


def response_event(is_last: bool) -> h11.Response:
    """Return a response that tells a parser only that one is sent.

    :param is_last: whether the connection closes after it
    """
    return _LAST_RESPONSE if is_last else _RESPONSE


def may_have_body(request: h11.Request, status: int) -> bool:
    """Return whether a response has the body and framing that it is given.

    Other ones depend on more than the state of the connection.
    """
    return (
        request.http_version == _HTTP_1_1
        and request.method not in _METHODS_WITHOUT_BODY
        and status >= http.HTTPStatus.OK
        and status not in _STATUSES_WITHOUT_BODY
    )


def content_length(
    headers: collections.abc.Iterable[tuple[bytes, bytes]],
) -> int:
    """Return the declared length of a parsed body; 0 if there is none.

    Examples
    ========

    >>> content_length([(b'host', b'h'), (b'content-length', b'12')])
    12
    """
    return next(
        (int(value) for name, value in headers if name == _CONTENT_LENGTH), 0
    )


def asks_to_close(
    headers: collections.abc.Iterable[tuple[bytes, bytes]],
) -> bool:
    """Return whether a connection closes after this request."""
    return any(
        name == b'connection' and _CLOSE in value.lower()
        for name, value in headers
    )


def _head(first_line: bytes, fields: Headers) -> bytes:
    lines = [first_line, *(b'%b: %b' % pair for pair in fields), b'', b'']
    head = b'\r\n'.join(lines)
    breaks = len(lines) - 1
    if (
        head.count(b'\n') != breaks
        or head.count(b'\r') != breaks
        or b'\0' in head
    ):
        raise h11.LocalProtocolError('a field contains a line break')
    return head


@functools.cache
def _status_line(status: int) -> bytes:
    return b'HTTP/1.1 %d %b' % (status, reason(status))


def reason(status: int) -> bytes:
    """Return the usual text of a status; empty if it has none."""
    try:
        return http.HTTPStatus(status).phrase.encode()
    except ValueError:
        return b''
