"""Conversations that last much longer than their turns are retained.

Each turn is sent to any gateway, and again until it is answered or until the
turn that it continues is no longer retained. Beside them other callers send
first turns only: what these get tells whether service was possible at all.
"""

import argparse
import collections
import dataclasses
import itertools
import pathlib
import random
import sys
import threading
import time

from magnoliawood_testing.cluster import hosted
from magnoliawood_testing.soak import disturbances as disturbances_
from magnoliawood_testing.soak import promises
from magnoliawood_testing.soak import speakers as speakers_
from magnoliawood_testing.soak import traffic

_BUDGET_TOKENS = 10**6
# Without and with a disk that takes the place of one that is lost.
_KEEPERS = (3, 4)
_CONVERSATIONS = 6
_FIRST_TURN_CALLERS = 2
# Time for which the first configuration is taken to be in force everywhere.
_CONFIGURATION_SECONDS = 2.0
# Tries without a server, and share of first turns that reach one meanwhile,
# from which on a turn counts as lost.
_LOST_TRIES = 5
_SERVED_SHARE = 0.9
# Time after the final fault by which turns have to be served, and after that
# for what is in progress then.
_RECOVERY_SECONDS = 12.0
_SETTLE_SECONDS = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Result of one seed.

    :param statuses: number of tries of first turns and of later ones with
        each status
    :param unserved: turns that were not answered while they could be sent
    :param notes: failures that disturbances explain
    :param logs: folder with the logs if something failed
    """

    seed: int
    statuses: collections.Counter[tuple[str, int | None]]
    disturbances: dict[str, int]
    unserved: int
    problems: list[str]
    notes: list[str]
    logs: pathlib.Path | None


class Experiment:
    """Holds conversations through disturbances and checks all turns.

    :param seed: determines the disturbances and what is said when
    """

    def __init__(self, seed: int, seconds: float) -> None:
        self._seed = seed
        self._seconds = seconds
        self._checker = promises.GuaranteeChecker(_BUDGET_TOKENS)
        self._tries: list[speakers_.Try] = []
        self._recovered_at = 0.0

    def run(self) -> Report:
        """Run the experiment to its end and return the result."""
        with hosted.HostedDeployment(
            keepers=_KEEPERS[self._seed % len(_KEEPERS)],
            gateways=3,
            bounds={'grace_s': 8},
        ) as deployment:
            disturbances = disturbances_.Disturbances(
                self._seed, deployment, speakers_.PATH_RETENTIONS
            )
            disturbances.configure(random.Random(self._seed))
            time.sleep(_CONFIGURATION_SECONDS)
            speakers = self._run(deployment, disturbances)
            runs = deployment.journals.all_runs()
            self._checker.check_runs(runs)
            checks = TryChecks(
                disturbances,
                {run.request_id for run in runs},
                self._recovered_at,
            )
            checks.check(self._tries)
            problems = [
                *self._checker.problems,
                *disturbances.problems,
                *checks.problems,
            ]
            is_kept = problems or checks.notes
            logs = deployment.save_logs() if is_kept else None
        return Report(
            self._seed,
            collections.Counter(
                ('first' if tried.is_first else 'later', tried.outcome.status)
                for tried in self._tries
            ),
            disturbances_.describe(disturbances.history),
            sum(speaker.abandoned for speaker in speakers),
            problems,
            checks.notes,
            logs,
        )

    def _run(
        self,
        deployment: hosted.HostedDeployment,
        disturbances: disturbances_.Disturbances,
    ) -> list[speakers_.Speaker]:
        numbers = itertools.count()
        speakers = [
            speakers_.Speaker(
                self._seed,
                (
                    self._caller(next(numbers), deployment),
                    self._caller(next(numbers), deployment),
                ),
                f's{number}',
                len(deployment.gateways),
                self._tries,
            )
            for number in range(_CONVERSATIONS + _FIRST_TURN_CALLERS)
        ]
        stop = threading.Event()
        threads = [
            threading.Thread(
                target=(
                    speaker.hold_conversations
                    if number < _CONVERSATIONS
                    else speaker.send_first_turns
                ),
                args=(stop,),
            )
            for number, speaker in enumerate(speakers)
        ]
        for thread in threads:
            thread.start()
        disturbances.run(self._seconds)
        self._recovered_at = disturbances.strike_finally() + _RECOVERY_SECONDS
        time.sleep(_RECOVERY_SECONDS + _SETTLE_SECONDS)
        stop.set()
        for thread in threads:
            thread.join()
        return speakers

    def _caller(
        self, number: int, deployment: hosted.HostedDeployment
    ) -> traffic.Caller:
        return traffic.Caller(
            number, self._seed, deployment, self._checker, _BUDGET_TOKENS
        )


class TryChecks:
    """Checks all tries of a run for turns that were lost.

    :param ran_ids: requests that a server ran
    :param recovered_at: monotonic time by which all turns are served again
    """

    def __init__(
        self,
        disturbances: disturbances_.Disturbances,
        ran_ids: set[str],
        recovered_at: float,
    ) -> None:
        self._disturbances = disturbances
        self._ran_ids = ran_ids
        self._recovered_at = recovered_at
        self.problems: list[str] = []
        self.notes: list[str] = []

    def check(self, tries: list[speakers_.Try]) -> None:
        """Check tries; problems and notes are listed."""
        in_touch = [
            tried
            for tried in tries
            if self._disturbances.is_in_touch(
                f'gateway-{tried.gateway}', tried.ended_at
            )
        ]
        lines: dict[str, list[speakers_.Try]] = collections.defaultdict(list)
        for tried in in_touch:
            lines[tried.line].append(tried)
        first_turns = [tried for tried in in_touch if tried.is_first]
        self._note_unanswered(tries)
        for line in lines.values():
            if not line[0].is_first:
                self._check_line(line, first_turns)
        for tried in tries:
            if tried.request_id in self._ran_ids:
                self._check_answer(tried)

    def _note_unanswered(self, tries: list[speakers_.Try]) -> None:
        """Note each turn that was not answered while it could be sent."""
        lines: dict[str, list[speakers_.Try]] = collections.defaultdict(list)
        for tried in tries:
            lines[tried.line].append(tried)
        for line in lines.values():
            if not line[0].is_first and not line[-1].outcome.is_success:
                seen = [
                    f'{tried.request_id} gateway-{tried.gateway} '
                    f'{tried.outcome.status}'
                    for tried in line
                ]
                self.notes.append(f'not answered: {", ".join(seen)}')

    def _check_line(
        self,
        line: list[speakers_.Try],
        first_turns: list[speakers_.Try],
    ) -> None:
        """Check a turn for tries that reached no server."""
        missed = list(
            itertools.takewhile(
                lambda tried: tried.request_id not in self._ran_ids, line
            )
        )
        is_unserved = len(missed) == len(line)
        if is_unserved and missed[-1].began_at > self._recovered_at:
            self.problems.append(
                f'{missed[-1].request_id}: status '
                f'{missed[-1].outcome.status} after the final fault'
            )
        if len(missed) < _LOST_TRIES:
            return
        began_at, ended_at = missed[0].began_at, missed[-1].ended_at
        beside = [
            tried.request_id in self._ran_ids
            for tried in first_turns
            if began_at <= tried.began_at <= ended_at
        ]
        if len(beside) >= _LOST_TRIES and (
            sum(beside) >= _SERVED_SHARE * len(beside)
        ):
            statuses = [tried.outcome.status for tried in missed]
            self.problems.append(
                f'{missed[0].request_id} to {missed[-1].request_id}: '
                f'{statuses} in {ended_at - began_at:.1f} s while '
                f'{sum(beside)} of {len(beside)} first turns were served; '
                f'{_unplanned(self._disturbances, began_at, ended_at)}'
            )

    def _check_answer(self, tried: speakers_.Try) -> None:
        """Check that a turn that ran was answered whole."""
        if tried.outcome.is_complete:
            return
        unplanned = _unplanned(
            self._disturbances, tried.began_at, tried.ended_at
        )
        seen = (
            f'{tried.request_id}: ran at gateway-{tried.gateway}, status '
            f'{tried.outcome.status}, no whole answer'
        )
        if unplanned:
            self.notes.append(f'{seen}; {unplanned}')
        else:
            self.problems.append(seen)


def _unplanned(
    disturbances: disturbances_.Disturbances, began_at: float, ended_at: float
) -> list[str]:
    """Return what else was done up to the time of contact before a span."""
    return [
        f'{item.target} {item.kind}'
        for item in disturbances.overlapping(
            began_at - disturbances_.CONTACT_SECONDS, ended_at
        )
        if not item.is_planned
    ]


def print_report(report: Report) -> None:
    """Print what was done and seen in one seed."""
    print(f'seed {report.seed}: {report.disturbances}')
    print(f'  {dict(report.statuses)}, {report.unserved} unserved')
    for problem in report.problems:
        print(f'  BROKEN {problem}')
    for note in report.notes:
        print(f'  note {note}')
    print(f'  logs in {report.logs}', flush=True)


def main() -> None:
    """Run the seeds; exit with 1 if a guarantee was violated."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, nargs='+', required=True)
    parser.add_argument('--seconds', type=float, default=45.0)
    options = parser.parse_args()
    has_problems = False
    for seed in options.seeds:
        report = Experiment(seed, options.seconds).run()
        print_report(report)
        has_problems |= bool(report.problems)
    sys.exit(int(has_problems))


if __name__ == '__main__':
    main()
