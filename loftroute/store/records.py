"""Encodes and decodes the store's on-disk format (`docs/design/store-format.md`). Performs no I/O."""

import re
import struct
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import NamedTuple

import google_crc32c
import msgpack

VERSION = 1  # of the on-disk format
HEADER = struct.Struct("<8sHBBQQIQQQ8s")  # of a segment file; its CRC-32C follows
FRAME = struct.Struct("<IIIQQQ")  # head of a frame: its CRC-32C, then the fields of HEAD
HEAD = struct.Struct("<IIQQQ")  # payload length, link, first sequence number, durable end, commit time
RECORD = struct.Struct("<BBHIQ")  # kind, space, key length, value length, expiry; key and value follow
CRC = struct.Struct("<I")
HEADER_SIZE = HEADER.size + CRC.size  # bytes
MAGIC, INDEX_MAGIC, STORE_MAGIC = b"LOFTSEG\0", b"LOFTIDX\0", b"LOFTSTO\0"
LOG, COMPACTED = 0, 1  # kinds of segment files
PUT, DELETE = 1, 2  # kinds of records
SEGMENT_NAME = re.compile(r"(\d{12})-(\d{12})-(\d{6})\.log")
INDEX_NAME = re.compile(r"(\d{20})\.idx")
TEMPORARY = ".tmp"  # suffix of a file that is not complete yet
STORE_FILE = "STORE"  # name of the file that holds the store's id


class StoreError(Exception):
    """Base class of the store's errors."""


class DamagedDataError(StoreError):
    """Stored data is missing or unreadable although it had been durable.

    Attributes:
        name: File name.
        offset: Offset of the damage in the file, in bytes.
        reason: What is wrong.
    """

    def __init__(self, name: str, offset: int, reason: str) -> None:
        super().__init__(f"{name} at offset {offset}: {reason}")
        self.name, self.offset, self.reason = name, offset, reason


class NewerFormatError(StoreError):
    """A file was written in a later format version than this program can read."""


class Op(NamedTuple):
    """A change of one key.

    Attributes:
        kind: `PUT` or `DELETE`.
        space: Number of the key space, one byte.
        expiry: Store time in nanoseconds at which the key expires; 0 means never.
    """

    kind: int
    space: int
    key: bytes
    value: bytes = b""
    expiry: int = 0


class Record(NamedTuple):
    """A change as stored in the log.

    Attributes:
        seq: Sequence number; the first record of a store has 1.
        committed_at: Store time of the commit in nanoseconds.
    """

    seq: int
    op: Op
    committed_at: int


@dataclass(frozen=True, slots=True)
class Header:
    """Header of a segment file.

    Attributes:
        kind: `LOG` or `COMPACTED`.
        first: Number of the first segment whose records the file holds.
        last: Number of the last one; equal to `first` unless the file is compacted.
        generation: How often these segments were compacted, 0 for a log segment.
        base_seq: Sequence number of the last record before the file.
        previous_end: Valid length of the preceding segment in bytes; anything after it was abandoned.
        store_id: 8 bytes, the same in all files of a store.
        cleaned_before: Compacted files only: the file holds no record that was superseded by a record with a
            lower sequence number than this.
    """

    kind: int
    first: int
    last: int
    generation: int
    base_seq: int
    previous_end: int
    store_id: bytes
    cleaned_before: int = 0

    @property
    def id(self) -> int:
        """Return the segment's id, unique within the store."""
        return segment_id(self.first, self.generation)

    @property
    def name(self) -> str:
        """Return the segment's file name."""
        return f"{self.first:012d}-{self.last:012d}-{self.generation:06d}.log"

    @property
    def seed(self) -> int:
        """Return the initial value of the checksums of the file's frames.

        It differs between files, so that bytes of another file never validate in this one.
        """
        return checksum_seed(self.store_id, self.first, self.last, self.generation)

    def pack(self) -> bytes:
        """Return the header as stored, with its checksum."""
        raw = HEADER.pack(
            MAGIC,
            VERSION,
            self.kind,
            0,
            self.first,
            self.last,
            self.generation,
            self.base_seq,
            self.previous_end,
            self.cleaned_before,
            self.store_id,
        )
        return raw + CRC.pack(google_crc32c.value(raw))


class Frame(NamedTuple):
    """A group of records that is written and checked as one unit.

    Attributes:
        offset: Offset of the frame in its file, in bytes.
        end: Offset of the first byte after the frame.
        crc: Checksum of the frame, which the next frame repeats as its `link`.
        link: Checksum of the preceding frame; for the first frame, the segment's seed.
        first_seq: Sequence number of the first record; of the next record if the frame is empty.
        durable_end: Length of the file, in bytes, that was known to be durable when the frame was written.
        committed_at: Store time of the commit in nanoseconds.
        payload: The encoded records.
    """

    offset: int
    end: int
    crc: int
    link: int
    first_seq: int
    durable_end: int
    committed_at: int
    payload: bytes


class Location(NamedTuple):
    """Where the newest record of a key is stored.

    Attributes:
        seq: Sequence number of the record.
        segment_id: Id of the segment file.
        offset: Offset of the record's frame in bytes.
        length: Length of the frame in bytes.
        size: The record's share of the frame in bytes.
        expiry: Store time in nanoseconds at which the key expires; 0 means never.
    """

    seq: int
    segment_id: int
    offset: int
    length: int
    size: int
    expiry: int


def segment_id(first: int, generation: int) -> int:
    """Return the id of the segment with this first number and generation."""
    return first << 24 | generation


