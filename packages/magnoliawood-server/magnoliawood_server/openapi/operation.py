"""Data classes that describe the operations of the HTTP API."""

import dataclasses
import typing

import pydantic

from magnoliawood_server.http import message as http_message
from magnoliawood_server.openapi import models


@dataclasses.dataclass(frozen=True, slots=True)
class Parameter:
    """Query or header parameter of an operation."""

    name: str
    location: typing.Literal['query', 'header']
    description: str
    kind: typing.Literal['string', 'integer'] = 'string'


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Response of an operation with one status code.

    :param model: model of the response body, if it has one
    """

    description: str
    model: type[pydantic.BaseModel] | None = None
    content_type: str = http_message.JSON_TYPE


def problem(description: str) -> Reply:
    """Return a response whose body is a problem document."""
    return Reply(description, models.Problem, http_message.PROBLEM_TYPE)


@dataclasses.dataclass(frozen=True, slots=True)
class Operation:
    """Operation of the HTTP API: method, path, request and responses.

    :param replies: responses by status code
    :param body: model of the request body, if it has one
    :param examples: valid request bodies by name
    :param is_public: whether the operation needs no credential
    """

    method: str
    path: str
    summary: str
    replies: dict[int, Reply]
    body: type[pydantic.BaseModel] | None = None
    examples: dict[str, typing.Any] = dataclasses.field(default_factory=dict)
    parameters: tuple[Parameter, ...] = ()
    is_public: bool = False
