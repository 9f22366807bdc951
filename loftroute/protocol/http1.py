"""HTTP/1.1 as the relay's own calls need it: requests out, responses and chunks in."""

from dataclasses import dataclass

from loftroute.protocol import IncompleteMessageError, ProtocolError

HEAD_LIMIT = 16 * 1024  # bytes of a status line with its headers
BODY_LIMIT = 4 * 1024 * 1024  # bytes of a body or chunk
LINE_LIMIT = 256  # bytes of a chunk's size line


@dataclass(frozen=True, slots=True)
class Head:
    status: int
    length: int | None
    chunked: bool


@dataclass(frozen=True, slots=True)
class Response:
    status: int
    body: bytes


def encode_request(method: str, target: str, host: str, body: bytes = b"") -> bytes:
    lines = [f"{method} {target} HTTP/1.1", f"Host: {host}"]
    if body:
        lines += ["Content-Type: application/json", f"Content-Length: {len(body)}"]
    return "\r\n".join([*lines, "", ""]).encode() + body


def parse_head(data: bytes | bytearray, start: int, end: int) -> tuple[Head, int]:
    stop = _find(b"\r\n\r\n", data, start, end, HEAD_LIMIT)
    lines = bytes(data[start:stop]).split(b"\r\n")
    parts = lines[0].split(b" ", 2)
    if len(parts) < 2 or not parts[0].startswith(b"HTTP/1.") or len(parts[1]) != 3 or not parts[1].isdigit():
        raise ProtocolError(f"not a status line: {lines[0][:40]!r}")
    length, chunked = None, False
    for line in lines[1:]:
        name, colon, value = line.partition(b":")
        if not colon:
            raise ProtocolError(f"not a header: {line[:40]!r}")
        if name.lower() == b"content-length":
            length = _size(value.strip(), 10)
        elif name.lower() == b"transfer-encoding":
            chunked = value.strip().lower() == b"chunked"
    return Head(int(parts[1]), length, chunked), stop + 4


def _find(mark: bytes, data: bytes | bytearray, start: int, end: int, limit: int) -> int:
    """Where the mark that ends a head or a line stands, within the limit."""
    stop = data.find(mark, start, min(end, start + limit))
    if stop < 0:
        if end - start >= limit:
            raise ProtocolError("head or line too long")
        raise IncompleteMessageError(end - start + 1)
    return stop


def _size(text: bytes, base: int) -> int:
    try:
        if not text.isalnum() or len(text) > 10:
            raise ValueError(text)
        size = int(text, base)
    except ValueError as problem:
        raise ProtocolError(f"not a size: {text[:20]!r}") from problem
    if size > BODY_LIMIT:
        raise ProtocolError("body too long")
    return size


def parse_chunk(data: bytes | bytearray, start: int, end: int) -> tuple[memoryview, int]:
    """One chunk as a slice of the buffer; an empty one ends the body."""
    stop = _find(b"\r\n", data, start, end, LINE_LIMIT)
    size = _size(bytes(data[start:stop]).split(b";", 1)[0].strip(), 16)
    begin, after = stop + 2, stop + 2 + size
    if end < after + 2:
        raise IncompleteMessageError(after + 2 - start)
    if data[after : after + 2] != b"\r\n":
        raise ProtocolError("a chunk does not end where its size says")
    return memoryview(data)[begin:after], after + 2


def parse_response(data: bytes | bytearray, start: int, end: int) -> tuple[Response, int]:
    """A whole response, its body copied since JSON is read from it."""
    found, at = parse_head(data, start, end)
    if found.chunked:
        parts = []
        while True:
            try:
                part, at = parse_chunk(data, at, end)
            except IncompleteMessageError as more:
                raise IncompleteMessageError(at - start + more.total_bytes) from None
            if not part:
                return Response(found.status, b"".join(parts)), at
            parts.append(bytes(part))
            if at - start > 2 * BODY_LIMIT:
                raise ProtocolError("body too long")
    if found.length is None:
        raise ProtocolError("a body without a length")
    if end < at + found.length:
        raise IncompleteMessageError(at + found.length - start)
    return Response(found.status, bytes(data[at : at + found.length])), at + found.length
