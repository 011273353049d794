"""Decoding of stored objects, including malformed ones of other writers."""

import pytest

from magnoliawood.accounts import client_account
from magnoliawood.replication import group as groups
from magnoliawood.routes import configuration as configurations
from magnoliawood_server.platform import decoding

ENTRY = {
    'service': 'llm',
    'address': '10.0.0.1:80',
    'zone': 'z',
    'slots': 4,
    'state': 'ready',
    'call_seq': 3,
    'unknown': {'field': 1},
}
ROUTE = {
    'name': 'r',
    'host': 'h',
    'path_prefix': '/a/',
    'kind': 'streaming',
    'timeout_ms': 4000,
}


def test_valid_entry_decodes_to_an_upstream():
    upstream = decoding.decode_upstream('i-1', ENTRY)
    assert (upstream.id, upstream.service, upstream.is_leaving) == (
        'i-1',
        'llm',
        False,
    )
    leaving = decoding.decode_upstream('i-1', {**ENTRY, 'state': 'draining'})
    assert leaving.is_leaving


@pytest.mark.parametrize(
    'spec',
    [
        None,
        [],
        'text',
        {},
        {**ENTRY, 'state': 'other'},
        {**ENTRY, 'address': 'nowhere'},
        {**ENTRY, 'address': 5},
        {**ENTRY, 'slots': '4'},
        {key: ENTRY[key] for key in ENTRY if key != 'service'},
    ],
)
def test_malformed_entry_is_ignored(spec):
    assert decoding.decode_upstream('x', spec) is None


def _nested(depth):
    value = 'ready'
    for _ in range(depth):
        value = [value]
    return value


@pytest.mark.parametrize(
    ('name', 'field', 'value'),
    [
        ('x', 'address', '10.0.0.1:65536'),
        ('x', 'address', '10.0.0.1:0'),
        ('x', 'address', '10.0.0.256:80'),
        ('x', 'address', '10.0.0.1:\u0668\u0660'),
        ('x', 'slots', 10**400),
        ('x', 'slots', float('inf')),
        ('x', 'slots', 0),
        ('x', 'version', _nested(900)),
        ('x', 'state', _nested(900)),
        ('x', 'zone', '\ud800'),
        ('x\r\nName: value', 'slots', 4),
        ('', 'slots', 4),
        ('\ud800', 'slots', 4),
    ],
)
def test_entry_that_names_no_usable_upstream_is_ignored(name, field, value):
    """Guards against hosts that end, or lose the list, for one odd entry."""
    spec = {**ENTRY, field: value}
    assert decoding.decode_upstream(name, spec) is None


def test_start_out_of_range_is_unknown():
    upstream = decoding.decode_upstream('x', {**ENTRY, 'born': 10**400})
    assert upstream.started_at is None


def test_route_may_be_split_between_services():
    spec = {
        'version': 7,
        'routes': [
            {
                **ROUTE,
                'backends': [
                    {'service': 'a', 'weight': 90},
                    {'service': 'b', 'weight': 10},
                ],
                'retain': True,
                'retain_s': 60.0,
            },
            {**ROUTE, 'service': 'c', 'resumable': True},
        ],
        'services': [{'name': 'a', 'tls': False}],
        'limits': {'max_body_bytes': 100},
    }
    decoded = decoding.decode_configuration(spec)
    split, unsplit = decoded.routes
    assert [share.weight for share in split.shares] == [90, 10]
    assert split.keeps_history
    assert not split.is_idempotent
    assert unsplit.shares == (configurations.ServiceShare('c'),)
    assert unsplit.is_idempotent
    assert decoded.limits.body_bytes == 100


@pytest.mark.parametrize('spec', [None, {}, {'version': 'x'}])
def test_malformed_configuration_is_an_error(spec):
    with pytest.raises(ValueError):
        decoding.decode_configuration(spec)


ACCOUNT = {
    'name': 'studio',
    'api_keys': ['secret-key'],
    'priority': 1,
    'rate_per_s': 20,
    'burst': 10,
}


def test_client_accounts_are_decoded_without_their_keys():
    spec = {'version': 1, 'tenants': [ACCOUNT, {'name': 'free'}]}
    decoded = decoding.decode_configuration(spec)
    limited, free = decoded.accounts
    digest = client_account.digest_of_key(b'secret-key')
    assert limited == client_account.ClientAccount(
        'studio', frozenset([digest]), 1, 20.0, 10.0
    )
    assert not free.is_limited
    assert 'secret' not in repr(decoded)
    assert decoding.decode_configuration({'version': 1}).accounts is None


# Guards against keys in the log line about a malformed configuration.
def test_error_in_a_configuration_names_no_key():
    spec = {'version': 1, 'tenants': [{**ACCOUNT, 'priority': 'secret-key'}]}
    with pytest.raises(ValueError) as caught:
        decoding.decode_configuration(spec)
    assert 'secret' not in str(caught.value)
    assert 'priority' in str(caught.value)


def test_encoded_group_decodes_to_the_same_group():
    members = [groups.Member(name, name, name) for name in 'abc']
    group = groups.Group.first(members, 1).replace('a', members[0])
    assert decoding.decode_group(decoding.encode_group(group)) == group


@pytest.mark.parametrize(
    ('born', 'year'),
    [(1767225600000, 2026), ('1767225600000', None), (10**30, None)],
)
def test_start_of_an_upstream_is_decoded_if_it_is_stated(born, year):
    spec = {
        'service': 'llm',
        'address': '10.0.0.1:80',
        'zone': 'dc-1',
        'state': 'ready',
        'born': born,
    }
    started_at = decoding.decode_upstream('i-1', spec).started_at
    assert (started_at and started_at.year) == year
