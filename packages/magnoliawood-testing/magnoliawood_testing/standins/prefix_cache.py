"""Block-wise prefix cache of the engine stand-in."""

import collections
import dataclasses
import itertools

from magnoliawood.programs import message as conversation

BLOCK_WORDS = 16


@dataclasses.dataclass(slots=True)
class Block:
    """One cached block of a prompt prefix.

    :param programs: programs whose prompts contain the block
    :param uses: number of later prompts that found the block in the cache
    """

    programs: set[str]
    uses: int = 0


class PrefixCache:
    """Cache of blocks with least-recently-used eviction.

    Explanation
    ===========

    A block is identified by the chained hash of the prompt up to its end.
    Of the blocks of one prompt the last ones are evicted first, since a block
    cannot be used without those before it.

    :param capacity: maximum number of blocks
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
        """Maximum number of cached blocks."""
        return self._capacity

    @property
    def program_blocks(self) -> collections.Counter[str]:
        """Number of cached blocks of each program."""
        return collections.Counter(
            itertools.chain.from_iterable(
                block.programs for block in self._blocks.values()
            )
        )

    @property
    def unused(self) -> int:
        """Number of cached blocks that no later prompt has used."""
        return sum(not block.uses for block in self._blocks.values())

    def match(self, hashes: list[str]) -> int:
        """Return the number of leading blocks cached; count their use."""
        cached = list(itertools.takewhile(self._blocks.__contains__, hashes))
        for name in reversed(cached):
            self._blocks[name].uses += 1
            self._blocks.move_to_end(name)
        return len(cached)

    def fill(self, hashes: list[str], program: str) -> None:
        """Cache the blocks of a prompt; evict blocks beyond the capacity."""
        for name in reversed(hashes):
            block = self._blocks.get(name)
            if block is None:
                block = Block(set())
                self._blocks[name] = block
                self.filled += 1
            block.programs.add(program)
            self._blocks.move_to_end(name)
        while len(self._blocks) > self._capacity:
            self._evict(next(iter(self._blocks)))

    def release(self, program: str) -> int:
        """Remove a program from its blocks and free those without a program.

        :returns: number of blocks that the program had
        """
        program_blocks = [
            name
            for name, block in self._blocks.items()
            if program in block.programs
        ]
        for name in program_blocks:
            self._blocks[name].programs.discard(program)
            if not self._blocks[name].programs:
                self._evict(name)
        return len(program_blocks)

    def _evict(self, name: str) -> None:
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
