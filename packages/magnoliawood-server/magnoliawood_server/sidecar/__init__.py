"""The sidecar: one small process beside each upstream."""

from magnoliawood_server.sidecar.app import SidecarApp

__all__ = ['SidecarApp']
