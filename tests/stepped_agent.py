"""An agent of discovery for a stepped relay, which answers at once, late, in pieces or never."""

import json
import re
import socket
from dataclasses import dataclass
from typing import Any

from tests.stepped import MS, SECOND, SteppedRelay
from tests.stepped_server import SteppedServer

REQUEST = re.compile(rb"GET /catalog/members(?:\?index=(\d+)&wait=(\d+))? HTTP/1.1\r\n(?:[^\r]+\r\n)*\r\n")

SITES: dict[str, dict[str, Any]] = {  # what two of the users' deployments set for discovery
    "zagreb-jobs": {"discovery": "push", "obligations__drain_grace": 1000 * MS},
    "rijeka-quotes": {
        "discovery": "ask",
        "obligations__drain_grace": 500 * MS,
        "obligations__ask_within": 10_000 * MS,
    },
}


@dataclass(eq=False)
class Call:
    """A call of the relay.

    Attributes:
        peer: the connection.
        arrived_at: when it came (ns).
        since: the version that the relay has; None for the full list.
        wait_ns: how long to wait for a change.
        pieces: the parts of the answer that are not sent yet and when each is due; None without an answer.
    """

    peer: socket.socket
    arrived_at: int
    since: int | None
    wait_ns: int
    pieces: list[tuple[int, bytes]] | None = None


class SteppedAgent(SteppedServer):
    """The agent of a stepped relay.

    Attributes:
        version: version of its list.
        delay_ns: how long after an answer is made its first byte is sent.
        spread_ns: how long after the first byte the last one is sent.
        service_ns: how long it takes to make an answer, one after the other.
        silent: whether calls that arrive are never answered, and open ones are forgotten.
        calls: when each call arrived (ns).
    """

    def __init__(self, relay: SteppedRelay) -> None:
        super().__init__(relay, relay.discovery)
        self.version, self._states = 1, dict.fromkeys(relay.units, ("SERVING", 1))
        self.delay_ns = self.spread_ns = self.service_ns = 0
        self.silent = False
        self.calls: list[int] = []
        self._open_calls: list[Call] = []
        self._busy_until = 0

    @property
    def connections(self) -> int:
        """Number of connections that the relay holds."""
        return len(self.received)

    def change(self, **states: str) -> None:
        """Change the states of units by id."""
        self.version += 1
        self._states.update({name: (state, self.version) for name, state in states.items()})

    def turn(self) -> None:
        """Read the calls that have arrived, and send what is due."""
        super().turn()
        for peer in self.received:
            self._take_calls(peer)
        if self.silent:
            self._open_calls.clear()
        for call in list(self._open_calls):
            self._answer(call)

    def _take_calls(self, peer: socket.socket) -> None:
        """Note the calls that were read on a connection."""
        while match := REQUEST.match(self.received[peer]):
            self.received[peer] = self.received[peer][match.end() :]
            since, wait_ms = match.groups()
            now = self._relay.clock.now()
            self.calls.append(now)
            self._open_calls.append(
                Call(peer, now, None if since is None else int(since), int(wait_ms or 0) * MS)
            )

    def disconnect(self, peer: socket.socket) -> None:
        """Close a connection and forget its calls."""
        super().disconnect(peer)
        self._open_calls = [call for call in self._open_calls if call.peer is not peer]

    def _answer(self, call: Call) -> None:
        """Make the answer to a call if it is time, and send the pieces that are due."""
        now = self._relay.clock.now()
        if call.pieces is None:
            is_waiting = call.since == self.version and now < call.arrived_at + call.wait_ns
            if is_waiting or now < self._busy_until:
                return
            call.pieces = self._pieces(call.since, now)
        while call.pieces and call.pieces[0][0] <= now:
            _, piece = call.pieces.pop(0)
            call.peer.sendall(piece)
        if not call.pieces:
            self._open_calls.remove(call)

    def _pieces(self, since: int | None, now: int) -> list[tuple[int, bytes]]:
        """Return the answer in ten pieces, or in one if it is not spread."""
        is_full = since is None or since > self.version  # the numbering may have started again
        names = {name: state for name, (state, at) in self._states.items() if is_full or at > (since or 0)}
        listed = self._relay.listed(self.version, whole=is_full, **names)
        body = json.dumps(listed).encode()
        raw = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
        count = 10 if self.spread_ns else 1
        size = -(-len(raw) // count)
        self._busy_until = now + self.service_ns
        first_at = self._busy_until + self.delay_ns
        return [
            (first_at + n * self.spread_ns // max(count - 1, 1), raw[n * size : (n + 1) * size])
            for n in range(count)
        ]


def told_after(agent: SteppedAgent, relay: SteppedRelay, at_most_s: float, unit: str = "u0") -> float:
    """Return after how many seconds the relay has the agent's state of a unit; fail beyond `at_most_s`."""
    started_at, number = relay.clock.now(), int(unit[1:]) + 1
    wanted = {"SERVING": "READY", "DRAINING": "DRAINING"}[agent._states[unit][0]]
    while relay.relay.units.units[number].entry.state.name != wanted:
        agent.run(20)
        elapsed = (relay.clock.now() - started_at) / SECOND
        assert elapsed <= at_most_s, f"{unit} {wanted}: not told {elapsed:.2f} s after the agent had it"
    return (relay.clock.now() - started_at) / SECOND
