"""The Redis serialization protocol, version 2 (RESP2): parsers and encoders.

A parser gets a buffer and the offsets of the part to read. It returns the value, with bulk strings as
slices of the buffer, and the offset after it. It raises `IncompleteMessageError` if more bytes are needed
and `ProtocolError` for anything that is not RESP2 or exceeds a limit. Encoders return pieces to be written
in order.
"""

from dataclasses import dataclass

from loftroute.protocol import IncompleteMessageError, ProtocolError

VALUE_LIMIT = 64 * 1024  # bytes of one bulk string
LINE_LIMIT = 1024  # bytes of a header, status or error line
ARRAY_LIMIT = 16  # items of one array
DEPTH_LIMIT = 3  # levels of nested arrays
SHORTEST_ITEMS = b"+\r\n+\r\n"  # the least that can follow the value in a unit's reply

Piece = bytes | memoryview


@dataclass(frozen=True, slots=True)
class SimpleString:
    """A simple string (`+`)."""

    text: str


@dataclass(frozen=True, slots=True)
class ErrorReply:
    """An error (`-`)."""

    text: str


@dataclass(slots=True)
class FramedValue:
    """A bulk string that is passed on unchanged.

    Attributes:
        value: the content.
        framed: the content with its header and terminator.
    """

    value: memoryview
    framed: memoryview


Value = memoryview | None | int | SimpleString | ErrorReply | list["Value"]


def parse_value(data: bytes | bytearray, start: int, end: int) -> tuple[Value, int]:
    """Parse a value of any type."""
    try:
        return _value(data, start, end, 0)
    except IncompleteMessageError as more:
        raise IncompleteMessageError(more.total_bytes - start) from None


def _value(data: bytes | bytearray, at: int, end: int, depth: int) -> tuple[Value, int]:
    """Parse a value at `at`.

    Private parsers count `IncompleteMessageError.total_bytes` from the start of `data`, public ones from
    `start`.
    """
    line, after = _line(data, at, end)
    type_byte = line[:1]
    if type_byte == b"$":
        return _bulk(data, _count(line, VALUE_LIMIT), after, end)
    if type_byte == b"*":
        return _array(data, _count(line, ARRAY_LIMIT), after, end, depth)
    if type_byte == b"+":
        return SimpleString(line[1:].decode("utf-8", "replace")), after
    if type_byte == b"-":
        return ErrorReply(line[1:].decode("utf-8", "replace")), after
    if type_byte == b":":
        return _integer(line), after
    raise ProtocolError(f"not a RESP value: {line[:20]!r}")


def _line(data: bytes | bytearray, at: int, end: int) -> tuple[bytes, int]:
    """Return a line without its terminator and the offset after it."""
    stop = data.find(b"\r\n", at, min(end, at + LINE_LIMIT))
    if stop < 0:
        if end - at >= LINE_LIMIT:
            raise ProtocolError("line too long")
        if end > at and data[at] not in b"$*+-:":
            raise ProtocolError(f"not a RESP value: {bytes(data[at : at + 1])!r}")
        raise IncompleteMessageError(end + 1)
    return bytes(data[at:stop]), stop + 2


def _count(line: bytes, limit: int) -> int:
    """Return the length in a header line; -1 stands for null."""
    if line[1:] == b"-1":
        return -1
    if not line[1:].isdigit() or len(line) > 8 or int(line[1:]) > limit:
        raise ProtocolError(f"not a length: {line[:20]!r}")
    return int(line[1:])


def _integer(line: bytes) -> int:
    """Return the number in an integer line."""
    digits = line[2:] if line[1:2] in (b"-", b"+") else line[1:]
    if not digits.isdigit() or len(digits) > 19:
        raise ProtocolError(f"not an integer: {line[:20]!r}")
    return int(line[1:])


def _bulk(data: bytes | bytearray, size: int, at: int, end: int) -> tuple[memoryview | None, int]:
    """Parse the content of a bulk string of `size` bytes; a negative size stands for null."""
    if size < 0:
        return None, at
    stop = at + size
    if end < stop + 2:
        raise IncompleteMessageError(stop + 2)
    if data[stop : stop + 2] != b"\r\n":
        raise ProtocolError("a value does not end where its length says")
    return memoryview(data)[at:stop], stop + 2


def _array(data: bytes | bytearray, count: int, at: int, end: int, depth: int) -> tuple[Value, int]:
    """Parse the items of an array; a negative count stands for null."""
    if count < 0:
        return None, at
    if depth >= DEPTH_LIMIT:
        raise ProtocolError("arrays too deep")
    items: list[Value] = []
    for _ in range(count):
        item, at = _value(data, at, end, depth + 1)
        items.append(item)
    return items, at


@dataclass(slots=True)
class Command:
    """A command of a client.

    Attributes:
        arguments: the arguments; the first is the name of the command.
        raw: the whole command as it was received.
        offsets: offset in `raw` of the header of each argument.
    """

    arguments: list[memoryview]
    raw: memoryview
    offsets: list[int]


def parse_command(data: bytes | bytearray, start: int, end: int) -> tuple[Command, int]:
    """Parse a command, which is an array of bulk strings."""
    try:
        return _command(data, start, end)
    except IncompleteMessageError as more:
        raise IncompleteMessageError(more.total_bytes - start) from None


