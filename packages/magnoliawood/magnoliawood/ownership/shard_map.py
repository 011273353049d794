"""The map from shards to their owners."""

import dataclasses
import functools
import hashlib

import pydantic

from magnoliawood.programs import identity

MAP_NAME = 'ownership/map'


@dataclasses.dataclass(frozen=True, slots=True)
class Assignment:
    """The owner of one shard.

    :param owner: name of the entry, empty if nobody owns the shard
    :param epoch: fencing number, raised with every change of the owner
    :param logs: journal logs that hold records of the shard, oldest first
    """

    owner: str = ''
    epoch: int = 0
    logs: tuple[str, ...] = ()


class ShardMapModel(pydantic.BaseModel):
    """The stored form of a shard map."""

    model_config = pydantic.ConfigDict(extra='forbid')

    assignments: list[Assignment]


@dataclasses.dataclass(frozen=True, slots=True)
class ShardMap:
    """The assignments of all shards at one version of the store.

    Examples
    ========

    >>> shard_map = ShardMap.empty().assign([3], 'entry-1', 'log-a')
    >>> shard_map.assignments[3].owner
    'entry-1'
    >>> shard_map.assignments[3].epoch
    1
    >>> ShardMap.from_text(7, shard_map.to_text()).owned_by('entry-1')
    [3]
    """

    version: int
    assignments: tuple[Assignment, ...]

    @classmethod
    def empty(cls) -> 'ShardMap':
        """Return the map before any shard was assigned."""
        return cls(0, (Assignment(),) * identity.SHARD_COUNT)

    @classmethod
    def from_text(cls, version: int, text: str) -> 'ShardMap':
        """Parse the stored form.

        :raises pydantic.ValidationError: if it is malformed
        """
        model = ShardMapModel.model_validate_json(text)
        return cls(version, tuple(model.assignments))

    def to_text(self) -> str:
        """Return the stored form."""
        model = ShardMapModel(assignments=list(self.assignments))
        return model.model_dump_json()

    def owned_by(self, owner: str) -> list[int]:
        """Return the shards that an entry owns."""
        return [
            shard
            for shard, assignment in enumerate(self.assignments)
            if assignment.owner == owner
        ]

    def may_write(self, log: str, shard: int) -> bool:
        """Whether a log belongs to the present owner of a shard.

        Examples
        ========

        >>> shard_map = ShardMap.empty().assign([3], 'entry-1', 'entry-1~a')
        >>> shard_map.may_write('entry-1~a', 3)
        True
        >>> taken = shard_map.assign([3], 'entry-2', 'entry-2~b')
        >>> taken.may_write('entry-1~a', 3)
        False
        """
        assignment = self.assignments[shard]
        owner = log.rpartition('~')[0]
        return owner == assignment.owner and log in assignment.logs

    def assign(self, shards: list[int], owner: str, log: str) -> 'ShardMap':
        """Give shards to a new owner and raise their epochs.

        :param log: log that the new owner writes; kept out if empty
        """
        chosen = set(shards)
        return dataclasses.replace(
            self,
            assignments=tuple(
                _hand_to(assignment, owner, log)
                if shard in chosen
                else assignment
                for shard, assignment in enumerate(self.assignments)
            ),
        )

    def add_log(self, shards: list[int], log: str) -> 'ShardMap':
        """Name one more log that holds records of shards.

        Examples
        ========

        >>> ShardMap.empty().add_log([0], 'log-b').assignments[0].logs
        ('log-b',)
        """
        chosen = set(shards)
        return dataclasses.replace(
            self,
            assignments=tuple(
                dataclasses.replace(assignment, logs=(*assignment.logs, log))
                if shard in chosen and log not in assignment.logs
                else assignment
                for shard, assignment in enumerate(self.assignments)
            ),
        )

    def replace_logs(self, shards: list[int], logs: list[str]) -> 'ShardMap':
        """Replace the logs of shards after their records were copied."""
        chosen = set(shards)
        return dataclasses.replace(
            self,
            assignments=tuple(
                dataclasses.replace(assignment, logs=tuple(logs))
                if shard in chosen
                else assignment
                for shard, assignment in enumerate(self.assignments)
            ),
        )

    def logs(self) -> set[str]:
        """Return all logs that some shard still needs."""
        return {
            log for assignment in self.assignments for log in assignment.logs
        }


def _hand_to(assignment: Assignment, owner: str, log: str) -> Assignment:
    kept = [name for name in assignment.logs if name != log]
    logs = (*kept, log) if log else tuple(kept)
    return Assignment(owner, assignment.epoch + 1, logs)


def preferred_owner(shard: int, entries: list[str]) -> str:
    """Choose the owner of a shard by rendezvous hashing.

    Explanation
    ===========

    Each entry gets a score per shard and the highest wins, so that a change
    of membership moves only the shards of the entries that changed.

    Examples
    ========

    >>> preferred_owner(5, ['a']), preferred_owner(5, [])
    ('a', '')

    References
    ==========

    Thaler and Ravishankar, "Using name-based mappings to increase hit
    rates", IEEE/ACM Transactions on Networking, 1998.
    """
    return max(entries, key=lambda entry: _score(shard, entry), default='')


def preferred_owners(entries: list[str]) -> tuple[str, ...]:
    """Choose the owners of all shards.

    Explanation
    ===========

    The result is kept, since it is asked for far more often than the
    membership changes.

    Examples
    ========

    >>> preferred_owners(['a', 'b'])[5] == preferred_owner(5, ['a', 'b'])
    True

    See Also
    ========

    preferred_owner
    """
    return _preferred_owners(tuple(entries))


@functools.lru_cache(maxsize=4)
def _preferred_owners(entries: tuple[str, ...]) -> tuple[str, ...]:
    return tuple(
        preferred_owner(shard, list(entries))
        for shard in range(identity.SHARD_COUNT)
    )


def _score(shard: int, entry: str) -> bytes:
    return hashlib.blake2b(f'{shard}\0{entry}'.encode()).digest()
