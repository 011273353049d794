"""The verdict on whether a request may have run."""

import enum


class Verdict(enum.StrEnum):
    """Whether a request ran at its upstream.

    Explanation
    ===========

    ``NOT_RUN`` is a promise: the request did not run and never will unless
    it is sent again. ``MAY_HAVE_RUN`` admits that the outcome is unknown.
    ``RAN`` means that the request reached its end at the upstream.

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
        """Whether sending the request again cannot run it twice."""
        return self is Verdict.NOT_RUN
