"""Compares docs/openapi.json with the responses of a deployment."""

import dataclasses
import hashlib
import http.client
import json
import pathlib
import re
import typing
import uuid

from magnoliawood.core import clock as clocks
from magnoliawood_server.entry import app as entry_app
from magnoliawood_server.openapi import document as documents
from magnoliawood_server.runtime import settings
from magnoliawood_testing.cluster import deployment as deployments

COMMITTED = pathlib.Path(__file__).parents[5] / 'docs' / 'openapi.json'
BUDGET = {'tokens': 500, 'calls': 10, 'seconds': 600}
OPERATIONS_BY_KEY = {
    (item.method, item.path): item for item in documents.OPERATIONS
}
SUFFIX = uuid.uuid4().hex[:8]
VERSION = '$version'


@dataclasses.dataclass
class Step:
    """Request with the documented status that its response must have.

    :param values: values of the path parameters, in order
    :param example: name of the documented example to send as body
    """

    method: str
    path: str
    status: int
    values: tuple[str, ...] = ()
    body: typing.Any = None
    example: str = ''
    query: str = ''
    token: str = 'red-clay'
    headers: dict[str, str] = dataclasses.field(default_factory=dict)


def program(method, status, suffix='', name=f'doc-{SUFFIX}', **fields):
    """Return a step for a program of the caller."""
    path = f'/v1/programs/{{program}}{suffix}'
    return Step(method, path, status, (name,), **fields)


def call(method, status, number='1', name=f'doc-{SUFFIX}', **fields):
    """Return a step for a call of the caller."""
    path = '/v1/programs/{program}/calls/{sequence}'
    return Step(method, path, status, (name, number), **fields)


def admin(method, path, status, *values, **fields):
    """Return a step of the operator."""
    path = f'/admin/v1/{path}'
    return Step(method, path, status, values, token='operator', **fields)


def chat(status, **fields):
    path = '/v1/chat/completions'
    return Step('POST', path, status, **fields)


CREATE = {'if-none-match': '*'}
OUTDATED = {'if-match': '"1"'}
CURRENT = {'if-match': VERSION}
DIGEST = hashlib.sha256(b'x').hexdigest()
TURN = {
    'kind': 'model',
    'model': 'none',
    'messages': [{'role': 'user', 'content': 'hello'}],
}
NO_TOKENS = f'poor-{SUFFIX}'
OPEN = {'class': 'booking', 'budget': BUDGET}
CHAT_BODY = {
    'model': 'model-a',
    'messages': [{'role': 'user', 'content': 'hello'}],
}
HEADER = {'x-magnoliawood-program': f'talk-{SUFFIX}'}

