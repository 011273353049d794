"""Evaluation of the records that a new owner collects in a takeover."""

from magnoliawood.core import verdict as verdicts
from magnoliawood.ownership import witness as witnesses
from magnoliawood.programs import call as calls
from magnoliawood.programs import records


def journal_records_from_witnesses(
    witness_records: list[witnesses.WitnessRecord],
) -> list[records.Record]:
    """Return the journal records of witness records, ready to be applied.

    Explanation
    ===========

    A witness record is a sidecar's replica of a call, kept until the journal
    has the call durably. Parents come before sub-agents, calls are ordered
    by sequence number and attempts by attempt number. An outcome after which
    the call may be sent again is omitted; the call then stays pending and
    the new owner requests its state from the sidecar.
    """
    ordered = sorted(witness_records, key=_sort_key)
    result: list[records.Record] = [
        record.opened
        for record in sorted(
            ordered, key=lambda item: item.opened.program.name
        )
    ]
    for record in ordered:
        result.append(record.intended)
        outcome = _final_outcome(record)
        if outcome is not None:
            result.append(
                records.Settled(record.call, outcome, record.intended.attempt)
            )
    return result


def may_retry(request: calls.Request, outcome: calls.CallOutcome) -> bool:
    """Whether a call may be sent again after an outcome.

    Examples
    ========

    >>> booking = calls.ServiceRequest('pours', 'book', '{}', False)
    >>> lost = calls.CallOutcome(
    ...     verdicts.Verdict.MAY_HAVE_RUN, code='outcome_unknown'
    ... )
    >>> may_retry(booking, lost)
    False
    """
    if outcome.is_success:
        return False
    return outcome.verdict.is_safe_to_repeat or request.is_idempotent


def _sort_key(record: witnesses.WitnessRecord) -> tuple[str, int, int]:
    call = record.call
    return (call.program.name, call.sequence, record.intended.attempt)


def _final_outcome(
    record: witnesses.WitnessRecord,
) -> calls.CallOutcome | None:
    outcome = record.outcome
    if outcome is None or outcome.verdict is verdicts.Verdict.NOT_RUN:
        return None
    if may_retry(record.intended.request, outcome):
        return None
    return outcome
