"""Decides which files form the log, where it ends and what to compact. Performs no I/O."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from loftroute.store.records import (
    COMPACTED,
    FRAME,
    LOG,
    DamagedDataError,
    Frame,
    Header,
    StoreError,
    parse_frame,
)
from loftroute.store.state import Segment


class WriteRefusedError(StoreError):
    """The store refused a batch; none of it was written or will be."""


class OutOfSpaceError(WriteRefusedError):
    """The disk is full, or the store has reached its size limit."""


class StoreBusyError(WriteRefusedError):
    """Too many bytes are already waiting to be written."""


class TooLargeError(WriteRefusedError):
    """A key, value or batch exceeds its size limit."""


class ReadOnlyError(WriteRefusedError):
    """The store takes no writes; the text gives the reason."""


class DurabilityUnknownError(StoreError):
    """A batch was written, but may or may not be there after a restart."""


class OnDamage(Enum):
    """What opening a damaged store does: raise an error, or open it for reading as far as it goes."""

    REFUSE = "refuse"
    READ_ONLY = "read only"


class OnSyncError(Enum):
    """What a failed sync leads to: continue in a new segment, or take no more writes."""

    NEW_SEGMENT = "new segment"
    STOP = "stop"


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits of a store.

    Attributes:
        segment_bytes: Size after which the active segment is sealed.
        batch_bytes: Largest batch.
        key_bytes: Longest key.
        value_bytes: Longest value.
        pending_bytes: Batches that may wait to be written.
        total_bytes: Size of the log.
        reserve_bytes: Disk space kept back for background work (`store/reserve.py`).
        amplification: Bytes kept per live byte before compaction is due; one segment is allowed on top.
        checkpoint_keys: Fewest changed keys for which a checkpoint is written.
        checkpoint_ratio: Share of the last checkpoint's keys that must have changed before the next one.
        snapshot_keys: Old locations kept for one snapshot before it is cut off.
        follower_bytes: Log kept for one follower before it is cut off.
        merge_count: Adjacent small segments that are merged into one.
        max_failed_syncs: Consecutive failed syncs after which the store takes no more writes.
        on_damage: What opening a damaged store does.
        on_sync_error: What a failed sync leads to.
    """

    segment_bytes: int = 4 << 20
    batch_bytes: int = 1 << 20
    key_bytes: int = 1024
    value_bytes: int = 256 << 10
    pending_bytes: int = 4 << 20
    total_bytes: int = 1 << 30
    reserve_bytes: int = 8 << 20
    amplification: float = 2.0
    checkpoint_keys: int = 20_000
    checkpoint_ratio: float = 0.25
    snapshot_keys: int = 100_000
    follower_bytes: int = 64 << 20
    merge_count: int = 8
    max_failed_syncs: int = 4
    on_damage: OnDamage = OnDamage.REFUSE
    on_sync_error: OnSyncError = OnSyncError.NEW_SEGMENT


@dataclass(slots=True)
class Chain:
    """The segment files that form the log.

    Attributes:
        headers: Headers of the files in order.
        obsolete: Headers of files that a compacted file has replaced.
        problem: Set if a file is missing; `headers` then ends before the gap.
    """

    headers: list[Header]
    obsolete: list[Header]
    problem: DamagedDataError | None = None


def build_chain(headers: Iterable[Header]) -> Chain:
    """Select the files that form the log.

    Of files that hold the same segment numbers, the one with the widest range and then the highest
    generation is used: a file gets its name only once it is complete. The selected files must hold every
    number from 1 on; the chain ends at a gap.
    """
    candidates = sorted(headers, key=lambda header: (header.first, -header.last, -header.generation))
    selected: list[Header] = []
    obsolete: list[Header] = []
    for header in candidates:
        if selected and header.last <= selected[-1].last:
            obsolete.append(header)
            continue
        expected = selected[-1].last + 1 if selected else 1
        if header.first != expected:
            return Chain(
                selected,
                obsolete,
                DamagedDataError(
                    header.name, 0, f"the file that holds number {expected} is missing before it"
                ),
            )
        selected.append(header)
    return Chain(selected, obsolete)


def parse_frames_to_end(
    data: bytes, header: Header, limit: int, start: int, seq: int, link: int
) -> tuple[list[Frame], int]:
    """Decode the frames of a whole file from the offset `start` on.

    `limit` is the longest payload in bytes; `seq` and `link` are those that the first frame must have.
    Returns the frames and the offset after the last valid one.
    """
    frames = parse_frames(data[start:] if start else data, header, limit, start, seq, link)
    return frames, frames[-1].end if frames else start


def parse_frames(data: bytes, header: Header, limit: int, start: int, seq: int, link: int) -> list[Frame]:
    """Decode frames as `parse_frames_to_end`, from `data` that begins at the offset `start` of the file.

    Each frame must link to the one before it and continue its sequence numbers. Those of a compacted file
    may have gaps.
    """
    frames: list[Frame] = []
    at, seed = start, header.seed
    while (frame := parse_frame(data, at - start, at, seed, limit)) is not None:
        has_gaps = header.kind == COMPACTED
        if frame.link != link or (frame.first_seq < seq if has_gaps else frame.first_seq != seq):
            break
        frames.append(frame)
        at, link = frame.end, frame.crc
        seq = frame.first_seq + record_count(frame)
    return frames


def record_count(frame: Frame) -> int:
    """Return the number of records in a frame, without decoding them."""
    at, count, payload = 0, 0, frame.payload
    while at < len(payload):
        at += (
            16
            + int.from_bytes(payload[at + 2 : at + 4], "little")
            + int.from_bytes(payload[at + 4 : at + 8], "little")
        )
        count += 1
    return count


