import json

import pytest

from magnoliawood_cli import exit_codes
from magnoliawood_cli.tests import conftest
from magnoliawood_testing.cluster import deployment as deployments
from magnoliawood_testing.cluster import process as processes

Code = exit_codes.ExitCode
BUDGET = {'tokens': 500, 'calls': 10, 'seconds': 600}


def open_program(deployment, name, caller='red-clay', work_class='booking'):
    node = deployment.entries['entry-1']
    status, response = deployments.call(
        node.http,
        'PUT',
        f'/v1/programs/{name}',
        {'class': work_class, 'budget': BUDGET},
        {'authorization': f'Bearer {deployments.token_of(caller)}'},
    )
    assert status == 201, response


def test_class_history_records_each_change(control, other_control):
    created = control.read('class', 'create', 'pings', '--target-seconds', '2')
    changed = control.read('class', 'set', 'pings', '--target-seconds', '3')
    assert changed['version'] > created['version']
    assert other_control.read('class', 'show', 'pings') == changed
    log = other_control.read('class', 'history', 'pings')
    assert [item['action'] for item in log['items']] == ['created', 'changed']
    assert [item['value']['target_seconds'] for item in log['items']] == [2, 3]
    assert log['is_complete']
    control.read('class', 'delete', 'pings')
    assert control.run('class', 'show', 'pings')[0] == Code.NOT_FOUND
    actions = [
        item['action']
        for item in control.read('class', 'history', 'pings')['items']
    ]
    assert actions == ['created', 'changed', 'deleted']


def test_table_lists_classes(control):
    code, stdout, _ = control.run('class', 'list')
    assert code == Code.SUCCESS
    header, *rows = stdout.splitlines()
    assert header.split()[:2] == ['NAME', 'TARGET_SECONDS']
    assert ['booking', '30'] in [row.split()[:2] for row in rows]


def test_conflict_shows_the_change_made_first(control, other_control):
    seen = control.read('class', 'create', 'raced', '--target-seconds', '5')
    other_control.read('class', 'set', 'raced', '--target-seconds', '6')
    code, _, stderr = control.run(
        *('class', 'set', 'raced', '--target-seconds', '7'),
        *('--version', str(seen['version'])),
    )
    assert code == Code.CONFLICT
    rejection, change = stderr.splitlines()
    assert 'version_conflict' in rejection
    assert 'changed by bootstrap-operator' in change
    assert 'target_seconds=6' in change
    assert control.read('class', 'show', 'raced')['target_seconds'] == 6


def test_deletion_at_outdated_version_is_rejected(control):
    seen = control.read('class', 'create', 'kept', '--target-seconds', '5')
    control.read('class', 'set', 'kept', '--target-seconds', '6')
    code, _, stderr = control.run(
        'class', 'delete', 'kept', '--version', str(seen['version'])
    )
    assert code == Code.CONFLICT, stderr
    assert control.read('class', 'show', 'kept')['target_seconds'] == 6


def test_class_used_by_open_program_is_not_deleted(deployment, control):
    control.read('class', 'create', 'used', '--target-seconds', '5')
    deployment.wait_for_configuration()
    open_program(deployment, 'user-of-it', work_class='used')
    code, _, stderr = control.run('class', 'delete', 'used')
    assert code == Code.CONFLICT
    assert 'class_in_use' in stderr
    assert 'red-clay/user-of-it' in stderr
    control.read('program', 'cancel', 'red-clay', 'user-of-it')
    control.read('class', 'delete', 'used')


@pytest.mark.parametrize(
    'option', ['--weight=3', '--server=engine-1', '--address=127.0.0.1:1']
)
def test_options_other_than_targets_and_limits_are_rejected(control, option):
    code, _, stderr = control.run(
        'class', 'create', 'steered', '--target-seconds', '5', option
    )
    assert code == Code.REFUSED
    assert option in stderr
    assert 'choice of the system' in stderr
    assert control.run('class', 'show', 'steered')[0] == Code.NOT_FOUND


@pytest.mark.parametrize('field', ['weight', 'server', 'address'])
def test_api_rejects_fields_other_than_targets_and_limits(deployment, field):
    body = {'name': 'steered', 'target_seconds': 5, field: '1'}
    status, problem = deployment.admin(
        'PUT', 'classes/steered', body, if_none_match='*'
    )
    assert status == 422
    assert field in problem['detail']
    assert 'choice of the system' in problem['detail']


