"""Caller that retries at another entry when an entry fails."""

import datetime
import itertools
import json
import typing

import curio

from magnoliawood_server.http import client as http_client

CALL_TIMEOUT = datetime.timedelta(seconds=30)
_RETRY_DELAY_SECONDS = 0.1
_RETRY_STATUSES = frozenset({429, 503})


class Caller:
    """Caller that sends requests to entries in turn, like a load balancer.

    :param addresses: HTTP addresses of the entries
    :param token: bearer token
    """

    def __init__(self, addresses: list[str], token: str) -> None:
        self._addresses = itertools.cycle(addresses)
        self._token = token
        self.retries = 0

    async def open(
        self,
        program: str,
        work_class: str,
        tokens: int = 10_000,
        calls: int = 100,
        seconds: float = 600.0,
    ) -> typing.Any:
        """Open a program with the given budget."""
        budget = {'tokens': tokens, 'calls': calls, 'seconds': seconds}
        body = {'class': work_class, 'budget': budget}
        return await self.request('PUT', f'/v1/programs/{program}', body)

    async def turn(
        self, program: str, sequence: int, text: str, max_tokens: int = 64
    ) -> typing.Any:
        """Run a model turn with one new message."""
        body = {
            'kind': 'model',
            'model': 'model-a',
            'messages': [{'role': 'user', 'content': text}],
            'max_tokens': max_tokens,
        }
        return await self.call(program, sequence, body)

    async def service(
        self,
        program: str,
        sequence: int,
        service: str,
        operation: str,
        idempotent: bool = False,
    ) -> typing.Any:
        """Run a service call."""
        body = {
            'kind': 'service',
            'service': service,
            'operation': operation,
            'idempotent': idempotent,
        }
        return await self.call(program, sequence, body)

    async def call(
        self, program: str, sequence: int, body: typing.Any
    ) -> typing.Any:
        """Run a call; retries use the same sequence number."""
        path = f'/v1/programs/{program}/calls/{sequence}'
        return await self.request('PUT', path, body)

    async def call_text(
        self, program: str, sequence: int, body: typing.Any
    ) -> str:
        """Run a call without retries and return the text of its response."""
        request = http_client.json_request(
            'PUT',
            f'/v1/programs/{program}/calls/{sequence}',
            body,
            authorization=f'Bearer {self._token}',
        )
        client = http_client.HttpClient(next(self._addresses))
        _, data = await client.fetch(request, CALL_TIMEOUT)
        return data.decode()

    async def request(
        self, method: str, path: str, body: typing.Any = None
    ) -> typing.Any:
        """Send a request until it has a final response.

        :raises RuntimeError: if the final response is an error
        """
        limit = CALL_TIMEOUT.total_seconds()
        async with curio.timeout_after(limit):
            while True:
                status, value = await self._attempt_next(method, path, body)
                if status < 400:
                    return value
                if status not in _RETRY_STATUSES:
                    raise RuntimeError(f'{method} {path}: {value}')
                self.retries += 1
                await curio.sleep(_RETRY_DELAY_SECONDS)

    async def _attempt_next(
        self, method: str, path: str, body: typing.Any
    ) -> tuple[int, typing.Any]:
        try:
            return await self.attempt(
                next(self._addresses), method, path, body
            )
        except OSError as error:
            return 503, str(error)

    async def attempt(
        self, address: str, method: str, path: str, body: typing.Any = None
    ) -> tuple[int, typing.Any]:
        """Send a request once; return the status and the parsed response."""
        request = http_client.json_request(
            method, path, body, authorization=f'Bearer {self._token}'
        )
        client = http_client.HttpClient(address)
        response, data = await client.fetch(request, CALL_TIMEOUT)
        return response.status, json.loads(data) if data else None
