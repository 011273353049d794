"""A deployment of real processes: platform, upstreams, sidecars, entries."""

import collections.abc
import dataclasses
import hashlib
import http.client
import itertools
import json
import pathlib
import tempfile
import time
import typing
import urllib.parse

from magnoliawood.platform import store
from magnoliawood_server.platform import names
from magnoliawood_server.platform import product_store
from magnoliawood_testing.cluster import link as links_of
from magnoliawood_testing.cluster import process as processes

PEER_SECRET = 'peer-secret-of-the-deployment'
OPERATOR_TOKEN = 'operator-token-of-the-deployment'
READY_TIMEOUT_SECONDS = 30.0
_POLL_SECONDS = 0.05
_DATA_CENTRES = ('dc-1', 'dc-2', 'dc-3')


@dataclasses.dataclass(slots=True)
class Node:
    """One host with its process and addresses.

    :param peer: address for other processes of the deployment
    :param http: HTTP address
    :param upstream: address of the upstream, for an upstream and its sidecar
    """

    name: str
    role: str
    data_centre: str
    process: processes.Process
    peer: str = ''
    http: str = ''
    upstream: str = ''
    is_leaving: bool = False


def token_of(account: str) -> str:
    """Return the token that a deployment gives to an account."""
    return f'token-of-{account}'


def call(
    address: str,
    method: str,
    path: str,
    body: typing.Any = None,
    headers: dict[str, str] | None = None,
) -> tuple[int, typing.Any]:
    """Send one request and return the status and the parsed response."""
    connection = http.client.HTTPConnection(address, timeout=10)
    try:
        text = None if body is None else json.dumps(body)
        connection.request(method, path, text, headers or {})
        response = connection.getresponse()
        data = response.read()
    finally:
        connection.close()
    is_json = 'json' in (response.headers['content-type'] or '')
    return response.status, json.loads(data) if is_json else data.decode()


def wait_until(
    condition: collections.abc.Callable[[], object],
    what: str,
    timeout_seconds: float = READY_TIMEOUT_SECONDS,
) -> None:
    """Poll until a condition holds.

    :param what: name of the condition for the error message
    :raises TimeoutError: if the condition does not hold in time
    """
    limit = time.monotonic() + timeout_seconds
    while not condition():
        if time.monotonic() > limit:
            raise TimeoutError(f'timed out waiting for: {what}')
        time.sleep(_POLL_SECONDS)


