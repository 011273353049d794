"""What a caller sent and what came back."""

import dataclasses
import enum


class Kind(enum.StrEnum):
    """Kinds of requests."""

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
        """Where requests of this kind go."""
        return _PATHS[self]


_PATHS = {
    Kind.PAGE: '/safe/page',
    Kind.BOOKING: '/once/page',
    Kind.STREAM: '/streams/stream',
    Kind.TURN: '/turns/stream',
}


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """One request with an id of its own.

    :param previous_id: turn that it continues from; empty at a start
    """

    request_id: str
    kind: Kind
    body: str
    program_id: str = ''
    previous_id: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """What the caller saw.

    :param status: ``None`` if no response began
    :param is_complete: whether the response ended as HTTP says
    """

    status: int | None
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b''
    is_complete: bool = False

    @property
    def is_success(self) -> bool:
        """Whether a whole successful response came."""
        return self.status == 200 and self.is_complete
