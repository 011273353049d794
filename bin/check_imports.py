"""Check that the decision package stays free of sockets and transports."""

import ast
import pathlib
import sys

PACKAGE = pathlib.Path(__file__).parents[1] / 'packages' / 'magnoliawood'
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


def main() -> None:
    """Print the faults and exit with 1 if there are any."""
    faults = find_faults(PACKAGE)
    for fault in faults:
        print(fault)
    sys.exit(bool(faults))


if __name__ == '__main__':
    main()
