"""Stand-ins for what lies between relays: a lossy way for datagrams, a way for connections that can be cut,
and a switch that passes clients on to whoever announced an address. Seeded, on loopback, in threads of their
own."""

import contextlib
import heapq
import json
import random
import select
import socket
import threading
import time


class Lossy:
    """Passes datagrams on to `to`, drops and delays and doubles some of them by seed."""

    def __init__(self, to: tuple[str, int], seed: int = 0) -> None:
        self.to, self._rng = to, random.Random(seed)
        self.loss = self.double = 0.0
        self.delay = (0.0, 0.0)  # seconds, least and most
        self.down = False
        self.passed = self.dropped = 0
        self.heard: list[bytes] = []  # the last ones, for replays
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind(("127.0.0.1", 0))
        self._socket.settimeout(0.002)
        self.address = f"127.0.0.1:{self._socket.getsockname()[1]}"
        self._late: list[tuple[float, int, bytes]] = []
        self._number = 0
        self._open = True
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self) -> None:
        while self._open:
            with contextlib.suppress(TimeoutError, OSError):
                self._take(self._socket.recv(4096))
            while self._late and self._late[0][0] <= time.monotonic():
                with contextlib.suppress(OSError):
                    self._socket.sendto(heapq.heappop(self._late)[2], self.to)

    def _take(self, raw: bytes) -> None:
        self.heard = [*self.heard[-9:], raw]
        if self.down or self._rng.random() < self.loss:
            self.dropped += 1
            return
        self.passed += 1
        for _ in range(1 + (self._rng.random() < self.double)):
            self._number += 1
            heapq.heappush(self._late, (time.monotonic() + self._rng.uniform(*self.delay), self._number, raw))

    def inject(self, raw: bytes) -> None:
        with contextlib.suppress(OSError):
            self._socket.sendto(raw, self.to)

    def close(self) -> None:
        self._open = False
        self._socket.close()


class Way:
    """Passes connections on to wherever `to` says now; `cut` ends them and takes none until `mend`."""

    def __init__(self, to: tuple[str, int] | None = None) -> None:
        self.to = to
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.port = self._listener.getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"
        self._pairs: set[tuple[socket.socket, socket.socket]] = set()
        self._is_cut = False
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                near, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._join, args=(near,), daemon=True).start()

    def _join(self, near: socket.socket) -> None:
        try:
            if self._is_cut or self.to is None:
                raise OSError("no way")
            far = socket.create_connection(self.to, timeout=2)
            far.settimeout(None)
        except OSError:
            near.close()
            return
        for end in (near, far):
            end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        pair = (near, far)
        self._pairs.add(pair)
        with contextlib.suppress(OSError, ValueError):
            self._pump(near, far)
        self._pairs.discard(pair)
        for end in pair:
            end.close()

    @staticmethod
    def _pump(near: socket.socket, far: socket.socket) -> None:
        other = {near: far, far: near}
        while True:
            for end in select.select([near, far], [], [], 5)[0]:
                raw = end.recv(65536)
                if not raw:
                    return
                other[end].sendall(raw)

    def cut(self) -> None:
        self._is_cut = True
        for pair in list(self._pairs):
            for end in pair:
                with contextlib.suppress(OSError):
                    end.shutdown(socket.SHUT_RDWR)

    def mend(self) -> None:
        self._is_cut = False

    def close(self) -> None:
        self._listener.close()
        self.cut()


class Switch:
    """Learns from announcements who holds the address, and passes new connections on there; open ones stay
    with whom they were. Counts periods in which two held it at once."""

    def __init__(self) -> None:
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._socket.getsockname()[1]}"
        self.way = Way()
        self.holders: set[str] = set()
        self.moves: list[tuple[float, str, bool]] = []
        self.splits: list[float] = []  # lengths, seconds
        self._split_since: float | None = None
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self) -> None:
        while True:
            try:
                word = json.loads(self._socket.recv(4096))
            except (OSError, ValueError):
                return
            self.moves.append((time.monotonic(), word["at"], word["holds"]))
            (self.holders.add if word["holds"] else self.holders.discard)(word["at"])
            if word["holds"]:
                host, _, port = word["at"].rpartition(":")
                self.way.to = (host, int(port))
            elif len(self.holders) == 1:
                host, _, port = next(iter(self.holders)).rpartition(":")
                self.way.to = (host, int(port))
            self._note()

    def _note(self) -> None:
        if len(self.holders) > 1 and self._split_since is None:
            self._split_since = time.monotonic()
        elif len(self.holders) <= 1 and self._split_since is not None:
            self.splits.append(time.monotonic() - self._split_since)
            self._split_since = None

    def forget(self, at: str) -> None:
        """A relay was ended: it holds nothing, whatever it said last."""
        self.holders.discard(at)
        self._note()

    def close(self) -> None:
        self._socket.close()
        self.way.close()
