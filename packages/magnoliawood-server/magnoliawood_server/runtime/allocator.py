"""Settings of the memory allocator of the C library."""

import ctypes

# Parameter of mallopt() in glibc, and the size from which on a block is given
# back to the system as soon as it is freed. A read from a peer takes less.
_M_MMAP_THRESHOLD = -3
_THRESHOLD_BYTES = 512 * 1024


def return_freed_memory() -> bool:
    """Let long blocks be given back to the system when they are freed.

    Explanation
    ===========

    By default glibc raises the threshold to the size of the longest block
    that was freed, and keeps up to twice as much for later use. With long
    texts that is memory of the process which no budget counts.

    Examples
    ========

    >>> isinstance(return_freed_memory(), bool)
    True

    :returns: whether the C library has such a setting
    """
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (AttributeError, OSError):
        return False
    return bool(mallopt(_M_MMAP_THRESHOLD, _THRESHOLD_BYTES))
