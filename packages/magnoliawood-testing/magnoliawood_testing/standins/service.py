"""Stand-in of a plain service that counts the runs of each request."""

import argparse
import collections
import json

import curio

from magnoliawood_server.http import message as http_message
from magnoliawood_testing.standins import control


class ServiceFaults(control.Faults):
    """Timing and faults of the service.

    :param delay_seconds: delay before each request runs
    :param reply_delay_seconds: delay between the run and its reply
    :param reply_bytes: length of a text that each reply holds
    :param reply_end: end of that text, sent as it is, without escapes
    :param lost_replies: number of replies to lose after the request ran
    """

    delay_seconds: float = 0.005
    reply_delay_seconds: float = 0.0
    reply_bytes: int = 0
    reply_end: str = ''
    lost_replies: int = 0


class Service:
    """Service that runs every request, including repeated ones."""

    def __init__(self) -> None:
        self.faults = ServiceFaults()
        self._runs: collections.Counter[str] = collections.Counter()

    async def handle(
        self, request: http_message.Request
    ) -> http_message.Response:
        """Serve a request to a control page or run a service request."""
        match (request.method, request.path):
            case ('GET', '/control/runs'):
                return http_message.Response.from_json(dict(self._runs))
            case ('POST', '/control/faults'):
                self.faults = control.updated_faults(self.faults, request)
                return http_message.Response.from_json({})
            case ('POST', _):
                return await self._run(request)
        raise control.unknown_path_error(request)

    async def _run(
        self, request: http_message.Request
    ) -> http_message.Response:
        await curio.sleep(self.faults.delay_seconds)
        key = request.header('idempotency-key')
        self._runs[key] += 1
        if self.faults.reply_delay_seconds:
            await curio.sleep(self.faults.reply_delay_seconds)
        if self.faults.lost_replies:
            self.faults.lost_replies -= 1
            raise ConnectionResetError(
                'injected fault: reply lost after the run'
            )
        reply = {
            'operation': request.path.strip('/'),
            'request': key,
            'run': self._runs[key],
            'text': 'x' * self.faults.reply_bytes + self.faults.reply_end,
        }
        return http_message.Response(
            200,
            {'content-type': http_message.JSON_TYPE},
            json.dumps(reply, ensure_ascii=False).encode(),
        )


def main() -> None:
    """Run the service stand-in until the process ends."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--listen', required=True)
    options = parser.parse_args()
    control.serve(options.listen, Service().handle)


if __name__ == '__main__':
    main()
