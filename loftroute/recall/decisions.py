"""Decides what a call may do, given what is known of its request id. Performs no I/O; times are arguments.

For a request that is not safe to repeat a record is kept: an intent before the first byte is sent to a unit,
then the outcome. An intent without an outcome means that the request may have run.
"""

from dataclasses import dataclass, replace
from enum import Enum, IntEnum

import msgpack

from loftroute.decision.interface import DedupScope, Effect, Outcome, RequestClass
from loftroute.moments import Moment, max_elapsed

NEVER_RAN = (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT)  # outcomes of attempts that did not run


class RunState(IntEnum):
    """What is known of a request. The numbers are stored."""

    NEVER_RAN = 0  # no attempt ran
    MAY_HAVE_RUN = 1  # an attempt was sent, or was about to be, and its outcome is not known
    RAN = 2  # it ran, and its value is kept


class CallAction(Enum):
    """What to do with a call. The values are names of counters."""

    SEND = "send"
    REPEAT = "again"  # send, but only to units that deduplicate it
    ANSWER = "answer"
    FAIL = "fail"
    REFUSE = "refuse"


@dataclass(frozen=True, slots=True)
class ServerLocation:
    """Zone and cell of a unit, by their numbers in the settings, and its address."""

    zone: int
    cell: int
    server: str


@dataclass(frozen=True, slots=True)
class RequestRecord:
    """What is stored for one request.

    Attributes:
        run_state: Whether the request ran.
        class_name: Name of the request class. Its number may change with the settings.
        key: Key of the request.
        attempts: Number of attempts that were sent or about to be.
        first_sent: Time of the first attempt that may have run.
        location: The unit that this attempt was sent to.
        value: The value that was returned, if the request ran.
    """

    run_state: RunState
    class_name: str
    key: str
    attempts: int
    first_sent: Moment | None = None
    location: ServerLocation | None = None
    value: bytes = b""

    def pack(self) -> bytes:
        """Return the record as stored."""
        first = (
            (self.first_sent.wall_ns, self.first_sent.uptime_ns, self.first_sent.boot_id)
            if self.first_sent
            else None
        )
        place = (self.location.zone, self.location.cell, self.location.server) if self.location else None
        return bytes(
            msgpack.packb(
                (int(self.run_state), self.class_name, self.key, self.attempts, first, place, self.value)
            )
        )


def unpack(raw: bytes) -> RequestRecord:
    """Decode a record.

    Raises:
        ValueError: The bytes are not a record.
    """
    try:
        run_state, class_name, key, attempts, first, place, value = msgpack.unpackb(raw)
        return RequestRecord(
            RunState(run_state),
            class_name,
            key,
            attempts,
            Moment(*first) if first else None,
            ServerLocation(*place) if place else None,
            value,
        )
    except (ValueError, TypeError) as problem:
        raise ValueError("not a record of a request") from problem


@dataclass(frozen=True, slots=True)
class RecallLimits:
    """Limits of recall. Times are in nanoseconds.

    Attributes:
        clock_step: Largest error of the wall clock across a restart of the machine.
        max_requests: Most requests with a record.
        max_bytes: Most bytes of records.
        max_attempts: Most attempts of a request, including those before a restart.
        window_margin: Part of the deduplication window that is left for the way to the unit.
    """

    clock_step: int
    max_requests: int
    max_bytes: int
    max_attempts: int
    window_margin: int = 50_000_000


@dataclass(frozen=True, slots=True)
class Decision:
    """What to do with a call.

    Attributes:
        action: What to do.
        record: The record of the request, if there is one.
        time_left: Upper limit of the call's time in nanoseconds; None for no limit.
    """

    action: CallAction
    record: RequestRecord | None = None
    time_left: int | None = None


@dataclass(frozen=True, slots=True)
class RecallUsage:
    """Number and bytes of the records, and whether more can be written."""

    requests: int
    bytes: int
    writable: bool


def decide(
    call: RequestClass,
    key: str,
    known: RequestRecord | None,
    now: Moment,
    limits: RecallLimits,
    usage: RecallUsage,
) -> Decision:
    """Decide what to do with a call, given the record `known` of its request id."""
    if known is not None:
        if known.run_state is RunState.RAN:
            same_request = known.class_name == call.name and known.key == key
            return Decision(CallAction.ANSWER if same_request else CallAction.FAIL, known)
        if known.run_state is RunState.MAY_HAVE_RUN:
            return _decide_repeat(call, key, known, now, limits, usage)
        if known.class_name != call.name or known.key != key:
            return Decision(CallAction.FAIL, known)
    if not usage.writable or (known is None and is_full(usage, limits)):
        return Decision(CallAction.REFUSE, known)
    return Decision(CallAction.SEND, known)


