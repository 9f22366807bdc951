"""Recovery: loads a store when it is opened.

The newest checkpoint that matches the files is loaded, the log after it is replayed, and a new segment is
started. The format and the guarantees are described in `docs/design/store-format.md` and
`docs/design/store.md`.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field

from loftroute.runtime.files import Directory
from loftroute.store import plan
from loftroute.store.index import CheckpointReader, Summary
from loftroute.store.log import ActiveSegment, Log, OpenCheckpoint, create_durable
from loftroute.store.plan import OnDamage
from loftroute.store.records import (
    COMPACTED,
    HEADER_SIZE,
    INDEX_NAME,
    LOG,
    PUT,
    SEGMENT_NAME,
    STORE_FILE,
    TEMPORARY,
    DamagedDataError,
    Frame,
    Header,
    Location,
    Record,
    StoreError,
    frame_records,
    pack_frame,
    pack_store_file,
    parse_header,
    parse_store_file,
)
from loftroute.store.reserve import RESERVE_FILE
from loftroute.store.state import Segment, op_key

STORE_ID_SIZE = 8  # bytes


@dataclass(slots=True)
class RecoveryReport:
    """What was found when a store was opened.

    Attributes:
        segments: Number of segments that form the log.
        replayed: Number of records read.
        torn_bytes: Bytes of an incomplete write at the end of the log, which are ignored.
        tail_records: Records that were found after the last byte known to be durable and written again.
        checkpoint: Name of the checkpoint used; empty if there is none.
        bad_checkpoints: Number of checkpoints that could not be used.
        removed: Number of leftover files that were removed.
        damage: Description of the damage if the store was opened in spite of it.
        names: File names of the segments in order.
    """

    segments: int = 0
    replayed: int = 0
    torn_bytes: int = 0
    tail_records: int = 0
    checkpoint: str = ""
    bad_checkpoints: int = 0
    removed: int = 0
    damage: str = ""
    names: list[str] = field(default_factory=list)


def identify(directory: Directory, store_id: bytes, read_only: bool) -> bytes:
    """Return the id of the store in a directory. An empty directory becomes a store with the id `store_id`.

    Raises:
        DamagedDataError: The file with the id is missing or not valid.
        NewerFormatError: The store has a later format version.
        StoreError: The directory does not hold a store.
        OSError: Reading or writing failed.
    """
    names = directory.names()
    if STORE_FILE in names:
        return parse_store_file(_load(directory, STORE_FILE))
    if any(SEGMENT_NAME.fullmatch(name) or INDEX_NAME.fullmatch(name) for name in names):
        raise DamagedDataError(STORE_FILE, 0, "missing, although the folder holds segments")
    foreign = [name for name in names if not name.endswith(TEMPORARY) and name != RESERVE_FILE]
    if foreign:
        raise StoreError(f"{directory.path}: holds {foreign[0]}, which does not belong to a store")
    if read_only or len(store_id) != STORE_ID_SIZE:
        raise StoreError(f"{directory.path}: no store here")
    create_durable(directory, STORE_FILE, pack_store_file(store_id)).close()
    return store_id


def _load(directory: Directory, name: str) -> bytes:
    file = directory.open(name)
    try:
        return file.read(0, file.size())
    finally:
        file.close()


def recover(log: Log, read_only: bool, use_checkpoints: bool, now: int) -> RecoveryReport:
    """Load the log from its directory and start a new segment.

    With `read_only` no file is changed and no segment is started. `now` is store time in nanoseconds.

    Raises:
        DamagedDataError: The log is damaged, and neither `read_only` nor the limits allow reading it.
        NewerFormatError: A file has a later format version.
        OSError: Reading or writing failed.
    """
    return _Recovery(log, read_only).run(use_checkpoints, now)


class _Recovery:
    """The recovery of one log."""

    def __init__(self, log: Log, read_only: bool) -> None:
        self._log, self._state, self._directory = log, log.state, log.directory
        self._read_only = read_only
        self._report = RecoveryReport()

    def run(self, use_checkpoints: bool, now: int) -> RecoveryReport:
        """Recover the log and return what was found."""
        report = self._report
        names = self._directory.names()
        headers, problem = self._headers(names)
        chain = plan.build_chain(headers)
        checkpoints = sorted((name for name in names if INDEX_NAME.fullmatch(name)), reverse=True)
        tail = self._read(chain.headers, checkpoints if use_checkpoints else [], problem or chain.problem)
        report.segments = len(chain.headers)
        report.names = [header.name for header in chain.headers]
        if self._read_only or report.damage:
            self._apply_tail(tail)
            self._log.stop("opened for reading only")
            return report
        self._remove([name for name in names if name.endswith(TEMPORARY)])
        self._begin_segment(tail, now)
        for obsolete in chain.obsolete:
            self._log.files.pop(obsolete.id).close()
        self._remove([header.name for header in chain.obsolete])
        self._remove([name for name in checkpoints if name != report.checkpoint])
        return report

    def _headers(self, names: list[str]) -> tuple[list[Header], DamagedDataError | None]:
        """Open the segments; return their headers and the first problem.

        A segment with an unreadable header is left out, so that the chain ends before it.
        """
        headers: list[Header] = []
        problem: DamagedDataError | None = None
        for name in names:
            if not SEGMENT_NAME.fullmatch(name):
                continue
            file = self._directory.open(name)
            try:
                header = parse_header(file.read(0, HEADER_SIZE), name)
                if header.store_id != self._log.store_id:
                    raise DamagedDataError(name, 0, "a segment of another store")
            except DamagedDataError as damage:
                problem = problem or damage
                file.close()
                continue
            headers.append(header)
            self._log.files[header.id] = file
        return headers, problem

    def _remove(self, names: list[str]) -> None:
        """Remove files that a crash left behind."""
        for name in names:
            self._directory.remove(name)
            self._report.removed += 1

    def _read(
        self, headers: list[Header], checkpoints: list[str], problem: DamagedDataError | None
    ) -> list[Frame]:
        """Load the files as far as they are readable; return the frames that are not known to be durable.

        `problem` is damage that was found before.

        Raises:
            DamagedDataError: There is damage, and the log must not be opened in spite of it.
        """
        tail: list[Frame] = []
        try:
            covered = self._load_checkpoint(checkpoints, headers)
            tail = self._replay(headers, covered)
            if problem:
                raise problem
        except DamagedDataError as damage:
            first_damage = problem or damage
            if not self._read_only and self._log.limits.on_damage is OnDamage.REFUSE:
                raise first_damage from None
            self._report.damage = str(first_damage)
            self._log.stopped = f"damage was found: {first_damage}"
        return tail

    # ---- the checkpoint

    def _load_checkpoint(self, names: list[str], headers: list[Header]) -> Summary | None:
        """Load the newest checkpoint that matches the files.

        Returns its summary, or None if the log must be read from its beginning.
        """
        sizes = {header.id: self._log.files[header.id].size() for header in headers}
        for name in names:
            file = self._directory.open(name)
            try:
                base = CheckpointReader(name, file.size(), file.read, self._log.store_id)
                _check_files(name, base.summary, headers, sizes)
            except StoreError:
                file.close()
                self._report.bad_checkpoints += 1
                continue
            self._log.checkpoint = OpenCheckpoint(name, file)
            self._report.checkpoint = name
            self._adopt(base, sizes)
            return base.summary
        return None

    def _adopt(self, base: CheckpointReader, sizes: dict[int, int]) -> None:
        """Base the state on a checkpoint; `sizes` are those of the segment files by id."""
        summary, state = base.summary, self._state
        self._log.usage_exact = all(number in sizes for number in summary.files)
        state.base = base
        state.next_seq, state.horizon = summary.next_seq, summary.horizon
        state.usage = {space: list(usage) for space, usage in summary.usage.items()}

    # ---- the log after the checkpoint

    def _replay(self, headers: list[Header], covered: Summary | None) -> list[Frame]:
        """Replay the records that the checkpoint does not cover.

        Returns the frames of the last segment that are not known to be durable.
        """
        if headers and headers[-1].kind == COMPACTED:
            raise DamagedDataError(headers[-1].name, 0, "the segment after it is missing")
        self._register(headers, covered)
        tail: list[Frame] = []
        for header in headers:
            segment, is_last = self._state.segments[header.id], header is headers[-1]
            if not is_last:
                self._log.sealed.append(segment)
            known = covered is not None and header.id in covered.files
            if known and covered and header.id != covered.position[0]:
                continue
            if header.base_seq + 1 > self._state.next_seq and not known:
                raise DamagedDataError(
                    header.name,
                    0,
                    f"it begins after record {header.base_seq}, but the segment before it ends at "
                    f"{self._state.next_seq - 1}",
                )
            tail = self._read_segment(segment, covered, is_last)
        return tail

    def _register(self, headers: list[Header], covered: Summary | None) -> None:
        """Add the segments to the state. A header records the valid length of the segment before it."""
        following = [*headers[1:], None][: len(headers)]
        for header, next_header in zip(headers, following, strict=True):
            recorded_size = (
                next_header.previous_end if next_header is not None and header.kind == LOG else None
            )
            size = self._log.files[header.id].size() if recorded_size is None else recorded_size
            _, live, deletions = covered.files.get(header.id, (0, 0, 0)) if covered else (0, 0, 0)
            self._state.segments[header.id] = Segment(header, size, live, deletions)

    def _read_segment(self, segment: Segment, covered: Summary | None, is_last: bool) -> list[Frame]:
        """Apply a segment's frames; return those of the last segment that are not known to be durable."""
        header, size = segment.header, segment.size
        data = self._log.files[header.id].read(0, size)
        start, seq, link = HEADER_SIZE, header.base_seq + 1, header.seed
        if covered and header.id == covered.position[0]:
            start, seq, link = covered.position[1], covered.next_seq, covered.position[2]
        frames, end = plan.parse_frames_to_end(data, header, self._log.frame_limit, start, seq, link)
        try:
            if is_last:
                plan.check_torn_tail(data, end, header, self._log.frame_limit)
            else:
                plan.check_complete(header, frames, end, size)
        except DamagedDataError:
            self._apply(header, frames, covered)  # the store may be opened read-only, as far as it goes
            raise
        if is_last:
            self._report.torn_bytes = size - end
            segment.size = max([start, *(frame.durable_end for frame in frames)])
        self._apply(header, [frame for frame in frames if frame.end <= segment.size], covered)
        return [frame for frame in frames if frame.end > segment.size] if is_last else []

    def _apply(self, header: Header, frames: Sequence[Frame], covered: Summary | None) -> None:
        """Apply frames of a segment to the state. Records that the checkpoint covers may have moved there."""
        state, first_new_seq = self._state, covered.next_seq if covered else 0
        for frame in frames:
            state.horizon = max(state.horizon, frame.committed_at)
            records = list(frame_records(frame))
            length = frame.end - frame.offset
            share = length // max(len(records), 1)
            for record in records:
                if record.seq >= first_new_seq:
                    state.apply(record.seq, record.op, header.id, frame.offset, length, share)
                elif record.op.kind == PUT:
                    state.adopt_moved_record(op_key(record.op), _location(record, header, frame, share))
            self._report.replayed += len(records)
            state.next_seq = max(state.next_seq, frame.first_seq + len(records))

    def _apply_tail(self, tail: list[Frame]) -> None:
        """Apply the tail of a store that is opened read-only, without writing it again."""
        if tail:
            last = next(reversed(self._state.segments.values()))
            last.size = tail[-1].end
            self._apply(last.header, tail, None)

    # ---- the new segment

    def _begin_segment(self, tail: list[Frame], now: int) -> None:
        """Start a new segment that begins with a copy of the tail.

        The tail may only have been in the page cache, and a sync of its old pages could not be relied on.
        """
        log, state = self._log, self._state
        kept = [frame for frame in tail if frame.payload]
        self._report.tail_records = sum(map(plan.record_count, kept))
        previous = next(reversed(state.segments.values()), None)
        if previous is not None:
            log.sealed.append(previous)
        number = previous.header.last + 1 if previous else 1
        previous_end = previous.size if previous else 0
        header = Header(LOG, number, number, 0, state.next_seq - 1, previous_end, log.store_id)
        copies, raw = _copy_frames(kept, header)
        end, link = (copies[-1].end, copies[-1].crc) if copies else (HEADER_SIZE, header.seed)
        file = create_durable(self._directory, header.name, raw)
        log.set_active(ActiveSegment(file, header, end, end, link, link, has_durable_mark=False))
        log.recount_sealed()
        self._apply(header, copies, None)
        state.advance_time(now)


