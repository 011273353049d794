"""Logs quorums that were not reached, at a bounded rate."""

import datetime
import logging

from magnoliawood.core import clock as clocks
from magnoliawood.replication import group as groups
from magnoliawood_server.gateway import quorum_calls

# Minimum time between two log lines about failed quorums. Each line states
# how many failures were not logged.
WARN_INTERVAL = datetime.timedelta(milliseconds=500)

_log = logging.getLogger(__name__)


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
        peer_replies: list[quorum_calls.PeerReply],
    ) -> None:
        """Log that too few replicas of a group responded."""
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
                'errors': [
                    f'{peer_reply.peer}: {peer_reply.error}'
                    for peer_reply in peer_replies
                    if peer_reply.error
                ],
                'times_before': self._suppressed_warnings,
            },
        )
        self._last_warning = now
        self._suppressed_warnings = 0
