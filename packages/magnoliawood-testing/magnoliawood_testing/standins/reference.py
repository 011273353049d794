"""The answers that the engine stand-in gives."""

import hashlib
import itertools

from magnoliawood.programs import message as conversation

_SHORTEST_ANSWER_TOKENS = 8
_ANSWER_SPREAD_TOKENS = 24


def answer_length(
    messages: list[conversation.Message], max_tokens: int
) -> int:
    """Return the length of an answer in tokens."""
    digest = conversation.chain_digest('', messages)
    spread = int(digest[:8], 16) % _ANSWER_SPREAD_TOKENS
    return min(max_tokens, _SHORTEST_ANSWER_TOKENS + spread)


def answer_token(digest: str, index: int) -> str:
    """Return one token of an answer with the space before it."""
    text = hashlib.blake2b(f'{digest}/{index}'.encode(), digest_size=3)
    return (' ' if index else '') + text.hexdigest()


def answer_text(messages: list[conversation.Message], max_tokens: int) -> str:
    """Return the whole answer to a conversation.

    Explanation
    ===========

    It depends on every message, so that a lost, doubled or foreign message
    in a history shows in the answer.

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
