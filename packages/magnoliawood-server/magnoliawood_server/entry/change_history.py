"""Keeps the history of configuration changes in the store."""

import logging

import pydantic

from magnoliawood.config import change as changes
from magnoliawood.core import errors
from magnoliawood.platform import store
from magnoliawood.telemetry import registry as registries

PREFIX = 'history/'
_ATTEMPTS = 5

_log = logging.getLogger(__name__)


class ChangeHistory:
    """Change logs, one object of the store for each configured object.

    Explanation
    ===========

    A change is written before its log. If the process is lost in between,
    the change is in force without a log entry, which a reader sees by the
    object's version.
    """

    def __init__(
        self, objects: store.ObjectStore, metrics: registries.Registry
    ) -> None:
        self._objects = objects
        self._metrics = metrics

    async def read(self, name: str) -> changes.ChangeLog:
        """Return the log of an object, by its name in the store."""
        found = await self._objects.get(PREFIX + name)
        return _parse(found)

    async def append(self, name: str, change: changes.Change) -> None:
        """Add a change that was made; a failure is counted, not raised."""
        try:
            await self._append(name, change)
        except errors.MagnoliawoodError as error:
            self._metrics.count('history_writes_failed_total')
            _log.warning(
                'change not logged',
                extra={'object': name, 'error': str(error.code)},
            )

    async def _append(self, name: str, change: changes.Change) -> None:
        found = await self._objects.get(PREFIX + name)
        for _ in range(_ATTEMPTS):
            text = _parse(found).append(change).model_dump_json()
            expected = store.ABSENT if found is None else found.version
            try:
                await self._objects.put(PREFIX + name, text, expected)
                return
            except store.VersionConflict as conflict:
                found = conflict.current
        raise errors.MagnoliawoodError(
            errors.ErrorCode.STORE_UNAVAILABLE,
            f'too many writers of the history of {name}',
        )


def _parse(found: store.StoredObject | None) -> changes.ChangeLog:
    if found is None:
        return changes.ChangeLog()
    try:
        return changes.ChangeLog.model_validate_json(found.value)
    except pydantic.ValidationError as error:
        raise errors.MagnoliawoodError(
            errors.ErrorCode.INTERNAL, f'{found.name} is malformed'
        ) from error
