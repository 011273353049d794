"""Settings that limit what clients make a process hold."""

import datetime
import os
import typing

import pydantic

from magnoliawood.budgets import client_budget
from magnoliawood.core import clock as clocks
from magnoliawood.telemetry import registry as registries

ENVIRONMENT_PREFIX = 'MAGNOLIAWOOD_'
# Where neither the host's settings nor a setting states them.
_BYTES_PER_MEGABYTE = 1024 * 1024
DEFAULT_MEMORY_BYTES = 256 * _BYTES_PER_MEGABYTE
DEFAULT_MAX_DESCRIPTORS = 4096
_TURN_CACHE_SHARE = 0.1
# Descriptors that are kept for files, and for the connections to other
# processes of the system and to the store.
_RESERVED_DESCRIPTORS = 264
_MIN_CONNECTIONS = 16
# Limits of a page that serves only short requests of operators or probes.
PAGE_LIMITS = client_budget.BudgetLimits(2 * _BYTES_PER_MEGABYTE, 32)


class ClientLimits(pydantic.BaseModel):
    """Limits on what clients make a process hold, derived from its host's."""

    client_memory_share: float = pydantic.Field(
        default=0.3,
        ge=0.05,
        le=0.6,
        description='share of the memory of the process that clients may '
        'make it hold: connections, bodies, histories and responses',
    )
    reserved_descriptors: int = pydantic.Field(
        default=_RESERVED_DESCRIPTORS,
        ge=0,
        description='descriptors that clients leave to the process; they use '
        'half of the others, since a request may need one more to its '
        'upstream',
    )
    stall_seconds: float = pydantic.Field(
        default=1.0,
        gt=0,
        le=60,
        description='time without progress after which a request that '
        'arrives, or a response that is read, gives way if room is needed',
    )
    body_seconds: float = pydantic.Field(
        default=30.0,
        gt=0,
        le=3600,
        description='time within which the body of a request has to arrive',
    )

    @property
    def body_limit(self) -> datetime.timedelta:
        """Time within which a body has to arrive."""
        return datetime.timedelta(seconds=self.body_seconds)

    def budget_limits(
        self, memory_bytes: int, max_descriptors: int
    ) -> client_budget.BudgetLimits:
        """Return the limits of a process.

        Examples
        ========

        >>> ClientLimits().budget_limits(128 * 1024 * 1024, 4100).connections
        1918

        :param memory_bytes: memory of the process; 0 if it is not stated
        :param max_descriptors: descriptors of the process; 0 likewise
        """
        memory = memory_bytes or DEFAULT_MEMORY_BYTES
        descriptors = max_descriptors or DEFAULT_MAX_DESCRIPTORS
        connections = (descriptors - self.reserved_descriptors) // 2
        return client_budget.BudgetLimits(
            int(memory * self.client_memory_share),
            max(_MIN_CONNECTIONS, connections),
            datetime.timedelta(seconds=self.stall_seconds),
        )

    def make_budget(
        self,
        memory_bytes: int,
        max_descriptors: int,
        clock: clocks.Clock,
        registry: registries.Registry,
    ) -> client_budget.ClientBudget:
        """Return the budget of a process; as :meth:`budget_limits`."""
        return client_budget.ClientBudget(
            self.budget_limits(memory_bytes, max_descriptors), clock, registry
        )


def turn_cache_bytes(memory_bytes: int) -> int:
    """Return the limit of a gateway's cache of turns.

    :param memory_bytes: memory of the process; 0 if it is not stated
    """
    return int((memory_bytes or DEFAULT_MEMORY_BYTES) * _TURN_CACHE_SHARE)


class KeeperLimits(pydantic.BaseModel):
    """Limits on what retained turns make a keeper hold."""

    body_memory_share: float = pydantic.Field(
        default=0.2,
        ge=0.01,
        le=0.6,
        description='share of the memory of a keeper for bodies of retained '
        'turns; those beyond it are read from the disk',
    )
    waiting_memory_share: float = pydantic.Field(
        default=0.1,
        ge=0.01,
        le=0.6,
        description='share of the memory of a keeper for records that wait '
        'for the disk; those beyond it are refused, and sent again',
    )
    disk_share: float = pydantic.Field(
        default=0.85,
        ge=0.1,
        le=1,
        description='share of the disk that records may fill; those beyond '
        'it are refused',
    )
    index_memory_share: float = pydantic.Field(
        default=0.35,
        ge=0.01,
        le=0.6,
        description='share of the memory of a keeper for the index of its '
        'records; records beyond it are refused',
    )
    first_turn_share: float = pydantic.Field(
        default=0.5,
        ge=0.1,
        le=1,
        description='share of the limits on the disk and the index of a '
        'keeper, beyond which gateways refuse retained turns of further '
        'programs before they run',
    )
    next_turn_share: float = pydantic.Field(
        default=0.75,
        ge=0.1,
        le=1,
        description='the same for programs that are under way',
    )


_Limits = typing.TypeVar('_Limits', ClientLimits, KeeperLimits)


def load(model: type[_Limits]) -> _Limits:
    """Return the limits that environment variables state.

    :raises ValueError: if one is malformed
    """
    named = {
        name: os.environ.get(f'{ENVIRONMENT_PREFIX}{name.upper()}')
        for name in model.model_fields
    }
    return model.model_validate(
        {name: text for name, text in named.items() if text is not None}
    )
