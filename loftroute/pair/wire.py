"""Wire format of the pair's connections. No I/O.

A frame is a length (u32, big-endian), a MessagePack array and a MAC of 16 bytes. The MAC is a truncated
HMAC-SHA256 (RFC 2104). Its key is derived from the shared key, the nonces of both sides and the direction;
it covers the number of the frame in its direction and the frame's bytes. So frames cannot be forged,
replayed or reordered. The first frame of each side is a `Greeting` with its nonce and name, without a MAC.
"""

import hmac
import struct
from dataclasses import astuple, dataclass

import msgpack

from loftroute.pair.messages import (
    Claim,
    ClaimAnswer,
    Hello,
    MemberState,
    Mirror,
    Mode,
    Rejoin,
    Synced,
    SyncEnd,
    WitnessRecord,
    WitnessRequest,
)
from loftroute.protocol import IncompleteMessageError, ProtocolError
from loftroute.vrrp.envelope import Keys

LENGTH = struct.Struct("!I")
MAC_SIZE, NONCE_SIZE = 16, 16  # bytes
FRAME_LIMIT = 1 << 20  # bytes of a frame, without its length
NAME_LIMIT = 64  # characters of a relay's or operator's name


class Heartbeat:
    """Shows that the connection is alive; sent at regular intervals."""


class StatusRequest:
    """An operator's request for the relay's status; answered by `Report`."""


class PromoteRequest:
    """An operator's order to be alone, because the peer is lost; answered by `Report`."""


class FailbackRequest:
    """An operator's order to hand the virtual addresses to the peer; answered by `Report`."""


class Report:
    """The answer to an operator.

    Attributes:
        text: A line to show; for a status, the hex digits of a MessagePack map.
    """

    def __init__(self, text: str) -> None:
        """Create a report with a text."""
        self.text = text


KINDS = {
    0: Heartbeat,
    1: Hello,
    2: Claim,
    3: ClaimAnswer,
    4: Mirror,
    5: SyncEnd,
    6: Synced,
    7: Rejoin,
    8: WitnessRequest,
    9: WitnessRecord,
    10: StatusRequest,
    11: PromoteRequest,
    12: FailbackRequest,
    13: Report,
}
KIND_NUMBERS = {kind: number for number, kind in KINDS.items()}
FIELD_TYPES: dict[type, tuple[type, ...]] = {
    Claim: (int, int, str, bytes),
    ClaimAnswer: (int, bool),
    Mirror: (str, bytes),
    Rejoin: (int,),
    WitnessRequest: (str, int, bool, bool),
    WitnessRecord: (int, str),
    Report: (str,),
}


def pack(message: object) -> bytes:
    """Encode a message as a MessagePack array of its kind's number and its fields."""
    kind = type(message)
    if isinstance(message, Hello):
        state = message.state
        fields: tuple[object, ...] = (state.epoch, state.mode.value, state.synced)
    elif isinstance(message, Report):
        fields = (message.text,)
    else:
        fields = astuple(message) if kind in FIELD_TYPES else ()  # type: ignore[call-overload]
    return bytes(msgpack.packb((KIND_NUMBERS[kind], *fields)))


def unpack(raw: bytes) -> object:
    """Decode a message. Raises `ProtocolError` unless kind, number and types of the fields are right."""
    try:
        number, *fields = msgpack.unpackb(raw, use_list=False)
        kind = KINDS[number]
        if kind is Hello:
            epoch, mode, synced = fields
            if not isinstance(epoch, int) or epoch < 0 or not isinstance(synced, bool):
                raise ValueError("fields")
            return Hello(MemberState(epoch, Mode(mode), synced))
        field_types = FIELD_TYPES.get(kind, ())
        if len(field_types) != len(fields) or any(
            type(value) is not expected_type for value, expected_type in zip(fields, field_types, strict=True)
        ):
            raise ValueError("fields")
        return kind(*fields)
    except (ValueError, TypeError, KeyError, msgpack.UnpackException) as problem:
        raise ProtocolError("not a valid message of a pair") from problem


def parse_frame(data: bytearray, start: int, end: int) -> tuple[bytes, int]:
    """Parse the next frame in `data[start:end]`, as a parser for `Stream.receive`.

    Return the frame's bytes without its length, and the position after it. Raises `IncompleteMessageError`
    if the frame is incomplete and `ProtocolError` if it is too long.
    """
    if end - start < LENGTH.size:
        raise IncompleteMessageError(LENGTH.size)
    size = LENGTH.unpack_from(data, start)[0]
    if size > FRAME_LIMIT:
        raise ProtocolError("frame too long")
    body_start = start + LENGTH.size
    if end < body_start + size:
        raise IncompleteMessageError(LENGTH.size + size)
    return bytes(data[body_start : body_start + size]), body_start + size


