"""A real unit on a loopback socket, in a process of its own: answers every command after a fixed time.

python -m loftroute.lab.scale.unit_server PORT DELAY_MS
"""

import select
import socket
import sys
import time
from collections import deque

from loftroute.protocol import NeedMore, resp

VALUE = b"*3\r\n$8\r\nvalue-01\r\n$-1\r\n$-1\r\n"
CHUNK = 1 << 16
BACKLOG = 1024


class UnitServer:
    """Commands of one connection are answered in their order; all answers take the same time."""

    def __init__(self, port: int, delay: float) -> None:
        """`delay` in seconds."""
        self._delay = delay
        self._listener = socket.create_server(("127.0.0.1", port), backlog=BACKLOG)
        self._poll = select.poll()
        self._poll.register(self._listener, select.POLLIN)
        self._buffers: dict[socket.socket, bytearray] = {}
        self._connections: dict[int, socket.socket] = {}
        self._due: deque[tuple[float, socket.socket]] = deque()  # in the order of their times

    def run(self) -> None:
        """Serve until the process is ended."""
        while True:
            for descriptor, _ in self._poll.poll(self._wait_ms()):
                if descriptor == self._listener.fileno():
                    self._accept()
                elif descriptor in self._connections:
                    self._read(self._connections[descriptor])
            self._answer_due()

    def _wait_ms(self) -> float | None:
        if not self._due:
            return None
        return max(self._due[0][0] - time.monotonic(), 0.0) * 1000

    def _accept(self) -> None:
        connection, _ = self._listener.accept()
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._connections[connection.fileno()] = connection
        self._buffers[connection] = bytearray()
        self._poll.register(connection, select.POLLIN)

    def _read(self, connection: socket.socket) -> None:
        try:
            data = connection.recv(CHUNK)
        except OSError:
            data = b""
        if not data:
            return self._close(connection)
        buffer = self._buffers[connection] + data
        while buffer:
            try:
                _, end = resp.command(buffer, 0, len(buffer))
            except NeedMore:
                break
            buffer = buffer[end:]
            self._due.append((time.monotonic() + self._delay, connection))
        self._buffers[connection] = buffer

    def _answer_due(self) -> None:
        now = time.monotonic()
        while self._due and self._due[0][0] <= now:
            _, connection = self._due.popleft()
            if connection not in self._buffers:
                continue
            try:
                connection.sendall(VALUE)
            except OSError:
                self._close(connection)

    def _close(self, connection: socket.socket) -> None:
        self._poll.unregister(connection)
        del self._connections[connection.fileno()], self._buffers[connection]
        connection.close()


if __name__ == "__main__":
    UnitServer(int(sys.argv[1]), float(sys.argv[2]) / 1000).run()
