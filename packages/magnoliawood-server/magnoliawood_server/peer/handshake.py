"""Mutual authentication of peers by a shared secret."""

import collections.abc
import datetime
import hashlib
import hmac
import secrets as random_secrets
import typing

import curio

from magnoliawood.core import errors
from magnoliawood.telemetry import registry as registries
from magnoliawood_server.peer import control
from magnoliawood_server.peer import frame as frames

HANDSHAKE_TIMEOUT = datetime.timedelta(seconds=2)
MESSAGE_LIMIT_BYTES = 4096
_NONCE_SIZE_BYTES = 32
_KEY_ID_LABEL = b'magnoliawood key id'
_CLIENT_LABEL = b'magnoliawood client'
_SERVER_LABEL = b'magnoliawood server'

Message = typing.TypeVar('Message')


class PeerSecrets:
    """Secrets that all processes of a deployment share.

    Explanation
    ===========

    While a secret is being rotated, a process has more than one. It accepts
    any of them, so that processes with the old and with the new
    configuration can still connect to each other.

    Examples
    ========

    >>> old = PeerSecrets(['first-shared-secret'])
    >>> both = PeerSecrets(['second-shared-secret', 'first-shared-secret'])
    >>> both.find_common(old.key_ids) == old.key_ids[0]
    True
    """

    def __init__(self, values: collections.abc.Iterable[str]) -> None:
        self._keys = {
            _digest(value.encode(), _KEY_ID_LABEL).hex()[:16]: value.encode()
            for value in values
        }

    @property
    def key_ids(self) -> list[str]:
        """Public identifiers of the secrets, in the configured order."""
        return list(self._keys)

    def find_common(self, key_ids: list[str]) -> str:
        """Return the first of the peer's key ids that this process has too.

        :raises MagnoliawoodError: with ``unauthenticated``
        """
        for key_id in key_ids:
            if key_id in self._keys:
                return key_id
        raise _refusal('the peer shares no secret with this process')

    def prove(self, key_id: str, label: bytes, nonces: bytes) -> bytes:
        """Return the proof that this process has a secret.

        :param key_id: identifier of the secret
        :param label: label of the role, client or server
        :param nonces: nonce of the client followed by that of the server
        """
        return _digest(self._keys[key_id], label + nonces)


class Handshake:
    """Authenticates both ends of a new connection to each other.

    Explanation
    ===========

    The handshake is a challenge-response exchange with HMAC-SHA256. Each
    side sends a nonce and an HMAC of both nonces, keyed with the shared
    secret. The HMAC includes a label that differs between client and
    server, which prevents reflection attacks.

    See Also
    ========

    docs/design/20-peer-authentication.md
    """

    def __init__(
        self, secrets: PeerSecrets, metrics: registries.Registry
    ) -> None:
        self._secrets = secrets
        self._metrics = metrics

    async def as_client(self, sock: curio.io.Socket) -> None:
        """Run the handshake as the side that connected.

        :raises MagnoliawoodError: with ``unauthenticated``
        """
        await self._run(self._prove_as_client, sock)

    async def as_server(self, sock: curio.io.Socket) -> None:
        """Run the handshake as the side that accepted the connection.

        :raises MagnoliawoodError: with ``unauthenticated``
        """
        try:
            await self._run(self._prove_as_server, sock)
        except errors.MagnoliawoodError:
            self._metrics.count('peers_refused_total')
            raise

    async def _run(
        self,
        exchange: collections.abc.Callable[
            [curio.io.Socket], collections.abc.Awaitable[None]
        ],
        sock: curio.io.Socket,
    ) -> None:
        try:
            async with curio.timeout_after(HANDSHAKE_TIMEOUT.total_seconds()):
                await exchange(sock)
        except curio.TaskTimeout:
            raise _refusal(
                'the peer did not complete the handshake in time'
            ) from None
        except (OSError, EOFError) as error:
            raise _refusal(
                f'connection lost during the handshake: {error}'
            ) from error

    async def _prove_as_client(self, sock: curio.io.Socket) -> None:
        own_nonce = random_secrets.token_bytes(_NONCE_SIZE_BYTES)
        key_ids = self._secrets.key_ids
        await _send(sock, control.Challenge(own_nonce, key_ids))
        reply = await _receive(sock, control.ChallengeReply)
        if reply.key_id not in key_ids:
            raise _refusal('the peer selected an unknown secret')
        nonces = own_nonce + reply.nonce
        self._check_proof(reply.key_id, _SERVER_LABEL, nonces, reply.proof)
        proof = self._secrets.prove(reply.key_id, _CLIENT_LABEL, nonces)
        await _send(sock, control.Proof(proof))

    async def _prove_as_server(self, sock: curio.io.Socket) -> None:
        challenge = await _receive(sock, control.Challenge)
        key_id = self._secrets.find_common(challenge.key_ids)
        own_nonce = random_secrets.token_bytes(_NONCE_SIZE_BYTES)
        nonces = challenge.nonce + own_nonce
        proof = self._secrets.prove(key_id, _SERVER_LABEL, nonces)
        await _send(sock, control.ChallengeReply(own_nonce, key_id, proof))
        reply = await _receive(sock, control.Proof)
        self._check_proof(key_id, _CLIENT_LABEL, nonces, reply.proof)

    def _check_proof(
        self, key_id: str, label: bytes, nonces: bytes, proof: bytes
    ) -> None:
        expected = self._secrets.prove(key_id, label, nonces)
        if not hmac.compare_digest(expected, proof):
            raise _refusal('the proof of the peer is invalid')


async def _send(sock: curio.io.Socket, message: typing.Any) -> None:
    await sock.sendall(frames.encode(frames.Frame(0, True, message)))


async def _receive(
    sock: curio.io.Socket, message_type: type[Message]
) -> Message:
    prefix = await _read_exactly(sock, frames.PREFIX_SIZE_BYTES)
    size = frames.body_length(prefix)
    if size > MESSAGE_LIMIT_BYTES:
        raise _refusal(f'handshake message of {size} bytes is too large')
    message = frames.decode(await _read_exactly(sock, size)).message
    if not isinstance(message, message_type):
        raise _refusal(f'unexpected {type(message).__name__} in the handshake')
    return message


async def _read_exactly(sock: curio.io.Socket, size: int) -> bytes:
    data = bytearray()
    while len(data) < size:
        part = await sock.recv(size - len(data))
        if not part:
            raise EOFError('closed by the peer')
        data += part
    return bytes(data)


def _digest(key: bytes, text: bytes) -> bytes:
    return hmac.digest(key, text, hashlib.sha256)


def _refusal(detail: str) -> errors.MagnoliawoodError:
    return errors.MagnoliawoodError(errors.ErrorCode.UNAUTHENTICATED, detail)
