"""State charts kept in JSON files and interpreted by the code."""

from magnoliawood.charts.chart import Chart
from magnoliawood.charts.chart import load_chart

__all__ = ['Chart', 'load_chart']
