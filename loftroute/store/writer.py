"""The write path: queued batches are written together and made durable by one sync (group commit).

The callback of a batch is called once: with None when the batch is durable, else with a `StoreError`.
`WriteRefusedError` means that none of the batch was written, `DurabilityUnknownError` that it may or may not
be there after a restart.
"""

import errno
from collections.abc import Callable, Sequence
from typing import NamedTuple

from loftroute.store import plan
from loftroute.store.log import ActiveSegment, Log
from loftroute.store.plan import OnSyncError
from loftroute.store.records import (
    FRAME,
    HEADER_SIZE,
    LOG,
    RECORD,
    TEMPORARY,
    Header,
    Op,
    StoreError,
    pack_frame,
    pack_ops,
)
from loftroute.store.steps import Steps, StepsWithResult, Sync, drive

SHARED_FRAME_BYTES = 16 << 10  # batches share a frame up to this size: reading a record reads its whole frame
NO_SPACE = (errno.ENOSPC, errno.EDQUOT)

DoneCallback = Callable[[StoreError | None], None]


class CommitGroup:
    """Batches that are written and synced together.

    The three lists are parallel, one entry per batch: an object per batch would cost CPU time on each record.

    Attributes:
        batches: The changes of each batch.
        sizes: The encoded size of each batch in bytes.
        callbacks: The callback of each batch.
    """

    __slots__ = ("batches", "callbacks", "sizes")

    def __init__(self) -> None:
        self.batches: list[Sequence[Op]] = []
        self.sizes: list[int] = []
        self.callbacks: list[DoneCallback] = []

    def __len__(self) -> int:
        return len(self.batches)

    def notify(self, outcome: StoreError | None) -> None:
        """Call the callback of each batch with the outcome of the commit."""
        for done in self.callbacks:
            done(outcome)


class PreparedFrame(NamedTuple):
    """An encoded frame that is to be appended to the active segment.

    Attributes:
        offset: Offset in the segment, in bytes.
        raw: The frame as stored.
        crc: Its checksum, which is the link of the next frame.
        first_seq: Sequence number of the first change.
        ops: The changes.
    """

    offset: int
    raw: bytes
    crc: int
    first_seq: int
    ops: list[Op]


