"""Streamed response as its caller receives it."""

import http.client
import json
import threading
import typing

READ_TIMEOUT_SECONDS = 30.0


class ResponseStream:
    """Response whose events are read by a separate thread.

    :param address: HTTP address of an entry
    :param token: bearer token
    :param read_timeout_seconds: time without data after which reading fails
    """

    def __init__(
        self,
        address: str,
        token: str,
        method: str,
        path: str,
        body: typing.Any = None,
        read_timeout_seconds: float = READ_TIMEOUT_SECONDS,
    ) -> None:
        self._connection = http.client.HTTPConnection(
            address, timeout=read_timeout_seconds
        )
        self._request = (
            method,
            path,
            None if body is None else json.dumps(body),
            {'authorization': f'Bearer {token}'},
        )
        self._thread = threading.Thread(target=self._read, daemon=True)
        self.status = 0
        self.text = ''
        self.comments = 0
        self.last_event: typing.Any = None
        self.failure = ''
        self._thread.start()

    @property
    def is_done(self) -> bool:
        """Whether the response has ended or failed."""
        return not self._thread.is_alive()

    @property
    def is_complete(self) -> bool:
        """Whether the last event reports that the call ran."""
        return (
            self.is_done
            and not self.failure
            and self.last_event is not None
            and self.last_event.get('verdict') == 'ran'
        )

    def close(self) -> None:
        """Shut the connection down, which ends the reading thread."""
        sock = self._connection.sock
        if sock is not None:
            sock.shutdown(2)

    def _read(self) -> None:
        try:
            self._connection.request(*self._request)
            response = self._connection.getresponse()
            self.status = response.status
            while line := response.readline():
                self._process_line(line)
        except (OSError, http.client.HTTPException, ValueError) as error:
            self.failure = repr(error)
        finally:
            self._connection.close()

    def _process_line(self, line: bytes) -> None:
        if line.startswith(b':'):
            self.comments += 1
        elif line.startswith(b'data: '):
            self.last_event = json.loads(line.removeprefix(b'data: '))
            self.text += self.last_event.get('text', '')
