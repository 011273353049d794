"""Keeper role: replica of turn and charge records on a host with a disk."""

from magnoliawood.core import lazy

__getattr__ = lazy.exports(
    __name__,
    {
        'KeeperApp': 'app',
    },
)
