"""Tests of responses that are made while they are sent."""

import json

import curio
import pytest

from magnoliawood.core import json_pieces
from magnoliawood_server.http import message as http_message

LONG = {'role': 'user', 'content': 'one "two" \U0001f600 ' * 50_000}
LARGEST_PART_BYTES = 300_000


async def collect(parts):
    return [part async for part in parts]


def test_short_document_has_its_length():
    response = http_message.Response.from_pieces(json_pieces.of({'a': 1}))
    assert (response.body, response.parts) == (b'{"a": 1}', None)
    assert response.headers['content-type'] == http_message.JSON_TYPE


def test_long_document_is_sent_in_small_parts():
    response = http_message.Response.from_pieces(json_pieces.of([LONG, LONG]))
    parts = curio.run(collect, response.parts)
    assert json.loads(b''.join(parts)) == [LONG, LONG]
    assert max(map(len, parts)) <= LARGEST_PART_BYTES


@pytest.mark.parametrize('kind', ['', 'delta'])
@pytest.mark.parametrize('value', [{'text': 'one'}, LONG])
def test_event_is_that_of_the_whole_text(kind, value):
    head = f'event: {kind}\n' if kind else ''
    text = f'{head}data: {json.dumps(value)}\n\n'
    parts = list(http_message.encode_event(kind, value))
    assert b''.join(parts) == text.encode()
    assert max(map(len, parts)) <= LARGEST_PART_BYTES
    partial = [isinstance(item, http_message.PartialEvent) for item in parts]
    assert partial == [True] * (len(parts) - 1) + [False]
