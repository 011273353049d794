"""History of configuration changes, stored in the platform's store."""

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
    """Change logs: one stored object for each configured object.

    Explanation
    ===========

    A change is written before its log entry. If the process terminates in
    between, the change is effective without a log entry. A reader detects
    this because the log does not contain the object's version.
    """

    def __init__(
        self, objects: store.ObjectStore, metrics: registries.Registry
    ) -> None:
        self._objects = objects
        self._metrics = metrics

    async def read(self, name: str) -> changes.ChangeLog:
        """Return the change log of the object with this name in the store."""
        stored = await self._objects.get(PREFIX + name)
        return _parse(stored)

    async def append(self, name: str, change: changes.Change) -> None:
        """Append a completed change; a failure is counted, not raised."""
        try:
            await self._append(name, change)
        except errors.MagnoliawoodError as error:
            self._metrics.count('history_writes_failed_total')
            _log.warning(
                'change not written to the history',
                extra={'object': name, 'error': str(error.code)},
            )

    async def _append(self, name: str, change: changes.Change) -> None:
        stored = await self._objects.get(PREFIX + name)
        for _ in range(_ATTEMPTS):
            text = _parse(stored).append(change).model_dump_json()
            expected = store.ABSENT if stored is None else stored.version
            try:
                await self._objects.put(PREFIX + name, text, expected)
                return
            except store.VersionConflict as conflict:
                stored = conflict.current
        raise errors.MagnoliawoodError(
            errors.ErrorCode.STORE_UNAVAILABLE,
            f'too many concurrent writes to the history of {name}',
        )


def _parse(stored: store.StoredObject | None) -> changes.ChangeLog:
    if stored is None:
        return changes.ChangeLog()
    try:
        return changes.ChangeLog.model_validate_json(stored.value)
    except pydantic.ValidationError as error:
        raise errors.MagnoliawoodError(
            errors.ErrorCode.INTERNAL, f'{stored.name} is malformed'
        ) from error