def test_program_list_is_paged_across_entries(deployment, control):
    names = [f'listed-{number}' for number in range(12)]
    for name in names:
        open_program(deployment, name, caller='kessick')
    listed, after = [], ''
    while True:
        page = control.read(
            *('program', 'list', '--caller', 'kessick', '--state', 'open'),
            *('--limit', '5', '--after', after),
        )
        listed += [item['program'] for item in page['items']]
        after = page['next']
        if not after:
            break
    assert listed == sorted(names)
    shards = [item['shards'] for item in control.read('status')['items']]
    assert min(shards) > 0


def test_cancelled_program_shows_who_cancelled_it(deployment, control):
    open_program(deployment, 'cancelled')
    control.read('program', 'cancel', 'red-clay', 'cancelled')
    shown = control.read('program', 'show', 'red-clay', 'cancelled')
    assert shown['state'] == 'ended'
    assert shown['end_reason'] == 'cancelled by bootstrap-operator'
    listed = control.read('program', 'list', '--state', 'ended')['items']
    assert 'cancelled' in [item['program'] for item in listed]


def test_call_list_shows_upstream_on_every_entry(
    deployment, control, other_control
):
    open_program(deployment, 'called')
    booking = {'kind': 'service', 'service': 'pours', 'operation': 'book'}
    status, _ = deployments.call(
        deployment.entries['entry-1'].http,
        'PUT',
        '/v1/programs/called/calls/1',
        booking,
        {'authorization': f'Bearer {deployments.token_of("red-clay")}'},
    )
    assert status == 200
    command = ('program', 'calls', 'red-clay', 'called')
    (call,) = control.read(*command)['items']
    assert call['target'] == 'pours/book'
    assert call['upstream'] == 'pours-sidecar'
    assert call['verdict'] == 'ran'
    assert other_control.read(*command)['items'] == [call]


def test_status_shows_each_entry(deployment, control):
    deployment.wait_for_configuration()
    status = control.read('status')
    assert status['missing_entries'] == {}
    first, second = status['items']
    assert [first['name'], second['name']] == ['entry-1', 'entry-2']
    assert first['store'] == second['store'] == 'available'
    versions = [first['configuration_version']]
    assert versions == [second['configuration_version']]
    assert first['shards'] + second['shards'] == 64


def test_hosts_data_centres_and_upstreams(control):
    hosts = control.read('host', 'list')['items']
    assert [host['name'] for host in hosts] == [
        'engine-1-sidecar',
        'engine-2-sidecar',
        'entry-1',
        'entry-2',
        'pours-sidecar',
    ]
    assert all(host['is_reachable'] for host in hosts)
    centres = control.read('data-centre', 'list')['items']
    assert sum(centre['reachable'] for centre in centres) == len(hosts)
    upstreams = control.read('upstream', 'list')['items']
    assert {item['kind'] for item in upstreams} == {'engine', 'service'}


def test_drained_upstream_receives_no_new_calls(deployment, control):
    control.read('upstream', 'drain', 'pours-sidecar')
    deployment.wait_for_configuration()
    open_program(deployment, 'drained')
    booking = {'kind': 'service', 'service': 'pours', 'operation': 'book'}
    for node in deployment.entries.values():
        status, problem = deployments.call(
            node.http,
            'PUT',
            '/v1/programs/drained/calls/1',
            booking,
            {'authorization': f'Bearer {deployments.token_of("red-clay")}'},
        )
        assert status == 503
        assert problem['code'] == 'upstream_unavailable'
    shown = control.read('upstream', 'list')['items']
    assert [item['name'] for item in shown if item['is_drained']] == [
        'pours-sidecar'
    ]
    control.read('upstream', 'undrain', 'pours-sidecar')
    deployment.wait_for_configuration()
    deployments.wait_until(lambda: _books(deployment, booking), 'a booking')


def _books(deployment, booking):
    status, _ = deployments.call(
        deployment.entries['entry-2'].http,
        'PUT',
        '/v1/programs/drained/calls/1',
        booking,
        {'authorization': f'Bearer {deployments.token_of("red-clay")}'},
    )
    return status == 200


def test_counters_of_entries_and_of_one_host(control):
    counters = control.read('counters', '--name', 'programs_opened_total')
    hosts = {item['host'] for item in counters['items']}
    assert hosts <= {'entry-1', 'entry-2'}
    assert hosts
    control.read('counters', '--host', 'engine-1-sidecar')
    assert control.run('counters', '--host', 'none')[0] == Code.NOT_FOUND


