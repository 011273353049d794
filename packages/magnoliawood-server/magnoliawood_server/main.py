"""Command line of the server processes, ``magnoliawoodd``."""

import collections.abc
import inspect
import sys
import typing

import curio
import pydantic
import typer

from magnoliawood.core import clock as clocks
from magnoliawood_server.entry import app as entry_app
from magnoliawood_server.runtime import allocator
from magnoliawood_server.runtime import logs
from magnoliawood_server.runtime import settings as settings_models
from magnoliawood_server.sidecar import app as sidecar_app

BAD_SETTING_EXIT_CODE = 2

Settings = typing.TypeVar('Settings', bound=settings_models.CommonSettings)

_cli = typer.Typer(
    help='Server processes of magnoliawood.',
    no_args_is_help=True,
    pretty_exceptions_enable=False,
)


def main() -> None:
    """Parse the command line and run the process that it names."""
    _cli()


def _run_entry(settings: settings_models.EntrySettings) -> None:
    logs.configure('entry', settings.name)
    allocator.return_freed_memory()
    app = entry_app.EntryApp(settings, clocks.SystemClock())
    raise SystemExit(int(curio.run(app.run)))


def _run_sidecar(settings: settings_models.SidecarSettings) -> None:
    logs.configure('sidecar', settings.name)
    allocator.return_freed_memory()
    app = sidecar_app.SidecarApp(settings, clocks.SystemClock())
    raise SystemExit(int(curio.run(app.run)))


def load_settings(
    model: type[Settings], flags: dict[str, typing.Any]
) -> Settings:
    """Validate settings from flags and the environment.

    A flag takes precedence over its environment variable.

    :raises SystemExit: with code 2 after printing the invalid settings
    """
    given = {name: text for name, text in flags.items() if text is not None}
    try:
        return model(**given)
    except pydantic.ValidationError as error:
        for item in error.errors():
            print(_describe(item), file=sys.stderr)
        raise SystemExit(BAD_SETTING_EXIT_CODE) from None


def _describe(item: typing.Any) -> str:
    name = str(item['loc'][0]) if item['loc'] else 'settings'
    flag = f'--{name.replace("_", "-")}'
    variable = f'{settings_models.ENVIRONMENT_PREFIX}{name.upper()}'
    if item['type'] == 'missing':
        return f'setting {flag} ({variable}) is missing'
    if name in settings_models.SECRET_NAMES:
        return f'setting {flag} ({variable}): {item["msg"]}'
    return (
        f'setting {flag} ({variable}): value {item["input"]!r}: {item["msg"]}'
    )


def _add_command(
    name: str,
    summary: str,
    model: type[Settings],
    run: collections.abc.Callable[[Settings], None],
) -> None:
    """Add a command with one flag for each field of a settings model."""

    def command(**flags: typing.Any) -> None:
        run(load_settings(model, flags))

    command.__signature__ = inspect.Signature(
        [
            _parameter(field_name, field)
            for field_name, field in model.model_fields.items()
        ]
    )
    command.__doc__ = summary
    _cli.command(name)(command)


def _parameter(
    name: str, field: pydantic.fields.FieldInfo
) -> inspect.Parameter:
    variable = f'{settings_models.ENVIRONMENT_PREFIX}{name.upper()}'
    default = '' if field.is_required() else f' [default: {field.default}]'
    return inspect.Parameter(
        name,
        inspect.Parameter.KEYWORD_ONLY,
        annotation=typing.Optional[str],  # noqa: UP045
        default=typer.Option(
            None,
            f'--{name.replace("_", "-")}',
            help=f'{field.description}{default} [env: {variable}]',
        ),
    )


_add_command(
    'entry',
    'Run an entry process.',
    settings_models.EntrySettings,
    _run_entry,
)
_add_command(
    'sidecar',
    'Run the sidecar process of one upstream.',
    settings_models.SidecarSettings,
    _run_sidecar,
)

if __name__ == '__main__':
    main()
