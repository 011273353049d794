"""Upstreams that forget idle connections, without a network."""

import datetime

from magnoliawood.core import clock as clocks
from magnoliawood.limits import idle_limit

SECOND = datetime.timedelta(seconds=1)


def test_one_loss_shortens_the_rest_for_the_whole_service():
    limits = idle_limit.IdleLimits(clocks.ManualClock())
    limits.record_lost_connection('llm', SECOND)
    assert limits.limit('llm') < SECOND
    assert limits.limit('other') == idle_limit.MAX_IDLE_LIMIT


def test_later_and_longer_rest_does_not_lengthen_the_limit():
    limits = idle_limit.IdleLimits(clocks.ManualClock())
    limits.record_lost_connection('llm', SECOND / 2)
    shortened = limits.limit('llm')
    limits.record_lost_connection('llm', SECOND * 4)
    assert limits.limit('llm') == shortened


def test_limit_is_never_so_short_that_nothing_is_reused():
    limits = idle_limit.IdleLimits(clocks.ManualClock())
    limits.record_lost_connection('llm', SECOND / 10_000)
    assert limits.limit('llm') == idle_limit.MIN_IDLE_LIMIT


def test_shortened_limit_ends():
    clock = clocks.ManualClock()
    limits = idle_limit.IdleLimits(clock)
    limits.record_lost_connection('llm', SECOND)
    clock.advance(idle_limit.SHORTENED_LIMIT_PERIOD)
    assert limits.limit('llm') == idle_limit.MAX_IDLE_LIMIT
