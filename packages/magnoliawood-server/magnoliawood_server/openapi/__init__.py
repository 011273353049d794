"""OpenAPI document of the HTTP API."""

from magnoliawood_server.openapi.document import build_document

__all__ = ['build_document']
