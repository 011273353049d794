"""HTTP calls of tests to processes of a deployment."""

import dataclasses
import http.client
import json

_TIMEOUT_SECONDS = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """HTTP response; the status is ``None`` if the call failed."""

    status: int | None
    headers: dict[str, str]
    body: bytes


def call(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str],
    body: object,
) -> Response:
    """Send a request and return the response."""
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    connection = http.client.HTTPConnection(address, timeout=_TIMEOUT_SECONDS)
    try:
        connection.request(
            method, target, b'' if body is None else data, headers
        )
        response = connection.getresponse()
        return Response(
            response.status,
            {name.lower(): value for name, value in response.getheaders()},
            response.read(),
        )
    except (OSError, http.client.HTTPException):
        return Response(None, {}, b'')
    finally:
        connection.close()
