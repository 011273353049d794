"""Routes, services and limits of one version of the configuration."""

import dataclasses
import datetime
import enum

from magnoliawood.accounts import client_account


class RequestKind(enum.StrEnum):
    """Kind of the requests of a route: whether they may be repeated."""

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
    """Routing rule for the requests of one host and path prefix.

    :param timeout: longest time that a request may wait
    :param latency_target: time within which a response counts as on time
    :param rank: priority; 0 is the highest
    :param max_attempts: maximum number of upstreams that one request may
        reach
    :param keeps_history: whether requests contain only their new input, and
        the stored turns before it are added
    :param history_period: how long a turn is stored
    :param is_resumable: whether a stream may continue at another upstream
    :param is_public: whether requests need no key of a client account
    :param has_affinity: whether upstreams that have served an affinity key
        recently work faster
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
    is_public: bool = False
    has_affinity: bool = False

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may safely run more than once."""
        return self.kind is RequestKind.SAFE or self.is_resumable


@dataclasses.dataclass(frozen=True, slots=True)
class Engine:
    """Capacity of the model engines of a service.

    :param slots: requests that an engine runs at the same time
    :param cache_tokens: size of an engine's key-value cache, in tokens
    :param tokens_per_event: tokens that each event of a stream counts as
    """

    slots: int
    cache_tokens: int
    tokens_per_event: int


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A group of interchangeable upstreams.

    :param max_connections: connections that one upstream accepts
    :param engine: capacity of its engines, if they run a model
    """

    name: str
    max_connections: int
    engine: Engine | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size of a request and on the time to send it."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_timeout: datetime.timedelta = datetime.timedelta(seconds=3)
    idle_timeout: datetime.timedelta = datetime.timedelta(seconds=15)


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the configuration that operators declare.

    :param accounts: client accounts; ``None`` if requests need no key
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: CallerLimits
    accounts: tuple[client_account.ClientAccount, ...] | None = None
