"""Requests of the soak test and the outcomes that callers observe."""

import dataclasses
import enum


class Kind(enum.StrEnum):
    """Kinds of requests that callers send."""

    PAGE = 'page'
    BOOKING = 'booking'
    STREAM = 'stream'
    TURN = 'turn'

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self in (Kind.PAGE, Kind.STREAM)

    @property
    def path(self) -> str:
        """Path to which requests of this kind are sent."""
        return _PATHS[self]


_PATHS = {
    Kind.PAGE: '/safe/page',
    Kind.BOOKING: '/once/page',
    Kind.STREAM: '/streams/stream',
    Kind.TURN: '/turns/stream',
}


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """One request with a unique id.

    :param previous_id: id of the turn that this turn follows; empty for the
        first turn of a program
    :param stream_id: id of the request that began the stream, if it is one
    :param last_event_id: last event of the stream that the caller has
    """

    request_id: str
    kind: Kind
    body: str
    program_id: str = ''
    previous_id: str = ''
    stream_id: str = ''
    last_event_id: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """Outcome of a request as the caller observed it.

    :param status: HTTP status; ``None`` if no response started
    :param is_complete: whether the body was received to its end
    """

    status: int | None
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b''
    is_complete: bool = False

    @property
    def is_success(self) -> bool:
        """Whether a complete response with status 200 was received."""
        return self.status == 200 and self.is_complete
