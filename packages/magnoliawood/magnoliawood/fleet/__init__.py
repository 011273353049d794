"""Directory, load and selection of upstreams."""

from magnoliawood.fleet.directory import Upstream
from magnoliawood.fleet.directory import UpstreamDirectory
from magnoliawood.fleet.load import LoadTracker
from magnoliawood.fleet.selection import RequestDemand
from magnoliawood.fleet.selection import Selector

__all__ = [
    'LoadTracker',
    'RequestDemand',
    'Selector',
    'Upstream',
    'UpstreamDirectory',
]
