import http.client
import itertools
import time
import uuid

from magnoliawood.ownership import shard_map
from magnoliawood.programs import identity
from magnoliawood.programs import message as conversation
from magnoliawood_testing.cluster import deployment as deployments
from magnoliawood_testing.cluster import response_stream
from magnoliawood_testing.standins import reference

MAX_TOKENS = 40
BUDGET = {'tokens': 2000, 'calls': 50, 'seconds': 600}


def set_up(deployment):
    deployment.create_class('booking', 30)
    deployment.create_account('red-clay')
    deployment.wait_for_configuration()


def send_request(node, method, path, body=None, address=''):
    headers = {'authorization': 'Bearer token-of-red-clay'}
    return deployments.call(address or node.http, method, path, body, headers)


def fetch_headers(node, method, path):
    connection = http.client.HTTPConnection(node.http, timeout=10)
    try:
        headers = {'authorization': 'Bearer token-of-red-clay'}
        connection.request(method, path, headers=headers)
        response = connection.getresponse()
        response.read()
        return response.status, response.headers
    finally:
        connection.close()


def open_program(node):
    return open_program_at(node.http)


def open_program_at(address):
    path = f'/v1/programs/p-{uuid.uuid4().hex}'
    body = {'class': 'booking', 'budget': BUDGET}
    status, response = send_request(None, 'PUT', path, body, address)
    assert status == 201, response
    return path


def turn_body(text, **fields):
    return {
        'kind': 'model',
        'model': 'model-a',
        'messages': [{'role': 'user', 'content': text}],
        'max_tokens': MAX_TOKENS,
        **fields,
    }


def booking_body(**fields):
    return {
        'kind': 'service',
        'service': 'pours',
        'operation': 'book',
        **fields,
    }


def stream(address, method, path, body=None, read_timeout_seconds=30.0):
    return response_stream.ResponseStream(
        address, 'token-of-red-clay', method, path, body, read_timeout_seconds
    )


def expected_answer(text):
    message = conversation.Message('user', text)
    return reference.answer_text([message], MAX_TOKENS)


def long_prompt(seed, tokens=28):
    """Return a prompt whose response has at least the given tokens."""
    for number in range(seed * 1000, (seed + 1) * 1000):
        text = f'question {number}'
        message = conversation.Message('user', text)
        if reference.answer_length([message], MAX_TOKENS) >= tokens:
            return text
    raise AssertionError('no prompt with a long response found')


def restart(deployment, node):
    node.process.kill()
    node.process.start()
    deployments.wait_until(deployment.is_ready, 'restarted process')


def name_of(path):
    return f'red-clay/{path.rpartition("/")[2]}'


def engine_requests(deployment, name):
    return sum(deployment.engine_state(name)['requests'].values())


def path_owned_by(deployment, owner):
    """Return the path of a new program whose preferred owner is the entry."""
    entries = list(deployment.entries)
    while True:
        name = f'p-{uuid.uuid4().hex}'
        shard = identity.ProgramKey('red-clay', name).shard
        if shard_map.preferred_owner(shard, entries) == owner:
            return f'/v1/programs/{name}'


def has_preferred_owners(deployment):
    """Whether each shard is owned by the entry that hashing prefers."""
    stored = deployment.stored_object(shard_map.MAP_NAME)
    stored_map = shard_map.ShardMap.from_text(stored.version, stored.value)
    owners = tuple(a.owner for a in stored_map.assignments)
    return owners == shard_map.preferred_owners(list(deployment.entries))


def open_program_of(deployment, owner):
    """Open a program that a given entry owns."""
    path = path_owned_by(deployment, owner)
    body = {'class': 'booking', 'budget': BUDGET}
    status, response = send_request(
        deployment.entries[owner], 'PUT', path, body
    )
    assert status == 201, response
    return path


def read_to_completion(addresses, path, body, on_text, resumes=8):
    """Stream a response; after a disconnect, resume at the offset reached.

    :param on_text: called every few milliseconds with the text received so far
    :returns: the text and the number of times the stream was resumed
    """
    targets = itertools.cycle(addresses)
    part = stream(next(targets), 'PUT', path, body)
    text = ''
    for resumed in range(resumes):
        while not part.is_done:
            on_text(text + part.text)
            time.sleep(0.005)
        text += part.text
        if part.is_complete:
            return text, resumed
        part = stream(
            next(targets), 'GET', f'{path}?stream=1&offset={len(text)}'
        )
    raise AssertionError(
        f'stream not complete: {part.failure} {part.last_event}'
    )


def put_class(node, name, target_seconds=30, version=None):
    """Write a work class; return the status and the response body."""
    headers = {'authorization': f'Bearer {deployments.OPERATOR_TOKEN}'}
    if version is None:
        headers['if-none-match'] = '*'
    else:
        headers['if-match'] = str(version)
    return deployments.call(
        node.http, 'PUT', f'/admin/v1/classes/{name}',
        {'name': name, 'target_seconds': target_seconds}, headers,
    )  # fmt: skip
