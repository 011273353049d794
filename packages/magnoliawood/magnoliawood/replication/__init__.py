"""Quorum replication of records on several disks."""

from magnoliawood.replication.group import Group
from magnoliawood.replication.group import Member

__all__ = ['Group', 'Member']
