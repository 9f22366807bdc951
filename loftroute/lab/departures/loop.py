"""A poll loop for stand-ins: all sockets and timers of a play in one thread, so that times are exact.

Times are seconds of the monotonic clock.
"""

import heapq
import select
import socket
import time
from collections.abc import Callable

READ, WRITE = select.POLLIN, select.POLLOUT
MAX_WAIT_S = 0.05
RECEIVE_BYTES = 1 << 16


class Loop:
    """Calls back for events of sockets and for timers.

    Attributes:
        worst_lag: longest time for which a due timer or the sockets had to wait for other callbacks.
    """

    def __init__(self) -> None:
        self._poller = select.poll()
        self._callbacks: dict[int, Callable[[int], None]] = {}
        self._timers: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0
        self._stopped = False
        self.worst_lag = 0.0

    def watch(self, sock: socket.socket, mask: int, callback: Callable[[int], None]) -> None:
        """Call back with the events of a socket; replaces an earlier call for it."""
        self._callbacks[sock.fileno()] = callback
        self._poller.register(sock.fileno(), mask)

    def forget(self, sock: socket.socket) -> None:
        """Stop watching a socket, before it is closed."""
        if self._callbacks.pop(sock.fileno(), None):
            self._poller.unregister(sock.fileno())

    def call_after(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Call back once after a delay."""
        self._sequence += 1
        heapq.heappush(self._timers, (time.monotonic() + delay_s, self._sequence, callback))

    def stop(self) -> None:
        """Make `run` return."""
        self._stopped = True

    def run(self, length_s: float) -> None:
        """Run until `stop` is called, at most for `length_s` seconds."""
        ends_at = time.monotonic() + length_s
        while not self._stopped and (now := time.monotonic()) < ends_at:
            due_in = self._timers[0][0] - now if self._timers else MAX_WAIT_S
            wait = min(max(due_in, 0.0), MAX_WAIT_S)
            events = self._poller.poll(wait * 1000)
            awake = time.monotonic()
            self._run_callbacks(events)
            self.worst_lag = max(self.worst_lag, awake - now - wait, time.monotonic() - awake)

    def _run_callbacks(self, events: list[tuple[int, int]]) -> None:
        for fd, event in events:
            if callback := self._callbacks.get(fd):
                callback(event)
        while self._timers and self._timers[0][0] <= time.monotonic():
            heapq.heappop(self._timers)[2]()


def receive(sock: socket.socket) -> bytes | None:
    """Return what can be read now, b"" for nothing yet, None once the connection has ended."""
    try:
        return sock.recv(RECEIVE_BYTES) or None
    except BlockingIOError:
        return b""
    except OSError:
        return None
