"""The pair on the relay's scheduler: connections to the peer, the witness and operators, and the records.

`pair/fence.py` decides which requests may be sent. This module hands it events and performs its actions.
"""

from collections import Counter, deque
from collections.abc import Callable, Iterator, Mapping
from functools import partial
from typing import Protocol

import msgpack
from loguru import logger

from loftroute.pair import wire
from loftroute.pair.connection import UNSENT_LIMIT, Connection
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
    Tick,
    WitnessAnswered,
)
from loftroute.pair.fence import PairLimits, PairMember
from loftroute.pair.messages import (
    Claim,
    ClaimAnswer,
    MemberState,
    Message,
    Mirror,
    Mode,
    SyncEnd,
    WitnessRecord,
    WitnessRequest,
)
from loftroute.pair.peer_writes import PeerWrites
from loftroute.protocol import ProtocolError
from loftroute.protocol.catalog import Address
from loftroute.runtime.scheduler import MS, Scheduler, Task
from loftroute.runtime.stream import ConnectionClosedError, DeadlineExceededError, Listener, Stream
from loftroute.store.actor import Store
from loftroute.store.plan import WriteRefusedError
from loftroute.store.records import PUT, Op, StoreError
from loftroute.store.writer import DoneCallback
from loftroute.vrrp.keyring import Keyring

SPACE = "pair"
# Multiple of the heartbeat timeout for which a relay that could not store a record of the peer has no
# connection and does not ask to be alone, so that the peer asks the witness.
STORE_FAILURE_BACKOFF = 10


class Records(Protocol):
    """The relay's records of requests, by request id. Implemented by the keeper of `recall`."""

    def conflicts(self, name: str, record: bytes) -> bool:
        """Return whether a claim of the peer must be refused: the request is open or better known here."""

    def mirror(self, name: str, record: bytes, claimed: bool, done: DoneCallback) -> None:
        """Store a record of the peer, then call `done`. A record without a claim is stored only if newer."""

    def all_records(self) -> Iterator[tuple[str, bytes]]:
        """Return all records, including those that are not durable yet."""

    def connection_lost(self) -> None:
        """Handle that no more records of the peer will come over this connection."""


