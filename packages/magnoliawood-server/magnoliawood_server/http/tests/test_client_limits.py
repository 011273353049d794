"""Tests of responses that have no end."""

import contextlib

import curio
import pytest

from magnoliawood_server.http import client as http_client

PART = b'x' * 65_536


async def endless(sent):
    """Yield parts of a response that never ends."""
    while True:
        sent.append(len(PART))
        yield PART


class EndlessExchange(http_client.Exchange):
    def __init__(self):
        self.sent = []

    def read_parts(self):
        return endless(self.sent)


# Guards against a server that sends bytes without end until this process has
# no memory.
def test_body_without_an_end_is_read_up_to_its_limit():
    exchange = EndlessExchange()
    with pytest.raises(http_client.ResponseTooLong):
        curio.run(exchange.read_body)
    assert sum(exchange.sent) <= http_client.BODY_LIMIT_BYTES + len(PART)


def test_event_without_an_end_is_read_up_to_its_limit():
    sent = []

    async def read():
        async with contextlib.aclosing(
            http_client.read_events(endless(sent))
        ) as events:
            return await anext(events)

    with pytest.raises(http_client.ResponseTooLong):
        curio.run(read)
    assert sum(sent) <= http_client.BODY_LIMIT_BYTES


def test_memory_is_taken_before_a_part_is_kept():
    exchange = EndlessExchange()
    taken = []

    def take(size):
        if len(taken) == 3:
            raise http_client.ResponseTooLong('none left')
        taken.append(size)

    with pytest.raises(http_client.ResponseTooLong, match='none left'):
        curio.run(exchange.read_body, take)
    assert taken == [len(PART)] * 3
