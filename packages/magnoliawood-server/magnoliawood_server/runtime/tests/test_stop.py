import datetime
import os
import signal

import curio
import pytest

from magnoliawood_server.runtime import stop

LONG = datetime.timedelta(minutes=1)


@pytest.fixture
def signals():
    previous_handlers = {
        number: signal.getsignal(number) for number in stop.SIGNALS
    }
    yield stop.StopSignals()
    for number, handler in previous_handlers.items():
        signal.signal(number, handler)


async def _finish_at_once():
    return None


async def _wait_forever():
    await curio.Event().wait()


@pytest.mark.parametrize(
    ('steps', 'limit', 'sent', 'code'),
    [
        (_finish_at_once, LONG, 1, stop.ExitCode.DRAINED),
        (_wait_forever, datetime.timedelta(0), 1, stop.ExitCode.CUT),
        (_wait_forever, LONG, 2, stop.ExitCode.CUT),
    ],
)
def test_drain_ends_by_steps_limit_or_second_signal(
    signals, steps, limit, sent, code
):
    for _ in range(sent):
        os.kill(os.getpid(), signal.SIGTERM)
    assert curio.run(stop.drain, signals, steps, limit) is code


def test_only_the_interrupting_signals_end_a_drain(signals):
    """Guards against a repeated SIGTERM that cuts what is in progress."""
    for number in (signal.SIGTERM, signal.SIGTERM, signal.SIGINT):
        os.kill(os.getpid(), number)
    interrupting = frozenset({signal.SIGINT})
    code = curio.run(stop.drain, signals, _wait_forever, LONG, interrupting)
    assert code is stop.ExitCode.CUT

    os.kill(os.getpid(), signal.SIGTERM)
    os.kill(os.getpid(), signal.SIGTERM)

    async def finish_later():
        await curio.sleep(0.05)

    code = curio.run(stop.drain, signals, finish_later, LONG, interrupting)
    assert code is stop.ExitCode.DRAINED


def test_drain_does_not_start_without_signal(signals):
    async def main():
        task = await curio.spawn(stop.drain, signals, _finish_at_once, LONG)
        await curio.sleep(0)
        is_ended = task.terminated
        await task.cancel()
        return is_ended

    assert not curio.run(main)
