"""Construction of the OpenAPI document from operations and models."""

import re
import typing

import pydantic
from pydantic import json_schema

from magnoliawood_server.openapi import admin_operations
from magnoliawood_server.openapi import caller_operations
from magnoliawood_server.openapi import models
from magnoliawood_server.openapi import operation as operations

OPERATIONS = [*caller_operations.OPERATIONS, *admin_operations.OPERATIONS]
_REFERENCE = '#/components/schemas/{model}'
_PARAMETER = re.compile(r'{(\w+)}')
_FAILURE = operations.Reply(
    'Any other failure. ``Retry-After`` gives the delay before a retry if a '
    'retry can succeed.',
    models.Problem,
    'application/problem+json',
)

Document = dict[str, typing.Any]


def build_document() -> Document:
    """Return the OpenAPI document as a JSON-compatible dictionary.

    Examples
    ========

    >>> sorted(build_document())
    ['components', 'info', 'openapi', 'paths', 'security']
    """
    paths: Document = {}
    for item in OPERATIONS:
        paths.setdefault(item.path, {})[item.method.lower()] = _describe(item)
    return {
        'openapi': '3.1.0',
        'info': {'title': 'magnoliawood', 'version': '1'},
        'security': [{'bearer': []}],
        'paths': paths,
        'components': {
            'securitySchemes': {
                'bearer': {'type': 'http', 'scheme': 'bearer'}
            },
            'schemas': _schemas(),
        },
    }


def _schemas() -> Document:
    bodies = [item.body for item in OPERATIONS if item.body]
    replies = [
        reply.model
        for item in OPERATIONS
        for reply in (*item.replies.values(), _FAILURE)
        if reply.model
    ]
    schema_models = dict.fromkeys(
        [
            *((model, 'validation') for model in bodies),
            *((model, 'validation') for model in replies),
        ]
    )
    _, schema = json_schema.models_json_schema(
        list(schema_models), ref_template=_REFERENCE
    )
    return dict(sorted(schema['$defs'].items()))


def _describe(item: operations.Operation) -> Document:
    described: Document = {
        'summary': item.summary,
        'parameters': [
            *map(_path_parameter, _PARAMETER.findall(item.path)),
            *map(_parameter, item.parameters),
        ],
        'responses': {
            **{
                str(status): _reply(reply)
                for status, reply in sorted(item.replies.items())
            },
            'default': _reply(_FAILURE),
        },
    }
    if item.is_public:
        described['security'] = []
    if item.body is not None:
        described['requestBody'] = _body(item.body, item.examples)
    return described


def _path_parameter(name: str) -> Document:
    return {
        'name': name,
        'in': 'path',
        'required': True,
        'schema': {'type': 'string'},
    }


def _parameter(item: operations.Parameter) -> Document:
    return {
        'name': item.name,
        'in': item.location,
        'description': item.description,
        'schema': {'type': item.kind},
    }


def _body(model: type[pydantic.BaseModel], examples: Document) -> Document:
    content = {
        'schema': _reference(model),
        'examples': {
            name: {'value': value} for name, value in examples.items()
        },
    }
    return {'required': True, 'content': {'application/json': content}}


def _reply(reply: operations.Reply) -> Document:
    described: Document = {'description': reply.description}
    if reply.model is not None:
        schema = {'schema': _reference(reply.model)}
        described['content'] = {reply.content_type: schema}
    return described


def _reference(model: type[pydantic.BaseModel]) -> Document:
    return {'$ref': _REFERENCE.format(model=model.__name__)}
