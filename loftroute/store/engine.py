"""The store's I/O: recovery, group commit, compaction and checkpoints over a folder of files.

What may block is yielded: `commit`, `compact` and `checkpoint` are generators that yield either a `Sync`,
whose call the driver makes wherever it likes and whose error it sends back, or the bytes that a step moved.
`drive` makes all calls on the spot; `store/actor.py` has the worker thread make them.
"""

import contextlib
import errno
from collections.abc import Callable, Generator, Iterator, Sequence
from dataclasses import dataclass, field
from typing import Any, NamedTuple

import msgpack

from loftroute.runtime.files import Directory, File
from loftroute.store import plan
from loftroute.store.index import Reader, Summary, Writer
from loftroute.store.plan import Limits, OnDamage, OnSyncError, Run
from loftroute.store.records import (
    COMPACTED,
    DELETE,
    FRAME,
    HEADER_SIZE,
    INDEX_NAME,
    LOG,
    NAME,
    PUT,
    RECORD,
    STORE_FILE,
    TEMPORARY,
    Damaged,
    Frame,
    Header,
    Location,
    Op,
    Record,
    StoreError,
    frame,
    header,
    pack_store,
    parse,
    payload,
    read_store,
    records,
)
from loftroute.store.state import PAGE, CutOff, Layer, Segment, Snapshot, State, op_key

RESERVE = "RESERVE"
META = 0  # the space that holds the names and numbers of the others
FRAME_BYTES = 16 << 10  # batches share a frame up to this size, since a read reads a whole frame
STEP = 4 << 10  # bytes that a step of background work moves: it keeps the hub for about a millisecond
READ_ON = 32 << 10  # bytes read at a time


class Sync(NamedTuple):
    """A call that blocks until something is safe."""

    call: Callable[[], None]


Steps = Generator[Sync | int, Exception | None, None]
Done = Callable[[StoreError | None], None]


Waiting = tuple[Sequence[Op], int, Done]  # a batch, its bytes, and who is told
Place = tuple[int, int, int, list[Op]]  # a frame's offset, length, first number, and changes


class Change(NamedTuple):
    """What a follower is given."""

    seq: int
    space: int
    key: bytes
    value: bytes | None  # None: deleted
    expiry: int
    at: int


@dataclass(slots=True, eq=False)
class Follower:
    """Reads the log from a number on. `position` is the number it wants next."""

    name: str
    position: int
    cut_off: bool = False
    cursor: tuple[int, int, int, int] | None = None  # segment, offset, link and number to go on from


@dataclass(slots=True)
class Active:
    """The segment that is written to."""

    file: File
    header: Header
    end: int
    durable: int
    link: int  # of the next frame
    safe_link: int  # of the one behind the last safe byte
    marked: bool = True  # its last frame tells how much of it is safe
    spoilt: bool = False  # nothing more is written to it


@dataclass(slots=True)
class Recovered:
    """How the store was found."""

    segments: int = 0
    replayed: int = 0  # records read
    torn_bytes: int = 0
    tail_records: int = 0  # found behind the last known safe byte, and written anew
    checkpoint: str = ""  # the one used
    bad_checkpoints: int = 0
    removed: int = 0  # files that were left over
    damage: str = ""
    names: list[str] = field(default_factory=list)


def on_the_spot(step: Sync) -> Exception | None:
    """Make a call here and now; the error that ended it, or None."""
    try:
        step.call()
    except OSError as problem:
        return problem
    return None


def drive(steps: Steps, sync: Callable[[Sync], Exception | None] = on_the_spot) -> None:
    """Take all steps; `sync` makes the calls and gives their errors."""
    answer: Exception | None = None
    with contextlib.suppress(StopIteration):
        while True:
            step = steps.send(answer)
            answer = sync(step) if isinstance(step, Sync) else None


