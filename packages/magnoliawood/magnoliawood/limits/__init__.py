"""Limits that protect upstreams and callers from each other."""

from magnoliawood.limits.crash_list import Crash
from magnoliawood.limits.crash_list import CrashList
from magnoliawood.limits.crash_list import CrashRecord
from magnoliawood.limits.home import home_upstreams

__all__ = ['Crash', 'CrashList', 'CrashRecord', 'home_upstreams']
