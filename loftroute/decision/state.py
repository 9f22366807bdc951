"""Plain records that the policy keeps, and a counter over a sliding window. Nothing is decided here."""

from collections import deque
from dataclasses import dataclass, field

from loftroute.decision.interface import Action, Outcome, ReleaseNews, RequestClass, ServerEntry

Seen = tuple[int, int, int, float]  # an outcome: when, 1 = bad, 1 = error, time taken for its work


class WindowSum:
    """The sum of amounts added within the last `length` nanoseconds, both ends counted."""

    __slots__ = ("_items", "_total", "length")

    def __init__(self, length: int) -> None:
        self.length = length
        self._items: deque[tuple[int, float]] = deque()
        self._total = 0.0

    def add(self, now: int, amount: float) -> None:
        self.total(now)  # drops what has passed, so that a counter seldom read does not grow
        self._items.append((now, amount))
        self._total += amount

    def total(self, now: int) -> float:
        items, oldest = self._items, now - self.length
        while items and items[0][0] < oldest:
            self._total -= items.popleft()[1]
        if not items:
            self._total = 0.0
        return self._total


class Rate:
    """How often events come: in the last `length`, or of the latest few where these lie further back."""

    __slots__ = ("_all", "_latest", "length")

    def __init__(self, length: int, least: int) -> None:
        self.length, self._all = length, WindowSum(length)
        self._latest: deque[int] = deque(maxlen=least)

    def add(self, now: int) -> None:
        self._all.add(now, 1.0)
        self._latest.append(now)

    def rate(self, now: int) -> float:
        """Events for each `length`."""
        seen, latest = self._all.total(now), self._latest
        if latest and seen < len(latest):
            return len(latest) * self.length / max(now - latest[0], self.length)
        return seen


@dataclass(slots=True)
class Attempt:
    entry: ServerEntry
    sent: int
    warm: bool
    work: float
    outcome: Outcome | None = None


@dataclass(slots=True)
class Request:
    id: str
    key: str | None
    cls: int
    rule: RequestClass
    work: float
    arrived: int
    aim_at: int
    deadline: int
    attempts: list[Attempt] = field(default_factory=list)


@dataclass(slots=True)
class Server:
    entry: ServerEntry
    sent: WindowSum
    done: WindowSum
    pace: float
    started: int
    warmth: float = 1.0
    listed: bool = True
    out: dict[tuple[str, int], Attempt] = field(default_factory=dict)
    load: float = 0.0
    heard: int = 0
    fails: int = 0
    fail_rate: float = 0.0
    ejected_until: int = 0
    ejections: int = 0
    doubts: int = 0

    def quiet(self, now: int) -> int:
        """How long attempts have been out without a word."""
        oldest = next(iter(self.out.values()), None)
        return now - max(self.heard, oldest.sent) if oldest else 0


@dataclass(slots=True)
class Ballot:
    """The last vote that was sent: what it said, when, and until when it stands."""

    stage: int
    build: int
    verdict: int
    sent: int
    pending: bool = True
    until: int = 0


@dataclass(eq=False)
class Memory:
    """What an instance knows; empty at its start."""

    now: int = 0
    born: int = 0
    actions: list[Action] = field(default_factory=list)
    servers: dict[int, Server] = field(default_factory=dict)
    alive: list[Server] = field(default_factory=list)
    ready: list[Server] = field(default_factory=list)
    builds: list[int] = field(default_factory=list)
    usually: float = 0.0
    share: float = 0.0
    requests: dict[str, Request] = field(default_factory=dict)
    held: dict[str, None] = field(default_factory=dict)
    sweeping: bool = False
    watch_tries: int = 0
    pace: float = 1.0
    wait: float = 0.0
    seen: int = 0
    fail_rate: float = 0.0
    news: ReleaseNews | None = None
    stage_since: int = 0
    build_since: int = 0
    easy_at: int = 0
    tokens: dict[tuple[int, int], float] = field(default_factory=dict)
    forward: dict[str, int] = field(default_factory=dict)
    outcomes: dict[int, deque[Seen]] = field(default_factory=dict)
    alarm: bool = False
    ballot: Ballot | None = None
    drawn: int = 0

    def earlier(self, build: int) -> deque[Seen] | tuple[()]:
        """The outcomes kept of the build before this one."""
        return self.outcomes.get(max((b for b in self.outcomes if b < build), default=-1), ())

    def forget(self, name: str) -> None:
        """A request has ended."""
        self.requests.pop(name, None)
        self.held.pop(name, None)
