"""Journal records from which a program can be rebuilt."""

import dataclasses
import datetime

from magnoliawood.programs import budget as budgets
from magnoliawood.programs import call as calls
from magnoliawood.programs import identity


@dataclasses.dataclass(frozen=True, slots=True)
class Opened:
    """A program was opened."""

    program: identity.ProgramKey
    work_class: str
    budget: budgets.Budget
    opened_at: datetime.datetime


@dataclasses.dataclass(frozen=True, slots=True)
class Intended:
    """A call is about to be sent to the named upstream.

    :param attempt: number of the order, from 1; rises over withdrawals too
    :param wasted: tokens that lost orders of the call may have spent
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

    :param attempt: number of the order that ended so; 0 stands for any
    :param digest: hash chain over the history up to here, empty if the
        writer did not know it
    """

    call: identity.CallId
    outcome: calls.CallOutcome
    attempt: int = 0
    digest: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Withdrawn:
    """A call certainly did not run and is taken back.

    :param attempt: number of its last order; 0 stands for any
    """

    call: identity.CallId
    attempt: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Ended:
    """A program was ended."""

    program: identity.ProgramKey
    reason: str


Record = Opened | Intended | Settled | Withdrawn | Ended


def program_of(record: Record) -> identity.ProgramKey:
    """Return the program that a record belongs to."""
    if isinstance(record, Opened | Ended):
        return record.program
    return record.call.program
