import pytest

from magnoliawood.core import errors
from magnoliawood.ownership import held_records
from magnoliawood.programs import identity
from magnoliawood.programs import records


def ended(name):
    return records.Ended(identity.ProgramKey('red-clay', name), 'done')


def test_records_that_the_store_has_are_dropped():
    held = held_records.HeldRecords()
    assert held.hold('log', 3, [ended('a'), ended('b')], durable=2) == 4
    assert held.hold('log', 5, [], durable=3) == 4
    assert held.seal('log') == [ended('b')]


def test_gap_after_a_restart_of_the_holder_shows():
    held = held_records.HeldRecords()
    assert held.hold('log', 5, [ended('a')], durable=2) == 2
    assert held.hold('log', 3, [ended('b'), ended('c')], durable=2) == 5


def test_sealed_log_takes_nothing_and_is_read_again():
    held = held_records.HeldRecords()
    held.hold('log', 1, [ended('a')], durable=0)
    assert held.seal('log') == held.seal('log') == [ended('a')]
    with pytest.raises(errors.MagnoliawoodError) as caught:
        held.hold('log', 2, [ended('b')], durable=0)
    assert caught.value.code == errors.ErrorCode.STALE_EPOCH


def test_one_new_owner_releases_only_its_shards():
    held = held_records.HeldRecords()
    first, second = ended('a'), ended('b')
    shards = [records.program_of(item).shard for item in (first, second)]
    assert shards[0] != shards[1]
    held.hold('log', 1, [first, second], durable=0)
    held.seal('log')
    held.release('log', {shards[0]})
    assert held.seal('log') == [second]
