"""Judges what callers and upstreams saw against the promises."""

import collections
import collections.abc
import re
import threading

from magnoliawood_testing.cluster import hosted
from magnoliawood_testing.soak import attempt as attempts
from magnoliawood_testing.standins import signed_upstream

TOKENS_PER_EVENT = 16
TURN_TOKENS = signed_upstream.EVENTS * TOKENS_PER_EVENT
# Upstreams that one request may reach, as the routes say.
MAX_ATTEMPTS = 2
# These say that the request has not run and never will.
_NOT_RUN = (402, 404, 408, 421, 429, 503)
# These say that a turn does not exist.
_NO_SUCH_TURN = (404, 410)
_EVENT = re.compile(rb'id: (\d+)\ndata: word(\d+)\n\n')


class GuaranteeChecker:
    """Collects what was seen, and each broken promise.

    :param budget_tokens: budget of each program
    """

    def __init__(self, budget_tokens: int) -> None:
        self._budget_tokens = budget_tokens
        self._lock = threading.Lock()
        self._sent: dict[str, attempts.Attempt] = {}
        self._outcomes: dict[str, attempts.Outcome] = {}
        self._tokens: collections.Counter[str] = collections.Counter()
        self._histories: dict[str, str] = {'': ''}
        self.problems: list[str] = []

    @property
    def outcomes(self) -> list[attempts.Outcome]:
        """What came back so far."""
        return list(self._outcomes.values())

    def record_request(self, attempt: attempts.Attempt) -> None:
        """Note a request before it is sent."""
        with self._lock:
            self._sent[attempt.request_id] = attempt

    def record_outcome(
        self, attempt: attempts.Attempt, outcome: attempts.Outcome
    ) -> None:
        """Judge what a caller saw."""
        with self._lock:
            self._outcomes[attempt.request_id] = outcome
            self._check_answer(attempt, outcome)
            if attempt.kind is attempts.Kind.TURN:
                self._check_turn(attempt, outcome)

    def record_problem(self, problem: str) -> None:
        """Note a broken promise that was found elsewhere."""
        with self._lock:
            self.problems.append(problem)

    def check_runs(self, runs: collections.abc.Iterable[hosted.Run]) -> None:
        """Judge what all upstreams ran."""
        runs = list(runs)
        counts = collections.Counter(run.request_id for run in runs)
        with self._lock:
            for run in runs:
                self._check_run(run)
            for request_id, count in counts.items():
                self._check_count(request_id, count)

    def _check_answer(
        self, attempt: attempts.Attempt, outcome: attempts.Outcome
    ) -> None:
        if not outcome.is_success:
            return
        echoed = outcome.headers.get('request-id')
        signature = outcome.headers.get('server-stamp', '')
        if echoed != attempt.request_id:
            self._add(attempt, f'answer of {echoed}')
        if not signature.endswith(f'.{attempt.request_id}'):
            self._add(attempt, f'signed {signature!r}')
        if outcome.body != _whole_body(attempt.kind):
            self._add(attempt, f'answered {outcome.body!r}')

    def _check_turn(
        self, attempt: attempts.Attempt, outcome: attempts.Outcome
    ) -> None:
        program = attempt.program_id
        events = _EVENT.findall(outcome.body)
        self._tokens[program] += len(events) * TOKENS_PER_EVENT
        if self._tokens[program] > self._budget_tokens + TURN_TOKENS:
            self._add(attempt, f'{self._tokens[program]} tokens handed out')
        if outcome.is_success:
            said = ''.join(f'word{word.decode()}\n' for _, word in events)
            before = self._histories[attempt.previous_id]
            self._histories[attempt.request_id] = before + attempt.body + said
        if outcome.status in _NO_SUCH_TURN:
            self._add(attempt, f'no turn {attempt.previous_id}')

    def _check_run(self, run: hosted.Run) -> None:
        attempt = self._sent.get(run.request_id)
        if attempt is None:
            if not run.request_id.startswith(hosted.PROBE):
                self.problems.append(f'{run.request_id} was never sent')
            return
        expected = attempt.body
        if attempt.kind is attempts.Kind.TURN:
            expected = self._histories[attempt.previous_id] + attempt.body
        if run.body != expected:
            self._add(attempt, f'ran with {run.body!r}')

    def _check_count(self, request_id: str, count: int) -> None:
        attempt = self._sent.get(request_id)
        if attempt is None:
            return
        allowed = MAX_ATTEMPTS if attempt.kind.is_idempotent else 1
        if count > allowed:
            self._add(attempt, f'ran {count} times')
        outcome = self._outcomes.get(request_id)
        if outcome is None or attempt.kind.is_idempotent:
            return
        if outcome.status in _NOT_RUN:
            self._add(attempt, f'ran in spite of {outcome.status}')

    def _add(self, attempt: attempts.Attempt, problem: str) -> None:
        self.problems.append(f'{attempt.kind} {attempt.request_id}: {problem}')


def _whole_body(kind: attempts.Kind) -> bytes:
    if kind in (attempts.Kind.PAGE, attempts.Kind.BOOKING):
        return b'done'
    return b''.join(
        signed_upstream.event_bytes(number)
        for number in range(1, signed_upstream.EVENTS + 1)
    )
