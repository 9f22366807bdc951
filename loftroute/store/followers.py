"""Followers of the log: each reads every durable change once and in order, or learns that it was cut off."""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple

from loftroute.store import plan
from loftroute.store.log import Log
from loftroute.store.records import COMPACTED, HEADER_SIZE, PUT, Frame, Record, frame_records
from loftroute.store.state import PAGE, CutOffError, Segment


class Change(NamedTuple):
    """A durable change as a follower reads it.

    Attributes:
        seq: Sequence number of the record.
        space: Number of the key space.
        value: The new value; None for a deletion.
        expiry: Store time in nanoseconds at which the key expires; 0 means never.
        committed_at: Store time of the commit in nanoseconds.
    """

    seq: int
    space: int
    key: bytes
    value: bytes | None
    expiry: int
    committed_at: int


class Cursor(NamedTuple):
    """The frame that a follower reads next.

    Attributes:
        segment_id: Id of the segment.
        offset: Offset of the frame in bytes.
        link: Link that the frame must have.
        first_seq: Sequence number of its first record.
    """

    segment_id: int
    offset: int
    link: int
    first_seq: int


@dataclass(slots=True, eq=False)
class Follower:
    """A reader of the log.

    Attributes:
        name: Name for error messages.
        position: Sequence number that it reads next.
        cut_off: The log was compacted past its position.
        cursor: Where reading continues; None before the first read.
    """

    name: str
    position: int
    cut_off: bool = False
    cursor: Cursor | None = None


class Followers:
    """All followers of one log."""

    def __init__(self, log: Log) -> None:
        self._log = log
        self._followers: list[Follower] = []

    def __len__(self) -> int:
        return len(self._followers)

    @property
    def log_start(self) -> int:
        """Return the first sequence number from which on the log holds every record."""
        log = self._log
        headers = [*(segment.header for segment in log.sealed), log.writable.header]
        compacted = [index for index, header in enumerate(headers) if header.kind == COMPACTED]
        return headers[compacted[-1] + 1].base_seq + 1 if compacted else 1

    def follow(self, name: str, position: int) -> Follower:
        """Register a follower. The log from its position on is kept as long as the limits allow.

        Raises:
            CutOffError: Records from `position` on were compacted away.
        """
        self._require_complete_from(position)
        follower = Follower(name, position)
        self._followers.append(follower)
        return follower

    def unfollow(self, follower: Follower) -> None:
        """Remove a follower; the log is no longer kept for it."""
        self._followers = [other for other in self._followers if other is not follower]

    def _require_complete_from(self, position: int) -> None:
        if position < self.log_start:
            raise CutOffError(
                f"record {position} was compacted; the log is complete from {self.log_start} on: start "
                "again from a snapshot"
            )

    # ---- reading

    def changes(self, follower: Follower, max_changes: int = PAGE) -> list[Change]:
        """Return the next durable changes in order, and advance the follower past them.

        The last frame is returned as a whole, so that there may be a few more changes than `max_changes`.

        Raises:
            CutOffError: The follower was cut off; its reader must start again from a snapshot.
        """
        if follower.cut_off:
            raise CutOffError(f"{follower.name} lagged by more than {self._log.limits.follower_bytes} bytes")
        self._require_complete_from(follower.position)
        end = self._log.state.next_seq
        changes: list[Change] = []
        for frame in self._unread(follower):
            changes += [
                _change(record) for record in frame_records(frame) if follower.position <= record.seq < end
            ]
            if len(changes) >= max_changes:
                break
        if changes:
            follower.position = changes[-1].seq + 1
        return changes

    def _unread(self, follower: Follower) -> Iterator[Frame]:
        """Yield the frames with records from the follower's position on, and advance its cursor past each."""
        log = self._log
        segments = [*log.sealed, log.state.segments[log.writable.header.id]]
        for index, segment in enumerate(segments):
            is_last = index + 1 == len(segments)
            last_seq = log.state.next_seq - 1 if is_last else segments[index + 1].header.base_seq
            if last_seq < follower.position:
                continue
            for frame in self._frames(segment, follower.cursor):
                next_seq = frame.first_seq + plan.record_count(frame)
                follower.cursor = Cursor(segment.header.id, frame.end, frame.crc, next_seq)
                if next_seq > follower.position:
                    yield frame

    def _frames(self, segment: Segment, cursor: Cursor | None) -> list[Frame]:
        """Read the frames of a segment, from the cursor on if that is in the segment."""
        header = segment.header
        if cursor is None or cursor.segment_id != header.id:
            cursor = Cursor(header.id, HEADER_SIZE, header.seed, header.base_seq + 1)
        return self._log.frames_from(segment, cursor.offset, cursor.link, cursor.first_seq)

    # ---- retention

    def retained_from(self) -> int:
        """Return the index of the first sealed segment that followers still need as it is.

        Followers that need more than the limit are cut off.
        """
        log = self._log
        while self._followers:
            slowest = min(self._followers, key=lambda follower: follower.position)
            index = self._segment_index(slowest.position)
            if sum(segment.size for segment in log.sealed[index:]) <= log.limits.follower_bytes:
                return index
            slowest.cut_off = True
            self.unfollow(slowest)
            log.counters.followers_cut += 1
        return len(log.sealed)

    def _segment_index(self, position: int) -> int:
        """Return the index of the sealed segment that holds a record; the last one for later records."""
        sealed = self._log.sealed
        for index, following in enumerate(sealed[1:]):
            if following.header.base_seq >= position:
                return index
        return max(len(sealed) - 1, 0)


def _change(record: Record) -> Change:
    op = record.op
    value = op.value if op.kind == PUT else None
    return Change(record.seq, op.space, op.key, value, op.expiry, record.committed_at)
