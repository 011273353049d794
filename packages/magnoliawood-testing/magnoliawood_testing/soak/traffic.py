"""Callers that keep sending while faults come and go."""

import dataclasses
import http.client
import itertools
import random
import threading
import time

from magnoliawood_testing.cluster import hosted
from magnoliawood_testing.soak import attempt as attempts
from magnoliawood_testing.soak import promises

# Longer than any request may take, so that its end is seen.
_PATIENCE_SECONDS = 8.0
_DEADLINE_MS = 4000
_PAUSE_SECONDS = 0.02
_BUDGET_SPENT = 402
_TURNS_OF_A_PROGRAM = 7
_TRIES_OF_A_TURN = 3
_MOST_PROMISED_WAIT_SECONDS = 1.0
# Pause of a caller whose request met no gateway.
_NO_ANSWER_PAUSE_SECONDS = 0.1
_READ_SIZE_BYTES = 64 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Session:
    """A line of turns and the last one that was answered whole."""

    program_id: str
    last_turn_id: str


class Caller:
    """Sends one request after the other, on kept connections.

    :param number: part of all its ids
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
        self._names = itertools.count()
        self._connections: dict[int, http.client.HTTPConnection] = {}
        self.sessions: list[Session] = []

    def run(self, stop: threading.Event) -> None:
        """Send until told to stop."""
        while not stop.is_set():
            kind = self._random.choice(tuple(attempts.Kind))
            if kind is attempts.Kind.TURN:
                self._run_program(stop)
            else:
                self._send(kind, body=self._random.choice(('', 'x', 'y' * 99)))
            time.sleep(_PAUSE_SECONDS)
        for connection in self._connections.values():
            connection.close()

    def continue_session(self, session: Session) -> bool:
        """Send one more turn of a line.

        :returns: whether it was served, or its budget is spent
        """
        outcome = self._send(
            attempts.Kind.TURN,
            'again|',
            session.program_id,
            session.last_turn_id,
        )
        return outcome.is_success or outcome.status == _BUDGET_SPENT

    def call(self, gateway: int, path: str) -> attempts.Outcome:
        """Send one request for a page to a gateway."""
        attempt = self._attempt(attempts.Kind.PAGE, '', '', '')
        return self._exchange(gateway, attempt, path)

    def _run_program(self, stop: threading.Event) -> None:
        program = f'p{self._number}.{next(self._names)}'
        previous = ''
        for _ in range(_TURNS_OF_A_PROGRAM):
            outcome = None
            for _ in range(_TRIES_OF_A_TURN):
                if stop.is_set():
                    return
                outcome, turn_id = self._send_turn(program, previous)
                if outcome.is_success or outcome.status == _BUDGET_SPENT:
                    break
            if outcome is None or not outcome.is_success:
                return
            previous = turn_id
            self._record_session(Session(program, turn_id))

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
        attempt = self._attempt(attempts.Kind.TURN, 'said|', program, previous)
        gateway = self._random.randrange(len(self._deployment.gateways))
        path = attempts.Kind.TURN.path
        return self._exchange(gateway, attempt, path), attempt.request_id

    def _send(
        self,
        kind: attempts.Kind,
        body: str = '',
        program: str = '',
        previous: str = '',
    ) -> attempts.Outcome:
        attempt = self._attempt(kind, body, program, previous)
        gateway = self._random.randrange(len(self._deployment.gateways))
        return self._exchange(gateway, attempt, kind.path)

    def _attempt(
        self, kind: attempts.Kind, body: str, program: str, previous: str
    ) -> attempts.Attempt:
        name = f'c{self._number}.{next(self._names)}'
        return attempts.Attempt(name, kind, body, program, previous)

    def _exchange(
        self, gateway: int, attempt: attempts.Attempt, path: str
    ) -> attempts.Outcome:
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
        self._wait_as_told(outcome)
        return outcome

    def _wait_as_told(self, outcome: attempts.Outcome) -> None:
        if 'retry-after' in outcome.headers:
            told = float(outcome.headers['retry-after'])
            time.sleep(min(told, _MOST_PROMISED_WAIT_SECONDS))
        elif outcome.status is None:
            time.sleep(_NO_ANSWER_PAUSE_SECONDS)

    def _connection(self, gateway: int) -> http.client.HTTPConnection:
        if gateway not in self._connections:
            self._connections[gateway] = http.client.HTTPConnection(
                self._deployment.address_for_callers(gateway),
                timeout=_PATIENCE_SECONDS,
            )
        return self._connections[gateway]

    def _headers(self, attempt: attempts.Attempt) -> dict[str, str]:
        headers = {
            'Host': hosted.HOST,
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
    # Without this the connection takes no further request.
    response.close()
    length = headers.get('content-length')
    if length is not None and len(body) != int(length):
        is_complete = False
    return attempts.Outcome(response.status, headers, bytes(body), is_complete)
