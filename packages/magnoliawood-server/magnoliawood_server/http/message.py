"""HTTP requests and responses of the server and the client."""

import collections.abc
import dataclasses
import http
import json
import typing
import urllib.parse

from magnoliawood.core import errors

JSON_TYPE = 'application/json'
PROBLEM_TYPE = 'application/problem+json'
EVENT_STREAM_TYPE = 'text/event-stream'


@dataclasses.dataclass(slots=True)
class Request:
    """A complete request.

    :param headers: header values by lower-case name
    """

    method: str
    target: str
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b''

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
