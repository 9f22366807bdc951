"""Fencing of a pair of relays: which of the two may send which request to a unit.

This is a pure core. It does no I/O and reads no clock: `PairMember.handle` takes an event and the time and
returns actions. Timeouts only decide when the witness is asked; no guarantee depends on time.

Modes and epochs
    Each relay is in a `Mode` in a numbered epoch. The epoch grows with every change between "paired" and
    "alone", and a relay stores its mode and epoch durably before it acts on them. In each epoch at most one
    relay is alone, because the witness gives an epoch to one relay only.

Claims
    A paired relay may send a request that must not run twice only after the peer has accepted a claim, that
    is, has stored durably that the request may have run. A relay that is alone needs only its own durable
    intent. A fenced or new relay sends no such request.

Becoming alone
    When the connection to the peer has been down for `PairLimits.heartbeat_timeout`, a paired relay asks the
    witness. The witness changes its record from "paired in epoch E" to "alone in E+1" for the first relay
    that asks. That relay stores ALONE in E+1 and sends its pending requests. The other relay learns of this
    from the witness, or from the peer's `Hello`, and stores FENCED in E+1. An operator can order a relay to
    be alone (`Promote`), and so states that the other relay is lost; without a witness that is the only way.

Rejoining
    1. When the connection is back, the relay that is alone sends all its records. The fenced relay stores
       them, then stores FENCED with `synced`, and reports `Synced`.
    2. The relay that is alone stores ALONE with `synced`: it is rejoining, and its claims need the peer's
       answer again, also after a crash. It sends another `SyncEnd`, because it may have sent requests alone
       until then.
    3. When the peer reports `Synced` once more, it has all records. The rejoining relay asks the witness to
       record "paired in E+2", stores PAIRED in that epoch, and sends `Rejoin`. The fenced relay stores the
       same.
    If the connection ends before the witness was asked, the rejoining relay becomes alone again. If it ends
    later, that relay does not know whether the witness has recorded the pair, and must ask it again.

Why no request is sent twice
    A paired relay sends a request only after the peer has stored its claim. Whatever mode the peer is in
    later, it knows that request. A relay becomes alone in E+1 only while the witness's record is "paired in
    E". By then it has stored every claim of E that it accepted, and it accepts no further claim of E.
"""

from dataclasses import dataclass, field
from typing import NamedTuple

from loftroute.pair.events import (
    Action,
    AskWitness,
    Denied,
    Event,
    FlushRecords,
    Granted,
    LinkDown,
    LinkUp,
    MessageReceived,
    Promote,
    PromotionRefused,
    RecordStored,
    RequestEnded,
    SendMessage,
    SendRecords,
    SendRequested,
    StateStored,
    StoreRecord,
    StoreState,
    WitnessAnswered,
)
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


@dataclass(frozen=True, slots=True)
class PairLimits:
    """Limits of a pair member. They decide when the witness is asked, never which relay may send.

    Attributes:
        heartbeat_timeout: Time without a connection to the peer before the witness is asked, in nanoseconds.
        retry_interval: Minimum time between two requests to the witness, in nanoseconds.
        max_claims: Maximum number of claims that wait for the peer at once.
    """

    heartbeat_timeout: int
    retry_interval: int
    max_claims: int = 10_000


class PendingClaim(NamedTuple):
    """A claim that the peer has not answered: the request's id and its record."""

    id: str
    record: bytes


