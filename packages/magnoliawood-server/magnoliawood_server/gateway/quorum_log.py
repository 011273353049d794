"""Logs quorums that were not reached, at a bounded rate."""

import collections.abc
import datetime
import logging

from magnoliawood.core import clock as clocks
from magnoliawood.replication import group as groups
from magnoliawood_server.gateway import quorum_calls

# Minimum time between two log lines about failed quorums. Each line states
# how many failures were not logged.
WARN_INTERVAL = datetime.timedelta(milliseconds=500)

_log = logging.getLogger(__name__)


def errors_of(
    peer_replies: collections.abc.Iterable[quorum_calls.PeerReply],
) -> list[str]:
    """Return the error of each disk that replied with one."""
    return [
        f'{peer_reply.peer}: {peer_reply.error}'
        for peer_reply in peer_replies
        if peer_reply.error
    ]


class QuorumLog:
    """Logs failed quorums, at most once per ``WARN_INTERVAL``."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._last_warning: datetime.timedelta | None = None
        self._suppressed_warnings = 0

    def log(
        self,
        group: groups.Group,
        needed: int,
        failed: list[str],
    ) -> None:
        """Log that too few replicas of a group responded.

        :param failed: error of each disk that replied with one
        """
        now = self._clock.monotonic()
        if (
            self._last_warning is not None
            and now - self._last_warning < WARN_INTERVAL
        ):
            self._suppressed_warnings += 1
            return
        _log.warning(
            'too few replicas responded',
            extra={
                'epoch': group.epoch,
                'needed': needed,
                'errors': failed,
                'times_before': self._suppressed_warnings,
            },
        )
        self._last_warning = now
        self._suppressed_warnings = 0
