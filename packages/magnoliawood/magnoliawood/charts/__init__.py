"""State charts, defined in JSON files."""

from magnoliawood.charts.chart import Chart
from magnoliawood.charts.chart import load_chart

__all__ = ['Chart', 'load_chart']
