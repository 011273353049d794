"""Planned stops: signals and the order of a drain."""

import collections.abc
import contextlib
import datetime
import enum
import logging
import signal
import socket

import curio

SIGNALS = (signal.SIGTERM, signal.SIGINT)
POLL_INTERVAL = datetime.timedelta(milliseconds=50)

_log = logging.getLogger(__name__)


class ExitCode(enum.IntEnum):
    """How a planned stop ended."""

    DRAINED = 0
    CUT = 1


class StopSignals:
    """Signals that ask for a stop, as events of the loop.

    Explanation
    ===========

    A handler may run between any two instructions, so it only writes a byte
    to a socket that a task reads. Make it on the main thread.
    """

    def __init__(self) -> None:
        reader, self._writer = socket.socketpair()
        self._writer.setblocking(False)
        self._reader = curio.io.Socket(reader)
        for number in SIGNALS:
            signal.signal(number, self._note)

    async def wait(self) -> None:
        """Wait for the next signal."""
        await self._reader.recv(1)

    def _note(self, number: int, frame: object) -> None:
        with contextlib.suppress(BlockingIOError):
            self._writer.send(b'\0')


async def drain(
    signals: StopSignals,
    steps: collections.abc.Callable[[], collections.abc.Awaitable[None]],
    limit: datetime.timedelta,
) -> ExitCode:
    """Wait for a signal and stop as planned.

    :param steps: ends when nothing is under way any more
    :param limit: longest time that ``steps`` may take; a second signal ends
        them as well
    :returns: whether something was cut
    """
    await signals.wait()
    _log.info('stopping', extra={'limit_seconds': limit.total_seconds()})
    async with curio.TaskGroup(wait=any) as group:
        await group.spawn(_end_as, ExitCode.DRAINED, steps)
        await group.spawn(_end_as, ExitCode.CUT, signals.wait)
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
