"""Map from shards to the entries that own them."""

import dataclasses
import functools
import hashlib

import pydantic

from magnoliawood.programs import identity

MAP_NAME = 'ownership/map'


@dataclasses.dataclass(frozen=True, slots=True)
class Assignment:
    """Owner, epoch and logs of one shard.

    :param owner: name of the entry, empty if the shard has no owner
    :param epoch: fencing token, incremented at each change of the owner
    :param logs: journal logs that contain records of the shard, oldest first
    """

    owner: str = ''
    epoch: int = 0
    logs: tuple[str, ...] = ()


class ShardMapModel(pydantic.BaseModel):
    """Shard map in the form in which it is stored."""

    model_config = pydantic.ConfigDict(extra='forbid')

    assignments: list[Assignment]


@dataclasses.dataclass(frozen=True, slots=True)
class ShardMap:
    """Assignments of all shards at one version of the store.

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
        """Return the initial map, in which no shard has an owner."""
        return cls(0, (Assignment(),) * identity.SHARD_COUNT)

    @classmethod
    def from_text(cls, version: int, text: str) -> 'ShardMap':
        """Parse a map from the form in which it is stored.

        :raises pydantic.ValidationError: if it is malformed
        """
        model = ShardMapModel.model_validate_json(text)
        return cls(version, tuple(model.assignments))

    def to_text(self) -> str:
        """Return the form in which the map is stored."""
        model = ShardMapModel(assignments=list(self.assignments))
        return model.model_dump_json()

    def owned_by(self, owner: str) -> list[int]:
        """Return the numbers of the shards that an entry owns."""
        return [
            shard
            for shard, assignment in enumerate(self.assignments)
            if assignment.owner == owner
        ]

    def may_write(self, log: str, shard: int) -> bool:
        """Whether a log belongs to the current owner of a shard.

        Examples
        ========

        >>> shard_map = ShardMap.empty().assign([3], 'entry-1', 'entry-1~a')
        >>> shard_map.may_write('entry-1~a', 3)
        True
        >>> reassigned = shard_map.assign([3], 'entry-2', 'entry-2~b')
        >>> reassigned.may_write('entry-1~a', 3)
        False
        """
        assignment = self.assignments[shard]
        owner = log.rpartition('~')[0]
        return owner == assignment.owner and log in assignment.logs

    def assign(self, shards: list[int], owner: str, log: str) -> 'ShardMap':
        """Return a map that assigns shards to a new owner.

        The epochs of the shards are incremented.

        :param log: log that the new owner writes; not added if empty
        """
        selected = set(shards)
        return dataclasses.replace(
            self,
            assignments=tuple(
                _reassign(assignment, owner, log)
                if shard in selected
                else assignment
                for shard, assignment in enumerate(self.assignments)
            ),
        )

    def add_log(self, shards: list[int], log: str) -> 'ShardMap':
        """Return a map with one more log that contains records of shards.

        Examples
        ========

        >>> ShardMap.empty().add_log([0], 'log-b').assignments[0].logs
        ('log-b',)
        """
        selected = set(shards)
        return dataclasses.replace(
            self,
            assignments=tuple(
                dataclasses.replace(assignment, logs=(*assignment.logs, log))
                if shard in selected and log not in assignment.logs
                else assignment
                for shard, assignment in enumerate(self.assignments)
            ),
        )

    def replace_logs(self, shards: list[int], logs: list[str]) -> 'ShardMap':
        """Return a map with other logs, to which records were copied."""
        selected = set(shards)
        return dataclasses.replace(
            self,
            assignments=tuple(
                dataclasses.replace(assignment, logs=tuple(logs))
                if shard in selected
                else assignment
                for shard, assignment in enumerate(self.assignments)
            ),
        )

    def logs(self) -> set[str]:
        """Return all logs that at least one shard refers to."""
        return {
            log for assignment in self.assignments for log in assignment.logs
        }


def _reassign(assignment: Assignment, owner: str, log: str) -> Assignment:
    other_logs = [name for name in assignment.logs if name != log]
    logs = (*other_logs, log) if log else tuple(other_logs)
    return Assignment(owner, assignment.epoch + 1, logs)


def preferred_owner(shard: int, entries: list[str]) -> str:
    """Choose the owner of a shard by rendezvous hashing.

    Explanation
    ===========

    Each entry has a score for each shard, and the entry with the highest
    score is chosen. A change of the membership therefore moves only shards
    of the entries that were added or removed.

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

    The result is cached, because this function is called far more often
    than the membership changes.

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
