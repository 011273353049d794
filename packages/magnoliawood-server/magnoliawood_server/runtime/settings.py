"""Settings of entries and sidecars, from flags and environment variables."""

import pathlib
import typing

import pydantic
import pydantic_settings

from magnoliawood.budgets import client_budget
from magnoliawood.scheduling import policies
from magnoliawood_server.runtime import client_limits

ENVIRONMENT_PREFIX = 'MAGNOLIAWOOD_'
_ADDRESS = r'^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$'
_ADDRESS_PATTERN = r'\d{1,3}(\.\d{1,3}){3}:\d{1,5}'
_ADDRESSES = rf'^({_ADDRESS_PATTERN}(,{_ADDRESS_PATTERN})*)?$'
_NAME = r'^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$'

# Settings whose values must not appear in error messages or logs.
SECRET_NAMES = frozenset({'peer_secret', 'operator_token_hash'})

MIN_SECRET_CHARACTERS = 16

Address = typing.Annotated[str, pydantic.Field(pattern=_ADDRESS)]
Name = typing.Annotated[str, pydantic.Field(pattern=_NAME)]


def _check_secrets(value: pydantic.SecretStr) -> pydantic.SecretStr:
    secrets = value.get_secret_value().split(',')
    if min(map(len, secrets)) < MIN_SECRET_CHARACTERS:
        raise ValueError(
            f'each secret must have at least {MIN_SECRET_CHARACTERS} '
            'characters'
        )
    return value


class CommonSettings(
    client_limits.ClientLimits, pydantic_settings.BaseSettings
):
    """Settings that entries and sidecars have in common."""

    model_config = pydantic_settings.SettingsConfigDict(
        env_prefix=ENVIRONMENT_PREFIX, extra='forbid'
    )

    name: Name = pydantic.Field(description='name of this host')
    data_centre: Name = pydantic.Field(
        description='data centre in which this host is located'
    )
    platform: Address = pydantic.Field(
        description="IP address and port of the platform's object API"
    )
    peer_listen: Address = pydantic.Field(
        description='IP address and port on which to listen for other '
        'processes of the deployment'
    )
    http_listen: Address = pydantic.Field(
        description='IP address and port on which to listen for HTTP'
    )
    stop_notice_seconds: float = pydantic.Field(
        default=2.0,
        ge=0,
        le=600,
        description='how long a stopping process still accepts connections, '
        'so that load balancers and peers can detect that it is stopping',
    )
    stop_limit_seconds: float = pydantic.Field(
        default=900.0,
        gt=0,
        le=86400,
        description='how long a stopping process waits for work in progress',
    )
    peer_secret: typing.Annotated[
        pydantic.SecretStr, pydantic.AfterValidator(_check_secrets)
    ] = pydantic.Field(
        description='secret of 16 characters or more that all processes of '
        'the deployment share; during a rotation, several secrets separated '
        'by commas',
    )
    data_folder: pathlib.Path | None = pydantic.Field(
        default=None,
        description='folder for bulk data, if the host has a disk; accepted '
        'but not used yet',
    )

    memory_mb: int = pydantic.Field(
        default=client_limits.DEFAULT_MEMORY_BYTES // 2**20,
        ge=64,
        description='memory in MiB that the process may use, of which '
        'clients get their share',
    )
    max_fds: int = pydantic.Field(
        default=client_limits.DEFAULT_MAX_DESCRIPTORS,
        ge=300,
        description='descriptors that the process may open',
    )

    unproved_peers: int = pydantic.Field(
        default=64,
        ge=1,
        description='connections of peers that have not proved yet that they '
        'know the secret; the one that waits for longest is closed for a '
        'further one',
    )

    def unproved_peer_limits(self) -> client_budget.BudgetLimits:
        """Return the limits on connections before their handshake."""
        return client_budget.BudgetLimits(
            self.unproved_peers * client_budget.CONNECTION_BYTES,
            self.unproved_peers,
        )

    def client_budget_limits(self) -> client_budget.BudgetLimits:
        """Return the limits on what clients make the process hold."""
        return self.budget_limits(self.memory_mb * 2**20, self.max_fds)

    def peer_secrets(self) -> list[str]:
        """Return the shared secrets in plain text, in configured order."""
        return self.peer_secret.get_secret_value().split(',')


