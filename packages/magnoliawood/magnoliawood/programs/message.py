"""Messages of a conversation."""

import dataclasses
import hashlib
import itertools

_CHARACTERS_PER_TOKEN = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Message:
    """One message of a conversation.

    :param role: ``system``, ``user``, ``assistant`` or ``tool``
    :param content: the text
    """

    role: str
    content: str


def chain_digest(previous: str, messages: list[Message]) -> str:
    """Extend a hash chain over a history by ``messages``.

    Examples
    ========

    >>> first = chain_digest('', [Message('user', 'hello')])
    >>> whole = chain_digest(first, [Message('assistant', 'hi')])
    >>> both = [Message('user', 'hello'), Message('assistant', 'hi')]
    >>> whole == chain_digest('', both)
    True
    """
    return next(
        reversed(list(itertools.accumulate(messages, _link, initial=previous)))
    )


def _link(previous: str, message: Message) -> str:
    text = f'{previous}\0{message.role}\0{message.content}'.encode()
    return hashlib.blake2b(text, digest_size=16).hexdigest()


def token_estimate(messages: list[Message]) -> int:
    """Return about how many tokens messages have.

    Examples
    ========

    >>> token_estimate([Message('user', 'a message of 32 characters here')])
    8
    """
    characters = sum(len(message.content) for message in messages)
    return -(-characters // _CHARACTERS_PER_TOKEN)
