"""Keeper role: replica of turn and charge records on a host with a disk."""

from magnoliawood_server.keeper.app import KeeperApp

__all__ = ['KeeperApp']
