"""Entry process: serves callers, owns programs and schedules their calls."""

from magnoliawood_server.entry.app import EntryApp

__all__ = ['EntryApp']
