"""The keyed state above the log: what each key is now, for whom an older state is held, what lives where.

No I/O: the checkpoint below is read through a port, time is an argument. Keys here begin with the byte of
their space.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from itertools import islice
from typing import Any, Protocol

from sortedcontainers import SortedDict

from loftroute.store.records import PUT, Header, Location, Op, Record, StoreError

PAGE = 256  # keys


class CutOff(StoreError):
    """A snapshot or follower held more than it may; it must begin anew."""


class Base(Protocol):
    """The newest checkpoint."""

    count: int

    def lookup(self, key: bytes) -> Location | None: ...
    def scan(self, after: bytes) -> Iterator[tuple[bytes, Location]]: ...


class Layers(Protocol):
    def lookup(self, key: bytes) -> Location | None: ...


@dataclass(slots=True, eq=False)
class Segment:
    """A file of the log: how much of it is what."""

    header: Header
    size: int
    live: int = 0
    deletions: int = 0  # bytes of records that only say that a key is gone


@dataclass(slots=True, eq=False)
class Snapshot:
    """The state as of one record number. What has changed since is kept beside it."""

    seq: int  # the last record that it holds
    now: int
    kept: dict[bytes, Location | None] = field(default_factory=dict)
    cut_off: bool = False

    def check(self) -> None:
        if self.cut_off:
            raise CutOff("the snapshot was held while more changed than may be kept for it")


_MISSING = object()


class State:
    """Layers of keys, the newest first: what changed since the checkpoint, what changed before the one that
    is being written, the checkpoint."""

    def __init__(self, snapshot_keys: int) -> None:
        self._snapshot_keys = snapshot_keys
        self.overlay: SortedDict = SortedDict()
        self.frozen: SortedDict | None = None
        self.base: Base | None = None
        self.segments: dict[int, Segment] = {}
        self.usage: dict[int, list[int]] = {}  # space: keys, bytes
        self.next_seq, self.horizon = 1, 0
        self.snapshots: list[Snapshot] = []
        self.cut_off = self.expired = 0

    # ---- reading

    def time(self, now: int) -> int:
        """The store's time never goes back: what was once expired stays so."""
        self.horizon = max(self.horizon, now)
        return self.horizon

    def tick(self, now: int) -> int:
        """The time of a commit: no two have the same, so that no frame is ever written twice alike."""
        self.horizon = max(self.horizon + 1, now)
        return self.horizon

    def lookup(self, key: bytes) -> Location | None:
        """Where the newest record of a key lies, expired or not."""
        found = self._told(key)
        return found if found and found.file in self.segments else None

    def _told(self, key: bytes) -> Location | None:
        """What the layers say. The checkpoint may tell of a file that is gone: what it has there was dead
        when that was compacted."""
        found: Any = self.overlay.get(key, _MISSING)
        if found is _MISSING and self.frozen is not None:
            found = self.frozen.get(key, _MISSING)
        if found is _MISSING:
            return self.base.lookup(key) if self.base else None
        place: Location | None = found
        return place

    def get(self, key: bytes, now: int, snapshot: Snapshot | None = None) -> Location | None:
        """Where a key's value lies; None where it has none now, or had none at the snapshot."""
        if snapshot is not None:
            snapshot.check()
            now = snapshot.now
            found = snapshot.kept[key] if key in snapshot.kept else self.lookup(key)
        else:
            found, now = self.lookup(key), self.time(now)
        return found if found and not 0 < found.expiry <= now else None

    def page(
        self, prefix: bytes, after: bytes, now: int, snapshot: Snapshot | None = None, every: bool = False
    ) -> tuple[list[tuple[bytes, Location]], bytes | None]:
        """Keys with a prefix in their order, from `after` on; and where to go on, None at the end.

        Only one page at a time, so that writers may go on between two. `every` gives the expired too.
        """
        layers = [islice(layer.irange(after), PAGE) for layer in (self.overlay, self.frozen) if layer]
        found = [list(layer) for layer in layers]
        if self.base:
            found.append([key for key, _ in islice(self.base.scan(after), PAGE)])
        if snapshot:
            snapshot.check()
            found.append(sorted(key for key in snapshot.kept if key >= after)[:PAGE])
        full = [keys[-1] for keys in found if len(keys) == PAGE]
        last = min(full, default=None)
        keys = sorted({key for part in found for key in part if last is None or key <= last})
        shown: list[tuple[bytes, Location]] = []
        for key in keys:
            if not key.startswith(prefix):
                if key > prefix:
                    return shown, None
                continue
            place = self.lookup(key) if every else self.get(key, now, snapshot)
            if place:
                shown.append((key, place))
        return shown, None if last is None else last + b"\0"

    # ---- changing

    def apply(self, record: Record, file: int, offset: int, length: int, size: int) -> None:
        """A record that is safe: it lies in that frame of that file, and takes up `size` bytes of it."""
        op = record.op
        key = bytes((op.space,)) + op.key
        self.next_seq = record.seq + 1
        self._leave(key)
        segment = self.segments[file]
        if op.kind == PUT:
            self.overlay[key] = Location(record.seq, file, offset, length, size, op.expiry)
            segment.live += size
            self.use(op.space, 1, size)
        else:
            self.overlay[key] = None
            segment.deletions += size

    def _leave(self, key: bytes) -> Location | None:
        """What the key was counts no more; snapshots keep it."""
        told = self._told(key)
        old = told if told and told.file in self.segments else None
        for snapshot in self.snapshots:
            snapshot.kept.setdefault(key, old)
            if len(snapshot.kept) > self._snapshot_keys:
                self.cut(snapshot)
        if old:
            self.segments[old.file].live -= old.size
        if told:
            self.use(key[0], -1, -told.size)
        return old

    def use(self, space: int, keys: int, size: int) -> None:
        usage = self.usage.setdefault(space, [0, 0])
        usage[0] += keys
        usage[1] += size

    def drop_expired(self, key: bytes, place: Location, now: int) -> bool:
        """Forget an expired key. No record is needed: its own says when it ends, and time does not go
        back."""
        current = self.lookup(key)
        if not current or current.seq != place.seq or not 0 < current.expiry <= self.time(now):
            return False
        self._leave(key)
        self.overlay[key] = None
        self.expired += 1
        return True

    def settle(self, key: bytes, place: Location) -> None:
        """What the checkpoint has in a file that is gone was still counted."""
        if place.file not in self.segments and self._told(key) == place:
            self.use(key[0], -1, -place.size)
            self.overlay[key] = None

    def moved(self, key: bytes, seq: int, place: Location) -> None:
        """A record was copied elsewhere; only whoever still means that record follows it."""
        current = self.lookup(key)
        if current and current.seq == seq:
            self.segments[current.file].live -= current.size
            self.segments[place.file].live += place.size
            self.use(key[0], 0, place.size - current.size)
            self.overlay[key] = place
        for snapshot in self.snapshots:
            kept = snapshot.kept.get(key)
            if kept and kept.seq == seq:
                snapshot.kept[key] = place

    def found_moved(self, key: bytes, place: Location) -> bool:
        """At recovery: a compacted file newer than the checkpoint holds a record that the checkpoint has
        elsewhere, in a file that is gone."""
        known = self.base.lookup(key) if self.base else None
        if key in self.overlay or not known or known.seq != place.seq:
            return False
        self.overlay[key] = place
        self.segments[place.file].live += place.size
        self.use(key[0], 0, place.size - known.size)
        return True

    def needed(self, key: bytes, record: Record, now: int) -> bool:
        """Whether somebody may still ask for this very record."""
        current = self.lookup(key)
        if current and current.seq == record.seq:
            oldest = min([snapshot.now for snapshot in self.snapshots], default=self.time(now))
            return not 0 < current.expiry <= oldest
        return any(
            (kept := snapshot.kept.get(key)) is not None and kept.seq == record.seq
            for snapshot in self.snapshots
        )

    # ---- snapshots, layers

    def snapshot(self, now: int) -> Snapshot:
        made = Snapshot(self.next_seq - 1, self.time(now))
        self.snapshots.append(made)
        return made

    def cut(self, snapshot: Snapshot) -> None:
        """It holds too much: whoever reads it is told so."""
        snapshot.cut_off = True
        snapshot.kept.clear()
        self.snapshots = [other for other in self.snapshots if other is not snapshot]
        self.cut_off += 1

    def release(self, snapshot: Snapshot) -> None:
        snapshot.cut_off = True
        self.snapshots = [other for other in self.snapshots if other is not snapshot]

    def freeze(self) -> None:
        """The next checkpoint takes what is here; changes from now on lie above it."""
        self.frozen, self.overlay = self.overlay, SortedDict()

    def thaw(self) -> None:
        """The checkpoint came to nothing: the layers are one again."""
        if self.frozen is not None:
            self.frozen.update(self.overlay)
            self.overlay, self.frozen = self.frozen, None

    def rebase(self, base: Base) -> None:
        self.base, self.frozen = base, None


def op_key(op: Op) -> bytes:
    return bytes((op.space,)) + op.key
