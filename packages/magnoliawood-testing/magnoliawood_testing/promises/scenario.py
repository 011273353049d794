"""Steps that the scenarios of the guarantees share."""

import concurrent.futures
import dataclasses
import http.client
import itertools
import signal
import time
import typing

from magnoliawood.ownership import journal
from magnoliawood.ownership import shard_map as shard_maps
from magnoliawood.programs import identity
from magnoliawood.programs import message as conversation
from magnoliawood.programs import records
from magnoliawood_testing.cluster import deployment as deployments

CALLER = 'red-clay'
OTHER_CALLER = 'kessick'
SERVICE = 'pours'
FINAL_TIMEOUT_SECONDS = 40.0
_RETRY_DELAY_SECONDS = 0.05
_BUDGET = {'tokens': 4000, 'calls': 200, 'seconds': 600}


@dataclasses.dataclass(slots=True)
class FinalResponse:
    """Final response to a request, with the verdicts of earlier attempts.

    :param verdicts: verdict of each attempt, the final one last; empty for a
        response without a verdict, ``no response`` for a failed connection
    :param seconds: time from the first attempt to the final response
    :param false_verdicts: number of ``not_run`` verdicts for a call that had
        run
    """

    status: int = 0
    body: typing.Any = None
    verdicts: list[str] = dataclasses.field(default_factory=list)
    seconds: float = 0.0
    false_verdicts: int = 0

    @property
    def verdict(self) -> str:
        """Verdict of the final response."""
        return self.verdicts[-1]


