"""A store in one directory: combines the modules of the store, and reads values.

Recovery loads the log (`recovery.py`), the write path appends to it (`writer.py`), maintenance keeps it small
(`compaction.py`, `checkpoint.py`, `expiry.py`), and followers read it (`followers.py`). Operations that may
block are generators of steps (`steps.py`).
"""

from collections.abc import Iterator, Sequence
from dataclasses import asdict
from typing import Any

import msgpack

from loftroute.runtime.files import Directory, File
from loftroute.store import plan
from loftroute.store.checkpoint import Checkpointer
from loftroute.store.compaction import Compactor
from loftroute.store.expiry import sweep
from loftroute.store.followers import Change, Follower, Followers
from loftroute.store.log import ActiveSegment, Log
from loftroute.store.plan import CompactionRun, Limits
from loftroute.store.records import PUT, Frame, Location, Op, StoreError
from loftroute.store.recovery import identify, recover
from loftroute.store.reserve import Reserve
from loftroute.store.state import PAGE, Segment, Snapshot, State
from loftroute.store.steps import Steps, drive
from loftroute.store.writer import DoneCallback, LogWriter

META = 0  # the space that maps the names of the other spaces to their numbers
SPACES_LIMIT = 255  # a space's number is one byte


class Engine:
    """A store in one directory. Store times are in nanoseconds.

    Attributes:
        state: The keyed state, which also holds the snapshots.
        counters: Counts since the store was opened.
        recovery: What was found when the store was opened.
        spaces: Numbers of the key spaces by name.
        writer: The write path.
    """

    def __init__(
        self,
        directory: Directory,
        limits: Limits,
        store_id: bytes = b"",
        read_only: bool = False,
        now: int = 0,
        checkpoints: bool = True,
    ) -> None:
        """Open the store, or create it with the id `store_id` (8 bytes) if the directory is empty.

        With `read_only` nothing in the directory is changed and no lock is taken. `now` is store time.
        Without `checkpoints` the log is read from its beginning and the checkpoints are ignored.

        Raises:
            DamagedDataError: The store is damaged and the limits say to refuse it.
            NewerFormatError: The store has a later format version.
            StoreError: The directory does not hold a store.
            OSError: Reading or writing failed; `DirectoryLockedError` if another process uses the directory.
        """
        if not read_only:
            directory.lock()
        store_id = identify(directory, store_id, read_only)
        self.directory = directory
        self.state = State(limits.snapshot_keys)
        self._log = Log(directory, limits, store_id, self.state)
        self.counters = self._log.counters
        self.recovery = recover(self._log, read_only, checkpoints, now)
        self.spaces: dict[str, int] = {
            key[1:].decode(): msgpack.unpackb(self.value(place))
            for key, place in self.locations(bytes((META,)))
        }
        self.writer = LogWriter(self._log)
        self._reserve = Reserve(directory, limits.reserve_bytes)
        self._followers = Followers(self._log)
        self._compactor = Compactor(self._log, self._reserve)
        self._checkpointer = Checkpointer(self._log, self._reserve)
        if not read_only and not self.recovery.damage:
            self._reserve.acquire()

    # ---- files

    @property
    def store_id(self) -> bytes:
        """Return the store's id: 8 bytes, the same in all files of the store."""
        return self._log.store_id

    @property
    def sealed(self) -> Sequence[Segment]:
        """Return all segments but the active one, in order."""
        return self._log.sealed

    @property
    def active(self) -> ActiveSegment | None:
        """Return the segment that is written to; None if the store was opened read-only."""
        return self._log.active

    @property
    def files(self) -> dict[int, File]:
        """Return the open segment files by segment id."""
        return self._log.files

    @property
    def usage_exact(self) -> bool:
        """Return whether the state's usage counts no records in segments that no longer exist."""
        return self._log.usage_exact

    @property
    def stopped(self) -> str:
        """Return why the store takes no writes; empty while it takes them."""
        return self._log.refusal

    @property
    def suspended(self) -> str:
        """Return why the store takes no writes until `resume` succeeds; empty if that would be no use."""
        return self._log.suspended

    @property
    def used_bytes(self) -> int:
        """Return the size of the log and of the pending batches in bytes."""
        return self._log.size + self.writer.pending_bytes

    # ---- writing

    def space(self, name: str) -> int:
        """Return the number of a named space.

        A new space is first made durable. That blocks, so spaces are meant to be created at startup.

        Raises:
            WriteRefusedError: There are too many spaces, or the store takes no writes.
            DurabilityUnknownError: Whether the new space is durable is unknown.
        """
        if name not in self.spaces:
            number = max(self.spaces.values(), default=META) + 1
            if number > SPACES_LIMIT:
                raise plan.WriteRefusedError(f"no more than {SPACES_LIMIT} spaces")
            problems: list[StoreError | None] = []
            self.submit([Op(PUT, META, name.encode(), msgpack.packb(number))], problems.append)
            drive(self.commit(self.state.horizon))
            if problems[0]:
                raise problems[0]
            self.spaces[name] = number
        return self.spaces[name]

    def submit(self, ops: Sequence[Op], done: DoneCallback) -> None:
        """Queue a batch as `LogWriter.submit`."""
        self.writer.submit(ops, done)

    def commit(self, now: int) -> Steps:
        """Write pending batches as `LogWriter.commit`."""
        return self.writer.commit(now)

    def resume(self) -> Steps:
        """Try to take writes again as `LogWriter.resume`."""
        return self.writer.resume()

    # ---- reading

    def value(self, place: Location) -> bytes:
        """Read the value of a record and check its frame.

        Raises:
            DamagedDataError: The frame is not valid.
        """
        return self._log.record(place).op.value

    def get(self, space: int, key: bytes, now: int, snapshot: Snapshot | None = None) -> bytes | None:
        """Return a key's durable value, now or at the snapshot; None if it has none.

        Raises:
            CutOffError: The snapshot was cut off.
            DamagedDataError: The value cannot be read.
        """
        place = self.state.get(bytes((space,)) + key, now, snapshot)
        return self.value(place) if place else None

    def scan(
        self, space: int, prefix: bytes, now: int, snapshot: Snapshot | None = None
    ) -> Iterator[tuple[bytes, bytes]]:
        """Yield the keys with a prefix in order, with their values.

        Writes may happen between two keys. Without a snapshot the scan sees those to keys that it has not
        reached yet.

        Raises:
            CutOffError: The snapshot was cut off.
            DamagedDataError: A value cannot be read.
        """
        start = bytes((space,)) + prefix
        next_key: bytes | None = start
        while next_key is not None:
            page, next_key = self.state.page(start, next_key, now, snapshot)
            for key, _ in page:
                place = self.state.get(key, now, snapshot)  # compaction may have moved it meanwhile
                if place:
                    yield key[1:], self.value(place)

    def locations(
        self, prefix: bytes = b"", include_expired: bool = True
    ) -> Iterator[tuple[bytes, Location]]:
        """Yield the keys with a prefix in order, with their locations.

        `prefix` starts with the byte of the space. Expired keys that are not dropped yet are included by
        default.
        """
        next_key: bytes | None = prefix
        while next_key is not None:
            page, next_key = self.state.page(
                prefix, next_key, self.state.horizon, include_expired=include_expired
            )
            yield from page

    def frames(self, segment: Segment) -> list[Frame]:
        """Read all frames of a segment."""
        return self._log.frames(segment)

    # ---- followers

    @property
    def log_start(self) -> int:
        """Return the first sequence number from which on the log holds every record."""
        return self._followers.log_start

    def follow(self, name: str, position: int) -> Follower:
        """Register a follower as `Followers.follow`."""
        return self._followers.follow(name, position)

    def unfollow(self, follower: Follower) -> None:
        """Remove a follower as `Followers.unfollow`."""
        self._followers.unfollow(follower)

    def changes(self, follower: Follower, max_changes: int = PAGE) -> list[Change]:
        """Return the follower's next changes as `Followers.changes`."""
        return self._followers.changes(follower, max_changes)

    # ---- maintenance

    def _may_maintain(self) -> bool:
        """Return whether maintenance may start: compaction and checkpoints never run at the same time."""
        log, running = self._log, self._compactor.running or self._checkpointer.running
        return log.active is not None and not log.refusal and not running

    def compaction_due(self) -> CompactionRun | None:
        """Return the run of sealed segments to compact now, or None."""
        active = self._log.active
        if active is None or not self._may_maintain():
            return None
        retained = self._followers.retained_from()
        return plan.choose_run(self._log.sealed, active.end, self._log.limits, retained)

    def compact(self, run: CompactionRun, now: int) -> Steps:
        """Compact a run as `Compactor.compact`."""
        return self._compactor.compact(run, now)

    def checkpoint_due(self) -> bool:
        """Return whether enough keys have changed since the last checkpoint to write another."""
        if not self._may_maintain():
            return False
        keys = self.state.base.count if self.state.base else 0
        return plan.checkpoint_due(len(self.state.overlay), keys, self._log.limits)

    def checkpoint(self, now: int) -> Steps:
        """Write a checkpoint as `Checkpointer.checkpoint`."""
        return self._checkpointer.checkpoint(now)

    def sweep(self, now: int) -> Steps:
        """Drop expired keys as `expiry.sweep`."""
        return sweep(self._log, now)

    def restore_reserve(self) -> None:
        """Restore the disk space reserve if it was used up and there is room for it."""
        if not self.stopped:
            self._reserve.restore()

    # ---- status and closing

    def figures(self) -> dict[str, Any]:
        """Return the store's figures by name, for the log and for the command `store stats`."""
        state, checkpoint = self.state, self._log.checkpoint
        return {
            "segments": len(state.segments),
            "bytes": self.used_bytes,
            "live_bytes": sum(segment.live_bytes for segment in state.segments.values()),
            "keys": sum(usage[0] for usage in state.usage.values()),
            "next_seq": state.next_seq,
            "spaces": {name: state.usage.get(number, [0, 0]) for name, number in self.spaces.items()},
            "changed_keys": len(state.overlay),
            "checkpoint": checkpoint.name if checkpoint else "",
            "snapshots": len(state.snapshots),
            "snapshots_cut": state.snapshots_cut,
            "followers": len(self._followers),
            "expired": state.expired_keys,
            "torn_bytes": self.recovery.torn_bytes,
            "stopped": self.stopped,
            **asdict(self.counters),
        }

    def close(self) -> None:
        """Write the pending batches and close all files. Blocks."""
        self.writer.close()
        self._log.close()


__all__ = ["Engine"]
