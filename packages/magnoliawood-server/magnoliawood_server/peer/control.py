"""Messages of the connection layer, and the registry of message types.

Every process needs the messages defined here. The modules of each role
register their own messages when they are imported.
"""

import dataclasses
import typing

import msgpack
import pydantic


@dataclasses.dataclass(frozen=True, slots=True)
class Ping:
    """Heartbeat, sent at a fixed interval in both directions."""


@dataclasses.dataclass(frozen=True, slots=True)
class Challenge:
    """First message of the handshake, sent by the connecting process.

    :param nonce: random bytes that both proofs are computed over
    :param key_ids: public identifiers of the secrets that the sender has
    """

    nonce: bytes
    key_ids: list[str]


@dataclasses.dataclass(frozen=True, slots=True)
class ChallengeReply:
    """Response of the listener to a :class:`Challenge`.

    :param nonce: random bytes that both proofs are computed over
    :param key_id: identifier of the secret that the listener selected
    :param proof: proof that the listener has this secret
    """

    nonce: bytes
    key_id: str
    proof: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Proof:
    """Last message of the handshake, sent by the connecting process.

    :param proof: proof that the sender has the selected secret
    """

    proof: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """Error response to a request.

    :param code: value of an :class:`errors.ErrorCode`
    :param detail: human-readable description of the error
    :param verdict: value of a :class:`verdict.Verdict`: whether the
        requested operation may have run
    :param retry_after_seconds: minimum time before a retry, if known
    """

    code: str
    detail: str
    verdict: str
    retry_after_seconds: float | None = None


class _Adapters(dict[str, 'pydantic.TypeAdapter[typing.Any]']):
    """Adapters by class name, each built at its first use."""

    def __init__(self) -> None:
        super().__init__()
        self._types: dict[str, type] = {}

    def __missing__(self, name: str) -> 'pydantic.TypeAdapter[typing.Any]':
        adapter: pydantic.TypeAdapter[typing.Any] = pydantic.TypeAdapter(
            self._types[name]
        )
        self[name] = adapter
        return adapter

    @property
    def names(self) -> list[str]:
        """Names of all registered types."""
        return list(self._types)

    def add(self, message_type: type) -> None:
        """Register a type."""
        self._types[message_type.__name__] = message_type


ADAPTERS = _Adapters()


@dataclasses.dataclass(frozen=True, slots=True)
class Packed:
    """A message that is encoded once, for frames to several peers.

    :param data: name and fields of the message, encoded
    """

    data: bytes

    @classmethod
    def of(cls, message: typing.Any) -> 'Packed':
        """Encode a message."""
        name = type(message).__name__
        fields = ADAPTERS[name].dump_python(message)
        return cls(msgpack.packb(name) + msgpack.packb(fields, datetime=True))


def register(*message_types: type) -> None:
    """Register message types; a frame identifies its type by class name."""
    for message_type in message_types:
        ADAPTERS.add(message_type)


register(Ping, Challenge, ChallengeReply, Proof, Refused)
