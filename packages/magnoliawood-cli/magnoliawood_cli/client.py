"""Client of the administration API."""

import http.client
import json
import typing

from magnoliawood.core import errors

_TIMEOUT_SECONDS = 10.0


class AdminClient:
    """Sends requests to one entry.

    :param address: host and port of the entry's HTTP listener
    :param token: bearer token
    """

    def __init__(self, address: str, token: str) -> None:
        self._address = address
        self._token = token

    def request(
        self,
        method: str,
        path: str,
        body: typing.Any = None,
        **headers: str,
    ) -> typing.Any:
        """Send a request and return the parsed answer.

        :raises MagnoliawoodError: as the entry reports it
        """
        connection = http.client.HTTPConnection(
            self._address, timeout=_TIMEOUT_SECONDS
        )
        named = {
            name.replace('_', '-'): text for name, text in headers.items()
        }
        try:
            connection.request(
                method,
                path,
                None if body is None else json.dumps(body),
                {'authorization': f'Bearer {self._token}', **named},
            )
            response = connection.getresponse()
            text = response.read()
        except OSError as error:
            raise errors.MagnoliawoodError(
                errors.ErrorCode.PEER_LOST,
                f'no answer from {self._address}: {error}',
            ) from error
        finally:
            connection.close()
        return _parse(response.status, text)


def _parse(status: int, text: bytes) -> typing.Any:
    value = json.loads(text) if text else None
    if status < 400:
        return value
    raise errors.MagnoliawoodError(
        errors.ErrorCode(value['code']),
        value['detail'],
        errors.verdicts.Verdict(value['verdict']),
    )
