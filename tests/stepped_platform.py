"""A platform for a stepped relay, which tells changes at once, late, in pieces or never, and takes votes."""

import contextlib
import json
import socket
from dataclasses import dataclass, field
from typing import Any

from loftroute.protocol.catalog import Address
from tests.stepped import SECOND, SteppedRelay
from tests.stepped_server import SteppedServer

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
HEARTBEAT_NS = SECOND


def state(stage: int, cap: float, build: int = 42) -> dict[str, Any]:
    """Return the state of a release on trial."""
    return {"release": build, "tranche": stage, "mode": "Progressing", "exposure": cap, "old_ms": 0}


@dataclass(eq=False)
class Peer:
    """A connection of the relay.

    Attributes:
        sock: its socket.
        heartbeat_at: when the next heartbeat of a stream is due (ns); None if it is no stream.
        queue: data to send, and when.
        is_forgotten: whether nothing is sent on it any more.
    """

    sock: socket.socket
    heartbeat_at: int | None = None
    queue: list[tuple[int, bytes]] = field(default_factory=list)
    is_forgotten: bool = False


class SteppedPlatform(SteppedServer):
    """The platform of a stepped relay.

    Attributes:
        address: its address.
        state: state of the release.
        delay_ns: how long after its time each byte is sent.
        spread_ns: how long after the first byte of a line its last one is sent.
        silent: whether nothing is told; streams that are open or opened meanwhile stay silent for good.
        streams: when each stream was asked for (ns).
        votes: when each vote came (ns).
        peers: the open connections, oldest first.
    """

    def __init__(self, relay: SteppedRelay) -> None:
        listener = socket.create_server(("127.0.0.1", 0))
        super().__init__(relay, listener)
        self.address = Address(*listener.getsockname())
        self.state = state(0, 0.2)
        self.delay_ns = self.spread_ns = 0
        self.silent = False
        self.streams: list[int] = []
        self.votes: list[int] = []
        self.peers: list[Peer] = []

    def change(self, **changes: Any) -> None:
        """Change the state and tell it on all streams."""
        self.state = {**self.state, **changes}
        for peer in self.peers:
            if peer.heartbeat_at is not None:
                self._tell(peer, self._state_line())

    def turn(self) -> None:
        """Read what has arrived, and send what is due."""
        super().turn()
        known = {peer.sock for peer in self.peers}
        self.peers += [Peer(sock) for sock in self.received if sock not in known]
        for peer in self.peers:
            if b"\r\n\r\n" in self.received[peer.sock]:
                self._handle(peer)
            peer.is_forgotten = peer.is_forgotten or self.silent
            self._send(peer)

    def disconnect(self, peer: socket.socket) -> None:
        """Close a connection."""
        super().disconnect(peer)
        self.peers = [other for other in self.peers if other.sock is not peer]

    def _handle(self, peer: Peer) -> None:
        """Take a request."""
        now, request = self._relay.clock.now(), self.received[peer.sock]
        self.received[peer.sock] = b""
        if request.startswith(b"GET /apis/fleet/changes"):
            self.streams.append(now)
            peer.queue.append((now + self.delay_ns, HEAD))
            peer.heartbeat_at = now + HEARTBEAT_NS
            self._tell(peer, self._state_line())
            return
        self.votes.append(now)
        body = json.dumps(self.state).encode()
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
        peer.queue.append((now + self.delay_ns, answer))

    def _state_line(self) -> bytes:
        return json.dumps({"type": "stage", "object": self.state}).encode() + b"\n"

    def _tell(self, peer: Peer, line: bytes) -> None:
        """Queue a line of a stream, in ten pieces if lines are spread."""
        raw = b"%x\r\n%b\r\n" % (len(line), line)
        count = 10 if self.spread_ns else 1
        size = -(-len(raw) // count)
        first_at = max([self._relay.clock.now() + self.delay_ns, *(at for at, _ in peer.queue)])
        for n in range(count):
            due = first_at + n * self.spread_ns // max(count - 1, 1)
            peer.queue.append((due, raw[n * size : (n + 1) * size]))

    def _send(self, peer: Peer) -> None:
        now = self._relay.clock.now()
        if peer.heartbeat_at is not None and now >= peer.heartbeat_at:
            peer.heartbeat_at += HEARTBEAT_NS
            if not self.spread_ns or not peer.queue:
                self._tell(peer, b"{}\n")
        while peer.queue and peer.queue[0][0] <= now:
            _, data = peer.queue.pop(0)
            if not peer.is_forgotten:
                with contextlib.suppress(OSError):
                    peer.sock.sendall(data)
