"""Order of work at an upstream and choice of upstreams."""

from magnoliawood.scheduling.priority import FirstComeFirstServed
from magnoliawood.scheduling.priority import Priority
from magnoliawood.scheduling.priority import ProgramProgress
from magnoliawood.scheduling.routing import HashAffinity
from magnoliawood.scheduling.routing import LeastLoaded
from magnoliawood.scheduling.routing import Router
from magnoliawood.scheduling.routing import UpstreamView

__all__ = [
    'FirstComeFirstServed',
    'HashAffinity',
    'LeastLoaded',
    'Priority',
    'ProgramProgress',
    'Router',
    'UpstreamView',
]
