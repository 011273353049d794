"""Description of one operation of the HTTP API."""

import dataclasses
import typing

import pydantic

from magnoliawood_server.http import message as http_message
from magnoliawood_server.openapi import models


@dataclasses.dataclass(frozen=True, slots=True)
class Parameter:
    """A parameter of the query or a header."""

    name: str
    location: typing.Literal['query', 'header']
    description: str
    kind: typing.Literal['string', 'integer'] = 'string'


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """One answer of an operation.

    :param model: its body, if it has one
    """

    description: str
    model: type[pydantic.BaseModel] | None = None
    content_type: str = http_message.JSON_TYPE


def problem(description: str) -> Reply:
    """Return a reply with a problem document."""
    return Reply(description, models.Problem, http_message.PROBLEM_TYPE)


@dataclasses.dataclass(frozen=True, slots=True)
class Operation:
    """One operation.

    :param body: model of the request's body, if it has one
    :param examples: bodies that work as they stand, by name
    :param replies: by status
    :param is_public: whether it needs no credential
    """

    method: str
    path: str
    summary: str
    replies: dict[int, Reply]
    body: type[pydantic.BaseModel] | None = None
    examples: dict[str, typing.Any] = dataclasses.field(default_factory=dict)
    parameters: tuple[Parameter, ...] = ()
    is_public: bool = False
