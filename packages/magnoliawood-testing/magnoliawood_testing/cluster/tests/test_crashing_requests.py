"""Requests that crash each upstream that runs them, with real processes."""

import itertools
import json

import pytest

from magnoliawood_testing.cluster import hosted
from magnoliawood_testing.standins import signed_upstream

CRASH_BODY = signed_upstream.SignedUpstreamFaults().crash_body
CRASH_SESSION = signed_upstream.SignedUpstreamFaults().crash_session
PAGE_BODY = b'page'
# Number of upstreams that one request may crash before it is rejected.
MAX_CRASHES = 2
# Number of times that a caller sends the request.
SENDS = 6
_numbers = itertools.count(1)


def _send(deployment, gateway, path='/once/page', rest='', **headers):
    """Send the crashing request and restart the upstream that it crashed.

    :param rest: what follows in the body
    """
    request_id = f'crash-{next(_numbers)}'
    response = deployment.call(
        gateway, path, request_id, (CRASH_BODY + rest).encode(), **headers
    )
    deployment.restart_crashed_upstreams()
    return response.status


def _crashes(deployment):
    return sum(
        run.body.startswith(CRASH_BODY)
        for run in deployment.journals.all_runs()
    )


def _is_rejected_by_all(deployment):
    return all(
        _send(deployment, gateway) == 503
        for gateway in range(len(deployment.gateways))
    )


def _stored_quarantine(deployment):
    """Return the quarantined requests in the store."""
    listing = deployment.store('GET', '/objects/quarantined-requests')
    return json.loads(listing.body)['items']


def _restart_gateways(deployment):
    """Kill all gateways and start them again with what the store has."""
    for gateway in deployment.gateways:
        gateway.kill()
    for gateway in deployment.gateways:
        gateway.start()
    deployment.wait_until_ready()


# Guards against counting all crashes of one upstream once because it starts
# again under the id that it had.
def test_each_crash_of_an_upstream_that_keeps_its_id_counts():
    with hosted.HostedDeployment(gateways=1, upstreams=1) as deployment:
        for _ in range(SENDS):
            _send(deployment, 0)
        assert _crashes(deployment) <= MAX_CRASHES


# Guards against running a quarantined request again after all gateways, which
# keep crash records in memory, were restarted.
def test_quarantine_survives_a_restart_of_all_gateways():
    with hosted.HostedDeployment(upstreams=3) as deployment:
        deployment.wait_for(lambda: _is_rejected_by_all(deployment))
        deployment.wait_for(lambda: _stored_quarantine(deployment))
        crashes = _crashes(deployment)
        _restart_gateways(deployment)
        assert _is_rejected_by_all(deployment)
        assert _crashes(deployment) == crashes


# Guards against taking a request for another one because its program, session,
# affinity key or query differs, though path and body are the same.
@pytest.mark.parametrize(
    'changed',
    ['Program_Id', 'Session_Id', 'Affinity_Key', 'Previous_Turn', 'query'],
)
def test_crashing_request_is_recognised_by_path_and_body(changed):
    with hosted.HostedDeployment(gateways=1, upstreams=3) as deployment:
        for number in range(SENDS):
            if changed == 'query':
                _send(deployment, 0, f'/once/page?try={number}')
            else:
                _send(deployment, 0, **{changed: f'value-{number}'})
        assert _crashes(deployment) <= MAX_CRASHES


# Guards against a request of which more than one part changes each time, as in
# programs that send the same input after other turns or with a longer body.
def test_crashing_request_is_contained_if_all_that_may_change_does():
    with hosted.HostedDeployment(gateways=3, upstreams=4) as deployment:
        for number in range(3 * SENDS):
            name = f'value-{number}'
            _send(
                deployment,
                number % 3,
                f'/once/page?try={number}',
                'more' * (number % 2),
                Program_Id=name,
                Session_Id=name,
                Affinity_Key=name,
                Previous_Turn=name,
                Deadline_Ms=str(3000 + number),
            )
        assert _crashes(deployment) <= MAX_CRASHES


