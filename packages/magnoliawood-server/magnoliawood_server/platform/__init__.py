"""HTTP client of the platform's object API."""

from magnoliawood_server.platform.http_store import HttpObjectStore

__all__ = ['HttpObjectStore']
