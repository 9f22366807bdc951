"""What carries an advertisement over UDP: who sent it, when, and a proof that it is one of us.

The real protocol trusts TTL 255 on one link. Here each datagram has an HMAC (RFC 2104, SHA-256) of a shared
key, a number that grows within a start of the sender, the number of that start, and a time. Two keys may
hold at once, so that they can be changed. No I/O.
"""

import hmac
import ipaddress
import struct
from collections import Counter
from dataclasses import dataclass

from loftroute.protocol.vrrp import Address

MAGIC = b"LFVR"
HEAD = struct.Struct("!4sBBBxQQQ16s16s")  # magic, version, key, family, start, number, time, source, target
VERSION = 1
MAC = 32  # bytes
SIZE_LIMIT = HEAD.size + 8 + 255 * 16 + MAC
PLAIN = 0  # the key number of a datagram without a proof: on loopback only


@dataclass(frozen=True, slots=True)
class Keys:
    """Keys by their numbers, 1 to 255, and the one that seals. Only number 0, with no bytes: plain."""

    sealing: int
    known: dict[int, bytes]

    @property
    def plain(self) -> bool:
        return PLAIN in self.known


@dataclass(frozen=True, slots=True)
class Opened:
    source: Address
    target: Address
    message: bytes


class Sealer:
    """Numbers and seals what one start of a relay sends."""

    def __init__(self, keys: Keys, start: int, source: Address) -> None:
        """`start` grows from one start to the next."""
        self.keys, self._start, self._source, self._number = keys, start, source, 0

    def seal(self, message: bytes, target: Address, now: int) -> bytes:
        """A datagram; `now` is wall time in nanoseconds."""
        self._number += 1
        key = self.keys.sealing
        head = HEAD.pack(
            MAGIC,
            VERSION,
            key,
            self._source.version,
            self._start,
            self._number,
            now,
            _wide(self._source),
            _wide(target),
        )
        return head + message + _mac(self.keys.known.get(key), head + message)


class Opener:
    """Takes datagrams in; what can't be proved, is old, or came before changes nothing but a count."""

    def __init__(
        self, keys: Keys, peers: frozenset[Address], own: frozenset[Address], allowance: int
    ) -> None:
        """`peers` may speak, to one of `own`. `allowance`: nanoseconds by which a sender's clock may
        differ."""
        self.keys, self._peers, self._own, self._allowance = keys, peers, own, allowance
        self._last: dict[Address, tuple[int, int]] = {}  # start and number; bounded by the peers
        self.dropped: Counter[str] = Counter()

    def open(self, raw: bytes, now: int) -> Opened | None:
        """The message of a datagram that holds; `now` is wall time in nanoseconds. The cheap checks come
        first, so that a flood costs little."""
        kind = self._wrong(raw, now)
        if isinstance(kind, str):
            self.dropped[kind] += 1
            return None
        return kind

    def _wrong(self, raw: bytes, now: int) -> str | Opened:
        if not HEAD.size + MAC <= len(raw) <= SIZE_LIMIT:
            return "datagram length"
        magic, version, key, family, start, number, sent, wide_source, wide_target = HEAD.unpack_from(raw)
        if magic != MAGIC or version != VERSION or family not in (4, 6):
            return "not an envelope"
        source, target = _narrow(wide_source, family), _narrow(wide_target, family)
        if source not in self._peers or target not in self._own:
            return "stranger"
        if (start, number) <= self._last.get(source, (0, 0)):
            return "replayed"
        if abs(now - sent) > self._allowance:
            return "too old or too new"
        if (key == PLAIN) != self.keys.plain or key not in self.keys.known:
            return "unknown key"
        if not hmac.compare_digest(_mac(self.keys.known.get(key), raw[:-MAC]), raw[-MAC:]):
            return "wrong proof"
        self._last[source] = (start, number)
        return Opened(source, target, raw[HEAD.size : -MAC])


def _mac(key: bytes | None, data: bytes) -> bytes:
    return hmac.digest(key, data, "sha256") if key else bytes(MAC)


def _wide(address: Address) -> bytes:
    return address.packed.ljust(16, b"\0")


def _narrow(raw: bytes, family: int) -> Address:
    return ipaddress.IPv4Address(raw[:4]) if family == 4 else ipaddress.IPv6Address(raw)
