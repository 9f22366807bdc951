"""Runs a store on the relay's scheduler.

One greenlet commits, one does the background work, and worker threads make the calls that sync.
"""

import contextlib
import os
from collections.abc import Callable, Mapping, Sequence
from functools import partial

import msgpack
from loguru import logger

from loftroute.moments import Moment
from loftroute.runtime.background import BackgroundBudget, BackgroundJob, StrideScheduler
from loftroute.runtime.clock import current_moment, read_boot_id
from loftroute.runtime.files import Directory, RealDirectory
from loftroute.runtime.scheduler import MS, Scheduler
from loftroute.runtime.worker import Worker
from loftroute.store.engine import Engine
from loftroute.store.plan import Limits, ReadOnlyError
from loftroute.store.records import PUT, Op
from loftroute.store.recovery import STORE_ID_SIZE
from loftroute.store.steps import Steps, Sync, drive
from loftroute.store.time import resume_time
from loftroute.store.writer import DoneCallback

CLOCK = "clock"  # name of the space for store time
MISSING_SPACE = 255  # returned for a space that does not exist and cannot be created
SWEEP_INTERVAL = 1_000 * MS
CLOCK_INTERVAL = 10_000 * MS
FIRST_RESUME_WAIT, MAX_RESUME_WAIT = 100 * MS, 1_000 * MS  # between tries to write again after failures
WEIGHTS = {"checkpoint": 4, "compact": 2, "sweep": 1}  # shares of the background budget


