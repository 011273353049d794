"""Headers of requests and responses, decoded once."""

import collections.abc
import dataclasses
import datetime

from magnoliawood.fleet import selection
from magnoliawood_server.platform import names

Headers = collections.abc.Iterable[tuple[bytes, bytes]]


@dataclasses.dataclass(frozen=True, slots=True)
class RequestMetadata:
    """What a caller says of its request.

    :param request_id: identity of this attempt; empty if it has none
    :param host: name that it asks for, without a port
    :param time_left: how long the caller waits
    :param program_time_left: when the whole program should be finished
    :param session_id: line of turns within the program
    :param budget_tokens: tokens of all turns of the program
    :param previous_turn_id: turn that this one continues from
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
    affinity: str
    parts: tuple[selection.PromptPart, ...]
    output_tokens: int


def decode_request_metadata(headers: Headers) -> RequestMetadata:
    """Return what the headers of a request say.

    Malformed values count as absent.
    """
    found = {name: value.decode('latin-1') for name, value in headers}

    def text(name: bytes) -> str:
        return found.get(name, '').strip()

    tokens = text(names.TOKENS).split(',')
    return RequestMetadata(
        request_id=text(names.REQUEST_ID),
        host=text(b'host').rsplit(':', 1)[0],
        time_left=_milliseconds(text(names.DEADLINE)),
        program_id=text(names.PROGRAM),
        session_id=text(names.SESSION_ID),
        program_time_left=_milliseconds(text(names.PROGRAM_TIME_LEFT)),
        budget_tokens=_whole(text(names.BUDGET)),
        previous_turn_id=text(names.PREVIOUS_TURN),
        last_event_id=_whole(text(names.LAST_EVENT_ID)),
        affinity=text(names.AFFINITY),
        parts=tuple(_parts(text(names.PROMPT_PARTS))),
        output_tokens=_whole(tokens[-1]) or 0,
    )


def upstream_headers(
    headers: Headers,
    incarnation: str,
    time_left: datetime.timedelta,
    last_event_id: int | None,
) -> list[tuple[bytes, bytes]]:
    """Return the headers with which a request goes to an upstream.

    :param incarnation: the only incarnation that may run the request
    :param last_event_id: event after which a stream goes on
    """
    sent = list(headers)
    dropped = names.HOP_BY_HOP | names.SYSTEM_ONLY | _connection_names(sent)
    dropped |= {names.DEADLINE, names.LAST_EVENT_ID}
    milliseconds = max(1, time_left // datetime.timedelta(milliseconds=1))
    own = [
        (names.EXPECTED_INCARNATION, incarnation.encode()),
        (names.DEADLINE, str(milliseconds).encode()),
    ]
    if last_event_id is not None:
        own.append((names.LAST_EVENT_ID, str(last_event_id).encode()))
    return [*(pair for pair in sent if pair[0] not in dropped), *own]


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamResponse:
    """Status and headers of an upstream's response.

    :param has_run: whether the request has run; a refusal has not
    :param is_signed: whether it bears the upstream's signature
    :param is_other_incarnation: whether another upstream has the address
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    has_run: bool
    is_signed: bool
    is_other_incarnation: bool
    is_stream: bool


_MISDIRECTED = 421


def decode_response_head(status: int, headers: Headers) -> UpstreamResponse:
    """Return what the head of an upstream's response says."""
    kept = [pair for pair in headers if pair[0] not in names.HOP_BY_HOP]
    found = dict(kept)
    is_other = status == _MISDIRECTED
    content_type = found.get(b'content-type', b'')
    return UpstreamResponse(
        status,
        tuple(kept),
        not is_other and names.NOT_RUN not in found,
        names.SIGNATURE in found,
        is_other,
        content_type.startswith(b'text/event-stream'),
    )


def refusal_headers(
    request_id: str, retry_after: datetime.timedelta | None
) -> list[tuple[bytes, bytes]]:
    """Return the headers of a response of the system's own."""
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


def _whole(text: str) -> int | None:
    return int(text) if text.isascii() and text.isdigit() else None


def _milliseconds(text: str) -> datetime.timedelta | None:
    number = _whole(text.split('.')[0])
    if number is None:
        return None
    try:
        return datetime.timedelta(milliseconds=number)
    except OverflowError:
        return None


def _parts(
    text: str,
) -> collections.abc.Iterator[selection.PromptPart]:
    for entry in text.split(','):
        name, _, tokens = entry.strip().partition(':')
        if name and (number := _whole(tokens)) is not None:
            yield selection.PromptPart(name, number)
