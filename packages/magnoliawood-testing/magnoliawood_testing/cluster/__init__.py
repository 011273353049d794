"""Real processes of a whole deployment on loopback."""

from magnoliawood_testing.cluster.caller import Caller
from magnoliawood_testing.cluster.deployment import Deployment

__all__ = ['Caller', 'Deployment']
