"""Messages between the two relays of a pair and their witness, and the state that a relay keeps. No I/O.

`pair/wire.py` encodes the messages; `pair/fence.py` explains epochs, claims, fencing and rejoining.
"""

from dataclasses import dataclass
from enum import Enum


class Mode(Enum):
    """The role of a relay in its pair. The values are stored and shown to operators."""

    NEW = "new"  # empty store: it does not know which requests may have run; sends nothing
    PAIRED = "paired"  # sends a request only after the peer has stored a claim
    ALONE = "alone"  # sends on its own; the witness (or an operator) gave it the epoch
    FENCED = "fenced"  # the peer is or may be alone; sends nothing


@dataclass(frozen=True, slots=True)
class MemberState:
    """The state of one relay of the pair, as it keeps it on disk.

    Attributes:
        epoch: Grows with each change between paired and alone; 0 in a new store.
        mode: The relay's role in this epoch.
        synced: Fenced: this relay has stored all records that the relay that is alone had. Alone: the relay
            is rejoining; the peer has all records, and claims go to the peer again until the witness has
            recorded that the relays are a pair.
    """

    epoch: int = 0
    mode: Mode = Mode.NEW
    synced: bool = False


# ---- messages between the two relays, in order over one connection


@dataclass(frozen=True, slots=True)
class Hello:
    """The sender's state. Sent when a connection starts and after a change of the state.

    It is not sent when the sender begins to rejoin (alone and synced); a `SyncEnd` is sent instead.
    """

    state: MemberState


@dataclass(frozen=True, slots=True)
class Claim:
    """Ask the peer to store the intent to send a request; answered by `ClaimAnswer`.

    Attributes:
        epoch: The sender's epoch; the peer accepts the claim only in the same one.
        number: Number of the claim, for the answer.
        id: The request's id (idempotency key).
        record: The request's record, which says that it may have run.
    """

    epoch: int
    number: int
    id: str
    record: bytes


@dataclass(frozen=True, slots=True)
class ClaimAnswer:
    """Whether the peer accepted a claim. If so, the claim's record is durable at the peer."""

    number: int
    accepted: bool


@dataclass(frozen=True, slots=True)
class Mirror:
    """A record for the peer to store: the outcome of a request, or one that the peer may lack."""

    id: str
    record: bytes


@dataclass(frozen=True, slots=True)
class SyncEnd:
    """End of the records that the sender had when it started to send them."""


@dataclass(frozen=True, slots=True)
class Synced:
    """Answer to `SyncEnd`: all records received before it are durable at the sender of this message."""


@dataclass(frozen=True, slots=True)
class Rejoin:
    """The sender, which was alone, is paired again in this epoch."""

    epoch: int


Message = Hello | Claim | ClaimAnswer | Mirror | SyncEnd | Synced | Rejoin


# ---- request to the witness, and its answer


@dataclass(frozen=True, slots=True)
class WitnessRequest:
    """A request of a relay to the witness. It is answered with the record that results.

    Attributes:
        name: Name of the relay that asks.
        epoch: The relay's current epoch. Epoch 0 only reads the record.
        alone: True: the relay asks to be alone in the next epoch. False: the relay is alone in this epoch and
            asks to record that the relays are a pair in the next one.
        forced: An operator ordered it because the peer is lost. The witness then gives out the next epoch
            even if the peer is alone in this one.
    """

    name: str
    epoch: int
    alone: bool
    forced: bool = False


@dataclass(frozen=True, slots=True)
class WitnessRecord:
    """The record that the witness keeps.

    Attributes:
        epoch: The latest epoch that the witness has given out; 0 before the first request.
        holder: Name of the relay that is alone in this epoch, or empty if the relays are a pair.
    """

    epoch: int
    holder: str
