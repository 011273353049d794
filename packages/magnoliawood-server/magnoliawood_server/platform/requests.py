"""Decoding and encoding of the headers of requests and responses."""

import collections.abc
import dataclasses
import datetime
import functools
import re

from magnoliawood.accounts import authentication
from magnoliawood.accounts import client_account
from magnoliawood.budgets import names as client_names
from magnoliawood.fleet import prompt_cache
from magnoliawood_server.platform import names

Headers = collections.abc.Iterable[tuple[bytes, bytes]]

_NOT_FORWARDED = (
    names.HOP_BY_HOP
    | names.SYSTEM_ONLY
    | {names.DEADLINE, names.LAST_EVENT_ID}
)
_NOT_FORWARDED_WITH_ACCOUNTS = _NOT_FORWARDED | {names.KEY, names.ACCOUNT}
# The parts of a prompt come again with each turn of a program.
_MAX_REMEMBERED_PARTS = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class RequestMetadata:
    """Metadata of a request, as its caller states it.

    Names that are remembered after the request have a limited length.

    :param request_id: identity of this attempt; empty if not given
    :param host: requested host name, without the port
    :param time_left: time for which the caller waits
    :param program_time_left: time until the whole program should finish
    :param session_id: session within the program, a sequence of turns
    :param budget_tokens: limit on the tokens of all turns of the program
    :param previous_turn_id: turn that this one continues
    :param resumed_id: request that began the stream that this one takes up
    :param parts: parts of the prompt, with their numbers of tokens
    :param output_tokens: maximum number of generated tokens; 0 if not given
    :param expected_tokens: estimated number of generated tokens, at most
        ``output_tokens``
    :param key_digest: digest of the key of a client account; empty if the
        request has none
    """

    request_id: str
    host: str
    time_left: datetime.timedelta | None
    program_id: str
    session_id: str
    program_time_left: datetime.timedelta | None
    budget_tokens: int | None
    previous_turn_id: str
    last_event_id: int | None
    resumed_id: str
    affinity: str
    parts: tuple[prompt_cache.PromptPart, ...]
    output_tokens: int
    expected_tokens: int
    key_digest: bytes = b''


def decode_request_metadata(headers: Headers) -> RequestMetadata:
    """Return the metadata in the headers of a request.

    Malformed values are treated as absent.
    """
    values = dict(headers)

    def text(name: bytes) -> str:
        value = values.get(name)
        return '' if value is None else value.decode('latin-1').strip()

    tokens = text(names.TOKENS).split(',')
    output_tokens = _decode_integer(tokens[-1]) or 0
    hint = _decode_integer(text(names.LENGTH_HINT))
    return RequestMetadata(
        request_id=text(names.REQUEST_ID),
        host=text(b'host').rsplit(':', 1)[0],
        time_left=_decode_milliseconds(text(names.DEADLINE)),
        program_id=client_names.bounded(text(names.PROGRAM)),
        session_id=client_names.bounded(text(names.SESSION_ID)),
        program_time_left=_decode_milliseconds(text(names.PROGRAM_TIME_LEFT)),
        budget_tokens=_decode_integer(text(names.BUDGET)),
        previous_turn_id=text(names.PREVIOUS_TURN),
        last_event_id=_decode_integer(text(names.LAST_EVENT_ID)),
        resumed_id=text(names.RESUMED),
        affinity=client_names.bounded(text(names.AFFINITY)),
        parts=_decode_prompt_parts(text(names.PROMPT_PARTS)),
        output_tokens=output_tokens,
        expected_tokens=min(hint or output_tokens, output_tokens),
        key_digest=_key_digest(text(names.KEY)),
    )


