import json

import curio
import pytest

from magnoliawood.core import clock as clocks
from magnoliawood.core import errors
from magnoliawood.platform import store
from magnoliawood.telemetry import registry as registries
from magnoliawood_server.entry import admin_objects
from magnoliawood_server.entry import change_history
from magnoliawood_server.entry import configuration_cache
from magnoliawood_server.http import message as http_message


class MemoryStore:
    """In-memory store; names that start with ``broken`` are unavailable."""

    def __init__(self):
        self.objects = {}
        self.version = 0
        self.broken = 'none'

    def check(self, name):
        if name.startswith(self.broken):
            raise errors.MagnoliawoodError(
                errors.ErrorCode.STORE_UNAVAILABLE, 'broken'
            )

    async def get(self, name):
        self.check(name)
        return self.objects.get(name)

    async def scan(self, prefix):
        self.check(prefix)
        listed = [
            item
            for name, item in self.objects.items()
            if name.startswith(prefix)
        ]
        return store.Listing(self.version, listed)

    async def put(self, name, value, expected):
        self.check(name)
        stored_object = self.objects.get(name)
        if (
            stored_object.version if stored_object else store.ABSENT
        ) != expected:
            raise store.VersionConflict(name, stored_object)
        self.version += 1
        self.objects[name] = store.StoredObject(name, self.version, value)
        return self.objects[name]


@pytest.fixture
def memory():
    return MemoryStore()


@pytest.fixture
def metrics():
    return registries.Registry()


@pytest.fixture
def resource(memory, metrics):
    return admin_objects.ConfigurationObjects(
        memory,
        configuration_cache.ConfigurationCache(memory, ''),
        change_history.ChangeHistory(memory, metrics),
        clocks.ManualClock(),
    )


def put(resource, target, **headers):
    header_values = {
        name.replace('_', '-'): text for name, text in headers.items()
    }
    body = json.dumps({'name': 'pings', 'target_seconds': target}).encode()
    request = http_message.Request('PUT', '/', header_values, body)
    return curio.run(
        resource.put, admin_objects.CLASSES, 'pings', request, 'ops'
    )


def history(resource):
    response = curio.run(resource.history, admin_objects.CLASSES, 'pings')
    return json.loads(response.body)


def test_history_without_the_current_version_is_not_complete(
    memory, metrics, resource
):
    created = put(resource, 1, if_none_match='*')
    assert history(resource)['is_complete']
    memory.broken = 'history/'
    changed = put(resource, 2, if_match=created.headers['etag'])
    assert changed.status == 200
    assert metrics.counter('history_writes_failed_total') == 1
    memory.broken = 'none'
    assert not history(resource)['is_complete']


@pytest.mark.parametrize('fault', ['unreachable', 'malformed'])
def test_conflict_is_reported_without_a_readable_history(
    memory, resource, fault
):
    put(resource, 1, if_none_match='*')
    if fault == 'unreachable':
        memory.broken = 'history/'
    else:
        (name,) = (n for n in memory.objects if n.startswith('history/'))
        memory.objects[name] = store.StoredObject(name, 9, '{"x": 1}')
    response = put(resource, 2, if_match='"99"')
    assert response.status == 412
    problem = json.loads(response.body)
    assert problem['current']['target_seconds'] == 1
    assert problem['change'] is None


def test_change_succeeds_while_another_object_is_malformed(memory, resource):
    memory.objects['config/class/odd'] = store.StoredObject(
        'config/class/odd', 1, 'malformed'
    )
    assert put(resource, 1, if_none_match='*').status == 200


def test_malformed_object_does_not_hide_the_others(memory, resource):
    put(resource, 1, if_none_match='*')
    name = 'config/class/odd'
    memory.objects[name] = store.StoredObject(name, 9, 'malformed')
    response = curio.run(resource.list, admin_objects.CLASSES)
    listed = json.loads(response.body)
    assert [item['name'] for item in listed['items']] == ['pings']
    assert listed['malformed'] == ['odd']
    with pytest.raises(errors.MagnoliawoodError) as error_info:
        curio.run(resource.show, admin_objects.CLASSES, 'odd')
    assert 'version 9' in error_info.value.detail


@pytest.mark.parametrize('version', ['', '"0"', '"-1"', 'W/"3"', '"x"'])
def test_change_needs_a_version(resource, version):
    with pytest.raises(errors.MagnoliawoodError) as error_info:
        put(resource, 1, if_match=version)
    assert error_info.value.code == errors.ErrorCode.MALFORMED_REQUEST
