"""From a request's id to what decided on it."""

import json

import typer.testing

from magnoliawood_cli import explanation
from magnoliawood_cli import main


def _line(second, host, message, **fields):
    entry = {
        'time': f'2026-12-03 10:00:{second:02d},000',
        'level': 'INFO',
        'name': 'module',
        'message': message,
        'role': 'gateway',
        'host': host,
        **fields,
    }
    return json.dumps(entry)


LINES = [
    _line(1, 'gw-1', 'store lost'),
    _line(9, 'gw-1', 'peer lost', peer='p'),
    _line(9, 'gw-2', 'peer lost', peer='other host'),
    '  10.0 gw-1 ' + _line(10, 'gw-1', 'attempt failed', request_id='r1'),
    _line(10, 'gw-1', 'served', request_id='r2'),
    'no JSON',
    _line(11, 'gw-1', 'request refused', request_id='r1', code='c'),
    _line(12, 'gw-1', 'peer regained', peer='p'),
]


def test_request_is_explained_with_the_changes_before_it(tmp_path):
    path = tmp_path / 'gw.log'
    path.write_text('\n'.join(reversed(LINES)))
    lines = explanation.read_lines([path])
    found = explanation.explain(lines, 'r1')
    assert [line.message for line in found] == [
        'peer lost',
        'attempt failed',
        'request refused',
    ]


def test_command_prints_the_lines(tmp_path):
    path = tmp_path / 'gw.log'
    path.write_text('\n'.join(LINES))
    runner = typer.testing.CliRunner()
    result = runner.invoke(main._cli, ['explain', 'r1', str(path)])
    assert result.exit_code == 0
    assert 'request refused' in result.output
    result = runner.invoke(main._cli, ['explain', 'r9', str(path)])
    assert result.exit_code != 0
    assert 'no line about r9' in result.output