class EntrySettings(CommonSettings):
    """Settings that only an entry has, besides the common ones."""

    operator_token_hash: str = pydantic.Field(
        default='',
        pattern=r'^([0-9a-f]{64})?$',
        description='SHA-256, in hexadecimal, of a token with the operator '
        'role, used to create the first accounts',
    )
    default_class: Name = pydantic.Field(
        default='chat',
        description='work class of OpenAI-compatible requests that name none',
    )
    journal_interval_seconds: float = pydantic.Field(
        default=0.02,
        gt=0,
        le=10,
        description='minimum time between two journal writes',
    )
    entries: typing.Annotated[str, pydantic.Field(pattern=_ADDRESSES)] = (
        pydantic.Field(
            default='',
            description='IP addresses and ports of entries, separated by '
            'commas, from which to request the shared state at a start while '
            'the platform does not respond',
        )
    )
    segments_per_log: int = pydantic.Field(
        default=2000,
        ge=1,
        description='number of journal writes after which a new log replaces '
        'the old one',
    )
    idle_cache_seconds: float = pydantic.Field(
        default=1800.0,
        gt=0,
        le=86_400,
        description='idle time after which the cache of a program is released',
    )
    suspicion_seconds: float = pydantic.Field(
        default=2.0,
        gt=0,
        le=60,
        description='time without a response after which another entry is '
        'suspected to have failed',
    )
    program_memory_share: float = pydantic.Field(
        default=0.3,
        ge=0.05,
        le=0.6,
        description='share of the memory of the process for programs with '
        'their histories; further ones are refused',
    )
    replica_memory_share: float = pydantic.Field(
        default=0.15,
        ge=0.01,
        le=0.6,
        description='share of the memory of the process for records of other '
        'entries that the store has not taken; while it takes none, all '
        'entries together accept no more',
    )
    policy: typing.Literal[policies.NAMES] = pydantic.Field(
        default=policies.STANDARD,
        description='scheduling policy; meant for experiments only',
    )

    @property
    def program_bytes(self) -> int:
        """Memory for programs with their histories."""
        return int(self.memory_mb * 2**20 * self.program_memory_share)

    @property
    def replica_bytes(self) -> int:
        """Memory for records of other entries."""
        return int(self.memory_mb * 2**20 * self.replica_memory_share)


class SidecarSettings(CommonSettings):
    """Settings that only a sidecar has, besides the common ones."""

    upstream: Address = pydantic.Field(
        description='IP address and port of the upstream'
    )
    kind: typing.Literal['engine', 'service'] = pydantic.Field(
        description='kind of the upstream'
    )
    serves: str = pydantic.Field(
        min_length=1,
        description='models or the service that the upstream serves, '
        'separated by commas',
    )
    concurrency: int = pydantic.Field(
        default=8,
        ge=1,
        le=4096,
        description='maximum number of calls that run at the upstream at the '
        'same time',
    )
    witness_seconds: float = pydantic.Field(
        default=30.0,
        ge=0,
        le=86400,
        description='how long a stopping sidecar keeps outcomes that are not '
        'yet durable in a journal',
    )
    upstream_silence_seconds: float = pydantic.Field(
        default=10.0,
        gt=0,
        le=3600,
        description='time without data from the upstream during a response '
        'after which its connection counts as lost',
    )
    queue_limit: int = pydantic.Field(
        default=256,
        ge=0,
        description='maximum number of calls that wait for the upstream',
    )
    response_limit_mb: int = pydantic.Field(
        default=8,
        ge=1,
        le=8,
        description='length of a response of the upstream in MiB; the outcome '
        'of a call with a longer one is unknown',
    )
    call_memory_share: float = pydantic.Field(
        default=0.4,
        ge=0.05,
        le=0.6,
        description='share of the memory of the process for calls with their '
        'histories, and their outcomes; further ones are refused',
    )

    @property
    def call_bytes(self) -> int:
        """Memory for calls with their histories, and their outcomes."""
        return int(self.memory_mb * 2**20 * self.call_memory_share)
