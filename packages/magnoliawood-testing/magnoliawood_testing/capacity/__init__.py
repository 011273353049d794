"""Measured slopes and their projection to the size to come."""

from magnoliawood_testing.capacity.projection import project
from magnoliawood_testing.capacity.slope import Slope

__all__ = ['Slope', 'project']
