"""Stand-in of an upstream on the users' platform.

It signs what it runs, checks who is meant and counts each run. A request to
a path that ends with ``/stream`` gets a stream of events.
"""

import argparse
import collections.abc
import json
import pathlib
import time

import curio

from magnoliawood_server.http import message as http_message
from magnoliawood_testing.standins import control

EVENTS = 5


def event_bytes(number: int) -> bytes:
    """Return one event of a stream as it is sent."""
    return f'id: {number}\ndata: word{number}\n\n'.encode()


class SignedUpstreamFaults(control.Faults):
    """Timing and faults.

    :param event_seconds: time between two events
    :param refusals: requests to refuse without running them
    :param lost_answers: answers to lose after the request ran
    :param cut_after: events after which each stream is cut; none if
        negative
    :param poison: body of requests whose answer is always lost
    :param forget_idle_seconds: connections that rested for longer are
        dropped when the next request comes, which does not run; never if 0
    """

    event_seconds: float = 0.005
    refusals: int = 0
    lost_answers: int = 0
    cut_after: int = -1
    poison: str = ''
    forget_idle_seconds: float = 0.0


class SignedUpstream:
    """Runs what is meant for its incarnation.

    :param journal: file to which each run is appended, so that the count
        outlives the process
    """

    def __init__(self, incarnation: str, journal: pathlib.Path) -> None:
        self._incarnation = incarnation
        self._journal = journal
        # Each connection is served by a task of its own.
        self._last_requests: dict[int, float] = {}
        self.faults = SignedUpstreamFaults()

    async def handle(
        self, request: http_message.Request
    ) -> http_message.Response:
        """Serve one request."""
        if request.path == '/control/faults':
            self.faults = control.updated_faults(self.faults, request)
            return http_message.Response.from_json({})
        await self._drop_if_rested()
        echo = {'request-id': request.header('request-id')}
        if request.header('expect-instance') != self._incarnation:
            return http_message.Response(421, echo)
        if self.faults.refusals:
            self.faults.refusals -= 1
            return http_message.Response(503, {**echo, 'not-executed': '1'})
        return self._run(request, echo)

    async def _drop_if_rested(self) -> None:
        connection = (await curio.current_task()).id
        now = time.monotonic()
        last = self._last_requests.get(connection, now)
        self._last_requests[connection] = now
        limit = self.faults.forget_idle_seconds
        if limit and now - last > limit:
            raise ConnectionResetError('the connection rested too long')

    def _run(
        self, request: http_message.Request, echo: dict[str, str]
    ) -> http_message.Response:
        request_id = echo['request-id']
        self._note_run(request)
        signed = {**echo, 'server-stamp': f'{self._incarnation}.{request_id}'}
        if self.faults.lost_answers:
            self.faults.lost_answers -= 1
            raise ConnectionResetError('answer lost')
        if self.faults.poison and self._is_poison(request):
            raise ConnectionResetError('poisoned')
        if not request.path.endswith('/stream'):
            return http_message.Response(200, signed, b'done')
        first = int(request.header('last-event-id') or 0) + 1
        return http_message.Response(
            200,
            {**signed, 'content-type': http_message.EVENT_STREAM_TYPE},
            parts=self._events(first),
        )

    def _note_run(self, request: http_message.Request) -> None:
        entry = {
            'request_id': request.header('request-id'),
            'body': request.body.decode('latin-1'),
        }
        with self._journal.open('a', encoding='utf-8') as file:
            file.write(json.dumps(entry) + '\n')

    def _is_poison(self, request: http_message.Request) -> bool:
        return request.body.decode('latin-1') == self.faults.poison

    async def _events(
        self, first: int
    ) -> collections.abc.AsyncGenerator[bytes]:
        for number in range(first, EVENTS + 1):
            if number - first == self.faults.cut_after:
                raise ConnectionResetError('stream cut')
            await curio.sleep(self.faults.event_seconds)
            yield event_bytes(number)


def main() -> None:
    """Run the stand-in."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--listen', required=True)
    parser.add_argument('--incarnation', required=True)
    parser.add_argument('--journal', type=pathlib.Path, required=True)
    options = parser.parse_args()
    upstream = SignedUpstream(options.incarnation, options.journal)
    control.serve(options.listen, upstream.handle)


if __name__ == '__main__':
    main()
