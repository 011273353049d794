"""Which gateways are in touch with this one, both ways."""

import collections.abc
import dataclasses
import datetime

# A gateway that lost its contact is forgotten after this time by those that
# are in touch with most of the others.
FORGET_AFTER = datetime.timedelta(seconds=30)
# Gateways to expect until the first peer has been heard.
UNHEARD_GATEWAYS = 20


@dataclasses.dataclass(frozen=True, slots=True)
class Contact:
    """Exchange of reports with another gateway.

    :param source: host of the gateway
    :param start_id: identifies the start of its process
    :param settled_at: monotonic time of the last own report that it has
        acknowledged before it sent its own last report; ``None`` if none
    """

    source: str
    start_id: str
    settled_at: datetime.timedelta | None


class Contacts:
    """Gateways that are in touch, and those that may run out of touch.

    Examples
    ========

    >>> second = datetime.timedelta(seconds=1)
    >>> contacts = Contacts(0)
    >>> contacts.update([Contact('gw-1', 'a', second)], second, second)
    True
    >>> sorted(contacts.live), sorted(contacts.lost), contacts.gateways
    (['gw-1'], [], 2)
    >>> contacts.update([], 3 * second, second)
    True
    >>> sorted(contacts.live), sorted(contacts.lost), contacts.gateways
    ([], ['gw-1'], 2)

    :param seeds: number of peers in the settings
    """

    def __init__(self, seeds: int) -> None:
        self._seeds = seeds
        self._seen: dict[str, Contact] = {}
        self._lost_at: dict[str, datetime.timedelta] = {}
        self._live: frozenset[str] = frozenset()
        self._settled_at: datetime.timedelta | None = None

    @property
    def live(self) -> frozenset[str]:
        """Gateways in touch."""
        return self._live

    @property
    def lost(self) -> collections.abc.Iterable[str]:
        """Gateways that are not, but may be running."""
        return self._lost_at.keys()

    @property
    def gateways(self) -> int:
        """Number of gateways, with this one and those not heard yet."""
        heard = len(self._seen) + 1
        if heard == 1 and self._seeds:
            return max(self._seeds + 1, UNHEARD_GATEWAYS)
        return heard

    @property
    def settled_at(self) -> datetime.timedelta | None:
        """What was done before then is known to all gateways in touch.

        ``None`` if no gateway is in touch.
        """
        return self._settled_at

    def update(
        self,
        contacts: collections.abc.Iterable[Contact],
        now: datetime.timedelta,
        max_age: datetime.timedelta,
    ) -> bool:
        """Apply the state of the exchange; return whether any set changed.

        A gateway that has started again counts as lost once, since what it
        did before is not known.

        :param max_age: a contact that is settled no later is lost
        """
        before = self._live, set(self._lost_at), self.gateways
        live = set()
        settled = []
        for contact in contacts:
            if contact.settled_at is None:
                continue
            known = self._seen.get(contact.source)
            self._seen[contact.source] = contact
            has_restarted = known is not None and (
                known.start_id != contact.start_id
            )
            if now - contact.settled_at < max_age and not has_restarted:
                live.add(contact.source)
                settled.append(contact.settled_at)
        self._live = frozenset(live)
        self._settled_at = min(settled, default=None)
        for source in self._seen:
            if source in live:
                self._lost_at.pop(source, None)
            else:
                self._lost_at.setdefault(source, now)
        self._forget(now)
        return before != (self._live, set(self._lost_at), self.gateways)

    def _forget(self, now: datetime.timedelta) -> None:
        """Forget gateways that have gone, unless this one is cut off."""
        if 2 * (len(self._live) + 1) <= len(self._seen) + 1:
            return
        for source, lost_at in list(self._lost_at.items()):
            if now - lost_at >= FORGET_AFTER:
                del self._lost_at[source]
                del self._seen[source]
