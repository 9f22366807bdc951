"""A compacted segment as it is written."""

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
    """A key whose record was copied, and where it lies now."""

    key: bytes
    place: Location


class CompactedWriter:
    """Writes records to a file that has no segment's name yet."""

    def __init__(self, directory: Directory, reserve: Reserve, header: Header) -> None:
        """Create the file; raises `OSError`."""
        self.header = header
        self.file = directory.create(header.name + TEMPORARY)
        self.end = HEADER_SIZE  # bytes, with what is not flushed yet
        self.moves: list[Move] = []
        self.deletion_bytes = 0
        self._reserve, self._link = reserve, header.seed
        self._buffer, self._flushed = [header.pack()], 0

    def add(self, kept: list[Record], at: int) -> None:
        """Add records of one commit at store time `at`; those with numbers in a row become one frame."""
        begin = 0
        for place in range(1, len(kept) + 1):
            if place == len(kept) or kept[place].seq != kept[place - 1].seq + 1:
                self._add_frame(kept[begin:place], at)
                begin = place

    def _add_frame(self, row: list[Record], at: int) -> None:
        ops = [record.op for record in row]
        raw, crc = pack_frame(self.header.seed, self._link, row[0].seq, 0, at, pack_ops(ops))
        share = len(raw) // len(row)
        for seq, op in zip((record.seq for record in row), ops, strict=True):
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
        """Write the closing mark, without which the file is not whole; `seq` is the number behind it."""
        raw, crc = pack_frame(self.header.seed, self._link, seq, self.end, now, b"")
        self._append(raw, crc)
        self.flush()

    def flush(self) -> None:
        """Write what was added; raises `OSError`."""
        raw, self._buffer = b"".join(self._buffer), []
        if raw:
            self._reserve.write(self.file, self._flushed, raw)
            self._flushed += len(raw)
