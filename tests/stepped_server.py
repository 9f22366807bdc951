"""Base of the servers that a stepped relay calls; they act in the test's time only."""

import contextlib
import socket

from tests.stepped import MS, SteppedRelay, got


class SteppedServer:
    """A listening server that is driven by the test.

    Attributes:
        received: what was read on each open connection and not handled yet.
    """

    def __init__(self, relay: SteppedRelay, listener: socket.socket) -> None:
        self._relay, self._listener = relay, listener
        listener.setblocking(False)
        relay.scheduler._max_wait = relay.scheduler._min_interval = 0  # only the test's time passes
        self.received: dict[socket.socket, bytes] = {}

    def run(self, ms: float, step_ms: float = 20) -> None:
        """Let time pass for the relay and the server."""
        until = self._relay.clock.now() + ms * MS
        while self._relay.clock.now() < until:
            self._relay.step(step_ms, 1)
            self.turn()
            self._relay.turn()

    def turn(self) -> None:
        """Accept connections, read what has arrived, and close what the relay has closed."""
        with contextlib.suppress(BlockingIOError):
            while True:
                peer, _ = self._listener.accept()
                peer.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                self.received[peer] = b""
        for peer in list(self.received):
            if not self._read(peer):
                self.disconnect(peer)

    def _read(self, peer: socket.socket) -> bool:
        """Read from a connection; return whether it is still open."""
        try:
            self.received[peer] += got(peer)
            return peer.recv(1) != b""
        except BlockingIOError:
            return True
        except OSError:
            return False

    def disconnect(self, peer: socket.socket) -> None:
        """Close a connection."""
        peer.close()
        del self.received[peer]

    def disconnect_all(self) -> None:
        """Close all connections, as a server does that starts anew."""
        for peer in list(self.received):
            self.disconnect(peer)

    def close(self) -> None:
        """Close all sockets."""
        self.disconnect_all()
        self._listener.close()
