"""UDP sockets on the scheduler."""

import contextlib
import errno
import socket

import greenlet

from loftroute.runtime.scheduler import READ, Scheduler, Task


class DatagramSocket:
    """One bound socket, read by one task. `address` is (host, port), IPv4 or IPv6."""

    def __init__(self, scheduler: Scheduler, address: tuple[str, int], room: int = 1 << 18) -> None:
        self._scheduler = scheduler
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        self._socket = socket.socket(family, socket.SOCK_DGRAM)
        try:
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, room)
            self._socket.bind(address)
            self._socket.setblocking(False)
        except OSError as problem:
            self._socket.close()
            raise OSError(problem.errno, f"{problem.strerror}: UDP {address[0]}:{address[1]}") from problem
        self.events = 0
        self.task: Task | None = None
        self.unsent_datagrams = 0  # datagrams that the system did not take
        self._watched = False

    @property
    def port(self) -> int:
        return int(self._socket.getsockname()[1])

    def wait(self, deadline: int | None) -> None:
        """Park until something may have come, or the deadline (nanoseconds)."""
        if not self._watched:
            self.task = greenlet.getcurrent()
            self._scheduler.watch(self._socket.fileno(), READ, self)
            self._watched = True
        self._scheduler.park(deadline)

    def receive(self, most: int, size: int) -> list[bytes]:
        """What has come, up to `most` datagrams; longer ones than `size` bytes come cut and one byte too
        long."""
        found: list[bytes] = []
        with contextlib.suppress(BlockingIOError, InterruptedError):
            while len(found) < most:
                try:
                    found.append(self._socket.recv(size + 1))
                except ConnectionError:  # word of an earlier datagram that nobody took
                    continue
        self.events = 0
        return found

    def send(self, data: bytes, address: tuple[str, int]) -> None:
        """Send or lose it, as datagrams are."""
        try:
            self._socket.sendto(data, address)
        except OSError as problem:
            if problem.errno not in (errno.EAGAIN, errno.ECONNREFUSED):
                self.unsent_datagrams += 1

    def close(self) -> None:
        if self._watched:
            self._scheduler.unwatch(self._socket.fileno())
        self._socket.close()
