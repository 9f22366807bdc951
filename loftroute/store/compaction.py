"""Compaction: replaces a run of sealed segments by one that holds only the records still needed.

The old segments are removed only after the new one is durable under its name. `plan.choose_run` decides which
run to compact.
"""

import contextlib
from collections.abc import Iterator

from loftroute.store import plan
from loftroute.store.compacted import CompactedWriter, Move
from loftroute.store.log import Log
from loftroute.store.plan import CompactionRun
from loftroute.store.records import (
    COMPACTED,
    DELETE,
    HEADER_SIZE,
    PUT,
    DamagedDataError,
    Frame,
    Header,
    Location,
    Op,
    Record,
    frame_records,
)
from loftroute.store.reserve import Reserve
from loftroute.store.state import Segment, op_key
from loftroute.store.steps import Steps, Sync

STEP_BYTES = 4 << 10  # read per step of background work, which keeps the scheduler for about a millisecond
READ_BYTES = 32 << 10  # read at a time
READ_GROWTH = 4  # factor by which a read grows as long as no frame fits into it
READ_LIMIT = 16  # largest read, as a multiple of the longest frame
MOVES_PER_STEP = 32
MOVE_BYTES = 64  # bytes of work that a step counts per key whose location is updated


class Compactor:
    """Compacts runs of sealed segments, one run at a time. `running` is set while it does."""

    def __init__(self, log: Log, reserve: Reserve) -> None:
        self._log, self._reserve = log, reserve
        self.running = False

    def compact(self, run: CompactionRun, now: int) -> Steps:
        """Compact a run. `now` is store time in nanoseconds.

        Failures are counted in the log's counters and not raised. Damage stops the store.
        """
        log = self._log
        inputs = log.sealed[run.first : run.last + 1]
        header = self._header(inputs)
        self.running = True
        output: CompactedWriter | None = None
        try:
            output = CompactedWriter(log.directory, self._reserve, header)
            # A record that was kept for a snapshot must stay hidden by the deletion that follows it.
            drop_below = plan.min_cleaned_before(log.sealed, run.first) if header.cleaned_before > 1 else 0
            for segment in inputs:
                yield from self._copy(segment, output, drop_below, now)
            output.seal(self._following(run).base_seq + 1, now)
            if problem := (yield Sync(output.file.sync)):
                raise problem
            log.directory.rename(output.file.name, header.name)
            if problem := (yield Sync(log.directory.sync)):
                log.unsafe_names.append(header.name)
                log.suspend(f"a compacted segment is not safe: {problem}")
                raise problem
            yield from self._install(inputs, output)
            log.counters.compactions += 1
        except DamagedDataError as problem:
            log.stop(f"damage was found: {problem}")
            log.counters.background_errors += 1
        except OSError:
            log.discard(header.name, output.file if output else None)
        finally:
            self.running = False

    def _header(self, inputs: list[Segment]) -> Header:
        """Return the header of the segment that replaces the inputs."""
        first, state = inputs[0].header, self._log.state
        return Header(
            COMPACTED,
            first.first,
            inputs[-1].header.last,
            max(segment.header.generation for segment in inputs) + 1,
            first.base_seq,
            first.previous_end,
            self._log.store_id,
            1 if state.snapshots else state.next_seq,
        )

    def _following(self, run: CompactionRun) -> Header:
        """Return the header of the segment after a run."""
        following = self._log.sealed[run.last + 1 :]
        return following[0].header if following else self._log.writable.header

    def _copy(self, segment: Segment, output: CompactedWriter, drop_below: int, now: int) -> Steps:
        """Copy the records of a segment that are still needed."""
        moved = 0
        for frame in self._frames(segment):
            kept = [self._kept(record, drop_below, now) for record in frame_records(frame)]
            output.add([record for record in kept if record is not None], frame.committed_at)
            moved += frame.end - frame.offset
            if moved >= STEP_BYTES:
                output.flush()
                yield moved
                moved = 0
        output.flush()
        yield moved

    def _kept(self, record: Record, drop_below: int, now: int) -> Record | None:
        """Return the record to copy in place of a record, or None.

        An expired record is copied as a deletion, since it still hides older records of its key. Deletions
        with a sequence number below `drop_below` hide nothing and are dropped.
        """
        op, state = record.op, self._log.state
        key = op_key(op)
        current = state.lookup(key)
        if op.kind == PUT and state.is_needed(key, record, now, current):
            return record
        if op.kind == PUT and current and current.seq == record.seq:
            state.drop_expired(key, current, now)
        if record.seq >= drop_below and _hides(record, current):
            return record._replace(op=Op(DELETE, op.space, op.key))
        return None

    def _frames(self, segment: Segment) -> Iterator[Frame]:
        """Read the frames of a sealed segment in parts.

        Raises:
            DamagedDataError: The segment is not complete.
        """
        header = segment.header
        at, link, seq = HEADER_SIZE, header.seed, header.base_seq + 1
        last: Frame | None = None
        while at < segment.size:
            frames = self._frames_at(segment, at, link, seq)
            yield from frames
            last = frames[-1]
            at, link, seq = last.end, last.crc, last.first_seq + plan.record_count(last)
        plan.check_complete(header, [last] if last else [], at, segment.size)

    def _frames_at(self, segment: Segment, at: int, link: int, seq: int) -> list[Frame]:
        """Read at least one frame from the offset `at` on.

        Raises:
            DamagedDataError: No frame can be read there.
        """
        header, limit = segment.header, self._log.frame_limit
        read_bytes = READ_BYTES
        while read_bytes < READ_LIMIT * max(READ_BYTES, limit):
            raw = self._log.files[header.id].read(at, min(read_bytes, segment.size - at))
            if frames := plan.parse_frames(raw, header, limit, at, seq, link):
                return frames
            read_bytes *= READ_GROWTH
        raise DamagedDataError(header.name, at, "unreadable")

    def _install(self, inputs: list[Segment], output: CompactedWriter) -> Steps:
        """Replace the inputs by the new segment."""
        log, header = self._log, output.header
        segment = Segment(header, output.end, deletion_bytes=output.deletion_bytes)
        log.files[header.id] = output.file
        log.state.segments[header.id] = segment
        yield from self._follow_moves(output.moves)
        index = log.sealed.index(inputs[0])
        log.sealed[index : index + len(inputs)] = [segment]
        log.recount_sealed()
        for old in inputs:
            del log.state.segments[old.header.id]
            log.files.pop(old.header.id).close()
            with contextlib.suppress(OSError):  # recovery removes it at the next start
                log.directory.remove(old.header.name)
        log.counters.compacted_bytes += output.end

    def _follow_moves(self, moves: list[Move]) -> Steps:
        """Update the state with the new locations of the copied records."""
        for number, move in enumerate(moves, 1):
            self._log.state.record_moved(move.key, move.place.seq, move.place)
            if number % MOVES_PER_STEP == 0:
                yield MOVES_PER_STEP * MOVE_BYTES


def _hides(record: Record, current: Location | None) -> bool:
    """Return whether a record may hide older records of its key.

    It does if it is the key's newest record, or if the key has none, and if it is a deletion or can expire. A
    superseded record hides nothing that the later one does not hide too.
    """
    if record.op.kind == PUT and not record.op.expiry:
        return False
    return current is None or current.seq == record.seq
