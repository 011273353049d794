"""Deployment on the users' platform with real processes on loopback."""

import datetime
import http
import itertools
import json
import pathlib
import shutil
import tempfile
import typing

import curio

from magnoliawood.core import clock as clocks
from magnoliawood.core import errors
from magnoliawood_server.keeper import messages
from magnoliawood_server.peer import pool as pools
from magnoliawood_server.platform import decoding
from magnoliawood_testing.cluster import daemon as daemons
from magnoliawood_testing.cluster import deployment as deployments
from magnoliawood_testing.cluster import hosted_routes
from magnoliawood_testing.cluster import http_call
from magnoliawood_testing.cluster import link as links
from magnoliawood_testing.cluster import process as processes
from magnoliawood_testing.cluster import run_journals
from magnoliawood_testing.standins import metadata_store
from magnoliawood_testing.standins import signed_upstream

# Prefix of the ids of the requests that check whether turns are served.
PROBE_ID_PREFIX = 'probe-'
_WAIT_TIMEOUT_SECONDS = 20.0
_REQUEST_TIMEOUT = datetime.timedelta(seconds=1)


class HostedDeployment:
    """Deployment of a store, upstreams, keepers and gateways.

    :param keepers: number of hosts with a disk
    :param losses: number of disks that may fail at once
    :param proxied: whether each link runs through a fault-injecting proxy
    :param versions: versions of the software of the upstreams, in turn
    :param bounds: time limits of the deployment that differ from the defaults
    :param host_limits: limits of the hosts, by role, as the settings state
        them; the processes are then started as the deploy file says
    :param caller_limits: limits on callers in the configuration
    """

    def __init__(
        self,
        keepers: int = 3,
        gateways: int = 2,
        losses: int = 1,
        upstreams: int = 2,
        proxied: bool = False,
        versions: tuple[str, ...] = (signed_upstream.DEFAULT_VERSION,),
        bounds: dict[str, typing.Any] | None = None,
        host_limits: dict[str, dict[str, int]] | None = None,
        caller_limits: dict[str, int] | None = None,
    ) -> None:
        self._host_limits = host_limits or {}
        self._caller_limits = caller_limits or {}
        self.folder = pathlib.Path(tempfile.mkdtemp())
        self.journals = run_journals.RunJournals(self.folder)
        self.losses = losses
        self._bounds = bounds or {}
        self._probe_numbers = itertools.count()
        self.links = links.Links(self._make_process, proxy_all=proxied)
        self.store_address = processes.free_address()
        self._store = self._make_process(
            'store', metadata_store.__name__, {'listen': self.store_address}
        )
        self.upstreams = {
            f'i-{number}': processes.free_address()
            for number in range(1, upstreams + 1)
        }
        self.upstream_versions = dict(
            zip(self.upstreams, itertools.cycle(versions), strict=False)
        )
        self.upstream_processes = {
            name: self._make_upstream(name, address)
            for name, address in self.upstreams.items()
        }
        self._peer_binds = [processes.free_address() for _ in range(gateways)]
        self.peer_addresses = [
            self.links.add_proxy(links.PEERS, f'gateway-{number}', address)
            for number, address in enumerate(self._peer_binds)
        ]
        self.gateways = [
            self._make_gateway(number) for number in range(gateways)
        ]
        self.keepers = [self._make_keeper(number) for number in range(keepers)]

    def __enter__(self) -> 'HostedDeployment':
        self._store.start()
        for process in (*self.upstream_processes.values(), *self._proxies()):
            process.start()
        self.wait_for(lambda: self.store('GET', '/objects/config').status)
        self._register()
        for process in (*self.keepers, *self.gateways):
            process.start()
        self.wait_until_ready()
        return self

    def __exit__(self, *_: object) -> None:
        for process in (
            *self.gateways,
            *self.keepers,
            *self.upstream_processes.values(),
            *self._proxies(),
            self._store,
        ):
            process.kill()
        shutil.rmtree(self.folder, ignore_errors=True)

    def _proxies(self) -> list[processes.Process]:
        return [link.process for link in self.links.all()]

    def store(
        self, method: str, target: str, body: object = None
    ) -> http_call.Response:
        """Send a request to the store."""
        return http_call.call(self.store_address, method, target, {}, body)

    def upstream(
        self, name: str, target: str, body: object = None
    ) -> http_call.Response:
        """Send a request to a control page of an upstream."""
        method = 'GET' if body is None else 'POST'
        return http_call.call(self.upstreams[name], method, target, {}, body)

    def stop_store(self) -> None:
        """End the store, so that another server may take its address."""
        self._store.kill()

    def set_store_faults(self, **faults: object) -> None:
        """Change the faults that the store injects."""
        self.store('POST', '/control/faults', faults)

    def set_upstream_faults(self, name: str, **faults: object) -> None:
        """Change the faults that an upstream injects."""
        self.upstream(name, '/control/faults', faults)

    def restart_crashed_upstreams(self) -> None:
        """Start crashed upstreams again with their address and id."""
        for name, process in self.upstream_processes.items():
            if process.is_running:
                continue
            process.start()
            self.wait_for(
                lambda at=name: (
                    self.upstream(at, '/control/faults', {}).status == 200
                )
            )

    def save_logs(self) -> pathlib.Path:
        """Copy logs and run journals to a folder that is not removed."""
        folder = pathlib.Path(tempfile.mkdtemp(prefix='soak-'))
        for path in self.folder.glob('*.*l*'):
            shutil.copy(path, folder)
        return folder

    def address_for_callers(self, gateway: int) -> str:
        """Return the address at which callers reach a gateway."""
        return self.links.address(
            links.CALLERS,
            f'gateway-{gateway}',
            self._address(gateway, 'front'),
        )

    def call(
        self,
        gateway: int,
        path: str,
        request_id: str,
        body: bytes = b'',
        **headers: str,
    ) -> http_call.Response:
        """Send a request to a gateway."""
        http_headers = {
            name.replace('_', '-'): text for name, text in headers.items()
        }
        return http_call.call(
            self.address_for_callers(gateway),
            'POST',
            path,
            {
                'Host': hosted_routes.HOST,
                'Request-Id': request_id,
                'Deadline-Ms': '4000',
                **http_headers,
            },
            body,
        )

    def is_ready(self, gateway: int) -> bool:
        """Whether a gateway reports that it accepts requests."""
        address = self._address(gateway, 'ready')
        return (
            http_call.call(address, 'GET', '/readyz', {}, None).status == 200
        )

    def wait_until_ready(self) -> None:
        """Wait until all gateways accept requests and serve turns."""
        for number in range(len(self.gateways)):
            self.wait_for(lambda at=number: self.is_ready(at))
            self.wait_for(lambda at=number: self._serves_turns(at))

    def _serves_turns(self, gateway: int) -> bool:
        name = f'{PROBE_ID_PREFIX}{next(self._probe_numbers)}'
        return self.call(gateway, '/turns/stream', name).status == 200

    def group(self) -> dict[str, typing.Any]:
        """Return the specification of the replica group in the store.

        :raises MagnoliawoodError: if the store does not return it
        """
        response = self.store('GET', '/objects/copy-groups/main')
        if response.status != http.HTTPStatus.OK:
            raise errors.MagnoliawoodError(
                errors.ErrorCode.STORE_UNAVAILABLE,
                f'the store returned status {response.status}',
            )
        return json.loads(response.body)['spec']

    def wait_for_replicas(self) -> None:
        """Wait until the replica of each member is complete.

        Explanation
        ===========

        Another disk may be lost only after that.
        """
        self.wait_for(self.are_replicas_complete)

    async def _are_replicas_complete(self) -> bool:
        pool = pools.PeerPool(clocks.SystemClock(), None)
        try:
            members = self.group()['members']
        except errors.MagnoliawoodError:
            return False
        for member in members:
            try:
                status = await pool.request(
                    member['address'],
                    messages.GetCopyStatus(),
                    _REQUEST_TIMEOUT,
                )
            except errors.MagnoliawoodError:
                return False
            if not status.is_complete_replica_of(
                decoding.decode_member(member)
            ):
                return False
        return True

    def wait_for(self, condition: typing.Callable[[], object]) -> None:
        """Poll until a condition holds.

        :raises TimeoutError: if it does not hold in time
        """
        deployments.wait_until(
            condition, 'a condition of the deployment', _WAIT_TIMEOUT_SECONDS
        )

    def are_replicas_complete(self) -> bool:
        """Whether the replica of each member is complete at this moment."""
        return curio.run(self._are_replicas_complete)

    def wipe_disk(self, keeper: int) -> None:
        """Remove the data folder of a keeper that is not running."""
        shutil.rmtree(self._data_folder(keeper))

    def tear_log(self, keeper: int, data: bytes) -> None:
        """Append bytes to the newest log of a keeper that is not running."""
        segments = sorted(self._data_folder(keeper).glob('records-*.log'))
        if segments:
            with segments[-1].open('ab') as file:
                file.write(data)

    def put_configuration(
        self,
        version: int,
        routes: list[dict[str, typing.Any]],
        accounts: list[dict[str, typing.Any]] | None = None,
    ) -> bool:
        """Write a configuration to the store as an operator does.

        :param accounts: client accounts; ``None`` to declare none
        :returns: whether the store acknowledged it
        """
        spec = {
            'version': version,
            'routes': routes,
            'services': [
                {'name': 'llm', 'engine': {'slots': 8, 'chunk_tokens': 16}}
            ],
            'limits': self._caller_limits,
        }
        if accounts is not None:
            spec['tenants'] = accounts
        body = {'metadata': {'name': 'main'}, 'spec': spec}
        if self.store('GET', '/objects/config/main').status == 200:
            response = self.store('PUT', '/objects/config/main', body)
        else:
            response = self.store('POST', '/objects/config', body)
        return response.status == 200

    def configuration_version(self) -> int:
        """Return the version of the configuration in the store."""
        response = self.store('GET', '/objects/config/main')
        return int(json.loads(response.body)['spec']['version'])

    def _register(self) -> None:
        self.put_configuration(1, hosted_routes.standard_routes())
        for name in self.upstreams:
            self.store(
                'POST',
                '/objects/servers',
                self._upstream_document(name, 'ready'),
            )

    def set_upstream_state(self, name: str, state: str) -> None:
        """Change the state that an upstream has registered in the store."""
        target = f'/objects/servers/{name}'
        self.store('PUT', target, self._upstream_document(name, state))

    def _upstream_document(
        self, name: str, state: str
    ) -> dict[str, typing.Any]:
        spec = {
            'service': 'llm',
            'address': self.links.address(
                links.GATEWAYS, name, self.upstreams[name]
            ),
            'zone': 'zone-1',
            'version': self.upstream_versions[name],
            'slots': 8,
            'state': state,
        }
        return {'metadata': {'name': name}, 'spec': spec}

    def _make_process(
        self, name: str, module: str, arguments: dict[str, object]
    ) -> processes.Process:
        return processes.Process(name, module, arguments, self.folder)

    def _make_upstream(self, name: str, address: str) -> processes.Process:
        self.links.add_proxy(links.GATEWAYS, name, address)
        return self._make_process(
            name,
            signed_upstream.__name__,
            {
                'listen': address,
                'incarnation': name,
                'version': self.upstream_versions[name],
                'journal': self.journals.path(name),
            },
        )

    def _make_gateway(self, number: int) -> processes.Process:
        name = f'gateway-{number}'
        callers = processes.free_address()
        self.links.add_proxy(links.CALLERS, name, callers)
        listen = {
            'front': callers,
            'ready': processes.free_address(),
            'control': self.peer_addresses[number],
        }
        bind = self._peer_binds[number]
        return self._make_daemon(name, 'gateway', listen, bind, None)

    def _make_keeper(self, number: int) -> processes.Process:
        name = f'keeper-{number}'
        bind = processes.free_address()
        listen = {'control': self.links.add_proxy(links.PEERS, name, bind)}
        folder = self._data_folder(number)
        return self._make_daemon(name, 'keeper', listen, bind, folder)

    def _data_folder(self, number: int) -> pathlib.Path:
        return self.folder / f'data-{number}'

    def _make_daemon(
        self,
        name: str,
        role: str,
        listen: dict[str, str],
        peer_bind: str,
        data_folder: pathlib.Path | None,
    ) -> processes.Process:
        store = self.links.add_proxy(name, links.STORE, self.store_address)
        port = int(listen['control'].rpartition(':')[2])
        settings = {
            'node_name': name,
            'ip': '127.0.0.1',
            'zone': 'zone-1',
            'listen': listen,
            'port_range': [port, port],
            'seeds': self.peer_addresses,
            'data_dir': data_folder and str(data_folder),
            'fault_tolerance': {'machines': self.losses},
            'platform': {'address': store},
            'bounds': self._bounds,
            'limits': self._host_limits.get(role, {}),
        }
        return daemons.make_daemon(
            self.folder,
            role,
            settings,
            peer_bind,
            is_deployed=bool(self._host_limits),
        )

    def _address(self, gateway: int, purpose: str) -> str:
        path = self.folder / f'gateway-{gateway}.json'
        settings = json.loads(path.read_text(encoding='utf-8'))
        return settings['listen'][purpose]