class LogWriter:
    """Queues batches and appends them to the log's active segment.

    Attributes:
        pending: Batches that wait to be written.
        pending_bytes: Their encoded size.
    """

    def __init__(self, log: Log) -> None:
        self._log, self._limits = log, log.limits
        self.pending = CommitGroup()
        self.pending_bytes = 0
        self._committing = False
        self._failed_syncs = 0  # consecutive ones

    # ---- queueing batches

    def submit(self, ops: Sequence[Op], done: DoneCallback) -> None:
        """Queue a batch, which takes effect as a whole or not at all.

        `done` is called once: with None when the batch is durable, else with the error.

        Raises:
            WriteRefusedError: The batch was not queued; `done` will not be called.
        """
        log, limits, pending = self._log, self._limits, self.pending
        if log.refusal:
            raise self._count_refusal(plan.ReadOnlyError(log.refusal))
        size, longest, largest = RECORD.size * len(ops), limits.key_bytes, limits.value_bytes
        for _, _, key, value, _ in ops:
            if not 0 < len(key) <= longest or len(value) > largest:
                raise self._count_refusal(self._too_large(ops))
            size += len(key) + len(value)
        if size > limits.batch_bytes:
            raise self._count_refusal(self._too_large(ops))
        pending_bytes = self.pending_bytes + size
        if pending_bytes > limits.pending_bytes:
            raise self._count_refusal(
                plan.StoreBusyError(
                    f"{self.pending_bytes} bytes wait to be written, {limits.pending_bytes} are allowed"
                )
            )
        if log.size + pending_bytes + FRAME.size > limits.total_bytes:
            raise self._count_refusal(
                plan.OutOfSpaceError(
                    f"{log.size + self.pending_bytes} bytes are kept, {limits.total_bytes} are allowed"
                )
            )
        pending.batches.append(ops)
        pending.sizes.append(size)
        pending.callbacks.append(done)
        self.pending_bytes = pending_bytes

    def _count_refusal(self, refusal: plan.WriteRefusedError) -> plan.WriteRefusedError:
        self._log.counters.refused += 1
        return refusal

    def _too_large(self, ops: Sequence[Op]) -> plan.TooLargeError:
        """Return the error that names the limit that a batch exceeds."""
        limits = self._limits
        for op in ops:
            if not 0 < len(op.key) <= limits.key_bytes:
                return plan.TooLargeError(
                    f"a key of {len(op.key)} bytes, 1 to {limits.key_bytes} are allowed"
                )
            if len(op.value) > limits.value_bytes:
                return plan.TooLargeError(
                    f"a value of {len(op.value)} bytes, {limits.value_bytes} are allowed"
                )
        return plan.TooLargeError(f"a batch of more than {limits.batch_bytes} bytes")

    def _take_pending(self) -> CommitGroup:
        group, self.pending, self.pending_bytes = self.pending, CommitGroup(), 0
        return group

    def _refuse_pending(self, reason: str) -> None:
        for done in self._take_pending().callbacks:
            done(plan.ReadOnlyError(reason))

    # ---- writing batches

    def commit(self, now: int) -> Steps:
        """Write all pending batches and sync them once. `now` is store time in nanoseconds.

        If nothing is pending, mark what is known to be durable. Does nothing while another commit runs.
        """
        log = self._log
        if log.refusal and not self._committing:
            self._refuse_pending(log.refusal)
        active = log.active
        if self._committing or active is None or log.refusal:
            return
        if not self.pending.batches:
            self._write_durable_mark(active, now)
            return
        self._committing = True
        group = self._take_pending()
        failed: StoreError | None = plan.DurabilityUnknownError("the writer was stopped during a commit")
        try:
            if active.end > self._limits.segment_bytes or active.unusable:
                problem = yield from self._roll_segment(active)
                if problem:
                    failed = _refusal("no new segment", problem)
                    return
            failed = yield from self._write(group, log.state.next_commit_time(now))
        finally:
            self._committing = False
            if failed:
                group.notify(failed)

    def _write(self, group: CommitGroup, now: int) -> StepsWithResult[StoreError | None]:
        """Write and sync a group; return the error for its callers, or None once they were notified."""
        log = self._log
        active = log.writable
        frames = self._prepare(active, group, now)
        try:
            active.file.write(active.end, b"".join([frame.raw for frame in frames]))
        except OSError as problem:
            return (yield from self._undo_write(active, problem))
        previous_end, last = active.end, frames[-1]
        active.end, active.link = last.offset + len(last.raw), last.crc
        log.counters.syncs += 1
        if sync_problem := (yield Sync(active.file.sync)):
            active.end = previous_end
            return (yield from self._handle_sync_failure(active, sync_problem))
        self._failed_syncs = 0
        active.durable_end, active.durable_link, active.has_durable_mark = active.end, active.link, False
        self._group_durable(active, group, frames)
        return None

    def _prepare(self, active: ActiveSegment, group: CommitGroup, now: int) -> list[PreparedFrame]:
        """Encode batches as frames. Small ones share a frame, to save heads and checksums; none is split."""
        log, seed = self._log, active.header.seed
        offset, link, seq = active.end, active.link, log.state.next_seq
        # Reading accepts payloads up to the batch limit, so a shared frame must not be longer than that.
        max_size = min(SHARED_FRAME_BYTES, self._limits.batch_bytes)
        sizes, last = group.sizes, len(group.sizes) - 1
        frames: list[PreparedFrame] = []
        ops: list[Op] = []
        size = 0
        for index, batch in enumerate(group.batches):
            ops += batch
            size += sizes[index]
            if index < last and size + sizes[index + 1] <= max_size:
                continue
            raw, link = pack_frame(seed, link, seq, active.durable_end, now, pack_ops(ops))
            frames.append(PreparedFrame(offset, raw, link, seq, ops))
            offset, seq = offset + len(raw), seq + len(ops)
            ops, size = [], 0
        return frames

    def _group_durable(self, active: ActiveSegment, group: CommitGroup, frames: list[PreparedFrame]) -> None:
        """Apply a durable group's changes to the state and notify its callers."""
        log, segment_id = self._log, active.header.id
        log.state.segments[segment_id].size = active.durable_end
        apply, counters = log.state.apply, log.counters
        for offset, raw, _, seq, ops in frames:
            length = len(raw)
            share = length // max(len(ops), 1)
            for op in ops:
                apply(seq, op, segment_id, offset, length, share)
                seq += 1
            counters.appended += len(ops)
            counters.appended_bytes += length
        group.notify(None)

    def _write_durable_mark(self, active: ActiveSegment, now: int) -> None:
        """Append an empty frame that records everything before it as durable.

        After that, damage to the last group is not mistaken for a torn tail.
        """
        if active.has_durable_mark or active.durable_end != active.end:
            return
        state = self._log.state
        raw, crc = pack_frame(
            active.header.seed,
            active.link,
            state.next_seq,
            active.durable_end,
            state.next_commit_time(now),
            b"",
        )
        try:
            active.file.write(active.end, raw)
        except OSError:
            active.unusable = True
            return
        active.end, active.link, active.has_durable_mark = active.end + len(raw), crc, True

    # ---- failures and new segments

    def _undo_write(self, active: ActiveSegment, problem: OSError) -> StepsWithResult[StoreError]:
        """Truncate what a failed write may have left behind, and return the error for the callers.

        The truncation is synced before the callers learn that nothing was written. If that fails, whether
        their batches are durable is unknown.
        """
        self._log.counters.write_errors += 1
        try:
            active.file.truncate(active.end)
        except OSError as truncate_problem:
            active.unusable = True
            return plan.DurabilityUnknownError(
                f"{active.file.name}: {problem}, and it could not be taken back: {truncate_problem}"
            )
        if sync_problem := (yield Sync(active.file.sync)):
            return (yield from self._handle_sync_failure(active, sync_problem))
        return _refusal(active.file.name, problem)

    def _handle_sync_failure(self, active: ActiveSegment, problem: Exception) -> StepsWithResult[StoreError]:
        """Continue in a new segment after a failed sync, or stop, as the limits say.

        If no new segment can be made, or too many syncs in a row have failed, writes are suspended.

        Which pages are durable is unknown, and a later successful sync would not show it. The new segment
        records how much of this one is known to be durable.
        """
        log = self._log
        log.counters.sync_errors += 1
        self._failed_syncs += 1
        if log.limits.on_sync_error is OnSyncError.STOP:
            log.stop(f"a sync failed: {problem}")
        elif self._failed_syncs > log.limits.max_failed_syncs:
            log.suspend(f"a sync failed: {problem}")
        elif roll_problem := (yield from self._roll_segment(active)):
            log.suspend(f"a sync failed ({problem}), and no new segment could be made ({roll_problem})")
        return plan.DurabilityUnknownError(f"a sync failed: {problem}")

    def _roll_segment(self, old: ActiveSegment) -> StepsWithResult[Exception | None]:
        """Seal a segment and continue in a new one.

        Returns None, or the error because of which the old segment stays in use.
        """
        log = self._log
        segment_number = old.header.last + 1
        header = Header(
            LOG, segment_number, segment_number, 0, log.state.next_seq - 1, old.durable_end, log.store_id
        )
        try:
            file = log.directory.create(header.name + TEMPORARY)
            file.write(0, header.pack())
            if problem := (yield Sync(file.sync)):
                file.close()
                return problem
            log.directory.rename(file.name, header.name)
            if problem := (yield Sync(log.directory.sync)):
                log.suspend(f"a new segment is not safe: {problem}")
                return problem
        except OSError as problem:
            return problem
        segment = log.state.segments[old.header.id]
        segment.size = old.durable_end
        log.sealed.append(segment)
        log.sealed_bytes += segment.size
        log.set_active(ActiveSegment(file, header, HEADER_SIZE, HEADER_SIZE, header.seed, header.seed))
        return None

    def resume(self) -> Steps:
        """Try to take writes again after `Log.suspend`, in a new segment.

        A segment whose sync has failed is never written to again: the new one records how much of it is
        durable. Does nothing if writes are not suspended, or while a commit runs.
        """
        log, active = self._log, self._log.active
        if not log.suspended or active is None or self._committing:
            return
        self._committing = True
        try:
            problem = self._remove_unsafe_files() or (yield from self._roll_segment(active))
            if problem:
                log.suspend(f"no new segment: {problem}")
                return
            log.suspended, self._failed_syncs = "", 0
            log.counters.resumptions += 1
        finally:
            self._committing = False

    def _remove_unsafe_files(self) -> OSError | None:
        """Remove the files whose names may not last; the sync of the new segment's name covers this."""
        names = self._log.unsafe_names
        while names:
            try:
                self._log.directory.remove(names[-1])
            except FileNotFoundError:
                pass
            except OSError as problem:
                return problem
            names.pop()
        return None

    def close(self) -> None:
        """Write what is pending, and refuse what cannot be written. Blocks."""
        log = self._log
        if log.active and not log.refusal and not self._committing:
            drive(self.commit(log.state.horizon))
            drive(self.commit(log.state.horizon))  # marks what the first one wrote as durable
        self._refuse_pending(log.refusal or "closed")


def _refusal(action: str, problem: Exception) -> plan.WriteRefusedError:
    """Return the error for a batch that was not written; `action` is what failed."""
    full = isinstance(problem, OSError) and problem.errno in NO_SPACE
    return (plan.OutOfSpaceError if full else plan.WriteRefusedError)(f"{action}: {problem}")
