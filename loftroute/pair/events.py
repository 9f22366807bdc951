"""Events that the core of a pair (`pair/fence.py`) handles and actions that it returns. No I/O."""

from dataclasses import dataclass

from loftroute.pair.messages import MemberState, Message, WitnessRecord, WitnessRequest

# ---- events


@dataclass(frozen=True, slots=True)
class LinkUp:
    """An authenticated connection to the peer is open."""


@dataclass(frozen=True, slots=True)
class LinkDown:
    """The connection to the peer has ended."""


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """A message of the peer has arrived.

    Attributes:
        message: The message.
        conflict: For a claim: this relay has the request open, or has a newer record of it.
    """

    message: Message
    conflict: bool = False


@dataclass(frozen=True, slots=True)
class WitnessAnswered:
    """The witness has answered with its record."""

    record: WitnessRecord


@dataclass(frozen=True, slots=True)
class SendRequested:
    """A request is to be sent to a unit, and this relay's own intent is durable.

    It is answered by `Granted` or `Denied` with the same id, now or later.
    """

    id: str
    record: bytes


@dataclass(frozen=True, slots=True)
class RequestEnded:
    """The request ended before its claim was answered."""

    id: str


@dataclass(frozen=True, slots=True)
class RecordStored:
    """A record of the peer is durable.

    Attributes:
        number: The number of its claim; 0 if this completes a `FlushRecords`.
    """

    number: int


@dataclass(frozen=True, slots=True)
class StateStored:
    """The state of a `StoreState` action is durable."""

    state: MemberState


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed; the caller sends this at regular intervals."""


@dataclass(frozen=True, slots=True)
class Promote:
    """An operator orders this relay to be alone, because the peer is lost."""


Event = (
    LinkUp
    | LinkDown
    | MessageReceived
    | WitnessAnswered
    | SendRequested
    | RequestEnded
    | RecordStored
    | StateStored
    | Tick
    | Promote
)


# ---- actions


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message to the peer."""

    message: Message


@dataclass(frozen=True, slots=True)
class AskWitness:
    """Send a request to the witness, then report `WitnessAnswered`."""

    request: WitnessRequest


@dataclass(frozen=True, slots=True)
class StoreRecord:
    """Store a record of the peer, then report `RecordStored` if `number` is not 0.

    Attributes:
        id: The request's id.
        record: The record.
        number: The number of its claim; 0 for a mirrored record.
    """

    id: str
    record: bytes
    number: int


@dataclass(frozen=True, slots=True)
class StoreState:
    """Store this relay's state, then report `StateStored`."""

    state: MemberState


@dataclass(frozen=True, slots=True)
class SendRecords:
    """Send all records to the peer, each as a `Mirror`, then a `SyncEnd`."""


@dataclass(frozen=True, slots=True)
class FlushRecords:
    """Make all records received so far durable, then report `RecordStored(0)`."""


@dataclass(frozen=True, slots=True)
class Granted:
    """The request may be sent to a unit."""

    id: str


@dataclass(frozen=True, slots=True)
class Denied:
    """The request must not be sent to a unit. Nothing of it was sent under this claim."""

    id: str
    reason: str


@dataclass(frozen=True, slots=True)
class PromotionRefused:
    """An operator's order is refused; `reason` is shown to the operator."""

    reason: str


Action = (
    SendMessage
    | AskWitness
    | StoreRecord
    | StoreState
    | SendRecords
    | FlushRecords
    | Granted
    | Denied
    | PromotionRefused
)
