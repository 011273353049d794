"""Routes, services and limits of one version of the configuration."""

import dataclasses
import datetime
import enum


class RequestKind(enum.StrEnum):
    """What may be repeated."""

    SAFE = 'safe'
    UNSAFE = 'unsafe'
    STREAMING = 'streaming'


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceShare:
    """A service and its share of a route's requests.

    :param weight: share relative to the other services of the route
    """

    service: str
    weight: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Where requests of one host and path prefix go, and how.

    :param timeout: longest time that a request may be kept waiting
    :param latency_target: time within which a response is on time
    :param rank: importance; 0 is the highest
    :param max_attempts: most upstreams that one request may reach
    :param keeps_history: whether requests carry only their new input
    :param history_period: how long a turn is kept
    :param is_resumable: whether a stream may go on at another upstream
    """

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    timeout: datetime.timedelta
    latency_target: datetime.timedelta
    rank: int
    shares: tuple[ServiceShare, ...]
    max_attempts: int
    keeps_history: bool = False
    history_period: datetime.timedelta = datetime.timedelta()
    is_resumable: bool = False

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RequestKind.SAFE or self.is_resumable


@dataclasses.dataclass(frozen=True, slots=True)
class Engine:
    """Traits of the model engines of a service.

    :param cache_tokens: memory of an engine
    :param tokens_per_event: tokens that count for one event of a stream
    """

    slots: int
    cache_tokens: int
    tokens_per_event: int


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A group of upstreams that do the same work.

    :param max_connections: connections that one upstream accepts
    :param engine: traits of its engines, if they run a model
    """

    name: str
    max_connections: int
    engine: Engine | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller may send, and how long it may take."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_timeout: datetime.timedelta = datetime.timedelta(seconds=3)
    idle_timeout: datetime.timedelta = datetime.timedelta(seconds=15)


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """One version of everything that operators declare."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: CallerLimits
