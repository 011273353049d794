"""Digests that recognise a request when it comes again."""

import dataclasses
import hashlib

from magnoliawood.limits import crash_record
from magnoliawood_server.gateway import caller as callers
from magnoliawood_server.platform import requests

_DIGEST_SIZE_BYTES = 16
_ATTRIBUTE_DIGEST_SIZE_BYTES = 6
_PREFIX_SCOPE = 'prefix'
# Length of the beginning of a body that recognises a request whose body comes
# again with another length.
_PREFIX_SIZE_BYTES = 256


@dataclasses.dataclass(frozen=True, slots=True)
class Fingerprints:
    """Digests of one request.

    :param content: digest of what the caller sends again unchanged; equal
        for all callers that send the same
    :param caller: digests of what may recognise who sends it, and of what
        may be new each time: the address, the query, the program, the
        session, the affinity key and the previous turn
    :param prefix: digest of the beginning of the content, with its scope
    """

    content: str
    caller: crash_record.Caller
    prefix: str

    @property
    def names(self) -> tuple[str, str]:
        """Names under which crashes are recorded, the broadest first."""
        return self.prefix, self.content


def fingerprints_of(
    request: callers.CallerRequest, metadata: requests.RequestMetadata
) -> Fingerprints:
    """Return the digests of a request."""
    digest = hashlib.blake2b(digest_size=_DIGEST_SIZE_BYTES)
    for part in (request.method, request.path):
        digest.update(part.encode('latin-1') + b'\0')
    body = memoryview(request.body)
    digest.update(body[:_PREFIX_SIZE_BYTES])
    prefix = digest.hexdigest()
    digest.update(body[_PREFIX_SIZE_BYTES:])
    attributes = (
        request.address,
        request.query,
        metadata.program_id,
        metadata.session_id,
        metadata.affinity,
        metadata.previous_turn_id,
    )
    return Fingerprints(
        digest.hexdigest(),
        tuple(map(_attribute_digest, attributes)),
        f'{_PREFIX_SCOPE}{crash_record.SCOPE_SEPARATOR}{prefix}',
    )


def _attribute_digest(value: str) -> str:
    return hashlib.blake2b(
        value.encode('latin-1'), digest_size=_ATTRIBUTE_DIGEST_SIZE_BYTES
    ).hexdigest()
