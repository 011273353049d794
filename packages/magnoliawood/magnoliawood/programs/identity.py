"""Keys that identify programs and calls."""

import dataclasses
import hashlib

SHARD_COUNT = 64
CHILD_SEPARATOR = ':'


@dataclasses.dataclass(frozen=True, slots=True)
class ProgramKey:
    """Name of a program together with the caller that it belongs to.

    Explanation
    ===========

    The name of a sub-agent consists of its parent's name, ``:`` and a name
    of its own. A program and all its sub-agents are a family. The shard is
    computed from the root's name, so a family has one shard and one owner.

    Examples
    ========

    >>> child = ProgramKey('red-clay', 'pour-7:pump')
    >>> child.parent
    ProgramKey(caller='red-clay', name='pour-7')
    >>> child.shard == child.parent.shard
    True
    >>> child.parent.parent is None
    True
    """

    caller: str
    name: str

    @property
    def parent(self) -> 'ProgramKey | None':
        """Key of the parent program, None for a root program."""
        parent_name, separator, _ = self.name.rpartition(CHILD_SEPARATOR)
        return ProgramKey(self.caller, parent_name) if separator else None

    @property
    def root(self) -> 'ProgramKey':
        """Key of the root program of the family."""
        return ProgramKey(self.caller, self.name.split(CHILD_SEPARATOR)[0])

    @property
    def shard(self) -> int:
        """Number of the shard to which the family belongs."""
        root = self.root
        text = f'{root.caller}\0{root.name}'.encode()
        digest = hashlib.blake2b(text, digest_size=8).digest()
        return int.from_bytes(digest) % SHARD_COUNT

    @classmethod
    def from_text(cls, text: str) -> 'ProgramKey':
        """Parse the text form that ``str`` returns.

        Examples
        ========

        >>> ProgramKey.from_text('red-clay/pour-7')
        ProgramKey(caller='red-clay', name='pour-7')
        """
        caller, _, name = text.partition('/')
        return cls(caller, name)

    def __str__(self) -> str:
        return f'{self.caller}/{self.name}'


@dataclasses.dataclass(frozen=True, slots=True)
class CallId:
    """Program of a call together with the call's sequence number."""

    program: ProgramKey
    sequence: int

    def __str__(self) -> str:
        return f'{self.program}/{self.sequence}'
