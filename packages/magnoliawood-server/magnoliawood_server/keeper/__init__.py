"""The keeper: copies of turns and budgets on a disk host."""

from magnoliawood_server.keeper.app import KeeperApp

__all__ = ['KeeperApp']
