"""Part of a stream that its caller has received."""

import dataclasses

from magnoliawood_server.gateway import events as event_streams


@dataclasses.dataclass(slots=True)
class Delivery:
    """Part of a stream that has been sent to the caller so far.

    :param events: number of events sent
    :param last_event_id: id of the last event that has one; before any is
        sent, of the event that the stream is to go on after
    :param output: data of the events, each followed by a line feed, if the
        output is kept
    :param keeps_output: whether the output is kept
    """

    events: int = 0
    last_event_id: int | None = None
    output: bytearray = dataclasses.field(default_factory=bytearray)
    keeps_output: bool = False
    _start_id: int | None = None

    def record_events(self, batch: event_streams.EventBatch) -> None:
        """Record events that are about to be sent."""
        if not self.events:
            self._start_id = self._id_before(batch)
        self.events += batch.count
        if self.keeps_output:
            self.output += batch.data()
        if batch.last_id is not None:
            self.last_event_id = batch.last_id

    def is_followed_by(self, event: event_streams.StreamEvent) -> bool:
        """Whether an upstream that takes the stream up may begin with this.

        Explanation
        ===========

        Ids increase, so the event of another run, or one that was sent
        before, is recognised. They need not be consecutive; where all of
        those sent were, a greater step means that an event is missing.
        """
        last_id = self.last_event_id
        if last_id is None:
            return not self.events
        if event.id is None or event.id <= last_id:
            return False
        return event.id == last_id + 1 or not self._is_consecutive(last_id)

    def _id_before(self, batch: event_streams.EventBatch) -> int | None:
        """Return the id after which the stream begins, if it is known."""
        if self.last_event_id is not None:
            return self.last_event_id
        event = batch.first_event()
        return None if event is None or event.id is None else event.id - 1

    def _is_consecutive(self, last_id: int) -> bool:
        """Whether each event that was sent has the id after the last one's.

        Two events must show it: one alone has no distance to another.
        """
        return (
            self.events > 1
            and self._start_id is not None
            and last_id - self._start_id == self.events
        )
