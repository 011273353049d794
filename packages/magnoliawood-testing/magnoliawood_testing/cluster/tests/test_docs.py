"""Runs the shell commands of the documentation unchanged."""

import os
import pathlib
import re
import subprocess
import sys

import pytest

from magnoliawood.core import errors
from magnoliawood_testing import serve

ROOT = pathlib.Path(__file__).parents[5]
PAGES = [
    'README.md',
    'docs/quick-start.md',
    'docs/caller-api.md',
    'docs/admin-api.md',
    'docs/cli.md',
]
BLOCK = re.compile(r'^```sh\n(.*?)^```$', re.MULTILINE | re.DOTALL)
LINK = re.compile(r'\]\(([^)#:]+)\)')


@pytest.mark.parametrize('page', PAGES)
def test_commands_of_a_page_work(deployment, page):
    text = (ROOT / page).read_text(encoding='utf-8')
    blocks = BLOCK.findall(text)
    assert blocks
    # Bash replaces itself with the last command, which may look for its shell.
    script = '\n'.join([*blocks, 'exit $?'])
    binaries = pathlib.Path(sys.executable).parent
    completed = subprocess.run(
        ['bash', '-euo', 'pipefail', '-c', script],
        cwd=ROOT,
        env={
            **os.environ,
            **serve.environment(deployment),
            'PATH': f'{binaries}:{os.environ["PATH"]}',
        },
        capture_output=True,
        text=True,
        check=False,
    )
    assert completed.returncode == 0, completed.stdout + completed.stderr
    assert 'Traceback' not in completed.stderr


def test_links_between_pages_have_existing_targets():
    pages = [ROOT / 'README.md', *(ROOT / 'docs').rglob('*.md')]
    broken = [
        f'{page.relative_to(ROOT)}: {target}'
        for page in pages
        for target in LINK.findall(page.read_text(encoding='utf-8'))
        if not (page.parent / target).exists()
    ]
    assert not broken


def test_every_error_code_is_documented_with_its_status():
    text = (ROOT / 'docs' / 'errors.md').read_text(encoding='utf-8')
    rows = re.findall(r'^\| `(\w+)` \| (\d+) \|', text, re.MULTILINE)
    documented = {code: int(status) for code, status in rows}
    assert documented == {
        str(code): errors.MagnoliawoodError(code, '').status
        for code in errors.ErrorCode
    }
