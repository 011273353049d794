"""Clock, verdicts and errors used by all other packages."""

from magnoliawood.core.clock import Clock
from magnoliawood.core.clock import ManualClock
from magnoliawood.core.clock import SystemClock
from magnoliawood.core.errors import ErrorCode
from magnoliawood.core.errors import MagnoliawoodError
from magnoliawood.core.verdict import Verdict

__all__ = [
    'Clock',
    'ErrorCode',
    'MagnoliawoodError',
    'ManualClock',
    'SystemClock',
    'Verdict',
]
