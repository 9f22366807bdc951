"""A unit on a loopback socket, in its own process, that answers every command after a fixed delay.

Usage: python -m loftroute.lab.scale.unit_server PORT DELAY_MS
"""

import contextlib
import select
import socket
import sys
import time
from collections import deque

from loftroute.protocol import IncompleteMessageError, resp

VALUE = b"*3\r\n$8\r\nvalue-01\r\n$-1\r\n$-1\r\n"
READ_BYTES = 1 << 16
MS = 1_000_000  # nanoseconds


class UnitServer:
    """Serves all connections in one loop.

    All answers have the same delay, so they fall due in the order of their commands.
    """

    def __init__(self, port: int, delay_ms: float) -> None:
        self._delay = int(delay_ms * MS)
        self._listener = socket.create_server(("127.0.0.1", port), backlog=1024)
        self._poll = select.poll()
        self._poll.register(self._listener, select.POLLIN)
        self._connections: dict[int, tuple[socket.socket, bytearray]] = {}
        self._due: deque[tuple[int, socket.socket]] = deque()

    def run(self) -> None:
        """Serve until the process is killed."""
        while True:
            for descriptor, _ in self._poll.poll(self._wait_ms()):
                if descriptor == self._listener.fileno():
                    self._accept()
                else:
                    self._read(descriptor)
            self._answer_due()

    def _wait_ms(self) -> int | None:
        """Return the time until the next answer is due, rounded up; None if none is queued."""
        if not self._due:
            return None
        return max(-(-(self._due[0][0] - time.monotonic_ns()) // MS), 0)

    def _accept(self) -> None:
        client, _ = self._listener.accept()
        client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._connections[client.fileno()] = client, bytearray()
        self._poll.register(client, select.POLLIN)

    def _read(self, descriptor: int) -> None:
        client, buffer = self._connections[descriptor]
        try:
            data = client.recv(READ_BYTES)
        except OSError:
            data = b""
        if not data:
            self._poll.unregister(descriptor)
            del self._connections[descriptor]
            return client.close()
        buffer += data
        for _ in range(self._take_commands(buffer)):
            self._due.append((time.monotonic_ns() + self._delay, client))

    @staticmethod
    def _take_commands(buffer: bytearray) -> int:
        """Remove all complete commands from the buffer and return their number."""
        data, start, count = bytes(buffer), 0, 0
        while start < len(data):
            try:
                _, start = resp.parse_command(data, start, len(data))
            except IncompleteMessageError:
                break
            count += 1
        del buffer[:start]
        return count

    def _answer_due(self) -> None:
        while self._due and self._due[0][0] <= time.monotonic_ns():
            _, client = self._due.popleft()
            with contextlib.suppress(OSError):  # the peer may have closed the connection
                client.sendall(VALUE)


if __name__ == "__main__":
    UnitServer(int(sys.argv[1]), float(sys.argv[2])).run()
