"""Inspects, copies and compacts stores, for the command line and for tests.

Only `compact` and the targets of `copy` and `restore` are written to.
"""

import time
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path

from loftroute.runtime.files import Directory, RealDirectory
from loftroute.store.engine import META, Engine
from loftroute.store.plan import CompactionRun, Limits, OnDamage
from loftroute.store.records import STORE_FILE, DamagedDataError, StoreError, frame_records, pack_store_file
from loftroute.store.steps import drive

OPEN_ATTEMPTS = 5  # a running relay may remove files by compaction while they are opened


@dataclass
class Findings:
    """Result of `verify`; printed under its field names."""

    segments: int = 0
    records: int = 0
    keys: int = 0
    next_seq: int = 0
    torn_bytes: int = 0
    checkpoint: str = ""
    problems: list[str] = field(default_factory=list)


def open_read_only(path: str | Path, limits: Limits, checkpoints: bool = True) -> Engine:
    """Open a store as it is now for reading. A relay may be using it.

    Without `checkpoints` the log is read from its beginning.

    Raises:
        StoreError: The directory holds no store, or a file cannot be read.
        OSError: Reading failed.
    """
    for attempts_left in reversed(range(OPEN_ATTEMPTS)):
        try:
            return Engine(
                RealDirectory(path, read_only=True), limits, read_only=True, checkpoints=checkpoints
            )
        except (FileNotFoundError, DamagedDataError):
            if not attempts_left:
                raise
            time.sleep(0.05)
    raise AssertionError


def raise_if_damaged(engine: Engine) -> None:
    """Raise `StoreError` if damage was found when the store was opened."""
    if engine.recovery.damage:
        raise StoreError(engine.recovery.damage)


def verify(path: str | Path, limits: Limits) -> Findings:
    """Read every byte of the log, then compare the checkpoint with it. Problems are part of the result."""
    findings = Findings()
    try:
        from_log = open_read_only(path, limits, checkpoints=False)
    except (StoreError, OSError) as problem:
        findings.problems.append(str(problem))
        return findings
    findings.segments, findings.records = from_log.recovery.segments, from_log.recovery.replayed
    findings.next_seq, findings.torn_bytes = from_log.state.next_seq, from_log.recovery.torn_bytes
    if from_log.recovery.damage:
        findings.problems.append(from_log.recovery.damage)
        return findings
    log_seqs = {key: place.seq for key, place in from_log.locations() if from_log.value(place) is not None}
    findings.keys = len(log_seqs)
    from_checkpoint = open_read_only(path, limits)
    findings.checkpoint = from_checkpoint.recovery.checkpoint
    if from_checkpoint.recovery.bad_checkpoints:
        findings.problems.append(
            f"{from_checkpoint.recovery.bad_checkpoints} checkpoints can't be used; the log is complete"
        )
    checkpoint_seqs = {key: place.seq for key, place in from_checkpoint.locations()}
    live_keys = {key for key, place in from_log.locations() if not 0 < place.expiry <= from_log.state.horizon}
    if from_checkpoint.state.next_seq == from_log.state.next_seq and any(
        checkpoint_seqs.get(key) != log_seqs[key] for key in live_keys
    ):
        findings.problems.append(f"{findings.checkpoint}: it differs from the log")
    return findings


def dump(
    path: str | Path, limits: Limits, space: str | None, max_records: int
) -> Iterator[dict[str, object]]:
    """Yield the records in the log in order, at most `max_records` of them.

    `space` is the name of the only space to be shown; None shows all.

    Raises:
        StoreError: The store is damaged; the records before the damage were yielded.
    """
    engine = open_read_only(path, limits, checkpoints=False)
    names = {META: "", **{number: name for name, number in engine.spaces.items()}}
    shown = 0
    for segment in engine.state.segments.values():
        for frame in engine.frames(segment):
            for record in frame_records(frame):
                if space is not None and names.get(record.op.space) != space:
                    continue
                if shown == max_records:
                    return
                shown += 1
                yield {
                    "seq": record.seq,
                    "file": segment.header.name,
                    "offset": frame.offset,
                    "at": record.committed_at,
                    "space": names.get(record.op.space, str(record.op.space)),
                    "kind": "put" if record.op.kind == 1 else "delete",
                    "key": record.op.key.decode("utf-8", "replace"),
                    "expiry": record.op.expiry,
                    "value": record.op.value.hex(),
                }
    raise_if_damaged(engine)


def compact(path: str | Path, limits: Limits) -> dict[str, object]:
    """Compact the whole log. Returns its size in bytes before and after.

    Raises:
        StoreError: The store took no more writes.
        OSError: Reading or writing failed; `DirectoryLockedError` if another process uses the store.
    """
    engine = Engine(RealDirectory(path), limits)
    before = engine.used_bytes
    now = engine.state.horizon
    drive(engine.sweep(now))
    if len(engine.sealed) > 1 or (engine.sealed and engine.sealed[0].live_bytes < engine.sealed[0].size):
        drive(engine.compact(CompactionRun(0, len(engine.sealed) - 1, "asked for"), now))
    drive(engine.checkpoint(now))
    after = engine.used_bytes
    problem = engine.stopped
    engine.close()
    if problem:
        raise StoreError(problem)
    return {"before": before, "after": after}


def copy(path: str | Path, to: str | Path, limits: Limits) -> dict[str, object]:
    """Copy a store as of one record into a directory that is empty or does not exist.

    A relay may be using the store. The copy is read back before this returns its size.

    Raises:
        StoreError: The store is damaged, the target is not empty, or the copy is not complete.
        OSError: Reading or writing failed.
    """
    engine = open_read_only(path, limits, checkpoints=False)
    raise_if_damaged(engine)
    target = RealDirectory(to, create=True)
    if target.names():
        raise StoreError(f"{to}: not empty")
    _write(target, STORE_FILE, pack_store_file(engine.store_id))
    size = 0
    for segment in engine.state.segments.values():
        raw = engine.files[segment.header.id].read(0, segment.size)
        _write(target, segment.header.name, raw)
        size += len(raw)
    target.sync()
    written = Engine(RealDirectory(to, read_only=True), limits, read_only=True)
    raise_if_damaged(written)
    if written.state.next_seq != engine.state.next_seq:
        raise StoreError(
            f"{to}: the copy ends at {written.state.next_seq - 1}, {engine.state.next_seq - 1} was read"
        )
    return {"next_seq": written.state.next_seq, "bytes": size, "segments": len(engine.state.segments)}


def _write(target: Directory, name: str, raw: bytes) -> None:
    """Write and sync a file."""
    file = target.create(name)
    file.write(0, raw)
    file.sync()
    file.close()


def restore(backup: str | Path, to: str | Path, limits: Limits) -> dict[str, object]:
    """Verify a backup, then copy it to where the relay looks for its store.

    Raises:
        StoreError: The backup has problems, or as `copy`.
        OSError: Reading or writing failed.
    """
    findings = verify(backup, limits)
    if findings.problems:
        raise StoreError(findings.problems[0])
    return copy(backup, to, limits)


def reading_limits() -> Limits:
    """Return limits under which any store can be read."""
    return Limits(batch_bytes=64 << 20, value_bytes=16 << 20, on_damage=OnDamage.READ_ONLY, reserve_bytes=0)
