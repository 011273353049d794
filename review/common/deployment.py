"""A small deployment: the project's processes by the deploy file's commands.

Each machine has a loopback address of its own. The store, the servers and
the clients are the stand-ins beside this file; they run in this process.
"""

import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

from common import client
from common import server as servers
from common import store as stores

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = 'app.example'
METRICS_PORT = 9102
# Bounds of the sites redclay-pour and kessick-fleet.
BOUNDS = {
    'seed_staleness_s': 3, 'addr_reuse_s': 2, 'contact_ms': 3000,
    'ack_ms': 4000, 'catch_up_s': 4.9, 'drain_ms': 2000, 'grace_s': 8,
    'loss_slack_ms': 200, 'config_apply_ms': 2000, 'rollback_slack_ms': 250,
    'outer_ms': 5000, 'recover_s': 12, 'pass_ms': 120, 'again_s': 0,
    'deadline_s': 10, 'settle_ms': 1000,
}
CONTRACTS = ['base', 'drain', 'config', 'cost', 'recover', 'agent', 'stream',
             'engine', 'platform']


class CannotRun(Exception):
    """The case could not be run; exit code 2."""


class Machine:
    """One machine of the system, with its process."""

    def __init__(self, deployment, name, role, ip, settings):
        self.deployment = deployment
        self.name = name
        self.role = role
        self.ip = ip
        self.settings = settings
        self.process = None
        self.path = deployment.folder / f'{name}.json'

    def start(self):
        # Only the first start of the whole system is its bootstrap.
        self.settings['bootstrap'] = self.process is None
        self.path.write_text(json.dumps(self.settings), encoding='utf-8')
        run = self.deployment.deploy['roles'][self.role]['run'].split(' ')
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG') if name in os.environ
        }
        environment['MAGNOLIAWOOD_CONFIG'] = str(self.path)
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        log = (self.deployment.folder / f'{self.name}.log').open('ab')
        self.process = subprocess.Popen(
            run, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
            stdout=log, stderr=log,
        )
        log.close()
        self.deployment.log('start', self.name, f'pid {self.process.pid}')

    def signal(self, number):
        self.deployment.log('signal', self.name, number.name)
        if self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    async def stop(self):
        """SIGTERM, then SIGKILL after grace_s, as the platform does."""
        self.signal(signal.SIGTERM)
        for _ in range(int(BOUNDS['grace_s'] * 20)):
            if self.process.poll() is not None:
                break
            await asyncio.sleep(0.05)
        else:
            self.kill()
        self.deployment.log('ended', self.name, self.process.returncode)

    @property
    def front(self):
        return self.settings['listen']['front']

    async def is_ready(self):
        answer = await client.send(
            self.settings['listen']['ready'], 'GET', '/readyz',
            {'Host': 'ready'}, deadline_s=1.0,
        )
        return answer.status == 200


