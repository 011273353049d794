import datetime

import pytest

from magnoliawood.core import clock as clocks
from magnoliawood.ownership import pause

LIMIT = datetime.timedelta(seconds=0.5)


@pytest.fixture
def clock():
    return clocks.ManualClock()


@pytest.fixture
def detector(clock):
    confirmed = pause.PauseDetector(clock, LIMIT)
    confirmed.confirm(confirmed.tick())
    return confirmed


def test_ownership_is_unconfirmed_after_the_start(clock):
    assert not pause.PauseDetector(clock, LIMIT).is_confirmed


def test_regular_ticks_keep_the_confirmation(clock, detector):
    for _ in range(5):
        clock.advance(LIMIT)
        detector.tick()
    assert detector.is_confirmed


def test_pause_is_detected_before_and_after_the_next_tick(clock, detector):
    clock.advance(2 * LIMIT)
    assert not detector.is_confirmed
    detector.tick()
    assert not detector.is_confirmed


def test_confirmation_that_began_before_a_pause_is_ineffective(
    clock, detector
):
    pauses_at_start = detector.tick()
    clock.advance(2 * LIMIT)
    detector.tick()
    detector.confirm(pauses_at_start)
    assert not detector.is_confirmed
    detector.confirm(detector.tick())
    assert detector.is_confirmed
