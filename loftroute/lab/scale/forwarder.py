"""A TCP forwarder that copies bytes in both directions without parsing them; the baseline for the relay.

Usage: python -m loftroute.lab.scale.forwarder PORT UNIT_PORT
"""

import select
import socket
import sys

READ_BYTES = 1 << 16


class Forwarder:
    """Opens one connection to the unit for each connection of a client."""

    def __init__(self, port: int, unit_port: int) -> None:
        self._unit_port = unit_port
        self._listener = socket.create_server(("127.0.0.1", port), backlog=256)
        self._poll = select.poll()
        self._poll.register(self._listener, select.POLLIN)
        self._peers: dict[int, tuple[socket.socket, socket.socket]] = {}

    def run(self) -> None:
        """Accept connections and forward bytes until the process is killed."""
        while True:
            for descriptor, _ in self._poll.poll():
                if descriptor == self._listener.fileno():
                    self._accept()
                elif descriptor in self._peers:
                    self._copy(*self._peers[descriptor])

    def _accept(self) -> None:
        client, _ = self._listener.accept()
        unit = socket.create_connection(("127.0.0.1", self._unit_port))
        for source, target in ((client, unit), (unit, client)):
            source.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._peers[source.fileno()] = source, target
            self._poll.register(source, select.POLLIN)

    def _copy(self, source: socket.socket, target: socket.socket) -> None:
        try:
            data = source.recv(READ_BYTES)
            if data:
                return target.sendall(data)
        except OSError:
            pass
        for sock in (source, target):
            self._poll.unregister(sock)
            del self._peers[sock.fileno()]
            sock.close()


if __name__ == "__main__":
    Forwarder(int(sys.argv[1]), int(sys.argv[2])).run()
