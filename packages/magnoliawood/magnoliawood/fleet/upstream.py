"""The description of an upstream."""

import dataclasses
import datetime


@dataclasses.dataclass(frozen=True, slots=True)
class Upstream:
    """One incarnation of an upstream.

    :param id: identity of the incarnation
    :param address: IP address and port
    :param slots: number of requests that it runs at the same time
    :param is_leaving: whether it accepts no new work
    :param version: version of its software; empty if it states none
    :param started_at: time at which its process started, if it states it
    """

    id: str
    service: str
    address: str
    data_centre: str
    slots: int
    is_leaving: bool = False
    version: str = ''
    started_at: datetime.datetime | None = None


def is_same_start(
    one: datetime.datetime | None, other: datetime.datetime | None
) -> bool:
    """Return whether two start times are equal or one of them unknown."""
    return one is None or other is None or one == other
