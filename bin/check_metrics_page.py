"""Check that docs/metrics.md and the code name the same metrics."""

import ast
import collections.abc
import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).parents[1]
PAGE = ROOT / 'docs' / 'metrics.md'
SOURCES = ('magnoliawood', 'magnoliawood-server')
_METHODS = frozenset({'count', 'gauge', 'record', 'set_gauge'})
_METRIC = re.compile(r'^[a-z]+(_[a-z]+)*$')
_ROW = re.compile(r'^\| `([a-z_]+)` \|', re.MULTILINE)


def metrics_of_module(tree: ast.AST) -> collections.abc.Iterator[str]:
    """Yield the names of the metrics that a module records."""
    for node in ast.walk(tree):
        if not isinstance(node, ast.Call) or not node.args:
            continue
        called = node.func
        name = getattr(called, 'attr', getattr(called, 'id', ''))
        first = node.args[0]
        if name not in _METHODS or not isinstance(first, ast.Constant):
            continue
        if isinstance(first.value, str) and _METRIC.match(first.value):
            yield first.value


def metrics_of_packages() -> set[str]:
    """Return the names of the metrics that all packages record."""
    paths = (
        path
        for package in SOURCES
        for path in (ROOT / 'packages' / package).rglob('*.py')
        if 'tests' not in path.parts
    )
    return {
        name
        for path in paths
        for name in metrics_of_module(
            ast.parse(path.read_text(encoding='utf-8'))
        )
    }


def main() -> None:
    """Print the differences and exit with 1 if there are any."""
    code = metrics_of_packages()
    page = set(_ROW.findall(PAGE.read_text(encoding='utf-8'))) - {'name'}
    for name in sorted(code - page):
        print(f'docs/metrics.md: {name} is not described')
    for name in sorted(page - code):
        print(f'docs/metrics.md: {name} is not in the code')
    sys.exit(code != page)


if __name__ == '__main__':
    main()