class Scenario:
    """A deployment with the requests and queries that scenarios use."""

    def __init__(self, deployment: deployments.Deployment) -> None:
        self.deployment = deployment
        self._names = itertools.count(1)
        self._threads = concurrent.futures.ThreadPoolExecutor(32)
        self._prefix = f'{time.monotonic_ns():x}'

    def prepare(self) -> None:
        """Create the work class and the accounts that the scenarios use."""
        self.deployment.create_class('booking', 30)
        self.deployment.create_account(CALLER)
        self.deployment.create_account(OTHER_CALLER)
        self.deployment.wait_for_configuration()

    def heal(self) -> None:
        """End all faults, start killed processes and wait for readiness."""
        for node in self.deployment.nodes():
            node.process.send_signal(signal.SIGCONT)
            if not node.process.is_running:
                node.process.start()
        self.deployment.set_faults(
            self.deployment.platform,
            outage=False,
            delay_seconds=0.0,
            lost_reply_rate=0.0,
        )
        for node in self.services():
            deployments.wait_until(
                lambda address=node.upstream: _listens(address), node.name
            )
            self.deployment.set_faults(
                node,
                delay_seconds=0.005,
                reply_delay_seconds=0.0,
                lost_replies=0,
            )
        self.set_step(0.005)
        deployments.wait_until(self.deployment.is_ready, 'ready entries')
        deployments.wait_until(
            self._are_owners_running, 'shards owned by running entries'
        )

    def set_step(self, seconds: float) -> None:
        """Set the time that the engines take to generate a token."""
        for name, node in self.deployment.upstreams.items():
            if name.startswith('engine'):
                self.deployment.set_faults(node, step_seconds=seconds)

    def services(self) -> list[deployments.Node]:
        """Return the processes that run the service of the scenarios."""
        return [
            node
            for name, node in self.deployment.upstreams.items()
            if name.startswith(SERVICE)
        ]

    def sidecar_of(self, upstream: str) -> deployments.Node:
        """Return the sidecar of an upstream, given by its name."""
        return self.deployment.sidecars[f'{upstream}-sidecar']

    def running_entries(self) -> list[deployments.Node]:
        """Return the entries whose process is running."""
        return [
            node
            for node in self.deployment.entries.values()
            if node.process.is_running
        ]

    def open(self, name: str = '', caller: str = CALLER, **limits: int) -> str:
        """Open a program and return its name.

        :param limits: parts of the budget that replace the default values
        """
        name = name or f'p-{self._prefix}-{next(self._names)}'
        body = {'class': 'booking', 'budget': {**_BUDGET, **limits}}
        response = self.send_request('PUT', name, body, caller=caller)
        assert response.status == 201, response
        return name

    def status(self, name: str) -> typing.Any:
        """Return the status of a program."""
        return self.send_request('GET', name).body

    def history(
        self, name: str, caller: str = CALLER
    ) -> list[conversation.Message]:
        """Return the history of a program and check its digest."""
        response = self.send_request(
            'GET', f'{name}/history', caller=caller
        ).body
        messages = [
            conversation.Message(**item) for item in response['messages']
        ]
        assert response['digest'] == conversation.chain_digest('', messages)
        return messages

    def owner_of(self, name: str) -> deployments.Node:
        """Return the owner of a program according to the stored shard map."""
        shard = identity.ProgramKey(CALLER, name).shard
        owner = self._map().assignments[shard].owner
        return self.deployment.entries[owner]

    def runs(self, name: str, sequence: int) -> int:
        """Return how many times the services ran a call, as they count it."""
        key = f'{CALLER}/{name}/{sequence}'
        return sum(
            deployments.call(node.upstream, 'GET', '/control/runs')[1].get(
                key, 0
            )
            for node in self.services()
        )

    def runner_of(self, name: str, sequence: int) -> deployments.Node:
        """Return the service process that ran a call."""
        key = f'{CALLER}/{name}/{sequence}'
        return next(
            node
            for node in self.services()
            if key
            in deployments.call(node.upstream, 'GET', '/control/runs')[1]
        )

    def start_booking(
        self,
        name: str,
        sequence: int,
        entries: list[deployments.Node] | None = None,
    ) -> concurrent.futures.Future[FinalResponse]:
        """Book in the background; see :meth:`book`."""
        return self._threads.submit(self.book, name, sequence, entries)

    def book(
        self,
        name: str,
        sequence: int,
        entries: list[deployments.Node] | None = None,
    ) -> FinalResponse:
        """Send one booking, repeating it until the response is final."""
        body = {'kind': 'service', 'service': SERVICE, 'operation': 'book'}
        path = f'{name}/calls/{sequence}'
        return self.send_request('PUT', path, body, entries, (name, sequence))

    def turn(
        self,
        name: str,
        sequence: int,
        text: str,
        max_tokens: int = 40,
        caller: str = CALLER,
    ) -> FinalResponse:
        """Send a model turn, repeating it until the response is final."""
        body = {
            'kind': 'model',
            'model': 'model-a',
            'messages': [{'role': 'user', 'content': text}],
            'max_tokens': max_tokens,
        }
        path = f'{name}/calls/{sequence}'
        return self.send_request('PUT', path, body, caller=caller)

    def start_turn(
        self,
        name: str,
        sequence: int,
        text: str,
        max_tokens: int = 40,
        caller: str = CALLER,
    ) -> concurrent.futures.Future[FinalResponse]:
        """Send a model turn in the background; see :meth:`turn`."""
        return self._threads.submit(
            self.turn, name, sequence, text, max_tokens, caller
        )

    def intended_sidecar(self, name: str) -> deployments.Node | None:
        """Return the sidecar named in the last stored intent of a program.

        :returns: ``None`` if the store has no intent of the program
        """
        values = self.deployment.stored_values(journal.JOURNAL_PREFIX)
        intents = [
            record
            for record in journal.decode_segments(values)
            if isinstance(record, records.Intended)
            and record.call.program.name == name
        ]
        if not intents:
            return None
        return self.deployment.sidecars[intents[-1].upstream]

    def store_writes(self) -> int:
        """Return the number of writes that the store has received."""
        address = self.deployment.platform.http
        counts = deployments.call(address, 'GET', '/control/calls')[1]
        return sum(counts.get(method, 0) for method in ('POST', 'PUT'))

    def set_leaving(self, node: deployments.Node, is_leaving: bool) -> None:
        """Mark a node as leaving, or not, in the host list of the platform."""
        node.is_leaving = is_leaving
        self.deployment.publish_hosts()

    def busy_engine(self) -> deployments.Node | None:
        """Return an engine sidecar that has a call in progress, if any."""
        for sidecar in self.deployment.sidecars.values():
            if not sidecar.name.startswith('engine'):
                continue
            if self.deployment.metric(sidecar, 'waiting_calls'):
                return sidecar
        return None

    def send_request(
        self,
        method: str,
        path: str,
        body: typing.Any = None,
        entries: list[deployments.Node] | None = None,
        booking: tuple[str, int] | None = None,
        caller: str = CALLER,
    ) -> FinalResponse:
        """Send a request until it has a final response.

        The attempts go to the entries in turn. Status 429, status 503 and a
        failed connection are not final.

        :param entries: entries to send to; the running ones by default
        :param booking: program and number of a call for which ``not_run``
            verdicts are checked against the counts of the services
        """
        response = FinalResponse()
        started = time.monotonic()
        deadline = started + FINAL_TIMEOUT_SECONDS
        for number in itertools.count():
            nodes = entries or self.running_entries()
            node = nodes[number % len(nodes)]
            if self._attempt(response, node, method, path, body, caller):
                break
            if booking and response.verdicts[-1:] == ['not_run']:
                response.false_verdicts += self.runs(*booking) > 0
            assert time.monotonic() < deadline, (
                response.status,
                response.body,
            )
            time.sleep(_RETRY_DELAY_SECONDS)
        response.seconds = time.monotonic() - started
        return response

    def _attempt(
        self,
        response: FinalResponse,
        node: deployments.Node,
        method: str,
        path: str,
        body: typing.Any,
        caller: str,
    ) -> bool:
        headers = {'authorization': f'Bearer token-of-{caller}'}
        try:
            response.status, response.body = deployments.call(
                node.http, method, f'/v1/programs/{path}', body, headers
            )
        except (OSError, http.client.HTTPException):
            # Like a balancer, the caller cannot tell if the request arrived.
            response.verdicts.append('no response')
            return False
        verdict = response.body.get('verdict', '')
        response.verdicts.append(verdict)
        return response.status not in (429, 503)

    def _map(self) -> shard_maps.ShardMap:
        stored_object = self.deployment.stored_object(shard_maps.MAP_NAME)
        return shard_maps.ShardMap.from_text(
            stored_object.version, stored_object.value
        )

    def _are_owners_running(self) -> bool:
        owners = {item.owner for item in self._map().assignments}
        return owners <= {node.name for node in self.running_entries()}


def _listens(address: str) -> bool:
    try:
        deployments.call(address, 'GET', '/control/runs')
    except (OSError, http.client.HTTPException):
        return False
    return True
