"""Check what packages may import, and where the platform's names stand.

The decision package stays free of sockets and transports. The names of the
users' platform are written in one package only.
"""

import ast
import pathlib
import re
import sys

PACKAGE = pathlib.Path(__file__).parents[1] / 'packages' / 'magnoliawood'
SERVER_PACKAGE = PACKAGE.parent / 'magnoliawood-server'
PLATFORM_NAMES = (
    SERVER_PACKAGE / 'magnoliawood_server' / 'platform' / 'names.py'
)
_SPELLED_NAME = re.compile(r'^(/?[a-z]+(-[a-z]+)+|/[a-z]+)$')
# Standard headers, and a path that the product's own interface has too.
STANDARD_NAMES = frozenset(
    {
        '/readyz',
        'content-length',
        'keep-alive',
        'last-event-id',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'retry-after',
        'transfer-encoding',
    }
)
FORBIDDEN = frozenset(
    {
        'asyncio',
        'curio',
        'h11',
        'http',
        'magnoliawood_cli',
        'magnoliawood_server',
        'magnoliawood_testing',
        'selectors',
        'socket',
        'ssl',
        'subprocess',
        'threading',
        'time',
    }
)
# Statuses and the system clock are values, not transports.
ALLOWED = frozenset({('errors.py', 'http'), ('clock.py', 'time')})


def imported_modules(path: pathlib.Path) -> set[str]:
    """Return the top-level names of the modules that a file imports."""
    tree = ast.parse(path.read_text(encoding='utf-8'))
    names = set()
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            names |= {alias.name.split('.')[0] for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module:
            names.add(node.module.split('.')[0])
    return names


def find_faults(package: pathlib.Path) -> list[str]:
    """Return a line for each forbidden import below a folder."""
    return [
        f'{path.relative_to(package)}: imports {name}'
        for path in sorted(package.rglob('*.py'))
        for name in sorted(imported_modules(path) & FORBIDDEN)
        if (path.name, name) not in ALLOWED
    ]


def platform_names() -> set[str]:
    """Return the headers and paths that only the platform package knows."""
    tree = ast.parse(PLATFORM_NAMES.read_text(encoding='utf-8'))
    texts = {
        node.value.decode() if isinstance(node.value, bytes) else node.value
        for node in ast.walk(tree)
        if isinstance(node, ast.Constant)
        and isinstance(node.value, str | bytes)
    }
    return {
        text
        for text in texts
        if _SPELLED_NAME.match(text) and text not in STANDARD_NAMES
    }


def find_names(path: pathlib.Path, names: set[str]) -> list[str]:
    """Return a line for each of the platform's names in a module."""
    tree = ast.parse(path.read_text(encoding='utf-8'))
    found = {
        node.value.decode('latin-1')
        if isinstance(node.value, bytes)
        else node.value
        for node in ast.walk(tree)
        if isinstance(node, ast.Constant)
        and isinstance(node.value, str | bytes)
    }
    return [
        f"{path.name}: writes the platform's {name}"
        for name in sorted({text.lower() for text in found} & names)
    ]


def find_platform_names() -> list[str]:
    """Return a line for each of the platform's names outside its package."""
    names = platform_names()
    return [
        fault
        for package in (PACKAGE, SERVER_PACKAGE)
        for path in sorted(package.rglob('*.py'))
        if path.parent != PLATFORM_NAMES.parent and 'tests' not in path.parts
        for fault in find_names(path, names)
    ]


def main() -> None:
    """Print the faults and exit with 1 if there are any."""
    faults = find_faults(PACKAGE) + find_platform_names()
    for fault in faults:
        print(fault)
    sys.exit(bool(faults))


if __name__ == '__main__':
    main()
