"""The settings file of the platform."""

import pytest

from magnoliawood_server.platform import settings

FILE = {
    'node_name': 'front-1',
    'ip': '10.1.0.38',
    'zone': 'z',
    'listen': {'front': '10.1.0.38:1', 'control': '10.1.0.38:2'},
    'port_range': [7380, 7395],
    'seeds': ['10.1.0.40:2'],
    'limits': {'memory_mb': 150, 'new': 1},
    'data_dir': None,
    'fault_tolerance': {'machines': 2},
    'platform': {'address': '10.200.1.7:8142'},
    'bounds': {'grace_s': 8},
    'coming': 'unknown fields are ignored',
}


def test_entry_host():
    found = settings.parse(FILE)
    assert found.peer_listen == '10.1.0.38:2'
    assert found.losses == 2
    assert found.data_folder is None
    assert found.stop_limit.total_seconds() == 8


def test_disk_host_takes_the_first_port_for_peers():
    found = settings.parse({**FILE, 'listen': {}, 'data_dir': '/data/x'})
    assert found.peer_listen == '10.1.0.38:7380'
    assert str(found.data_folder) == '/data/x'


def test_address_that_peers_use_may_differ_from_where_it_listens():
    found = settings.parse(FILE, peer_bind='127.0.0.1:9')
    assert found.peer_address == '10.1.0.38:2'
    assert found.peer_listen == '127.0.0.1:9'


@pytest.mark.parametrize('missing', ['node_name', 'ip', 'platform'])
def test_missing_field_is_an_error(missing):
    fields = {key: FILE[key] for key in FILE if key != missing}
    with pytest.raises(ValueError, match=missing):
        settings.parse(fields)
