"""Tests of the product's objects in the metadata store stand-in."""

import curio
import pytest

from magnoliawood_server.platform import product_store
from magnoliawood_testing.cluster import deployment as deployments
from magnoliawood_testing.cluster import process as processes
from magnoliawood_testing.standins import metadata_store


@pytest.fixture
def address(tmp_path):
    address = processes.free_address()
    process = processes.Process(
        'store', metadata_store.__name__, {'listen': address}, tmp_path
    )
    process.start()
    deployments.wait_until(lambda: deployments.is_responding(address), 'store')
    yield address
    process.kill()


async def _write_logs(store):
    for log in ('log-1', 'log-2', 'log-3'):
        for number in range(60):
            await store.put(f'journal/{log}/{number:08d}', log, 0)


async def _scan(address, prefix):
    store = product_store.ProductStore(address)
    await _write_logs(store)
    listing = await store.scan(prefix)
    return [item.name for item in listing.objects]


def test_scan_of_one_log_returns_its_objects_over_several_pages(address):
    names = curio.run(_scan, address, 'journal/log-2/')
    assert names == [f'journal/log-2/{number:08d}' for number in range(60)]


def test_scan_of_a_kind_returns_all_objects(address):
    assert len(curio.run(_scan, address, 'journal/')) == 180
