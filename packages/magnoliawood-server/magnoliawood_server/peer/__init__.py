"""Connections between the processes of a deployment."""

from magnoliawood_server.peer.connection import PeerConnection
from magnoliawood_server.peer.connection import PeerLost
from magnoliawood_server.peer.connection import Stream
from magnoliawood_server.peer.pool import PeerPool

__all__ = ['PeerConnection', 'PeerLost', 'PeerPool', 'Stream']