def check_torn_tail(data: bytes, at: int, header: Header, limit: int) -> None:
    """Check that unreadable bytes from the offset `at` on are a torn tail, which a crash may leave behind.

    Blocks that were never synced may reach the disk in any order, so a valid frame after the unreadable
    bytes alone proves nothing. A valid frame whose durable end lies beyond `at` does: the unreadable bytes
    had been synced.

    Raises:
        DamagedDataError: The unreadable bytes had been durable.
    """
    seed = header.seed
    for position in range(at + 1, len(data) - FRAME.size + 1):
        durable_end = int.from_bytes(data[position + 20 : position + 28], "little")
        if at < durable_end <= position and parse_frame(data, position, position, seed, limit):
            raise DamagedDataError(header.name, at, "unreadable, though later records show that it was safe")


def check_complete(header: Header, frames: list[Frame], end: int, expected_end: int) -> None:
    """Check that a file that is not the last of the log is readable up to its expected end.

    `end` is the offset at which its valid `frames` end. A log segment must be valid up to the length that the
    next segment recorded, and a frame must begin or end there. A compacted segment must end in an empty frame
    that records everything before it as durable.

    Raises:
        DamagedDataError: The file is not complete.
    """
    if header.kind == LOG:
        if end < expected_end or (
            end > expected_end
            and expected_end not in {frame.end for frame in frames} | {frame.offset for frame in frames}
        ):
            raise DamagedDataError(
                header.name, min(end, expected_end), f"unreadable; {expected_end} bytes of it were safe"
            )
    elif (
        not frames
        or frames[-1].payload
        or frames[-1].end != expected_end
        or (frames[-1].durable_end != frames[-1].offset)
    ):
        raise DamagedDataError(header.name, end, "unreadable, or its closing mark is missing")


# ---- compaction


@dataclass(frozen=True, slots=True)
class CompactionRun:
    """A run of sealed segments that is to be compacted into one.

    `first` and `last` are indices into the list of sealed segments; `reason` is for diagnostics.
    """

    first: int
    last: int
    reason: str


def exceeds_amplification(segments: list[Segment], active: int, limits: Limits) -> bool:
    """Return whether the log exceeds its space amplification limit.

    `segments` are the sealed segments and `active` is the size of the active one in bytes.
    """
    total = active + sum(segment.size for segment in segments)
    live = active + sum(segment.live_bytes for segment in segments)
    return total > limits.amplification * live + limits.segment_bytes


def choose_run(
    segments: list[Segment], active: int, limits: Limits, retained_from: int
) -> CompactionRun | None:
    """Choose the run of sealed segments whose compaction frees the most bytes per byte written.

    `segments` are the sealed segments in order, `active` is the size of the active one in bytes. Followers
    still need the segments from index `retained_from` on. When the limit is exceeded there is at least as
    much garbage as live data, so a run that frees enough exists, unless deletions must be kept. In that case
    the segment that was cleaned longest ago is compacted, after which later deletions can be dropped.
    """
    candidates = segments[:retained_from]
    if exceeds_amplification(segments, active, limits):
        best = max(_runs(candidates, limits), key=lambda scored: scored[0], default=(0.0, None))
        if best[1] and best[0] >= 0.5:
            return best[1]
        if candidates and any(segment.deletion_bytes for segment in candidates):
            index = min(range(len(candidates)), key=lambda n: candidates[n].header.cleaned_before)
            return CompactionRun(index, index, "for deletions")
    return _run_of_small_segments(candidates, limits)


def _runs(segments: list[Segment], limits: Limits) -> Iterable[tuple[float, CompactionRun]]:
    """Yield the runs that fit one file, each with the bytes that it frees per byte written."""
    for first in range(len(segments)):
        size = kept = 0
        for last in range(first, len(segments)):
            segment = segments[last]
            size += segment.size
            kept += segment.live_bytes + segment.deletion_bytes * (
                not can_drop_deletions(segments, first, last)
            )
            if kept > limits.segment_bytes and last > first:
                break
            yield (size - kept) / (kept + 512), CompactionRun(first, last, "garbage")


def can_drop_deletions(segments: list[Segment], first: int, last: int) -> bool:
    """Return whether a run may drop all its deletions.

    It may if every segment before it was cleaned after the last of them.
    """
    following = segments[last + 1].header.base_seq if last + 1 < len(segments) else 1 << 63
    return min_cleaned_before(segments, first) > following


def min_cleaned_before(segments: list[Segment], first: int) -> int:
    """Return the sequence number below which deletions hide nothing in the segments before index `first`."""
    return min((segment.header.cleaned_before for segment in segments[:first]), default=1 << 64)


def _run_of_small_segments(segments: list[Segment], limits: Limits) -> CompactionRun | None:
    """Return the first run of small segments worth merging, which saves reading their headers at startup."""
    first = 0
    for index, segment in enumerate([*segments, None]):
        if segment is not None and segment.size < limits.segment_bytes // limits.merge_count:
            continue
        if index - first >= limits.merge_count:
            return CompactionRun(first, min(index - 1, first + 4 * limits.merge_count), "small")
        first = index + 1
    return None


def checkpoint_due(changed: int, keys: int, limits: Limits) -> bool:
    """Return whether a checkpoint is due after `changed` keys, with `keys` in the last checkpoint."""
    return changed >= max(limits.checkpoint_keys, int(keys * limits.checkpoint_ratio))
