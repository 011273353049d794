"""Measured cost slopes and their projection to the target scale."""

from magnoliawood_testing.capacity.projection import project
from magnoliawood_testing.capacity.slope import Slope

__all__ = ['Slope', 'project']