@dataclass(frozen=True, slots=True)
class Greeting:
    """The first frame of each side, without a MAC.

    Attributes:
        name: Name of the relay, the witness or the operator.
        nonce: Random bytes, new for each connection.
        key: Number of the key that authenticates this side's frames.
    """

    name: str
    nonce: bytes
    key: int

    def pack(self) -> bytes:
        """Encode the greeting as a frame with its length."""
        raw = bytes(msgpack.packb((self.name, self.nonce, self.key)))
        return LENGTH.pack(len(raw)) + raw


def unpack_greeting(raw: bytes) -> Greeting:
    """Decode a greeting from a frame without its length. Raises `ProtocolError` if it is invalid."""
    try:
        name, nonce, key = msgpack.unpackb(raw)
    except (ValueError, TypeError, msgpack.UnpackException) as problem:
        raise ProtocolError("not a greeting") from problem
    is_valid = isinstance(name, str) and isinstance(nonce, bytes) and isinstance(key, int)
    if not is_valid or len(nonce) != NONCE_SIZE or len(name) > NAME_LIMIT:
        raise ProtocolError("not a greeting")
    return Greeting(name, nonce, key)


class FrameAuthenticator:
    """Adds or checks the MACs of one direction of one connection, and numbers its frames."""

    def __init__(self, key: bytes, own: bytes, peer: bytes, outward: bool) -> None:
        """Derive the key of a direction from the shared key and the nonces of both sides.

        `outward` is True for the frames that this side sends.
        """
        nonces = own + peer if outward else peer + own
        self._key = hmac.digest(key, nonces + b"pair 1", "sha256")
        self._frame_number = 0

    def seal(self, message: object) -> bytes:
        """Encode a message as a frame with its length and MAC."""
        raw = pack(message)
        return LENGTH.pack(len(raw) + MAC_SIZE) + raw + self._mac(raw)

    def open(self, raw: bytes) -> object:
        """Return the message of a frame without its length.

        Raises `ProtocolError` if the MAC is wrong or the message is invalid.
        """
        if len(raw) < MAC_SIZE or not hmac.compare_digest(self._mac(raw[:-MAC_SIZE]), raw[-MAC_SIZE:]):
            raise ProtocolError("wrong proof")
        return unpack(raw[:-MAC_SIZE])

    def _mac(self, raw: bytes) -> bytes:
        """Return the MAC of the next frame; each call counts a frame."""
        self._frame_number += 1
        return hmac.digest(self._key, self._frame_number.to_bytes(8, "big") + raw, "sha256")[:MAC_SIZE]


@dataclass(frozen=True, slots=True)
class Session:
    """A connection after both greetings.

    Attributes:
        peer: Name that the other side has given.
        outward: Authenticates the frames that this side sends.
        inward: Checks the frames that this side receives.
    """

    peer: str
    outward: FrameAuthenticator
    inward: FrameAuthenticator


class Handshake:
    """One side's part of the greetings.

    Attributes:
        greeting: The greeting to send.
    """

    def __init__(self, name: str, nonce: bytes, keys: Keys) -> None:
        """Create the greeting. `nonce` must be `NONCE_SIZE` random bytes, new for each connection."""
        self.greeting = Greeting(name, nonce, keys.sealing)
        self._keys = keys

    def complete(self, raw: bytes) -> Session:
        """Take the other side's greeting, a frame without its length, and return the session.

        Raises `ProtocolError` if it is invalid, comes from this side itself or names an unknown key. Only the
        other side's first authenticated frame proves that it has the key.
        """
        own, peer = self.greeting, unpack_greeting(raw)
        if peer.name == own.name or peer.nonce == own.nonce:
            raise ProtocolError("greeted by itself")
        if peer.key not in self._keys.known:
            raise ProtocolError(f"unknown key {peer.key}")
        outward = FrameAuthenticator(self._keys.known[own.key], own.nonce, peer.nonce, True)
        inward = FrameAuthenticator(self._keys.known[peer.key], own.nonce, peer.nonce, False)
        return Session(peer.name, outward, inward)
