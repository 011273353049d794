"""Interface to the platform's object store and host list."""

from magnoliawood.platform.store import Host
from magnoliawood.platform.store import Listing
from magnoliawood.platform.store import ObjectStore
from magnoliawood.platform.store import StoredObject
from magnoliawood.platform.store import VersionConflict

__all__ = ['Host', 'Listing', 'ObjectStore', 'StoredObject', 'VersionConflict']