class Deployment:
    def __init__(self, record, gateways=2, keepers=3, losses=1):
        self.record = pathlib.Path(record).open('w', encoding='utf-8')
        self.began = time.monotonic()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        with (ROOT / 'deploy' / 'system.toml').open('rb') as file:
            self.deploy = tomllib.load(file)
        if not (ROOT / 'target' / 'deps').is_dir():
            raise CannotRun('target/deps is missing: run the build line')
        self._ports = {METRICS_PORT}
        self._subnet = self._free_subnet()
        self._ips = iter(range(1, 250))
        self.store = stores.Store()
        self.store_address = f'{self._ip()}:{self._port()}'
        self.servers = []
        ports = {name: self._port() for name in
                 ('front', 'ready', 'control', 'app')}
        self.app_port = ports['app']
        first = random.randrange(20000, 30000)
        ips = [self._ip() for _ in range(gateways)]
        seeds = [f'{ip}:{ports["control"]}' for ip in ips][:3]
        zones = [f'zone-{n}' for n in 'abc']
        self.gateways = []
        for number, ip in enumerate(ips):
            zone = zones[number % 3]
            self.gateways.append(Machine(self, f'front-{number}', 'gateway',
                ip, self._settings(
                    f'front-{number}', 'front', ip, zone, seeds, first,
                    {key: f'{ip}:{ports[key]}'
                     for key in ('front', 'ready', 'control')}, losses)))
        self.keepers = []
        for number in range(keepers):
            ip = self._ip()
            name = f'storage-{number}'
            settings = self._settings(
                name, 'storage', ip, zones[number % 3], seeds, first, {},
                losses)
            settings['data_dir'] = str(self.folder / f'data-{name}')
            settings['counts_toward_loss'] = True
            self.keepers.append(Machine(self, name, 'keeper', ip, settings))
        self.numbers = iter(range(1, 1_000_000))
        self.prefix = f'{random.randrange(16**8):08x}'

    def _settings(self, name, kind, ip, zone, seeds, first, listen, losses):
        return {
            'node_name': name, 'role': kind, 'machine_class': kind,
            'serves': ['front', 'control'] if kind == 'front' else ['storage'],
            'ip': ip, 'zone': zone, 'region': 'region-1',
            'zones': {f'zone-{n}': 'region-1' for n in 'abc'},
            'listen': listen, 'port_range': [first, first + 15],
            'seeds': seeds, 'bootstrap': True, 'counts_toward_loss': False,
            'limits': {'cpu_share': 0.817, 'cores': 1, 'memory_mb': 150,
                       'max_fds': 4100, 'link_mbps': 1000.0, 'disk_mb': 0},
            'data_dir': None, 'discovery': 'platform', 'entry': 'vip',
            'heartbeat_ms': 1200, 'contracts': CONTRACTS,
            'fault_tolerance': {'machines': losses, 'zones': 0, 'regions': 0},
            'bounds': BOUNDS,
            'platform': {'address': self.store_address, 'form': 'objects',
                         'writes_per_s': 400, 'reads_per_s': 2000,
                         'history_s': 20, 'value_bytes': 1048576,
                         'ttl_min_ms': 1000},
        }

    def _free_subnet(self):
        for _ in range(200):
            subnet = f'127.{random.randrange(10, 250)}.{random.randrange(250)}'
            with socket.socket() as sock:
                try:
                    sock.bind((f'{subnet}.1', METRICS_PORT))
                except OSError:
                    continue
            return subnet
        raise CannotRun('no free loopback addresses')

    def _ip(self):
        return f'{self._subnet}.{next(self._ips)}'

    def _port(self):
        """Return a port that is free on the loopback addresses used here."""
        for _ in range(200):
            port = random.randrange(10000, 20000)
            with socket.socket() as sock:
                try:
                    sock.bind((f'{self._subnet}.1', port))
                except OSError:
                    continue
            if port not in self._ports:
                self._ports.add(port)
                return port
        raise CannotRun('no free port')

    def log(self, *fields):
        seconds = time.monotonic() - self.began
        line = ' '.join(str(field) for field in fields)
        self.record.write(f'{seconds:8.3f} {line}\n')
        self.record.flush()

    def configure(self, version, routes, services):
        spec = {
            'version': version, 'routes': routes, 'services': services,
            'limits': {'max_header_bytes': 16384, 'max_body_bytes': 4194304,
                       'header_timeout_ms': 3000, 'idle_timeout_ms': 15000},
        }
        self.store.put('config', 'main', spec)
        self.log('operator: configuration', version)

    async def add_server(self, service, zone='zone-a', ip=None):
        ip = ip or self._ip()
        name = f'i-{random.randrange(16**8):08x}'
        server = servers.Server(name, service, zone, self.log)
        await server.start(ip, self.app_port)
        self.servers.append(server)
        self.store.put('servers', name, server.spec())
        return server

    async def start(self):
        host, _, port = self.store_address.rpartition(':')
        await self.store.start(host, int(port))
        for machine in (*self.keepers, *self.gateways):
            machine.start()

    async def until_ready(self, machines=None, seconds=25):
        end = time.monotonic() + seconds
        for machine in machines or self.gateways:
            while not await machine.is_ready():
                if time.monotonic() > end:
                    raise CannotRun(f'{machine.name} is not ready')
                await asyncio.sleep(0.1)

    def group(self):
        found = self.store.objects.get(('copy-groups', 'main'))
        return found and found['spec']

    def new_id(self, label='r'):
        return f'{self.prefix}{label}{next(self.numbers):05d}'

    async def request(self, gateway, path, body=b'', method='POST',
                      deadline_ms=4000, request_id=None, keep=None, **headers):
        """Send one request of a client and record what it saw."""
        request_id = request_id or self.new_id()
        fields = {'Host': HOST, 'Request-Id': request_id,
                  'Deadline-Ms': str(deadline_ms)}
        fields |= {name.replace('_', '-'): str(value)
                   for name, value in headers.items() if value}
        self.log('send', request_id, 'to', gateway.name, method, path,
                 *(f'{name}={value}' for name, value in fields.items()
                   if name not in ('Host', 'Request-Id')))
        answer = await client.send(
            gateway.front, method, path, fields, body,
            deadline_ms / 1000, keep or client.Answer(request_id))
        self.log('answer', request_id, answer.status or '-',
                 f'{answer.events} events' if answer.events else '',
                 'complete' if answer.complete else 'incomplete',
                 answer.error)
        return answer

    async def close(self):
        for machine in (*self.gateways, *self.keepers):
            if machine.process and machine.process.poll() is None:
                machine.signal(signal.SIGCONT)
                machine.kill()
        for server in self.servers:
            await server.stop()
        await self.store.stop()
        keep = os.environ.get('KEEP_LOGS')
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()