class Pair:
    """This relay's part of a pair.

    Attributes:
        member: The core, which decides what may be sent.
        records: The relay's records; set before the scheduler runs.
        router_status: Returns the state of the virtual routers, for the status answer.
        start_failback: Called when an operator orders a failback.
        counters: Event counts for the state line.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        store: Store,
        name: str,
        peer_name: str,
        listen: Address,
        peer: Address,
        witness: Address | None,
        keyring: Keyring,
        limits: PairLimits,
    ) -> None:
        """Start to listen at `listen` and to connect to the peer.

        The relay whose name sorts first dials `peer`; the other one only listens. `witness` is the witness's
        address, or None without one. Raises `OSError` if `listen` cannot be bound.
        """
        self._scheduler, self._store, self._name, self._peer_name = scheduler, store, name, peer_name
        self._peer_address, self._witness_address, self._keyring, self._limits = (
            peer,
            witness,
            keyring,
            limits,
        )
        self._space = store.space(SPACE)
        self.member = PairMember(
            name, limits, witness is not None, self._load_state(), down_since=scheduler.clock.now()
        )
        self.records: Records | None = None
        self.router_status: Callable[[], list[dict[str, object]]] = lambda: []
        self.start_failback: Callable[[], None] = lambda: None
        self._claim_callbacks: dict[str, Callable[[str], None]] = {}  # by request id
        self._connection: Connection | None = None
        self._connection_number = 0  # changes whenever a connection starts or ends
        self._sync_task: Task | None = None
        self._deferred_actions: deque[Action] = deque()
        self._witness_requests: deque[WitnessRequest] = deque(maxlen=4)
        self._waiting_operators: list[Connection] = []
        self.counters: Counter[str] = Counter()
        self._listener = Listener(scheduler, listen, 16)
        self._no_link_until = 0  # ns; no connection to the peer before, see STORE_FAILURE_BACKOFF
        self._peer_writes = PeerWrites()
        scheduler.spawn("pair listener", self._listen)
        if name < peer_name:
            scheduler.spawn("pair dial", self._dial)
        self._witness_task = scheduler.spawn("pair witness", self._run_witness_client) if witness else None
        self._tick()

    def _load_state(self) -> MemberState:
        raw = self._store.get(self._space, b"standing")
        if raw is None:
            return MemberState()
        epoch, mode, synced = msgpack.unpackb(raw)
        return MemberState(epoch, Mode(mode), synced)

    # ---- interface for the keeper

    @property
    def may_send(self) -> bool:
        """Whether new requests that must not run twice are worth accepting from clients."""
        return self.member.may_send

    def claim(self, name: str, record: bytes, on_decision: Callable[[str], None]) -> None:
        """Ask whether a request may be sent; this relay's own intent must be durable.

        `name` is the request id. `on_decision` is called at most once: with "" if the request may be sent,
        else with the reason why not.
        """
        self._claim_callbacks[name] = on_decision
        self._handle(SendRequested(name, record))

    def withdraw_claim(self, name: str) -> None:
        """Drop the claim of a request that has ended; its callback is not called any more."""
        if self._claim_callbacks.pop(name, None):
            self._handle(RequestEnded(name))

    def send_mirror(self, name: str, record: bytes) -> None:
        """Send the peer the record of a request's outcome, if connected."""
        if self._connection is not None and self.member.linked:
            self._connection.send(Mirror(name, record))

    def figures(self) -> Mapping[str, object]:
        """Return the figures for the state line."""
        state = self.member.state
        return {
            "pair": f"{state.mode.value} {state.epoch}",
            "pair linked": self.member.linked,
            "pair claims": len(self.member.claims),
            **{f"pair {name}": count for name, count in self.counters.items()},
        }

    def close(self) -> None:
        """Stop listening and close the connection to the peer."""
        self._listener.close()
        if self._connection:
            self._connection.close()

    # ---- events and actions

    def _tick(self) -> None:
        self._keyring.refresh()
        self._handle(Tick())
        self._scheduler.call_at(self._scheduler.clock.now() + self._limits.retry_interval // 2, self._tick)

    def _handle(self, event: Event) -> None:
        for action in self.member.handle(self._scheduler.clock.now(), event):
            self._perform(action)

    def _perform(self, action: Action) -> None:
        """Perform an action of the core."""
        if isinstance(action, SendMessage):
            if self._sync_task is not None and not isinstance(action.message, Claim | ClaimAnswer | Mirror):
                self._deferred_actions.append(action)  # sent after the records
            elif self._connection is not None:
                self._connection.send(action.message)
        elif isinstance(action, Granted):
            self._finish_claim(action.id, "")
        elif isinstance(action, Denied):
            self.counters["denied"] += 1
            self._finish_claim(action.id, action.reason)
        elif isinstance(action, StoreRecord):
            self._store_record(action)
        elif isinstance(action, StoreState):
            self._store_state(action.state)
        elif isinstance(action, SendRecords):
            self._send_records()
        elif isinstance(action, FlushRecords):
            self._finish_flushes(self._peer_writes.flush(self._connection_number))
        elif isinstance(action, AskWitness):
            if action.request.alone and (
                self._store.stopped or self._scheduler.clock.now() < self._no_link_until
            ):
                return  # this relay could not store that it is alone; leave it to the peer
            self._witness_requests.append(action.request)
            if self._witness_task:
                self._scheduler.wake(self._witness_task)
        elif isinstance(action, PromotionRefused):
            self._report_to_operators(action.reason)

    def _finish_claim(self, name: str, reason: str) -> None:
        on_decision = self._claim_callbacks.pop(name, None)
        if on_decision:
            on_decision(reason)

    def _store_record(self, action: StoreRecord) -> None:
        """Store a record of the peer; if that fails, drop the connection so that the peer becomes alone."""
        connection_number = self._connection_number
        write_number = self._peer_writes.start()

        def done(problem: StoreError | None) -> None:
            ended_flushes = self._peer_writes.end(write_number)
            if problem is None and action.number and connection_number == self._connection_number:
                self._handle(RecordStored(action.number))
            if problem is not None and connection_number == self._connection_number and self._connection:
                logger.error("pair: cannot store a record of the peer: {}; closing the connection", problem)
                self._no_link_until = (
                    self._scheduler.clock.now() + STORE_FAILURE_BACKOFF * self._limits.heartbeat_timeout
                )
                self._connection.close()  # else the peer would take the record for durable
                self._connection_lost()
            self._finish_flushes(ended_flushes)

        assert self.records is not None
        self.records.mirror(action.id, action.record, bool(action.number), done)

    def _finish_flushes(self, connection_numbers: list[int]) -> None:
        """Complete the flushes of this connection: all records received before them are durable."""
        for connection_number in connection_numbers:
            if connection_number == self._connection_number:
                self._handle(RecordStored(0))

    def _store_state(self, state: MemberState) -> None:
        """Store the state under the key "standing"; a failure is logged and the state does not change."""
        raw = msgpack.packb((state.epoch, state.mode.value, state.synced))

        def done(problem: StoreError | None) -> None:
            if problem is not None:
                logger.error("pair: cannot store the state of this relay: {}", problem)
                return
            logger.info(
                "pair: {} in epoch {}{}",
                state.mode.value,
                state.epoch,
                ", synced" if state.synced else "",
            )
            self.counters[f"became {state.mode.value}"] += 1
            self._handle(StateStored(state))
            self._report_to_operators(f"{state.mode.value} in epoch {state.epoch}")

        try:
            self._store.submit([Op(PUT, self._space, b"standing", bytes(raw))], done)
        except WriteRefusedError as problem:
            done(problem)

    # ---- the connection to the peer

    def _listen(self) -> None:
        while True:
            stream = self._listener.accept(4096, wire.FRAME_LIMIT + 64)
            if stream is None:
                self._listener.wait()
                continue
            self._scheduler.spawn("pair connection", partial(self._serve_connection, stream, ""))

    def _dial(self) -> None:
        """Connect to the peer whenever there is no connection; run by the relay whose name sorts first."""
        clock = self._scheduler.clock
        while True:
            if self._connection is None and clock.now() >= self._no_link_until:
                try:
                    stream = Stream.dial(
                        self._scheduler,
                        self._peer_address,
                        clock.now() + self._limits.heartbeat_timeout,
                        4096,
                        wire.FRAME_LIMIT + 64,
                    )
                except (ConnectionClosedError, DeadlineExceededError):
                    pass
                else:
                    self._serve_connection(stream, self._peer_name)
            self._scheduler.sleep(min(self._limits.retry_interval, 100 * MS))

    def _serve_connection(self, stream: Stream, expected_peer: str) -> None:
        """Run a connection until it ends; `expected_peer` is the name dialled, empty if accepted.

        Whoever has the key but is not the peer is served as an operator. A new connection of the peer
        replaces the previous one.
        """
        connection = Connection(self._scheduler, stream, self._name, self._keyring.keys)
        clock, timeout = self._scheduler.clock, self._limits.heartbeat_timeout
        is_linked = False
        try:
            connection.greet(clock.now() + timeout)
            if expected_peer and connection.peer != expected_peer:
                raise ProtocolError(f"{connection.peer} answered, {expected_peer} was dialled")
            if connection.peer != self._peer_name:
                return self._serve_operator(connection)
            if clock.now() < self._no_link_until:
                return
            connection.send(wire.Heartbeat())
            first_message = connection.receive(clock.now() + timeout)  # proves that the peer has the key
            if not isinstance(first_message, wire.Heartbeat):
                raise ProtocolError("the first message is not a heartbeat")
            if self._connection is not None:
                self._connection_lost()
            self._connection, is_linked = connection, True
            self._connection_number += 1
            logger.info("pair: linked to {}", connection.peer)
            self._handle(LinkUp())
            self._send_heartbeats(connection)
            while self._connection is connection:
                self._handle_message(connection.receive(clock.now() + timeout))
        except (ConnectionClosedError, DeadlineExceededError, ProtocolError) as problem:
            self.counters["connections ended"] += 1
            if is_linked or isinstance(problem, ProtocolError):
                logger.warning("pair: connection ended: {}", str(problem) or type(problem).__name__)
        finally:
            connection.close()
            if is_linked and self._connection is connection:
                self._connection_lost()

    def _connection_lost(self) -> None:
        """Forget the connection to the peer, and stop what belongs to it."""
        self._connection = None
        self._connection_number += 1
        self._deferred_actions.clear()
        if self._sync_task is not None:
            self._scheduler.cancel(self._sync_task)
            self._sync_task = None
        if self.records is not None:
            self.records.connection_lost()
        self._handle(LinkDown())

    def _send_heartbeats(self, connection: Connection) -> None:
        """Send a heartbeat now and at a quarter of the timeout, until the connection is replaced."""
        if self._connection is connection:
            connection.send(wire.Heartbeat())
            self._scheduler.call_at(
                self._scheduler.clock.now() + self._limits.heartbeat_timeout // 4,
                lambda: self._send_heartbeats(connection),
            )

    def _handle_message(self, message: object) -> None:
        """Hand a message of the peer to the core."""
        if isinstance(message, wire.Heartbeat):
            return
        if not isinstance(message, Message):
            raise ProtocolError("unexpected kind of message from the peer")
        conflict = False
        if isinstance(message, Claim):
            assert self.records is not None
            conflict = self.records.conflicts(message.id, message.record)
            self.counters["conflicts"] += conflict
        self._handle(MessageReceived(message, conflict))

    def _send_records(self) -> None:
        """Start a task that sends all records, then `SyncEnd`; it replaces one that is still running."""
        if self._sync_task is not None:
            self._scheduler.cancel(self._sync_task)
        self._sync_task = self._scheduler.spawn(
            "pair records", partial(self._stream_records, self._connection_number)
        )

    def _stream_records(self, connection_number: int) -> None:
        """Send all records in batches, no faster than the peer reads them."""
        assert self.records is not None
        sent_count = 0
        for name, record in self.records.all_records():
            connection = self._connection
            if connection is None or connection_number != self._connection_number:
                return
            connection.send(Mirror(name, record))
            sent_count += 1
            if sent_count % 64 == 0:
                self._scheduler.sleep(MS)
                while (
                    connection.unsent_bytes > UNSENT_LIMIT // 4
                    and connection_number == self._connection_number
                ):
                    self._scheduler.sleep(5 * MS)
        self._sync_task = None
        self.counters["records sent"] += sent_count
        if self._connection is not None and connection_number == self._connection_number:
            self._connection.send(SyncEnd())
            deferred, self._deferred_actions = self._deferred_actions, deque()
            for action in deferred:
                self._perform(action)

    # ---- the witness

    def _run_witness_client(self) -> None:
        """Send queued requests to the witness, each over its own connection. Failures are not retried."""
        clock = self._scheduler.clock
        while True:
            if not self._witness_requests:
                self._scheduler.park()
                continue
            request = self._witness_requests.popleft()
            assert self._witness_address is not None
            connection = None
            try:
                stream = Stream.dial(
                    self._scheduler, self._witness_address, clock.now() + self._limits.heartbeat_timeout
                )
                connection = Connection(self._scheduler, stream, self._name, self._keyring.keys)
                connection.greet(clock.now() + self._limits.heartbeat_timeout)
                connection.send(request)
                record = connection.receive(clock.now() + self._limits.heartbeat_timeout)
                if isinstance(record, WitnessRecord):
                    self.counters["witness asked"] += 1
                    self._handle(WitnessAnswered(record))
                    if request.forced and record.holder != self._name:
                        self._report_to_operators(
                            f"the witness gave epoch {record.epoch} to {record.holder or 'the pair'}"
                        )
            except (ConnectionClosedError, DeadlineExceededError, ProtocolError) as problem:
                self.counters["witness not reached"] += 1
                if request.forced:
                    self._report_to_operators(f"the witness is not reached: {problem}")
            finally:
                if connection:
                    connection.close()

    # ---- operators

    def _serve_operator(self, connection: Connection) -> None:
        """Answer the one request of an operator's connection."""
        message = connection.receive(self._scheduler.clock.now() + self._limits.heartbeat_timeout)
        if isinstance(message, wire.StatusRequest):
            state = self.member.state
            text = msgpack.packb(
                {
                    "name": self._name,
                    "mode": state.mode.value,
                    "epoch": state.epoch,
                    "linked": self.member.linked,
                    "may_send": self.may_send,
                    "routers": self.router_status(),
                }
            )
            connection.send(wire.Report(text.hex()))
        elif isinstance(message, wire.FailbackRequest):
            self.start_failback()
            connection.send(wire.Report("what is open is finished, then the addresses are handed on"))
        elif isinstance(message, wire.PromoteRequest):
            self._waiting_operators.append(connection)
            self._handle(Promote())
            deadline = self._scheduler.clock.now() + 3 * self._limits.heartbeat_timeout
            while connection in self._waiting_operators and self._scheduler.clock.now() < deadline:
                self._scheduler.sleep(5 * MS)
            if connection in self._waiting_operators:
                self._waiting_operators.remove(connection)
                connection.send(wire.Report("no answer in time; see the log"))
        self._scheduler.sleep(20 * MS)

    def _report_to_operators(self, text: str) -> None:
        """Answer all operators that wait for the outcome of a promotion."""
        operators, self._waiting_operators = self._waiting_operators, []
        for connection in operators:
            connection.send(wire.Report(text))
