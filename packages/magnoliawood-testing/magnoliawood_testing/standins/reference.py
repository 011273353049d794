"""Deterministic answers of the engine stand-in."""

import hashlib
import itertools

from magnoliawood.programs import message as conversation

_MIN_ANSWER_TOKENS = 8
_ANSWER_LENGTH_RANGE_TOKENS = 24


def answer_length(
    messages: list[conversation.Message], max_tokens: int
) -> int:
    """Return the length in tokens of the answer to a conversation."""
    digest = conversation.chain_digest('', messages)
    extra_tokens = int(digest[:8], 16) % _ANSWER_LENGTH_RANGE_TOKENS
    return min(max_tokens, _MIN_ANSWER_TOKENS + extra_tokens)


def answer_token(digest: str, index: int) -> str:
    """Return one token of an answer, with a leading space except the first.

    :param digest: chained digest of the conversation
    """
    text = hashlib.blake2b(f'{digest}/{index}'.encode(), digest_size=3)
    return (' ' if index else '') + text.hexdigest()


def answer_text(messages: list[conversation.Message], max_tokens: int) -> str:
    """Return the complete answer to a conversation.

    Explanation
    ===========

    The answer depends on every message, so that a lost or duplicated
    message, or one of another conversation, changes the answer.

    Examples
    ========

    >>> hello = [conversation.Message('user', 'hello')]
    >>> answer_text(hello, 2) == answer_text(hello, 3)[:13]
    True
    """
    digest = conversation.chain_digest('', messages)
    length = answer_length(messages, max_tokens)
    return ''.join(
        map(answer_token, itertools.repeat(digest, length), range(length))
    )
