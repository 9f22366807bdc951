"""Runs a complete relay in the test process, on real loopback sockets, one scheduler iteration at a time.

The clock moves only when the test moves it. Everything that a test prepares before an iteration is ready when
the relay polls, so tests force an order of events and don't depend on timing.
"""

import contextlib
import socket
import struct
from typing import Any

from loftroute import config
from loftroute.lab.setup import setup
from loftroute.lab.standins import command, free_port
from loftroute.relay.lifecycle import Relay
from loftroute.relay.request_log import CloseReason

MS, SECOND = 1_000_000, 1_000_000_000


class Clock:
    """A clock that moves only when a test sets `time`; `step` is that of the wall clock (nanoseconds)."""

    def __init__(self) -> None:
        self.time = 1000 * SECOND
        self.step = 0

    def wall_step(self) -> int:
        """Return by how much the wall clock was stepped, in nanoseconds."""
        return self.step

    def now(self) -> int:
        """Return the current time in nanoseconds."""
        return self.time


def got(sock: socket.socket) -> bytes:
    """Return all data that is available; raise ConnectionResetError if the connection was reset."""
    sock.setblocking(False)
    data = b""
    with contextlib.suppress(BlockingIOError):
        while part := sock.recv(1 << 16):
            data += part
    return data


def ended(sock: socket.socket) -> bool:
    """Return whether the peer has shut down its sending side."""
    sock.setblocking(False)
    try:
        return sock.recv(1) == b""
    except BlockingIOError:
        return False


def reset(sock: socket.socket) -> None:
    """Close a connection with a TCP reset."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


def served(value: bytes) -> bytes:
    """Return a unit's successful answer."""
    return b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (len(value), value)


def value(text: bytes) -> bytes:
    """Return the answer that a client gets for a unit's `served(text)`."""
    return b"$%d\r\n%b\r\n" % (len(text), text)


class Unit:
    """A unit whose side of each connection is driven by the test.

    Attributes:
        address: HOST:PORT of the listener.
        peers: all accepted connections.
        heard: the data that was received on each connection.
    """

    def __init__(self, backlog: int = 64, buffer: int | None = None) -> None:
        """Listen with the given backlog; `buffer` is the size of the receive buffer in bytes."""
        self.listener = socket.socket()
        if buffer:
            self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(backlog)
        self.listener.setblocking(False)
        host, port = self.listener.getsockname()
        self.address = f"{host}:{port}"
        self.peers: list[socket.socket] = []
        self.heard: dict[socket.socket, bytes] = {}

    def look(self, reading: bool = True) -> bytes:
        """Accept pending connections, read what is available, and return all data received so far."""
        with contextlib.suppress(BlockingIOError):
            while True:
                peer, _ = self.listener.accept()
                self.peers.append(peer)
                self.heard[peer] = b""
        for peer in self.peers if reading else ():
            with contextlib.suppress(OSError):
                self.heard[peer] += got(peer)
        return b"".join(self.heard.values())

    def asks(self) -> int:
        """Return the number of requests that were received."""
        return self.look().count(b"\r\nQ.")

    def asked(self, mark: bytes) -> socket.socket:
        """Return the connection on which `mark` was received."""
        return next(peer for peer, heard in self.heard.items() if mark in heard)


