"""Trials of the store on the faulty disk: a seeded history with crashes, and a checker that knows the
history.

The checker's claim after each restart: the state found is one that the store passed through, and holds every
batch of which it was said that it is safe. A broken claim raises `Broken` with the seed that shows it.
"""

import errno
import random
from collections.abc import Generator
from dataclasses import dataclass, field
from typing import Any

from loftroute.lab.disk import Disk, DiskDirectory, PowerLost
from loftroute.store.engine import Engine
from loftroute.store.followers import Follower
from loftroute.store.plan import DurabilityUnknownError, Limits, WriteRefusedError
from loftroute.store.records import DELETE, PUT, Op, StoreError
from loftroute.store.state import CutOffError, Snapshot
from loftroute.store.steps import Sync

SMALL = Limits(
    segment_bytes=1500,
    batch_bytes=600,
    pending_bytes=4000,
    total_bytes=60_000,
    reserve_bytes=2048,
    checkpoint_keys=12,
    snapshot_keys=40,
    follower_bytes=6000,
    merge_count=4,
)
State = dict[bytes, tuple[bytes, int]]  # key: value, expiry


class Broken(AssertionError):
    """The store broke a promise."""


@dataclass
class Tally:
    """What a trial went through."""

    batches: int = 0
    acknowledged: int = 0
    unsure: int = 0
    refused: int = 0
    crashes: int = 0
    kills: int = 0
    faults: int = 0
    compactions: int = 0
    checkpoints: int = 0
    checkpoints_used: int = 0
    torn: int = 0
    followed: int = 0
    snapshots: int = 0
    cut_off: int = 0

    def add(self, other: "Tally") -> None:
        for name in self.__dataclass_fields__:
            setattr(self, name, getattr(self, name) + getattr(other, name))


@dataclass(eq=False)
class Batch:
    ops: list[Op]
    verdict: str = ""


