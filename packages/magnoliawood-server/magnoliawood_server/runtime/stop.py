"""Graceful shutdown: stop signals and draining with a time limit."""

import collections.abc
import datetime
import enum
import logging
import signal

import curio

from magnoliawood_server.runtime import signals

SIGNALS = (signal.SIGTERM, signal.SIGINT)
_ALL_SIGNALS = frozenset(SIGNALS)
POLL_INTERVAL = datetime.timedelta(milliseconds=50)

_log = logging.getLogger(__name__)


class ExitCode(enum.IntEnum):
    """Exit code of a process after a graceful shutdown.

    ``CUT`` means that the time limit or a second signal ended the drain.
    """

    DRAINED = 0
    CUT = 1


class StopSignals(signals.SignalWaiter):
    """Waits for SIGTERM and SIGINT. Create it on the main thread."""

    def __init__(self) -> None:
        super().__init__(*SIGNALS)


async def drain(
    stop_signals: StopSignals,
    steps: collections.abc.Callable[[], collections.abc.Awaitable[None]],
    limit: datetime.timedelta,
    interrupting: frozenset[signal.Signals] = _ALL_SIGNALS,
) -> ExitCode:
    """Wait for a stop signal, then drain the process.

    :param steps: drains the process; returns once no work is in progress
    :param limit: longest time that ``steps`` may take
    :param interrupting: signals of which a second one interrupts the steps
    :returns: whether the drain was complete or was interrupted
    """
    await stop_signals.wait()
    _log.info('stopping', extra={'limit_seconds': limit.total_seconds()})
    async with curio.TaskGroup(wait=any) as group:
        await group.spawn(_run_and_return, ExitCode.DRAINED, steps)
        await group.spawn(
            _run_and_return,
            ExitCode.CUT,
            _wait_for_one_of,
            stop_signals,
            interrupting,
        )
        await group.spawn(
            _run_and_return, ExitCode.CUT, curio.sleep, limit.total_seconds()
        )
    _log.info('stopped', extra={'outcome': group.result.name.lower()})
    return group.result


async def _wait_for_one_of(
    stop_signals: StopSignals, numbers: frozenset[signal.Signals]
) -> None:
    while (number := await stop_signals.wait()) not in numbers:
        _log.info('already stopping', extra={'signal': number.name})


async def _run_and_return(
    code: ExitCode,
    function: collections.abc.Callable[..., collections.abc.Awaitable[None]],
    *arguments: object,
) -> ExitCode:
    await function(*arguments)
    return code


async def wait_while(
    condition: collections.abc.Callable[[], bool],
) -> None:
    """Poll a condition until it is false."""
    while condition():
        await curio.sleep(POLL_INTERVAL.total_seconds())
