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


def directory(drained=frozenset()):
    made = sidecar_directory.SidecarDirectory(
        'entry-1', None, clocks.ManualClock(), lambda: drained
    )
    made.update_hosts(HOSTS)
    return made


def hear(made, *names):
    for name in names:
        sidecar = made.find(name)
        sidecar.reply = messages.HelloReply(
            name, 'run-1', 'dc-1', 'engine', ['model-a'], 0, False, 0, 0, 0
        )
        sidecar.is_reachable = True
    made.update_hosts(HOSTS)


def code_of(made, name):
    with pytest.raises(errors.MagnoliawoodError) as caught:
        made.candidates('engine', name)
    return caught.value.code


def test_nothing_is_unknown_before_every_sidecar_was_heard():
    made = directory()
    unavailable = errors.ErrorCode.UPSTREAM_UNAVAILABLE
    assert code_of(made, 'model-z') == unavailable
    hear(made, 'one', 'two')
    assert code_of(made, 'model-z') == unavailable
    hear(made, 'three')
    assert code_of(made, 'model-z') == errors.ErrorCode.UNKNOWN_MODEL


def test_drained_upstream_is_never_chosen():
    made = directory(frozenset({'one', 'two'}))
    hear(made, 'one', 'two', 'three')
    for last in ('one', 'two', 'three', ''):
        found = made.candidates('engine', 'model-a', 1, last)
        assert [sidecar.name for sidecar in found] == ['three']


def test_own_orders_are_added_to_the_load_that_came_with_an_answer():
    made = directory()
    hear(made, 'one')
    sidecar = made.find('one')
    sidecar.orders = 3
    sidecar.placed_tokens = 700
    sidecar.update_load(messages.UpstreamLoad(5, 900, 0.5, 0.1))
    # The answered call leaves, then two orders follow.
    sidecar.orders = 4
    view = sidecar_directory.view_of(sidecar)
    assert (view.waiting, view.resident_tokens) == (7, 900)


def test_a_leaving_sidecar_is_no_candidate():
    made = directory()
    hear(made, 'one', 'two', 'three')
    made.update_hosts(
        [dataclasses.replace(HOSTS[0], leaving=True), *HOSTS[1:]]
    )
    found = made.candidates('engine', 'model-a', 6, 'one')
    assert {sidecar.name for sidecar in found} == {'two', 'three'}
