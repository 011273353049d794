"""Callers for whom a request was completed recently, by its content."""

import collections

from magnoliawood.limits import crash_record

# Number of contents, and of their beginnings, that are remembered.
CONTENT_LIMIT = 20_000


class CompletedCallers:
    """Least recently completed contents, each with its latest callers.

    Examples
    ========

    >>> completed = CompletedCallers(limit=1)
    >>> completed.add('page', ('program-1',))
    >>> completed.add('page', ('program-2',))
    >>> completed.of('page')
    (('program-1',), ('program-2',))
    >>> completed.add('other page', ('program-1',))
    >>> completed.of('page')
    ()

    :param limit: maximum number of contents
    """

    def __init__(self, limit: int = CONTENT_LIMIT) -> None:
        self._limit = limit
        self._callers: collections.OrderedDict[
            str, tuple[crash_record.Caller, ...]
        ] = collections.OrderedDict()

    def of(self, content: str) -> tuple[crash_record.Caller, ...]:
        """Return the callers of a content, the latest one last."""
        return self._callers.get(content, ())

    def add(self, content: str, caller: crash_record.Caller) -> None:
        """Add a caller, or mark it as the latest one."""
        others = [known for known in self.of(content) if known != caller]
        kept = others[1 - crash_record.COMPLETED_LIMIT :]
        self._callers[content] = (*kept, caller)
        self._callers.move_to_end(content)
        while len(self._callers) > self._limit:
            self._callers.popitem(last=False)
