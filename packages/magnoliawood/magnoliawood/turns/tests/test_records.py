"""Pages in which records are sent to a replica that lacks them."""

import pytest

from magnoliawood.turns import records

PAGE_BYTES = 256 * 1024


def _turn(name, size):
    return records.TurnRecord(name, '', b'x' * size, b'', 4e9)


@pytest.mark.parametrize(
    'sizes',
    [
        [],
        [10],
        [PAGE_BYTES // 3] * 7,
        [PAGE_BYTES - 1000, 16_600_000, 10],
    ],
)
def test_page_has_a_limit_unless_it_is_one_record(sizes):
    """Guards against a record that is stored, but too long to be copied.

    A page with others before it would not fit into a frame.
    """
    turns = [_turn(f't{number}', size) for number, size in enumerate(sizes)]
    pages = [*records.pages(turns)]
    assert [entry for page in pages for entry in page] == [
        records.encode(turn) for turn in turns
    ]
    for page in pages:
        assert len(page) == 1 or sum(map(len, page)) <= PAGE_BYTES
