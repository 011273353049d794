"""One multiplexed connection between two processes."""

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
_READ_SIZE_BYTES = 256 * 1024

_log = logging.getLogger(__name__)


class PeerLost(errors.MagnoliawoodError):  # noqa: N818
    """The connection closed or went silent; calls may be under way."""

    def __init__(self, detail: str) -> None:
        super().__init__(
            errors.ErrorCode.PEER_LOST,
            detail,
            errors.verdicts.Verdict.MAY_HAVE_RUN,
        )


class Stream:
    """One exchange of messages on a connection."""

    def __init__(self, connection: 'PeerConnection', number: int) -> None:
        self._connection = connection
        self._number = number
        self._received: collections.deque[typing.Any] = collections.deque()
        self._arrived = curio.Event()
        self._opened = False

    async def send(self, message: typing.Any) -> None:
        """Send a message.

        :raises PeerLost: if the connection is gone
        """
        opens = not self._opened
        self._opened = True
        await self._connection.send(frames.Frame(self._number, opens, message))

    async def receive(self) -> typing.Any:
        """Return the next message.

        :raises PeerLost: if the connection is gone
        :raises MagnoliawoodError: if the peer refused the request
        """
        while not self._received:
            self._connection.raise_if_lost()
            self._arrived.clear()
            await self._arrived.wait()
        message = self._received.popleft()
        if isinstance(message, control.Refused):
            raise _error_of(message)
        return message

    def close(self) -> None:
        """Stop receiving."""
        self._connection.remove_stream(self._number)

    def mark_open(self) -> None:
        """Note that the peer opened this stream."""
        self._opened = True

    async def deliver(self, message: typing.Any) -> None:
        """Hand over a message that arrived."""
        self._received.append(message)
        await self._arrived.set()

    async def wake(self) -> None:
        """Let a receiver notice that the connection is gone."""
        await self._arrived.set()


def _error_of(message: control.Refused) -> errors.MagnoliawoodError:
    seconds = message.retry_after_seconds
    return errors.MagnoliawoodError(
        errors.ErrorCode(message.code),
        message.detail,
        errors.verdicts.Verdict(message.verdict),
        None if seconds is None else datetime.timedelta(seconds=seconds),
    )


def refusal_of(error: errors.MagnoliawoodError) -> control.Refused:
    """Return the message that carries an error to a peer."""
    after = error.retry_after
    return control.Refused(
        str(error.code),
        error.detail,
        str(error.verdict),
        None if after is None else after.total_seconds(),
    )


StreamHandler = collections.abc.Callable[
    [Stream, typing.Any], collections.abc.Awaitable[None]
]


class PeerConnection:
    """A connection with heartbeats in both directions.

    Explanation
    ===========

    Either side opens streams; the side that connected uses odd numbers. A
    connection on which nothing arrives for :data:`HEARTBEAT_TIMEOUT` counts as
    lost, since both sides send heartbeats more often than that.

    :param handler: serves the streams that the peer opens
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
        self._streams: dict[int, Stream] = {}
        self._write_lock = curio.Lock()
        self._last_arrival = clock.monotonic()
        self._lost = ''
        self._reader = frame_reader.FrameReader()

    @property
    def is_lost(self) -> bool:
        """Whether the connection can't be used any more."""
        return bool(self._lost)

    def raise_if_lost(self) -> None:
        """Raise if the connection is gone.

        :raises PeerLost: if so
        """
        if self._lost:
            raise PeerLost(self._lost)

    def open_stream(self) -> Stream:
        """Start a new exchange.

        :raises PeerLost: if the connection is gone
        """
        self.raise_if_lost()
        number = next(self._numbers)
        stream = Stream(self, number)
        self._streams[number] = stream
        return stream

    def remove_stream(self, number: int) -> None:
        """Drop a stream; later messages on it are ignored."""
        self._streams.pop(number, None)

    async def send(self, frame: frames.Frame) -> None:
        """Write one frame.

        :raises PeerLost: if the connection is gone
        """
        data = memoryview(frames.encode(frame))
        async with self._write_lock:
            self.raise_if_lost()
            try:
                while data:
                    data = data[await self._send_some(data) :]
            except OSError as error:
                await self.close(str(error))
                raise PeerLost(self._lost) from error
            except curio.CancelledError:
                # Part of the frame may be out: the stream of bytes is torn.
                await self.close('a write was cancelled')
                raise

    async def _send_some(self, data: memoryview) -> int:
        try:
            # Setting a timeout costs more than most writes do.
            return self._sock._socket.send(data)
        except BlockingIOError:
            pass
        limit = WRITE_TIMEOUT.total_seconds()
        async with curio.ignore_after(limit):
            return await self._sock.send(data)
        raise ConnectionResetError('the peer reads nothing')

    async def run(self) -> None:
        """Read frames until the connection is lost."""
        heartbeat = await curio.spawn(self._beat)
        try:
            while not self._lost:
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
            await heartbeat.cancel()
            await self.close('stopped')

    async def close(self, reason: str) -> None:
        """Close the connection and wake all receivers."""
        if self._lost:
            return
        self._lost = reason
        for stream in list(self._streams.values()):
            await stream.wake()
        try:
            self._sock._socket.shutdown(2)
        except OSError:
            _log.debug('already shut down')

    async def _beat(self) -> None:
        while not self._lost:
            silence = self._clock.monotonic() - self._last_arrival
            if silence > HEARTBEAT_TIMEOUT:
                await self.close('silent for too long')
                return
            beat = frames.Frame(_HEARTBEAT_STREAM, False, control.Ping())
            await curio.spawn(self._send_quietly, beat, daemon=True)
            await curio.sleep(HEARTBEAT_INTERVAL.total_seconds())

    async def _send_quietly(self, frame: frames.Frame) -> None:
        if self._write_lock.locked():
            return
        try:
            await self.send(frame)
        except PeerLost:
            _log.debug('heartbeat not sent')

    async def _read_frames(self) -> list[frames.Frame]:
        data = await self._sock.recv(_READ_SIZE_BYTES)
        if not data:
            raise EOFError('closed by the peer')
        self._last_arrival = self._clock.monotonic()
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
        assert self._handler is not None  # Checked before it was spawned.
        try:
            await self._handler(stream, message)
        except PeerLost:
            _log.debug('peer lost while serving a stream')
        except errors.MagnoliawoodError as error:
            await self._reply_quietly(stream, refusal_of(error))
        except Exception:
            _log.exception('stream handler failed')
            await self._reply_quietly(stream, _internal_refusal())
        finally:
            stream.close()

    async def _reply_quietly(
        self, stream: Stream, message: control.Refused
    ) -> None:
        try:
            await stream.send(message)
        except PeerLost:
            _log.debug('refusal not sent')


def _internal_refusal() -> control.Refused:
    return control.Refused(
        str(errors.ErrorCode.INTERNAL),
        'the handler failed',
        str(errors.verdicts.Verdict.MAY_HAVE_RUN),
    )
