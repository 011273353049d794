"""Finds in log files what decided on one request."""

import collections.abc
import dataclasses
import datetime
import json
import pathlib
import typing

# Changes of belief this long before a request may have decided on it.
CONTEXT = datetime.timedelta(seconds=3)
_TIME_FORMAT = '%Y-%m-%d %H:%M:%S,%f'
_REQUEST_FIELD = 'request_id'
# What each line has and what the explanation prints in columns.
_COMMON_FIELDS = frozenset(
    {'time', 'level', 'name', 'message', 'role', 'host'}
)


@dataclasses.dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a structured log.

    :param fields: everything else that it says
    """

    time: datetime.datetime
    host: str
    message: str
    fields: dict[str, typing.Any]

    @property
    def request_id(self) -> str:
        """The request that it is about; empty if about none."""
        return str(self.fields.get(_REQUEST_FIELD, ''))

    @property
    def text(self) -> str:
        """The line for a person.

        Examples
        ========

        >>> moment = datetime.datetime(2026, 12, 3, 10, 0, 0, 250_000)
        >>> LogLine(moment, 'gw-1', 'served', {'events': 4}).text
        '10:00:00.250 gw-1  served  events=4'
        """
        moment = self.time.strftime('%H:%M:%S.%f')[:-3]
        said = ' '.join(
            f'{name}={value}' for name, value in self.fields.items()
        )
        return f'{moment} {self.host}  {self.message}  {said}'


def parse_line(text: str) -> LogLine | None:
    """Return a line, or nothing if the text holds none.

    Whatever stands in front of the JSON object is passed over.
    """
    start = text.find('{')
    try:
        found = json.loads(text[start:])
        moment = datetime.datetime.strptime(found['time'], _TIME_FORMAT)
        return LogLine(
            moment,
            str(found['host']),
            str(found['message']),
            {
                name: value
                for name, value in found.items()
                if name not in _COMMON_FIELDS
            },
        )
    except (ValueError, KeyError, TypeError):
        return None


def read_lines(
    paths: collections.abc.Iterable[pathlib.Path],
) -> list[LogLine]:
    """Return the lines of log files in the order of their times.

    :raises OSError: if a file can't be read
    """
    found = [
        line
        for path in paths
        for text in path.read_text(errors='replace').splitlines()
        if (line := parse_line(text)) is not None
    ]
    return sorted(found, key=lambda line: line.time)


def explain(
    lines: collections.abc.Sequence[LogLine], request_id: str
) -> list[LogLine]:
    """Return the lines about a request and the changes around it.

    Explanation
    ===========

    Lines that are about no request are changes of belief; those of the
    hosts that handled the request, from :data:`CONTEXT` before its first
    line up to its last one, are what may have decided on it.
    """
    own = [line for line in lines if line.request_id == request_id]
    if not own:
        return []
    hosts = {line.host for line in own}
    begin = own[0].time - CONTEXT
    return [
        line
        for line in lines
        if line in own
        or (
            not line.request_id
            and line.host in hosts
            and begin <= line.time <= own[-1].time
        )
    ]