class Deployment:
    """Deployment that starts, stops and injects faults into its processes.

    :param engines: number of model engines
    :param services: names of plain services
    :param entries: number of entries
    :param models: names of the models, separated by commas
    :param step_seconds: time that an engine takes to generate a token
    :param links: pairs of client and server with a proxy between them, as
        in :class:`~magnoliawood_testing.cluster.link.LinkName`
    :param service_pool: number of processes of each service; those after
        the first are named ``NAME-2``, ``NAME-3``
    """

    def __init__(
        self,
        engines: int = 2,
        services: tuple[str, ...] = ('pours',),
        entries: int = 2,
        models: str = 'model-a',
        step_seconds: float = 0.005,
        folder: pathlib.Path | None = None,
        entry_settings: dict[str, object] | None = None,
        sidecar_settings: dict[str, object] | None = None,
        links: tuple[tuple[str, str], ...] = (),
        engine_settings: dict[str, object] | None = None,
        service_pool: int = 1,
    ) -> None:
        self._temporary = None
        if folder is None:
            self._temporary = tempfile.TemporaryDirectory()
            folder = pathlib.Path(self._temporary.name)
        self.folder = folder
        self.models = models
        self._step_seconds = step_seconds
        self._entry_settings = entry_settings or {}
        self._sidecar_settings = sidecar_settings or {}
        self._engine_settings = engine_settings or {}
        self._data_centres = itertools.cycle(_DATA_CENTRES)
        self.links = links_of.Links(self._make_process, links)
        self.upstreams: dict[str, Node] = {}
        self.sidecars: dict[str, Node] = {}
        self.entries: dict[str, Node] = {}
        self.platform = self._make_platform()
        for number in range(1, engines + 1):
            self._add_engine(f'engine-{number}')
        for name in services:
            self._add_service(name, name)
            for number in range(2, service_pool + 1):
                self._add_service(f'{name}-{number}', name)
        peers = [processes.free_address() for _ in range(entries)]
        for number, peer in enumerate(peers, start=1):
            self._add_entry(f'entry-{number}', peer, ','.join(peers))

    def __enter__(self) -> 'Deployment':
        try:
            self.start()
        except BaseException:
            print(self.logs())
            self.stop()
            raise
        return self

    def __exit__(self, *details: object) -> None:
        self.stop()

    def start(self) -> None:
        """Start all processes; wait until entries and upstreams are usable."""
        self.platform.process.start()
        wait_until(lambda: is_responding(self.platform.http), 'platform')
        self.publish_hosts()
        for link in self.links.all():
            link.process.start()
        for link in self.links.all():
            wait_until(lambda at=link.control: is_responding(at), 'proxy')
        for node in self.nodes():
            if node is not self.platform:
                node.process.start()
        wait_until(lambda: self._admin_works(), 'administration API')
        wait_until(self.is_ready, 'ready entries')
        wait_until(self._are_upstreams_usable, 'usable upstreams')

    def stop(self) -> None:
        """Kill all processes and remove the temporary folder."""
        for node in [*self.nodes(), *self.links.all()]:
            node.process.kill()
        if self._temporary is not None:
            self._temporary.cleanup()

    def nodes(self) -> list[Node]:
        """Return all nodes, the platform first."""
        return [
            self.platform,
            *self.upstreams.values(),
            *self.sidecars.values(),
            *self.entries.values(),
        ]

    def engines(self) -> list[Node]:
        """Return the nodes of the model engines."""
        return [
            node
            for name, node in self.upstreams.items()
            if name.startswith('engine')
        ]

    def services(self) -> list[Node]:
        """Return the nodes of the plain services."""
        engines = self.engines()
        return [n for n in self.upstreams.values() if n not in engines]

    def is_ready(self) -> bool:
        """Whether all running entries are ready and list all models."""
        return all(
            self._is_entry_ready(node)
            for node in self.entries.values()
            if node.process.is_running
        )

    def publish_hosts(self) -> None:
        """Write the list of hosts to the platform."""
        for node in [*self.sidecars.values(), *self.entries.values()]:
            spec = {
                'role': node.role,
                'address': self.links.address(
                    links_of.ENTRIES, node.name, node.peer
                ),
                'data_centre': node.data_centre,
                'leaving': node.is_leaving,
            }
            body = {'metadata': {'name': node.name}, 'spec': spec}
            target = f'/objects/{names.KIND_HOSTS}/{node.name}'
            status, _ = call(self.platform.http, 'PUT', target, body)
            if status != 200:
                target = f'/objects/{names.KIND_HOSTS}'
                call(self.platform.http, 'POST', target, body)

    def stored_object(self, name: str) -> store.StoredObject:
        """Return an object of the product from the store."""
        object_key = product_store.object_key_of(name)
        quoted = urllib.parse.quote(object_key.name)
        target = f'/objects/{object_key.kind}/{quoted}'
        _, document = call(self.platform.http, 'GET', target)
        return store.StoredObject(
            name, document['metadata']['revision'], document['spec']['value']
        )

    def stored_values(self, prefix: str) -> list[str]:
        """Return the values of all objects of a kind, sorted by name."""
        kind = product_store.object_key_of(prefix).kind
        values: list[str] = []
        after = ''
        while True:
            target = f'/objects/{kind}?after={urllib.parse.quote(after)}'
            _, page = call(self.platform.http, 'GET', target)
            values += [item['spec']['value'] for item in page['items']]
            if not page['more']:
                return values
            after = page['items'][-1]['metadata']['name']

    def set_faults(self, node: Node, **faults: object) -> None:
        """Change the faults of a stand-in."""
        address = node.http if node is self.platform else node.upstream
        status, response = call(address, 'POST', '/control/faults', faults)
        assert status == 200, response

    def admin(
        self, method: str, path: str, body: typing.Any = None, **headers: str
    ) -> tuple[int, typing.Any]:
        """Send an operator's request to the first running entry."""
        entry = next(
            node for node in self.entries.values() if node.process.is_running
        )
        http_headers = {
            name.replace('_', '-'): text for name, text in headers.items()
        }
        return call(
            entry.http,
            method,
            f'/admin/v1/{path}',
            body,
            {'authorization': f'Bearer {OPERATOR_TOKEN}', **http_headers},
        )

    def create_class(self, name: str, target_seconds: float) -> None:
        """Create a work class."""
        body = {'name': name, 'target_seconds': target_seconds}
        status, response = self.admin(
            'PUT', f'classes/{name}', body, if_none_match='*'
        )
        assert status == 200, response

    def create_account(self, name: str, role: str = 'caller') -> str:
        """Create an account and return its token."""
        token = token_of(name)
        digest = hashlib.sha256(token.encode()).hexdigest()
        body = {'name': name, 'role': role, 'token_hashes': [digest]}
        status, response = self.admin(
            'PUT', f'accounts/{name}', body, if_none_match='*'
        )
        assert status == 200, response
        return token

    def configuration_versions(self) -> list[int]:
        """Return the configuration version of each running entry."""
        return [
            self.metric(node, 'configuration_version')
            for node in self.entries.values()
            if node.process.is_running
        ]

    def wait_for_configuration(self) -> None:
        """Wait until all running entries have the same configuration."""
        wait_until(
            lambda: len(set(self.configuration_versions())) == 1,
            'the same configuration at all entries',
        )

    def metric(self, node: Node, series: str) -> int:
        """Return a value from the metrics page of a node; 0 if missing."""
        _, text = call(node.http, 'GET', '/metrics')
        values = dict(
            line.rsplit(' ', 1)
            for line in text.splitlines()
            if line and not line.startswith('#')
        )
        return int(float(values.get(series, '0')))

    def runs(self, service: str) -> dict[str, int]:
        """Return the number of runs of each request at a service."""
        node = self.upstreams[service]
        return call(node.upstream, 'GET', '/control/runs')[1]

    def engine_state(self, name: str) -> dict[str, typing.Any]:
        """Return the state of an engine stand-in."""
        node = self.upstreams[name]
        return call(node.upstream, 'GET', '/control/state')[1]

    def logs(self) -> str:
        """Return the logs of all processes."""
        return '\n'.join(
            f'== {node.name}\n{node.process.log_path.read_text()}'
            for node in self.nodes()
            if node.process.log_path.exists()
        )

    def _make_platform(self) -> Node:
        address = processes.free_address()
        process = self._make_process(
            'platform',
            'magnoliawood_testing.standins.metadata_store',
            {'listen': address},
        )
        return Node('platform', 'platform', '', process, http=address)

    def _add_engine(self, name: str) -> None:
        address = processes.free_address()
        process = self._make_process(
            name,
            'magnoliawood_testing.standins.engine',
            {
                'listen': address,
                'models': self.models,
                'step_seconds': self._step_seconds,
                **self._engine_settings,
            },
        )
        self._add_upstream(name, process, address, 'engine', self.models)

    def _add_service(self, name: str, serves: str) -> None:
        address = processes.free_address()
        process = self._make_process(
            name,
            'magnoliawood_testing.standins.service',
            {'listen': address},
        )
        self._add_upstream(name, process, address, 'service', serves)

    def _add_upstream(
        self,
        name: str,
        process: processes.Process,
        address: str,
        kind: str,
        serves: str,
    ) -> None:
        data_centre = next(self._data_centres)
        self.upstreams[name] = Node(
            name, 'upstream', data_centre, process, upstream=address
        )
        sidecar = f'{name}-sidecar'
        peer = processes.free_address()
        http_address = processes.free_address()
        settings = {
            'name': sidecar,
            'data_centre': data_centre,
            'platform': self.links.add_proxy(
                sidecar, 'platform', self.platform.http
            ),
            'peer_listen': peer,
            'http_listen': http_address,
            'upstream': self.links.add_proxy(sidecar, name, address),
            'kind': kind,
            'serves': serves,
            **self._sidecar_settings,
        }
        self.links.add_proxy(links_of.ENTRIES, sidecar, peer)
        self.sidecars[sidecar] = Node(
            sidecar,
            'sidecar',
            data_centre,
            self._make_daemon(sidecar, 'sidecar', settings),
            peer,
            http_address,
            address,
        )

    def _add_entry(self, name: str, peer: str, entries: str) -> None:
        data_centre = next(self._data_centres)
        http_address = processes.free_address()
        settings = {
            'name': name,
            'data_centre': data_centre,
            'platform': self.links.add_proxy(
                name, 'platform', self.platform.http
            ),
            'peer_listen': peer,
            'http_listen': http_address,
            'operator_token_hash': hashlib.sha256(
                OPERATOR_TOKEN.encode()
            ).hexdigest(),
            'entries': entries,
            **self._entry_settings,
        }
        self.links.add_proxy(links_of.ENTRIES, name, peer)
        self.links.add_proxy(links_of.CALLERS, name, http_address)
        self.entries[name] = Node(
            name,
            'entry',
            data_centre,
            self._make_daemon(name, 'entry', settings),
            peer,
            http_address,
        )

    def _make_daemon(
        self, name: str, role: str, settings: dict[str, object]
    ) -> processes.Process:
        return processes.Process(
            name,
            'magnoliawood_server.main',
            {'peer_secret': PEER_SECRET, **settings},
            self.folder,
            role,
        )

    def _make_process(
        self, name: str, module: str, arguments: dict[str, object]
    ) -> processes.Process:
        return processes.Process(name, module, arguments, self.folder)

    def _admin_works(self) -> bool:
        if not all(is_responding(node.http) for node in self.entries.values()):
            return False
        body = {'name': 'chat', 'target_seconds': 30}
        status, _ = self.admin('PUT', 'classes/chat', body, if_none_match='*')
        return status in (200, 412)

    def _are_upstreams_usable(self) -> bool:
        """Whether each entry counts all sidecars as usable.

        Explanation
        ===========

        Entries list models as soon as the sidecars are in their cluster view,
        which may be before an engine responds.
        """
        return all(
            self.metric(node, 'sidecars_usable') == len(self.sidecars)
            for node in self.entries.values()
        )

    def _is_entry_ready(self, node: Node) -> bool:
        if not is_responding(node.http, '/readyz'):
            return False
        headers = {'authorization': f'Bearer {OPERATOR_TOKEN}'}
        _, models = call(node.http, 'GET', '/v1/models', headers=headers)
        return {item['id'] for item in models['data']} == set(
            self.models.split(',')
        )


def is_responding(address: str, path: str = '/healthz') -> bool:
    """Whether a process responds to an HTTP request with 200 or 404."""
    try:
        status, _ = call(address, 'GET', path)
    except (OSError, http.client.HTTPException):
        return False
    return status in (200, 404)
