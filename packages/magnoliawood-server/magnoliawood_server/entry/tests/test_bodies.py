import json

import hypothesis
from hypothesis import strategies
import pytest

from magnoliawood.core import errors
from magnoliawood_server.entry import bodies
from magnoliawood_server.http import message as messages

JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.floats(allow_nan=False)
    | strategies.text(max_size=8),
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(
            strategies.sampled_from(
                ['kind', 'model', 'messages', 'class', 'budget', 'stream']
            ),
            inner,
            max_size=5,
        )
    ),
    max_leaves=15,
)
MODELS = [bodies.OpenBody, bodies.CallBody, bodies.ChatBody]


def parse(model, body):
    request = messages.Request('PUT', '/', body=body)
    return bodies.parse_body(model, request)


@hypothesis.given(strategies.sampled_from(MODELS), JSON)
def test_any_json_is_accepted_or_rejected_as_malformed(model, value):
    try:
        parse(model, json.dumps(value).encode())
    except errors.MagnoliawoodError as error:
        assert error.code == errors.ErrorCode.MALFORMED_BODY


@hypothesis.given(
    strategies.sampled_from(MODELS), strategies.binary(max_size=50)
)
def test_any_bytes_are_accepted_or_rejected_as_malformed(model, body):
    try:
        parse(model, body)
    except errors.MagnoliawoodError as error:
        assert error.code == errors.ErrorCode.MALFORMED_BODY


def test_error_names_the_field():
    body = {'class': 'chat', 'budget': {'tokens': -1, 'calls': 1}}
    with pytest.raises(errors.MagnoliawoodError) as error_info:
        parse(bodies.OpenBody, json.dumps(body).encode())
    assert 'budget.tokens' in error_info.value.detail
    assert 'budget.seconds' in error_info.value.detail


CHAT = {'model': 'model-a', 'messages': [{'role': 'user', 'content': 'hi'}]}


def test_chat_joins_text_parts():
    parts = [{'type': 'text', 'text': 'h'}, {'type': 'text', 'text': 'i'}]
    messages_in_parts = [{'role': 'user', 'content': parts}]
    body = {**CHAT, 'messages': messages_in_parts, 'temperature': 0.5, 'n': 1}
    parsed = parse(bodies.ChatBody, json.dumps(body).encode())
    (message,) = parsed.messages
    assert message.to_message().content == 'hi'


@pytest.mark.parametrize(
    'field, value',
    [
        ('n', 2),
        ('tools', [{'type': 'function'}]),
        ('messages', [{'role': 'user', 'content': [{'type': 'image_url'}]}]),
    ],
)
def test_chat_rejects_fields_that_change_the_response_form(field, value):
    body = json.dumps({**CHAT, field: value}).encode()
    with pytest.raises(errors.MagnoliawoodError) as error_info:
        parse(bodies.ChatBody, body)
    assert error_info.value.code == errors.ErrorCode.MALFORMED_BODY
    assert field in error_info.value.detail
