"""A small model over the very cores of the pair, explored to a depth and by seeds beyond it.

Two sides, a link that keeps order and breaks, a witness that answers late or never, crashes that keep only
what is on disk, clients that ask both sides with the same ids, a unit that counts. Invariants: no id reaches
the unit twice, no epoch is alone on both sides, and no side acts on what is not on its disk.
"""

import copy
import random
from collections import deque
from dataclasses import dataclass, field
from typing import Any

from loftroute.pair.events import (
    AskWitness,
    Denied,
    Event,
    FlushRecords,
    Granted,
    LinkDown,
    LinkUp,
    MessageReceived,
    RecordStored,
    SendMessage,
    SendRecords,
    SendRequested,
    StateStored,
    StoreRecord,
    StoreState,
    Tick,
    WitnessAnswered,
)
from loftroute.pair.fence import PairLimits, PairMember, Witness
from loftroute.pair.messages import Claim, MemberState, Mirror, Mode, SyncEnd, WitnessRecord

BOUNDS = PairLimits(heartbeat_timeout=1, retry_interval=0)
MAY = b"may"


class Broken(AssertionError):
    """An invariant does not hold; the steps that led there are in its text."""


@dataclass
class Node:
    """A relay: its core, what is on its disk, what is only in its memory."""

    side: PairMember
    disk: dict[str, bytes] = field(default_factory=dict)
    standing: MemberState = field(default_factory=MemberState)
    open: set[str] = field(default_factory=set)
    work: deque[Any] = field(default_factory=deque)  # writes under way, in order
    up: bool = True
    link: int = 0  # the connection that it knows


