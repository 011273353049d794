"""Gateway: serves callers and routes their requests to upstreams."""

from magnoliawood.core import lazy

__getattr__ = lazy.exports(
    __name__,
    {
        'GatewayApp': 'app',
    },
)
