"""Operations on the h11 state of the server side of a connection."""

import collections.abc

import h11

from magnoliawood_server.http import connection as connections

Receive = collections.abc.Callable[[], collections.abc.Awaitable[bytes]]
Send = collections.abc.Callable[[h11.Event], collections.abc.Awaitable[None]]


async def next_event(
    machine: h11.Connection, receive: Receive, send: Send
) -> connections.Event:
    """Return the next event of a request; read more data if needed.

    :param receive: reads some bytes; returns none at the end of the stream
    :param send: sends ``100 Continue`` to a client that waits for it
    :raises h11.RemoteProtocolError: if the client sent an invalid request
    """
    while True:
        event = machine.next_event()
        if event is not h11.NEED_DATA:
            return event
        if machine.they_are_waiting_for_100_continue:
            await send(h11.InformationalResponse(status_code=100, headers=[]))
        machine.receive_data(await receive())


def start_next_cycle(machine: h11.Connection) -> bool:
    """Prepare for the next request if the exchange is complete.

    :returns: whether the connection can serve another request
    """
    if machine.our_state is not h11.DONE:
        return False
    if machine.their_state is not h11.DONE:
        return False
    machine.start_next_cycle()
    return True