STEPS = [
    Step('GET', '/healthz', 200, token=''),
    Step('GET', '/readyz', 200, token=''),
    Step('GET', '/metrics', 200, token=''),
    program('PUT', 201, example='chat'),
    program('PUT', 400, name='a b', body=OPEN),
    program('PUT', 404, name='x', body={**OPEN, 'class': 'none'}),
    program('PUT', 409, body=OPEN),
    program('PUT', 422, body={}),
    program('GET', 200),
    program('GET', 404, name='none'),
    call('PUT', 200, example='model'),
    call('PUT', 200, '2', example='service'),
    call('PUT', 400, '0', example='model'),
    call('PUT', 404, '3', body=TURN),
    call('PUT', 409, '9', example='model'),
    call('PUT', 422, '3', body={}),
    call('GET', 200),
    call('GET', 400, query='?offset=x'),
    call('GET', 404, '9'),
    call('DELETE', 204),
    program('PUT', 201, name=NO_TOKENS, body={**OPEN, 'budget': {
        'tokens': 0, 'calls': 1, 'seconds': 60}}),
    call('PUT', 402, name=NO_TOKENS, example='model'),
    program('GET', 200, '/history'),
    program('GET', 404, '/history', name='none'),
    Step('GET', '/v1/models', 200),
    chat(200, example='question'),
    chat(200, body=CHAT_BODY, headers=HEADER),
    chat(400, body=CHAT_BODY, headers={'x-magnoliawood-program': 'a b'}),
    chat(404, body={**CHAT_BODY, 'model': 'none'}),
    chat(409, body={**CHAT_BODY, 'messages': [
        {'role': 'user', 'content': 'other'}]}, headers=HEADER),
    chat(422, body={}),
    admin('GET', 'classes', 200),
    admin('PUT', 'classes/{name}', 200, 'alerts', example='example',
          headers=CREATE),
    admin('PUT', 'classes/{name}', 400, 'alerts', example='example'),
    admin('PUT', 'classes/{name}', 400, 'alerts', example='example',
          headers={'if-match': '"0"'}),
    admin('PUT', 'classes/{name}', 412, 'alerts', example='example',
          headers=OUTDATED),
    admin('PUT', 'classes/{name}', 422, 'alerts', body={'weight': 1}),
    admin('GET', 'classes/{name}', 200, 'alerts'),
    admin('GET', 'classes/{name}', 404, 'none'),
    admin('GET', 'classes/{name}/history', 200, 'alerts'),
    admin('GET', 'classes/{name}/history', 404, 'none'),
    admin('DELETE', 'classes/{name}', 400, 'alerts'),
    admin('DELETE', 'classes/{name}', 404, 'none', headers=OUTDATED),
    admin('DELETE', 'classes/{name}', 409, 'chat', headers=OUTDATED),
    admin('DELETE', 'classes/{name}', 412, 'alerts', headers=OUTDATED),
    admin('DELETE', 'classes/{name}', 204, 'alerts', headers=CURRENT),
    admin('GET', 'accounts', 200),
    admin('PUT', 'accounts/{name}', 200, 'dispatch', example='example',
          headers=CREATE),
    admin('PUT', 'accounts/{name}', 400, 'dispatch', example='example'),
    admin('PUT', 'accounts/{name}', 412, 'dispatch', example='example',
          headers=OUTDATED),
    admin('PUT', 'accounts/{name}', 422, 'dispatch', body={}),
    admin('GET', 'accounts/{name}', 200, 'dispatch'),
    admin('GET', 'accounts/{name}', 404, 'none'),
    admin('GET', 'accounts/{name}/history', 200, 'dispatch'),
    admin('GET', 'accounts/{name}/history', 404, 'none'),
    admin('POST', 'accounts/{name}/credentials', 200, 'dispatch',
          example='example'),
    admin('POST', 'accounts/{name}/credentials', 200, 'dispatch',
          body={'token_hash': DIGEST}),
    admin('POST', 'accounts/{name}/credentials', 404, 'none',
          example='example'),
    admin('POST', 'accounts/{name}/credentials', 422, 'dispatch', body={}),
    admin('DELETE', 'accounts/{name}/credentials/{credential}', 200,
          'dispatch', DIGEST[:12]),
    admin('DELETE', 'accounts/{name}/credentials/{credential}', 404,
          'dispatch', DIGEST[:12]),
    admin('DELETE', 'accounts/{name}', 400, 'dispatch'),
    admin('DELETE', 'accounts/{name}', 404, 'none', headers=OUTDATED),
    admin('DELETE', 'accounts/{name}', 412, 'dispatch', headers=OUTDATED),
    admin('DELETE', 'accounts/{name}', 204, 'dispatch', headers=CURRENT),
    admin('GET', 'programs', 200, query='?class=chat&limit=1'),
    admin('GET', 'programs', 400, query='?limit=0'),
    admin('GET', 'programs/{caller}/{program}', 200, 'red-clay',
          f'doc-{SUFFIX}'),
    admin('GET', 'programs/{caller}/{program}', 404, 'red-clay', 'none'),
    admin('GET', 'programs/{caller}/{program}/calls', 200, 'red-clay',
          f'doc-{SUFFIX}'),
    admin('GET', 'programs/{caller}/{program}/calls', 404, 'red-clay',
          'none'),
    admin('DELETE', 'programs/{caller}/{program}', 200, 'red-clay', NO_TOKENS),
    admin('DELETE', 'programs/{caller}/{program}', 404, 'red-clay', 'none'),
    admin('GET', 'entries', 200),
    admin('GET', 'hosts', 200),
    admin('GET', 'data-centres', 200),
    admin('GET', 'upstreams', 200),
    admin('GET', 'counters', 200, query='?name=http'),
    admin('GET', 'counters', 404, query='?host=none'),
    admin('PUT', 'upstreams/{name}/drain', 200, 'engine-1-sidecar'),
    admin('PUT', 'upstreams/{name}/drain', 404, 'none'),
    admin('DELETE', 'upstreams/{name}/drain', 204, 'engine-1-sidecar'),
    admin('DELETE', 'upstreams/{name}/drain', 404, 'engine-1-sidecar'),
    program('DELETE', 200),
    program('DELETE', 404, name='none'),
    call('PUT', 410, '3', example='model'),
]  # fmt: skip


