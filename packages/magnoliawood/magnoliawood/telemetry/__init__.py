"""Counters, gauges and histograms with their text exposition."""

from magnoliawood.telemetry.registry import Registry

__all__ = ['Registry']