class Engine:
    """A store in one folder."""

    def __init__(
        self,
        directory: Directory,
        limits: Limits,
        store_id: bytes = b"",
        read_only: bool = False,
        now: int = 0,
        checkpoints: bool = True,
    ) -> None:
        """Open it, or make it where the folder is empty: `store_id` (8 bytes) is for that. `read_only`
        changes nothing in the folder and takes no lock. `now` is store time in nanoseconds.

        Raises `Damaged`, `NewerFormat` and `OSError`; `Locked` where another process has it.
        """
        self.directory, self.limits = directory, limits
        self.state = State(limits.snapshot_keys)
        self.sealed: list[Segment] = []
        self.files: dict[int, File] = {}
        self.recovered = Recovered()
        self.followers: list[Follower] = []
        self.pending: list[Waiting] = []
        self.pending_bytes = 0
        self.settled = True  # usage counts nothing that is gone
        self.stopped = ""  # why no writes are taken
        self.count: dict[str, int] = dict.fromkeys(
            (
                "appended",
                "appended_bytes",
                "syncs",
                "sync_errors",
                "write_errors",
                "refused",
                "compactions",
                "compacted_bytes",
                "checkpoints",
                "checkpoint_bytes",
                "followers_cut",
                "background_errors",
            ),
            0,
        )
        self.active: Active | None = None
        self.spaces: dict[str, int] = {}
        self._sealed_bytes = 0
        self._row = 0  # syncs that failed, one after another
        self._committing = self._compacting = self._checkpointing = False
        self._reserved = False
        self._base_file: File | None = None  # of the checkpoint
        if not read_only:
            directory.lock()
        self._checkpoints = checkpoints  # False: they are not looked at
        self.store = self._identify(store_id, read_only)
        self._recover(read_only, now)
        if not read_only and not self.recovered.damage:
            self._keep_reserve()

    # ---- opening

    def _identify(self, store_id: bytes, read_only: bool) -> bytes:
        names = self.directory.names()
        if STORE_FILE in names:
            return read_store(self._load(STORE_FILE))
        if any(NAME.fullmatch(name) or INDEX_NAME.fullmatch(name) for name in names):
            raise Damaged(STORE_FILE, 0, "missing, though the folder holds segments")
        foreign = [name for name in names if not name.endswith(TEMPORARY) and name != RESERVE]
        if foreign:
            raise StoreError(f"{self.directory.path}: holds {foreign[0]}, which is not of a store")
        if read_only or len(store_id) != 8:
            raise StoreError(f"{self.directory.path}: no store here")
        self._place(STORE_FILE, pack_store(store_id)).close()
        return store_id

    def _load(self, name: str) -> bytes:
        file = self.directory.open(name)
        try:
            return file.read(0, file.size())
        finally:
            file.close()

    def _place(self, name: str, raw: bytes) -> File:
        """A small file, whole and safe under its name before this returns."""
        file = self.directory.create(name + TEMPORARY)
        file.write(0, raw)
        file.sync()
        self.directory.rename(name + TEMPORARY, name)
        self.directory.sync()
        return file

    def _recover(self, read_only: bool, now: int) -> None:
        names = self.directory.names()
        headers, problem = self._headers(names)
        chain = plan.chain(headers)
        problem = problem or chain.problem
        indexes = sorted((n for n in names if INDEX_NAME.fullmatch(n)), reverse=True)
        wanted = indexes if self._checkpoints else []
        tail: list[Frame] = []
        try:
            covered = self._load_checkpoint(wanted, chain.headers)
            tail = self._replay(chain.headers, covered)
            if problem:
                raise problem
        except Damaged as damage:
            found = problem or damage
            if not read_only and self.limits.on_damage is OnDamage.REFUSE:
                raise found from None
            self.recovered.damage = str(found)
            self.stopped = f"damage was found: {found}"
        self.recovered.segments, self.recovered.names = len(chain.headers), [h.name for h in chain.headers]
        if read_only or self.recovered.damage:
            self._apply_tail(tail)
            self.stopped = self.stopped or "opened for reading only"
        else:
            self._remove([n for n in names if n.endswith(TEMPORARY)])
            self._start(tail, now)
            for old in chain.obsolete:
                self.files.pop(old.id).close()
            self._remove([h.name for h in chain.obsolete])
            self._remove([n for n in indexes if n != self.recovered.checkpoint])
        self.spaces = {
            key[1:].decode(): msgpack.unpackb(self.value(place)) for key, place in self.places(bytes((META,)))
        }

    def _headers(self, names: list[str]) -> tuple[list[Header], Damaged | None]:
        """The segments' heads; one that can't be read is missing from the chain."""
        headers: list[Header] = []
        problem: Damaged | None = None
        for name in names:
            if not NAME.fullmatch(name):
                continue
            file = self.directory.open(name)
            try:
                found = header(file.read(0, HEADER_SIZE), name)
                if found.store != self.store:
                    raise Damaged(name, 0, "a segment of another store")
            except Damaged as damage:
                problem = problem or damage
                file.close()
                continue
            headers.append(found)
            self.files[found.id] = file
        return headers, problem

    def _remove(self, names: list[str]) -> None:
        """What a crash left over."""
        for name in names:
            self.directory.remove(name)
            self.recovered.removed += 1

    def _load_checkpoint(self, names: list[str], headers: list[Header]) -> Summary | None:
        """The newest checkpoint that agrees with the files. None: the log is read from its beginning."""
        sizes = {h.id: self.files[h.id].size() for h in headers}
        for name in names:
            file = self.directory.open(name)
            try:
                base = Reader(name, file.size(), file.read, self.store)
                summary = base.summary
                self._agrees(name, summary, headers, sizes)
            except StoreError:
                file.close()
                self.recovered.bad_checkpoints += 1
                continue
            self.state.base, self._base_file = base, file
            self.settled = all(number in sizes for number in summary.files)
            self.state.next_seq, self.state.horizon = summary.next_seq, summary.horizon
            self.state.usage = {space: list(usage) for space, usage in summary.usage.items()}
            self.recovered.checkpoint = name
            return summary
        return None

    @staticmethod
    def _agrees(name: str, summary: Summary, headers: list[Header], sizes: dict[int, int]) -> None:
        """Each file that it speaks of is there and as long as then, or a later file stands for it."""
        for number, (size, _, _) in summary.files.items():
            first, generation = number >> 24, number & 0xFFFFFF
            if number in sizes:
                if sizes[number] < size:
                    raise Damaged(name, 0, "it tells of a longer file")
            elif not any(h.first <= first <= h.last and h.generation > generation for h in headers):
                raise Damaged(name, 0, "it tells of a file that is gone")

    def _replay(self, headers: list[Header], covered: Summary | None) -> list[Frame]:
        """Read what the checkpoint does not hold; the frames of the last file that are not known to be safe
        are given back."""
        following = [*headers[1:], None][: len(headers)]
        tail: list[Frame] = []
        if headers and headers[-1].kind == COMPACTED:
            raise Damaged(headers[-1].name, 0, "the segment after it is missing")
        for found, after in zip(headers, following, strict=True):
            size = after.prev_end if after is not None and found.kind == LOG else self.files[found.id].size()
            known = covered.files.get(found.id) if covered else None
            self.state.segments[found.id] = Segment(found, size, *(known[1:] if known else (0, 0)))
        for found, after in zip(headers, following, strict=True):
            known = covered.files.get(found.id) if covered else None
            segment = self.state.segments[found.id]
            size = segment.size
            if after is not None:
                self.sealed.append(segment)
            if known and covered and found.id != covered.position[0]:
                continue
            if found.base + 1 > self.state.next_seq and not known:
                raise Damaged(
                    found.name,
                    0,
                    f"it begins behind record {found.base}, the one before it ends at "
                    f"{self.state.next_seq - 1}",
                )
            tail = self._read_segment(found, size, covered, last=after is None)
        return tail

    def _read_segment(self, found: Header, size: int, covered: Summary | None, last: bool) -> list[Frame]:
        data = self.files[found.id].read(0, size)
        start, seq, link = HEADER_SIZE, found.base + 1, found.seed
        if covered and found.id == covered.position[0]:
            start, seq, link = covered.position[1], covered.next_seq, covered.position[2]
        frames, end = plan.walk(data, found, self._frame_limit, start, seq, link)
        try:
            if last:
                plan.torn(data, end, found, self._frame_limit)
            else:
                plan.whole(found, frames, end, size)
        except Damaged:
            self._apply(found, frames, covered)  # for whoever opens it for reading: as far as it goes
            raise
        if not last:
            self._apply(found, [f for f in frames if f.end <= size], covered)
            return []
        self.recovered.torn_bytes = size - end
        safe = max([f.durable for f in frames], default=0)
        segment = self.state.segments[found.id]
        segment.size = max(safe, start)
        self._apply(found, [f for f in frames if f.end <= segment.size], covered)
        return [f for f in frames if f.end > segment.size]

    def _apply(self, found: Header, frames: list[Frame], covered: Summary | None) -> None:
        before = covered.next_seq if covered else 0
        for one in frames:
            self.state.horizon = max(self.state.horizon, one.at)
            changes = list(records(one))
            share = (one.end - one.offset) // max(len(changes), 1)
            for record in changes:
                self.recovered.replayed += 1
                if record.seq >= before:
                    self.state.apply(record.seq, record.op, found.id, one.offset, one.end - one.offset, share)
                elif record.op.kind == PUT:
                    self.state.found_moved(
                        op_key(record.op),
                        Location(
                            record.seq, found.id, one.offset, one.end - one.offset, share, record.op.expiry
                        ),
                    )
            self.state.next_seq = max(self.state.next_seq, one.seq + len(changes))

    def _apply_tail(self, tail: list[Frame]) -> None:
        """For reading only: they stay where they are."""
        if tail:
            place = next(reversed(self.state.segments.values()))
            place.size = tail[-1].end
            self._apply(place.header, tail, None)

    def _start(self, tail: list[Frame], now: int) -> None:
        """Go on in a new segment. What was found behind the last byte known to be safe is written anew: its
        old pages may never have reached the disk, and a sync of them may not be believed."""
        state = self.state
        kept = [f for f in tail if f.payload]
        self.recovered.tail_records = sum(map(plan.count, kept))
        previous = next(reversed(state.segments.values()), None)
        if previous is not None:
            self.sealed.append(previous)
        made = Header(
            LOG,
            previous.header.last + 1 if previous else 1,
            previous.header.last + 1 if previous else 1,
            0,
            state.next_seq - 1,
            previous.size if previous else 0,
            self.store,
        )
        raw, link, copied = [made.pack()], made.seed, []
        at = HEADER_SIZE
        for old in kept:
            data, crc = frame(made.seed, link, old.seq, 0, old.at, old.payload)
            copied.append(Frame(at, at + len(data), crc, link, old.seq, 0, old.at, old.payload))
            raw.append(data)
            at, link = at + len(data), crc
        file = self._place(made.name, b"".join(raw))
        self.files[made.id] = file
        state.segments[made.id] = Segment(made, at)
        self.active = Active(file, made, at, at, link, link, marked=False)
        self._sealed_bytes = sum(s.size for s in self.sealed)
        self._apply(made, copied, None)
        state.time(now)

    # ---- writing

    def space(self, name: str) -> int:
        """The number of a named space; a new one is written down first (blocking: meant for the start)."""
        if name not in self.spaces:
            number = max(self.spaces.values(), default=META) + 1
            if number > 255:
                raise plan.Refused("no more than 255 spaces")
            problems: list[StoreError | None] = []
            self.submit([Op(PUT, META, name.encode(), msgpack.packb(number))], problems.append)
            drive(self.commit(self.state.horizon))
            if problems[0]:
                raise problems[0]
            self.spaces[name] = number
        return self.spaces[name]

    @property
    def _frame_limit(self) -> int:
        """Bytes of the longest payload that is taken for a frame's."""
        return self.limits.batch + 4096

    @property
    def used(self) -> int:
        """Bytes that the log takes up, with what waits to be written."""
        return self._sealed_bytes + (self.active.end if self.active else 0) + self.pending_bytes

    def _too_large(self, ops: Sequence[Op]) -> plan.TooLarge:
        limits = self.limits
        for op in ops:
            if not 0 < len(op.key) <= limits.key:
                return plan.TooLarge(f"a key of {len(op.key)} bytes, 1 to {limits.key} are allowed")
            if len(op.value) > limits.value:
                return plan.TooLarge(f"a value of {len(op.value)} bytes, {limits.value} are allowed")
        return plan.TooLarge(f"a batch of more than {limits.batch} bytes")

    def check(self, ops: Sequence[Op]) -> int:
        """The bytes of a batch's records; raises `Refused` where it can't be taken now."""
        limits = self.limits
        if self.stopped:
            raise plan.ReadOnly(self.stopped)
        size, longest, largest = 0, limits.key, limits.value
        for _, _, key, value, _ in ops:
            if not 0 < len(key) <= longest or len(value) > largest:
                raise self._too_large(ops)
            size += len(key) + len(value)
        size += RECORD.size * len(ops)
        if size > limits.batch:
            raise self._too_large(ops)
        if self.pending_bytes + size > limits.pending:
            raise plan.Busy(f"{self.pending_bytes} bytes wait to be written, {limits.pending} may")
        if self._sealed_bytes + self.writing.end + self.pending_bytes + size + FRAME.size > limits.total:
            raise plan.Full(f"{self.used} bytes are kept, {limits.total} may be")
        return size

    def submit(self, ops: Sequence[Op], done: Done) -> None:
        """Take a batch, all or nothing; `done` is called once, with None when it is safe.

        Raises `Refused` and has changed nothing where it can't be taken.
        """
        try:
            size = self.check(ops)
        except plan.Refused:
            self.count["refused"] += 1
            raise
        self.pending.append((ops, size, done))
        self.pending_bytes += size

    def commit(self, now: int) -> Steps:
        """Write all that waits and sync it once. `now` is store time."""
        if self.stopped and not self._committing:
            self._turn_down()
        if self._committing or not self.active or self.stopped:
            return
        self._committing = True
        group, self.pending, self.pending_bytes = self.pending, [], 0
        failed: StoreError | None = plan.Unsure("the writer was ended")
        try:
            if group and (self.active.end > self.limits.segment or self.active.spoilt):
                problem = yield from self._roll()
                if problem:
                    failed = _refusal("no new segment", problem)
                    return
            if not group:
                self._mark(now)
                return
            failed = yield from self._write(group, self.state.tick(now))
        finally:
            self._committing = False
            if failed:
                for _, _, done in group:
                    done(failed)

    def _turn_down(self) -> None:
        waiting, self.pending, self.pending_bytes = self.pending, [], 0
        for _, _, done in waiting:
            done(plan.ReadOnly(self.stopped))

    def _mark(self, now: int) -> None:
        """With nothing to write, note how much is safe: damage to the last group is then no torn tail."""
        active = self.active
        if active is None or active.marked or active.durable != active.end:
            return
        raw, crc = frame(
            active.header.seed, active.link, self.state.next_seq, active.durable, self.state.tick(now), b""
        )
        try:
            active.file.write(active.end, raw)
        except OSError:
            active.spoilt = True
            return
        active.end, active.link, active.marked = active.end + len(raw), crc, True

    def _write(
        self, group: list[Waiting], now: int
    ) -> Generator[Sync | int, Exception | None, StoreError | None]:
        active, state = self.active, self.state
        assert active is not None
        raw, places, at, link = self._frames(active, group, now)
        try:
            active.file.write(active.end, b"".join(raw))
        except OSError as problem:
            return (yield from self._take_back(active, problem))
        before = active.end
        active.end, active.link = at, link
        self.count["syncs"] += 1
        if unsafe := (yield Sync(active.file.sync)):
            active.end = before
            return (yield from self._give_up(unsafe))
        self._row = 0
        active.durable, active.safe_link, active.marked = at, link, False
        state.segments[active.header.id].size = at
        self._group_safe(group, places)
        return None

    def _frames(
        self, active: Active, group: list[Waiting], now: int
    ) -> tuple[list[bytes], list[Place], int, int]:
        """Batches as frames: small ones share one, which saves its head and checksum; none is split."""
        at, link, seq, seed = active.end, active.link, self.state.next_seq, active.header.seed
        raw: list[bytes] = []
        places: list[Place] = []
        ops: list[Op] = []
        size = 0
        most = min(FRAME_BYTES, self.limits.batch)  # as long as one batch may be: that is what is read back
        for place, (batch, length, _) in enumerate(group):
            ops += batch
            size += length
            if place + 1 < len(group) and size + group[place + 1][1] <= most:
                continue
            data, link = frame(seed, link, seq, active.durable, now, payload(ops))
            raw.append(data)
            places.append((at, len(data), seq, ops))
            at, seq = at + len(data), seq + len(ops)
            ops, size = [], 0
        return raw, places, at, link

    def _group_safe(self, group: list[Waiting], places: list[Place]) -> None:
        number, apply = self.writing.header.id, self.state.apply
        for offset, length, seq, ops in places:
            share = length // max(len(ops), 1)
            for op in ops:
                apply(seq, op, number, offset, length, share)
                seq += 1
            self.count["appended"] += len(ops)
            self.count["appended_bytes"] += length
        for _, _, done in group:
            done(None)

    def _take_back(
        self, active: Active, problem: OSError
    ) -> Generator[Sync | int, Exception | None, StoreError]:
        """Part of a write may be there: it is cut off, and safely so before anybody is told that nothing was
        written. Where that fails, it is not known."""
        self.count["write_errors"] += 1
        try:
            active.file.truncate(active.end)
        except OSError as worse:
            active.spoilt = True
            return plan.Unsure(f"{active.file.name}: {problem}, and it could not be taken back: {worse}")
        if again := (yield Sync(active.file.sync)):
            return (yield from self._give_up(again))
        return _refusal(active.file.name, problem)

    def _give_up(self, problem: Exception) -> Generator[Sync | int, Exception | None, StoreError]:
        """A sync failed: which pages are safe is not known and no further sync of them would tell. What is
        known to be safe is kept, the log goes on in a new segment that says where this one ends."""
        self.count["sync_errors"] += 1
        self._row += 1
        if self.limits.on_sync_error is OnSyncError.STOP or self._row > self.limits.sync_errors:
            self.stopped = f"a sync failed: {problem}"
        else:
            again = yield from self._roll()
            if again:
                self.stopped = f"a sync failed ({problem}), and no new segment could be made ({again})"
        return plan.Unsure(f"a sync failed: {problem}")

    def _roll(self) -> Generator[Sync | int, Exception | None, Exception | None]:
        """Go on in a new segment; the error, with all as it was, where there can be none."""
        old = self.active
        assert old is not None
        number = old.header.last + 1
        made = Header(LOG, number, number, 0, self.state.next_seq - 1, old.durable, self.store)
        try:
            file = self.directory.create(made.name + TEMPORARY)
            file.write(0, made.pack())
            if problem := (yield Sync(file.sync)):
                file.close()
                return problem
            self.directory.rename(file.name, made.name)
            if problem := (yield Sync(self.directory.sync)):
                self.stopped = f"a new segment is not safe: {problem}"
                return problem
        except OSError as problem:
            return problem
        segment = self.state.segments[old.header.id]
        segment.size = old.durable
        self.sealed.append(segment)
        self._sealed_bytes += segment.size
        self.files[made.id] = file
        self.state.segments[made.id] = Segment(made, HEADER_SIZE)
        self.active = Active(file, made, HEADER_SIZE, HEADER_SIZE, made.seed, made.seed)
        return None

    # ---- reading

    def value(self, place: Location) -> bytes:
        """The bytes of a record, checked; raises `Damaged`."""
        return self._record(place).op.value

    def _record(self, place: Location) -> Record:
        file = self.files[place.file]
        segment = self.state.segments[place.file].header
        raw = file.read(place.offset, place.length)
        found = parse(raw, 0, place.offset, segment.seed, self._frame_limit)
        if found is None:
            self.stopped = self.stopped or f"damage was found: {segment.name} at offset {place.offset}"
            raise Damaged(segment.name, place.offset, "unreadable")
        return next(r for r in records(found) if r.seq == place.seq)

    def get(self, space: int, key: bytes, now: int, snapshot: Snapshot | None = None) -> bytes | None:
        """A key's value as it is safe now, or was at the snapshot."""
        place = self.state.get(bytes((space,)) + key, now, snapshot)
        return self.value(place) if place else None

    def scan(
        self, space: int, prefix: bytes, now: int, snapshot: Snapshot | None = None
    ) -> Iterator[tuple[bytes, bytes]]:
        """Keys with a prefix and their values, in order. Writers may go on between two; without a snapshot
        what they change behind the reader's place is seen, and before it not."""
        start = bytes((space,)) + prefix
        after: bytes | None = start
        while after is not None:
            page, after = self.state.page(start, after, now, snapshot)
            for key, _ in page:
                place = self.state.get(key, now, snapshot)  # it may have moved meanwhile
                if place:
                    yield key[1:], self.value(place)

    def places(self, prefix: bytes = b"", every: bool = True) -> Iterator[tuple[bytes, Location]]:
        """Where each key lies, those that have expired and are not yet forgotten too."""
        after: bytes | None = prefix
        while after is not None:
            page, after = self.state.page(prefix, after, self.state.horizon, every=every)
            yield from page

    @property
    def writing(self) -> Active:
        """The segment that is written to; `ReadOnly` where there is none."""
        if self.active is None:
            raise plan.ReadOnly(self.stopped or "closed")
        return self.active

    # ---- followers

    @property
    def log_start(self) -> int:
        """The first number from which on the log holds every record."""
        for segment in reversed(self.sealed):
            if segment.header.kind == COMPACTED:
                place = self.sealed.index(segment)
                later = self.sealed[place + 1].header if place + 1 < len(self.sealed) else self.writing.header
                return later.base + 1
        return 1

    def follow(self, name: str, position: int) -> Follower:
        """Keep the log from a number on for a reader, as far as the bound allows; raises `CutOff` where it is
        not whole from there any more."""
        self._whole_from(position)
        made = Follower(name, position)
        self.followers.append(made)
        return made

    def _whole_from(self, position: int) -> None:
        if position < self.log_start:
            raise CutOff(
                f"record {position} was compacted; the log is whole from {self.log_start} on: begin "
                "anew from a snapshot"
            )

    def unfollow(self, follower: Follower) -> None:
        self.followers = [other for other in self.followers if other is not follower]

    def frames(self, segment: Segment) -> list[Frame]:
        """All frames of a segment."""
        return self._frames_from(segment, None)

    def changes(self, follower: Follower, most: int = PAGE) -> list[Change]:
        """The next safe changes in their order, each once; `position` moves on behind them."""
        if follower.cut_off:
            raise CutOff(f"{follower.name} lagged by more than {self.limits.follower} bytes")
        self._whole_from(follower.position)
        found: list[Change] = []
        segments = [*self.sealed, self.state.segments[self.writing.header.id]]
        for place, segment in enumerate(segments):
            following = (
                segments[place + 1].header.base if place + 1 < len(segments) else self.state.next_seq - 1
            )
            if following < follower.position:
                continue
            for one in self._frames_from(segment, follower.cursor):
                follower.cursor = segment.header.id, one.end, one.crc, one.seq + plan.count(one)
                if follower.cursor[3] <= follower.position:
                    continue
                for record in records(one):
                    if follower.position <= record.seq < self.state.next_seq:
                        op = record.op
                        found.append(
                            Change(
                                record.seq,
                                op.space,
                                op.key,
                                op.value if op.kind == PUT else None,
                                op.expiry,
                                record.at,
                            )
                        )
                if len(found) >= most:
                    break
            if len(found) >= most:
                break
        if found:
            follower.position = found[-1].seq + 1
        return found

    def _frames_from(self, segment: Segment, cursor: tuple[int, int, int, int] | None) -> list[Frame]:
        found, start = segment.header, HEADER_SIZE
        link, seq = found.seed, found.base + 1
        if cursor and cursor[0] == found.id:
            _, start, link, seq = cursor
        raw = self.files[found.id].read(start, segment.size - start)
        return plan.walk_from(raw, found, self._frame_limit, start, seq, link)

    def _held(self) -> int:
        """The place in the chain from which on followers need the files as they are; those that hold too much
        are cut off."""
        while True:
            slowest = min(self.followers, key=lambda f: f.position, default=None)
            if slowest is None:
                return len(self.sealed)
            place = next(
                (
                    n
                    for n, s in enumerate([*self.sealed[1:], None])
                    if s is None or s.header.base >= slowest.position
                ),
                len(self.sealed),
            )
            if sum(s.size for s in self.sealed[place:]) <= self.limits.follower:
                return place
            slowest.cut_off = True
            self.unfollow(slowest)
            self.count["followers_cut"] += 1

    # ---- background: expiry, compaction, checkpoints

    def sweep(self, now: int) -> Steps:
        """Forget what has expired, and once after a start what the checkpoint tells of files that are
        gone."""
        if not self.settled:
            base = self.state.base
            for number, (key, place) in enumerate(base.scan(b"") if base else ()):
                self.state.settle(key, place)
                if number % PAGE == PAGE - 1:
                    yield PAGE * 32
                    if self.state.base is not base:
                        break  # a new checkpoint has left them out, and the old one's file is closed
            self.settled = True
        after: bytes | None = b""
        while after is not None:
            page, after = self.state.page(b"", after, now, every=True)
            for key, place in page:
                if place.expiry:
                    self.state.drop_expired(key, place, now)
            yield len(page) * 32

    def compaction_due(self) -> Run | None:
        if self.stopped or self._compacting or self._checkpointing or not self.active:
            return None
        return plan.compaction(self.sealed, self.active.end, self.limits, self._held())

    def compact(self, run: Run, now: int) -> Steps:
        """Make a run of files one that holds only what is still needed. Until the new one is safe under its
        name nothing of the old is touched; then the old go."""
        self._compacting = True
        inputs = self.sealed[run.first : run.last + 1]
        made = Header(
            COMPACTED,
            inputs[0].header.first,
            inputs[-1].header.last,
            max(s.header.generation for s in inputs) + 1,
            inputs[0].header.base,
            inputs[0].header.prev_end,
            self.store,
            self.state.next_seq if not self.state.snapshots else 1,
        )
        output: Output | None = None
        try:
            output = Output(self, made)
            # What a snapshot has kept alive a deletion must go on hiding.
            clean = plan.clean_before(self.sealed, run.first) if made.clean > 1 else 0
            for segment in inputs:
                yield from self._copy(segment, output, clean, now)
            following = [segment.header for segment in self.sealed[run.last + 1 :]]
            output.seal((following[0] if following else self.writing.header).base + 1, now)
            if problem := (yield Sync(output.file.sync)):
                raise problem
            self.directory.rename(output.file.name, made.name)
            if problem := (yield Sync(self.directory.sync)):
                self.stopped = f"a compacted segment is not safe: {problem}"
                raise problem
            yield from self._install(made, inputs, output)
            self.count["compactions"] += 1
        except Damaged as problem:
            self.stopped = f"damage was found: {problem}"
            self.count["background_errors"] += 1
        except OSError:
            self._discard(made.name, output.file if output else None)
        finally:
            self._compacting = False

    def _copy(self, segment: Segment, output: "Output", clean: int, now: int) -> Steps:
        """What of a file is still needed. An expired record hides older ones of its key as a deletion does,
        and becomes one; a deletion goes once nothing before it can be hidden by it."""
        moved = 0
        for one in self._read_on(segment):
            kept: list[Record] = []
            for record in records(one):
                op = record.op
                key = op_key(op)
                current = self.state.lookup(key)
                if op.kind == PUT and self.state.needed(key, record, now, current):
                    kept.append(record)
                    continue
                if op.kind == PUT and current and current.seq == record.seq:
                    self.state.drop_expired(key, current, now)
                if record.seq >= clean and self._hides(record, current):
                    kept.append(record._replace(op=Op(DELETE, op.space, op.key)))
            output.add(kept, one.at)
            moved += one.end - one.offset
            if moved >= STEP:
                output.flush()
                yield moved
                moved = 0
        output.flush()
        yield moved

    def _read_on(self, segment: Segment) -> Iterator[Frame]:
        """The frames of a sealed segment, read a part at a time; `Damaged` where it is not whole."""
        found, limit = segment.header, self._frame_limit
        at, link, seq = HEADER_SIZE, found.seed, found.base + 1
        last: Frame | None = None
        while at < segment.size:
            part = READ_ON
            frames: list[Frame] = []
            while not frames and part < 16 * max(READ_ON, limit):
                raw = self.files[found.id].read(at, min(part, segment.size - at))
                frames = plan.walk_from(raw, found, limit, at, seq, link)
                part *= 4
            if not frames:
                raise Damaged(found.name, at, "unreadable")
            yield from frames
            last = frames[-1]
            at, link, seq = last.end, last.crc, last.seq + plan.count(last)
        plan.whole(found, [last] if last else [], at, segment.size)

    def _hides(self, record: Record, current: Location | None) -> bool:
        """A deletion, or a put that expired, is the last word on its key. Superseded ones hide nothing that
        the later does not."""
        if record.op.kind == PUT and not record.op.expiry:
            return False
        return current is None or current.seq == record.seq

    def _install(self, made: Header, inputs: list[Segment], output: "Output") -> Steps:
        state = self.state
        segment = Segment(made, output.end, deletions=output.deletions)
        self.files[made.id] = output.file
        state.segments[made.id] = segment
        for number, (key, place) in enumerate(output.moved):
            state.moved(key, place.seq, place)
            if number % 32 == 31:
                yield 32 * 64
        at = self.sealed.index(inputs[0])
        self.sealed[at : at + len(inputs)] = [segment]
        self._sealed_bytes = sum(s.size for s in self.sealed)
        for old in inputs:
            del state.segments[old.header.id]
            self.files.pop(old.header.id).close()
            with contextlib.suppress(OSError):  # found and removed at the next start
                self.directory.remove(old.header.name)
        self.count["compacted_bytes"] += output.end

    def checkpoint_due(self) -> bool:
        if self.stopped or self._compacting or self._checkpointing or not self.active:
            return False
        keys = self.state.base.count if self.state.base else 0
        return plan.checkpoint_due(len(self.state.overlay), keys, self.limits)

    def checkpoint(self, now: int) -> Steps:
        """Write down where each key lies, so that a restart need not read what came before."""
        state, active = self.state, self.active
        assert active is not None
        self._checkpointing = True
        summary = Summary(
            state.next_seq,
            state.time(now),
            (active.header.id, active.durable, active.safe_link),
            {n: (s.size, s.live, s.deletions) for n, s in state.segments.items()},
            {space: (keys, size) for space, (keys, size) in state.usage.items()},
        )
        state.freeze()
        name = f"{summary.next_seq:020d}.idx"
        file: File | None = None
        try:
            writer, size = Writer(self.store), 0
            file = self.directory.create(name + TEMPORARY)
            for key, place in _merged(state, summary):
                writer.add(key, place)
                if writer.count % 128 == 0:
                    size = self._extend(file, size, writer.taken())
                    yield 128 * 48
            for _ in writer.filtering():
                yield 0
            size = self._extend(file, size, writer.finish(summary))
            if problem := (yield Sync(file.sync)):
                raise problem
            base = Reader(name, size, file.read, self.store, check=False)
            self.directory.rename(file.name, name)
            if problem := (yield Sync(self.directory.sync)):
                raise problem
            old = self.recovered.checkpoint
            state.rebase(base)
            if self._base_file is not None:
                self._base_file.close()
            self._base_file, self.recovered.checkpoint = file, name
            self.count["checkpoints"] += 1
            self.count["checkpoint_bytes"] += size
            if old and old != name:
                with contextlib.suppress(OSError):
                    self.directory.remove(old)
        except (OSError, Damaged):
            self._discard(name, file)
        finally:
            state.thaw()
            self._checkpointing = False

    def _discard(self, name: str, file: File | None) -> None:
        """Background work came to nothing: its unfinished file goes."""
        self.count["background_errors"] += 1
        if file is not None:
            file.close()
        with contextlib.suppress(OSError):
            self.directory.remove(name + TEMPORARY)

    def _extend(self, file: File, size: int, raw: bytes) -> int:
        self.write_reserved(file, size, raw)
        return size + len(raw)

    # ---- room

    def write_reserved(self, file: File, offset: int, raw: bytes) -> None:
        """Background work frees room: where there is none it may use what is kept for it."""
        try:
            file.write(offset, raw)
        except OSError as problem:
            if problem.errno not in (errno.ENOSPC, errno.EDQUOT) or not self._reserved:
                raise
            self.directory.remove(RESERVE)
            self._reserved = False
            file.write(offset, raw)

    def _keep_reserve(self) -> None:
        """Room that only compaction and checkpoints may use, so that a full disk can be got out of."""
        if not self.limits.reserve:
            return
        with contextlib.suppress(OSError):
            if RESERVE in self.directory.names():
                self._reserved = True
                return
            file = self.directory.create(RESERVE)
            for at in range(0, self.limits.reserve, 1 << 20):
                file.write(at, bytes(min(1 << 20, self.limits.reserve - at)))
            file.close()
            self._reserved = True

    def tend(self) -> None:
        """Have the reserve again once there is room."""
        if not self._reserved and not self.stopped:
            self._keep_reserve()
            if not self._reserved:
                with contextlib.suppress(OSError):
                    self.directory.remove(RESERVE)

    # ---- the end

    def figures(self) -> dict[str, Any]:
        """How the store is, for the log and for `stats`."""
        live = sum(s.live for s in self.state.segments.values())
        return {
            "segments": len(self.state.segments),
            "bytes": self.used,
            "live_bytes": live,
            "keys": sum(u[0] for u in self.state.usage.values()),
            "next_seq": self.state.next_seq,
            "spaces": {name: self.state.usage.get(number, [0, 0]) for name, number in self.spaces.items()},
            "changed_keys": len(self.state.overlay),
            "checkpoint": self.recovered.checkpoint,
            "snapshots": len(self.state.snapshots),
            "snapshots_cut": self.state.cut_off,
            "followers": len(self.followers),
            "expired": self.state.expired,
            "torn_bytes": self.recovered.torn_bytes,
            "stopped": self.stopped,
            **self.count,
        }

    def close(self) -> None:
        """Write what waits, and close all files."""
        if self.active and not self.stopped and not self._committing:
            drive(self.commit(self.state.horizon))
            drive(self.commit(self.state.horizon))
        for _, _, done in self.pending:
            done(plan.ReadOnly(self.stopped or "closed"))
        self.pending = []
        for file in (*self.files.values(), self._base_file):
            if file is not None:
                file.close()
        self.stopped = self.stopped or "closed"
        self.directory.close()


