"""Names of a package that are imported at their first use."""

import collections.abc
import importlib
import typing


def exports(
    package: str, modules: collections.abc.Mapping[str, str]
) -> collections.abc.Callable[[str], typing.Any]:
    """Return a ``__getattr__`` for a package.

    Explanation
    ===========

    Whoever imports one module of a package then doesn't import the others,
    so that each process imports only what it uses.

    Examples
    ========

    >>> get = exports('magnoliawood.core', {'ManualClock': 'clock'})
    >>> get('ManualClock').__name__
    'ManualClock'
    >>> get('Sundial')
    Traceback (most recent call last):
    AttributeError: magnoliawood.core has no Sundial

    :param package: name of the package
    :param modules: module of the package that defines each name
    """

    def get(name: str) -> typing.Any:
        if name not in modules:
            raise AttributeError(f'{package} has no {name}')
        module = importlib.import_module(f'{package}.{modules[name]}')
        return getattr(module, name)

    return get