def denied_steps():
    """Yield steps with missing rights for the statuses 401 and 403."""
    for item in documents.OPERATIONS:
        values = tuple('x' for _ in re.findall('{', item.path))
        if 401 in item.replies:
            yield Step(item.method, item.path, 401, values, token='wrong')
        if 403 in item.replies:
            is_admin = item.path.startswith('/admin')
            token = 'red-clay' if is_admin else 'support'
            yield Step(item.method, item.path, 403, values, token=token)


def run(deployment, step):
    """Send a step; return status, content type and body of the response."""
    target = re.sub('{.*?}', '{}', step.path).format(*step.values)
    target = target.replace(' ', '%20') + step.query
    tokens = {
        'operator': deployments.OPERATOR_TOKEN,
        'wrong': 'wrong',
        'red-clay': deployments.token_of('red-clay'),
        'support': deployments.token_of('support'),
    }
    headers = dict(step.headers)
    if step.token:
        headers['authorization'] = f'Bearer {tokens[step.token]}'
    if headers.get('if-match') == VERSION:
        _, stored = deployment.admin('GET', target.removeprefix('/admin/v1/'))
        headers['if-match'] = f'"{stored["version"]}"'
    body = step.body
    if step.example:
        body = OPERATIONS_BY_KEY[step.method, step.path].examples[step.example]
    text = None if body is None else json.dumps(body)
    address = deployment.entries['entry-1'].http
    connection = http.client.HTTPConnection(address, timeout=10)
    try:
        connection.request(step.method, target, text, headers)
        response = connection.getresponse()
        kind = response.headers['content-type'] or ''
        return response.status, kind, response.read()
    finally:
        connection.close()


def check(deployment, step):
    """Run a step; return its difference from the documentation, or ''."""
    reply = OPERATIONS_BY_KEY[step.method, step.path].replies[step.status]
    status, kind, data = run(deployment, step)
    if status != step.status:
        return f'{step}: {status} {data!r}'
    if reply.model is None:
        return ''
    reply.model.model_validate_json(data)
    return '' if kind == reply.content_type else f'{step}: {kind}'


def test_every_documented_status_is_returned(deployment):
    steps = [*STEPS, *denied_steps()]
    differences = [check(deployment, step) for step in steps]
    assert not [text for text in differences if text]
    covered = {(step.method, step.path, step.status) for step in steps}
    documented = {
        (item.method, item.path, status)
        for item in documents.OPERATIONS
        for status in item.replies
    }
    assert covered == documented


def test_every_example_is_sent():
    sent = {(step.method, step.path, step.example) for step in STEPS}
    missing = [
        (item.method, item.path, name)
        for item in documents.OPERATIONS
        for name in item.examples
        if (item.method, item.path, name) not in sent
    ]
    assert not missing


def test_every_served_route_is_documented():
    app = entry_app.EntryApp(
        settings.EntrySettings(
            name='entry-1',
            data_centre='dc-1',
            platform='127.0.0.1:9000',
            peer_listen='127.0.0.1:9001',
            http_listen='127.0.0.1:9002',
            peer_secret='secret-of-the-test',
        ),
        clocks.SystemClock(),
    )
    served = {(route.method, route.path) for route in app.routes()}
    documented = {
        (item.method, item.path)
        for item in documents.OPERATIONS
        if not item.is_public
    }
    assert served == documented


def test_committed_document_is_up_to_date():
    committed = json.loads(COMMITTED.read_text(encoding='utf-8'))
    assert committed == json.loads(json.dumps(documents.build_document()))


def test_conflict_with_a_missing_object_has_no_current_value(deployment):
    missing = f'missing-{SUFFIX}'
    body = {'name': missing, 'target_seconds': 1}
    status, problem = deployment.admin(
        'PUT', f'classes/{missing}', body, if_match='"5"'
    )
    assert status == 412
    assert problem['current'] is None