class Output:
    """A compacted segment as it is written."""

    def __init__(self, engine: Engine, made: Header) -> None:
        self._engine, self.header = engine, made
        self.file = engine.directory.create(made.name + TEMPORARY)
        self.end, self._link = HEADER_SIZE, made.seed
        self._raw, self._at = [made.pack()], 0
        self.moved: list[tuple[bytes, Location]] = []
        self.deletions = 0

    def add(self, kept: list[Record], at: int) -> None:
        """Records with numbers in a row become one frame."""
        begin = 0
        for place in range(1, len(kept) + 1):
            if place == len(kept) or kept[place].seq != kept[place - 1].seq + 1:
                self._frame(kept[begin:place], at)
                begin = place

    def _frame(self, run: list[Record], at: int) -> None:
        raw, crc = frame(self.header.seed, self._link, run[0].seq, 0, at, payload([r.op for r in run]))
        share = len(raw) // len(run)
        for record in run:
            if record.op.kind == PUT:
                self.moved.append(
                    (
                        op_key(record.op),
                        Location(record.seq, self.header.id, self.end, len(raw), share, record.op.expiry),
                    )
                )
            else:
                self.deletions += share
        self._put(raw, crc)

    def _put(self, raw: bytes, crc: int) -> None:
        self._raw.append(raw)
        self.end, self._link = self.end + len(raw), crc

    def seal(self, seq: int, now: int) -> None:
        """The closing mark: without it the file is not whole."""
        raw, crc = frame(self.header.seed, self._link, seq, self.end, now, b"")
        self._put(raw, crc)
        self.flush()

    def flush(self) -> None:
        raw, self._raw = b"".join(self._raw), []
        if raw:
            self._engine.write_reserved(self.file, self._at, raw)
            self._at += len(raw)


def _refusal(what: str, problem: Exception) -> plan.Refused:
    full = isinstance(problem, OSError) and problem.errno in (errno.ENOSPC, errno.EDQUOT)
    return (plan.Full if full else plan.Refused)(f"{what}: {problem}")


def _merged(state: State, summary: Summary) -> Iterator[tuple[bytes, Location]]:
    """The frozen layer over the checkpoint, in order; the layers above may change. What the checkpoint has in
    files that are gone is left out, and counts no more."""
    frozen, base = state.frozen or Layer(), state.base
    above = iter([(key, frozen[key]) for key in frozen.after(b"")])
    key, place = next(above, (None, None))
    for old, where in base.scan(b"") if base else ():
        while key is not None and key < old:
            if place:
                yield key, place
            key, place = next(above, (None, None))
        if key == old:
            if place:
                yield key, place
            key, place = next(above, (None, None))
        elif where.file in state.segments:
            yield old, where
        else:
            state.settle(old, where)
            keys, size = summary.usage[old[0]]
            summary.usage[old[0]] = keys - 1, size - where.size
    while key is not None:
        if place:
            yield key, place
        key, place = next(above, (None, None))


__all__ = ["Change", "Engine", "Follower", "Recovered", "Sync", "drive"]
