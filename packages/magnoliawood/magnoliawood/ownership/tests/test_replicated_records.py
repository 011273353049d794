import pytest

from magnoliawood.core import errors
from magnoliawood.ownership import replicated_records
from magnoliawood.programs import identity
from magnoliawood.programs import records


def ended(name):
    return records.Ended(identity.ProgramKey('red-clay', name), 'done')


def test_durable_records_are_removed():
    replicated = replicated_records.ReplicatedRecords()
    assert (
        replicated.replicate('log', 3, [ended('a'), ended('b')], durable=2)
        == 4
    )
    assert replicated.replicate('log', 5, [], durable=3) == 4
    assert replicated.seal('log') == [ended('b')]


def test_gap_after_a_restart_of_the_replica_is_reported():
    replicated = replicated_records.ReplicatedRecords()
    assert replicated.replicate('log', 5, [ended('a')], durable=2) == 2
    assert (
        replicated.replicate('log', 3, [ended('b'), ended('c')], durable=2)
        == 5
    )


def test_sealed_log_rejects_records_and_can_be_sealed_again():
    replicated = replicated_records.ReplicatedRecords()
    replicated.replicate('log', 1, [ended('a')], durable=0)
    assert replicated.seal('log') == replicated.seal('log') == [ended('a')]
    with pytest.raises(errors.MagnoliawoodError) as caught:
        replicated.replicate('log', 2, [ended('b')], durable=0)
    assert caught.value.code == errors.ErrorCode.STALE_EPOCH


def test_new_owner_releases_only_records_of_its_shards():
    replicated = replicated_records.ReplicatedRecords()
    first, second = ended('a'), ended('b')
    shards = [records.program_of(item).shard for item in (first, second)]
    assert shards[0] != shards[1]
    replicated.replicate('log', 1, [first, second], durable=0)
    replicated.seal('log')
    replicated.release('log', {shards[0]})
    assert replicated.seal('log') == [second]
