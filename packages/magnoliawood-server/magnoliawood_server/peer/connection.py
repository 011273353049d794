"""Multiplexed connection between two processes."""

import collections
import collections.abc
import datetime
import itertools
import logging
import typing

import curio

from magnoliawood.core import clock as clocks
from magnoliawood.core import errors
from magnoliawood_server.peer import control
from magnoliawood_server.peer import frame as frames
from magnoliawood_server.peer import frame_reader

HEARTBEAT_INTERVAL = datetime.timedelta(milliseconds=500)
HEARTBEAT_TIMEOUT = datetime.timedelta(seconds=2)
WRITE_TIMEOUT = datetime.timedelta(seconds=2)
_HEARTBEAT_STREAM = 0
_HEARTBEAT = frames.encode(
    frames.Frame(_HEARTBEAT_STREAM, False, control.Ping())
)
_READ_SIZE_BYTES = 256 * 1024
# Pause before the waiting messages of a stream are counted again.
_ROOM_PAUSE = datetime.timedelta(milliseconds=10)

_log = logging.getLogger(__name__)


class PeerLost(errors.MagnoliawoodError):  # noqa: N818
    """The connection was closed or the peer is unresponsive.

    Requests that were sent before may still have been executed.
    """

    def __init__(self, detail: str) -> None:
        super().__init__(
            errors.ErrorCode.PEER_LOST,
            detail,
            errors.verdicts.Verdict.MAY_HAVE_RUN,
        )


# Takes the memory of a message; raises MagnoliawoodError if there is none.
TakeMemory = collections.abc.Callable[
    [typing.Any], collections.abc.Awaitable[None]
]


class Stream:
    """One bidirectional exchange of messages on a connection."""

    def __init__(self, connection: 'PeerConnection', number: int) -> None:
        self._connection = connection
        self._number = number
        self._received: collections.deque[typing.Any] = collections.deque()
        self._arrived = curio.Event()
        self._is_opened = False
        self._max_waiting: int | None = None
        self._take_memory: TakeMemory | None = None

    def limit_memory(self, take_memory: TakeMemory) -> None:
        """Take the memory of each message before it waits here.

        If there is none, what waits is dropped, and the receiver gets the
        error.
        """
        self._take_memory = take_memory

    def limit_waiting(self, messages: int) -> None:
        """Read no further while so many received messages wait here.

        The whole connection waits then, so this is for a connection whose
        other streams can.
        """
        self._max_waiting = messages

    async def send(self, message: typing.Any) -> None:
        """Send a message.

        :raises PeerLost: if the connection is lost
        """
        opens = not self._is_opened
        self._is_opened = True
        await self._connection.send(frames.Frame(self._number, opens, message))

    async def receive(self) -> typing.Any:
        """Return the next message.

        :raises PeerLost: if the connection is lost
        :raises MagnoliawoodError: if the peer rejected the request
        """
        while not self._received:
            self._connection.raise_if_lost()
            self._arrived.clear()
            await self._arrived.wait()
        message = self._received.popleft()
        if isinstance(message, control.Refused):
            raise _error_from(message)
        return message

    def close(self) -> None:
        """Stop receiving; messages that arrive later are ignored."""
        self._connection.remove_stream(self._number)
        self._max_waiting = None

    def mark_open(self) -> None:
        """Record that the peer has opened this stream already."""
        self._is_opened = True

    async def deliver(self, message: typing.Any) -> None:
        """Queue a received message and wake the receiver."""
        if self._take_memory is not None:
            message = await self._message_or_refusal(message)
        self._received.append(message)
        await self._arrived.set()
        while (
            self._max_waiting is not None
            and len(self._received) >= self._max_waiting
        ):
            await curio.sleep(_ROOM_PAUSE.total_seconds())

    async def _message_or_refusal(self, message: typing.Any) -> typing.Any:
        assert self._take_memory is not None  # Checked by deliver().
        try:
            await self._take_memory(message)
        except errors.MagnoliawoodError as error:
            self.close()
            self._received.clear()
            return refusal_of(error)
        return message

    async def wake(self) -> None:
        """Wake the receiver so that it detects a lost connection."""
        await self._arrived.set()


ReplyListener = collections.abc.Callable[
    [typing.Any, errors.MagnoliawoodError | None],
    collections.abc.Awaitable[None],
]


