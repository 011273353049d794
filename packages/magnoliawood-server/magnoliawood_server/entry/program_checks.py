"""Checks when a program is opened, and the status sent to peers."""

from magnoliawood.config import work_class as work_classes
from magnoliawood.core import errors
from magnoliawood.programs import footprint
from magnoliawood.programs import program as programs
from magnoliawood_server.peer import messages


def status_of(
    program: programs.Program, sequence: int = 0
) -> messages.ProgramStatus:
    """Return the message that describes the status of a program.

    :param sequence: call whose response's memory is stated; 0 for that of
        all of the program
    """
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
        _response_bytes(program, sequence) if sequence else program.held_bytes,
    )


def _response_bytes(program: programs.Program, sequence: int) -> int:
    """Return the memory of a call's response as far as it is known.

    :raises MagnoliawoodError: with ``unknown_call``
    """
    outcome = program.call(sequence).outcome
    return 0 if outcome is None else footprint.of_outcome(outcome)


def check_same_program(
    program: programs.Program, message: messages.OpenProgram
) -> None:
    """Check that a repeated request has the class and budget of the program.

    :raises MagnoliawoodError: with ``program_mismatch``
    """
    existing = program.opened
    if (existing.work_class, existing.budget) != (
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
    """Check a requested budget against the limits of its work class.

    :raises MagnoliawoodError: with ``class_limit``
    """
    budget = message.budget
    limits = {
        'tokens': (budget.tokens, work_class.max_tokens),
        'calls': (budget.calls, work_class.max_calls),
        'seconds': (budget.seconds, work_class.max_seconds),
    }
    for name, (requested, limit) in limits.items():
        if requested > limit:
            raise errors.MagnoliawoodError(
                errors.ErrorCode.CLASS_LIMIT,
                f'a budget of {requested:g} {name} exceeds the limit of '
                f'{limit:g} of class {work_class.name}',
            )
