"""Digests that recognise a request when it comes again."""

import dataclasses
import hashlib

from magnoliawood.limits import crash_record
from magnoliawood_server.gateway import caller as callers
from magnoliawood_server.platform import requests

_DIGEST_SIZE_BYTES = 16
_ATTRIBUTE_DIGEST_SIZE_BYTES = 6


@dataclasses.dataclass(frozen=True, slots=True)
class Fingerprints:
    """Digests of one request.

    :param content: digest of what an upstream works on; equal for all
        callers that send the same
    :param caller: digests of what may recognise who sends it: its address,
        the query, the program, the session and the affinity key
    """

    content: str
    caller: crash_record.Caller


def fingerprints_of(
    request: callers.CallerRequest, metadata: requests.RequestMetadata
) -> Fingerprints:
    """Return the digests of a request."""
    content = hashlib.blake2b(digest_size=_DIGEST_SIZE_BYTES)
    for part in (request.method, request.path, metadata.previous_turn_id):
        content.update(part.encode('latin-1') + b'\0')
    content.update(request.body)
    attributes = (
        request.address,
        request.query,
        metadata.program_id,
        metadata.session_id,
        metadata.affinity,
    )
    return Fingerprints(
        content.hexdigest(), tuple(map(_attribute_digest, attributes))
    )


def _attribute_digest(value: str) -> str:
    return hashlib.blake2b(
        value.encode('latin-1'), digest_size=_ATTRIBUTE_DIGEST_SIZE_BYTES
    ).hexdigest()
