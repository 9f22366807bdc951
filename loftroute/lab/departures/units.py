"""Units of a play: each attempt is recorded as it comes, and answered by chance after a while."""

import contextlib
import random
import re
import socket
import time
from collections.abc import Callable

from loftroute.lab.departures.history import AttemptRecord, History
from loftroute.lab.departures.loop import READ, Loop, receive

# A request as the relay passes it on: verb, key, id and fields; a body may follow.
COMMAND = re.compile(
    rb"\*(?P<items>[45])\r\n\$\d+\r\nQ\.(?:ASK|DO)\r\n\$\d+\r\n[^\r]*\r\n\$16\r\n(?P<id>[0-9a-f]{16})\r\n"
    rb"\$\d+\r\n(?P<fields>[^\r]*)\r\n"
)
BODY_HEADER = re.compile(rb"\$(\d+)\r\n")
TIME_LEFT = re.compile(rb"(?:^|,)d=(\d+)")
SERVED = b"*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n"
TURNED_AWAY = b"-BUSY\r\n"


class PlayedUnit:
    """A unit; `address` is where it listens."""

    def __init__(
        self,
        name: str,
        loop: Loop,
        history: History,
        rng: random.Random,
        service_s: tuple[float, float],
        busy_share: float,
        hang_share: float,
    ) -> None:
        self.name, self._loop, self._history, self._rng = name, loop, history, rng
        self._service_s, self._busy_share, self._hang_share = service_s, busy_share, hang_share
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=512)
        self._listener.setblocking(False)
        self.address = "{}:{}".format(*self._listener.getsockname())
        self._buffers: dict[socket.socket, bytes] = {}
        loop.watch(self._listener, READ, self._accept)

    def _accept(self, _: int) -> None:
        with contextlib.suppress(BlockingIOError):
            while True:
                sock, _address = self._listener.accept()
                sock.setblocking(False)
                self._buffers[sock] = b""
                self._loop.watch(sock, READ, self._reader(sock))

    def _reader(self, sock: socket.socket) -> Callable[[int], None]:
        return lambda _: self._read(sock)

    def _read(self, sock: socket.socket) -> None:
        data = receive(sock)
        if data is None:
            self._loop.forget(sock)
            del self._buffers[sock]
            sock.close()
            return
        self._buffers[sock] += data
        while (end := self._next_command(self._buffers[sock])) is not None:
            match = COMMAND.match(self._buffers[sock])
            self._buffers[sock] = self._buffers[sock][end:]
            assert match is not None
            self._take(sock, match)

    @staticmethod
    def _next_command(data: bytes) -> int | None:
        """Return the length of the first command, None if it is not complete."""
        match = COMMAND.match(data)
        if match is None or match["items"] == b"4":
            return match and match.end()
        header = BODY_HEADER.match(data, match.end())
        if header is None:
            return None
        end = header.end() + int(header[1]) + 2
        return end if end <= len(data) else None

    def _take(self, sock: socket.socket, command: re.Match[bytes]) -> None:
        """Record an attempt and answer it later, or never."""
        told = TIME_LEFT.search(command["fields"])
        is_turned_away = self._rng.random() < self._busy_share
        self._history.attempts.append(
            AttemptRecord(
                request=command["id"].decode(),
                unit=self.name,
                began_at=time.monotonic(),
                told_s=int(told[1]) / 1000 if told else 0.0,
                ran=not is_turned_away,
            )
        )
        if is_turned_away or self._rng.random() >= self._hang_share:
            answer = TURNED_AWAY if is_turned_away else SERVED
            self._loop.call_after(self._rng.uniform(*self._service_s), lambda: self._answer(sock, answer))

    def _answer(self, sock: socket.socket, answer: bytes) -> None:
        if sock in self._buffers:
            with contextlib.suppress(OSError):
                sock.send(answer)

    def close(self) -> None:
        """Close all sockets."""
        for sock in (self._listener, *self._buffers):
            self._loop.forget(sock)
            sock.close()
