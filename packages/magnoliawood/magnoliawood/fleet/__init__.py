"""Which upstreams there are, how loaded they are and which to use."""

from magnoliawood.fleet.directory import Upstream
from magnoliawood.fleet.directory import UpstreamDirectory
from magnoliawood.fleet.load import LoadTracker
from magnoliawood.fleet.selection import Selector
from magnoliawood.fleet.selection import Work

__all__ = ['LoadTracker', 'Selector', 'Upstream', 'UpstreamDirectory', 'Work']
