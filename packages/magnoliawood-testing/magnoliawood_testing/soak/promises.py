"""Checks the guarantees against what callers and upstreams observed."""

import collections
import collections.abc
import re
import threading

from magnoliawood_testing.cluster import hosted
from magnoliawood_testing.cluster import run_journals
from magnoliawood_testing.soak import attempt as attempts
from magnoliawood_testing.standins import signed_upstream

TOKENS_PER_EVENT = 16
TURN_TOKENS = signed_upstream.EVENTS * TOKENS_PER_EVENT
# Maximum number of upstreams that one request may reach; set by the routes.
MAX_ATTEMPTS = 2
# Statuses that state that the request did not run and never will.
_NOT_RUN_STATUSES = (402, 404, 408, 421, 429, 503)
# Statuses that state that the previous turn does not exist.
_UNKNOWN_TURN_STATUSES = (404, 410)
_EVENT = re.compile(rb'id: (\d+)\n(?:event: (\w+)\n)?data: word(\d+)\n\n')
_EVENT_NUMBERS = range(1, signed_upstream.EVENTS + 1)


def event_numbers(body: bytes) -> list[int]:
    """Return the numbers of the complete events in a part of a stream."""
    return [int(number) for number, _, _ in _EVENT.findall(body)]


class GuaranteeChecker:
    """Records requests and outcomes, and collects violated guarantees.

    :param budget_tokens: token budget of each program
    """

    def __init__(self, budget_tokens: int) -> None:
        self._budget_tokens = budget_tokens
        self._lock = threading.Lock()
        self._requests: dict[str, attempts.Attempt] = {}
        self._outcomes: dict[str, attempts.Outcome] = {}
        self._delivered_tokens: collections.Counter[str] = (
            collections.Counter()
        )
        self._histories: dict[str, str] = {'': ''}
        self._stream_versions: dict[str, set[bytes]] = collections.defaultdict(
            set
        )
        self.problems: list[str] = []

    @property
    def outcomes(self) -> list[attempts.Outcome]:
        """Outcomes that have been recorded so far."""
        return list(self._outcomes.values())

    def record_request(self, attempt: attempts.Attempt) -> None:
        """Record a request; called before it is sent."""
        with self._lock:
            self._requests[attempt.request_id] = attempt

    def record_outcome(
        self, attempt: attempts.Attempt, outcome: attempts.Outcome
    ) -> None:
        """Record and check the outcome that a caller observed."""
        with self._lock:
            self._outcomes[attempt.request_id] = outcome
            self._check_response(attempt, outcome)
            if attempt.kind is attempts.Kind.TURN:
                self._check_turn(attempt, outcome)
            if attempt.kind is attempts.Kind.STREAM:
                self._check_stream(attempt, outcome)

    def record_problem(self, problem: str) -> None:
        """Record a violated guarantee that another component detected."""
        with self._lock:
            self.problems.append(problem)

    def check_runs(
        self, runs: collections.abc.Iterable[run_journals.Run]
    ) -> None:
        """Check the requests that all upstreams have run."""
        runs = list(runs)
        counts = collections.Counter(run.request_id for run in runs)
        with self._lock:
            for run in runs:
                self._check_run(run)
            for request_id, count in counts.items():
                self._check_count(request_id, count)

    def _check_response(
        self, attempt: attempts.Attempt, outcome: attempts.Outcome
    ) -> None:
        if not outcome.is_success:
            return
        echoed = outcome.headers.get('request-id')
        signature = outcome.headers.get('server-stamp', '')
        if echoed != attempt.request_id:
            self._add_problem(attempt, f'response to request {echoed}')
        if not signature.endswith(f'.{attempt.request_id}'):
            self._add_problem(attempt, f'signed {signature!r}')
        if not _is_expected(attempt, outcome.body):
            self._add_problem(attempt, f'answered {outcome.body!r}')

    def _check_stream(
        self, attempt: attempts.Attempt, outcome: attempts.Outcome
    ) -> None:
        """Check one part of a stream, complete or not."""
        numbers = event_numbers(outcome.body)
        first = attempt.last_event_id + 1
        if numbers != list(range(first, first + len(numbers))):
            self._add_problem(attempt, f'events {numbers} after {first - 1}')
        if not _has_own_data(outcome.body):
            self._add_problem(attempt, f'got data of others {outcome.body!r}')
        versions = self._stream_versions[attempt.stream_id]
        versions |= {version for _, version, _ in _EVENT.findall(outcome.body)}
        if len(versions) > 1:
            self._add_problem(
                attempt, f'stream {attempt.stream_id} has {sorted(versions)}'
            )

    def _check_turn(
        self, attempt: attempts.Attempt, outcome: attempts.Outcome
    ) -> None:
        program = attempt.program_id
        events = _EVENT.findall(outcome.body)
        self._delivered_tokens[program] += len(events) * TOKENS_PER_EVENT
        if self._delivered_tokens[program] > self._budget_tokens + TURN_TOKENS:
            self._add_problem(
                attempt, f'{self._delivered_tokens[program]} tokens delivered'
            )
        if outcome.is_success:
            reply = ''.join(f'word{word.decode()}\n' for _, _, word in events)
            previous_history = self._histories[attempt.previous_id]
            self._histories[attempt.request_id] = (
                previous_history + attempt.body + reply
            )
        if outcome.status in _UNKNOWN_TURN_STATUSES:
            self._add_problem(
                attempt, f'unknown previous turn {attempt.previous_id}'
            )

    def _check_run(self, run: run_journals.Run) -> None:
        attempt = self._requests.get(run.request_id)
        if attempt is None:
            if not run.request_id.startswith(hosted.PROBE_ID_PREFIX):
                self.problems.append(
                    f'request {run.request_id} ran but was never sent'
                )
            return
        expected = attempt.body
        if attempt.kind is attempts.Kind.TURN:
            expected = self._histories[attempt.previous_id] + attempt.body
        if run.body != expected:
            self._add_problem(attempt, f'ran with body {run.body!r}')

    def _check_count(self, request_id: str, count: int) -> None:
        attempt = self._requests.get(request_id)
        if attempt is None:
            return
        allowed = MAX_ATTEMPTS if attempt.kind.is_idempotent else 1
        if count > allowed:
            self._add_problem(attempt, f'ran {count} times')
        outcome = self._outcomes.get(request_id)
        if outcome is None or attempt.kind.is_idempotent:
            return
        if outcome.status in _NOT_RUN_STATUSES:
            self._add_problem(
                attempt, f'ran although its status was {outcome.status}'
            )

    def _add_problem(self, attempt: attempts.Attempt, problem: str) -> None:
        self.problems.append(f'{attempt.kind} {attempt.request_id}: {problem}')


def _is_expected(attempt: attempts.Attempt, body: bytes) -> bool:
    """Return whether a body is what upstreams answer to a request."""
    if attempt.kind in (attempts.Kind.PAGE, attempts.Kind.BOOKING):
        return body == b'done'
    numbers = list(_EVENT_NUMBERS[attempt.last_event_id :])
    is_whole = event_numbers(body) == numbers and not _EVENT.sub(b'', body)
    return is_whole and _has_own_data(body)


def _has_own_data(body: bytes) -> bool:
    """Return whether the data of each event is that of its number."""
    return all(number == word for number, _, word in _EVENT.findall(body))
