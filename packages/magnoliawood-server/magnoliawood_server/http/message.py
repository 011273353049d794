"""HTTP requests and responses of the server and the client."""

import collections.abc
import dataclasses
import http
import itertools
import json
import typing
import urllib.parse

from magnoliawood.core import errors
from magnoliawood.core import json_pieces

JSON_TYPE = 'application/json'
PROBLEM_TYPE = 'application/problem+json'
EVENT_STREAM_TYPE = 'text/event-stream'
# A document is sent in parts of this size if it is longer.
_PART_BYTES = 64 * 1024

Reserve = collections.abc.Callable[[int], collections.abc.Awaitable[None]]


async def _reserve_nothing(size: int) -> None:
    """Take no memory, where nothing limits what a request may hold."""


class PartialEvent(bytes):
    """Part of an event whose rest follows; nothing may be sent between."""


@dataclasses.dataclass(slots=True)
class Request:
    """A complete request.

    :param headers: header values by lower-case name
    :param document: JSON document of a request that is sent without ``body``
    :param reserve: takes memory, in bytes, until the end of the response;
        raises ``host_overloaded`` if there is none
    """

    method: str
    target: str
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b''
    reserve: Reserve = _reserve_nothing
    document: typing.Any = None

    def body_parts(self) -> collections.abc.Iterator[bytes]:
        """Return the parts of the body of a request that is sent.

        Examples
        ========

        >>> list(Request('POST', '/', document={'a': 1}).body_parts())
        [b'{"a": 1}']
        """
        if self.document is None:
            return iter([self.body] if self.body else [])
        return json_pieces.encoded(json_pieces.of(self.document), _PART_BYTES)

    @property
    def path(self) -> str:
        """Decoded path without the query."""
        return urllib.parse.unquote(urllib.parse.urlsplit(self.target).path)

    @property
    def segments(self) -> list[str]:
        """Decoded segments of the path."""
        raw = urllib.parse.urlsplit(self.target).path.strip('/')
        return [urllib.parse.unquote(part) for part in raw.split('/')]

    @property
    def query(self) -> dict[str, str]:
        """Query parameters; a repeated parameter has its last value."""
        return dict(
            urllib.parse.parse_qsl(urllib.parse.urlsplit(self.target).query)
        )

    def header(self, name: str, default: str = '') -> str:
        """Return a header by its lower-case name."""
        return self.headers.get(name, default)


@dataclasses.dataclass(slots=True)
class Response:
    """A response with a complete body or one that is sent in parts.

    :param parts: body of unknown length, instead of ``body``
    :param keepalive_comment: sent while no part arrives; none if empty
    """

    status: int
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b''
    parts: collections.abc.AsyncIterator[bytes] | None = None
    keepalive_comment: bytes = b''

    @classmethod
    def from_json(
        cls, value: typing.Any, status: int = 200, **headers: str
    ) -> 'Response':
        """Return a JSON response."""
        named = {
            name.replace('_', '-'): text for name, text in headers.items()
        }
        body = json.dumps(value).encode()
        return cls(status, {'content-type': JSON_TYPE, **named}, body)

    @classmethod
    def from_pieces(cls, pieces: collections.abc.Iterator[str]) -> 'Response':
        """Return a JSON response; a long one is made as it is sent.

        :param pieces: ASCII text of the document
        """
        headers = {'content-type': JSON_TYPE}
        parts = json_pieces.encoded(pieces, _PART_BYTES)
        first = next(parts, b'')
        second = next(parts, None)
        if second is None:
            return cls(200, headers, first)
        rest = _one_by_one(itertools.chain([first, second], parts))
        return cls(200, headers, parts=rest)

    @classmethod
    def from_error(cls, error: errors.MagnoliawoodError) -> 'Response':
        """Return an RFC 9457 problem document."""
        headers = {'content-type': PROBLEM_TYPE}
        problem: dict[str, typing.Any] = {
            'type': f'urn:magnoliawood:error:{error.code}',
            'title': str(error.code).replace('_', ' '),
            'status': error.status,
            'detail': error.detail,
            'code': str(error.code),
            'verdict': str(error.verdict),
        }
        if error.status == http.HTTPStatus.UNAUTHORIZED:
            headers['www-authenticate'] = 'Bearer'
        if error.retry_after is not None:
            seconds = error.retry_after.total_seconds()
            headers['retry-after'] = str(max(1, round(seconds)))
            problem['retry_after_seconds'] = seconds
        return cls(error.status, headers, json.dumps(problem).encode())


def encode_event(
    kind: str, value: typing.Any
) -> collections.abc.Iterator[bytes]:
    """Return a server-sent event; a long one in several parts.

    Examples
    ========

    >>> list(encode_event('delta', {'text': 'one'}))
    [b'event: delta\\ndata: {"text": "one"}\\n\\n']

    :param kind: type of the event; none if empty
    :param value: document that it carries
    """
    head = f'event: {kind}\n' if kind else ''
    pieces = itertools.chain(
        [f'{head}data: '], json_pieces.of(value), ['\n\n']
    )
    parts = json_pieces.encoded(pieces, _PART_BYTES)
    part = next(parts)
    for following in parts:
        yield PartialEvent(part)
        part = following
    yield part


async def _one_by_one(
    parts: collections.abc.Iterator[bytes],
) -> collections.abc.AsyncIterator[bytes]:
    for part in parts:
        yield part
