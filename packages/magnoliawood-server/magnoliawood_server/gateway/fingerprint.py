"""Digests that recognise a request when it comes again."""

import dataclasses
import hashlib

from magnoliawood_server.gateway import caller as callers
from magnoliawood_server.platform import requests

_DIGEST_SIZE_BYTES = 16


@dataclasses.dataclass(frozen=True, slots=True)
class Fingerprints:
    """Digests of one request, equal for all its attempts.

    :param content: digest of what an upstream works on; equal for all
        callers that send the same
    :param caller: digest of the content and of who sends it
    """

    content: str
    caller: str


def fingerprints_of(
    request: callers.CallerRequest, metadata: requests.RequestMetadata
) -> Fingerprints:
    """Return the digests of a request."""
    content = _digest(
        request.method,
        request.path,
        metadata.previous_turn_id,
        body=request.body,
    )
    caller = _digest(
        content,
        request.target,
        metadata.program_id,
        metadata.session_id,
        metadata.affinity,
    )
    return Fingerprints(content, caller)


def _digest(*parts: str, body: bytes = b'') -> str:
    digest = hashlib.blake2b(digest_size=_DIGEST_SIZE_BYTES)
    for part in parts:
        digest.update(part.encode('latin-1') + b'\0')
    digest.update(body)
    return digest.hexdigest()
