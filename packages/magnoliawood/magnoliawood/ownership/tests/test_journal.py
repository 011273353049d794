import hypothesis
from hypothesis import strategies

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
