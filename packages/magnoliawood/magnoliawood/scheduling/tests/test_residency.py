import datetime

import hypothesis
from hypothesis import strategies

from magnoliawood.programs import identity
from magnoliawood.scheduling import residency

NOW = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)


def key(number):
    return identity.ProgramKey('caller', f'program-{number}')


def test_idle_programs_are_removed():
    table = residency.ResidencyTable()
    table.record_use(key(1), 100, 100, NOW)
    later = NOW + residency.IDLE_LIMIT + datetime.timedelta(seconds=1)
    table.record_use(key(2), 50, 50, later)
    assert (len(table), table.tokens) == (1, 50)


STEPS = strategies.lists(
    strategies.tuples(strategies.integers(0, 5), strategies.integers(0, 1_000))
)


@hypothesis.given(STEPS)
@hypothesis.settings(derandomize=True)
def test_sum_of_tokens_matches_uses_and_releases(steps):
    table = residency.ResidencyTable()
    expected = {}
    for number, tokens in steps:
        if tokens:
            table.record_use(key(number), tokens, tokens * 2, NOW)
            expected[number] = tokens * 2
        else:
            table.release(key(number))
            expected.pop(number, None)
    assert table.tokens == sum(expected.values())
    assert len(table) == len(expected)
