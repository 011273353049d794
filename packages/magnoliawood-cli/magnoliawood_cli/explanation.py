"""Search of log files for the events that affected one request."""

import collections.abc
import dataclasses
import datetime
import json
import pathlib
import typing

# State changes up to this long before the first line of a request may have
# affected its handling.
CONTEXT_PERIOD = datetime.timedelta(seconds=3)
_TIME_FORMAT = '%Y-%m-%d %H:%M:%S,%f'
# Why requests of client accounts are refused, by the code of the error.
_CAUSES = {
    'unauthenticated': '401, no account holds the key at this gateway',
    'quota_exceeded': '429, the account sends more than its quota',
    'store_unavailable': '503, the configuration may be outdated',
}
_REQUEST_FIELD = 'request_id'
# Fields that every log line has; the other fields are printed as NAME=VALUE.
_COMMON_FIELDS = frozenset(
    {'time', 'level', 'name', 'message', 'role', 'host'}
)


@dataclasses.dataclass(frozen=True, slots=True)
class LogLine:
    """Line of a structured log.

    :param fields: fields that are not common to all lines, by name
    """

    time: datetime.datetime
    host: str
    message: str
    fields: dict[str, typing.Any]

    @property
    def request_id(self) -> str:
        """Identifier of the request; empty if the line concerns no request."""
        return str(self.fields.get(_REQUEST_FIELD, ''))

    @property
    def text(self) -> str:
        """The line in human-readable form.

        Examples
        ========

        >>> moment = datetime.datetime(2026, 12, 3, 10, 0, 0, 250_000)
        >>> LogLine(moment, 'gw-1', 'served', {'events': 4}).text
        '10:00:00.250 gw-1  served  events=4'
        """
        moment = self.time.strftime('%H:%M:%S.%f')[:-3]
        field_texts = ' '.join(
            f'{name}={value}' for name, value in self.fields.items()
        )
        return f'{moment} {self.host}  {self.message}  {field_texts}'


def parse_line(text: str) -> LogLine | None:
    """Return the parsed log line, or none if the text is not a log line.

    Any text before the JSON object is ignored.
    """
    start = text.find('{')
    try:
        record = json.loads(text[start:])
        moment = datetime.datetime.strptime(record['time'], _TIME_FORMAT)
        return LogLine(
            moment,
            str(record['host']),
            str(record['message']),
            {
                name: value
                for name, value in record.items()
                if name not in _COMMON_FIELDS
            },
        )
    except (ValueError, KeyError, TypeError):
        return None


def read_lines(
    paths: collections.abc.Iterable[pathlib.Path],
) -> list[LogLine]:
    """Return the lines of log files, sorted by time.

    :raises OSError: if a file cannot be read
    """
    lines = [
        line
        for path in paths
        for text in path.read_text(errors='replace').splitlines()
        if (line := parse_line(text)) is not None
    ]
    return sorted(lines, key=lambda line: line.time)


def cause_of(
    lines: collections.abc.Iterable[LogLine], request_id: str
) -> str | None:
    """Return in a sentence why a client account's request was refused.

    ``None`` if it was not, or for another reason than its key or its quota.
    """
    own = [line for line in lines if line.request_id == request_id]
    for line in reversed(own):
        cause = _CAUSES.get(str(line.fields.get('code', '')))
        if cause is not None:
            return (
                f'cause: {cause} (configuration '
                f'{line.fields.get("configuration")}): '
                f'{line.fields.get("reason")}'
            )
    return None


def explain(
    lines: collections.abc.Sequence[LogLine], request_id: str
) -> list[LogLine]:
    """Return the lines of a request and the state changes around it.

    Explanation
    ===========

    Lines without a request identifier record changes of the cluster view.
    Those of the hosts that handled the request, from
    :data:`CONTEXT_PERIOD` before its first line up to its last line, may
    have affected its handling.
    """
    request_lines = [line for line in lines if line.request_id == request_id]
    if not request_lines:
        return []
    hosts = {line.host for line in request_lines}
    begin = request_lines[0].time - CONTEXT_PERIOD
    return [
        line
        for line in lines
        if line in request_lines
        or (
            not line.request_id
            and line.host in hosts
            and begin <= line.time <= request_lines[-1].time
        )
    ]
