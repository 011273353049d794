"""Stand-in of a plain service that counts how often a request ran."""

import argparse
import collections

import curio

from magnoliawood_server.http import message as http_message
from magnoliawood_testing.standins import control


class ServiceFaults(control.Faults):
    """Timing and faults of the service.

    :param delay_seconds: time that each request takes before it runs
    :param reply_delay_seconds: time between running and the reply
    :param lost_replies: replies to lose after the request ran
    """

    delay_seconds: float = 0.005
    reply_delay_seconds: float = 0.0
    lost_replies: int = 0


class Service:
    """Runs every request that it receives, repeats included."""

    def __init__(self) -> None:
        self.faults = ServiceFaults()
        self._runs: collections.Counter[str] = collections.Counter()

    async def handle(
        self, request: http_message.Request
    ) -> http_message.Response:
        """Serve one request."""
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
            raise ConnectionResetError('reply lost')
        return http_message.Response.from_json(
            {
                'operation': request.path.strip('/'),
                'request': key,
                'run': self._runs[key],
            }
        )


def main() -> None:
    """Run the stand-in."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--listen', required=True)
    options = parser.parse_args()
    control.serve(options.listen, Service().handle)


if __name__ == '__main__':
    main()
