"""Writes compacted segments."""

from typing import NamedTuple

from loftroute.runtime.files import Directory
from loftroute.store.records import (
    HEADER_SIZE,
    PUT,
    TEMPORARY,
    Header,
    Location,
    Record,
    pack_frame,
    pack_ops,
)
from loftroute.store.reserve import Reserve
from loftroute.store.state import op_key


class Move(NamedTuple):
    """A key whose record was copied, and its new location."""

    key: bytes
    place: Location


class CompactedWriter:
    """Writes records to a temporary file.

    Attributes:
        header: Header of the segment.
        file: The file, which the caller renames when it is complete.
        end: Length in bytes, including what is not flushed yet.
        moves: New locations of the keys.
        deletion_bytes: Bytes of deletions.
    """

    def __init__(self, directory: Directory, reserve: Reserve, header: Header) -> None:
        """Create the file.

        Raises:
            OSError: The file could not be created.
        """
        self.header = header
        self.file = directory.create(header.name + TEMPORARY)
        self.end = HEADER_SIZE
        self.moves: list[Move] = []
        self.deletion_bytes = 0
        self._reserve, self._link = reserve, header.seed
        self._buffer, self._flushed = [header.pack()], 0

    def add(self, kept: list[Record], at: int) -> None:
        """Add records that were committed at store time `at`; consecutive ones share a frame."""
        first = 0
        for index in range(1, len(kept) + 1):
            if index == len(kept) or kept[index].seq != kept[index - 1].seq + 1:
                self._add_frame(kept[first:index], at)
                first = index

    def _add_frame(self, records: list[Record], at: int) -> None:
        ops = [record.op for record in records]
        raw, crc = pack_frame(self.header.seed, self._link, records[0].seq, 0, at, pack_ops(ops))
        share = len(raw) // len(records)
        for seq, op in zip((record.seq for record in records), ops, strict=True):
            if op.kind == PUT:
                place = Location(seq, self.header.id, self.end, len(raw), share, op.expiry)
                self.moves.append(Move(op_key(op), place))
            else:
                self.deletion_bytes += share
        self._append(raw, crc)

    def _append(self, raw: bytes, crc: int) -> None:
        self._buffer.append(raw)
        self.end, self._link = self.end + len(raw), crc

    def seal(self, seq: int, now: int) -> None:
        """Write the closing mark, an empty frame without which the file is not valid.

        `seq` is the sequence number of the first record after the segment.

        Raises:
            OSError: Writing failed.
        """
        raw, crc = pack_frame(self.header.seed, self._link, seq, self.end, now, b"")
        self._append(raw, crc)
        self.flush()

    def flush(self) -> None:
        """Write what was added since the last call.

        Raises:
            OSError: Writing failed.
        """
        raw, self._buffer = b"".join(self._buffer), []
        if raw:
            self._reserve.write(self.file, self._flushed, raw)
            self._flushed += len(raw)
