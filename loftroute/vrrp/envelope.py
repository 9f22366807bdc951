"""Authenticated datagrams that carry VRRP advertisements over UDP. No I/O.

VRRP itself accepts only packets with TTL 255, which cannot come from outside the link. UDP to a list of peers
does not have that protection, so each datagram has an HMAC (RFC 2104, with SHA-256) under a shared key. It
also has a sequence number, the incarnation of the sender (which grows with each start), and a time, against
replay. Several keys may be valid at once, so that keys can be changed at run time.
"""

import hmac
import ipaddress
import struct
from collections import Counter
from dataclasses import dataclass

from loftroute.protocol.vrrp import Address

MAGIC = b"LFVR"
# Magic, version, key number, address family, incarnation, sequence number, time (ns), source, target.
HEADER = struct.Struct("!4sBBBxQQQ16s16s")
VERSION = 1
MAC_SIZE = 32  # bytes
SIZE_LIMIT = HEADER.size + 8 + 255 * 16 + MAC_SIZE
PLAIN_KEY = 0  # key number of a datagram without a MAC; for loopback only


@dataclass(frozen=True, slots=True)
class Keys:
    """The shared keys.

    Attributes:
        sealing: Number of the key that authenticates what this side sends.
        known: All valid keys by number, 1 to 255. Number 0 alone, with an empty key, means no authentication.
    """

    sealing: int
    known: dict[int, bytes]

    @property
    def plain(self) -> bool:
        """Whether datagrams are not authenticated."""
        return PLAIN_KEY in self.known


@dataclass(frozen=True, slots=True)
class OpenedDatagram:
    """The contents of a datagram that passed all checks.

    Attributes:
        source: Primary address of the sender.
        target: Primary address of the receiver.
        message: The bytes of the VRRP message.
    """

    source: Address
    target: Address
    message: bytes


class Sealer:
    """Numbers and authenticates the datagrams that a relay sends.

    Attributes:
        keys: The shared keys; may be replaced at any time.
    """

    def __init__(self, keys: Keys, incarnation: int, source: Address) -> None:
        """`incarnation` must be greater than at any earlier start; `source` is the primary address."""
        self.keys, self._incarnation, self._source, self._number = keys, incarnation, source, 0

    def seal(self, message: bytes, target: Address, now: int) -> bytes:
        """Return the datagram with a message for `target`. `now` is wall time in nanoseconds."""
        self._number += 1
        key = self.keys.sealing
        header = HEADER.pack(
            MAGIC,
            VERSION,
            key,
            self._source.version,
            self._incarnation,
            self._number,
            now,
            _pad_address(self._source),
            _pad_address(target),
        )
        return header + message + _mac(self.keys.known.get(key), header + message)


class Opener:
    """Checks received datagrams. Those that are forged, old or replayed are dropped and counted.

    Attributes:
        keys: The shared keys; may be replaced at any time.
        dropped: Number of dropped datagrams by reason.
    """

    def __init__(
        self,
        keys: Keys,
        peers: frozenset[Address],
        own_addresses: frozenset[Address],
        max_clock_difference: int,
    ) -> None:
        """Accept datagrams from `peers` to `own_addresses`, both primary addresses.

        `max_clock_difference` is the maximum difference between the clocks of sender and receiver, in
        nanoseconds.
        """
        self.keys, self._peers, self._own_addresses, self._max_clock_difference = (
            keys,
            peers,
            own_addresses,
            max_clock_difference,
        )
        self._last_numbers: dict[Address, tuple[int, int]] = {}  # incarnation and number; peers only
        self.dropped: Counter[str] = Counter()

    def open(self, raw: bytes, now: int) -> OpenedDatagram | None:
        """Return the contents of a datagram, or None if it is dropped. `now` is wall time in nanoseconds.

        The cheap checks come first, so that a flood costs little processor time.
        """
        result = self._check(raw, now)
        if isinstance(result, str):
            self.dropped[result] += 1
            return None
        return result

    def _check(self, raw: bytes, now: int) -> str | OpenedDatagram:
        """Return the contents of a datagram, or the reason to drop it, as it is named in the state line."""
        if not HEADER.size + MAC_SIZE <= len(raw) <= SIZE_LIMIT:
            return "datagram length"
        magic, version, key, family, incarnation, number, sent_at, padded_source, padded_target = (
            HEADER.unpack_from(raw)
        )
        if magic != MAGIC or version != VERSION or family not in (4, 6):
            return "not an envelope"
        source, target = _unpad_address(padded_source, family), _unpad_address(padded_target, family)
        if source not in self._peers or target not in self._own_addresses:
            return "stranger"
        if (incarnation, number) <= self._last_numbers.get(source, (0, 0)):
            return "replayed"
        if abs(now - sent_at) > self._max_clock_difference:
            return "too old or too new"
        if (key == PLAIN_KEY) != self.keys.plain or key not in self.keys.known:
            return "unknown key"
        if not hmac.compare_digest(_mac(self.keys.known.get(key), raw[:-MAC_SIZE]), raw[-MAC_SIZE:]):
            return "wrong proof"
        self._last_numbers[source] = (incarnation, number)
        return OpenedDatagram(source, target, raw[HEADER.size : -MAC_SIZE])


def _mac(key: bytes | None, data: bytes) -> bytes:
    return hmac.digest(key, data, "sha256") if key else bytes(MAC_SIZE)


def _pad_address(address: Address) -> bytes:
    return address.packed.ljust(16, b"\0")


def _unpad_address(raw: bytes, family: int) -> Address:
    return ipaddress.IPv4Address(raw[:4]) if family == 4 else ipaddress.IPv6Address(raw)
