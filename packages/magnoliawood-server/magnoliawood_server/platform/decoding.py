"""Decoding of objects in the store, including those of other writers."""

import collections.abc
import datetime
import ipaddress
import json
import logging
import typing

import pydantic

from magnoliawood.accounts import client_account
from magnoliawood.fleet import directory
from magnoliawood.replication import group as groups
from magnoliawood.routes import configuration as configurations
from magnoliawood_server.platform import names

_DEFAULT_ATTEMPTS = 3
_MAX_PORT = 65535
_MAX_SLOTS = 1_000_000

_log = logging.getLogger(__name__)

Fields = collections.abc.Mapping[str, typing.Any]


class _BackendFields(pydantic.BaseModel):
    service: str
    weight: float = 1.0


class _RouteFields(pydantic.BaseModel):
    name: str
    host: str
    path_prefix: str
    kind: configurations.RequestKind
    timeout_ms: float
    target_latency_ms: float = 1000.0
    priority: int = 0
    service: str | None = None
    backends: list[_BackendFields] | None = None
    max_attempts: int = _DEFAULT_ATTEMPTS
    retain: bool = False
    retain_s: float = 0.0
    resumable: bool = False
    sticky: bool = False
    public: bool = False

    def decode(self) -> configurations.Route:
        shares = [
            configurations.ServiceShare(backend.service, backend.weight)
            for backend in self.backends or []
        ]
        if self.service is not None:
            shares = [configurations.ServiceShare(self.service)]
        return configurations.Route(
            self.name,
            self.host,
            self.path_prefix,
            self.kind,
            datetime.timedelta(milliseconds=self.timeout_ms),
            datetime.timedelta(milliseconds=self.target_latency_ms),
            self.priority,
            tuple(shares),
            self.max_attempts,
            self.retain,
            datetime.timedelta(seconds=self.retain_s),
            self.resumable,
            self.public,
            self.sticky,
        )


class _EngineFields(pydantic.BaseModel):
    slots: int = 1
    kv_capacity: int = 0
    chunk_tokens: int = 1


class _ServiceFields(pydantic.BaseModel):
    name: str
    max_conns: int = 100
    engine: _EngineFields | None = None

    def decode(self) -> configurations.Service:
        engine = None
        if self.engine is not None:
            engine = configurations.Engine(
                self.engine.slots,
                self.engine.kv_capacity,
                self.engine.chunk_tokens,
            )
        return configurations.Service(self.name, self.max_conns, engine)


class _LimitFields(pydantic.BaseModel):
    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15000

    def decode(self) -> configurations.CallerLimits:
        return configurations.CallerLimits(
            self.max_header_bytes,
            self.max_body_bytes,
            datetime.timedelta(milliseconds=self.header_timeout_ms),
            datetime.timedelta(milliseconds=self.idle_timeout_ms),
        )


class _AccountFields(pydantic.BaseModel):
    name: str
    api_keys: list[str] = []
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0

    def decode(self) -> client_account.ClientAccount:
        return client_account.ClientAccount(
            self.name,
            frozenset(
                client_account.digest_of_key(key.encode())
                for key in self.api_keys
            ),
            self.priority,
            self.rate_per_s,
            self.burst,
        )


class _ConfigurationFields(pydantic.BaseModel):
    # An error that quotes its input could write keys to the log.
    model_config = pydantic.ConfigDict(hide_input_in_errors=True)

    version: int
    routes: list[_RouteFields] = []
    services: list[_ServiceFields] = []
    limits: _LimitFields = _LimitFields()
    tenants: list[_AccountFields] | None = None


def _check_text(text: str) -> str:
    """Reject text that cannot be sent or logged."""
    text.encode()
    return text


_Text = typing.Annotated[str, pydantic.AfterValidator(_check_text)]


class _UpstreamFields(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(strict=True)

    # It is sent to the upstream in a header.
    name: str = pydantic.Field(pattern=r'^[!-~]{1,200}$')
    service: _Text
    address: str
    zone: _Text
    state: typing.Literal['ready', 'draining']
    slots: int = pydantic.Field(1, ge=1, le=_MAX_SLOTS)
    version: _Text | int | float = ''
    # Unix time in ms at which the process started.
    born: typing.Any = None

    @pydantic.field_validator('address')
    @classmethod
    def _check_address(cls, address: str) -> str:
        host, _, port = address.rpartition(':')
        ipaddress.IPv4Address(host)
        is_number = port.isascii() and port.isdigit() and len(port) <= 5
        if not is_number or not 0 < int(port) <= _MAX_PORT:
            raise ValueError('no valid port')
        return address


def decode_version(spec: object) -> int | None:
    """Return the version that a configuration states, without decoding it.

    :returns: ``None`` if it states none in the usual form

    Examples
    ========

    >>> decode_version({'version': 7, 'routes': []})
    7
    >>> decode_version({'version': True}) is None
    True
    """
    version = spec.get('version') if isinstance(spec, dict) else None
    return version if type(version) is int else None


def decode_configuration(spec: object) -> configurations.Configuration:
    """Return the configuration that an operator wrote.

    :raises ValueError: if it is malformed
    """
    fields = _ConfigurationFields.model_validate(spec)
    return configurations.Configuration(
        fields.version,
        tuple(route.decode() for route in fields.routes),
        tuple(service.decode() for service in fields.services),
        fields.limits.decode(),
        None
        if fields.tenants is None
        else tuple(account.decode() for account in fields.tenants),
    )


def decode_upstream(name: str, spec: object) -> directory.Upstream | None:
    """Return an upstream, or ``None`` if the entry is not a valid one.

    Explanation
    ===========

    Other writers may store entries of any form.
    """
    try:
        entry = {**spec, 'name': name} if isinstance(spec, dict) else spec
        fields = _UpstreamFields.model_validate(entry)
    except pydantic.ValidationError as error:
        _log.warning(
            'entry is not a valid upstream; ignoring it',
            extra={'entry': ascii(name), 'errors': error.error_count()},
        )
        return None
    return directory.Upstream(
        name,
        fields.service,
        fields.address,
        fields.zone,
        fields.slots,
        fields.state == names.STATE_LEAVING,
        str(fields.version),
        _decode_unix_milliseconds(fields.born),
    )


def _decode_unix_milliseconds(value: object) -> datetime.datetime | None:
    """Return a time, or ``None`` if the value is none."""
    if not isinstance(value, int):
        return None
    try:
        return _UNIX_EPOCH + datetime.timedelta(milliseconds=value)
    except OverflowError:
        return None


_UNIX_EPOCH = datetime.datetime(1970, 1, 1, tzinfo=datetime.UTC)


_GROUP = pydantic.TypeAdapter(groups.Group)
_MEMBER = pydantic.TypeAdapter(groups.Member)


def encode_group(group: groups.Group) -> object:
    """Return the stored form of a replica group."""
    return json.loads(_GROUP.dump_json(group))


def decode_group(spec: object) -> groups.Group:
    """Return a replica group from its stored form.

    :raises ValueError: if it is malformed
    """
    return _GROUP.validate_python(spec)


def encode_member(member: groups.Member) -> object:
    """Return the stored form of a member disk."""
    return json.loads(_MEMBER.dump_json(member))


def decode_member(spec: object) -> groups.Member:
    """Return a member disk from its stored form.

    :raises ValueError: if it is malformed
    """
    return _MEMBER.validate_python(spec)
