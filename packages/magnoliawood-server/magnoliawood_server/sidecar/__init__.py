"""Sidecar process; one runs on the host of each upstream."""

from magnoliawood_server.sidecar.app import SidecarApp

__all__ = ['SidecarApp']
