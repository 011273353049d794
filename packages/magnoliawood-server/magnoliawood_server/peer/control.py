"""Messages that connections themselves need, and the types in use.

Only what stands here is needed by every process; each role registers its
own messages when it is imported.
"""

import dataclasses
import typing

import pydantic


@dataclasses.dataclass(frozen=True, slots=True)
class Ping:
    """Heartbeat."""


@dataclasses.dataclass(frozen=True, slots=True)
class Challenge:
    """Opens a connection.

    :param nonce: random bytes that the proofs cover
    :param key_ids: public names of the secrets that the sender knows
    """

    nonce: bytes
    key_ids: list[str]


@dataclasses.dataclass(frozen=True, slots=True)
class ChallengeReply:
    """The listener's nonce, the secret that it chose and its proof."""

    nonce: bytes
    key_id: str
    proof: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Proof:
    """Proof of the process that connected."""

    proof: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """A request was not accepted."""

    code: str
    detail: str
    verdict: str
    retry_after_seconds: float | None = None


ADAPTERS: dict[str, pydantic.TypeAdapter[typing.Any]] = {}


def register(*message_types: type) -> None:
    """Let types be sent and received, each known by its name."""
    for message_type in message_types:
        ADAPTERS[message_type.__name__] = pydantic.TypeAdapter(message_type)


register(Ping, Challenge, ChallengeReply, Proof, Refused)
