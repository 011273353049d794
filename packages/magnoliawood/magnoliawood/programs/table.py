"""Table of the programs that an entry owns."""

from magnoliawood.core import errors
from magnoliawood.programs import footprint
from magnoliawood.programs import identity
from magnoliawood.programs import program as programs
from magnoliawood.programs import records


class ProgramTable:
    """Programs of one entry, indexed by key and by shard."""

    def __init__(self) -> None:
        self._programs: dict[identity.ProgramKey, programs.Program] = {}
        self._shards: dict[int, set[identity.ProgramKey]] = {}
        self._tally = footprint.Tally()

    @property
    def held_bytes(self) -> int:
        """Memory of all programs with their calls and histories."""
        return self._tally.total_bytes

    def __len__(self) -> int:
        return len(self._programs)

    def get(self, key: identity.ProgramKey) -> programs.Program:
        """Return the program with a key.

        :raises MagnoliawoodError: with ``unknown_program``
        """
        program = self.find(key)
        if program is None:
            raise errors.MagnoliawoodError(
                errors.ErrorCode.UNKNOWN_PROGRAM, f'no program {key.name}'
            )
        return program

    def find(self, key: identity.ProgramKey) -> programs.Program | None:
        """Return the program with a key, or None if it is unknown."""
        return self._programs.get(key)

    def apply(self, record: records.Record) -> None:
        """Apply a journal record; add the program if the record opens one."""
        if isinstance(record, records.Opened):
            self._open(record)
            return
        program = self.find(records.program_of(record))
        if program is not None:
            program.apply(record)

    def in_shard(self, shard: int) -> list[programs.Program]:
        """Return the programs of a shard, parents before sub-agents."""
        keys = sorted(self._shards.get(shard, ()), key=str)
        return [self._programs[key] for key in keys]

    def family(self, key: identity.ProgramKey) -> list[programs.Program]:
        """Return a program and its sub-agents of all levels."""
        prefix = key.name + identity.CHILD_SEPARATOR
        return [
            program
            for program in self.in_shard(key.shard)
            if program.key == key
            or (
                program.key.caller == key.caller
                and program.key.name.startswith(prefix)
            )
        ]

    def drop_shard(self, shard: int) -> None:
        """Remove all programs of a shard."""
        for key in self._shards.pop(shard, set()):
            self._programs.pop(key).drop()

    def drop(self, key: identity.ProgramKey) -> None:
        """Remove one program."""
        if key in self._programs:
            self._programs.pop(key).drop()
        self._shards.get(key.shard, set()).discard(key)

    def all(self) -> list[programs.Program]:
        """Return the programs of all shards."""
        return list(self._programs.values())

    def _open(self, record: records.Opened) -> None:
        key = record.program
        if key in self._programs:
            return
        parent = self._programs.get(key.parent) if key.parent else None
        self._programs[key] = programs.Program(record, parent, self._tally)
        self._shards.setdefault(key.shard, set()).add(key)