@dataclass
class World:
    """All of it. `steps` lists what may happen next, `do` has it happen."""

    ids: tuple[str, ...] = ("x",)
    crashes: int = 1
    cuts: int = 2
    fenced: bool = True  # False: the fence is taken out, as a control
    witnessed: bool = True
    nodes: dict[str, Node] = field(default_factory=dict)
    wire: dict[str, deque[Any]] = field(default_factory=dict)  # to a node
    asks: dict[str, Any] = field(default_factory=dict)  # of a node at the witness
    answers: dict[str, Any] = field(default_factory=dict)
    witness: Witness = field(default_factory=Witness)
    linked: bool = False
    sent: dict[str, list[str]] = field(default_factory=dict)
    asked: dict[tuple[str, str], int] = field(default_factory=dict)
    alone: dict[int, str] = field(default_factory=dict)
    now: int = 0

    def __post_init__(self) -> None:
        for name in ("a", "b"):
            self.nodes[name] = Node(PairMember(name, BOUNDS, self.witnessed))
            self.wire[name] = deque()

    def paired(self) -> "World":
        """The usual beginning: both paired in epoch 1, and linked."""
        for name, node in self.nodes.items():
            node.standing = node.side.state = MemberState(1, Mode.PAIRED)
            node.side.linked, node.side.peer = True, MemberState(1, Mode.PAIRED)
            self.wire[name].clear()
        self.linked, self.witness.record = True, WitnessRecord(1, "")
        return self

    # ---- what may happen

    def steps(self) -> list[tuple[str, ...]]:
        found: list[tuple[str, ...]] = []
        for name, node in self.nodes.items():
            if not node.up:
                found.append(("start", name))
                continue
            if node.work:
                found.append(("disk", name))
            if self.linked and self.wire[name]:
                found.append(("hear", name))
            if name in self.asks:
                found.append(("witness", name))
            if name in self.answers:
                found.append(("answer", name))
            for one in self.ids:
                if one not in node.open and self.asked.get((name, one), 0) < 2:
                    found.append(("ask", name, one))
            if self.crashes:
                found.append(("crash", name))
            if not self.linked or not node.side.may_send:
                found.append(("tick", name))
        if self.linked and self.cuts:
            found.append(("cut",))
        if not self.linked and all(node.up for node in self.nodes.values()):
            found.append(("link",))
        return found

    def do(self, step: tuple[str, ...]) -> None:
        self.now += 1
        getattr(self, f"_{step[0]}")(*step[1:])

    def _peer(self, name: str) -> str:
        return "b" if name == "a" else "a"

    def _disk(self, name: str) -> None:
        node = self.nodes[name]
        kind, *what = node.work.popleft()
        if kind == "standing":
            node.standing = what[0]
            if what[0].mode is Mode.ALONE and self.alone.setdefault(what[0].epoch, name) != name:
                raise Broken(f"epoch {what[0].epoch} is alone on both sides")
            self._run(name, StateStored(what[0]))
        elif kind == "intent":
            node.disk[what[0]] = MAY
            self._run(name, SendRequested(what[0], MAY))
        elif kind == "keep":
            node.disk[what[0]] = what[1]
            if what[2] and what[3] == node.link:
                self._run(name, RecordStored(what[2]))
        elif what[0] == node.link:
            self._run(name, RecordStored(0))

    def _hear(self, name: str) -> None:
        node, message = self.nodes[name], self.wire[name].popleft()
        known = set(node.disk) | {w[1] for w in node.work if w[0] in ("intent", "keep")}
        conflict = isinstance(message, Claim) and (message.id in node.open or message.id in known)
        self._run(name, MessageReceived(message, conflict))

    def _witness(self, name: str) -> None:
        ask = self.asks.pop(name)
        self.witness.record = self.witness.decide(ask)
        self.answers[name] = self.witness.record

    def _answer(self, name: str) -> None:
        self._run(name, WitnessAnswered(self.answers.pop(name)))

    def _ask(self, name: str, one: str) -> None:
        """A client asks; what this side knows to have run, or maybe run, is not sent again."""
        node = self.nodes[name]
        self.asked[name, one] = self.asked.get((name, one), 0) + 1
        known = one in node.disk or any(w[1] == one for w in node.work if w[0] in ("intent", "keep"))
        if not known:
            node.open.add(one)
            node.work.append(("intent", one))

    def _crash(self, name: str) -> None:
        self.crashes -= 1
        node = self.nodes[name]
        node.up = False
        node.open.clear()
        node.work.clear()
        self.asks.pop(name, None)
        self.answers.pop(name, None)
        if self.linked:
            self._unlink()

    def _start(self, name: str) -> None:
        node = self.nodes[name]
        node.side = PairMember(name, BOUNDS, self.witnessed, node.standing)
        node.up = True

    def _cut(self) -> None:
        self.cuts -= 1
        self._unlink()

    def _unlink(self) -> None:
        self.linked = False
        for name, node in self.nodes.items():
            self.wire[name].clear()
            node.link += 1
            if node.up:
                self._run(name, LinkDown())

    def _link(self) -> None:
        self.linked = True
        for name in self.nodes:
            self._run(name, LinkUp())

    def _tick(self, name: str) -> None:
        self._run(name, Tick())

    # ---- actions

    def _run(self, name: str, event: Event) -> None:
        node = self.nodes[name]
        for action in node.side.handle(self.now, event):
            if isinstance(action, SendMessage):
                if self.linked:
                    self.wire[self._peer(name)].append(action.message)
            elif isinstance(action, AskWitness):
                self.asks[name] = action.request
            elif isinstance(action, StoreState):
                node.work.append(("standing", action.state))
            elif isinstance(action, StoreRecord):
                node.work.append(("keep", action.id, action.record, action.number, node.link))
            elif isinstance(action, FlushRecords):
                node.work.append(("sync", node.link))
            elif isinstance(action, SendRecords):
                for one, record in node.disk.items():
                    self.wire[self._peer(name)].append(Mirror(one, record))
                self.wire[self._peer(name)].append(SyncEnd())
            elif isinstance(action, Granted):
                self._send(name, action.id)
            elif isinstance(action, Denied):
                if self.fenced:
                    node.open.discard(action.id)
                else:
                    self._send(name, action.id)

    def _send(self, name: str, one: str) -> None:
        node = self.nodes[name]
        if one not in node.open:
            return
        node.open.discard(one)
        self.sent.setdefault(one, []).append(name)
        if len(self.sent[one]) > 1:
            raise Broken(f"{one} was sent by {self.sent[one]}")

    def key(self) -> str:
        """The same for states that go on alike."""
        return repr(
            (
                self.nodes,
                self.wire,
                self.asks,
                self.answers,
                self.witness,
                self.linked,
                self.crashes,
                self.cuts,
                self.sent,
                self.asked,
            )
        ).replace(f"down_since={self.now}", "")


def explore(world: World, depth: int) -> int:
    """Every order of steps up to a depth; how many states were seen."""
    seen: set[str] = set()
    layer = [(world, ())]
    for _ in range(depth):
        following = []
        for state, path in layer:
            for step in state.steps():
                made = copy.deepcopy(state)
                try:
                    made.do(step)
                except Broken as problem:
                    raise Broken(f"{problem}: {[*path, step]}") from None
                for node in made.nodes.values():  # times are for asking only: any may pass
                    node.side.down_since = node.side.asked_at = -10
                made.now = 0
                key = made.key()
                if key not in seen:
                    seen.add(key)
                    following.append((made, (*path, step)))
        layer = following
    return len(seen)


def wander(seed: int, length: int, ids: int = 3, **how: Any) -> World:
    """One long random history."""
    rng = random.Random(seed)
    world = World(tuple("xyzuvwopqr"[:ids]), crashes=rng.randint(0, 5), cuts=rng.randint(0, 6), **how)
    if rng.random() < 0.7:
        world.paired()
    path = []
    for _ in range(length):
        steps = world.steps()
        if not steps:
            break
        path.append(rng.choice(steps))
        try:
            world.do(path[-1])
        except Broken as problem:
            raise Broken(f"seed {seed}: {problem}: {path}") from None
    return world


__all__ = ["Broken", "World", "explore", "wander"]