class OpenRequest:
    """A request that was sent, whose reply is passed to a listener."""

    def __init__(
        self,
        connection: 'PeerConnection',
        number: int,
        listener: ReplyListener,
    ) -> None:
        self._connection = connection
        self._number = number
        self._listener = listener

    def close(self) -> None:
        """Stop listening; a reply that arrives later is ignored."""
        self._connection.remove_stream(self._number)

    async def deliver(self, message: typing.Any) -> None:
        """Pass the reply, or the error that the peer reported, on."""
        self.close()
        if isinstance(message, control.Refused):
            await self._listener(None, _error_from(message))
        else:
            await self._listener(message, None)

    async def wake(self) -> None:
        """Pass on that the connection is lost."""
        self.close()
        try:
            self._connection.raise_if_lost()
        except PeerLost as error:
            await self._listener(None, error)


def _error_from(message: control.Refused) -> errors.MagnoliawoodError:
    seconds = message.retry_after_seconds
    return errors.MagnoliawoodError(
        errors.ErrorCode(message.code),
        message.detail,
        errors.verdicts.Verdict(message.verdict),
        None if seconds is None else datetime.timedelta(seconds=seconds),
    )


def refusal_of(error: errors.MagnoliawoodError) -> control.Refused:
    """Return the message that reports an error to a peer."""
    delay = error.retry_after
    return control.Refused(
        str(error.code),
        error.detail,
        str(error.verdict),
        None if delay is None else delay.total_seconds(),
    )


StreamHandler = collections.abc.Callable[
    [Stream, typing.Any], collections.abc.Awaitable[None]
]


