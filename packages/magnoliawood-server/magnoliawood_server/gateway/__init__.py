"""The gateway: terminates callers, decides, and talks to upstreams."""

from magnoliawood_server.gateway.app import GatewayApp

__all__ = ['GatewayApp']
