"""Facts that one gateway learns and all others have to know.

A fact is about an upstream or a client account. Each gateway tells its own
facts to its peers with the reports that it sends anyway.
"""

import collections
import collections.abc
import dataclasses
import datetime
import enum
import typing

from magnoliawood.core import clock as clocks

# Maximum number of facts that one report tells; the others follow with the
# next reports.
REPORT_LIMIT = 200
# A fact that stays the same is told again after this time.
REFRESH_INTERVAL = datetime.timedelta(seconds=1)
# Facts of peers are dropped after this time.
MAX_AGE = datetime.timedelta(seconds=60)
_MILLISECOND = datetime.timedelta(milliseconds=1)


class FactKind(enum.StrEnum):
    """What a fact is about; peers ignore kinds that they do not know."""

    QUOTA = 'quota'
    SPEED = 'speed'
    FAILURES = 'failures'
    ROOM = 'room'


@dataclasses.dataclass(frozen=True, slots=True)
class Fact:
    """What one gateway has learned about an upstream or a client account.

    :param kind: value of a :class:`FactKind`
    :param subject: id of the upstream or name of the account
    :param values: figures; the kind defines what they are
    :param age_ms: age in milliseconds when it was sent
    :param started_at: time at which the process of the upstream started, if
        known; the fact does not apply to another start
    """

    kind: str
    subject: str
    values: tuple[float, ...]
    age_ms: int = 0
    started_at: datetime.datetime | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class HeardFact:
    """Fact of a peer.

    :param source: host of the gateway that learned it
    :param learned_at: monotonic time at which it was learned
    """

    source: str
    values: tuple[float, ...]
    learned_at: datetime.timedelta
    started_at: datetime.datetime | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class NewFacts:
    """Own facts that changed after a version, and the version reached."""

    facts: list[Fact]
    version: int


class Listener(typing.Protocol):
    """Keeps the facts of one kind in a form of its own."""

    def before_report(self) -> None:
        """Publish what peers have to know; a report is about to be made."""
        ...

    def record(self, source: str, fact: Fact) -> None:
        """Record a fact that a peer has told."""
        ...


@dataclasses.dataclass(slots=True)
class _OwnFact:
    values: tuple[float, ...]
    started_at: datetime.datetime | None
    learned_at: datetime.timedelta
    version: int


class FactBoard:
    """Facts of this gateway and of its peers.

    Explanation
    ===========

    The state is bounded by the number of upstreams and accounts, for which
    :meth:`retain_only` is called, times the number of gateways that have
    learned something about them within :data:`MAX_AGE`.

    Examples
    ========

    >>> clock = clocks.ManualClock()
    >>> one, other = FactBoard(clock), FactBoard(clock)
    >>> one.publish(FactKind.SPEED, 'i-1', (145.0,))
    >>> new = one.changed_after(0)
    >>> other.merge('gateway-1', new.facts)
    >>> [fact.values for fact in other.heard(FactKind.SPEED, 'i-1')]
    [(145.0,)]
    >>> one.changed_after(new.version).facts
    []
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._version = 0
        # The facts of this gateway, in the order of their last change.
        self._own: collections.OrderedDict[tuple[str, str], _OwnFact] = (
            collections.OrderedDict()
        )
        # By kind, subject and source.
        self._heard: dict[str, dict[str, dict[str, HeardFact]]] = {}
        self._listeners: dict[str, Listener] = {}

    @property
    def version(self) -> int:
        """Version of the facts of this gateway."""
        return self._version

    def subscribe(self, kind: FactKind, listener: Listener) -> None:
        """Let a listener keep the facts of a kind; the board does not."""
        self._listeners[str(kind)] = listener

    def publish(
        self,
        kind: FactKind,
        subject: str,
        values: tuple[float, ...],
        started_at: datetime.datetime | None = None,
    ) -> None:
        """Set a fact of this gateway; peers are told if it is new."""
        now = self._clock.monotonic()
        key = str(kind), subject
        known = self._own.get(key)
        if (
            known is not None
            and (known.values, known.started_at) == (values, started_at)
            and now - known.learned_at < REFRESH_INTERVAL
        ):
            return
        self._version += 1
        self._own[key] = _OwnFact(values, started_at, now, self._version)
        self._own.move_to_end(key)

    def withdraw(self, kind: FactKind, subject: str) -> None:
        """Drop a fact of this gateway; peers keep it until it is too old."""
        self._own.pop((str(kind), subject), None)

    def changed_after(self, version: int) -> NewFacts:
        """Return the oldest of the own facts that changed after a version."""
        for listener in self._listeners.values():
            listener.before_report()
        now = self._clock.monotonic()
        new: list[Fact] = []
        for (kind, subject), own in reversed(self._own.items()):
            if own.version <= version:
                break
            age = (now - own.learned_at) // _MILLISECOND
            new.append(Fact(kind, subject, own.values, age, own.started_at))
        if len(new) <= REPORT_LIMIT:
            return NewFacts(new[::-1], self._version)
        told = new[: -REPORT_LIMIT - 1 : -1]
        last = told[-1]
        return NewFacts(told, self._own[last.kind, last.subject].version)

    def merge(
        self, source: str, facts: collections.abc.Iterable[Fact]
    ) -> None:
        """Record facts that a peer has told.

        :param source: host of the peer
        """
        now = self._clock.monotonic()
        for fact in facts:
            listener = self._listeners.get(fact.kind)
            if listener is not None:
                listener.record(source, fact)
                continue
            learned_at = now - fact.age_ms * _MILLISECOND
            sources = self._heard.setdefault(fact.kind, {}).setdefault(
                fact.subject, {}
            )
            sources[source] = HeardFact(
                source, tuple(fact.values), learned_at, fact.started_at
            )

    def heard(
        self,
        kind: FactKind,
        subject: str,
        max_age: datetime.timedelta = MAX_AGE,
    ) -> list[HeardFact]:
        """Return what peers have told about a subject.

        :param max_age: older facts are left out
        """
        oldest = self._clock.monotonic() - max_age
        sources = self._heard.get(str(kind), {}).get(subject, {})
        return [fact for fact in sources.values() if fact.learned_at >= oldest]

    def heard_subjects(self, kind: FactKind) -> collections.abc.KeysView[str]:
        """Return the subjects of a kind about which peers have told."""
        return self._heard.get(str(kind), {}).keys()

    def retain_only(
        self, kind: FactKind, subjects: collections.abc.Container[str]
    ) -> None:
        """Drop facts of a kind about other subjects, and those too old."""
        oldest = self._clock.monotonic() - MAX_AGE
        for own_kind, subject in list(self._own):
            if own_kind == kind and subject not in subjects:
                del self._own[own_kind, subject]
        kept: dict[str, dict[str, HeardFact]] = {}
        for subject, sources in self._heard.get(str(kind), {}).items():
            recent = {
                source: fact
                for source, fact in sources.items()
                if fact.learned_at >= oldest
            }
            if recent and subject in subjects:
                kept[subject] = recent
        self._heard[str(kind)] = kept
