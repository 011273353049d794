"""Cost of the state that an entry keeps in memory and in its journal."""

import datetime

from magnoliawood.config import account as accounts
from magnoliawood.config import configuration as configurations
from magnoliawood.config import work_class as work_classes
from magnoliawood.core import verdict as verdicts
from magnoliawood.ownership import journal
from magnoliawood.ownership import shard_map as shard_maps
from magnoliawood.platform import store
from magnoliawood.programs import budget as budgets
from magnoliawood.programs import call as calls
from magnoliawood.programs import identity
from magnoliawood.programs import message as conversation
from magnoliawood.programs import records
from magnoliawood.programs import table as tables
from magnoliawood_testing.capacity import slope as slopes

_PROGRAMS = 500
_TURNS = 10
_ACCOUNTS = 2_000
_RESPONSE_CHARACTERS = 200
_LONG_RESPONSE_CHARACTERS = 2_200
_OPENED_AT = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)


def measure() -> list[slopes.Slope]:
    """Return the slopes of programs, journal, configuration, shard map."""
    return [
        *_program_slopes(),
        *_journal_slopes(),
        *_configuration_slopes(),
        *_map_slopes(),
    ]


def _program_slopes() -> list[slopes.Slope]:
    empty = slopes.bytes_of(lambda: _table(_PROGRAMS, 0, 0))
    turns = slopes.bytes_of(
        lambda: _table(_PROGRAMS, _TURNS, _RESPONSE_CHARACTERS)
    )
    long_turns = slopes.bytes_of(
        lambda: _table(_PROGRAMS, _TURNS, _LONG_RESPONSE_CHARACTERS)
    )
    characters = _LONG_RESPONSE_CHARACTERS - _RESPONSE_CHARACTERS
    bytes_per_turn = (turns - empty) / _PROGRAMS / _TURNS
    bytes_per_character = (
        (long_turns - turns) / _PROGRAMS / _TURNS / characters
    )
    return [
        slopes.Slope('program', empty / _PROGRAMS, 'B/program'),
        slopes.Slope('turn', bytes_per_turn, 'B/turn of 200 characters'),
        slopes.Slope('history', bytes_per_character, 'B/character'),
    ]


def _journal_slopes() -> list[slopes.Slope]:
    batch = _records(0, _TURNS, _RESPONSE_CHARACTERS)
    text = journal.encode_batch(batch)
    encode = slopes.seconds_for_each(
        lambda: _append_and_encode(batch), repeats=100
    )
    decode = slopes.seconds_for_each(
        lambda: journal.decode_batch(text), repeats=100
    )
    return [
        slopes.Slope('journal bytes', len(text) / _TURNS, 'B/turn'),
        slopes.Slope('journal encode', encode / _TURNS * 1e6, 'us/turn'),
        slopes.Slope('journal decode', decode / _TURNS * 1e6, 'us/turn'),
    ]


def _configuration_slopes() -> list[slopes.Slope]:
    objects = _configuration_objects(_ACCOUNTS)
    size = sum(len(item.value) for item in objects)
    memory = slopes.bytes_of(
        lambda: configurations.Configuration.from_objects(1, objects)
    )
    parse = slopes.seconds_for_each(
        lambda: configurations.Configuration.from_objects(1, objects),
        repeats=3,
    )
    current = configurations.Configuration.from_objects(1, objects)
    token = f'token-{_ACCOUNTS - 1}'
    authenticate = slopes.seconds_for_each(
        lambda: current.authenticate(token), repeats=100
    )
    return [
        slopes.Slope('account bytes', size / _ACCOUNTS, 'B/account'),
        slopes.Slope('account memory', memory / _ACCOUNTS, 'B/account'),
        slopes.Slope('account parse', parse / _ACCOUNTS * 1e6, 'us/account'),
        slopes.Slope(
            'authenticate',
            authenticate * 1e6,
            f'us/request at {_ACCOUNTS} accounts',
        ),
    ]


def _map_slopes() -> list[slopes.Slope]:
    shards = list(range(identity.SHARD_COUNT))
    shard_map = shard_maps.ShardMap.empty().assign(
        shards, 'entry-123', 'entry-123~0123456789ab.1'
    )
    text = shard_map.to_text()
    entries = [f'entry-{number}' for number in range(100)]
    rank_owners = slopes.seconds_for_each(
        lambda: shard_maps.preferred_owner(7, entries), repeats=200
    )
    # Fills the cache, so that only look-ups in it are measured.
    shard_maps.preferred_owners(entries)
    look_up_owners = slopes.seconds_for_each(
        lambda: shard_maps.preferred_owners(entries), repeats=2000
    )
    parse = slopes.seconds_for_each(
        lambda: shard_maps.ShardMap.from_text(1, text), repeats=100
    )
    count = identity.SHARD_COUNT
    return [
        slopes.Slope('shard map bytes', len(text) / count, 'B/shard'),
        slopes.Slope('shard map parse', parse / count * 1e6, 'us/shard'),
        slopes.Slope(
            'preferred owner',
            rank_owners / len(entries) * 1e6,
            'us/(shard x entry) at a change',
        ),
        slopes.Slope(
            'kept owners', look_up_owners / len(entries) * 1e6, 'us/entry'
        ),
    ]


def _append_and_encode(batch: list[records.Record]) -> str:
    buffer = journal.JournalBuffer()
    for record in batch:
        buffer.append(record)
    return journal.encode_batch(buffer.next_batch())


def _table(programs: int, turns: int, characters: int) -> tables.ProgramTable:
    table = tables.ProgramTable()
    for number in range(programs):
        table.apply(_opened(number))
        for record in _records(number, turns, characters):
            table.apply(record)
    return table


def _opened(number: int) -> records.Opened:
    return records.Opened(
        identity.ProgramKey(f'caller-{number % 50}', f'program-{number}'),
        'booking',
        budgets.Budget(100_000, 1_000, 3_600.0),
        _OPENED_AT,
    )


def _records(number: int, turns: int, characters: int) -> list[records.Record]:
    key = _opened(number).program
    program_records: list[records.Record] = []
    for sequence in range(1, turns + 1):
        call = identity.CallId(key, sequence)
        prompt = f'question {number} {sequence}'
        response = f'{number} {sequence} '.ljust(characters, 'a')
        request = calls.ModelRequest(
            'model-a', [conversation.Message('user', prompt)], 1024
        )
        outcome = calls.CallOutcome(verdicts.Verdict.RAN, response, 40)
        program_records += [
            records.Intended(
                call, str(sequence), request, 1024, 'engine-1', 'abc', 1
            ),
            records.Settled(call, outcome),
        ]
    return program_records


def _configuration_objects(count: int) -> list[store.StoredObject]:
    callers = [
        accounts.Account(
            name=f'caller-{number}',
            role=accounts.Role.CALLER,
            token_hashes=[accounts.hash_token(f'token-{number}')],
        )
        for number in range(count)
    ]
    chat = work_classes.WorkClass(name='chat', target_seconds=30)
    return [
        store.StoredObject(
            f'{configurations.CLASS_PREFIX}chat', 1, chat.model_dump_json()
        ),
        *(
            store.StoredObject(
                f'{configurations.ACCOUNT_PREFIX}{item.name}',
                1,
                item.model_dump_json(),
            )
            for item in callers
        ),
    ]
