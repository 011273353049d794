"""Settings of the two roles, from flags and environment variables."""

import pathlib
import typing

import pydantic
import pydantic_settings

ENVIRONMENT_PREFIX = 'MAGNOLIAWOOD_'
_ADDRESS = r'^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$'
_NAME = r'^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$'

Address = typing.Annotated[str, pydantic.Field(pattern=_ADDRESS)]
Name = typing.Annotated[str, pydantic.Field(pattern=_NAME)]


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
    data_folder: pathlib.Path | None = pydantic.Field(
        default=None, description='folder for bulk data, if there is a disk'
    )


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
    queue_limit: int = pydantic.Field(
        default=256,
        ge=0,
        description='calls that may wait for the upstream',
    )
