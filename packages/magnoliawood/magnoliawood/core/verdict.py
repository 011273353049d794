"""Verdict on whether a request may have run at its upstream."""

import enum


class Verdict(enum.StrEnum):
    """Whether a request ran at its upstream.

    Explanation
    ===========

    ``NOT_RUN`` guarantees that the request did not run and never will unless
    it is sent again. ``MAY_HAVE_RUN`` means that the outcome is unknown.
    ``RAN`` means that the request ran to completion at the upstream.

    Examples
    ========

    >>> Verdict.NOT_RUN.is_safe_to_repeat
    True
    >>> Verdict.MAY_HAVE_RUN.is_safe_to_repeat
    False
    """

    NOT_RUN = 'not_run'
    MAY_HAVE_RUN = 'may_have_run'
    RAN = 'ran'

    @property
    def is_safe_to_repeat(self) -> bool:
        """Whether the request can be sent again without running twice."""
        return self is Verdict.NOT_RUN
