"""Messages of a conversation."""

import dataclasses
import hashlib
import itertools

from magnoliawood.core import json_pieces

_CHARACTERS_PER_TOKEN = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Message:
    """One message of a conversation.

    :param role: ``system``, ``user``, ``assistant`` or ``tool``
    :param content: text of the message
    """

    role: str
    content: str


def chain_digest(previous: str, messages: list[Message]) -> str:
    """Return the digest of a hash chain after appending ``messages``.

    :param previous: digest before the messages, empty for a new chain

    Examples
    ========

    >>> first = chain_digest('', [Message('user', 'hello')])
    >>> extended = chain_digest(first, [Message('assistant', 'hi')])
    >>> both = [Message('user', 'hello'), Message('assistant', 'hi')]
    >>> extended == chain_digest('', both)
    True
    """
    return next(
        reversed(list(itertools.accumulate(messages, _link, initial=previous)))
    )


def extend_digest(previous: str, role: str, *texts: str) -> str:
    """Return the digest of a hash chain after appending one message.

    Examples
    ========

    >>> whole = chain_digest('', [Message('tool', 'list: none')])
    >>> extend_digest('', 'tool', 'list', ': none') == whole
    True

    :param previous: digest before the message, empty for a new chain
    :param texts: parts of the content
    """
    link = hashlib.blake2b(f'{previous}\0{role}\0'.encode(), digest_size=16)
    for part in itertools.chain.from_iterable(map(json_pieces.slices, texts)):
        link.update(part.encode())
    return link.hexdigest()


def _link(previous: str, message: Message) -> str:
    return extend_digest(previous, message.role, message.content)


def token_estimate(messages: list[Message]) -> int:
    """Return the approximate number of tokens of messages.

    Examples
    ========

    >>> token_estimate([Message('user', 'a message of 32 characters here')])
    8
    """
    characters = sum(len(message.content) for message in messages)
    return -(-characters // _CHARACTERS_PER_TOKEN)
