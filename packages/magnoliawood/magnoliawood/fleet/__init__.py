"""Directory, load and selection of upstreams."""

from magnoliawood.core import lazy

__getattr__ = lazy.exports(
    __name__,
    {
        'LoadTracker': 'load',
        'RequestDemand': 'selection',
        'Selector': 'selection',
        'Upstream': 'directory',
        'UpstreamDirectory': 'directory',
    },
)
