"""The file format of checkpoints: the location of each key's newest record, and a summary of the store.

The entries are sorted by key and stored in blocks; a sparse index, part of the summary, follows them. Only
the first key of each block is held in memory, so that memory and the time to open grow with the number of
blocks and not with the number of keys. An invalid one is ignored: the log is read instead.
"""

import struct
import zlib
from array import array
from bisect import bisect_right
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

import google_crc32c

from loftroute.store.records import (
    INDEX_MAGIC,
    VERSION,
    DamagedDataError,
    Location,
    pack_checked,
    unpack_checked,
)

BLOCK_KEYS = 32
# Bloom filter: bits and hash functions per key. About one lookup in 80 of an absent key reads a block.
FILTER_BITS, FILTER_HASHES = 10, 4
HEAD = struct.Struct("<8sH8s")  # magic, format version, store id
TAIL = struct.Struct("<QI8s")  # offset of the summary, checksum of everything before the tail, magic


@dataclass(slots=True)
class Summary:
    """The state of the store that a checkpoint was written for. It is stored under its field names.

    Attributes:
        next_seq: Sequence number of the first record that the checkpoint does not cover.
        horizon: Latest store time seen, in nanoseconds.
        position: Where the log continues: segment id, offset in bytes, and link of the next frame.
        files: Size, live bytes and bytes of deletions of each segment, by id.
        usage: Number of keys and their bytes, by space.
        count: Number of entries.
        absent: Bloom filter of the keys (Bloom, 1970): a key of which not all bits are set has no entry.
        firsts: First key of each block.
        offsets: Offset of each block in bytes.
    """

    next_seq: int
    horizon: int
    position: tuple[int, int, int]
    files: dict[int, tuple[int, int, int]]
    usage: dict[int, tuple[int, int]]
    count: int = 0
    absent: bytes = b""
    firsts: list[bytes] = field(default_factory=list)
    offsets: list[int] = field(default_factory=list)

    def raw(self) -> dict[str, Any]:
        """Return the fields by name, as they are stored."""
        return {name: getattr(self, name) for name in self.__slots__}