class Store:
    """The store as the relay's components use it: `submit` and `get` do not wait for the disk to sync.

    Attributes:
        scheduler: The relay's scheduler.
        boot: Identifies the machine's current boot.
        engine: The store itself.
        closed: Set by `close`.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        directory: Directory,
        limits: Limits,
        budget: BackgroundBudget,
        sync_timeout: int,
        lag: Callable[[], int] | None = None,
    ) -> None:
        """Open or create the store, which blocks, and start its greenlets.

        `sync_timeout` is in nanoseconds; a sync that takes longer counts as failed. `lag` returns the
        scheduler's lag in nanoseconds, which throttles the background work.

        Raises:
            StoreError: The directory holds no store, or one that cannot be used.
            OSError: Reading or writing failed; `DirectoryLockedError` if another process uses the directory.
        """
        self.scheduler, self._sync_timeout = scheduler, sync_timeout
        self._lag = lag or (lambda: scheduler.lag)
        self.boot = read_boot_id()
        self.engine = Engine(directory, limits, os.urandom(STORE_ID_SIZE))
        self._writer = self.engine.writer
        self._clock_space = self.space(CLOCK)
        now = current_moment(self.boot)
        self._offset = resume_time(self._last_clock(), now, self.engine.state.horizon) - scheduler.clock.now()
        self._background = StrideScheduler(budget, scheduler.clock.now())
        self._commits, self._syncs = Worker(scheduler), Worker(scheduler)
        self._mark_due = False
        self._next_sweep = self._next_clock_note = 0
        self._committer = scheduler.spawn("store", self._commit)
        self._worker = scheduler.spawn("store background", self._run_background)
        self.closed = False

    @classmethod
    def open(
        cls, scheduler: Scheduler, path: str, limits: Limits, budget: BackgroundBudget, sync_timeout: int
    ) -> "Store":
        """Open or create the store in the directory `path`. See `__init__` for the rest."""
        return cls(scheduler, RealDirectory(path, create=True), limits, budget, sync_timeout)

    def _last_clock(self) -> tuple[int, Moment] | None:
        """Return the store time that was noted last, with its moment."""
        raw = self.engine.get(self._clock_space, b"last", 0)
        if raw is None:
            return None
        store_time, wall, up, boot = msgpack.unpackb(raw)
        return store_time, Moment(wall, up, boot)

    @property
    def now(self) -> int:
        """Return store time in nanoseconds. It continues across restarts and never goes back."""
        return self.scheduler.clock.now() + self._offset

    def space(self, name: str) -> int:
        """Return the number of a named space. Creating a new one blocks.

        If the store takes no writes, a space that does not exist is empty.
        """
        if self.engine.stopped and name not in self.engine.spaces:
            return MISSING_SPACE
        return self.engine.space(name)

    def submit(self, ops: Sequence[Op], done: DoneCallback) -> None:
        """Queue a batch as `LogWriter.submit`.

        It is committed in this turn of the scheduler, or after the commit in progress.

        Raises:
            WriteRefusedError: The batch was not queued; `done` will not be called.
        """
        self._writer.submit(ops, done)
        self._mark_due = True
        self.scheduler.wake(self._committer)

    def get(self, space: int, key: bytes) -> bytes | None:
        """Return a key's durable value, or None if it has none.

        Raises:
            DamagedDataError: The value cannot be read.
        """
        return self.engine.get(space, key, self.now)

    def usage(self, space: int) -> tuple[int, int]:
        """Return the number of keys in a space and the bytes that they take up."""
        keys, size = self.engine.state.usage.get(space, (0, 0))
        return keys, size

    @property
    def stopped(self) -> str:
        """Return why the store takes no writes; empty while it takes them."""
        return self.engine.stopped

    def figures(self) -> Mapping[str, object]:
        """Return the store's figures for the relay's state line."""
        figures = self.engine.figures()
        names = (
            "bytes",
            "live_bytes",
            "keys",
            "segments",
            "syncs",
            "sync_errors",
            "write_errors",
            "refused",
            "compactions",
            "checkpoints",
            "background_errors",
            "suspensions",
            "resumptions",
            "torn_bytes",
        )
        shown = {f"store {name.replace('_', ' ')}": figures[name] for name in names}
        return {**shown, **({"store stopped": figures["stopped"]} if figures["stopped"] else {})}

    # ---- the greenlets

    def _commit(self) -> None:
        """Commit pending batches; once there are none, mark what was written as durable."""
        while not self.closed:
            if self.engine.suspended:
                self._wait_for_disk()
                continue
            if len(self._writer.pending):
                drive(self._writer.commit(self.now), partial(self._sync, self._commits))
                continue
            if self._mark_due:
                self._mark_due = False
                drive(self._writer.commit(self.now), partial(self._sync, self._commits))
                continue
            self.scheduler.park()

    def _wait_for_disk(self) -> None:
        """Try to resume writes, after longer and longer waits, until that succeeds or the store is closed."""
        logger.error("store: writes are suspended: {}", self.engine.suspended)
        suspended_at, wait = self.scheduler.clock.now(), FIRST_RESUME_WAIT
        drive(self._writer.commit(self.now))  # refuses what was queued before
        while self.engine.suspended and not self.closed:
            self.scheduler.sleep(wait)
            wait = min(2 * wait, MAX_RESUME_WAIT)
            drive(self._writer.resume(), partial(self._sync, self._commits))
        if not self.engine.stopped:
            suspended_ms = (self.scheduler.clock.now() - suspended_at) // MS
            logger.info("store: writes resume after {} ms", suspended_ms)

    def _sync(self, worker: Worker, step: Sync) -> Exception | None:
        """Make a sync in a worker thread. One that takes too long counts as failed."""
        problem = worker.run(step.call, self.scheduler.clock.now() + self._sync_timeout)
        if problem:
            logger.error("store: sync failed: {}", problem)
        return problem if problem is None or isinstance(problem, OSError) else OSError(str(problem))

    def _run_background(self) -> None:
        """Run the background work step by step."""
        clock = self.scheduler.clock
        while not self.closed:
            now = clock.now()
            self._schedule_work(now)
            job = self._background.next_job(now, self._lag())
            if job is None:
                self.scheduler.park(self._background.next_check_at(now) or now + 100 * MS)
                continue
            if job.cancelled:
                job.steps.close()  # type: ignore[attr-defined]
                self._background.remove(job)
                continue
            self._step(job)
            self.scheduler.sleep(1)  # lets the scheduler poll the sockets between two steps

    def _schedule_work(self, now: int) -> None:
        """Start the background jobs that are due at the scheduler's time `now`."""
        engine, background = self.engine, self._background
        running = {job.name for job in background.jobs}
        if "compact" not in running and (run := engine.compaction_due()):
            background.add(now, BackgroundJob("compact", WEIGHTS["compact"], engine.compact(run, self.now)))
        if not running & {"compact", "checkpoint"} and engine.checkpoint_due():
            background.add(
                now, BackgroundJob("checkpoint", WEIGHTS["checkpoint"], engine.checkpoint(self.now))
            )
        if "sweep" not in running and now >= self._next_sweep and not engine.stopped:
            self._next_sweep = now + SWEEP_INTERVAL
            background.add(now, BackgroundJob("sweep", WEIGHTS["sweep"], engine.sweep(self.now)))
            engine.restore_reserve()
        if now >= self._next_clock_note:
            self._next_clock_note = now + CLOCK_INTERVAL
            self._note_clock()

    def _note_clock(self) -> None:
        """Store the current store time with the current moment, for the next start."""
        noted = current_moment(self.boot)
        raw = msgpack.packb((self.now, noted.wall_ns, noted.uptime_ns, noted.boot_id))
        with contextlib.suppress(Exception):  # the next note replaces it
            self.submit([Op(PUT, self._clock_space, b"last", raw)], lambda _: None)

    def _step(self, job: BackgroundJob) -> None:
        """Run one step of a job, with the syncs before it, and charge it for bytes and CPU time."""
        begun, moved = self.scheduler.clock.now(), 0
        steps: Steps = job.steps  # type: ignore[assignment]
        error: Exception | None = None
        try:
            step = steps.send(None)
            while isinstance(step, Sync):
                busy = self.scheduler.clock.now() - begun
                error = self._sync(self._syncs, step)
                begun = self.scheduler.clock.now() - busy
                step = steps.send(error)
            moved = step
        except StopIteration:
            self._background.remove(job)
        now = self.scheduler.clock.now()
        self._background.record_step(now, job, moved, now - begun)
        if self.engine.suspended:
            self.scheduler.wake(self._committer)

    def close(self) -> None:
        """Write the pending batches, which blocks, and close the store."""
        self.closed = True
        if not self.engine.stopped:
            self._note_clock()
        self.engine.close()
        self._commits.stop()
        self._syncs.stop()


__all__ = ["ReadOnlyError", "Store"]
