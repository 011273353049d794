"""History of the changes of one configured object."""

import datetime
import typing

import pydantic

CHANGE_LIMIT = 50


class Change(pydantic.BaseModel):
    """One change.

    :param version: version of the object that it made; of a deletion, the
        version that was deleted
    :param by: account that made it
    :param value: the object's fields after it, none after a deletion
    """

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)

    version: int
    at: datetime.datetime
    by: str
    action: typing.Literal['created', 'changed', 'deleted']
    value: dict[str, typing.Any] | None


class ChangeLog(pydantic.BaseModel):
    """The newest changes of one object, the oldest first.

    Explanation
    ===========

    Only the :data:`CHANGE_LIMIT` newest changes are kept, so that the
    stored log stays far below the platform's limit on a value.

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
        """Return a log with one more change, without the oldest if full."""
        kept = [*self.changes, change][-CHANGE_LIMIT:]
        # Two writers may append in another order than they wrote.
        return ChangeLog(changes=sorted(kept, key=lambda item: item.version))

    def contains_version(self, version: int) -> bool:
        """Whether the change that made a version is in the log."""
        return any(change.version == version for change in self.changes)

    def find(self, version: int) -> Change | None:
        """Return the change that made a version, if it is kept."""
        found = [item for item in self.changes if item.version == version]
        return found[-1] if found else None
