"""Settings of a process, read from the file that the platform writes."""

import dataclasses
import datetime
import json
import os
import pathlib

import pydantic

from magnoliawood_server.platform import names

# The deployment file names the same port.
DEFAULT_METRICS_PORT = 9102
_METRICS_VARIABLE = 'MAGNOLIAWOOD_METRICS_PORT'
# Address at which this process listens for peers, where it differs from the
# address to which they connect.
_PEER_BIND_VARIABLE = 'MAGNOLIAWOOD_PEER_BIND'
# Part of the platform's rules under which requests compete for room.
_ORDERED_CONTRACT = 'pressure'
# Part of the rules that goes with hosts that may be full and with upstreams
# whose health answers may be false.
_GUARDED_CONTRACT = 'health'
# Set to 1 to order requests where that part is not in force.
_ORDERED_VARIABLE = 'MAGNOLIAWOOD_ORDER_REQUESTS'
_TRUE = '1'
_BYTES_PER_MEGABYTE = 1024 * 1024


class _FaultTolerance(pydantic.BaseModel):
    machines: int = 0


class _Store(pydantic.BaseModel):
    address: str


class _Bounds(pydantic.BaseModel):
    grace_s: float = 8
    quota_window_s: float = 5
    strict_revoke: bool = False
    revoke_ms: float = 5000


class _Limits(pydantic.BaseModel):
    cpu_share: float | None = None
    memory_mb: float = 0
    max_fds: int = 0
    disk_mb: float = 0


class _BootFile(pydantic.BaseModel):
    """Content of the settings file; unknown fields are ignored."""

    node_name: str
    ip: str
    zone: str
    listen: dict[str, str] = {}
    port_range: tuple[int, int]
    seeds: list[str] = []
    data_dir: str | None = None
    fault_tolerance: _FaultTolerance = _FaultTolerance()
    platform: _Store
    bounds: _Bounds = _Bounds()
    limits: _Limits = _Limits()
    contracts: list[str] = []
    bootstrap: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class HostSettings:
    """Settings of one process on the platform.

    :param host: name of this host
    :param caller_listen: address for callers; empty on disk hosts
    :param readiness_listen: address of the readiness endpoint
    :param peer_address: address to which other processes of the system connect
    :param peer_listen: address at which this process listens for them
    :param metrics_listen: address of the metrics endpoint
    :param seeds: peer addresses of some gateways; they may be stale
    :param store: address of the platform's store
    :param losses: number of disks that may fail at once
    :param stop_limit: time between the request to stop and the forced kill
    :param quota_window: sliding window in which quotas of accounts hold
    :param revocation_limit: time without news of the configuration after
        which keys are not accepted any more; ``None`` for no such limit
    :param orders_requests: whether requests wait in the order of urgency, or
        are refused, while the upstreams are full
    :param processor_share: share of a processor core that the process has;
        ``None`` if it does not guard its host
    :param is_first_start: whether the whole system starts for the first time
    :param learns_upstreams: whether upstreams are chosen by what is learned
        of their speed and failures
    :param memory_bytes: memory that the process may use; 0 if not stated
    :param max_descriptors: descriptors that it may open; 0 if not stated
    :param disk_bytes: disk space that it may use; 0 if not stated
    """

    host: str
    data_centre: str
    caller_listen: str
    readiness_listen: str
    peer_address: str
    peer_listen: str
    metrics_listen: str
    seeds: tuple[str, ...]
    store: str
    losses: int
    stop_limit: datetime.timedelta
    data_folder: pathlib.Path | None
    quota_window: datetime.timedelta = datetime.timedelta(seconds=5)
    revocation_limit: datetime.timedelta | None = None
    orders_requests: bool = False
    processor_share: float | None = None
    memory_bytes: int = 0
    max_descriptors: int = 0
    disk_bytes: int = 0
    is_first_start: bool = True
    learns_upstreams: bool = True


def load() -> HostSettings:
    """Read the settings file and the environment variables.

    :raises OSError: if the file cannot be read
    :raises ValueError: if the content is malformed
    """
    path = pathlib.Path(os.environ[names.SETTINGS_VARIABLE])
    port = int(os.environ.get(_METRICS_VARIABLE, DEFAULT_METRICS_PORT))
    text = path.read_text(encoding='utf-8')
    try:
        return parse(
            json.loads(text),
            port,
            os.environ.get(_PEER_BIND_VARIABLE, ''),
            os.environ.get(_ORDERED_VARIABLE) == _TRUE,
        )
    except (OverflowError, RecursionError) as error:
        raise ValueError(f'settings out of range: {error}') from error


def parse(
    fields: object,
    metrics_port: int = DEFAULT_METRICS_PORT,
    peer_bind: str = '',
    orders_requests: bool = False,
) -> HostSettings:
    """Return the settings from the fields of the file.

    :param metrics_port: port of the metrics endpoint, the same on each host
    :param peer_bind: address at which to listen for peers; if empty, the
        address to which they connect
    :param orders_requests: whether requests are ordered in any deployment
    :raises ValueError: if a field is missing or malformed
    """
    boot = _BootFile.model_validate(fields)
    first_port = boot.port_range[0]
    peer_address = boot.listen.get('control', f'{boot.ip}:{first_port}')
    return HostSettings(
        host=boot.node_name,
        data_centre=boot.zone,
        caller_listen=boot.listen.get('front', ''),
        readiness_listen=boot.listen.get('ready', ''),
        peer_address=peer_address,
        peer_listen=peer_bind or peer_address,
        metrics_listen=f'{boot.ip}:{metrics_port}',
        seeds=tuple(boot.seeds),
        store=boot.platform.address,
        losses=boot.fault_tolerance.machines,
        stop_limit=datetime.timedelta(seconds=boot.bounds.grace_s),
        data_folder=pathlib.Path(boot.data_dir) if boot.data_dir else None,
        quota_window=datetime.timedelta(seconds=boot.bounds.quota_window_s),
        revocation_limit=_revocation_limit(boot.bounds),
        orders_requests=orders_requests or _ORDERED_CONTRACT in boot.contracts,
        processor_share=_guarded_share(boot),
        is_first_start=boot.bootstrap,
        learns_upstreams=_GUARDED_CONTRACT in boot.contracts
        or not boot.contracts,
        memory_bytes=int(boot.limits.memory_mb * _BYTES_PER_MEGABYTE),
        max_descriptors=boot.limits.max_fds,
        disk_bytes=int(boot.limits.disk_mb * _BYTES_PER_MEGABYTE),
    )


def _revocation_limit(bounds: _Bounds) -> datetime.timedelta | None:
    if not bounds.strict_revoke:
        return None
    return datetime.timedelta(milliseconds=bounds.revoke_ms)


def _guarded_share(boot: _BootFile) -> float | None:
    """Return the share of the processor if the host is to be guarded."""
    is_guarded = _GUARDED_CONTRACT in boot.contracts
    return boot.limits.cpu_share if is_guarded else None