@dataclass
class Trial:
    """One history from one seed."""

    seed: int
    rounds: int = 250
    limits: Limits = SMALL
    faults: bool = True  # errors of the disk besides losses of power
    tally: Tally = field(default_factory=Tally)

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.disk = Disk(self.rng)
        self.now = 1_000
        self.safe: State = {}
        self.open: list[Batch] = []  # not yet answered, in order
        self.maybe: list[Batch] = []  # answered as unsure, nothing acknowledged since
        self.log: list[tuple[bytes, bytes | None]] = []  # every acknowledged change
        self.running: dict[str, Generator[Sync | int, Exception | None, None]] = {}
        self.answers: dict[str, Exception | None] = {}
        self.follower: Follower | None = None
        self.snapshot: tuple[Snapshot, State] | None = None
        self.number = self.life = 0

    # ---- the history

    def run(self) -> Tally:
        self._open()
        for _ in range(self.rounds):
            try:
                self._round()
            except PowerLost:
                self._restart(power=True)
            if self.rng.random() < 0.015:
                self._restart(power=self.rng.random() < 0.6)
        self._quiet()
        self._restart(power=True)
        return self.tally

    def _open(self) -> None:
        self.disk.power_at = None
        self.disk.fail = lambda call, name: None
        self.disk.lies = False
        self.engine = Engine(DiskDirectory(self.disk), self.limits, b"\1" * 8, now=self.now)
        self.space = self.engine.space("trial")
        self.running, self.answers = {}, {}
        self.follower = self.snapshot = None
        self.tally.checkpoints_used += bool(self.engine.recovery.checkpoint)
        self.tally.torn += bool(self.engine.recovery.torn_bytes)
        if self.rng.random() < 0.5:
            self.disk.power_at = self.disk.steps + self.rng.randint(1, 120)
        if self.faults and self.rng.random() < 0.4:
            self._arm_faults()

    def _arm_faults(self) -> None:
        chance, kind = self.rng.uniform(0.005, 0.1), self.rng.choice([errno.EIO, errno.ENOSPC])
        calls = self.rng.choice([("sync",), ("write",), ("sync", "write", "create", "rename", "truncate")])

        def fail(call: str, name: str) -> OSError | None:
            if call in calls and self.rng.random() < chance:
                self.tally.faults += 1
                return OSError(kind, "planned", name)
            return None

        self.disk.fail = fail

    def _round(self) -> None:
        rng = self.rng
        self.now += rng.randint(0, 20)
        choice = rng.random()
        if choice < 0.4:
            self._submit()
        elif choice < 0.8:
            self._step()
        elif choice < 0.86:
            self._look()
        elif choice < 0.9:
            self._follow()
        elif choice < 0.93:
            self._snapshot()
        else:
            self._begin()

    def _submit(self) -> None:
        rng = self.rng
        ops = []
        for _ in range(1 if rng.random() < 0.7 else rng.randint(2, 5)):
            key = b"k%d" % rng.randrange(25)
            self.number += 1
            if rng.random() < 0.25:
                ops.append(Op(DELETE, self.space, key))
            else:
                value = b"%d:" % self.number + b"x" * rng.choice([0, 10, 60])
                ops.append(
                    Op(
                        PUT,
                        self.space,
                        key,
                        value,
                        self.now + rng.randint(1, 200) if rng.random() < 0.3 else 0,
                    )
                )
        batch = Batch(ops)
        self.tally.batches += 1
        try:
            self.open.append(batch)
            life = self.life
            self.engine.submit(ops, lambda problem: self._answered(batch, problem, life))
        except WriteRefusedError:
            self.open.remove(batch)
            self.tally.refused += 1

    def _answered(self, batch: Batch, problem: StoreError | None, life: int) -> None:
        if life != self.life:
            return
        if batch.verdict or self.open[0] is not batch:
            raise Broken(f"seed {self.seed}: a batch was answered twice or out of turn")
        self.open.pop(0)
        if problem is None:
            batch.verdict = "safe"
            self.maybe = []
            _apply(self.safe, batch)
            self.log += [(op.key, op.value if op.kind == PUT else None) for op in batch.ops]
            self.tally.acknowledged += 1
        elif isinstance(problem, DurabilityUnknownError):
            batch.verdict = "unsure"
            self.maybe.append(batch)
            self.tally.unsure += 1
        else:
            batch.verdict = "refused"
            self.tally.refused += 1

    def _begin(self) -> None:
        engine, rng = self.engine, self.rng
        if rng.random() < 0.6 and (run := engine.compaction_due()):
            self.running.setdefault("compact", engine.compact(run, self.now))
        elif rng.random() < 0.5 and engine.checkpoint_due():
            self.running.setdefault("checkpoint", engine.checkpoint(self.now))
        elif rng.random() < 0.3:
            self.running.setdefault("sweep", engine.sweep(self.now))
        else:
            engine.restore_reserve()

    def _step(self) -> None:
        name = self.rng.choice(["commit", "commit", *self.running])
        if name == "commit" and name not in self.running:
            self.running[name] = self.engine.commit(self.now)
        try:
            step = self.running[name].send(self.answers.pop(name, None))
        except StopIteration:
            del self.running[name]
            self.tally.compactions += name == "compact"
            self.tally.checkpoints += name == "checkpoint"
            return
        if isinstance(step, Sync):
            try:
                step.call()
            except OSError as problem:
                self.answers[name] = problem

    # ---- what is checked on the way

    def _shown(self, state: State, now: int) -> dict[bytes, bytes]:
        now = max(now, self.engine.state.horizon)
        return {key: value for key, (value, expiry) in state.items() if not 0 < expiry <= now}

    def _look(self) -> None:
        found = dict(self.engine.scan(self.space, b"", self.now))
        if found != self._shown(self.safe, self.now):
            raise Broken(f"seed {self.seed}: the state is not that of what is safe")
        prefix = b"k1"
        if dict(self.engine.scan(self.space, prefix, self.now)) != {
            k: v for k, v in found.items() if k.startswith(prefix)
        }:
            raise Broken(f"seed {self.seed}: a prefix is not scanned whole")
        there = sum(1 for _ in self.engine.locations(bytes((self.space,))))
        counted = self.engine.state.usage.get(self.space, [0, 0])[0]
        if counted < there or (self.engine.usage_exact and counted > there):
            raise Broken(f"seed {self.seed}: {counted} keys are counted, {there} are there")
        if sum(s.live_bytes for s in self.engine.state.segments.values()) < 0 or any(
            not 0 <= s.live_bytes <= s.size for s in self.engine.state.segments.values()
        ):
            raise Broken(f"seed {self.seed}: live bytes do not add up")

    def _follow(self) -> None:
        engine = self.engine
        if self.follower is None:
            self.begun = len(self.log)
            self.follower = engine.follow("trial", engine.state.next_seq)
            return
        try:
            for change in engine.changes(self.follower, self.rng.randint(1, 20)):
                if (change.key, change.value) != self.log[self.begun]:
                    raise Broken(f"seed {self.seed}: the follower missed or repeated a change")
                self.begun += 1
                self.tally.followed += 1
        except CutOffError:
            self.tally.cut_off += 1
            self.follower = None

    def _snapshot(self) -> None:
        if self.snapshot is None:
            self.snapshot = (self.engine.state.snapshot(self.now), dict(self.safe))
            return
        held, state = self.snapshot
        try:
            found = dict(self.engine.scan(self.space, b"", self.now, held))
            if found != {k: v for k, (v, expiry) in state.items() if not 0 < expiry <= held.now}:
                raise Broken(f"seed {self.seed}: a snapshot changed")
            self.tally.snapshots += 1
        except CutOffError:
            self.tally.cut_off += 1
        if self.rng.random() < 0.3:
            self.engine.state.release(held)
            self.snapshot = None

    # ---- crashes

    def _quiet(self) -> None:
        self.disk.power_at, self.disk.fail = None, lambda call, name: None

    def _restart(self, power: bool) -> None:
        """End it here, and find what is left."""
        self.tally.crashes += power
        self.tally.kills += not power
        clock_steps_back = self.rng.random() < 0.2
        self.disk = self.disk.crash() if power else self.disk.killed()
        self.life += 1  # nobody is left to be answered
        pending, self.open = self.open, []
        horizon = self.engine.state.horizon
        if clock_steps_back:
            self.now = max(0, self.now - 500)
        for _ in range(4):
            try:
                self._open()
                break
            except PowerLost:
                self.disk = self.disk.crash()
        self._settle(pending, horizon)
        if not clock_steps_back:
            self.now = max(self.now, horizon)

    def _settle(self, pending: list[Batch], horizon: int) -> None:
        found = dict(self.engine.scan(self.space, b"", self.now))
        self.now = max(self.now, self.engine.state.horizon)
        # Each unsure group is gone for good once another came after it, and only the last may have stayed.
        for ahead in ([*self.maybe[place:], *pending] for place in range(len(self.maybe) + 1)):
            state = dict(self.safe)
            for count in range(len(ahead) + 1):
                if count:
                    _apply(state, ahead[count - 1])
                if found == self._shown(state, self.now):
                    self.safe, self.maybe, self.open = state, [], []
                    return
        shown = self._shown(self.safe, self.now)
        keys = sorted(key for key in shown.keys() | found.keys() if shown.get(key) != found.get(key))
        raise Broken(
            f"seed {self.seed}: other than what was safe at {keys}, with {len(self.maybe)} batches unsure "
            f"and {len(pending)} open"
        )


def _apply(state: State, batch: Batch) -> None:
    for op in batch.ops:
        if op.kind == PUT:
            state[op.key] = (op.value, op.expiry)
        else:
            state.pop(op.key, None)


def trials(seeds: range, **how: Any) -> Tally:
    """Many trials; the first broken promise ends them."""
    total = Tally()
    for seed in seeds:
        total.add(Trial(seed, **how).run())
    return total
