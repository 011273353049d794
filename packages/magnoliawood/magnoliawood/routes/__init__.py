"""Configuration by operators: routes, services and limits on callers."""

from magnoliawood.routes.configuration import CallerLimits
from magnoliawood.routes.configuration import Configuration
from magnoliawood.routes.configuration import Engine
from magnoliawood.routes.configuration import RequestKind
from magnoliawood.routes.configuration import Route
from magnoliawood.routes.configuration import Service
from magnoliawood.routes.configuration import ServiceShare
from magnoliawood.routes.table import RouteTable

__all__ = [
    'CallerLimits',
    'Configuration',
    'Engine',
    'RequestKind',
    'Route',
    'RouteTable',
    'Service',
    'ServiceShare',
]
