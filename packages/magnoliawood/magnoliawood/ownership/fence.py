"""Fencing of former owners at a sidecar."""

from magnoliawood.core import errors


class FenceTable:
    """Highest epoch seen of each shard.

    Examples
    ========

    >>> fences = FenceTable()
    >>> fences.raise_to(3, 7)
    >>> fences.check(3, 7)
    >>> fences.check(3, 6)
    Traceback (most recent call last):
    ...
    magnoliawood.core.errors.MagnoliawoodError: stale_epoch: ...
    """

    def __init__(self) -> None:
        self._epochs: dict[int, int] = {}

    def raise_to(self, shard: int, epoch: int) -> None:
        """Learn an epoch; a lower one than known changes nothing."""
        self._epochs[shard] = max(epoch, self._epochs.get(shard, 0))

    def check(self, shard: int, epoch: int) -> None:
        """Accept an order of the current epoch or a newer one.

        :raises MagnoliawoodError: with ``stale_epoch``
        """
        known = self._epochs.get(shard, 0)
        if epoch < known:
            raise errors.MagnoliawoodError(
                errors.ErrorCode.STALE_EPOCH,
                f'shard {shard} is at epoch {known}, the order at {epoch}',
            )
        self._epochs[shard] = epoch
