"""Journal records from which a program can be rebuilt."""

import dataclasses
import datetime

from magnoliawood.programs import budget as budgets
from magnoliawood.programs import call as calls
from magnoliawood.programs import identity


@dataclasses.dataclass(frozen=True, slots=True)
class Opened:
    """A program was opened with a work class and a budget."""

    program: identity.ProgramKey
    work_class: str
    budget: budgets.Budget
    opened_at: datetime.datetime


@dataclasses.dataclass(frozen=True, slots=True)
class Intended:
    """An attempt of a call is about to be sent to an upstream.

    :param key: idempotency key that the caller chose
    :param reserved: tokens reserved for the attempt
    :param upstream: upstream that will receive the attempt
    :param attempt: number of the attempt, from 1; continues to increase when
        a call is withdrawn and its sequence number is used again
    :param wasted: tokens that lost attempts of the call may have generated
    """

    call: identity.CallId
    key: str
    request: calls.ModelRequest | calls.ServiceRequest
    reserved: int
    upstream: str
    upstream_incarnation: str
    attempt: int = 1
    wasted: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Settled:
    """A call has an outcome.

    :param attempt: number of the attempt with this outcome; 0 matches any
    :param digest: hash chain over the history including this call, empty if
        the writer did not know it
    """

    call: identity.CallId
    outcome: calls.CallOutcome
    attempt: int = 0
    digest: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Withdrawn:
    """A call is removed because it certainly did not run.

    :param attempt: number of its last attempt; 0 matches any
    """

    call: identity.CallId
    attempt: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Ended:
    """A program has ended and accepts no more calls."""

    program: identity.ProgramKey
    reason: str


Record = Opened | Intended | Settled | Withdrawn | Ended


def program_of(record: Record) -> identity.ProgramKey:
    """Return the program that a record belongs to."""
    if isinstance(record, Opened | Ended):
        return record.program
    return record.call.program
