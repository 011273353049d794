"""Connections between the processes of a deployment."""

from magnoliawood.core import lazy

__getattr__ = lazy.exports(
    __name__,
    {
        'PeerConnection': 'connection',
        'PeerLost': 'connection',
        'PeerPool': 'pool',
        'Stream': 'connection',
    },
)
