import dataclasses

import pytest

from magnoliawood.core import clock as clocks
from magnoliawood.core import errors
from magnoliawood.platform import store
from magnoliawood_server.entry import sidecar_directory
from magnoliawood_server.peer import messages

HOSTS = [
    store.Host(name, 'sidecar', '127.0.0.1:1', 'dc-1', False)
    for name in ('one', 'two', 'three')
]


def make_directory(drained=frozenset()):
    directory = sidecar_directory.SidecarDirectory(
        'entry-1', None, clocks.ManualClock(), lambda: drained
    )
    directory.update_hosts(HOSTS)
    return directory


def add_replies(directory, *names):
    for name in names:
        sidecar = directory.find(name)
        sidecar.reply = messages.HelloReply(
            name, 'run-1', 'dc-1', 'engine', ['model-a'], 0, False, 0, 0, 0
        )
        sidecar.is_reachable = True
    directory.update_hosts(HOSTS)


def code_of(directory, name):
    with pytest.raises(errors.MagnoliawoodError) as error_info:
        directory.candidates('engine', name)
    return error_info.value.code


def test_unknown_name_is_unavailable_until_every_sidecar_replied():
    directory = make_directory()
    unavailable = errors.ErrorCode.UPSTREAM_UNAVAILABLE
    assert code_of(directory, 'model-z') == unavailable
    add_replies(directory, 'one', 'two')
    assert code_of(directory, 'model-z') == unavailable
    add_replies(directory, 'three')
    assert code_of(directory, 'model-z') == errors.ErrorCode.UNKNOWN_MODEL


def test_drained_upstream_is_no_candidate():
    directory = make_directory(frozenset({'one', 'two'}))
    add_replies(directory, 'one', 'two', 'three')
    for last_upstream in ('one', 'two', 'three', ''):
        usable = directory.candidates('engine', 'model-a', 1, last_upstream)
        assert [sidecar.name for sidecar in usable] == ['three']


def test_calls_dispatched_after_a_load_report_are_added_to_it():
    directory = make_directory()
    add_replies(directory, 'one')
    sidecar = directory.find('one')
    sidecar.dispatched_calls = 3
    sidecar.placed_tokens = 700
    sidecar.update_load(messages.UpstreamLoad(5, 900, 0.5, 0.1))
    # The finished call is removed, then two further calls are dispatched.
    sidecar.dispatched_calls = 4
    view = sidecar_directory.view_of(sidecar)
    assert (view.waiting, view.resident_tokens) == (7, 900)


def test_leaving_sidecar_is_no_candidate():
    directory = make_directory()
    add_replies(directory, 'one', 'two', 'three')
    directory.update_hosts(
        [dataclasses.replace(HOSTS[0], leaving=True), *HOSTS[1:]]
    )
    usable = directory.candidates('engine', 'model-a', 6, 'one')
    assert {sidecar.name for sidecar in usable} == {'two', 'three'}
