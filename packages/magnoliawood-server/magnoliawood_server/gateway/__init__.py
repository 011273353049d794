"""Gateway: serves callers and routes their requests to upstreams."""

from magnoliawood_server.gateway.app import GatewayApp

__all__ = ['GatewayApp']