class PeerConnection:
    """Connection with multiplexed streams and heartbeats in both directions.

    Explanation
    ===========

    Either side may open streams. The side that connected uses odd stream
    numbers, the other side even ones. Both sides send heartbeats at
    intervals shorter than :data:`HEARTBEAT_TIMEOUT`, so a connection on
    which nothing arrives for that long is considered lost.

    :param handler: serves the streams that the peer opens
    :param is_client: whether this side opened the connection
    """

    def __init__(
        self,
        sock: curio.io.Socket,
        clock: clocks.Clock,
        handler: StreamHandler | None,
        is_client: bool,
    ) -> None:
        self._sock = sock
        self._clock = clock
        self._handler = handler
        self._numbers = itertools.count(1 if is_client else 2, 2)
        self._streams: dict[int, Stream | OpenRequest] = {}
        self._write_lock = curio.Lock()
        # Whether something was sent since the last heartbeat was due.
        self._has_sent = False
        self._last_arrival = clock.monotonic()
        self._close_reason = ''
        self._reader = frame_reader.FrameReader()

    @property
    def is_lost(self) -> bool:
        """Whether the connection was closed or failed."""
        return bool(self._close_reason)

    def raise_if_lost(self) -> None:
        """Check that the connection is usable.

        :raises PeerLost: if the connection is lost
        """
        if self._close_reason:
            raise PeerLost(self._close_reason)

    def open_stream(self) -> Stream:
        """Open a new stream.

        :raises PeerLost: if the connection is lost
        """
        self.raise_if_lost()
        number = next(self._numbers)
        stream = Stream(self, number)
        self._streams[number] = stream
        return stream

    def remove_stream(self, number: int) -> None:
        """Remove a stream; later messages on it are ignored."""
        self._streams.pop(number, None)

    async def send(self, frame: frames.Frame) -> None:
        """Write one frame.

        :raises PeerLost: if the connection is lost
        """
        data = memoryview(frames.encode(frame))
        async with self._write_lock:
            self.raise_if_lost()
            try:
                while data:
                    data = data[await self._send_some(data) :]
            except OSError as error:
                await self.close(str(error))
                raise PeerLost(self._close_reason) from error
            except curio.CancelledError:
                # Part of the frame may have been sent already. A following
                # frame would then be read as the rest of this one.
                await self.close('a write was cancelled before it completed')
                raise
            self._has_sent = True

    async def begin(
        self, message: typing.Any, listener: ReplyListener
    ) -> OpenRequest | None:
        """Send a request whose reply is passed to a listener.

        :returns: ``None`` if it was not sent, since that needs waiting
        :raises PeerLost: if the connection is lost
        """
        number = next(self._numbers)
        request = OpenRequest(self, number, listener)
        data = frames.encode(frames.Frame(number, True, message))
        if not await self._try_send(data):
            return None
        self._streams[number] = request
        return request

    async def _try_send(self, data: bytes) -> bool:
        """Send a frame if that needs no waiting.

        :raises PeerLost: if the connection is lost
        """
        self.raise_if_lost()
        if self._write_lock.locked():
            return False
        # The lock is free, so this doesn't suspend the task.
        await self._write_lock.acquire()
        sent = 0
        try:
            sent = self._sock._socket.send(data)
        except BlockingIOError:
            return False
        except OSError as error:
            await self.close(str(error))
            raise PeerLost(self._close_reason) from error
        finally:
            if not 0 < sent < len(data):
                await self._write_lock.release()
        self._has_sent = True
        if sent < len(data):
            await curio.spawn(
                self._send_rest, memoryview(data)[sent:], daemon=True
            )
        return True

    async def _send_rest(self, data: memoryview) -> None:
        """Send the rest of a frame and release the lock held for it."""
        try:
            while data:
                data = data[await self._send_some(data) :]
        except OSError as error:
            await self.close(str(error))
        finally:
            await self._write_lock.release()

    async def _send_some(self, data: memoryview) -> int:
        try:
            # Setting up a timeout costs more than most writes, so the write
            # is first attempted without one.
            return self._sock._socket.send(data)
        except BlockingIOError:
            pass
        timeout_seconds = WRITE_TIMEOUT.total_seconds()
        async with curio.ignore_after(timeout_seconds):
            return await self._sock.send(data)
        raise ConnectionResetError('the peer did not read the data in time')

    async def run(self) -> None:
        """Read frames until the connection is lost."""
        heartbeat = await curio.spawn(self._send_heartbeats)
        try:
            while not self._close_reason:
                for frame in await self._read_frames():
                    await self._dispatch(frame)
        except (OSError, EOFError) as error:
            await self.close(str(error) or 'closed by the peer')
        except errors.MagnoliawoodError as error:
            _log.warning(
                'peer sent a malformed frame', extra={'error': str(error)}
            )
            await self.close(error.detail)
        finally:
            async with curio.disable_cancellation():
                await heartbeat.cancel()
                await self.close('stopped')
                await self._wait_for_writer()

    async def _wait_for_writer(self) -> None:
        """Wait until no task waits to write.

        The socket may be closed only then: the event loop would keep the
        waiting task under a descriptor that another socket gets next.
        """
        async with self._write_lock:
            pass

    async def close(self, reason: str) -> None:
        """Close the connection and wake all receivers."""
        if self._close_reason:
            return
        self._close_reason = reason
        for stream in list(self._streams.values()):
            await stream.wake()
        try:
            self._sock._socket.shutdown(2)
        except OSError:
            _log.debug('socket already shut down')

    async def _send_heartbeats(self) -> None:
        while not self._close_reason:
            idle_time = self._clock.monotonic() - self._last_arrival
            if idle_time > HEARTBEAT_TIMEOUT:
                await self.close(
                    'nothing received within the heartbeat timeout'
                )
                return
            await self._send_heartbeat()
            await curio.sleep(HEARTBEAT_INTERVAL.total_seconds())

    async def _send_heartbeat(self) -> None:
        """Send a heartbeat unless something else was sent since the last.

        If the peer doesn't read, what waits for it serves as one.
        """
        if not self._has_sent:
            try:
                await self._try_send(_HEARTBEAT)
            except PeerLost:
                _log.debug('heartbeat not sent')
        self._has_sent = False

    async def _read_frames(self) -> list[frames.Frame]:
        data = await self._sock.recv(_READ_SIZE_BYTES)
        if not data:
            raise EOFError('closed by the peer')
        self._last_arrival = self._clock.monotonic()
        if len(data) == _READ_SIZE_BYTES:
            # Receivers go on while much waits to be read.
            await curio.sleep(0)
        return self._reader.feed(data)

    async def _dispatch(self, frame: frames.Frame) -> None:
        if frame.stream == _HEARTBEAT_STREAM:
            return
        if frame.opens and self._handler is not None:
            await self._start_handler(frame)
            return
        stream = self._streams.get(frame.stream)
        if stream is not None:
            await stream.deliver(frame.message)

    async def _start_handler(self, frame: frames.Frame) -> None:
        stream = Stream(self, frame.stream)
        stream.mark_open()
        self._streams[frame.stream] = stream
        await curio.spawn(self._handle, stream, frame.message, daemon=True)

    async def _handle(self, stream: Stream, message: typing.Any) -> None:
        assert self._handler is not None  # Checked by _dispatch().
        try:
            await self._handler(stream, message)
        except PeerLost:
            _log.debug('connection lost while serving a stream')
        except errors.MagnoliawoodError as error:
            await self._send_rejection(stream, refusal_of(error))
        except Exception:
            _log.exception('stream handler failed')
            await self._send_rejection(stream, _internal_error())
        finally:
            stream.close()

    async def _send_rejection(
        self, stream: Stream, message: control.Refused
    ) -> None:
        try:
            await stream.send(message)
        except PeerLost:
            _log.debug('error response not sent')


def _internal_error() -> control.Refused:
    return control.Refused(
        str(errors.ErrorCode.INTERNAL),
        'the request handler failed',
        str(errors.verdicts.Verdict.MAY_HAVE_RUN),
    )
