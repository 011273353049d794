"""Parsing of the platform's settings file."""

import json

import pytest

from magnoliawood_server.platform import names
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


def test_gateway_host():
    parsed = settings.parse(FILE)
    assert parsed.peer_listen == '10.1.0.38:2'
    assert parsed.losses == 2
    assert parsed.data_folder is None
    assert parsed.stop_limit.total_seconds() == 8


def test_disk_host_uses_the_first_port_for_peers():
    parsed = settings.parse({**FILE, 'listen': {}, 'data_dir': '/data/x'})
    assert parsed.peer_listen == '10.1.0.38:7380'
    assert str(parsed.data_folder) == '/data/x'


def test_peer_address_may_differ_from_the_listen_address():
    parsed = settings.parse(FILE, peer_bind='127.0.0.1:9')
    assert parsed.peer_address == '10.1.0.38:2'
    assert parsed.peer_listen == '127.0.0.1:9'


@pytest.mark.parametrize('missing', ['node_name', 'ip', 'platform'])
def test_missing_field_is_an_error(missing):
    fields = {key: FILE[key] for key in FILE if key != missing}
    with pytest.raises(ValueError, match=missing):
        settings.parse(fields)


@pytest.mark.parametrize(
    'text',
    [
        '',
        '[]',
        '[' * 100_000,
        json.dumps({**FILE, 'bounds': {'grace_s': 1e300}}),
        json.dumps({**FILE, 'limits': {'memory_mb': float('inf')}}),
    ],
    ids=['empty', 'list', 'deep', 'long time', 'endless memory'],
)
def test_malformed_file_is_an_error_that_a_reload_survives(
    tmp_path, monkeypatch, text
):
    """Guards against SIGHUP that ends a process and cuts its requests."""
    path = tmp_path / 'settings.json'
    path.write_text(text)
    monkeypatch.setenv(names.SETTINGS_VARIABLE, str(path))
    with pytest.raises(ValueError):
        settings.load()


def test_earlier_deployments_call_for_no_order_and_no_revocation_limit():
    parsed = settings.parse(FILE)
    assert not parsed.orders_requests
    assert parsed.revocation_limit is None


def test_host_is_guarded_where_its_processor_share_is_stated():
    guarded = {**FILE, 'limits': {'cpu_share': 0.39}, 'contracts': ['health']}
    assert settings.parse(guarded).processor_share == 0.39
    for missing in ('limits', 'contracts'):
        fields = {key: guarded[key] for key in guarded if key != missing}
        assert settings.parse(fields).processor_share is None


@pytest.mark.parametrize('is_first', [True, False])
def test_start_of_the_whole_system_is_told_from_a_restart(is_first):
    parsed = settings.parse({**FILE, 'bootstrap': is_first})
    assert parsed.is_first_start == is_first


def test_contract_or_operator_calls_for_order():
    assert settings.parse({**FILE, 'contracts': ['pressure']}).orders_requests
    assert settings.parse(FILE, orders_requests=True).orders_requests


@pytest.mark.parametrize(('is_strict', 'seconds'), [(True, 3), (False, None)])
def test_revocation_is_limited_where_it_is_strict(is_strict, seconds):
    bounds = {'strict_revoke': is_strict, 'revoke_ms': 3000}
    limit = settings.parse({**FILE, 'bounds': bounds}).revocation_limit
    assert (limit and limit.total_seconds()) == seconds


@pytest.mark.parametrize(
    ('contracts', 'learns'),
    [([], True), (['base', 'health'], True), (['base'], False)],
)
def test_upstreams_are_learned_unless_the_rules_do_not_call_for_it(
    contracts, learns
):
    parsed = settings.parse({**FILE, 'contracts': contracts})
    assert parsed.learns_upstreams == learns
