"""Copies of records on several disks, agreed by quorums."""

from magnoliawood.replication.group import Group
from magnoliawood.replication.group import Member

__all__ = ['Group', 'Member']