def upstream_headers(
    headers: Headers,
    incarnation: str,
    time_left: datetime.timedelta,
    last_event_id: int | None,
    identity: authentication.Identity | None = None,
) -> list[tuple[bytes, bytes]]:
    """Return the headers of a request that is forwarded to an upstream.

    :param incarnation: the only incarnation that may run the request
    :param last_event_id: event after which the stream resumes
    :param identity: who sent the request; the key is not forwarded then
    """
    received = list(headers)
    dropped = _NOT_FORWARDED
    if identity is not None:
        dropped = _NOT_FORWARDED_WITH_ACCOUNTS
    if connection_names := _connection_names(received):
        dropped |= connection_names
    milliseconds = max(1, time_left // datetime.timedelta(milliseconds=1))
    added = [
        (names.EXPECTED_INCARNATION, incarnation.encode()),
        (names.DEADLINE, str(milliseconds).encode()),
    ]
    if last_event_id is not None:
        added.append((names.LAST_EVENT_ID, str(last_event_id).encode()))
    if identity is not None and identity.name:
        added.append((names.ACCOUNT, identity.name.encode()))
    return [*(pair for pair in received if pair[0] not in dropped), *added]


@dataclasses.dataclass(frozen=True, slots=True)
class RateLimit:
    """What a response says about the rate limit of its upstream.

    :param text: the limit as stated; ``None`` if the response states none
    :param rate: requests per second from all gateways together; ``None`` if
        the response states none or one that is no decimal number
    """

    text: str | None = None
    rate: float | None = None

    @property
    def is_malformed(self) -> bool:
        """Whether a limit is stated that is no decimal number."""
        return self.text is not None and self.rate is None


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamResponse:
    """Status and headers of an upstream's response.

    :param has_run: whether the request has run; a refused one has not
    :param is_signed: whether it carries the upstream's signature
    :param is_encoded: whether its body is not as the upstream made it
    :param is_other_incarnation: whether another upstream now has the address
    :param is_leaving: whether the upstream announces that it is leaving
    :param limit: what it says about its rate limit
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    has_run: bool
    is_signed: bool
    is_encoded: bool
    is_other_incarnation: bool
    is_stream: bool
    is_leaving: bool
    limit: RateLimit


_NO_RATE_LIMIT = RateLimit()
# Greater limits, in requests per second, are the same as this one.
MAX_RATE = 1e6
_DECIMAL = re.compile(r'[0-9]+(\.[0-9]*)?|\.[0-9]+')
_MISDIRECTED_STATUS = 421
# Such a response has no body, so it is no stream whatever its type.
_NO_CONTENT_STATUS = 204
_STREAM_TYPE = b'text/event-stream'
_TRUE = b'1'


def decode_response_head(status: int, headers: Headers) -> UpstreamResponse:
    """Return an upstream's response from its status and headers."""
    forwarded = [pair for pair in headers if pair[0] not in names.HOP_BY_HOP]
    values = dict(forwarded)
    is_misdirected = status == _MISDIRECTED_STATUS
    content_type = values.get(b'content-type', b'')
    return UpstreamResponse(
        status,
        tuple(forwarded),
        not is_misdirected and names.NOT_RUN not in values,
        names.SIGNATURE in values,
        names.ENCODING in values,
        is_misdirected,
        _is_stream(status, content_type),
        _is_leaving(values),
        _decode_rate_limit(values),
    )


def _is_stream(status: int, content_type: bytes) -> bool:
    media_type = content_type.partition(b';')[0].strip().lower()
    return media_type == _STREAM_TYPE and status != _NO_CONTENT_STATUS


def is_leaving(headers: Headers) -> bool:
    """Return whether headers or trailers announce that a sender leaves."""
    return _is_leaving(dict(headers))


def _is_leaving(values: collections.abc.Mapping[bytes, bytes]) -> bool:
    return values.get(names.LEAVING, b'').strip() == _TRUE


def decode_rate_limit(headers: Headers) -> RateLimit:
    """Return the rate limit in the headers or trailers of a response.

    Examples
    ========

    >>> decode_rate_limit([(b'server-limit', b'4.9')]).rate
    4.9
    >>> decode_rate_limit([(b'server-limit', b'1e3')]).is_malformed
    True
    """
    return _decode_rate_limit(dict(headers))


def _decode_rate_limit(
    values: collections.abc.Mapping[bytes, bytes],
) -> RateLimit:
    value = values.get(names.RATE_LIMIT)
    if value is None:
        return _NO_RATE_LIMIT
    text = value.decode('latin-1').strip()
    if not _DECIMAL.fullmatch(text):
        return RateLimit(text)
    return RateLimit(text, min(float(text), MAX_RATE))


def refusal_headers(
    request_id: str, retry_after: datetime.timedelta | None
) -> list[tuple[bytes, bytes]]:
    """Return the headers of a rejection that the system itself sends."""
    headers = []
    if request_id:
        headers.append((names.REQUEST_ID, request_id.encode('latin-1')))
    if retry_after is not None:
        seconds = f'{retry_after.total_seconds():.3f}'
        headers.append((names.RETRY_AFTER, seconds.encode()))
    return headers


def _connection_names(headers: Headers) -> frozenset[bytes]:
    return frozenset(
        name.strip().lower()
        for key, value in headers
        if key == b'connection'
        for name in value.split(b',')
    )


def _key_digest(credentials: str) -> bytes:
    """Return the digest of a key; empty if there is no key."""
    scheme, _, key = credentials.partition(' ')
    if scheme.lower() != names.KEY_SCHEME or not key.strip():
        return b''
    return client_account.digest_of_key(key.strip().encode('latin-1'))


def _decode_integer(text: str) -> int | None:
    return int(text) if text.isascii() and text.isdigit() else None


def _decode_milliseconds(text: str) -> datetime.timedelta | None:
    number = _decode_integer(text.split('.')[0])
    if number is None:
        return None
    try:
        return datetime.timedelta(milliseconds=number)
    except OverflowError:
        return None


def _decode_prompt_parts(text: str) -> tuple[prompt_cache.PromptPart, ...]:
    if not text:
        return ()
    parts = (
        _decode_known_prompt_part(entry)
        if len(entry) <= client_names.MAX_LENGTH
        else _decode_prompt_part(entry)
        for entry in text.split(',')
    )
    return tuple(part for part in parts if part is not None)


@functools.lru_cache(maxsize=_MAX_REMEMBERED_PARTS)
def _decode_known_prompt_part(entry: str) -> prompt_cache.PromptPart | None:
    return _decode_prompt_part(entry)


def _decode_prompt_part(entry: str) -> prompt_cache.PromptPart | None:
    name, _, tokens = entry.strip().partition(':')
    number = _decode_integer(tokens)
    if not name or number is None:
        return None
    return prompt_cache.PromptPart(client_names.bounded(name), number)
