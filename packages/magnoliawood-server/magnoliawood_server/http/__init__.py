"""HTTP/1.1 server and client on h11 and curio."""

from magnoliawood_server.http.client import HttpClient
from magnoliawood_server.http.message import Request
from magnoliawood_server.http.message import Response
from magnoliawood_server.http.server import serve_connection

__all__ = ['HttpClient', 'Request', 'Response', 'serve_connection']
