"""Tests of the memory that the text of a body needs."""

import json
import sys

import pytest

from magnoliawood_server.http import body_text

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
    most = body_text.bytes_per_character(body) * len(body)
    assert sys.getsizeof(json.loads(body)) <= most + 100


def test_wide_character_in_capital_escapes_is_found():
    assert body_text.bytes_per_character(b'"\\uD83D\\uDE00"') == 4


def test_plain_text_takes_a_byte_a_character():
    assert body_text.bytes_per_character(b'{"plain": "\\n"}') == 1