def _command(data: bytes | bytearray, start: int, end: int) -> tuple[Command, int]:
    arguments, offsets = [], []
    count, at = _header(data, start, end, 42, ARRAY_LIMIT)  # *
    for _ in range(count):
        offsets.append(at - start)
        size, begin = _header(data, at, end, 36, VALUE_LIMIT)  # $
        argument, at = _bulk(data, size, begin, end)
        arguments.append(argument)
    if not arguments:
        raise ProtocolError("an empty command")
    return Command(arguments, memoryview(data)[start:at], offsets), at


def _header(data: bytes | bytearray, at: int, end: int, type_byte: int, limit: int) -> tuple[int, int]:
    """Parse a header of the given type; return the length in it and the offset after it."""
    if at >= end:
        raise IncompleteMessageError(at + 1)
    if data[at] != type_byte:
        raise ProtocolError("a command is an array of bulk strings")
    stop = data.find(b"\r\n", at, min(end, at + 10))
    if stop < 0:
        if end >= at + 10:
            raise ProtocolError("not a length")
        raise IncompleteMessageError(end + 1)
    digits = data[at + 1 : stop]
    if not digits.isdigit() or (size := int(digits)) > limit:
        raise ProtocolError(f"not a length: {bytes(digits)!r}")
    return size, stop + 2


class CommandSkipper:
    """Follows the framing of a command whose content is discarded, so that the next one can be parsed."""

    __slots__ = ("_arguments_left", "_bytes_allowed", "_content_left", "_terminator_due")

    def __init__(self, limit: int) -> None:
        """Start in front of a command of at most `limit` bytes."""
        self._bytes_allowed = limit
        self._arguments_left: int | None = None  # None until the header of the command has been skipped
        self._content_left = 0  # bytes of the current argument
        self._terminator_due = False

    @property
    def is_complete(self) -> bool:
        """Whether the last byte of the command has been skipped."""
        return not (self._arguments_left is None or self._arguments_left or self._terminator_due)

    def skip(self, data: bytes | bytearray, start: int, end: int) -> int:
        """Skip what there is of the command and return the offset after it.

        Raises `ProtocolError` for anything that is not a command or is longer than the limit.
        """
        at = start
        while not self.is_complete and (after := self._skip_part(data, at, end)) > at:
            at = after
        self._bytes_allowed -= at - start
        if self._bytes_allowed < 0:
            raise ProtocolError("message too long")
        return at

    def _skip_part(self, data: bytes | bytearray, at: int, end: int) -> int:
        """Skip a header, content or a terminator; return the offset after it, `at` if more is needed."""
        if self._content_left:
            count = min(self._content_left, end - at)
            self._content_left -= count
            return at + count
        if self._terminator_due:
            return self._skip_terminator(data, at, end)
        try:
            return self._skip_header(data, at, end)
        except IncompleteMessageError:
            return at

    def _skip_terminator(self, data: bytes | bytearray, at: int, end: int) -> int:
        if end - at < 2:
            return at
        if data[at : at + 2] != b"\r\n":
            raise ProtocolError("a value does not end where its length says")
        self._terminator_due = False
        return at + 2

    def _skip_header(self, data: bytes | bytearray, at: int, end: int) -> int:
        if self._arguments_left is None:
            count, after = _header(data, at, end, 42, ARRAY_LIMIT)  # *
            if not count:
                raise ProtocolError("an empty command")
            self._arguments_left = count
            return after
        self._content_left, after = _header(data, at, end, 36, VALUE_LIMIT)  # $
        self._arguments_left -= 1
        self._terminator_due = True
        return after


def bulk_string(value: Piece) -> list[Piece]:
    """Encode a bulk string."""
    return [b"$%d\r\n" % len(value), value, b"\r\n"]


def array(items: list[Piece]) -> list[Piece]:
    """Encode an array of bulk strings."""
    pieces: list[Piece] = [b"*%d\r\n" % len(items)]
    for item in items:
        pieces += bulk_string(item)
    return pieces


def parse_reply(data: bytes | bytearray, start: int, end: int) -> tuple["Value | FramedValue", int]:
    """Parse the reply of a unit.

    The usual reply, an array of a bulk string and two nulls, is returned as a `FramedValue`.
    """
    if data.startswith(b"*3\r\n$", start) and end - start > 8:
        # 36 is "$" and 45 is "-", the sign in the header of a null
        size, begin = _header(data, start + 4, end, 36, VALUE_LIMIT) if data[start + 5] != 45 else (-1, 0)
        stop = begin + size + 2
        if size >= 0 and end < stop:
            raise IncompleteMessageError(stop + len(SHORTEST_ITEMS) - start)
        if size >= 0 and end >= stop + 10 and data[stop - 2 : stop + 10] == b"\r\n$-1\r\n$-1\r\n":
            view = memoryview(data)
            return FramedValue(view[begin : stop - 2], view[start + 4 : stop]), stop + 10
    value, after = parse_value(data, start, end)
    if value is None:  # callers take None for an incomplete message
        raise ProtocolError("null is no reply")
    return value, after


def simple_string(text: str) -> list[Piece]:
    """Encode a simple string."""
    return [f"+{text}\r\n".encode()]


def error_reply(text: str) -> list[Piece]:
    """Encode an error, whose first word is its code."""
    return [f"-{text}\r\n".encode()]
