"""In-memory store that can stop responding after a number of changes."""

import curio

from magnoliawood.platform import store


class MemoryStore:
    """Versioned objects in memory.

    :param limit: number of changes after which every change blocks forever
    """

    def __init__(self, limit=1_000_000):
        self.objects = {}
        self.version = 0
        self.changes_left = limit
        self.stopped = curio.Event()

    async def get(self, name):
        return self.objects.get(name)

    async def scan(self, prefix):
        matching = [
            item
            for name, item in sorted(self.objects.items())
            if name.startswith(prefix)
        ]
        return store.Listing(self.version, matching)

    async def put(self, name, value, expected):
        await self._change()
        current = self.objects.get(name)
        if (current.version if current else 0) != expected:
            raise store.VersionConflict(name, current)
        written = store.StoredObject(name, self.version, value)
        self.objects[name] = written
        return written

    async def delete(self, name, expected):
        await self._change()
        self.objects.pop(name)

    async def _change(self):
        if not self.changes_left:
            await self.stopped.set()
            await curio.Event().wait()
        self.changes_left -= 1
        self.version += 1
