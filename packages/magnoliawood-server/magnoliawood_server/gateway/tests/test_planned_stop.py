"""Planned stop of a gateway: the time that it leaves for answers."""

import datetime
import signal

import curio
import pytest

from magnoliawood.core import clock as clocks
from magnoliawood_server.gateway import caller_reader
from magnoliawood_server.gateway import planned_stop
from magnoliawood_server.runtime import stop


class _OneSignal:
    """Delivers one SIGTERM at once."""

    def __init__(self):
        self._is_sent = False

    async def wait(self):
        if self._is_sent:
            await curio.Event().wait()
        self._is_sent = True
        return signal.SIGTERM


class _Stop:
    """Planned stop whose listener takes a while to end."""

    def __init__(self, limit_seconds):
        self.activity = caller_reader.CallerActivity()
        self._planned = planned_stop.PlannedStop(
            datetime.timedelta(seconds=limit_seconds),
            self.activity,
            self._stop_listening,
            self._flush,
            clocks.SystemClock(),
        )

    async def _stop_listening(self):
        await curio.sleep(0.1)

    async def _flush(self):
        """Store nothing."""

    async def run(self):
        return await self._planned.run(_OneSignal())


async def _serve(activity, cuts):
    task = await curio.current_task()
    activity.serving.add(task)
    try:
        await curio.Event().wait()
    except caller_reader.RequestCut:
        cuts.append(task)
    finally:
        activity.serving.discard(task)


@pytest.mark.parametrize('limit_seconds', [1, 2, 3])
def test_stop_shorter_than_its_notice_leaves_time_for_answers(limit_seconds):
    """Guards against a notice that uses up the time for the answers."""
    cuts = []

    async def main():
        planned = _Stop(limit_seconds)
        serving = await curio.spawn(_serve, planned.activity, cuts)
        code = await planned.run()
        await serving.cancel()
        return code

    assert curio.run(main) is stop.ExitCode.DRAINED
    assert len(cuts) == 1