def checksum_seed(store: bytes, first: int, last: int, generation: int) -> int:
    """Return the initial checksum value of a segment's frames. `store` is the store's id."""
    return int(google_crc32c.value(store + struct.pack("<QQI", first, last, generation)))


def parse_header(raw: bytes, name: str) -> Header:
    """Decode a segment's header and check it against its checksum and the file name.

    Raises:
        DamagedDataError: The header is not valid.
        NewerFormatError: The file has a later format version.
    """
    if len(raw) < HEADER_SIZE:
        raise DamagedDataError(name, 0, "the file is shorter than a header")
    magic, version, kind, _, first, last, generation, base, prev_end, clean, store = HEADER.unpack_from(raw)
    if magic != MAGIC:
        raise DamagedDataError(name, 0, "not a segment of a store")
    if version > VERSION:
        raise NewerFormatError(f"{name}: format {version}, this program reads up to {VERSION}")
    if CRC.unpack_from(raw, HEADER.size)[0] != google_crc32c.value(raw[: HEADER.size]):
        raise DamagedDataError(name, 0, "the header's checksum is wrong")
    header = Header(kind, first, last, generation, base, prev_end, store, clean)
    if header.name != name or kind not in (LOG, COMPACTED):
        raise DamagedDataError(name, 0, f"the header belongs to {header.name}")
    return header


def pack_ops(ops: Sequence[Op]) -> bytes:
    """Encode changes as the payload of a frame."""
    parts: list[bytes] = []
    pack = RECORD.pack
    for kind, space, key, value, expiry in ops:
        parts += (pack(kind, space, len(key), len(value), expiry), key, value)
    return b"".join(parts)


def pack_frame(
    seed: int, link: int, first_seq: int, durable_end: int, committed_at: int, payload: bytes
) -> tuple[bytes, int]:
    """Return a frame as stored, and its checksum. `seed` is that of the segment; see `Frame` for the rest."""
    raw = HEAD.pack(len(payload), link, first_seq, durable_end, committed_at) + payload
    crc = google_crc32c.extend(seed, raw)
    return CRC.pack(crc) + raw, crc


def parse_frame(data: bytes, at: int, offset: int, seed: int, limit: int) -> Frame | None:
    """Decode the frame at `data[at:]`, or return None if there is no complete and valid frame.

    `offset` is the frame's offset in its file, `seed` that of the segment and `limit` the longest payload
    accepted, in bytes.
    """
    if len(data) - at < FRAME.size:
        return None
    crc, length, link, first_seq, durable_end, committed_at = FRAME.unpack_from(data, at)
    end = at + FRAME.size + length
    if length > limit or end > len(data) or durable_end > offset:
        return None
    payload = data[at + FRAME.size : end]
    if google_crc32c.extend(seed, data[at + CRC.size : end]) != crc:
        return None
    return Frame(
        offset, offset + FRAME.size + length, crc, link, first_seq, durable_end, committed_at, payload
    )


def frame_records(frame: Frame) -> Iterator[Record]:
    """Yield the records of a frame in order.

    Raises:
        ValueError: The lengths in the payload do not add up. Since the checksum matched, the writer is at
            fault.
    """
    payload, at, seq = frame.payload, 0, frame.first_seq
    while at < len(payload):
        kind, space, key_length, value_length, expiry = RECORD.unpack_from(payload, at)
        at += RECORD.size
        key, value = payload[at : at + key_length], payload[at + key_length : at + key_length + value_length]
        if len(key) + len(value) != key_length + value_length:
            raise ValueError("a record extends past the end of its frame")
        yield Record(seq, Op(kind, space, key, value, expiry), frame.committed_at)
        at += key_length + value_length
        seq += 1


def pack_store_file(store: bytes) -> bytes:
    """Return the contents of the file that holds the store's id: magic, version, id, checksum."""
    raw = STORE_MAGIC + struct.pack("<H", VERSION) + store
    return raw + CRC.pack(google_crc32c.value(raw))


def parse_store_file(raw: bytes) -> bytes:
    """Return the store's id from the contents of its file.

    Raises:
        DamagedDataError: The contents are not valid.
        NewerFormatError: The file has a later format version.
    """
    if raw[:8] != STORE_MAGIC or len(raw) < 22:
        raise DamagedDataError(STORE_FILE, 0, "not the file of a store")
    version = struct.unpack_from("<H", raw, 8)[0]
    if version > VERSION:
        raise NewerFormatError(f"{STORE_FILE}: format {version}, this program reads up to {VERSION}")
    if CRC.unpack_from(raw, 18)[0] != google_crc32c.value(raw[:18]):
        raise DamagedDataError(STORE_FILE, 0, "its checksum is wrong")
    return raw[10:18]


def pack_checked(value: object) -> bytes:
    """Encode a value with MessagePack, preceded by its checksum and length."""
    raw = msgpack.packb(value)
    return bytes(struct.pack("<II", google_crc32c.value(raw), len(raw)) + raw)


def unpack_checked(data: bytes, at: int, name: str, offset: int) -> tuple[object, int]:
    """Decode the value that `pack_checked` wrote at `data[at:]`; return it and the position after it.

    Raises:
        DamagedDataError: The value is not valid; the error names the file `name` and `offset` in it.
    """
    if len(data) - at < 8:
        raise DamagedDataError(name, offset, "cut short")
    crc, length = struct.unpack_from("<II", data, at)
    raw = data[at + 8 : at + 8 + length]
    if len(raw) != length or google_crc32c.value(raw) != crc:
        raise DamagedDataError(name, offset, "its checksum is wrong")
    return msgpack.unpackb(raw, use_list=False, strict_map_key=False), at + 8 + length
