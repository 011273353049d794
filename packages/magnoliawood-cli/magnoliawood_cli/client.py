"""HTTP client of the administration API."""

import dataclasses
import http.client
import json
import typing
import urllib.parse

from magnoliawood.core import errors

_TIMEOUT_SECONDS = 10.0
_PREFIX = '/admin/v1/'


class ApiError(errors.MagnoliawoodError):
    """Error that an entry reported in a problem document.

    :param problem: the complete problem document
    """

    def __init__(self, problem: dict[str, typing.Any]) -> None:
        super().__init__(
            errors.ErrorCode(problem['code']),
            problem['detail'],
            errors.verdicts.Verdict(problem['verdict']),
        )
        self.problem = problem


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """Host and port of the HTTP listener of an entry."""

    host: str
    port: int

    @classmethod
    def from_text(cls, text: str) -> 'Address':
        """Parse ``HOST:PORT``.

        :raises ValueError: if the text does not have this form

        Examples
        ========

        >>> Address.from_text('127.0.0.1:8080')
        Address(host='127.0.0.1', port=8080)
        """
        host, separator, port = text.rpartition(':')
        is_port = port.isascii() and port.isdigit() and int(port) < 65536
        if not (host and separator and is_port):
            raise ValueError(f'{text!r} is not of the form HOST:PORT')
        return cls(host, int(port))

    def __str__(self) -> str:
        return f'{self.host}:{self.port}'


class AdminClient:
    """Client that sends requests to one entry.

    :param address: HTTP listener of the entry or of a load balancer in front
        of the entries
    :param token: bearer token of the account
    """

    def __init__(self, address: Address, token: str) -> None:
        self._address = address
        self._token = token

    def get(self, *path: str, **query: object) -> typing.Any:
        """Send a GET request; empty query parameters are omitted."""
        parameters = {
            name: value for name, value in query.items() if value != ''
        }
        suffix = f'?{urllib.parse.urlencode(parameters)}' if parameters else ''
        return self._request('GET', _join(path) + suffix)

    def put(
        self,
        *path: str,
        body: typing.Any = None,
        version: int | None = None,
    ) -> typing.Any:
        """Create an object, or change it if it still has ``version``."""
        condition = (
            {'if-none-match': '*'}
            if version is None
            else {'if-match': f'"{version}"'}
        )
        return self._request('PUT', _join(path), body, condition)

    def post(self, *path: str, body: typing.Any) -> typing.Any:
        """Send a POST request that adds to a collection."""
        return self._request('POST', _join(path), body)

    def delete(self, *path: str, version: int | None = None) -> typing.Any:
        """Delete an object; given a version, only if it still matches."""
        condition = {} if version is None else {'if-match': f'"{version}"'}
        return self._request('DELETE', _join(path), headers=condition)

    def _request(
        self,
        method: str,
        path: str,
        body: typing.Any = None,
        headers: dict[str, str] | None = None,
    ) -> typing.Any:
        """Send a request and return the decoded response body.

        :raises ApiError: if the entry reports an error
        :raises MagnoliawoodError: with ``peer_lost`` if no entry responds
        """
        connection = http.client.HTTPConnection(
            self._address.host, self._address.port, timeout=_TIMEOUT_SECONDS
        )
        text = None if body is None else json.dumps(body)
        all_headers = {
            'authorization': f'Bearer {self._token}',
            **(headers or {}),
        }
        try:
            connection.request(method, path, text, all_headers)
            response = connection.getresponse()
            data = response.read()
        except (OSError, http.client.HTTPException) as error:
            reason = str(error) or type(error).__name__
            raise self._no_response_error(reason) from error
        finally:
            connection.close()
        return self._parse(response.status, data)

    def _parse(self, status: int, data: bytes) -> typing.Any:
        try:
            value = json.loads(data) if data else None
            if status < 400:
                return value
            error = ApiError(value)
        except (ValueError, KeyError, TypeError) as fault:
            raise self._no_response_error(
                f'status {status} without a valid response body of an entry'
            ) from fault
        raise error

    def _no_response_error(self, reason: str) -> errors.MagnoliawoodError:
        return errors.MagnoliawoodError(
            errors.ErrorCode.PEER_LOST,
            f'no response from {self._address}: {reason}',
        )


def _join(path: tuple[str, ...]) -> str:
    return _PREFIX + '/'.join(
        urllib.parse.quote(part, safe='') for part in path
    )
