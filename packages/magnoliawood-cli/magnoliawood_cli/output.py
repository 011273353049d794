"""Output of results as a table or as JSON."""

import enum
import json
import typing

Row = dict[str, typing.Any]


class OutputFormat(enum.StrEnum):
    """Format in which results are printed."""

    TABLE = 'table'
    JSON = 'json'


def write(value: typing.Any, columns: list[str], output: OutputFormat) -> None:
    """Print a result.

    :param value: one row, or a list of rows under ``items``
    :param columns: fields of a row that the table shows
    """
    if output is OutputFormat.JSON:
        print(json.dumps(value, indent=2))
        return
    rows = value.get('items', [value])
    for line in table_lines(rows, columns):
        print(line)
    for name in value.get('malformed', []):
        print(f'malformed object in the store: {name}')
    for name, reason in value.get('missing_entries', {}).items():
        print(f'no response from {name}: {reason}')
    if value.get('next'):
        print(f'next page: --after {value["next"]}')


def table_lines(rows: list[Row], columns: list[str]) -> list[str]:
    """Return the lines of a table, starting with the header.

    Examples
    ========

    >>> rows = [{'name': 'alerts', 'target_seconds': 2.0}]
    >>> for line in table_lines(rows, ['name', 'target_seconds']):
    ...     print(line)
    NAME    TARGET_SECONDS
    alerts  2
    """
    cells = [
        [column.upper() for column in columns],
        *([_text(row.get(column)) for column in columns] for row in rows),
    ]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    return [
        '  '.join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in cells
    ]


def _text(value: typing.Any) -> str:
    match value:
        case None | '':
            return '-'
        case bool():
            return 'yes' if value else 'no'
        case float():
            return f'{value:g}'
        case list():
            return ','.join(map(_text, value)) or '-'
        case dict():
            return ' '.join(f'{key}={_text(v)}' for key, v in value.items())
    return str(value)