def route(name, kind, service, prefix, **fields):
    return {
        'name': name, 'host': HOST, 'path_prefix': prefix, 'kind': kind,
        'timeout_ms': 4000, 'target_latency_ms': 250, 'priority': 0,
        'service': service, 'max_attempts': 2, 'retain': False,
        'retain_s': 0.0, 'sticky': False, 'resumable': False,
        **fields,
    }


def engine_service(name):
    return {
        'name': name, 'health_path': '/healthz', 'max_conns': 310,
        'protocol': 'h1', 'tls': False,
        'engine': {'slots': 48, 'kv_capacity': 964173, 'kv_token_bytes': 18432,
                   'link_mbps': 1500000.0, 'moves': True, 'backups': True,
                   'chunk_tokens': 16, 'most': 12, 'pin_ms': 4000.0,
                   'hold_ms': 2000.0, 'handle_s': 5.0,
                   'models': [{'name': 'm'}]},
    }


def plain_service(name):
    return {'name': name, 'health_path': '/healthz', 'max_conns': 110,
            'protocol': 'h1', 'tls': False}


def main(play, limit_s=115):
    """Run a case: exit 1 if the rule was broken, 0 if it held, 2 if neither.

    The arguments are the file for the record and TROUBLE; run.sh passes them.
    `play(trouble, record)` returns the list of breaches.
    """
    record = pathlib.Path(sys.argv[1]).resolve()
    trouble = sys.argv[2] != '0'

    async def run():
        async with asyncio.timeout(limit_s):
            return await play(trouble, record)

    try:
        breaches = asyncio.run(run())
    except Exception as error:  # Not the rule's fault, whatever it is.
        print(f'cannot run: {error!r}')
        sys.exit(2)
    with record.open('a', encoding='utf-8') as file:
        for breach in breaches:
            file.write(f'BREACH {breach}\n')
        file.write(f'verdict: {"broken" if breaches else "held"}\n')
    for breach in breaches:
        print(f'BREACH {breach}')
    print('broken' if breaches else 'held')
    sys.exit(1 if breaches else 0)
