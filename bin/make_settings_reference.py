"""Generate docs/settings.md from the settings models.

With --check, only compare the committed page with the generated one.
"""

import collections.abc
import pathlib
import sys
import typing

import annotated_types
import pydantic

from magnoliawood_server.runtime import client_limits
from magnoliawood_server.runtime import settings as settings_models

TARGET = pathlib.Path(__file__).parents[1] / 'docs' / 'settings.md'
_HEAD = """# Settings

Made by `make docs` from the validated models; `make lint` checks it.

Each setting of `magnoliawoodd` is a flag or an environment variable; the
flag takes precedence. Give secrets in variables, since other users of a host
can read the flags of its processes. An invalid value ends the start with
exit code 2 and one line that names the setting. All settings are read at the
start; only classes, accounts and drains change while a process runs.
"""
_HOSTED = """These are variables only; the last three are a keeper's, the
others a gateway's. The memory, the descriptors and the disk of a process are
`limits.memory_mb`, `limits.max_fds` and `limits.disk_mb` of its settings file;
256 and 4096 apply where it states none, and no limit on the disk.
"""
_COLUMNS = (
    '| flag | variable | default | bounds | meaning |\n|---|---|---|---|---|'
)


def main() -> None:
    """Write the page, or exit with 1 if the committed one differs."""
    text = render_page()
    if '--check' not in sys.argv[1:]:
        TARGET.write_text(text, encoding='utf-8')
    elif TARGET.read_text(encoding='utf-8') != text:
        print(f'docs/{TARGET.name} is out of date: run `make docs`')
        sys.exit(1)


def render_page() -> str:
    """Return the complete text of the page."""
    common = settings_models.CommonSettings.model_fields
    sections = [
        ('Every process', common, {}),
        (
            '`magnoliawoodd entry`',
            settings_models.EntrySettings.model_fields,
            common,
        ),
        (
            '`magnoliawoodd sidecar`',
            settings_models.SidecarSettings.model_fields,
            common,
        ),
    ]
    hosted = _section(
        "Gateways and keepers on the users' platform",
        {
            **client_limits.ClientLimits.model_fields,
            **client_limits.KeeperLimits.model_fields,
        },
        {},
    )
    return '\n'.join(
        [_HEAD, *(_section(*section) for section in sections), hosted, _HOSTED]
    )


def _section(
    title: str,
    fields: collections.abc.Mapping[str, pydantic.fields.FieldInfo],
    excluded: collections.abc.Container[str],
) -> str:
    rows = [
        _row(name, field)
        for name, field in fields.items()
        if name not in excluded
    ]
    return '\n'.join([f'## {title}\n', _COLUMNS, *rows, ''])


def _row(name: str, field: pydantic.fields.FieldInfo) -> str:
    flag = f'--{name.replace("_", "-")}'
    variable = f'{settings_models.ENVIRONMENT_PREFIX}{name.upper()}'
    cells = [
        f'`{flag}`',
        f'`{variable}`',
        _default(field),
        _bounds(field),
        str(field.description),
    ]
    return f'| {" | ".join(cells)} |'


def _default(field: pydantic.fields.FieldInfo) -> str:
    if field.is_required():
        return 'none: must be set'
    if field.default in ('', None):
        return 'empty'
    return f'`{field.default}`'


def _bounds(field: pydantic.fields.FieldInfo) -> str:
    bounds = [text for item in field.metadata for text in _bound(item)]
    choices = typing.get_args(field.annotation)
    if typing.get_origin(field.annotation) is typing.Literal:
        bounds.append(' or '.join(f'`{choice}`' for choice in choices))
    return ', '.join(bounds) or '-'


def _bound(item: typing.Any) -> collections.abc.Iterator[str]:
    match item:
        case annotated_types.Gt():
            yield f'above {item.gt:g}'
        case annotated_types.Ge():
            yield f'from {item.ge:g}'
        case annotated_types.Lt():
            yield f'below {item.lt:g}'
        case annotated_types.Le():
            yield f'to {item.le:g}'
        case annotated_types.MinLen():
            yield f'{item.min_length} characters or more'
    pattern = getattr(item, 'pattern', None)
    if pattern:
        escaped = pattern.replace('|', '\\|')
        yield f'`{escaped}`'


if __name__ == '__main__':
    main()
