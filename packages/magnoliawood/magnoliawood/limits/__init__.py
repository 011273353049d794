"""Limits that protect upstreams from overload and callers from each other."""

from magnoliawood.core import lazy

__getattr__ = lazy.exports(
    __name__,
    {
        'Crash': 'crash_record',
        'CrashList': 'crash_list',
        'CrashRecord': 'crash_record',
        'affinity_upstreams': 'affinity',
    },
)
