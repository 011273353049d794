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
    """One host: its process and addresses.

    :param peer: address for other processes of the system
    :param http: address for HTTP
    :param upstream: address of the upstream beside a sidecar
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
    """Return the token that an account of a deployment gets."""
    return f'token-of-{account}'


def call(
    address: str,
    method: str,
    path: str,
    body: typing.Any = None,
    headers: dict[str, str] | None = None,
) -> tuple[int, typing.Any]:
    """Send one request and return the status and the parsed answer."""
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
    """Wait until a condition holds.

    :raises TimeoutError: naming ``what`` if it does not in time
    """
    limit = time.monotonic() + timeout_seconds
    while not condition():
        if time.monotonic() > limit:
            raise TimeoutError(f'waited in vain for: {what}')
        time.sleep(_POLL_SECONDS)


class Deployment:
    """Starts, breaks and stops the processes of a deployment.

    :param engines: number of model engines
    :param services: names of plain services, one process each
    :param entries: number of entries
    :param links: pairs of client and server with a proxy between them, as
        in :class:`~magnoliawood_testing.cluster.link.LinkName`
    :param service_pool: processes that serve each service; those after
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
        self._centres = itertools.cycle(_DATA_CENTRES)
        self.links = links_of.Links(self._process, links)
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
        """Start everything and wait until the entries are ready."""
        self.platform.process.start()
        wait_until(lambda: answers(self.platform.http), 'platform')
        self.publish_hosts()
        for link in self.links.all():
            link.process.start()
        for link in self.links.all():
            wait_until(lambda at=link.control: answers(at), 'proxy')
        for node in self.nodes():
            if node is not self.platform:
                node.process.start()
        wait_until(lambda: self._admin_works(), 'administration API')
        wait_until(self.is_ready, 'ready entries')
        wait_until(self._are_upstreams_usable, 'upstreams that take work')

    def stop(self) -> None:
        """Kill everything."""
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
        """Return the model engines."""
        return [
            node
            for name, node in self.upstreams.items()
            if name.startswith('engine')
        ]

    def services(self) -> list[Node]:
        """Return the plain services."""
        engines = self.engines()
        return [n for n in self.upstreams.values() if n not in engines]

    def is_ready(self) -> bool:
        """Whether all running entries are ready and see all upstreams."""
        return all(
            self._is_entry_ready(node)
            for node in self.entries.values()
            if node.process.is_running
        )

    def publish_hosts(self) -> None:
        """Give the platform the list of hosts."""
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
        """Return an object of the product as the store has it."""
        place = product_store.object_key_of(name)
        quoted = urllib.parse.quote(place.name)
        target = f'/objects/{place.kind}/{quoted}'
        _, found = call(self.platform.http, 'GET', target)
        return store.StoredObject(
            name, found['metadata']['revision'], found['spec']['value']
        )

    def stored_values(self, prefix: str) -> list[str]:
        """Return the values of all objects of a kind, ordered by name."""
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
        """Switch faults of a stand-in."""
        address = node.http if node is self.platform else node.upstream
        status, answer = call(address, 'POST', '/control/faults', faults)
        assert status == 200, answer

    def admin(
        self, method: str, path: str, body: typing.Any = None, **headers: str
    ) -> tuple[int, typing.Any]:
        """Send a request of the operator to the first running entry."""
        entry = next(
            node for node in self.entries.values() if node.process.is_running
        )
        named = {
            name.replace('_', '-'): text for name, text in headers.items()
        }
        return call(
            entry.http,
            method,
            f'/admin/v1/{path}',
            body,
            {'authorization': f'Bearer {OPERATOR_TOKEN}', **named},
        )

    def create_class(self, name: str, target_seconds: float) -> None:
        """Create a class of work."""
        body = {'name': name, 'target_seconds': target_seconds}
        status, answer = self.admin(
            'PUT', f'classes/{name}', body, if_none_match='*'
        )
        assert status == 200, answer

    def create_account(self, name: str, role: str = 'caller') -> str:
        """Create an account and return its token."""
        token = token_of(name)
        digest = hashlib.sha256(token.encode()).hexdigest()
        body = {'name': name, 'role': role, 'token_hashes': [digest]}
        status, answer = self.admin(
            'PUT', f'accounts/{name}', body, if_none_match='*'
        )
        assert status == 200, answer
        return token

    def configuration_versions(self) -> list[int]:
        """Return the version in force at each running entry."""
        return [
            self.metric(node, 'configuration_version')
            for node in self.entries.values()
            if node.process.is_running
        ]

    def wait_for_configuration(self) -> None:
        """Wait until all running entries have the same configuration."""
        wait_until(
            lambda: len(set(self.configuration_versions())) == 1,
            'one configuration everywhere',
        )

    def metric(self, node: Node, series: str) -> int:
        """Return the value of one series of a node's metrics page."""
        _, text = call(node.http, 'GET', '/metrics')
        values = dict(
            line.rsplit(' ', 1)
            for line in text.splitlines()
            if line and not line.startswith('#')
        )
        return int(float(values.get(series, '0')))

    def runs(self, service: str) -> dict[str, int]:
        """Return how often each request ran at a service."""
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
        process = self._process(
            'platform',
            'magnoliawood_testing.standins.metadata_store',
            {'listen': address},
        )
        return Node('platform', 'platform', '', process, http=address)

    def _add_engine(self, name: str) -> None:
        address = processes.free_address()
        process = self._process(
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
        process = self._process(
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
        centre = next(self._centres)
        self.upstreams[name] = Node(
            name, 'upstream', centre, process, upstream=address
        )
        sidecar = f'{name}-sidecar'
        peer = processes.free_address()
        http_address = processes.free_address()
        settings = {
            'name': sidecar,
            'data_centre': centre,
            'platform': self.links.place(
                sidecar, 'platform', self.platform.http
            ),
            'peer_listen': peer,
            'http_listen': http_address,
            'upstream': self.links.place(sidecar, name, address),
            'kind': kind,
            'serves': serves,
            **self._sidecar_settings,
        }
        self.links.place(links_of.ENTRIES, sidecar, peer)
        self.sidecars[sidecar] = Node(
            sidecar,
            'sidecar',
            centre,
            self._daemon(sidecar, 'sidecar', settings),
            peer,
            http_address,
            address,
        )

    def _add_entry(self, name: str, peer: str, entries: str) -> None:
        centre = next(self._centres)
        http_address = processes.free_address()
        settings = {
            'name': name,
            'data_centre': centre,
            'platform': self.links.place(name, 'platform', self.platform.http),
            'peer_listen': peer,
            'http_listen': http_address,
            'operator_token_hash': hashlib.sha256(
                OPERATOR_TOKEN.encode()
            ).hexdigest(),
            'entries': entries,
            **self._entry_settings,
        }
        self.links.place(links_of.ENTRIES, name, peer)
        self.links.place(links_of.CALLERS, name, http_address)
        self.entries[name] = Node(
            name,
            'entry',
            centre,
            self._daemon(name, 'entry', settings),
            peer,
            http_address,
        )

    def _daemon(
        self, name: str, role: str, settings: dict[str, object]
    ) -> processes.Process:
        return processes.Process(
            name,
            'magnoliawood_server.main',
            {'peer_secret': PEER_SECRET, **settings},
            self.folder,
            role,
        )

    def _process(
        self, name: str, module: str, arguments: dict[str, object]
    ) -> processes.Process:
        return processes.Process(name, module, arguments, self.folder)

    def _admin_works(self) -> bool:
        if not all(answers(node.http) for node in self.entries.values()):
            return False
        body = {'name': 'chat', 'target_seconds': 30}
        status, _ = self.admin('PUT', 'classes/chat', body, if_none_match='*')
        return status in (200, 412)

    def _are_upstreams_usable(self) -> bool:
        """Whether each entry would send work to each upstream.

        Explanation
        ===========

        Entries list models as soon as they know the sidecars, which may be
        before an engine answers.
        """
        return all(
            self.metric(node, 'sidecars_usable') == len(self.sidecars)
            for node in self.entries.values()
        )

    def _is_entry_ready(self, node: Node) -> bool:
        if not answers(node.http, '/readyz'):
            return False
        headers = {'authorization': f'Bearer {OPERATOR_TOKEN}'}
        _, models = call(node.http, 'GET', '/v1/models', headers=headers)
        return {item['id'] for item in models['data']} == set(
            self.models.split(',')
        )


def answers(address: str, path: str = '/healthz') -> bool:
    """Whether a process answers HTTP requests."""
    try:
        status, _ = call(address, 'GET', path)
    except (OSError, http.client.HTTPException):
        return False
    return status in (200, 404)
