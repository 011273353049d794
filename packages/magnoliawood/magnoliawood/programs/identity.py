"""Identity of programs and calls."""

import dataclasses
import hashlib

SHARD_COUNT = 64
CHILD_SEPARATOR = ':'


@dataclasses.dataclass(frozen=True, slots=True)
class ProgramKey:
    """A program's name together with the caller it belongs to.

    Explanation
    ===========

    A sub-agent's name extends its parent's by ``:`` and a name of its own.
    A whole family therefore shares the root's shard, and so its owner.

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
        """Key of the parent program, if there is one."""
        head, separator, _ = self.name.rpartition(CHILD_SEPARATOR)
        return ProgramKey(self.caller, head) if separator else None

    @property
    def root(self) -> 'ProgramKey':
        """Key of the program at the top of the family."""
        return ProgramKey(self.caller, self.name.split(CHILD_SEPARATOR)[0])

    @property
    def shard(self) -> int:
        """Shard that the whole family belongs to."""
        root = self.root
        text = f'{root.caller}\0{root.name}'.encode()
        digest = hashlib.blake2b(text, digest_size=8).digest()
        return int.from_bytes(digest) % SHARD_COUNT

    @classmethod
    def from_text(cls, text: str) -> 'ProgramKey':
        """Parse what ``str`` returns.

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
    """A call's sequence number together with its program."""

    program: ProgramKey
    sequence: int

    def __str__(self) -> str:
        return f'{self.program}/{self.sequence}'
