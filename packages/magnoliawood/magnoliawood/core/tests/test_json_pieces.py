"""Tests of JSON texts in pieces."""

import json

import pytest

from magnoliawood.core import json_pieces

LONG = ('x"\\\n\x7f\u00e9\u20ac\U0001f600' * 9000)[: 4 * 16 * 1024 + 3]
VALUES = [
    '',
    LONG,
    [],
    {},
    None,
    1.5,
    {'b': LONG, 'a': True, 'c': []},
    {'messages': [{'role': 'user', 'content': LONG}, {'role': 'x'}]},
    [[LONG, 1], {'deep': {'deeper': ['short', {}]}}],
]


@pytest.mark.parametrize('value', VALUES)
@pytest.mark.parametrize('sort_keys', [False, True])
def test_pieces_are_those_of_the_whole_text(value, sort_keys):
    text = ''.join(json_pieces.of(value, sort_keys))
    assert text == json.dumps(value, sort_keys=sort_keys)


def test_no_piece_is_long():
    longest = max(map(len, json_pieces.of({'content': [LONG]})))
    assert longest <= 12 * json_pieces.PIECE_LENGTH


def test_parts_are_the_text_and_small():
    parts = list(json_pieces.encoded(json_pieces.of([LONG, LONG]), 65536))
    assert json.loads(b''.join(parts)) == [LONG, LONG]
    assert all(len(part) >= 65536 for part in parts[:-1])
    assert max(map(len, parts)) <= 65536 + 12 * json_pieces.PIECE_LENGTH
