"""Deployments of real processes on the loopback interface."""

from magnoliawood_testing.cluster.caller import Caller
from magnoliawood_testing.cluster.deployment import Deployment

__all__ = ['Caller', 'Deployment']
