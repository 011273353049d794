"""Prefix cache of the engine stand-in."""

import collections
import dataclasses
import itertools

from magnoliawood.programs import message as conversation

BLOCK_WORDS = 16


@dataclasses.dataclass(slots=True)
class Block:
    """One cached block of a prompt prefix.

    :param programs: programs that hold it
    :param uses: how often a later prompt found it
    """

    programs: set[str]
    uses: int = 0


class PrefixCache:
    """Blocks by the hash chain up to their end, least recently used out.

    Explanation
    ===========

    Of the blocks of one prompt the last ones go first, since a block is of
    no use without those before it.

    :param capacity: blocks that fit
    """

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._blocks: collections.OrderedDict[str, Block] = (
            collections.OrderedDict()
        )
        self.filled = 0
        self.wasted = 0

    @property
    def capacity(self) -> int:
        """Blocks that fit."""
        return self._capacity

    @property
    def program_blocks(self) -> collections.Counter[str]:
        """Number of blocks that each program holds."""
        return collections.Counter(
            itertools.chain.from_iterable(
                block.programs for block in self._blocks.values()
            )
        )

    @property
    def unused(self) -> int:
        """Blocks in the cache that no later prompt found."""
        return sum(not block.uses for block in self._blocks.values())

    def match(self, hashes: list[str]) -> int:
        """Return how many leading blocks are cached and mark their use."""
        found = list(itertools.takewhile(self._blocks.__contains__, hashes))
        for name in reversed(found):
            self._blocks[name].uses += 1
            self._blocks.move_to_end(name)
        return len(found)

    def fill(self, hashes: list[str], program: str) -> None:
        """Add the blocks of a prompt."""
        for name in reversed(hashes):
            block = self._blocks.get(name)
            if block is None:
                block = Block(set())
                self._blocks[name] = block
                self.filled += 1
            block.programs.add(program)
            self._blocks.move_to_end(name)
        while len(self._blocks) > self._capacity:
            self._drop(next(iter(self._blocks)))

    def release(self, program: str) -> int:
        """Free the blocks that only one program held."""
        program_blocks = [
            name
            for name, block in self._blocks.items()
            if program in block.programs
        ]
        for name in program_blocks:
            self._blocks[name].programs.discard(program)
            if not self._blocks[name].programs:
                self._drop(name)
        return len(program_blocks)

    def _drop(self, name: str) -> None:
        if not self._blocks.pop(name).uses:
            self.wasted += 1


def block_hashes(messages: list[conversation.Message]) -> list[str]:
    """Return the chained hashes of a prompt's full blocks."""
    words = list(
        itertools.chain.from_iterable(
            [message.role, *message.content.split()] for message in messages
        )
    )
    count = len(words) // BLOCK_WORDS
    blocks = [
        conversation.Message(
            'block',
            ' '.join(words[i * BLOCK_WORDS : (i + 1) * BLOCK_WORDS]),
        )
        for i in range(count)
    ]
    return list(
        itertools.accumulate(
            blocks,
            lambda digest, block: conversation.chain_digest(digest, [block]),
            initial='',
        )
    )[1:]