def is_full(usage: RecallUsage, limits: RecallLimits) -> bool:
    """Return whether no new requests are accepted.

    At the limit new requests are refused and no record is dropped, since a request without its record could
    run twice.
    """
    return usage.requests >= limits.max_requests or usage.bytes >= limits.max_bytes


def _decide_repeat(
    call: RequestClass,
    key: str,
    known: RequestRecord,
    now: Moment,
    limits: RecallLimits,
    usage: RecallUsage,
) -> Decision:
    """Decide on a call whose request may have run.

    It may only be sent to units that deduplicate it, and only while they are certain to remember it.
    """
    if call.effect is not Effect.KEYED or known.class_name != call.name or known.key != key:
        return Decision(CallAction.FAIL, known)
    time_left = repeat_time_left(call, known, now, limits)
    if time_left <= 0 or known.attempts >= limits.max_attempts or not usage.writable:
        return Decision(CallAction.FAIL, known)
    return Decision(CallAction.REPEAT, known, time_left)


def repeat_time_left(call: RequestClass, known: RequestRecord, now: Moment, limits: RecallLimits) -> int:
    """Return how long the units are certain to deduplicate a repeat, in ns; 0 or less if not at all."""
    if known.first_sent is None or known.location is None:
        return 0
    age = max_elapsed(known.first_sent, now, limits.clock_step)
    return 0 if age is None else call.key_window - limits.window_margin - age


def may_repeat_at(
    call: RequestClass, known: RequestRecord, target: ServerLocation, now: Moment, limits: RecallLimits
) -> bool:
    """Return whether an attempt may be sent to `target`, given what is known of earlier attempts."""
    if known.run_state is not RunState.MAY_HAVE_RUN or known.location is None:
        return known.run_state is RunState.NEVER_RAN
    if call.effect is not Effect.KEYED or repeat_time_left(call, known, now, limits) <= 0:
        return False
    if call.dedup_scope is DedupScope.ALL:
        return True
    if call.dedup_scope is DedupScope.ZONE:
        return target.zone == known.location.zone
    return (target.zone, target.cell) == (known.location.zone, known.location.cell)


def is_newer(received: RequestRecord, known: RequestRecord | None) -> bool:
    """Return whether a record of the other relay of a pair is newer than the one known here.

    Attempts of an id are counted over both relays, since each stores the other's claims. For the same attempt
    an outcome is newer than an intent. That the request ran is final.
    """
    if known is None:
        return True
    if known.run_state is RunState.RAN:
        return False
    return (
        received.run_state is RunState.RAN,
        received.attempts,
        received.run_state is RunState.NEVER_RAN,
    ) > (
        False,
        known.attempts,
        known.run_state is RunState.NEVER_RAN,
    )


def with_intent(
    known: RequestRecord | None, class_name: str, key: str, target: ServerLocation, now: Moment
) -> RequestRecord:
    """Return the record that must be durable before the first byte of an attempt is sent."""
    if known is None:
        return RequestRecord(RunState.MAY_HAVE_RUN, class_name, key, 1, now, target)
    first_sent, location = (
        (known.first_sent, known.location)
        if known.run_state is RunState.MAY_HAVE_RUN and known.first_sent
        else (now, target)
    )
    return replace(
        known,
        run_state=RunState.MAY_HAVE_RUN,
        attempts=known.attempts + 1,
        first_sent=first_sent,
        location=location,
    )


def with_outcome(
    known: RequestRecord, before: RequestRecord | None, outcome: Outcome, value: bytes | None
) -> RequestRecord:
    """Return the record after the end of an attempt.

    `before` is the record before the attempt's intent. An attempt that did not run takes back its own intent
    but no earlier one.
    """
    if outcome is Outcome.OK and value is not None:
        return replace(known, run_state=RunState.RAN, value=value)
    if outcome in NEVER_RAN:
        if before is not None and before.run_state is RunState.MAY_HAVE_RUN:
            return replace(before, attempts=known.attempts)
        return replace(known, run_state=RunState.NEVER_RAN, first_sent=None, location=None)
    return known
