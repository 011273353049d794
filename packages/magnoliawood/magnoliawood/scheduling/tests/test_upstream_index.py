"""Tests of the index of upstreams."""

import random

import pytest

from magnoliawood.scheduling import upstream_index

SOURCE = random.Random(1)


@pytest.fixture
def index():
    found = upstream_index.UpstreamIndex()
    for number in range(10):
        found.add(number, 'engine', ['model-a', 'model-b'], number != 3)
    return found


def test_a_draw_is_small_and_has_no_repetition(index):
    drawn = index.sample('engine', 'model-b', 4, SOURCE)
    assert len(set(drawn)) == 4


def test_no_size_means_all_usable(index):
    assert len(index.sample('engine', 'model-a', 0, SOURCE)) == 9
    assert index.serving_count('engine', 'model-a') == 10


def test_what_cannot_be_used_is_never_drawn(index):
    draws = [index.sample('engine', 'model-a', 6, SOURCE) for _ in range(50)]
    assert not any(3 in draw for draw in draws)


def test_an_unknown_name_has_no_upstream(index):
    assert index.sample('engine', 'model-c', 4, SOURCE) == []
    assert index.serving_count('service', 'model-a') == 0
