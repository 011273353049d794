"""Limits that protect upstreams from overload and callers from each other."""

from magnoliawood.limits.affinity import affinity_upstreams
from magnoliawood.limits.crash_list import CrashList
from magnoliawood.limits.crash_record import Crash
from magnoliawood.limits.crash_record import CrashRecord

__all__ = ['Crash', 'CrashList', 'CrashRecord', 'affinity_upstreams']
