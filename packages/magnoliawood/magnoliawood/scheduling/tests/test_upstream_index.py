import random

import pytest

from magnoliawood.scheduling import upstream_index

SOURCE = random.Random(1)


@pytest.fixture
def index():
    upstreams = upstream_index.UpstreamIndex()
    for number in range(10):
        upstreams.add(number, 'engine', ['model-a', 'model-b'], number != 3)
    return upstreams


def test_sample_has_the_size_and_no_repetition(index):
    sampled = index.sample('engine', 'model-b', 4, SOURCE)
    assert len(set(sampled)) == 4


def test_size_zero_returns_all_usable_upstreams(index):
    assert len(index.sample('engine', 'model-a', 0, SOURCE)) == 9
    assert index.serving_count('engine', 'model-a') == 10


def test_unusable_upstreams_are_never_sampled(index):
    samples = [index.sample('engine', 'model-a', 6, SOURCE) for _ in range(50)]
    assert not any(3 in chosen for chosen in samples)


def test_unknown_name_has_no_upstreams(index):
    assert index.sample('engine', 'model-c', 4, SOURCE) == []
    assert index.serving_count('service', 'model-a') == 0