def test_credential_is_rotated_without_restart(deployment, control):
    entry = deployment.entries['entry-2'].http
    first = control.read('account', 'create', 'rotated', '--role', 'viewer')
    second = control.read('account', 'add-credential', 'rotated')
    deployment.wait_for_configuration()
    clients = [
        conftest.Control(entry, made['token']) for made in (first, second)
    ]
    assert [client.run('host', 'list')[0] for client in clients] == [0, 0]
    shown = control.read('account', 'show', 'rotated')
    old = next(
        item for item in shown['credentials'] if item != second['credential']
    )
    control.read('account', 'drop-credential', 'rotated', old)
    deployment.wait_for_configuration()
    assert [client.run('host', 'list')[0] for client in clients] == [
        Code.NOT_PERMITTED,
        Code.SUCCESS,
    ]


def test_role_change_keeps_credentials(control):
    control.read('account', 'create', 'promoted')
    before = control.read('account', 'show', 'promoted')
    control.read('account', 'set-role', 'promoted', 'operator')
    after = control.read('account', 'show', 'promoted')
    assert after['role'] == 'operator'
    assert after['credentials'] == before['credentials']


def test_viewer_can_read_but_not_change(viewer):
    assert viewer.run('class', 'list')[0] == Code.SUCCESS
    for change in (
        ('class', 'create', 'x', '--target-seconds', '1'),
        ('upstream', 'drain', 'pours-sidecar'),
        ('program', 'cancel', 'red-clay', 'any'),
        ('account', 'create', 'x'),
    ):
        code, _, stderr = viewer.run(*change)
        assert code == Code.NOT_PERMITTED, stderr


@pytest.mark.parametrize(
    'arguments, code',
    [
        (['class', 'create', 'a/b', '--target-seconds', '1'], Code.REFUSED),
        (['class', 'create', 'x', '--target-seconds', '-1'], Code.REFUSED),
        (['class', 'create', 'x', '--target-seconds', 'soon'], Code.USAGE),
        (['class', 'create', 'booking', '--target-seconds', '1'], 5),
        (['class', 'show', 'none'], Code.NOT_FOUND),
        (['program', 'list', '--limit', '0'], Code.REFUSED),
        (['program', 'list', '--state', 'odd'], Code.REFUSED),
        (['program', 'show', 'red-clay', 'none'], Code.NOT_FOUND),
        (['upstream', 'drain', 'none'], Code.NOT_FOUND),
        (['upstream', 'undrain', 'pours-sidecar'], Code.NOT_FOUND),
        (['account', 'drop-credential', 'red-clay', 'x'], Code.NOT_FOUND),
        (['nonsense'], Code.USAGE),
    ],
)
def test_invalid_input_sets_exit_code(control, arguments, code):
    exit_code, stdout, stderr = control.run(*arguments)
    assert exit_code == code, stderr
    assert stdout == ''
    assert stderr


@pytest.mark.parametrize(
    'entry, token, code',
    [
        (None, 'wrong', Code.NOT_PERMITTED),
        (None, 'with\nnewline', Code.USAGE),
        ('no.such.host.invalid:80', 'token', Code.NO_ANSWER),
        ('127.0.0.1', 'token', Code.USAGE),
        ('127.0.0.1:99999', 'token', Code.USAGE),
        ('refused', 'token', Code.NO_ANSWER),
    ],
)
def test_invalid_entry_or_token_sets_exit_code(deployment, entry, token, code):
    known = {
        None: deployment.entries['entry-1'].http,
        'refused': processes.free_address(),
    }
    control = conftest.Control(known.get(entry, entry), token)
    exit_code, stdout, stderr = control.run('class', 'list')
    assert exit_code == code, stderr
    assert stdout == ''
    if code != Code.USAGE:
        assert len(stderr.splitlines()) == 1


def test_help_needs_no_entry():
    code, stdout, _ = conftest.Control('').run('class', 'create', '--help')
    assert code == Code.SUCCESS
    assert '--target-seconds' in stdout


def test_credentials_do_not_appear_in_logs(deployment, control):
    made = control.read('account', 'create', 'secretive')
    control.run('account', 'create', 'secretive')
    secrets = [
        made['token'],
        deployments.OPERATOR_TOKEN,
        deployments.PEER_SECRET,
        deployments.token_of('red-clay'),
    ]
    logs = deployment.logs()
    assert 'entry started' in logs
    assert not [secret for secret in secrets if secret in logs]
    listed = json.dumps(control.read('account', 'list'))
    log = json.dumps(control.read('account', 'history', 'secretive'))
    assert 'token' not in listed
    assert 'token' not in log
