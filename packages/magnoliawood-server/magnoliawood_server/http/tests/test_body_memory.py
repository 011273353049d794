"""Tests of the memory that the text of a body needs."""

import json
import sys

import pytest

from magnoliawood_server.http import body_memory

LENGTH = 10_000


@pytest.mark.parametrize(
    'character',
    [
        'x',
        '\x7f',
        '\xe9',
        '\u07ff',
        '\u20ac',
        '\ud7ff',
        '\uffee',
        '\U0001f600',
    ],
)
@pytest.mark.parametrize('ensure_ascii', [False, True])
def test_text_takes_no_more_than_stated(character, ensure_ascii):
    text = 'x' * LENGTH + character
    body = json.dumps(text, ensure_ascii=ensure_ascii).encode()
    most = body_memory.bytes_per_character(body) * len(body)
    assert sys.getsizeof(json.loads(body)) <= most + 100


def test_wide_character_in_capital_escapes_is_found():
    assert body_memory.bytes_per_character(b'"\\uD83D\\uDE00"') == 4


def test_plain_text_takes_a_byte_a_character():
    assert body_memory.bytes_per_character(b'{"plain": "\\n"}') == 1


# Text may hold as much that looks like structure as it likes.
@pytest.mark.parametrize(
    'text', ['{,:[' * LENGTH, '"{' * LENGTH, '\\"{' * LENGTH, '\n{' * LENGTH]
)
def test_text_is_no_structure(text):
    body = json.dumps({'a': text, 'b': [text]}).encode()
    exact = 512 + 2 * 320 + 72 + 96
    assert body_memory.structure_bytes(body, LENGTH) == exact


def test_amount_below_the_limit_is_not_counted_exactly():
    assert body_memory.structure_bytes(b'["{{"]', 1120) == 2 * 512 + 96


def test_count_ends_beyond_the_limit():
    body = b'[' + b'"",' * LENGTH + b'""]'
    assert 1000 < body_memory.structure_bytes(body, 1000) < 2000


def test_text_that_does_not_end_is_counted():
    assert body_memory.structure_bytes(b'["{{{{', 100) > 100
