"""Callers that send requests while faults are injected."""

import dataclasses
import http.client
import itertools
import random
import threading
import time

from magnoliawood_testing.cluster import hosted
from magnoliawood_testing.cluster import hosted_routes
from magnoliawood_testing.soak import attempt as attempts
from magnoliawood_testing.soak import promises

# Longer than any request may take, so that the final response is received.
_RESPONSE_TIMEOUT_SECONDS = 8.0
_DEADLINE_MS = 4000
_REQUEST_INTERVAL_SECONDS = 0.02
_BUDGET_SPENT_STATUS = 402
_TURNS_PER_PROGRAM = 7
_MAX_TRIES_PER_TURN = 3
_MAX_TRIES_PER_STREAM = 4
# Bodies that many requests of all callers have.
_SHARED_BODIES = ('', 'x', 'y' * 99)
_MAX_RETRY_AFTER_SECONDS = 1.0
# Delay after a request that got no response from a gateway.
_NO_RESPONSE_DELAY_SECONDS = 0.1
_READ_SIZE_BYTES = 64 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Session:
    """A session and its last turn that got a complete response."""

    program_id: str
    last_turn_id: str


class Caller:
    """Sends requests one at a time over persistent connections.

    :param number: number of the caller, part of the ids of its requests
    """

    def __init__(
        self,
        number: int,
        seed: int,
        deployment: hosted.HostedDeployment,
        checker: promises.GuaranteeChecker,
        budget_tokens: int,
    ) -> None:
        self._number = number
        self._random = random.Random(f'{seed}/{number}')
        self._deployment = deployment
        self._checker = checker
        self._budget_tokens = budget_tokens
        self._numbers = itertools.count()
        self._connections: dict[int, http.client.HTTPConnection] = {}
        self.sessions: list[Session] = []

    def run(self, stop: threading.Event) -> None:
        """Send requests until the event is set."""
        while not stop.is_set():
            kind = self._random.choice(tuple(attempts.Kind))
            if kind is attempts.Kind.TURN:
                self._run_program(stop)
            elif kind is attempts.Kind.STREAM:
                self._run_stream()
            else:
                self._send(kind, body=self._random.choice(_SHARED_BODIES))
            time.sleep(_REQUEST_INTERVAL_SECONDS)
        for connection in self._connections.values():
            connection.close()

    def continue_session(self, session: Session) -> bool:
        """Send one more turn of a session.

        :returns: whether the turn succeeded or the budget is spent
        """
        outcome = self._send(
            attempts.Kind.TURN,
            'again|',
            session.program_id,
            session.last_turn_id,
        )
        return outcome.is_success or outcome.status == _BUDGET_SPENT_STATUS

    def call(self, gateway: int, path: str) -> attempts.Outcome:
        """Send one request for a page to a gateway."""
        attempt = self._make_attempt(attempts.Kind.PAGE, '', '', '')
        return self.exchange(gateway, attempt, path)

    def _run_program(self, stop: threading.Event) -> None:
        program = f'p{self._number}.{next(self._numbers)}'
        previous = ''
        for _ in range(_TURNS_PER_PROGRAM):
            outcome = None
            for _ in range(_MAX_TRIES_PER_TURN):
                if stop.is_set():
                    return
                outcome, turn_id = self._send_turn(program, previous)
                if (
                    outcome.is_success
                    or outcome.status == _BUDGET_SPENT_STATUS
                ):
                    break
            if outcome is None or not outcome.is_success:
                return
            previous = turn_id
            self._record_session(Session(program, turn_id))

    def _run_stream(self) -> None:
        """Read a stream and take it up each time that it breaks off."""
        name = f'c{self._number}.{next(self._numbers)}'
        attempt = attempts.Attempt(
            name,
            attempts.Kind.STREAM,
            self._random.choice((f'say {name}', *_SHARED_BODIES)),
            stream_id=name,
        )
        for number in range(_MAX_TRIES_PER_STREAM):
            gateway = self._random.randrange(len(self._deployment.gateways))
            outcome = self.exchange(gateway, attempt, attempt.kind.path)
            if outcome.is_success:
                return
            received = promises.event_numbers(outcome.body)
            last_event_id = max([attempt.last_event_id, *received])
            if not last_event_id:
                return
            attempt = dataclasses.replace(
                attempt,
                request_id=f'{name}.{number}',
                last_event_id=last_event_id,
            )

    def _record_session(self, session: Session) -> None:
        if (
            self.sessions
            and self.sessions[-1].program_id == session.program_id
        ):
            self.sessions.pop()
        self.sessions.append(session)

    def _send_turn(
        self, program: str, previous: str
    ) -> tuple[attempts.Outcome, str]:
        attempt = self._make_attempt(
            attempts.Kind.TURN, 'said|', program, previous
        )
        gateway = self._random.randrange(len(self._deployment.gateways))
        path = attempts.Kind.TURN.path
        return self.exchange(gateway, attempt, path), attempt.request_id

    def _send(
        self,
        kind: attempts.Kind,
        body: str = '',
        program: str = '',
        previous: str = '',
    ) -> attempts.Outcome:
        attempt = self._make_attempt(kind, body, program, previous)
        gateway = self._random.randrange(len(self._deployment.gateways))
        return self.exchange(gateway, attempt, kind.path)

    def _make_attempt(
        self, kind: attempts.Kind, body: str, program: str, previous: str
    ) -> attempts.Attempt:
        name = f'c{self._number}.{next(self._numbers)}'
        return attempts.Attempt(name, kind, body, program, previous)

    def exchange(
        self, gateway: int, attempt: attempts.Attempt, path: str
    ) -> attempts.Outcome:
        """Send a request to a gateway and record its outcome."""
        self._checker.record_request(attempt)
        connection = self._connection(gateway)
        try:
            connection.request(
                'POST', path, attempt.body, self._headers(attempt)
            )
            outcome = _read(connection.getresponse())
        except (OSError, http.client.HTTPException):
            outcome = attempts.Outcome(None)
        if not outcome.is_complete:
            connection.close()
        self._checker.record_outcome(attempt, outcome)
        self._wait_before_next(outcome)
        return outcome

    def _wait_before_next(self, outcome: attempts.Outcome) -> None:
        if 'retry-after' in outcome.headers:
            retry_after_seconds = float(outcome.headers['retry-after'])
            time.sleep(min(retry_after_seconds, _MAX_RETRY_AFTER_SECONDS))
        elif outcome.status is None:
            time.sleep(_NO_RESPONSE_DELAY_SECONDS)

    def _connection(self, gateway: int) -> http.client.HTTPConnection:
        if gateway not in self._connections:
            self._connections[gateway] = http.client.HTTPConnection(
                self._deployment.address_for_callers(gateway),
                timeout=_RESPONSE_TIMEOUT_SECONDS,
            )
        return self._connections[gateway]

    def _headers(self, attempt: attempts.Attempt) -> dict[str, str]:
        headers = {
            'Host': hosted_routes.HOST,
            'Request-Id': attempt.request_id,
            'Deadline-Ms': str(_DEADLINE_MS),
        }
        if attempt.program_id:
            headers |= {
                'Program-Id': attempt.program_id,
                'Session-Id': attempt.program_id,
                'Token-Budget': str(self._budget_tokens),
                'Token-Usage': f'10,{promises.TURN_TOKENS}',
            }
        if attempt.previous_id:
            headers['Previous-Turn'] = attempt.previous_id
        if attempt.last_event_id:
            headers['Resumes'] = attempt.stream_id
            headers['Last-Event-Id'] = str(attempt.last_event_id)
        return headers


def _read(response: http.client.HTTPResponse) -> attempts.Outcome:
    headers = {name.lower(): text for name, text in response.getheaders()}
    body = bytearray()
    is_complete = True
    try:
        while part := response.read1(_READ_SIZE_BYTES):
            body += part
    except (OSError, http.client.HTTPException):
        is_complete = False
    # An open response blocks further requests on the connection.
    response.close()
    length = headers.get('content-length')
    if length is not None and len(body) != int(length):
        is_complete = False
    return attempts.Outcome(response.status, headers, bytes(body), is_complete)