@dataclass(slots=True)
class PairMember:
    """One relay of the pair.

    Attributes:
        name: The relay's name, by which the witness knows it.
        limits: Timeouts and the limit of claims.
        has_witness: Whether there is a witness. Without one, only an operator lets a relay be alone.
        state: The durable state, which is the one acted on.
        linked: Whether there is a connection to the peer.
        peer: The state in the peer's last `Hello` of this connection.
        down_since: When the connection ended, in nanoseconds.
        asked_at: When the witness was last asked, in nanoseconds.
        claims: Claims without an answer, by number.
        last_claim_number: Number of the newest claim.
        pending_state: A state that is being stored. Claims of the peer are refused meanwhile.
        peer_has_all_records: Rejoining: the peer has all records, including those of requests that this
            relay sent alone until it began to rejoin.
        can_undo_rejoin: Rejoining: the witness was not asked yet, so it cannot have recorded the pair.
    """

    name: str
    limits: PairLimits
    has_witness: bool
    state: MemberState = field(default_factory=MemberState)
    linked: bool = False
    peer: MemberState | None = None
    down_since: int = 0
    asked_at: int = -(1 << 62)
    claims: dict[int, PendingClaim] = field(default_factory=dict)
    last_claim_number: int = 0
    pending_state: MemberState | None = None
    peer_has_all_records: bool = False
    can_undo_rejoin: bool = False

    def handle(self, now: int, event: Event) -> list[Action]:
        """Handle an event and return the actions that follow from it.

        `now` is monotonic time in nanoseconds. The caller must not hand in messages of a connection that has
        ended.
        """
        if isinstance(event, MessageReceived):
            return self._message_received(now, event)
        if isinstance(event, SendRequested):
            return self._send_requested(event)
        if isinstance(event, RequestEnded):
            self.claims = {number: claim for number, claim in self.claims.items() if claim.id != event.id}
            return []
        if isinstance(event, RecordStored):
            return self._record_stored(event)
        if isinstance(event, StateStored):
            return self._state_stored(now, event.state)
        if isinstance(event, WitnessAnswered):
            return self._witness_answered(now, event.record)
        if isinstance(event, LinkUp):
            self.linked, self.peer = True, None
            return [SendMessage(Hello(self.state))]
        if isinstance(event, LinkDown):
            return self._link_down(now)
        if isinstance(event, Promote):
            return self._promote(now)
        return self._tick(now)

    @property
    def is_rejoining(self) -> bool:
        """Whether this relay is alone but hands its claims to the peer again, on the way to a pair."""
        return self.state.mode is Mode.ALONE and self.state.synced

    @property
    def may_send(self) -> bool:
        """Whether new requests that must not run twice are worth accepting from clients.

        This only avoids requests that would be denied; whether a request may be sent is decided by `Granted`.
        """
        mode = self.state.mode
        return (mode is Mode.ALONE and not self.is_rejoining) or self._can_claim

    @property
    def _can_claim(self) -> bool:
        """Whether the peer is in the same epoch and can accept claims."""
        if not self.linked or self.peer is None or self.peer.epoch != self.state.epoch:
            return False
        return self.is_rejoining or (self.state.mode is Mode.PAIRED and self.peer.mode is Mode.PAIRED)

    @property
    def _peer_lacks_records(self) -> bool:
        """Whether the peer is fenced or new and does not yet have all records of this relay."""
        peer = self.peer
        return peer is not None and peer.mode in (Mode.FENCED, Mode.NEW) and not peer.synced

    # ---- claims

    def _send_requested(self, event: SendRequested) -> list[Action]:
        """Grant a request at once if alone, deny it if fenced or new, else claim it at the peer.

        Without a connection the claim waits: it is sent after the next `Hello`, or granted if this relay
        becomes alone.
        """
        mode = self.state.mode
        if mode is Mode.ALONE and not self.is_rejoining:
            mirror: list[Action] = (
                [SendMessage(Mirror(event.id, event.record))] if self.linked and self.peer else []
            )
            return [Granted(event.id), *mirror]
        if mode is Mode.FENCED or mode is Mode.NEW:
            return [Denied(event.id, "the other relay may be alone")]
        if len(self.claims) >= self.limits.max_claims:
            return [Denied(event.id, "too many claims are waiting for the other relay")]
        self.last_claim_number += 1
        self.claims[self.last_claim_number] = PendingClaim(event.id, event.record)
        return [self._send_claim(self.last_claim_number)] if self.linked and self.peer is not None else []

    def _send_claim(self, number: int) -> Action:
        claim = self.claims[number]
        return SendMessage(Claim(self.state.epoch, number, claim.id, claim.record))

    def _claim_received(self, claim: Claim, conflict: bool) -> list[Action]:
        """Accept a claim of the peer, or refuse it.

        It is accepted only in the epoch in which it was made, while this relay is paired, or fenced and
        synced, and if no record here conflicts with it. The answer is sent when its record is durable.
        """
        mode = self.state.mode
        accepts_claims = mode is Mode.PAIRED or (mode is Mode.FENCED and self.state.synced)
        if (
            conflict
            or not accepts_claims
            or claim.epoch != self.state.epoch
            or self.pending_state is not None
        ):
            return [SendMessage(ClaimAnswer(claim.number, False))]
        return [StoreRecord(claim.id, claim.record, claim.number)]

    def _claim_answered(self, answer: ClaimAnswer) -> list[Action]:
        """Grant or deny a request by the peer's answer. A claim that was dropped meanwhile is ignored."""
        claim = self.claims.pop(answer.number, None)
        if claim is None:
            return []
        if answer.accepted:
            return [Granted(claim.id)]
        return [Denied(claim.id, "the other relay did not accept the claim")]

    def _record_stored(self, event: RecordStored) -> list[Action]:
        """Answer the claim whose record is durable, or complete a flush."""
        if event.number:
            return [SendMessage(ClaimAnswer(event.number, True))] if self.linked else []
        return self._peer_records_stored()

    # ---- connecting and rejoining

    def _message_received(self, now: int, event: MessageReceived) -> list[Action]:
        message = event.message
        if isinstance(message, Hello):
            return self._hello_received(message.state)
        if isinstance(message, Claim):
            return self._claim_received(message, event.conflict)
        if isinstance(message, ClaimAnswer):
            return self._claim_answered(message)
        if isinstance(message, Mirror):
            return [StoreRecord(message.id, message.record, 0)]
        if isinstance(message, SyncEnd):
            return [FlushRecords()]
        if isinstance(message, Synced):
            return self._peer_synced(now)
        return self._rejoin_received(message.epoch)

    def _hello_received(self, peer: MemberState) -> list[Action]:
        """Handle the peer's state. At the start of a connection each relay sends all its records."""
        is_first_hello, self.peer, own = self.peer is None, peer, self.state
        actions: list[Action] = [SendRecords()] if is_first_hello or self._peer_lacks_records else []
        if peer.mode is Mode.ALONE and peer.epoch > own.epoch:
            # The peer became alone in a later epoch while there was no connection.
            actions += self._store_state(MemberState(peer.epoch, Mode.FENCED))
        elif peer.mode is own.mode is Mode.ALONE and peer.epoch == own.epoch:
            # Only possible after wrong orders of operators: both relays stop sending.
            actions += self._store_state(MemberState(own.epoch, Mode.FENCED))
        if self._can_claim:
            actions += [self._send_claim(number) for number in self.claims]
        return actions

    def _peer_records_stored(self) -> list[Action]:
        """Handle that all records the peer sent before its `SyncEnd` are durable here.

        A fenced relay is synced now. A fenced or new relay may even become paired if the peer is paired: the
        peer sends no request without an accepted claim, so this relay has every record that matters.
        """
        if not self.linked or self.peer is None:
            return []
        state, peer = self.pending_state or self.state, self.peer
        if state.mode is Mode.FENCED and peer.mode is Mode.ALONE and not state.synced:
            return self._store_state(MemberState(state.epoch, Mode.FENCED, True))
        if state.mode in (Mode.FENCED, Mode.NEW) and peer.mode is Mode.PAIRED and peer.epoch >= state.epoch:
            return self._store_state(MemberState(peer.epoch, Mode.PAIRED))
        return [SendMessage(Synced())] if self.pending_state is None else []

    def _peer_synced(self, now: int) -> list[Action]:
        """Handle that the peer has stored all records up to this relay's last `SyncEnd`."""
        own, peer = self.state, self.peer
        if peer is None:
            return []
        if self.is_rejoining:
            self.peer_has_all_records = True
            return self._ask_witness(now, alone=False)
        if own.mode is Mode.ALONE:
            # Begin to rejoin. Stored first, so that claims need the peer's answer even after a crash.
            return self._store_state(MemberState(own.epoch, Mode.ALONE, True))
        if own.mode is Mode.NEW and peer.mode is Mode.NEW:
            return self._store_state(MemberState(1, Mode.PAIRED))
        return []

    def _rejoin_received(self, epoch: int) -> list[Action]:
        """Become paired in the epoch that the peer has rejoined in."""
        own = self.state
        if own.mode is Mode.FENCED and own.synced and epoch > own.epoch:
            return self._store_state(MemberState(epoch, Mode.PAIRED))
        return []

    def _store_state(self, state: MemberState) -> list[Action]:
        """Have a state stored; it takes effect with `StateStored`."""
        self.pending_state = state
        return [StoreState(state)]

    def _state_stored(self, now: int, state: MemberState) -> list[Action]:
        """Switch to a state that is durable now."""
        if state != self.pending_state:
            return []
        before, self.state, self.pending_state = self.state, state, None
        actions: list[Action] = []
        if self.is_rejoining:
            # Requests granted alone until now were mirrored before this `SyncEnd`. When the peer reports
            # `Synced` for it, the peer has all records.
            self.peer_has_all_records, self.can_undo_rejoin = False, True
            return [SendMessage(SyncEnd())] if self.linked else self._link_down(now)
        self.peer_has_all_records = False
        if state.mode is Mode.ALONE:
            actions += self._settle_claims(granted=True)
        elif state.mode is Mode.FENCED:
            actions += self._settle_claims(granted=False)
            if state.synced and self.linked:
                actions.append(SendMessage(Synced()))
        if before.mode is Mode.ALONE and state.mode is Mode.PAIRED and self.linked:
            actions.append(SendMessage(Rejoin(state.epoch)))
        if self.linked:
            actions.append(SendMessage(Hello(state)))
            if state.mode is Mode.ALONE or (state.mode is Mode.PAIRED and self._peer_lacks_records):
                actions.append(SendRecords())
        return actions

    def _settle_claims(self, granted: bool) -> list[Action]:
        """Grant or deny all claims that wait for the peer."""
        claims, self.claims = self.claims, {}
        return [
            Granted(claim.id) if granted else Denied(claim.id, "this relay was fenced")
            for claim in claims.values()
        ]

    # ---- becoming alone

    def _link_down(self, now: int) -> list[Action]:
        """Handle the end of the connection; undo a rejoin that the witness cannot have recorded."""
        self.linked, self.peer, self.down_since = False, None, now
        if self.is_rejoining and self.can_undo_rejoin and self.pending_state is None:
            return self._store_state(MemberState(self.state.epoch, Mode.ALONE))
        return []

    def _tick(self, now: int) -> list[Action]:
        """Ask the witness if it is time to."""
        mode = self.state.mode
        if (
            not self.has_witness
            or now - self.asked_at < self.limits.retry_interval
            or self.pending_state is not None
        ):
            return []
        if self.is_rejoining and self.peer_has_all_records:
            # The witness may or may not have recorded the pair; asking again is harmless.
            return self._ask_witness(now, alone=False)
        if (self.linked or self.is_rejoining) and not self._can_claim:
            # An answer of the witness may have been lost: read the record (epoch 0 changes nothing).
            self.asked_at = now
            return [AskWitness(WitnessRequest(self.name, 0, False))]
        if self.linked or now - self.down_since < self.limits.heartbeat_timeout:
            return []
        # A fenced and synced relay asks too: the witness may have recorded that the relays are a pair again.
        if mode is Mode.PAIRED or (mode is Mode.FENCED and self.state.synced):
            return self._ask_witness(now, alone=True)
        return []

    def _ask_witness(self, now: int, alone: bool, forced: bool = False) -> list[Action]:
        """Ask the witness for the next epoch; without a witness, take it."""
        self.asked_at = now
        self.can_undo_rejoin = False
        if not self.has_witness:
            if alone:  # ordered by an operator
                return self._store_state(MemberState(self.state.epoch + 1, Mode.ALONE))
            return self._store_state(MemberState(self.state.epoch + 1, Mode.PAIRED))
        return [AskWitness(WitnessRequest(self.name, self.state.epoch, alone, forced))]

    def _witness_answered(self, now: int, record: WitnessRecord) -> list[Action]:
        """Follow the witness's record. An answer with an older epoch than this relay's is ignored."""
        own = self.state
        if self.pending_state is not None or record.epoch < own.epoch:
            return []
        if record.holder == self.name:
            if own.mode is not Mode.ALONE and record.epoch == own.epoch + 1:
                return self._store_state(MemberState(record.epoch, Mode.ALONE))
            return []
        if record.holder:
            if record.epoch > own.epoch or own.mode is Mode.ALONE:
                return self._store_state(MemberState(record.epoch, Mode.FENCED))
            return []
        if record.epoch == own.epoch + 1 and (
            own.mode is Mode.ALONE or (own.mode is Mode.FENCED and own.synced)
        ):
            return self._store_state(MemberState(record.epoch, Mode.PAIRED))
        return []

    def _promote(self, now: int) -> list[Action]:
        """Handle an operator's order to be alone; refused while the peer is connected."""
        if self.linked:
            return [PromotionRefused("the other relay is heard")]
        if self.state.mode is Mode.ALONE:
            return [PromotionRefused("this relay is alone already")]
        if self.state.mode is Mode.NEW:
            return [PromotionRefused("this relay's store is new: it knows nothing of what was sent")]
        return self._ask_witness(now, alone=True, forced=True)


@dataclass(slots=True)
class Witness:
    """The witness: gives each epoch to one relay, or to the pair.

    Attributes:
        record: The record that is durable.
    """

    record: WitnessRecord = field(default_factory=lambda: WitnessRecord(0, ""))

    def decide(self, request: WitnessRequest) -> WitnessRecord:
        """Return the record that should follow from a request; the same one if nothing changes.

        The caller makes it durable, assigns it to `record`, and only then answers with it.
        """
        current = self.record
        if current.epoch == 0 and request.epoch >= 1:
            # The first request: the relays became a pair without the witness.
            current = WitnessRecord(request.epoch, "" if request.alone else request.name)
        if request.alone:
            if not current.holder and request.epoch == current.epoch:
                return WitnessRecord(current.epoch + 1, request.name)
            if not current.holder and request.epoch + 1 == current.epoch:
                # The relay has not heard that the relays are a pair again; the record tells it.
                return current
            if request.forced and current.holder != request.name and request.epoch == current.epoch:
                return WitnessRecord(current.epoch + 1, request.name)
            return current
        if current.holder == request.name and request.epoch == current.epoch:
            return WitnessRecord(current.epoch + 1, "")
        return current
