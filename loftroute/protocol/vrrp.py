"""VRRP version 3 advertisements, bytes to values and back (RFC 9568 section 5; RFC 5798 calls the Active
Master).

No I/O. Whatever can't be taken raises `BadAdvertisementError`, whose `kind` is the RFC's name for it (section
7.1 and the notifications of RFC 6527) and under which it is counted.
"""

import ipaddress
import struct
from dataclasses import dataclass

from loftroute.protocol import ProtocolError

VERSION, ADVERTISEMENT = 3, 1
PROTOCOL_NUMBER = 112  # of the pseudo-header
HEADER = struct.Struct("!BBBBHH")
INTERVAL_LIMIT = 0xFFF  # centiseconds, 12 bits
OWNER_PRIORITY, STOPPING_PRIORITY = 255, 0  # priorities with a meaning

Address = ipaddress.IPv4Address | ipaddress.IPv6Address


class BadAdvertisementError(ProtocolError):
    """Dropped and counted under its kind; nothing else changes."""

    def __init__(self, kind: str, what: str) -> None:
        super().__init__(f"{kind}: {what}")
        self.kind = kind


@dataclass(frozen=True, slots=True)
class Advertisement:
    """What an Active says. `interval` is Max Advertise Interval in centiseconds."""

    vrid: int
    priority: int
    interval: int
    addresses: tuple[Address, ...]


def encode(said: Advertisement, source: Address, target: Address) -> bytes:
    """The message as sent from `source` to `target`, which the checksum covers; `ValueError` out of
    bounds."""
    if not 1 <= said.vrid <= 255 or not 0 <= said.priority <= 255:
        raise ValueError("VRID 1 to 255 and priority 0 to 255 wanted")
    if not 1 <= said.interval <= INTERVAL_LIMIT:
        raise ValueError(f"interval 1 to {INTERVAL_LIMIT} centiseconds wanted")
    if not 1 <= len(said.addresses) <= 255:
        raise ValueError("1 to 255 addresses wanted")
    if len({address.version for address in (*said.addresses, source, target)}) != 1:
        raise ValueError("addresses of one family wanted")
    head = HEADER.pack(
        VERSION << 4 | ADVERTISEMENT, said.vrid, said.priority, len(said.addresses), said.interval, 0
    )
    raw = head + b"".join(address.packed for address in said.addresses)
    return raw[:6] + struct.pack("!H", checksum(raw, source, target)) + raw[8:]


def decode(raw: bytes, source: Address, target: Address) -> Advertisement:
    """The checks of section 7.1 that a message alone can fail, in their order."""
    if len(raw) < HEADER.size:
        raise BadAdvertisementError("packet length error", f"{len(raw)} bytes")
    kind, vrid, priority, count, interval, _ = HEADER.unpack_from(raw)
    if kind >> 4 != VERSION:
        raise BadAdvertisementError("version error", f"version {kind >> 4}")
    if kind & 15 != ADVERTISEMENT:
        raise BadAdvertisementError("invalid type", f"type {kind & 15}")
    if vrid == 0:
        raise BadAdvertisementError("vrid error", "VRID 0")
    size = len(source.packed)
    if len(raw) != HEADER.size + count * size or count == 0:
        raise BadAdvertisementError("packet length error", f"{len(raw)} bytes with {count} addresses")
    if checksum(raw, source, target) != 0:
        raise BadAdvertisementError("checksum error", "wrong")
    if interval >> 12 or not interval & INTERVAL_LIMIT:
        raise BadAdvertisementError("interval error", f"{interval:#06x}")
    family = ipaddress.IPv4Address if size == 4 else ipaddress.IPv6Address
    places = range(HEADER.size, len(raw), size)
    return Advertisement(
        vrid, priority, interval & INTERVAL_LIMIT, tuple(family(raw[at : at + size]) for at in places)
    )


def checksum(raw: bytes, source: Address, target: Address) -> int:
    """The Internet checksum (RFC 1071) over the pseudo-header (RFC 8200 section 8.1 for IPv6, RFC 9293
    section 3.1 for IPv4) and the message; 0 for a message that holds its own."""
    if source.version == 4:
        pseudo = source.packed + target.packed + struct.pack("!BBH", 0, PROTOCOL_NUMBER, len(raw))
    else:
        pseudo = source.packed + target.packed + struct.pack("!IHBB", len(raw), 0, 0, PROTOCOL_NUMBER)
    data = pseudo + raw
    if len(data) % 2:
        data += b"\0"
    total: int = sum(struct.unpack(f"!{len(data) // 2}H", data))
    while total >> 16:
        total = (total & 0xFFFF) + (total >> 16)
    return ~total & 0xFFFF
