"""Order of the calls at an upstream and routing of calls to upstreams."""

from magnoliawood.scheduling.priority import FirstComeFirstServed
from magnoliawood.scheduling.priority import Priority
from magnoliawood.scheduling.priority import ProgramProgress
from magnoliawood.scheduling.residency import ResidencyTable
from magnoliawood.scheduling.routing import Demand
from magnoliawood.scheduling.routing import HashAffinity
from magnoliawood.scheduling.routing import LeastCost
from magnoliawood.scheduling.routing import LeastLoaded
from magnoliawood.scheduling.routing import Router
from magnoliawood.scheduling.routing import UpstreamView
from magnoliawood.scheduling.speed import UpstreamSpeed
from magnoliawood.scheduling.upstream_index import UpstreamIndex

__all__ = [
    'Demand',
    'FirstComeFirstServed',
    'HashAffinity',
    'LeastCost',
    'LeastLoaded',
    'Priority',
    'ProgramProgress',
    'ResidencyTable',
    'Router',
    'UpstreamIndex',
    'UpstreamSpeed',
    'UpstreamView',
]
