"""Stand-ins for the network between relays, on loopback, each in threads of its own.

A lossy datagram proxy, a connection proxy that can be cut, and a switch that forwards clients to the relay
that announced the virtual address last. Random choices are seeded.
"""

import contextlib
import heapq
import json
import random
import select
import socket
import threading
import time


class LossyDatagramProxy:
    """Forwards datagrams to `target`; drops, delays and duplicates some of them.

    Attributes:
        loss: Probability that a datagram is dropped.
        duplication: Probability that a datagram is forwarded twice.
        delay: Least and greatest delay in seconds.
        down: Whether all datagrams are dropped.
        forwarded: Number of datagrams accepted for forwarding.
        dropped: Number of datagrams dropped.
        recent: The last ten datagrams received, for replays.
    """

    def __init__(self, target: tuple[str, int], seed: int = 0) -> None:
        self.target, self._rng = target, random.Random(seed)
        self.loss = self.duplication = 0.0
        self.delay = (0.0, 0.0)
        self.down = False
        self.forwarded = self.dropped = 0
        self.recent: list[bytes] = []
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind(("127.0.0.1", 0))
        self._socket.settimeout(0.002)
        self.address = f"127.0.0.1:{self._socket.getsockname()[1]}"
        self._delayed: list[tuple[float, int, bytes]] = []
        self._sequence = 0
        self._open = True
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self) -> None:
        while self._open:
            with contextlib.suppress(TimeoutError, OSError):
                self._receive(self._socket.recv(4096))
            while self._delayed and self._delayed[0][0] <= time.monotonic():
                with contextlib.suppress(OSError):
                    self._socket.sendto(heapq.heappop(self._delayed)[2], self.target)

    def _receive(self, datagram: bytes) -> None:
        self.recent = [*self.recent[-9:], datagram]
        if self.down or self._rng.random() < self.loss:
            self.dropped += 1
            return
        self.forwarded += 1
        for _ in range(1 + (self._rng.random() < self.duplication)):
            self._sequence += 1
            heapq.heappush(
                self._delayed, (time.monotonic() + self._rng.uniform(*self.delay), self._sequence, datagram)
            )

    def inject(self, datagram: bytes) -> None:
        """Send a datagram to the target at once."""
        with contextlib.suppress(OSError):
            self._socket.sendto(datagram, self.target)

    def close(self) -> None:
        """Stop forwarding."""
        self._open = False
        self._socket.close()


class ConnectionProxy:
    """Forwards new connections to the current `target`, unless it is cut."""

    def __init__(self, target: tuple[str, int] | None = None) -> None:
        self.target = target
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.port = self._listener.getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"
        self._pairs: set[tuple[socket.socket, socket.socket]] = set()
        self._is_cut = False
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                client, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(client,), daemon=True).start()

    def _serve(self, client: socket.socket) -> None:
        try:
            if self._is_cut or self.target is None:
                raise OSError("the proxy is cut or has no target")
            server = socket.create_connection(self.target, timeout=2)
            server.settimeout(None)
        except OSError:
            client.close()
            return
        for sock in (client, server):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        pair = (client, server)
        self._pairs.add(pair)
        with contextlib.suppress(OSError, ValueError):
            self._pump(client, server)
        self._pairs.discard(pair)
        for sock in pair:
            sock.close()

    @staticmethod
    def _pump(client: socket.socket, server: socket.socket) -> None:
        ways = {client.fileno(): (client, server), server.fileno(): (server, client)}
        poller = select.poll()  # `select.select` can't take descriptors from 1,024 on
        for descriptor in ways:
            poller.register(descriptor, select.POLLIN)
        while True:
            for descriptor, _ in poller.poll(5000):
                source, destination = ways[descriptor]
                received = source.recv(65536)
                if not received:
                    return
                destination.sendall(received)

    def cut(self) -> None:
        """Close all connections and refuse new ones until `restore`."""
        self._is_cut = True
        for pair in list(self._pairs):
            for sock in pair:
                with contextlib.suppress(OSError):
                    sock.shutdown(socket.SHUT_RDWR)

    def restore(self) -> None:
        """Accept connections again."""
        self._is_cut = False

    def close(self) -> None:
        """Stop listening and close all connections."""
        self._listener.close()
        self.cut()


class Switch:
    """Forwards new connections to the relay that announced the virtual address; open ones are not moved.

    Attributes:
        holders: Addresses of the relays that currently claim the virtual address.
        moves: Announcements: monotonic time in seconds, address of the relay, whether it holds the address.
        splits: Length in seconds of each period in which more than one relay held the address.
    """

    def __init__(self) -> None:
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._socket.getsockname()[1]}"
        self.proxy = ConnectionProxy()
        self.holders: set[str] = set()
        self.moves: list[tuple[float, str, bool]] = []
        self.splits: list[float] = []
        self._split_since: float | None = None
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self) -> None:
        while True:
            try:
                announcement = json.loads(self._socket.recv(4096))
            except (OSError, ValueError):
                return
            self.moves.append((time.monotonic(), announcement["at"], announcement["holds"]))
            (self.holders.add if announcement["holds"] else self.holders.discard)(announcement["at"])
            if announcement["holds"]:
                host, _, port = announcement["at"].rpartition(":")
                self.proxy.target = (host, int(port))
            elif len(self.holders) == 1:
                host, _, port = next(iter(self.holders)).rpartition(":")
                self.proxy.target = (host, int(port))
            self._record_split()

    def _record_split(self) -> None:
        if len(self.holders) > 1 and self._split_since is None:
            self._split_since = time.monotonic()
        elif len(self.holders) <= 1 and self._split_since is not None:
            self.splits.append(time.monotonic() - self._split_since)
            self._split_since = None

    def remove_holder(self, address: str) -> None:
        """Drop a relay that was killed from the holders, whatever it announced last."""
        self.holders.discard(address)
        self._record_split()

    def close(self) -> None:
        """Close the proxy and stop listening for announcements."""
        self._socket.close()
        self.proxy.close()
