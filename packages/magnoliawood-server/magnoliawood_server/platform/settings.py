"""Settings of a process, from the file that the platform writes."""

import dataclasses
import datetime
import json
import os
import pathlib

import pydantic

from magnoliawood_server.platform import names

# The deploy file names the same port.
DEFAULT_METRICS_PORT = 9102
_METRICS_VARIABLE = 'MAGNOLIAWOOD_METRICS_PORT'
# Where peers connect may differ from where this host listens for them.
_PEER_BIND_VARIABLE = 'MAGNOLIAWOOD_PEER_BIND'


class _Tolerance(pydantic.BaseModel):
    machines: int = 0


class _Store(pydantic.BaseModel):
    address: str


class _Bounds(pydantic.BaseModel):
    grace_s: float = 8


class _BootFile(pydantic.BaseModel):
    """The file as the platform writes it; unknown fields are ignored."""

    node_name: str
    ip: str
    zone: str
    listen: dict[str, str] = {}
    port_range: tuple[int, int]
    seeds: list[str] = []
    data_dir: str | None = None
    fault_tolerance: _Tolerance = _Tolerance()
    platform: _Store
    bounds: _Bounds = _Bounds()


@dataclasses.dataclass(frozen=True, slots=True)
class HostSettings:
    """Settings of one process on the platform.

    :param host: name of this host
    :param caller_listen: address for callers; empty on disk hosts
    :param readiness_listen: address at which readiness is asked for
    :param peer_address: where other processes of the system reach this one
    :param peer_listen: where this one listens for them
    :param metrics_listen: address of the metrics
    :param seeds: peer addresses of some gateways; they may be stale
    :param store: address of the platform's store
    :param losses: disks that may be lost at once
    :param stop_limit: time between the request to stop and the kill
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


def load() -> HostSettings:
    """Read the settings file.

    :raises OSError: if it can't be read
    :raises ValueError: if it is malformed
    """
    path = pathlib.Path(os.environ[names.SETTINGS_VARIABLE])
    port = int(os.environ.get(_METRICS_VARIABLE, DEFAULT_METRICS_PORT))
    fields = json.loads(path.read_text(encoding='utf-8'))
    return parse(fields, port, os.environ.get(_PEER_BIND_VARIABLE, ''))


def parse(
    fields: object,
    metrics_port: int = DEFAULT_METRICS_PORT,
    peer_bind: str = '',
) -> HostSettings:
    """Return the settings that a file's fields hold.

    :param metrics_port: port of the metrics, the same on each host
    :param peer_bind: address to listen at for peers; where they connect if
        empty
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
    )
