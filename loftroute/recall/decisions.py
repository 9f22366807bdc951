"""What a repeated call may do, by what is known of the request. No I/O; moments are arguments.

A request that is not safe to repeat leaves a record: an intent before the first byte goes to a unit, then
what came of it. An intent with nothing behind it means that the request may have run.
"""

from dataclasses import dataclass, replace
from enum import Enum, IntEnum

import msgpack

from loftroute.decision.interface import Effect, Group, Outcome, RequestClass
from loftroute.moments import Stamp, elapsed

NEVER_RAN = (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT)


class Fate(IntEnum):
    """What is known of a request."""

    NEVER = 0  # no attempt of it ran
    MAY = 1  # an attempt went out, or was about to, and what came of it is not known
    RAN = 2  # it ran, and its value is kept


class Do(Enum):
    """What a call does."""

    SEND = "send"
    AGAIN = "again"  # send, but only where its repeat is dropped
    ANSWER = "answer"
    FAIL = "fail"
    REFUSE = "refuse"


@dataclass(frozen=True, slots=True)
class Place:
    """Where a unit stands, as the settings number halls and cells."""

    zone: int
    cell: int
    server: str


@dataclass(frozen=True, slots=True)
class Memory:
    """The record of one request."""

    fate: Fate
    cls: str  # the class's name: numbers may change with the settings
    key: str
    attempts: int  # that were sent, or were about to be
    first: Stamp | None = None  # of the first attempt that may have run
    place: Place | None = None  # ... and where
    value: bytes = b""

    def pack(self) -> bytes:
        first = (self.first.wall, self.first.up, self.first.boot) if self.first else None
        place = (self.place.zone, self.place.cell, self.place.server) if self.place else None
        return bytes(
            msgpack.packb((int(self.fate), self.cls, self.key, self.attempts, first, place, self.value))
        )


def unpack(raw: bytes) -> Memory:
    """A record from its bytes; `ValueError` where they are not one."""
    try:
        fate, cls, key, attempts, first, place, value = msgpack.unpackb(raw)
        return Memory(
            Fate(fate),
            cls,
            key,
            attempts,
            Stamp(*first) if first else None,
            Place(*place) if place else None,
            value,
        )
    except (ValueError, TypeError) as problem:
        raise ValueError("not a record of a request") from problem


@dataclass(frozen=True, slots=True)
class Rules:
    """Figures of the settings; times in nanoseconds."""

    clock_step: int
    max_requests: int
    max_bytes: int
    max_attempts: int
    spare: int = 50_000_000  # of a window: what the way to the unit may take


@dataclass(frozen=True, slots=True)
class Decision:
    """What a call does; `left` bounds its time (nanoseconds), `memory` is what is known."""

    do: Do
    memory: Memory | None = None
    left: int | None = None


@dataclass(frozen=True, slots=True)
class Room:
    """What the records take up, and whether more can be written."""

    requests: int
    bytes: int
    writable: bool


def decide(
    call: RequestClass, key: str, known: Memory | None, now: Stamp, rules: Rules, room: Room
) -> Decision:
    """What a call with an id does, given what is known of that id."""
    if known is not None:
        if known.fate is Fate.RAN:
            same = known.cls == call.name and known.key == key
            return Decision(Do.ANSWER if same else Do.FAIL, known)
        if known.fate is Fate.MAY:
            return _repeat(call, key, known, now, rules, room)
        if known.cls != call.name or known.key != key:
            return Decision(Do.FAIL, known)
    if not room.writable or (known is None and full(room, rules)):
        return Decision(Do.REFUSE, known)
    return Decision(Do.SEND, known)


def full(room: Room, rules: Rules) -> bool:
    """A forgotten record would break a promise and a refusal does not: at the bound new requests are
    refused."""
    return room.requests >= rules.max_requests or room.bytes >= rules.max_bytes


def _repeat(call: RequestClass, key: str, known: Memory, now: Stamp, rules: Rules, room: Room) -> Decision:
    """It may have run. Only units that drop its repeats may get it, while they surely remember it."""
    if call.effect is not Effect.KEYED or known.cls != call.name or known.key != key:
        return Decision(Do.FAIL, known)
    left = remains(call, known, now, rules)
    if left <= 0 or known.attempts >= rules.max_attempts or not room.writable:
        return Decision(Do.FAIL, known)
    return Decision(Do.AGAIN, known, left)


def remains(call: RequestClass, known: Memory, now: Stamp, rules: Rules) -> int:
    """For how long the units surely still drop a repeat (nanoseconds), 0 or less where they may not."""
    if known.first is None or known.place is None:
        return 0
    gone = elapsed(known.first, now, rules.clock_step)
    return 0 if gone is None else call.window - rules.spare - gone


def allowed(call: RequestClass, known: Memory, target: Place, now: Stamp, rules: Rules) -> bool:
    """Whether an attempt may go to a unit, after one that may have run elsewhere."""
    if known.fate is not Fate.MAY or known.place is None:
        return known.fate is Fate.NEVER
    if call.effect is not Effect.KEYED or remains(call, known, now, rules) <= 0:
        return False
    if call.group is Group.ALL:
        return True
    if call.group is Group.ZONE:
        return target.zone == known.place.zone
    return (target.zone, target.cell) == (known.place.zone, known.place.cell)


def newer(told: Memory, known: Memory | None) -> bool:
    """Whether a record of the other relay says more than what is known here.

    Attempts of an id are counted over both relays, since each stores the other's claims. Of the same attempt
    what came of it says more than that it was about to be made; that it ran is final.
    """
    if known is None:
        return True
    if known.fate is Fate.RAN:
        return False
    return (told.fate is Fate.RAN, told.attempts, told.fate is Fate.NEVER) > (
        False,
        known.attempts,
        known.fate is Fate.NEVER,
    )


def intent(known: Memory | None, cls: str, key: str, target: Place, now: Stamp) -> Memory:
    """The record that must be safe before an attempt's first byte: from now on it may have run."""
    if known is None:
        return Memory(Fate.MAY, cls, key, 1, now, target)
    first, place = (known.first, known.place) if known.fate is Fate.MAY and known.first else (now, target)
    return replace(known, fate=Fate.MAY, attempts=known.attempts + 1, first=first, place=place)


def outcome(known: Memory, before: Memory | None, result: Outcome, value: bytes | None) -> Memory:
    """The record after an attempt's end. `before` is what was known before its intent: an attempt that never
    ran takes its intent back, and nothing that came earlier."""
    if result is Outcome.OK and value is not None:
        return replace(known, fate=Fate.RAN, value=value)
    if result in NEVER_RAN:
        if before is not None and before.fate is Fate.MAY:
            return replace(before, attempts=known.attempts)
        return replace(known, fate=Fate.NEVER, first=None, place=None)
    return known
