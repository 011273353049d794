"""Planned stops: signals and the order of a drain."""

import collections.abc
import datetime
import enum
import logging
import signal

import curio

from magnoliawood_server.runtime import signals

SIGNALS = (signal.SIGTERM, signal.SIGINT)
POLL_INTERVAL = datetime.timedelta(milliseconds=50)

_log = logging.getLogger(__name__)


class ExitCode(enum.IntEnum):
    """How a planned stop ended."""

    DRAINED = 0
    CUT = 1


class StopSignals(signals.SignalWaiter):
    """Signals that ask for a stop. Make it on the main thread."""

    def __init__(self) -> None:
        super().__init__(*SIGNALS)


async def drain(
    stop_signals: StopSignals,
    steps: collections.abc.Callable[[], collections.abc.Awaitable[None]],
    limit: datetime.timedelta,
) -> ExitCode:
    """Wait for a signal and stop as planned.

    :param steps: ends when nothing is under way any more
    :param limit: longest time that ``steps`` may take; a second signal ends
        them as well
    :returns: whether something was cut
    """
    await stop_signals.wait()
    _log.info('stopping', extra={'limit_seconds': limit.total_seconds()})
    async with curio.TaskGroup(wait=any) as group:
        await group.spawn(_end_as, ExitCode.DRAINED, steps)
        await group.spawn(_end_as, ExitCode.CUT, stop_signals.wait)
        await group.spawn(
            _end_as, ExitCode.CUT, curio.sleep, limit.total_seconds()
        )
    _log.info('stopped', extra={'outcome': group.result.name.lower()})
    return group.result


async def _end_as(
    code: ExitCode,
    function: collections.abc.Callable[..., collections.abc.Awaitable[None]],
    *arguments: object,
) -> ExitCode:
    await function(*arguments)
    return code


async def wait_while(
    condition: collections.abc.Callable[[], bool],
) -> None:
    """Wait as long as a condition holds."""
    while condition():
        await curio.sleep(POLL_INTERVAL.total_seconds())
