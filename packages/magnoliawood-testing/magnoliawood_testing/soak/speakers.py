"""Speakers that hold conversations or send first turns only."""

import dataclasses
import itertools
import random
import threading
import time

from magnoliawood_testing.soak import attempt as attempts
from magnoliawood_testing.soak import traffic

# Paths and the time in s for which their turns are retained.
PATH_RETENTIONS = {'/brief/': 3, '/medium/': 6, '/long/': 60}
_FIRST_TURN_SECONDS = 0.1
_TRY_SECONDS = 0.1
_MAX_FIRST_TRIES = 20
_CONVERSATION_SECONDS = (30.0, 60.0)
_PAUSE_SECONDS = (0.3, 2.0)
# Time before the end of its retention at which a turn is continued late.
_LATE_SECONDS = 0.7
_MAX_LATE_RETENTION_SECONDS = 10


@dataclasses.dataclass(frozen=True, slots=True)
class _Turn:
    """A turn that was answered whole, at a monotonic time in s."""

    turn_id: str
    answered_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Try:
    """One request for a turn, in monotonic time.

    :param line: names what was tried; tries of one turn have the same
    """

    line: str
    request_id: str
    gateway: int
    began_at: float
    ended_at: float
    outcome: attempts.Outcome
    is_first: bool


class Speaker:
    """Holds one conversation after the other.

    :param callers: two, for turns that name the same one at the same time
    :param gateways: number of gateways
    :param tries: list to which all tries are added
    """

    def __init__(
        self,
        seed: int,
        callers: tuple[traffic.Caller, traffic.Caller],
        name: str,
        gateways: int,
        tries: list[Try],
    ) -> None:
        self._random = random.Random(f'{seed}/{name}')
        self._callers = callers
        self._name = name
        self._gateways = gateways
        self._numbers = itertools.count()
        self._tries = tries
        self._paths = itertools.cycle(
            self._random.sample(list(PATH_RETENTIONS), len(PATH_RETENTIONS))
        )
        self.abandoned = 0

    def hold_conversations(self, stop: threading.Event) -> None:
        """Hold conversations until the event is set."""
        while not stop.is_set():
            program = f'{self._name}.{next(self._numbers)}'
            path = next(self._paths)
            previous = self._say(self._callers[0], program, path, None)
            until = time.monotonic() + self._random.uniform(
                *_CONVERSATION_SECONDS
            )
            while previous and not stop.is_set() and time.monotonic() < until:
                self._pause(path, previous)
                previous = self._continue(program, path, previous)
                self.abandoned += previous is None

    def send_first_turns(self, stop: threading.Event) -> None:
        """Send first turns until the event is set."""
        while not stop.wait(_FIRST_TURN_SECONDS):
            program = f'{self._name}.{next(self._numbers)}'
            path = self._random.choice(list(PATH_RETENTIONS))
            self._try(self._callers[0], program, program, path, '')

    def _pause(self, path: str, previous: _Turn) -> None:
        pause = self._random.uniform(*_PAUSE_SECONDS)
        is_late = self._random.random() < 0.2
        if is_late and PATH_RETENTIONS[path] < _MAX_LATE_RETENTION_SECONDS:
            pause = PATH_RETENTIONS[path] - _LATE_SECONDS
        passed = time.monotonic() - previous.answered_at
        time.sleep(max(0.0, pause - passed))

    def _continue(
        self, program: str, path: str, previous: _Turn
    ) -> _Turn | None:
        """Continue a turn, at times twice at once; return one result."""
        if self._random.random() < 0.8:
            return self._say(self._callers[0], program, path, previous)
        results: list[_Turn | None] = []
        thread = threading.Thread(
            target=lambda: results.append(
                self._say(self._callers[1], program, path, previous)
            )
        )
        thread.start()
        results.append(self._say(self._callers[0], program, path, previous))
        thread.join()
        return self._random.choice(results)

    def _say(
        self,
        caller: traffic.Caller,
        program: str,
        path: str,
        previous: _Turn | None,
    ) -> _Turn | None:
        """Send a turn until it is answered or can't be sent any more."""
        line = f'{self._name}.{next(self._numbers)}'
        for number in itertools.count():
            previous_id = previous.turn_id if previous else ''
            if previous is None and number == _MAX_FIRST_TRIES:
                return None
            if (
                previous is not None
                and time.monotonic()
                > previous.answered_at + PATH_RETENTIONS[path]
            ):
                return None
            tried = self._try(caller, line, program, path, previous_id)
            if tried.outcome.is_success:
                return _Turn(tried.request_id, tried.ended_at)
            time.sleep(_TRY_SECONDS)
        raise AssertionError('the loop ends by returning')

    def _try(
        self,
        caller: traffic.Caller,
        line: str,
        program: str,
        path: str,
        previous_id: str,
    ) -> Try:
        attempt = attempts.Attempt(
            f'{self._name}.{next(self._numbers)}',
            attempts.Kind.TURN,
            f'said{next(self._numbers)}|',
            program,
            previous_id,
        )
        gateway = self._random.randrange(self._gateways)
        began_at = time.monotonic()
        outcome = caller.exchange(gateway, attempt, f'{path}stream')
        tried = Try(
            line,
            attempt.request_id,
            gateway,
            began_at,
            time.monotonic(),
            outcome,
            not previous_id,
        )
        self._tries.append(tried)
        return tried
