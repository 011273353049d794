import curio
from curio import socket
import pytest

from magnoliawood.core import clock as clocks
from magnoliawood.core import errors
from magnoliawood.telemetry import registry as registries
from magnoliawood_server.peer import connection as connections
from magnoliawood_server.peer import control
from magnoliawood_server.peer import frame as frames
from magnoliawood_server.peer import handshake as handshakes
from magnoliawood_server.peer import messages
from magnoliawood_server.peer import pool as pools
from magnoliawood_server.runtime import listener
from magnoliawood_testing.cluster import process as processes

OLD = 'old-shared-secret'
NEW = 'new-shared-secret'


def make_handshake(*secrets):
    metrics = registries.Registry()
    peer_secrets = handshakes.PeerSecrets(secrets)
    return handshakes.Handshake(peer_secrets, metrics), metrics


async def echo(stream, message):
    await stream.send(message)


async def request(client, server):
    """Send a request from a pool to a listener and return the response.

    :param client: handshake of the pool
    :param server: handshake of the listener
    """
    clock = clocks.SystemClock()
    address = processes.free_address()
    task = await curio.spawn(
        listener.serve_peers, address, clock, echo, server, daemon=True
    )
    pool = pools.PeerPool(clock, client)
    try:
        return await pool.request(
            address,
            messages.Hello('entry-1'),
            handshakes.HANDSHAKE_TIMEOUT,
        )
    finally:
        await task.cancel()


@pytest.mark.parametrize(
    'client, server',
    [((OLD,), (OLD,)), ((OLD,), (NEW, OLD)), ((NEW, OLD), (NEW,))],
)
def test_peers_with_a_common_secret_connect(client, server):
    response = curio.run(
        request, make_handshake(*client)[0], make_handshake(*server)[0]
    )
    assert response == messages.Hello('entry-1')


def test_peer_with_another_secret_is_rejected_and_counted():
    server, metrics = make_handshake(NEW)
    with pytest.raises(connections.PeerLost):
        curio.run(request, make_handshake(OLD)[0], server)
    assert metrics.counter('peers_refused_total') == 1


async def send_to_server(*sent):
    """Send messages to a server instead of a handshake; return its error."""
    left, right = socket.socketpair()
    server, metrics = make_handshake(OLD)
    task = await curio.spawn(server.as_server, right)
    for message in sent:
        await left.sendall(frames.encode(frames.Frame(1, True, message)))
    await left.shutdown(socket.SHUT_WR)
    try:
        await task.join()
    except curio.TaskError as error:
        return error.__cause__
    return None


@pytest.mark.parametrize(
    'sent',
    [
        [],
        [messages.Hello('entry-1')],
        [control.Challenge(b'n' * 32, ['unknown'])],
        [control.Challenge(b'n' * 5000, ['unknown'])],
        [
            control.Challenge(
                b'n' * 32, handshakes.PeerSecrets([OLD]).key_ids
            ),
            control.Proof(b'p' * 32),
        ],
    ],
)
def test_handshake_without_a_valid_proof_is_rejected(sent):
    error = curio.run(send_to_server, *sent)
    assert error.code == errors.ErrorCode.UNAUTHENTICATED


def test_listener_without_the_secret_gets_no_proof():
    async def main():
        left, right = socket.socketpair()
        client, _ = make_handshake(OLD)
        task = await curio.spawn(client.as_client, left)
        await right.recv(4096)
        (key_id,) = handshakes.PeerSecrets([OLD]).key_ids
        forged = control.ChallengeReply(b'n' * 32, key_id, b'p' * 32)
        await right.sendall(frames.encode(frames.Frame(0, True, forged)))
        with pytest.raises(curio.TaskError) as caught:
            await task.join()
        await left.close()
        return caught.value.__cause__, await right.recv(4096)

    error, received = curio.run(main)
    assert error.code == errors.ErrorCode.UNAUTHENTICATED
    assert received == b''
