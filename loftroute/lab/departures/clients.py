"""Clients of a play: those that send many commands and leave, and those that wait for each answer."""

import contextlib
import random
import socket
import struct
import time
from itertools import accumulate

from loftroute.lab.departures.history import History, RequestRecord
from loftroute.lab.departures.loop import READ, WRITE, Loop, receive
from loftroute.lab.departures.plan import Group, Leave
from loftroute.lab.standins import Relay, command

CLASSES = ("read", "put", "pay")
TIME_LIMIT_MS = (1200, 2900)
HALF_CLOSED_S = 0.02  # time between the half-close and the close of a client that does both
RECONNECT_S = 0.02
SEND_BYTES = 1 << 16


def new_request(rng: random.Random, body_bytes: int = 0) -> tuple[RequestRecord, bytes]:
    """Return a request that is about to be sent, and its command."""
    name, effect, limit_ms = Relay.id(), rng.choice(CLASSES), rng.randint(*TIME_LIMIT_MS)
    words = ["Q.ASK" if effect == "read" else "Q.DO", "key", name, f"c={effect},t=acme,d={limit_ms}"]
    if effect == "put":
        words[3] += f",k={name}"
    if effect != "read" or body_bytes:
        words.append("B" * body_bytes)
    return RequestRecord(name, effect, limit_ms / 1000, time.monotonic()), command(*words)


def connect(port: int) -> socket.socket | None:
    """Return a non-blocking connection to the relay, or None if it is refused."""
    try:
        sock = socket.create_connection(("127.0.0.1", port), timeout=1.0)
    except OSError:
        return None
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


class AnswerReader:
    """Splits a client's input into answers."""

    def __init__(self) -> None:
        self._data = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Return the first lines, and values, of the answers that are complete now."""
        self._data += data
        answers = []
        while (line_end := self._data.find(b"\r\n")) >= 0:
            end = line_end + 2
            if self._data.startswith(b"$"):
                end += int(self._data[1:line_end]) + 2
            if end > len(self._data):
                break
            answers.append(self._data[:end])
            self._data = self._data[end:]
        return answers


class LeavingClient:
    """Sends the commands of a group as fast as the system takes them, and leaves.

    The commands are made beforehand, since that takes a while. A request counts once it was sent whole.
    """

    def __init__(self, group: Group, loop: Loop, history: History, rng: random.Random) -> None:
        self._group, self._loop, self._history = group, loop, history
        made = [new_request(rng, group.body_bytes) for _ in range(group.commands)]
        self._requests = [record for record, _ in made]
        self._ends = list(accumulate(len(encoded) for _, encoded in made))  # offset after each command
        self._commands = memoryview(b"".join(encoded for _, encoded in made))
        self._sent = self._whole = self._answered = 0
        self._reader = AnswerReader()

    def start(self, port: int) -> None:
        """Connect and begin to send."""
        sock = connect(port)
        if sock is None:
            return
        self._sock = sock
        self._loop.watch(sock, READ | WRITE, self._on_event)
        self._loop.call_after(self._group.stays_s, self._leave)

    def _on_event(self, event: int) -> None:
        if event & WRITE:
            self._send()
        if event & ~WRITE:
            self._receive()

    def _send(self) -> None:
        with contextlib.suppress(OSError):
            while self._sent < len(self._commands):
                self._sent += self._sock.send(self._commands[self._sent : self._sent + SEND_BYTES])
                self._note_sent()
            self._loop.watch(self._sock, READ, self._on_event)

    def _note_sent(self) -> None:
        now = time.monotonic()
        while self._whole < len(self._ends) and self._ends[self._whole] <= self._sent:
            record = self._requests[self._whole]
            record.sent_at = now
            self._history.requests[record.id] = record
            self._whole += 1

    def _receive(self) -> None:
        data = receive(self._sock)
        if data is None:
            return self._end_of_stream()
        for answer in self._reader.feed(data):
            if self._answered < len(self._requests):
                self._requests[self._answered].answers.append((time.monotonic(), answer[:40]))
            self._answered += 1
            if self._answered < len(self._requests):
                self._requests[self._answered].behind_until = time.monotonic()

    def _end_of_stream(self) -> None:
        for record in self._requests[self._answered :]:
            record.ended_unanswered_at = time.monotonic()
        self._close()

    def _leave(self) -> None:
        if self._sock.fileno() < 0 or self._group.leaves is Leave.STAY:
            return
        if self._group.leaves is Leave.HALF_CLOSE:
            with contextlib.suppress(OSError):
                self._sock.shutdown(socket.SHUT_WR)
            return self._loop.call_after(HALF_CLOSED_S, self._close_early)
        if self._group.leaves is Leave.RESET:
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self._close_early()

    def _close_early(self) -> None:
        if self._sock.fileno() < 0:
            return
        self._close()
        left_at = time.monotonic()
        for record in self._requests[self._answered :]:
            record.left_at = left_at

    def _close(self) -> None:
        self._loop.forget(self._sock)
        self._sock.close()


class UsualClient:
    """Sends a request, waits for its answer, sends the next, for as long as the relay lets it.

    A request that crosses the end of its connection is sent once more on a new one, as the protocol has it.
    """

    def __init__(self, loop: Loop, history: History, rng: random.Random, port: int) -> None:
        self._loop, self._history, self._rng, self._port = loop, history, rng, port
        self._sock: socket.socket | None = None
        self._open: RequestRecord | None = None
        self.is_ended = False
        self._connect()

    def _connect(self) -> None:
        if self.is_ended:
            return
        self._sock, self._reader = connect(self._port), AnswerReader()
        if self._sock is None:
            self.is_ended = True
            return
        self._loop.watch(self._sock, READ, lambda _: self._receive())
        self._ask()

    def _ask(self) -> None:
        if self._sock is None:
            return
        self._open, encoded = new_request(self._rng)
        self._history.requests[self._open.id] = self._open
        try:
            self._sock.send(encoded)
        except OSError:
            self._end_of_stream()

    def _receive(self) -> None:
        if self._sock is None:
            return
        data = receive(self._sock)
        if data is None:
            return self._end_of_stream()
        for answer in self._reader.feed(data):
            if self._open:
                self._open.answers.append((time.monotonic(), answer[:40]))
                self._open = None
                self._loop.call_after(self._rng.uniform(0.0, 0.05), self._ask)

    def _end_of_stream(self) -> None:
        if self._open:
            self._open.ended_unanswered_at = time.monotonic()
        self._open = None
        self.close()
        self._loop.call_after(RECONNECT_S, self._connect)

    def close(self) -> None:
        """Close the connection."""
        if self._sock:
            self._loop.forget(self._sock)
            self._sock.close()
            self._sock = None