def _read_page(deployment, gateway, caller, path='/once/page'):
    """Read a page as a caller whose requests crash no upstream."""
    return deployment.call(
        gateway,
        path,
        f'read-{next(_numbers)}',
        PAGE_BODY,
        Program_Id=caller,
        Session_Id=caller,
        Affinity_Key=caller,
    ).status


def _crash_page(deployment, gateway, path='/once/page', **headers):
    """Send the page's request as a caller that crashes upstreams."""
    number = next(_numbers)
    response = deployment.call(
        gateway,
        f'{path}?try={number}',
        f'crash-{number}',
        PAGE_BODY,
        **{
            'Program_Id': f'program-{number}',
            'Session_Id': f'{CRASH_SESSION}-{number}',
            'Affinity_Key': f'key-{number}',
            **headers,
        },
    )
    deployment.restart_crashed_upstreams()
    return response.status


def _page_crashes(deployment):
    return sum(
        run.request_id.startswith('crash')
        for run in deployment.journals.all_runs()
    )


# Guards against sending a crashing request on without a bound because its
# content completed once and its caller looks like another one each time.
def test_completed_content_is_contained_while_its_caller_changes():
    with hosted.HostedDeployment(gateways=1, upstreams=3) as deployment:
        assert _read_page(deployment, 0, 'reader') == 200
        for _ in range(SENDS):
            _crash_page(deployment, 0)
        assert _page_crashes(deployment) <= MAX_CRASHES
        assert _read_page(deployment, 0, 'reader') == 200


# Guards against forgetting the crashes of one caller because another one reads
# the same page in between.
def test_completions_of_other_callers_do_not_clear_crashes():
    with hosted.HostedDeployment(gateways=1, upstreams=3) as deployment:
        for number in range(SENDS):
            _crash_page(deployment, 0)
            _read_page(deployment, 0, f'reader-{number}')
        assert _page_crashes(deployment) <= MAX_CRASHES


# Guards against withholding a page from everybody because one caller, who is
# recognised by its session, crashes upstreams under it.
def test_page_is_served_to_new_callers_if_the_crashing_one_is_recognised():
    with hosted.HostedDeployment(gateways=1, upstreams=3) as deployment:
        assert _read_page(deployment, 0, 'reader') == 200
        for _ in range(SENDS):
            _crash_page(deployment, 0, Session_Id=CRASH_SESSION)
        assert _page_crashes(deployment) <= MAX_CRASHES
        assert _read_page(deployment, 0, 'new-reader') == 200


# Guards against a retry in one request that hides what changes between two: it
# crashes two upstreams under the same caller.
def test_retried_request_for_completed_content_crashes_three_upstreams():
    with hosted.HostedDeployment(gateways=1, upstreams=3) as deployment:
        assert _read_page(deployment, 0, 'reader', '/safe/page') == 200
        for _ in range(SENDS):
            _crash_page(deployment, 0, '/safe/page')
        assert _page_crashes(deployment) <= MAX_CRASHES + 1
        assert _read_page(deployment, 0, 'reader', '/safe/page') == 200


# Guards against forgetting for whom a page was completed, or who crashed
# upstreams under it, after all gateways were restarted.
def test_callers_of_a_page_are_told_apart_after_a_restart_of_all_gateways():
    with hosted.HostedDeployment(upstreams=3) as deployment:
        gateways = range(len(deployment.gateways))
        assert {_read_page(deployment, at, 'reader') for at in gateways} == {
            200
        }
        deployment.wait_for(
            lambda: all(
                _crash_page(deployment, at, Session_Id=CRASH_SESSION) == 503
                for at in gateways
            )
        )
        deployment.wait_for(lambda: _stored_quarantine(deployment))
        _restart_gateways(deployment)
        crashes = _page_crashes(deployment)
        for at in gateways:
            status = _crash_page(deployment, at, Session_Id=CRASH_SESSION)
            assert status == 503
            assert _read_page(deployment, at, f'reader-{at}') == 200
        assert _page_crashes(deployment) == crashes
