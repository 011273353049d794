"""Checks on opening a program and the form in which it is shown."""

from magnoliawood.config import work_class as work_classes
from magnoliawood.core import errors
from magnoliawood.programs import program as programs
from magnoliawood_server.peer import messages


def status_of(program: programs.Program) -> messages.ProgramStatus:
    """Return the status of a program."""
    ledger = program.ledger
    pending = program.pending
    return messages.ProgramStatus(
        program.key,
        program.work_class,
        'ended' if program.is_ended else 'open',
        program.end_reason,
        program.opened.opened_at,
        ledger.budget,
        ledger.tokens_spent,
        ledger.tokens_left,
        ledger.calls_made,
        ledger.calls_left,
        program.next_sequence,
        0 if pending is None else pending.id.sequence,
    )


def check_same_program(
    program: programs.Program, message: messages.OpenProgram
) -> None:
    """Check that a repeat opens the program as it was opened.

    :raises MagnoliawoodError: with ``program_mismatch``
    """
    known = program.opened
    if (known.work_class, known.budget) != (
        message.work_class,
        message.budget,
    ):
        raise errors.MagnoliawoodError(
            errors.ErrorCode.PROGRAM_MISMATCH,
            f'program {program.key.name} was opened with another class '
            'or budget',
        )


def check_class_limits(
    work_class: work_classes.WorkClass, message: messages.OpenProgram
) -> None:
    """Check a budget against the limits of its class.

    :raises MagnoliawoodError: with ``class_limit``
    """
    budget = message.budget
    limits = {
        'tokens': (budget.tokens, work_class.max_tokens),
        'calls': (budget.calls, work_class.max_calls),
        'seconds': (budget.seconds, work_class.max_seconds),
    }
    for name, (asked, limit) in limits.items():
        if asked > limit:
            raise errors.MagnoliawoodError(
                errors.ErrorCode.CLASS_LIMIT,
                f'a budget of {asked:g} {name} exceeds the limit of '
                f'{limit:g} of class {work_class.name}',
            )
