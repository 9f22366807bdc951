"""The keyed state of a store: the current location of each key, snapshots, and live bytes per segment.

Performs no I/O: the checkpoint is read through the `Base` protocol, and time is passed in. Keys in this
module start with the byte of their space. Store times are in nanoseconds.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from itertools import islice
from typing import Any, Protocol

from sortedcontainers import SortedList

from loftroute.store.records import PUT, Header, Location, Op, Record, StoreError

PAGE = 256  # keys


class CutOffError(StoreError):
    """A snapshot or follower needed more than is kept for it; its reader must start again."""


class Base(Protocol):
    """The newest checkpoint, the lowest layer of the state. `count` is its number of keys."""

    count: int

    def lookup(self, key: bytes) -> Location | None:
        """Return the location of a key, or None if the checkpoint does not have it."""
        ...

    def scan(self, start: bytes) -> Iterator[tuple[bytes, Location]]:
        """Yield the keys from `start` on, in order, with their locations."""
        ...


@dataclass(slots=True, eq=False)
class Segment:
    """A segment file and how its bytes are used.

    Attributes:
        header: Header of the file.
        size: Valid length in bytes.
        live_bytes: Bytes of records that are the newest of their keys.
        deletion_bytes: Bytes of records that mark deleted keys (tombstones).
    """

    header: Header
    size: int
    live_bytes: int = 0
    deletion_bytes: int = 0


@dataclass(slots=True, eq=False)
class Snapshot:
    """The state as of one record.

    Attributes:
        seq: Sequence number of the last record included.
        now: Store time of the snapshot in nanoseconds; keys that expired by then are not included.
        old_locations: What the keys that have changed since were at the snapshot, None for no value.
        cut_off: The snapshot can no longer be read.
    """

    seq: int
    now: int
    old_locations: dict[bytes, Location | None] = field(default_factory=dict)
    cut_off: bool = False

    def raise_if_cut_off(self) -> None:
        """Raise `CutOffError` if the snapshot was cut off or released."""
        if self.cut_off:
            raise CutOffError("the snapshot was held while more changed than may be kept for it")


_MISSING = object()
_SPACES = tuple(bytes((number,)) for number in range(256))


class Layer(dict[bytes, Location | None]):
    """Locations by key; None for a deleted key. Use `put` to add keys.

    Keys are sorted only when they are read in order, since there are many changes per scan.
    """

    def __init__(self) -> None:
        super().__init__()
        self._sorted_keys: SortedList = SortedList()
        self._unsorted_keys: list[bytes] = []

    def put(self, key: bytes, place: Location | None) -> None:
        """Set the location of a key."""
        if key not in self:
            self._unsorted_keys.append(key)
        self[key] = place

    def merge(self, other: "Layer") -> None:
        """Add the keys of another layer, which replace those present."""
        for key, place in other.items():
            self.put(key, place)

    def keys_from(self, key: bytes) -> Iterator[bytes]:
        """Yield the keys from `key` on, in order."""
        if self._unsorted_keys:
            self._sorted_keys.update(self._unsorted_keys)
            self._unsorted_keys = []
        keys: Iterator[bytes] = self._sorted_keys.irange(key)
        return keys


class State:
    """The locations of all keys, in up to three layers.

    Attributes:
        overlay: Keys changed since the last checkpoint began.
        frozen: Keys that a checkpoint in progress is writing, else None.
        base: The newest checkpoint; None if there is none.
        segments: Segments by id.
        usage: Number of keys and their bytes, by space.
        next_seq: Sequence number of the next record.
        horizon: Latest store time seen, in nanoseconds.
        snapshots: Open snapshots.
        snapshots_cut: Number of snapshots that were cut off.
        expired_keys: Number of keys dropped because they expired.
    """

    def __init__(self, snapshot_keys: int) -> None:
        """`snapshot_keys` is the number of old locations kept for one snapshot."""
        self._snapshot_keys = snapshot_keys
        self.overlay = Layer()
        self.frozen: Layer | None = None
        self.base: Base | None = None
        self.segments: dict[int, Segment] = {}
        self.usage: dict[int, list[int]] = {}
        self.next_seq, self.horizon = 1, 0
        self.snapshots: list[Snapshot] = []
        self.snapshots_cut = self.expired_keys = 0

    # ---- reading

    def advance_time(self, now: int) -> int:
        """Advance store time to `now` and return it.

        Store time never goes back, so that expired keys stay expired.
        """
        self.horizon = max(self.horizon, now)
        return self.horizon

    def next_commit_time(self, now: int) -> int:
        """Advance store time for a commit and return it.

        Each commit has a later time than the one before, so that no two frames have the same bytes.
        """
        self.horizon = max(self.horizon + 1, now)
        return self.horizon

    def lookup(self, key: bytes) -> Location | None:
        """Return the location of a key's newest record, even if expired, or None if there is none."""
        location = self._newest(key)
        return location if location and location.segment_id in self.segments else None

    def _newest(self, key: bytes) -> Location | None:
        """Return the location of a key as the layers have it.

        The checkpoint may refer to a segment that was compacted away: the record was no longer needed then.
        """
        entry: Any = self.overlay.get(key, _MISSING)
        if entry is _MISSING and self.frozen is not None:
            entry = self.frozen.get(key, _MISSING)
        if entry is _MISSING:
            return self.base.lookup(key) if self.base else None
        place: Location | None = entry
        return place

    def get(self, key: bytes, now: int, snapshot: Snapshot | None = None) -> Location | None:
        """Return the location of a key's value now or at the snapshot; None if it has no value or expired.

        Raises:
            CutOffError: The snapshot was cut off.
        """
        if snapshot is not None:
            snapshot.raise_if_cut_off()
            now = snapshot.now
            location = snapshot.old_locations[key] if key in snapshot.old_locations else self.lookup(key)
        else:
            location, now = self.lookup(key), self.advance_time(now)
        return location if location and not 0 < location.expiry <= now else None

    def page(
        self,
        prefix: bytes,
        start: bytes,
        now: int,
        snapshot: Snapshot | None = None,
        include_expired: bool = False,
    ) -> tuple[list[tuple[bytes, Location]], bytes | None]:
        """Return keys with a prefix from `start` on, in order, and the key to continue from.

        The latter is None at the end. Writes may happen between two pages.

        Raises:
            CutOffError: The snapshot was cut off.
        """
        layers = [islice(layer.keys_from(start), PAGE) for layer in (self.overlay, self.frozen) if layer]
        parts = [list(layer) for layer in layers]
        if self.base:
            parts.append([key for key, _ in islice(self.base.scan(start), PAGE)])
        if snapshot:
            snapshot.raise_if_cut_off()
            parts.append(sorted(key for key in snapshot.old_locations if key >= start)[:PAGE])
        last_of_full_parts = [keys[-1] for keys in parts if len(keys) == PAGE]
        last = min(last_of_full_parts, default=None)
        keys = sorted({key for part in parts for key in part if last is None or key <= last})
        entries: list[tuple[bytes, Location]] = []
        for key in keys:
            if not key.startswith(prefix):
                if key > prefix:
                    return entries, None
                continue
            place = self.lookup(key) if include_expired else self.get(key, now, snapshot)
            if place:
                entries.append((key, place))
        return entries, None if last is None else last + b"\0"

    # ---- changing

    def apply(self, seq: int, op: Op, segment_id: int, offset: int, length: int, size: int) -> None:
        """Apply a durable change.

        Its frame is at `offset` of the segment and `length` bytes long, of which it takes up `size`.
        """
        kind, space, name, _, expiry = op
        key = _SPACES[space] + name
        self.next_seq = seq + 1
        overlay = self.overlay
        entry: Any = overlay.get(key, _MISSING)
        if entry is _MISSING and self.frozen is None and self.base is None:
            if self.snapshots:
                self._keep_for_snapshots(key, None)
        elif entry is not None:
            self._supersede(key)
        elif self.snapshots:
            self._keep_for_snapshots(key, None)
        segment = self.segments[segment_id]
        if kind == PUT:
            overlay.put(key, Location(seq, segment_id, offset, length, size, expiry))
            segment.live_bytes += size
            self.add_usage(space, 1, size)
        else:
            overlay.put(key, None)
            segment.deletion_bytes += size

    def _supersede(self, key: bytes) -> None:
        """Stop counting a key's newest record as live, and keep its location for the snapshots."""
        newest = self._newest(key)
        old = newest if newest and newest.segment_id in self.segments else None
        self._keep_for_snapshots(key, old)
        if old:
            self.segments[old.segment_id].live_bytes -= old.size
        if newest:
            self.add_usage(key[0], -1, -newest.size)

    def _keep_for_snapshots(self, key: bytes, old: Location | None) -> None:
        for snapshot in self.snapshots:
            snapshot.old_locations.setdefault(key, old)
            if len(snapshot.old_locations) > self._snapshot_keys:
                self.cut_off_snapshot(snapshot)

    def add_usage(self, space: int, keys: int, size: int) -> None:
        """Add to the number of keys and bytes of a space."""
        usage = self.usage.get(space)
        if usage is None:
            usage = self.usage[space] = [0, 0]
        usage[0] += keys
        usage[1] += size

    def drop_expired(self, key: bytes, place: Location, now: int) -> bool:
        """Drop a key if its record at `place` is the newest and has expired; return whether it was dropped.

        Nothing is written to the log: the record itself holds the expiry, and store time never goes back.
        """
        current = self.lookup(key)
        if not current or current.seq != place.seq or not 0 < current.expiry <= self.advance_time(now):
            return False
        self._supersede(key)
        self.overlay.put(key, None)
        self.expired_keys += 1
        return True

    def drop_if_segment_gone(self, key: bytes, place: Location) -> None:
        """Drop a key of the checkpoint whose segment no longer exists, and stop counting it in the usage."""
        if place.segment_id not in self.segments and self._newest(key) == place:
            self.add_usage(key[0], -1, -place.size)
            self.overlay.put(key, None)

    def record_moved(self, key: bytes, seq: int, place: Location) -> None:
        """Note that compaction copied a record; the state and snapshots that refer to it now use the copy."""
        current = self.lookup(key)
        if current and current.seq == seq:
            self.segments[current.segment_id].live_bytes -= current.size
            self.segments[place.segment_id].live_bytes += place.size
            self.add_usage(key[0], 0, place.size - current.size)
            self.overlay.put(key, place)
        for snapshot in self.snapshots:
            old = snapshot.old_locations.get(key)
            if old and old.seq == seq:
                snapshot.old_locations[key] = place

    def adopt_moved_record(self, key: bytes, place: Location) -> bool:
        """At recovery, use a record from a compacted segment that is newer than the checkpoint.

        Applies if the checkpoint has the same record in a segment that no longer exists. Returns whether the
        record was taken.
        """
        known = self.base.lookup(key) if self.base else None
        if key in self.overlay or not known or known.seq != place.seq:
            return False
        self.overlay.put(key, place)
        self.segments[place.segment_id].live_bytes += place.size
        self.add_usage(key[0], 0, place.size - known.size)
        return True

    def is_needed(self, key: bytes, record: Record, now: int, current: Location | None) -> bool:
        """Return whether the state or a snapshot may still read this record.

        `current` is the location of the key's newest record.
        """
        if current and current.seq == record.seq:
            oldest = min([snapshot.now for snapshot in self.snapshots], default=self.advance_time(now))
            return not 0 < current.expiry <= oldest
        return any(
            (old := snapshot.old_locations.get(key)) is not None and old.seq == record.seq
            for snapshot in self.snapshots
        )

    # ---- snapshots, layers

    def snapshot(self, now: int) -> Snapshot:
        """Open a snapshot of the current state. The caller releases it with `release`."""
        snapshot = Snapshot(self.next_seq - 1, self.advance_time(now))
        self.snapshots.append(snapshot)
        return snapshot

    def cut_off_snapshot(self, snapshot: Snapshot) -> None:
        """Close a snapshot that needs too much memory; its next read raises `CutOffError`."""
        snapshot.cut_off = True
        snapshot.old_locations.clear()
        self.snapshots = [other for other in self.snapshots if other is not snapshot]
        self.snapshots_cut += 1

    def release(self, snapshot: Snapshot) -> None:
        """Close a snapshot."""
        snapshot.cut_off = True
        self.snapshots = [other for other in self.snapshots if other is not snapshot]

    def freeze(self) -> None:
        """Start a checkpoint: the current layer stays as it is, and further changes go to a new one."""
        self.frozen, self.overlay = self.overlay, Layer()

    def thaw(self) -> None:
        """Merge the layers again after a failed checkpoint. Does nothing after a successful one."""
        if self.frozen is not None:
            self.frozen.merge(self.overlay)
            self.overlay, self.frozen = self.frozen, None

    def rebase(self, base: Base) -> None:
        """Use a new checkpoint, which holds the frozen layer."""
        self.base, self.frozen = base, None


def op_key(op: Op) -> bytes:
    """Return the key of a change, preceded by the byte of its space."""
    return bytes((op.space,)) + op.key
