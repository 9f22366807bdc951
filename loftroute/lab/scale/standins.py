"""Discovery and the platform in simulated time; they count messages and bytes. All times in ns."""

import json
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from loftroute.decision import interface as i
from loftroute.lab.scale import workload
from loftroute.lab.scale.simulation import Simulation
from loftroute.lab.setup import MS, SECOND
from loftroute.protocol import catalog, http1, pipeline

HOST = "10.0.0.1:8500"
RESPONSE_HEAD = len(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 1234567\r\n\r\n")
CHUNK_FRAME = len(b"1ff\r\n\r\n")
KEEP_ALIVE_LINE, KEEP_ALIVE_INTERVAL = b"{}\n", SECOND
HISTORY_CHANGES = 512  # changes that discovery keeps; a watch from an older version gets the whole list

SendAnswer = Callable[[bytes], None]


@dataclass
class Traffic:
    """Messages and bytes in each direction, and the calls of each second.

    Attributes:
        received, sent: Bytes.
        whole_lists: Answers that held the whole list.
        by_second: Calls by simulated second.
    """

    calls: int = 0
    received: int = 0
    answers: int = 0
    sent: int = 0
    whole_lists: int = 0
    by_second: Counter[int] = field(default_factory=Counter)

    def record_call(self, now: int, size: int) -> None:
        """Count a call of this size in bytes."""
        self.calls += 1
        self.received += size
        self.by_second[now // SECOND] += 1

    def record_answer(self, size: int) -> None:
        """Count an answer of this size in bytes."""
        self.answers += 1
        self.sent += size

    def busiest_second(self) -> int:
        """Return the largest number of calls within one second."""
        return max(self.by_second.values(), default=0)


class Discovery:
    """Discovery of one region: answers a watch with the changes since a version, or waits for a change."""

    def __init__(self, simulation: Simulation, region: int) -> None:
        self._simulation, self.region = simulation, region
        self.version, self.up = 1, True
        self.entries: dict[str, dict[str, Any]] = {}
        self.traffic = Traffic()
        self._changes: list[tuple[int, str]] = []  # (version, instance id) of each change, oldest first
        self._waiting: dict[int, tuple[int, SendAnswer]] = {}  # by caller: watched version, callback
        self._bodies: dict[int, bytes] = {}  # answers of the present version, by watched version

    def put(self, *entries: dict[str, Any]) -> None:
        """Store changed entries under a new version and answer the watches that wait.

        Entries with the lifecycle DELETED are left out of whole lists and sent as changes only.
        """
        self.version += 1
        for entry in entries:
            name = entry["instanceId"]
            self.entries[name] = entry
            self._changes.append((self.version, name))
        del self._changes[:-HISTORY_CHANGES]
        self._bodies.clear()
        if self.up:
            for caller in list(self._waiting):
                self._answer(caller)

    def watch(self, caller: int, since: int | None, wait: int, answer: SendAnswer) -> bool:
        """Ask for the changes since a version, or for the whole list (None).

        Calls `answer` at once or within `wait`. Returns False, and does nothing, while discovery is down.
        """
        if not self.up:
            return False
        target = catalog.list_target() if since is None else catalog.watch_target(since, wait // MS)
        self.traffic.record_call(self._simulation.now, len(http1.encode_request("GET", target, HOST)))
        self._waiting[caller] = (-1 if since is None else since), answer
        if since is None or since != self.version:
            self._answer(caller)
        else:
            watch = self._waiting[caller]
            self._simulation.after(wait, lambda: self._expire(caller, watch))
        return True

    def cancel_watch(self, caller: int) -> None:
        """Drop the watch of a caller that has gone."""
        self._waiting.pop(caller, None)

    def stop(self) -> list[int]:
        """End the process; return the callers whose connections are closed by that."""
        self.up = False
        dropped = list(self._waiting)
        self._waiting.clear()
        return dropped

    def start(self) -> None:
        """Start the process again with its entries and version, but without the history of changes."""
        self.up = True
        self._changes.clear()
        self._bodies.clear()

    def _expire(self, caller: int, watch: tuple[int, SendAnswer]) -> None:
        if self._waiting.get(caller) is watch:
            self._answer(caller)

    def _answer(self, caller: int) -> None:
        since, answer = self._waiting.pop(caller)
        self.traffic.whole_lists += not self._has_changes_since(since)
        body = self._body(since)
        self.traffic.record_answer(RESPONSE_HEAD + len(body))
        answer(body)

    def _body(self, since: int) -> bytes:
        if since not in self._bodies:
            self._bodies[since] = self._encode(since)
        return self._bodies[since]

    def _has_changes_since(self, since: int) -> bool:
        """Whether the history holds all changes after this version."""
        if since == self.version:
            return True
        return since >= 0 and bool(self._changes) and self._changes[0][0] <= since + 1

    def _encode(self, since: int) -> bytes:
        if since == self.version:
            return json.dumps(workload.document([], self.version, False)).encode()
        if self._has_changes_since(since):
            names = dict.fromkeys(name for version, name in self._changes if version > since)
            return json.dumps(
                workload.document([self.entries[name] for name in names], self.version, False)
            ).encode()
        listed = [entry for entry in self.entries.values() if entry["lifecycle"] != "DELETED"]
        return json.dumps(workload.document(listed, self.version, True)).encode()


class Platform:
    """The release platform: reports the release state to the relays and takes their votes.

    Votes are limited to a rate by a token bucket that holds two seconds' worth of calls.
    """

    def __init__(self, simulation: Simulation, calls_per_s: float) -> None:
        self._simulation, self._calls_per_s = simulation, calls_per_s
        self.region = 0
        self._call_tokens, self._refilled_at = 2 * calls_per_s, simulation.now
        self.state, self.up = workload.released(), True
        self.changed_at = simulation.now
        self.traffic = Traffic()
        self.votes: Counter[str] = Counter()

    def state_line(self) -> bytes:
        """Encode the line that reports the present state."""
        modes = {phase: mode for mode, phase in pipeline.PHASES.items()}
        state = self.state
        document = {
            "release": state.build,
            "tranche": state.stage,
            "mode": modes[i.Phase(state.phase)],
            "exposure": state.cap,
            "old_ms": (self._simulation.now - self.changed_at) // MS,
        }
        return json.dumps({"type": "stage", "object": document}).encode() + b"\n"

    def begin_trial(self, build: int, cap: float) -> None:
        """Put a build on trial at stage 0 with a cap on its share of the requests."""
        self.state = i.ReleaseNews(i.Phase.TRIAL, 0, 0, i.Outcome.OK, cap, build, False)
        self.changed_at = self._simulation.now

    def record_line_sent(self, size: int) -> None:
        """Count a line of this size in bytes, sent as one HTTP chunk."""
        self.traffic.record_answer(size + CHUNK_FRAME)

    def vote(self, vote: i.Vote) -> i.ReleaseNews:
        """Answer a vote: count it, or refuse it above the rate of calls that is allowed."""
        body = pipeline.vote_body(vote)
        size = len(http1.encode_request("POST", pipeline.vote_target(), HOST, body))
        now = self._simulation.now
        self.traffic.record_call(now, size)
        self._call_tokens = min(
            2 * self._calls_per_s, self._call_tokens + self._calls_per_s * (now - self._refilled_at) / SECOND
        )
        self._refilled_at = now
        if self._call_tokens < 1:
            self.votes["throttled"] += 1
            return pipeline.uncounted_vote(i.Outcome.FULL)
        self._call_tokens -= 1
        self.votes["taken"] += 1
        self.traffic.record_answer(RESPONSE_HEAD + len(self.state_line()))
        state = self.state
        age = now - self.changed_at
        return i.ReleaseNews(state.phase, age, state.stage, i.Outcome.OK, state.cap, state.build, True)