class SteppedRelay:
    """A relay with its units, clients and discovery.

    Attributes:
        units: the units by id.
        discovery: the listening socket of discovery.
        started_ms: what the list tells of a unit's start, by id; 0 for all others (Unix time in ms).
        raw: the configuration.
        clients: the clients' ends of their connections.
    """

    def __init__(self, units: dict[str, Unit], limits: dict[str, Any] | None = None, **changes: Any) -> None:
        self.clock, self.units = Clock(), units
        self.started_ms: dict[str, int] = {}
        self.discovery = socket.create_server(("127.0.0.1", 0))
        self.port = free_port()
        discovery_address = "{}:{}".format(*self.discovery.getsockname())
        self.raw = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": discovery_address,
            "seed": "1f",
            "limits": limits or {"cores": 1.0, "memory_mb": 192, "sockets": 256},
            "known": self.listed(),
            "settings": setup(
                **{"instances": 1, "parties": [{"name": "acme", "allowance_per_s": 1000.0}], **changes}
            ),
        }
        self.relay = Relay(config.read(self.raw, {}), self.clock)
        self.scheduler = self.relay.scheduler
        self.scheduler._max_wait = MS  # an iteration without events ends at once
        self.relay.start()
        self.clients: list[socket.socket] = []
        self.turn()

    def listed(self, generation: int = 1, whole: bool = True, **states: str) -> dict[str, Any]:
        """Return discovery's list: all units, or without `whole` those with a state in `states`."""
        return {
            "generation": generation,
            "reset": whole,
            "instances": [
                {
                    "instanceId": name,
                    "hostPort": unit.address,
                    "zone": "a",
                    "machineType": "m",
                    "cell": 0,
                    "lifecycle": states.get(name, "SERVING"),
                    "weight": 1.0,
                    "startedAtMs": self.started_ms.get(name, 0),
                    "release": 41,
                }
                for name, unit in self.units.items()
                if whole or name in states
            ],
        }

    def tell(self, **listing: Any) -> None:
        """Hand a list to the relay, as if discovery had sent it; the arguments are those of `listed`."""
        self.relay.module.handle_listing(self.relay.config.catalog.read_document(self.listed(**listing)))

    def turn(self, turns: int = 1) -> None:
        """Run iterations of the relay; all units read after each."""
        for _ in range(turns):
            self.scheduler.turn(self.clock.now())
            for unit in self.units.values():
                unit.look()

    def until(self, condition: Any) -> Any:
        """Run iterations until `condition()` is true, and return its result."""
        for _ in range(300):
            if result := condition():
                return result
            self.turn()
        raise AssertionError("the condition was not met in 300 iterations")

    def step(self, ms: float, turns: int = 3) -> None:
        """Advance the clock by milliseconds and run iterations."""
        self.clock.time += int(ms * MS)
        self.turn(turns)

    def client(self, buffer: int | None = None) -> socket.socket:
        """Connect a client; `buffer` is the size of its receive buffer in bytes."""
        sock = socket.socket()
        if buffer:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer)
        sock.connect(("127.0.0.1", self.port))
        sock.setblocking(False)
        self.clients.append(sock)
        return sock

    def terminate(self) -> None:
        """Start a graceful shutdown, as SIGTERM does."""
        self.scheduler._running = True
        self.relay._on_terminate()

    def closing(self) -> None:
        """Start a graceful shutdown and run until the relay begins to close connections."""
        self.terminate()
        self.until(lambda: self.relay.clients.closing or self.step(20, 1))

    @property
    def stopped(self) -> bool:
        """Whether the relay has ended."""
        return not self.scheduler._running

    def stop(self) -> None:
        """Close all sockets."""
        for connection in list(self.relay.clients.connections):
            connection.close(CloseReason.SHUTDOWN)
        if not self.relay.clients.closing:
            self.relay.clients.close()
        for unit in self.relay.units.units.values():
            for connection in list(unit.connections):
                connection.abort()
        peers = (peer for unit in self.units.values() for peer in (unit.listener, *unit.peers))
        for sock in (*self.clients, self.discovery, *peers):
            sock.close()


def served_at(relay, mark: bytes, text: bytes = b"V"):
    """Answer the request that contains `mark`; return the unit and the connection that got it."""

    def receiver():
        for unit in relay.units.values():
            unit.look()
            if any(mark in heard for heard in unit.heard.values()):
                return unit, unit.asked(mark)
        return None

    unit, peer = relay.until(receiver)
    unit.heard[peer] = b""
    peer.sendall(served(text))
    return unit, peer


ids = iter(range(1, 1 << 30))


def ask(key: str = "k", d: int = 2900, kind: str = "read") -> bytes:
    """Return a request of the class `kind` whose deadline is in `d` milliseconds."""
    verb = "Q.ASK" if kind == "read" else "Q.DO"
    idempotency_field = ",k=5c0f" if kind == "put" else ""
    return command(verb, key, f"{next(ids):016x}", f"c={kind},t=acme,d={d}{idempotency_field}")


def fill_accept_queue(listener: socket.socket) -> list[socket.socket]:
    """Fill the accept queue of a listener with a backlog of 0; return the clients' ends."""
    socks = [socket.socket() for _ in range(3)]
    for sock in socks:
        sock.setblocking(False)
        sock.connect_ex(listener.getsockname())
    return socks


def fill(unit: Unit) -> list[socket.socket]:
    """Fill the accept queue of a unit with a backlog of 0, so that dials to it wait until `free`."""
    socks = fill_accept_queue(unit.listener)
    unit.look = lambda reading=True: b""  # type: ignore[method-assign]
    return socks


def free(unit: Unit, socks: list[socket.socket]) -> None:
    """Undo `fill`."""
    for sock in socks:
        sock.close()
    del unit.look  # type: ignore[method-assign]


def slow_reader(stepped: SteppedRelay) -> tuple[socket.socket, Any]:
    """Return a client with small buffers whose long answer is partly sent, and its connection at the
    relay.
    """
    reader = stepped.client(buffer=4096)
    connection = stepped.until(lambda: next(iter(stepped.relay.clients.connections), None))
    connection._stream._sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    reader.sendall(ask())
    served_at(stepped, b"Q.ASK", b"x" * 65000)
    stepped.until(lambda: connection.unsent)
    return reader, connection


def long_request(stepped: SteppedRelay) -> tuple[socket.socket, Unit, Any]:
    """Send a long unsafe request while the only idle connection, to unit u0, accepts just a part of it.

    Returns the client, the unit and the connection to the unit.
    """
    client, unit = stepped.client(), stepped.units["u0"]
    client.sendall(ask("warm"))
    served_at(stepped, b"warm")
    stepped.until(lambda: got(client) == value(b"V"))
    stepped.step(30)
    (idle,) = stepped.relay.units.units[1].idle
    idle._stream._sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    head = ask("k", kind="pay").replace(b"*4", b"*5", 1)
    client.sendall(head + b"$65000\r\n" + b"x" * 65000 + b"\r\n")
    return client, unit, idle
