"""Check the imports of packages and the use of the platform's names.

The package ``magnoliawood``, which makes the decisions, must not import
sockets or transports. The names of the users' platform may occur in the
platform package only.
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
_NAME_PATTERN = re.compile(r'^(/?[a-z]+(-[a-z]+)+|/[a-z]+)$')
# Standard headers, and a path that the product's own interface has as well.
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
# These modules use only status codes and the system clock, no transport.
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


def find_forbidden_imports(package: pathlib.Path) -> list[str]:
    """Return a message for each forbidden import in a package folder."""
    return [
        f'{path.relative_to(package)}: forbidden import {name}'
        for path in sorted(package.rglob('*.py'))
        for name in sorted(imported_modules(path) & FORBIDDEN)
        if (path.name, name) not in ALLOWED
    ]


def platform_names() -> set[str]:
    """Return the headers and paths that only the platform package may name."""
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
        if _NAME_PATTERN.match(text) and text not in STANDARD_NAMES
    }


def find_names_in_module(path: pathlib.Path, names: set[str]) -> list[str]:
    """Return a message for each of the platform's names in a module."""
    tree = ast.parse(path.read_text(encoding='utf-8'))
    texts = {
        node.value.decode('latin-1')
        if isinstance(node.value, bytes)
        else node.value
        for node in ast.walk(tree)
        if isinstance(node, ast.Constant)
        and isinstance(node.value, str | bytes)
    }
    return [
        f"{path.name}: contains the platform's name {name}"
        for name in sorted({text.lower() for text in texts} & names)
    ]


def find_platform_names() -> list[str]:
    """Return a message for each platform name outside its package."""
    names = platform_names()
    return [
        message
        for package in (PACKAGE, SERVER_PACKAGE)
        for path in sorted(package.rglob('*.py'))
        if path.parent != PLATFORM_NAMES.parent and 'tests' not in path.parts
        for message in find_names_in_module(path, names)
    ]


def main() -> None:
    """Print the violations and exit with 1 if there are any."""
    violations = find_forbidden_imports(PACKAGE) + find_platform_names()
    for violation in violations:
        print(violation)
    sys.exit(bool(violations))


if __name__ == '__main__':
    main()