class CheckpointWriter:
    """Encodes a checkpoint from keys in order. The caller writes the bytes that it returns."""

    def __init__(self, store: bytes) -> None:
        """`store` is the store's id."""
        head = HEAD.pack(INDEX_MAGIC, VERSION, store)
        self._out, self._crc = [head], google_crc32c.value(head)
        self._size = len(head)
        self._block: list[tuple[Any, ...]] = []
        self.firsts: list[bytes] = []
        self.offsets: list[int] = []
        self.count = 0
        self._hashes = array("Q")
        self._bits = bytearray()

    def add(self, key: bytes, location: Location) -> None:
        """Add an entry; keys must be added in order."""
        if not self._block:
            self.firsts.append(key)
            self.offsets.append(self._size)
        self._block.append((key, *location))
        self._hashes.append(zlib.crc32(key) << 32 | google_crc32c.value(key))
        self.count += 1
        if len(self._block) == BLOCK_KEYS:
            self._close_block()

    def take_output(self) -> bytes:
        """Return the bytes that were encoded since the last call."""
        raw, self._out = b"".join(self._out), []
        return raw

    def finish(self, summary: Summary) -> bytes:
        """Add the index to the summary and return the rest of the file. Call `build_filter` first."""
        self._close_block()
        summary.firsts, summary.offsets, summary.count = self.firsts, self.offsets, self.count
        summary.absent = bytes(self._bits)
        summary_offset = self._size
        self._put(pack_checked(summary.raw()))
        self._out.append(TAIL.pack(summary_offset, self._crc, INDEX_MAGIC))
        return self.take_output()

    def build_filter(self) -> Iterator[None]:
        """Build the Bloom filter once all keys were added, a part per iteration.

        The bits of a key are derived from two hashes (Kirsch and Mitzenmacher, 2006).
        """
        bits = self._bits = bytearray(self.count * FILTER_BITS // 8 + 8)
        size = len(bits) * 8
        for number, hashes in enumerate(self._hashes):
            if number % 256 == 255:
                yield
            bit, step = hashes & 0xFFFFFFFF, hashes >> 32 | 1
            for _ in range(FILTER_HASHES):
                bit_index = bit % size
                bits[bit_index >> 3] |= 1 << (bit_index & 7)
                bit += step

    def _close_block(self) -> None:
        if self._block:
            self._put(pack_checked(self._block))
            self._block = []

    def _put(self, raw: bytes) -> None:
        self._out.append(raw)
        self._crc = google_crc32c.extend(self._crc, raw)
        self._size += len(raw)


class CheckpointReader:
    """An open checkpoint file. `summary` is what it says of the store."""

    def __init__(
        self, name: str, size: int, read: Callable[[int, int], bytes], store: bytes, check: bool = True
    ) -> None:
        """Open a checkpoint of `size` bytes that is read by calls of `read(offset, size)`.

        `store` is the store's id. With `check` the whole file is checked against its checksum, which is
        not needed right after it was written.

        Raises:
            DamagedDataError: The checkpoint is not valid.
            OSError: It cannot be read.
        """
        self.name, self._read = name, read
        tail = read(max(size - TAIL.size, 0), TAIL.size)
        if len(tail) < TAIL.size or size < HEAD.size + TAIL.size:
            raise DamagedDataError(name, 0, "cut short")
        summary_offset, crc, magic = TAIL.unpack(tail)
        if magic != INDEX_MAGIC or read(0, HEAD.size) != HEAD.pack(INDEX_MAGIC, VERSION, store):
            raise DamagedDataError(name, 0, "not a checkpoint of this store")
        actual_crc, offset, end = 0, 0, size - TAIL.size
        while check and offset < end:
            part = read(offset, min(1 << 20, end - offset))
            if not part:
                break
            actual_crc = google_crc32c.extend(actual_crc, part) if offset else google_crc32c.value(part)
            offset += len(part)
        if (check and actual_crc != crc) or not HEAD.size <= summary_offset <= end:
            raise DamagedDataError(name, 0, "its checksum is wrong")
        raw, _ = unpack_checked(read(summary_offset, end - summary_offset), 0, name, summary_offset)
        self.summary = Summary(**raw)  # type: ignore[arg-type]
        self._firsts, self._offsets = list(self.summary.firsts), [*self.summary.offsets, summary_offset]
        self.summary.firsts, self.summary.offsets = [], []
        self.count = self.summary.count
        self._bits, self.summary.absent = self.summary.absent, b""

    def _is_absent(self, key: bytes) -> bool:
        """Return whether the filter rules the key out, which saves a read for most new keys."""
        bits = self._bits
        size = len(bits) * 8
        bit, step = google_crc32c.value(key), zlib.crc32(key) | 1
        for _ in range(FILTER_HASHES):
            bit_index = bit % size
            if not bits[bit_index >> 3] >> (bit_index & 7) & 1:
                return True
            bit += step
        return False

    def _block(self, number: int) -> Any:
        offset = self._offsets[number]
        block, _ = unpack_checked(
            self._read(offset, self._offsets[number + 1] - offset), 0, self.name, offset
        )
        return block

    def lookup(self, key: bytes) -> Location | None:
        """Return the location of a key, or None if the checkpoint does not have it."""
        number = bisect_right(self._firsts, key) - 1
        if number < 0 or self._is_absent(key):
            return None
        for entry in self._block(number):
            if entry[0] == key:
                return Location(*entry[1:])
        return None

    def scan(self, start: bytes) -> Iterator[tuple[bytes, Location]]:
        """Yield the keys from `start` on, in order, with their locations."""
        for number in range(max(bisect_right(self._firsts, start) - 1, 0), len(self._firsts)):
            for entry in self._block(number):
                if entry[0] >= start:
                    yield entry[0], Location(*entry[1:])
