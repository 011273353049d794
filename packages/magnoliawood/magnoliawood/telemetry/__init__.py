"""Counters and histograms with their text form."""

from magnoliawood.telemetry.registry import Registry

__all__ = ['Registry']
