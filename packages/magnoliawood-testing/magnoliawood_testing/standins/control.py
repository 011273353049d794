"""Shared parts of the stand-ins: faults, JSON bodies and the listener."""

import collections.abc
import json
import typing

import curio
import pydantic

from magnoliawood.core import errors
from magnoliawood_server.http import message as http_message
from magnoliawood_server.runtime import listener

Handler = collections.abc.Callable[
    [http_message.Request],
    collections.abc.Awaitable[http_message.Response],
]


class Faults(pydantic.BaseModel):
    """Base of the faults that can be changed while a stand-in runs."""

    model_config = pydantic.ConfigDict(extra='forbid')


def body_of(request: http_message.Request) -> typing.Any:
    """Return the parsed JSON body of a request.

    :raises MagnoliawoodError: with ``malformed_body``
    """
    try:
        return json.loads(request.body or b'{}')
    except ValueError as error:
        raise errors.MagnoliawoodError(
            errors.ErrorCode.MALFORMED_BODY, str(error)
        ) from error


def unknown_path_error(
    request: http_message.Request,
) -> errors.MagnoliawoodError:
    """Return the error for a request to an unknown path."""
    return errors.MagnoliawoodError(
        errors.ErrorCode.NOT_FOUND,
        f'no operation {request.method} {request.path}',
    )


def updated_faults(faults: Faults, request: http_message.Request) -> Faults:
    """Return a copy of the faults with the fields of a request's body."""
    return type(faults).model_validate(
        {**faults.model_dump(), **body_of(request)}
    )


def serve(address: str, handler: Handler) -> None:
    """Serve a stand-in over HTTP until the process is stopped."""
    curio.run(listener.serve_http, address, handler)
