"""Settings of the two roles, from flags and environment variables."""

import pathlib
import typing

import pydantic
import pydantic_settings

from magnoliawood.scheduling import policies

ENVIRONMENT_PREFIX = 'MAGNOLIAWOOD_'
_ADDRESS = r'^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$'
_ONE = r'\d{1,3}(\.\d{1,3}){3}:\d{1,5}'
_ADDRESSES = rf'^({_ONE}(,{_ONE})*)?$'
_NAME = r'^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$'

# Values of these never reach a message or a log.
SECRET_NAMES = frozenset({'peer_secret', 'operator_token_hash'})

SHORTEST_SECRET_CHARACTERS = 16

Address = typing.Annotated[str, pydantic.Field(pattern=_ADDRESS)]
Name = typing.Annotated[str, pydantic.Field(pattern=_NAME)]


def _check_secrets(value: pydantic.SecretStr) -> pydantic.SecretStr:
    secrets = value.get_secret_value().split(',')
    if min(map(len, secrets)) < SHORTEST_SECRET_CHARACTERS:
        raise ValueError(
            f'each secret has {SHORTEST_SECRET_CHARACTERS} characters or more'
        )
    return value


class CommonSettings(pydantic_settings.BaseSettings):
    """Settings of every process."""

    model_config = pydantic_settings.SettingsConfigDict(
        env_prefix=ENVIRONMENT_PREFIX, extra='forbid'
    )

    name: Name = pydantic.Field(description='name of this host')
    data_centre: Name = pydantic.Field(
        description='data centre that this host stands in'
    )
    platform: Address = pydantic.Field(
        description="IP number and port of the platform's object API"
    )
    peer_listen: Address = pydantic.Field(
        description='IP number and port for other processes of the system'
    )
    http_listen: Address = pydantic.Field(
        description='IP number and port for HTTP'
    )
    stop_notice_seconds: float = pydantic.Field(
        default=2.0,
        ge=0,
        le=600,
        description='how long a stopping process still accepts connections, '
        'so that balancers and peers notice',
    )
    stop_limit_seconds: float = pydantic.Field(
        default=900.0,
        gt=0,
        le=86400,
        description='how long a stopping process waits for what is under way',
    )
    peer_secret: typing.Annotated[
        pydantic.SecretStr, pydantic.AfterValidator(_check_secrets)
    ] = pydantic.Field(
        description='secret of 16 characters or more that all processes of '
        'the deployment share; several, separated by commas, while it is '
        'being replaced',
    )
    data_folder: pathlib.Path | None = pydantic.Field(
        default=None,
        description='folder for bulk data, if there is a disk; accepted but '
        'not used yet',
    )

    def peer_secrets(self) -> list[str]:
        """Return the shared secrets."""
        return self.peer_secret.get_secret_value().split(',')


class EntrySettings(CommonSettings):
    """Settings of an entry."""

    operator_token_hash: str = pydantic.Field(
        default='',
        pattern=r'^([0-9a-f]{64})?$',
        description='SHA-256 in hex of a token with the operator role, '
        'for setting up the first accounts',
    )
    default_class: Name = pydantic.Field(
        default='chat',
        description='class of OpenAI-compatible requests that name none',
    )
    journal_interval_seconds: float = pydantic.Field(
        default=0.02,
        gt=0,
        le=10,
        description='shortest time between two journal writes',
    )
    entries: typing.Annotated[str, pydantic.Field(pattern=_ADDRESSES)] = (
        pydantic.Field(
            default='',
            description='IP numbers and ports of entries to ask at a start '
            'while the platform does not answer, separated by commas',
        )
    )
    segments_per_log: int = pydantic.Field(
        default=2000,
        ge=1,
        description='journal writes after which a new log replaces the old',
    )
    idle_cache_seconds: float = pydantic.Field(
        default=1800.0,
        gt=0,
        le=86_400,
        description='idle time after which a program loses its cache',
    )
    suspicion_seconds: float = pydantic.Field(
        default=2.0,
        gt=0,
        le=60,
        description='silence after which another entry counts as dead',
    )
    policy: typing.Literal[policies.NAMES] = pydantic.Field(
        default=policies.STANDARD,
        description='decisions to use, meant for experiments only',
    )


class SidecarSettings(CommonSettings):
    """Settings of a sidecar."""

    upstream: Address = pydantic.Field(
        description='IP number and port of the upstream'
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
        description='calls that run at the upstream at the same time',
    )
    witness_seconds: float = pydantic.Field(
        default=30.0,
        ge=0,
        le=86400,
        description='how long a stopping sidecar keeps outcomes that no '
        'journal covers yet',
    )
    upstream_silence_seconds: float = pydantic.Field(
        default=10.0,
        gt=0,
        le=3600,
        description='silence of the upstream within an answer after which '
        'its connection counts as lost',
    )
    queue_limit: int = pydantic.Field(
        default=256,
        ge=0,
        description='calls that may wait for the upstream',
    )
