"""Settings that limit what clients make a process hold."""

import datetime
import os

import pydantic

from magnoliawood.budgets import client_budget

ENVIRONMENT_PREFIX = 'MAGNOLIAWOOD_'
# Where neither the host's settings nor a setting states them.
_BYTES_PER_MEGABYTE = 1024 * 1024
DEFAULT_MEMORY_BYTES = 256 * _BYTES_PER_MEGABYTE
DEFAULT_MAX_DESCRIPTORS = 4096
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


def load() -> ClientLimits:
    """Return the limits that environment variables state.

    :raises ValueError: if one is malformed
    """
    named = {
        name: os.environ.get(f'{ENVIRONMENT_PREFIX}{name.upper()}')
        for name in ClientLimits.model_fields
    }
    return ClientLimits.model_validate(
        {name: text for name, text in named.items() if text is not None}
    )
