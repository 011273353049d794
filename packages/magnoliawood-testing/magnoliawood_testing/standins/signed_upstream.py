"""Stand-in of an upstream on the users' platform.

The response of each request that ran carries a ``server-stamp`` header with
the incarnation of the upstream. A request for another incarnation is rejected
with status 421. Each run is recorded in a journal. A request to a path that
ends with ``/stream`` gets a stream of events.
"""

import argparse
import collections.abc
import json
import os
import pathlib
import time

import curio

from magnoliawood_server.http import message as http_message
from magnoliawood_testing.standins import control

# Number of events in each stream.
EVENTS = 5
# Length of the parts of an event that is not ended, and time for which its
# stream stays open.
_PART_BYTES = 64 * 1024
_UNENDED_SECONDS = 60.0
CRASH_EXIT_CODE = 70


# Version of the software whose events do not name it.
DEFAULT_VERSION = 'v1'


def event_bytes(number: int, version: str = DEFAULT_VERSION) -> bytes:
    """Return the encoded event of a stream with the given number."""
    named = '' if version == DEFAULT_VERSION else f'event: {version}\n'
    return f'id: {number}\n{named}data: word{number}\n\n'.encode()


def arrivals_file(journal: pathlib.Path) -> pathlib.Path:
    """Return the file with the arrival times of an upstream's requests."""
    return journal.with_name(f'arrivals-{journal.stem}.txt')


class SignedUpstreamFaults(control.Faults):
    """Timing and faults of the upstream.

    :param event_seconds: time between two events
    :param answer_seconds: time from a run to a response that is no stream
    :param answer_bytes: length of a response that is no stream; 0 for the
        usual one
    :param unended_event_bytes: length of an event that each stream begins and
        does not end; none if 0
    :param refusals: number of requests to reject without running them
    :param lost_answers: number of responses to lose after the request ran
    :param cut_after: number of events after which each stream is cut; none
        if negative
    :param poison: body of requests whose response is always lost
    :param crash_body: beginning of the bodies of requests that end the
        process when they run
    :param crash_session: beginning of the sessions whose requests end the
        process when they run
    :param is_leaving: whether all responses announce that it is leaving
    :param rate_limit: requests per second that all responses name as the limit
    :param forget_idle_seconds: idle time after which a connection is dropped
        at its next request, which does not run; never if 0
    """

    event_seconds: float = 0.005
    answer_seconds: float = 0.0
    answer_bytes: int = 0
    unended_event_bytes: int = 0
    refusals: int = 0
    lost_answers: int = 0
    cut_after: int = -1
    poison: str = ''
    crash_body: str = 'crash-the-upstream ' * 20
    crash_session: str = 'crash-session'
    is_leaving: bool = False
    rate_limit: str | None = None
    forget_idle_seconds: float = 0.0


class SignedUpstream:
    """Upstream that runs the requests for its incarnation.

    :param version: version of its software, recorded with each run
    :param journal: file to which each run is appended, so that the count
        survives a restart of the process
    """

    def __init__(
        self, incarnation: str, version: str, journal: pathlib.Path
    ) -> None:
        self._incarnation = incarnation
        self._version = version
        self._journal = journal
        # Keyed by task: each connection is served by a separate task.
        self._last_requests: dict[int, float] = {}
        self.faults = SignedUpstreamFaults()

    async def handle(
        self, request: http_message.Request
    ) -> http_message.Response:
        """Serve a change of the faults or a request to the upstream."""
        if request.path == '/control/faults':
            self.faults = control.updated_faults(self.faults, request)
            return http_message.Response.from_json({})
        self._record_arrival()
        await self._drop_if_idle()
        request_id_header = {'request-id': request.header('request-id')}
        if self.faults.is_leaving:
            request_id_header['server-leaving'] = '1'
        if self.faults.rate_limit is not None:
            request_id_header['server-limit'] = self.faults.rate_limit
        if request.header('expect-instance') != self._incarnation:
            return http_message.Response(421, request_id_header)
        if self.faults.refusals:
            self.faults.refusals -= 1
            return http_message.Response(
                503, {**request_id_header, 'not-executed': '1'}
            )
        response = self._run(request, request_id_header)
        if self.faults.answer_seconds and response.parts is None:
            await curio.sleep(self.faults.answer_seconds)
        return response

    async def _drop_if_idle(self) -> None:
        connection = (await curio.current_task()).id
        now = time.monotonic()
        last = self._last_requests.get(connection, now)
        self._last_requests[connection] = now
        limit = self.faults.forget_idle_seconds
        if limit and now - last > limit:
            raise ConnectionResetError(
                'injected fault: connection idle for too long'
            )

    def _run(
        self, request: http_message.Request, request_id_header: dict[str, str]
    ) -> http_message.Response:
        request_id = str(request_id_header['request-id'])
        self._record_run(request)
        if self._does_crash(request):
            os._exit(CRASH_EXIT_CODE)
        signed = {
            **request_id_header,
            'server-stamp': f'{self._incarnation}.{request_id}',
        }
        if self.faults.lost_answers:
            self.faults.lost_answers -= 1
            raise ConnectionResetError(
                'injected fault: response lost after the run'
            )
        if self.faults.poison and self._is_poison(request):
            raise ConnectionResetError(
                'injected fault: response to the poison body lost'
            )
        if not request.path.endswith('/stream'):
            body = b'a' * self.faults.answer_bytes or b'done'
            return http_message.Response(200, signed, body)
        first = int(request.header('last-event-id') or 0) + 1
        return http_message.Response(
            200,
            {**signed, 'content-type': http_message.EVENT_STREAM_TYPE},
            parts=self._events(first),
        )

    def _record_arrival(self) -> None:
        with arrivals_file(self._journal).open('a', encoding='utf-8') as file:
            file.write(f'{time.monotonic()}\n')

    def _record_run(self, request: http_message.Request) -> None:
        entry = {
            'request_id': request.header('request-id'),
            'body': request.body.decode('latin-1'),
            'version': self._version,
            'stream': request.header('resumes')
            or request.header('request-id'),
            'account': request.header('tenant-id') or '',
            'credentials': request.header('authorization') or '',
        }
        with self._journal.open('a', encoding='utf-8') as file:
            file.write(json.dumps(entry) + '\n')

    def _does_crash(self, request: http_message.Request) -> bool:
        if request.body.decode('latin-1').startswith(self.faults.crash_body):
            return True
        session = request.header('session-id') or ''
        return session.startswith(self.faults.crash_session)

    def _is_poison(self, request: http_message.Request) -> bool:
        return request.body.decode('latin-1') == self.faults.poison

    async def _events(
        self, first: int
    ) -> collections.abc.AsyncGenerator[bytes]:
        if self.faults.unended_event_bytes:
            yield b'data: '
            for _ in range(0, self.faults.unended_event_bytes, _PART_BYTES):
                yield b'a' * _PART_BYTES
            await curio.sleep(_UNENDED_SECONDS)
        for number in range(first, EVENTS + 1):
            if number - first == self.faults.cut_after:
                raise ConnectionResetError('injected fault: stream cut')
            await curio.sleep(self.faults.event_seconds)
            yield event_bytes(number, self._version)


def main() -> None:
    """Run the upstream stand-in until the process ends."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--listen', required=True)
    parser.add_argument('--incarnation', required=True)
    parser.add_argument('--version', required=True)
    parser.add_argument('--journal', type=pathlib.Path, required=True)
    options = parser.parse_args()
    upstream = SignedUpstream(
        options.incarnation, options.version, options.journal
    )
    control.serve(options.listen, upstream.handle)


if __name__ == '__main__':
    main()
