"""Writes checkpoints: the locations of all keys, so that a restart reads only the log after them.

The file format is that of `store/index.py`.
"""

import contextlib
from collections.abc import Iterator

from loftroute.runtime.files import File
from loftroute.store.index import CheckpointReader, CheckpointWriter, Summary
from loftroute.store.log import Log, OpenCheckpoint
from loftroute.store.records import TEMPORARY, DamagedDataError, Location
from loftroute.store.reserve import Reserve
from loftroute.store.state import Layer, State
from loftroute.store.steps import Steps, StepsWithResult, Sync

KEYS_PER_STEP = 128
KEY_BYTES = 48  # bytes of work that a step counts per key


class Checkpointer:
    """Writes checkpoints, one at a time. `running` is set while it does."""

    def __init__(self, log: Log, reserve: Reserve) -> None:
        self._log, self._reserve = log, reserve
        self.running = False

    def checkpoint(self, now: int) -> Steps:
        """Write a checkpoint. `now` is store time in nanoseconds.

        Failures are counted in the log's counters and not raised.
        """
        log, state = self._log, self._log.state
        summary = self._summary(now)
        self.running = True
        state.freeze()
        name = f"{summary.next_seq:020d}.idx"
        file: File | None = None
        try:
            file = log.directory.create(name + TEMPORARY)
            size = yield from self._write(file, summary)
            if problem := (yield Sync(file.sync)):
                raise problem
            base = CheckpointReader(name, size, file.read, log.store_id, check=False)
            log.directory.rename(file.name, name)
            if problem := (yield Sync(log.directory.sync)):
                raise problem
            self._install(base, OpenCheckpoint(name, file))
            log.counters.checkpoints += 1
            log.counters.checkpoint_bytes += size
        except (OSError, DamagedDataError):
            log.discard(name, file)
        finally:
            state.thaw()
            self.running = False

    def _summary(self, now: int) -> Summary:
        """Return the summary of the state before the checkpoint's keys are written."""
        state, active = self._log.state, self._log.writable
        return Summary(
            state.next_seq,
            state.advance_time(now),
            (active.header.id, active.durable_end, active.durable_link),
            {
                segment_id: (segment.size, segment.live_bytes, segment.deletion_bytes)
                for segment_id, segment in state.segments.items()
            },
            {space: (keys, size) for space, (keys, size) in state.usage.items()},
        )

    def _write(self, file: File, summary: Summary) -> StepsWithResult[int]:
        """Write all keys and the summary; return the size of the file in bytes."""
        writer, size = CheckpointWriter(self._log.store_id), 0
        for key, place in _merged(self._log.state, summary):
            writer.add(key, place)
            if writer.count % KEYS_PER_STEP == 0:
                size = self._append(file, size, writer.take_output())
                yield KEYS_PER_STEP * KEY_BYTES
        for _ in writer.build_filter():
            yield 0
        return self._append(file, size, writer.finish(summary))

    def _append(self, file: File, size: int, raw: bytes) -> int:
        """Append to a file of `size` bytes and return its new size."""
        self._reserve.write(file, size, raw)
        return size + len(raw)

    def _install(self, base: CheckpointReader, checkpoint: OpenCheckpoint) -> None:
        """Base the state on a new checkpoint and remove the old one."""
        log, old = self._log, self._log.checkpoint
        log.state.rebase(base)
        log.checkpoint = checkpoint
        if old is None:
            return
        old.file.close()
        if old.name != checkpoint.name:
            with contextlib.suppress(OSError):
                log.directory.remove(old.name)


def _merged(state: State, summary: Summary) -> Iterator[tuple[bytes, Location]]:
    """Yield the keys of the frozen layer and the old checkpoint in order, with their newest locations.

    The layers above may change meanwhile. Entries of the old checkpoint whose segments no longer exist are
    left out and subtracted from the usage.
    """
    frozen, base = state.frozen or Layer(), state.base
    changed = iter([(key, frozen[key]) for key in frozen.keys_from(b"")])
    key, place = next(changed, (None, None))
    for old_key, old_place in base.scan(b"") if base else ():
        while key is not None and key < old_key:
            if place:
                yield key, place
            key, place = next(changed, (None, None))
        if key == old_key:
            continue  # the frozen layer has a newer entry, which follows
        if old_place.segment_id in state.segments:
            yield old_key, old_place
        else:
            state.drop_if_segment_gone(old_key, old_place)
            keys, size = summary.usage[old_key[0]]
            summary.usage[old_key[0]] = keys - 1, size - old_place.size
    while key is not None:
        if place:
            yield key, place
        key, place = next(changed, (None, None))
