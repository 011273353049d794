"""Tests for the confirmation of the directory, without a store."""

import curio

from magnoliawood.core import clock as clocks
from magnoliawood_server.gateway import directory_check
from magnoliawood_server.platform import objects


class _Store:
    """Answers questions one after the other, once it is allowed to."""

    def __init__(self):
        self.questions = 0
        self.may_answer = curio.Event()
        self.failure = None

    async def watch(self, kind, revision, wait):
        self.questions += 1
        await self.may_answer.wait()
        if self.failure:
            raise self.failure
        return objects.Changes(('change',), revision + 1)


class _Watch:
    def __init__(self):
        self.revision = 7
        self.applied = []

    def apply_changes(self, changes):
        self.applied.append(changes)


def _check(store, watch):
    return directory_check.DirectoryCheck(store, watch, clocks.ManualClock())


def test_requests_that_wait_share_a_question_asked_after_they_came():
    store, watch = _Store(), _Watch()

    async def play():
        check = _check(store, watch)
        first = await curio.spawn(check.confirm)
        while not store.questions:
            await curio.sleep(0)
        others = [await curio.spawn(check.confirm) for _ in range(5)]
        await store.may_answer.set()
        return [await task.join() for task in [first, *others]]

    assert curio.run(play) == [True] * 6
    assert store.questions == 2
    assert len(watch.applied) == 2


def test_nothing_is_confirmed_without_an_answer():
    for failure in (
        objects.StoreUnavailable('down'),
        objects.HistoryCompacted(),
    ):
        store, watch = _Store(), _Watch()
        store.failure = failure

        async def play(store=store, watch=watch):
            await store.may_answer.set()
            return await _check(store, watch).confirm()

        assert not curio.run(play)
        assert not watch.applied
