"""Generate docs/openapi.json; with --check, only compare it."""

import json
import pathlib
import sys

from magnoliawood_server import openapi

TARGET = pathlib.Path(__file__).parents[1] / 'docs' / 'openapi.json'


def main() -> None:
    """Write the document, or exit with 1 if the committed one differs."""
    text = json.dumps(openapi.build_document(), indent=1) + '\n'
    if '--check' not in sys.argv[1:]:
        TARGET.write_text(text, encoding='utf-8')
    elif TARGET.read_text(encoding='utf-8') != text:
        print(f'docs/{TARGET.name} is out of date: run bin/make_openapi.py')
        sys.exit(1)


if __name__ == '__main__':
    main()
