"""Log of the changes of a configured object."""

import datetime
import typing

import pydantic

CHANGE_LIMIT = 50


class Change(pydantic.BaseModel):
    """One change of a configured object.

    :param version: version of the object after the change; for a deletion
        the version that was deleted
    :param by: account that made the change
    :param value: fields of the object after the change, None for a deletion
    """

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)

    version: int
    at: datetime.datetime
    by: str
    action: typing.Literal['created', 'changed', 'deleted']
    value: dict[str, typing.Any] | None


class ChangeLog(pydantic.BaseModel):
    """Newest changes of one object, ordered by version.

    Explanation
    ===========

    Only the :data:`CHANGE_LIMIT` newest changes are kept, so that the
    stored log stays far below the size limit that the platform's store sets
    for a value.

    Examples
    ========

    >>> import datetime
    >>> at = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
    >>> change = Change(
    ...     version=3, at=at, by='ops', action='deleted', value=None
    ... )
    >>> log = ChangeLog().append(change)
    >>> log.contains_version(3), log.contains_version(4)
    (True, False)
    """

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)

    changes: list[Change] = []

    def append(self, change: Change) -> 'ChangeLog':
        """Return a log with one more change; omit the oldest if it is full."""
        kept = [*self.changes, change][-CHANGE_LIMIT:]
        # Two writers may append their changes in a different order from that
        # in which they wrote the object.
        return ChangeLog(changes=sorted(kept, key=lambda item: item.version))

    def contains_version(self, version: int) -> bool:
        """Whether the log contains the change that created a version."""
        return any(change.version == version for change in self.changes)

    def find(self, version: int) -> Change | None:
        """Return the change that created a version, None if not in the log."""
        matching = [item for item in self.changes if item.version == version]
        return matching[-1] if matching else None
