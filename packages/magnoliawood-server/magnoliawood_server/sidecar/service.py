"""Client of an upstream that is a plain HTTP service."""

import datetime
import urllib.parse

import curio

from magnoliawood.core import errors
from magnoliawood.core import verdict as verdicts
from magnoliawood.programs import call as calls
from magnoliawood.programs import identity
from magnoliawood_server.http import client as http_client
from magnoliawood_server.http import message as http_message
from magnoliawood_server.sidecar import call_run


class ServiceUpstream:
    """Runs service calls on one plain HTTP service.

    :param address: IP address and port of the service
    :param timeout: maximum duration of a call
    """

    def __init__(self, address: str, timeout: datetime.timedelta) -> None:
        self._client = http_client.HttpClient(address)
        self._timeout = timeout

    async def run(self, run: call_run.CallRun) -> calls.CallOutcome:
        """Run a service call, without retries."""
        try:
            reply, body = await self._client.fetch(
                _request(run), self._timeout, run.take_body
            )
            run.take_decoded(body)
        except http_client.ConnectFailed as error:
            return _failed_outcome(
                errors.ErrorCode.UPSTREAM_UNAVAILABLE,
                str(error),
                verdicts.Verdict.NOT_RUN,
            )
        except http_client.ResponseTooLong as error:
            return _failed_outcome(
                errors.ErrorCode.OUTCOME_UNKNOWN,
                f'the response was not kept: {error}',
                verdicts.Verdict.MAY_HAVE_RUN,
            )
        except (OSError, curio.TaskTimeout):
            return _failed_outcome(
                errors.ErrorCode.OUTCOME_UNKNOWN,
                'the service did not respond',
                verdicts.Verdict.MAY_HAVE_RUN,
            )
        return calls.CallOutcome(
            verdicts.Verdict.RAN,
            body.decode(errors='replace'),
            status=reply.status,
        )

    async def identify(self) -> str:
        """Return an empty string if the service accepts connections.

        A plain service reports no identity of its process.
        """
        await self._client.check_reachable()
        return ''

    async def cache_tokens(self) -> int | None:
        """Return 0, since a plain service has no prefix cache."""
        return 0

    async def release(self, program: identity.ProgramKey) -> None:
        """Do nothing, since a plain service has no prefix cache."""

    async def cached_programs(self) -> list[identity.ProgramKey]:
        """Return no programs, since a plain service has no prefix cache."""
        return []


def _request(run: call_run.CallRun) -> http_message.Request:
    intended = run.order.intended
    request = intended.request
    return http_message.Request(
        'POST',
        f'/{urllib.parse.quote(request.operation, safe="")}',
        {
            'content-type': http_message.JSON_TYPE,
            'idempotency-key': str(intended.call),
        },
        request.body.encode(),
    )


def _failed_outcome(
    code: errors.ErrorCode, detail: str, verdict: verdicts.Verdict
) -> calls.CallOutcome:
    return calls.CallOutcome.from_error(
        errors.MagnoliawoodError(code, detail, verdict)
    )