def _check_files(name: str, summary: Summary, headers: list[Header], sizes: dict[int, int]) -> None:
    """Check that a checkpoint matches the segment files.

    Each segment that it refers to must be at least as long as it was then, or must have been compacted into a
    later one. `sizes` are the lengths of the files by segment id.

    Raises:
        DamagedDataError: The checkpoint, whose file is `name`, does not match.
    """
    for segment_id, (size, _, _) in summary.files.items():
        first, generation = segment_id >> 24, segment_id & 0xFFFFFF
        if segment_id in sizes:
            if sizes[segment_id] < size:
                raise DamagedDataError(name, 0, "it refers to a longer file")
        elif not any(
            header.first <= first <= header.last and header.generation > generation for header in headers
        ):
            raise DamagedDataError(name, 0, "it refers to a file that is gone")


def _location(record: Record, header: Header, frame: Frame, share: int) -> Location:
    return Location(record.seq, header.id, frame.offset, frame.end - frame.offset, share, record.op.expiry)


def _copy_frames(frames: list[Frame], header: Header) -> tuple[list[Frame], bytes]:
    """Return copies of frames as they are stored in a new segment, and the bytes of that segment."""
    raw, copies = [header.pack()], []
    offset, link = HEADER_SIZE, header.seed
    for old in frames:
        data, crc = pack_frame(header.seed, link, old.first_seq, 0, old.committed_at, old.payload)
        end = offset + len(data)
        copies.append(Frame(offset, end, crc, link, old.first_seq, 0, old.committed_at, old.payload))
        raw.append(data)
        offset, link = end, crc
    return copies, b"".join(raw)
