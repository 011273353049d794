import json

import hypothesis
from hypothesis import strategies
import pytest

from magnoliawood.ownership import journal
from magnoliawood.programs import identity
from magnoliawood.programs import records


def ended(reason):
    return records.Ended(identity.ProgramKey('caller', 'program'), reason)


def test_batch_stays_the_same_until_confirmed():
    buffer = journal.JournalBuffer()
    buffer.append(ended('one'))
    first = list(buffer.next_batch())
    buffer.append(ended('two'))
    assert buffer.next_batch() == first
    buffer.confirm_batch()
    assert buffer.next_batch() == [ended('two')]


def test_batches_stay_within_the_size_limit():
    buffer = journal.JournalBuffer()
    for _ in range(4):
        buffer.append(ended('x' * 400_000))
    batches = []
    while buffer.backlog:
        batches.append(journal.encode_batch(buffer.next_batch()))
        buffer.confirm_batch()
    assert len(batches) == 2
    assert all(
        len(text) < journal.BATCH_LIMIT_BYTES + 1000 for text in batches
    )


@hypothesis.given(strategies.lists(strategies.text(max_size=20)))
def test_records_are_decoded_in_order(reasons):
    buffer = journal.JournalBuffer()
    for reason in reasons:
        buffer.append(ended(reason))
    decoded = []
    while buffer.backlog:
        decoded += journal.decode_batch(
            journal.encode_batch(buffer.next_batch())
        )
        buffer.confirm_batch()
    assert decoded == [ended(reason) for reason in reasons]


# Of a store's object, with what it holds beside the segment.
OBJECT_LIMIT_BYTES = 1_000_000
LONG_TEXTS = ['x' * 3_000_000, '"' * 700_000, '\U0001f600' * 400_000]


# Guards against a record that no store takes, behind which all others wait.
@pytest.mark.parametrize('text', LONG_TEXTS)
def test_segments_of_a_long_record_stay_within_the_limit(text):
    segments = journal.encode_segments([ended(text)])
    assert len(segments) > 1
    assert max(len(json.dumps(item)) for item in segments) < OBJECT_LIMIT_BYTES
    assert list(journal.decode_segments(segments)) == [ended(text)]


def test_long_records_stand_between_others():
    batches = [[ended('a')], [ended('x' * 2_000_000)], [ended('b')]]
    segments = [
        segment
        for batch in batches
        for segment in journal.encode_segments(batch)
    ]
    decoded = list(journal.decode_segments([*segments, journal.SEAL]))
    assert decoded == [record for batch in batches for record in batch]


@pytest.mark.parametrize('written', [1, 2])
def test_batch_that_was_not_completed_holds_no_records(written):
    parts = journal.encode_segments([ended('x' * 2_000_000)])
    assert len(parts) == 3
    segments = [
        *journal.encode_segments([ended('a')]),
        *parts[:written],
        journal.SEAL,
    ]
    assert list(journal.decode_segments(segments)) == [ended('a')]


def test_short_batches_are_stored_as_before():
    batch = [ended('one'), ended('two')]
    assert journal.encode_segments(batch) == [journal.encode_batch(batch)]
