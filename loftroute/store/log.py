"""The files and state of an open store, shared by recovery, the write path and maintenance.

This module reads frames and records and tracks the segments. Its users decide what to write, and when.
"""

import contextlib
from dataclasses import dataclass, field

from loftroute.runtime.files import Directory, File
from loftroute.store import plan
from loftroute.store.plan import Limits
from loftroute.store.records import (
    HEADER_SIZE,
    TEMPORARY,
    DamagedDataError,
    Frame,
    Header,
    Location,
    Record,
    frame_records,
    parse_frame,
)
from loftroute.store.state import Segment, State

FRAME_MARGIN = 4096  # bytes by which a valid frame's payload may exceed the largest batch


@dataclass(slots=True)
class ActiveSegment:
    """The segment that is written to.

    Attributes:
        end: Length written, in bytes.
        durable_end: Length known to be durable, in bytes.
        link: Link of the next frame.
        durable_link: Link of the frame that follows `durable_end`.
        has_durable_mark: The last frame, if any, records everything before it as durable.
        unusable: Writing or truncating the file failed, so that the next commit starts a new segment.
    """

    file: File
    header: Header
    end: int
    durable_end: int
    link: int
    durable_link: int
    has_durable_mark: bool = True
    unusable: bool = False


@dataclass(slots=True)
class Counters:
    """Counts since the store was opened. They are reported under their field names."""

    appended: int = 0  # records
    appended_bytes: int = 0
    syncs: int = 0
    sync_errors: int = 0
    write_errors: int = 0
    refused: int = 0  # batches
    compactions: int = 0
    compacted_bytes: int = 0
    checkpoints: int = 0
    checkpoint_bytes: int = 0
    followers_cut: int = 0
    background_errors: int = 0
    suspensions: int = 0
    resumptions: int = 0


@dataclass(slots=True)
class OpenCheckpoint:
    """The checkpoint that the state is based on."""

    name: str
    file: File


@dataclass(slots=True, eq=False)
class Log:
    """A store's directory with its segments, state and checkpoint.

    Attributes:
        store_id: 8 bytes, the same in all files of the store.
        sealed: All segments but the active one, in order.
        sealed_bytes: Size of the sealed segments.
        active: The segment that is written to; None if the store was opened read-only.
        files: Open segment files by segment id.
        usage_exact: The state's usage counts no records in segments that no longer exist.
        stopped: Why the store takes no more writes until it is opened again; empty if it may take them.
        suspended: Why it takes no writes until the disk works again; empty if it may take them or is stopped.
        unsafe_names: Files that must be gone before writes resume: whether they last is unknown.
    """

    directory: Directory
    limits: Limits
    store_id: bytes
    state: State
    sealed: list[Segment] = field(default_factory=list)
    sealed_bytes: int = 0
    active: ActiveSegment | None = None
    files: dict[int, File] = field(default_factory=dict)
    checkpoint: OpenCheckpoint | None = None
    usage_exact: bool = True
    stopped: str = ""
    suspended: str = ""
    unsafe_names: list[str] = field(default_factory=list)
    counters: Counters = field(default_factory=Counters)

    @property
    def frame_limit(self) -> int:
        """Return the longest payload of a valid frame in bytes."""
        return self.limits.batch_bytes + FRAME_MARGIN

    @property
    def size(self) -> int:
        """Return the size of all segments in bytes."""
        return self.sealed_bytes + (self.active.end if self.active else 0)

    @property
    def writable(self) -> ActiveSegment:
        """Return the segment that is written to.

        Raises:
            ReadOnlyError: The store was opened read-only.
        """
        if self.active is None:
            raise plan.ReadOnlyError(self.refusal or "closed")
        return self.active

    @property
    def refusal(self) -> str:
        """Return why the store takes no writes; empty while it takes them."""
        return self.stopped or self.suspended

    def suspend(self, reason: str) -> None:
        """Take no writes until `LogWriter.resume` succeeds."""
        if not self.stopped:
            self.counters.suspensions += not self.suspended
            self.suspended = reason

    def stop(self, reason: str) -> None:
        """Take no more writes. The reason of the first call is kept."""
        self.stopped, self.suspended = self.stopped or reason, ""

    # ---- reading

    def record(self, place: Location) -> Record:
        """Read a record and check its frame.

        Raises:
            DamagedDataError: The frame is not valid. The store takes no more writes after that.
        """
        header = self.state.segments[place.segment_id].header
        raw = self.files[place.segment_id].read(place.offset, place.length)
        frame = parse_frame(raw, 0, place.offset, header.seed, self.frame_limit)
        if frame is None:
            self.stop(f"damage was found: {header.name} at offset {place.offset}")
            raise DamagedDataError(header.name, place.offset, "unreadable")
        return next(record for record in frame_records(frame) if record.seq == place.seq)

    def frames(self, segment: Segment) -> list[Frame]:
        """Read all frames of a segment."""
        header = segment.header
        return self.frames_from(segment, HEADER_SIZE, header.seed, header.base_seq + 1)

    def frames_from(self, segment: Segment, offset: int, link: int, seq: int) -> list[Frame]:
        """Read the frames of a segment from an offset on. The first one must have this `link` and `seq`."""
        raw = self.files[segment.header.id].read(offset, segment.size - offset)
        return plan.parse_frames(raw, segment.header, self.frame_limit, offset, seq, link)

    # ---- the segments

    def recount_sealed(self) -> None:
        """Update `sealed_bytes` from the sealed segments."""
        self.sealed_bytes = sum(segment.size for segment in self.sealed)

    def set_active(self, active: ActiveSegment) -> None:
        """Add a segment and make it the one that is written to."""
        self.files[active.header.id] = active.file
        self.state.segments[active.header.id] = Segment(active.header, active.end)
        self.active = active

    def discard(self, name: str, file: File | None) -> None:
        """Remove the incomplete file of failed background work, which would have become `name`."""
        self.counters.background_errors += 1
        if file is not None:
            file.close()
        with contextlib.suppress(OSError):
            self.directory.remove(name + TEMPORARY)

    def close(self) -> None:
        """Close all files and unlock the directory."""
        for file in self.files.values():
            file.close()
        if self.checkpoint is not None:
            self.checkpoint.file.close()
        self.stop("closed")
        self.directory.close()


def create_durable(directory: Directory, name: str, raw: bytes) -> File:
    """Create a file and make its contents and name durable before returning it.

    Raises:
        OSError: The file could not be created or synced.
    """
    file = directory.create(name + TEMPORARY)
    file.write(0, raw)
    file.sync()
    directory.rename(name + TEMPORARY, name)
    directory.sync()
    return file
