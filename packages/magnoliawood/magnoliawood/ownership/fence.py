"""Fencing of previous owners of a shard at a sidecar."""

from magnoliawood.core import errors


class FenceTable:
    """Highest epoch that a sidecar has received for each shard.

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
        """Set the epoch of a shard unless a higher one is known."""
        self._epochs[shard] = max(epoch, self._epochs.get(shard, 0))

    def check(self, shard: int, epoch: int) -> None:
        """Check that an attempt has the current epoch or a newer one.

        A newer epoch becomes the current one.

        :raises MagnoliawoodError: with ``stale_epoch``
        """
        current = self._epochs.get(shard, 0)
        if epoch < current:
            raise errors.MagnoliawoodError(
                errors.ErrorCode.STALE_EPOCH,
                f'shard {shard} is at epoch {current}, '
                f'the attempt has epoch {epoch}',
            )
        self._epochs[shard] = epoch
