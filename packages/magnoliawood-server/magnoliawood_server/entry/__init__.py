"""The entry: terminates callers, owns programs and decides."""

from magnoliawood_server.entry.app import EntryApp

__all__ = ['EntryApp']
