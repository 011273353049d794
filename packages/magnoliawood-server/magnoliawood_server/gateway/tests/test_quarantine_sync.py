import datetime

import curio
import pytest

from magnoliawood.core import clock as clocks
from magnoliawood.limits import crash_list
from magnoliawood.telemetry import registry as registries
from magnoliawood_server.gateway import quarantine_sync
from magnoliawood_server.platform import objects

CRASHES = (
    crash_list.Crash('engine-1', 'a'),
    crash_list.Crash('engine-2', 'b'),
)


class Store:
    """Store in memory that may fail a number of calls."""

    def __init__(self, failures=0):
        self.records = {}
        self.failures = failures

    def _fail(self):
        if self.failures:
            self.failures -= 1
            raise objects.StoreUnavailable('injected fault')

    async def load(self, now):
        self._fail()
        return list(self.records.values())

    async def save(self, record, now):
        self._fail()
        self.records[record.fingerprint] = record

    async def remove(self, fingerprint):
        self._fail()
        self.records.pop(fingerprint, None)


@pytest.fixture(autouse=True)
def short_intervals(monkeypatch):
    interval = datetime.timedelta(milliseconds=1)
    monkeypatch.setattr(quarantine_sync, 'CHECK_INTERVAL', interval)
    monkeypatch.setattr(quarantine_sync, 'RETRY_DELAY', interval)


@pytest.fixture
def crashes():
    return crash_list.CrashList(clocks.SystemClock())


def _run_until(store, crashes, condition):
    sync = quarantine_sync.QuarantineSync(
        store, crashes, clocks.SystemClock(), registries.Registry()
    )

    async def run():
        async with curio.timeout_after(10):
            async with curio.TaskGroup() as tasks:
                await tasks.spawn(sync.run)
                while not condition():
                    await curio.sleep(0.001)
                await tasks.cancel_remaining()

    curio.run(run)


def test_quarantined_request_is_stored_although_calls_fail(crashes):
    store = Store(failures=3)
    crashes.record_crashes('suspected', CRASHES[:1])
    record = crashes.record_crashes('quarantined', CRASHES)
    _run_until(store, crashes, lambda: store.records)
    assert store.records == {'quarantined': record}


def test_stored_requests_are_loaded_at_the_start(crashes):
    store = Store()
    other = crash_list.CrashList(clocks.SystemClock())
    store.records['f'] = other.record_crashes('f', CRASHES)
    _run_until(store, crashes, lambda: crashes.find('f'))
    assert crashes.find('f').is_quarantined


def test_released_request_is_removed(crashes):
    store = Store()
    crashes.record_crashes('f', CRASHES)
    _run_until(store, crashes, lambda: store.records)
    crashes.clear('f')
    _run_until(store, crashes, lambda: not store.records)
