"""Recall on the relay: stores intents and outcomes of attempts, and gives one answer to all calls of an id.

It sits between the front ends and `Module.admit`, for requests that must not run twice. `recall/decisions.py`
decides what to do; the records are stored in the store's space `recall`.
"""

from collections import Counter
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field
from typing import Protocol

from loguru import logger

from loftroute import invariants
from loftroute.config import Config
from loftroute.decision import interface as i
from loftroute.protocol.jobs import AttemptResult, ClientRequest
from loftroute.recall import decisions
from loftroute.recall.decisions import (
    CallAction,
    Decision,
    RecallLimits,
    RecallUsage,
    RequestRecord,
    RunState,
    ServerLocation,
)
from loftroute.recall.unsaved import UnsavedOutcomes
from loftroute.relay.module import Module, Ticket
from loftroute.relay.units import Attempt
from loftroute.runtime.clock import current_moment
from loftroute.runtime.scheduler import MS, Scheduler, Timer
from loftroute.store.actor import Store
from loftroute.store.plan import WriteRefusedError
from loftroute.store.records import PUT, Op, StoreError
from loftroute.store.writer import DoneCallback

SPACE = "recall"  # name of the store's space
UNSAVED_RETRY_INTERVAL = 100 * MS
OPEN_AT_PEER_LIMIT = 10_000  # ids that are open at the other relay and that calls may wait for here


class PeerRelay(Protocol):
    """The other relay of a pair (`loftroute/pair/`). A relay that is not in a pair has none."""

    @property
    def may_send(self) -> bool:
        """Return whether this relay may send attempts of requests with side effects."""
        ...

    def claim(self, request_id: str, record: bytes, on_decided: Callable[[str], None]) -> None:
        """Claim a request id with its durable intent.

        `on_decided` is called once: with "" if the attempt may be sent, else with the reason why not.
        """
        ...

    def withdraw_claim(self, request_id: str) -> None:
        """Withdraw the claim of an id; its callback is not called any more."""
        ...

    def send_mirror(self, request_id: str, record: bytes) -> None:
        """Send the record of an id to the other relay."""
        ...


class ServerLocations(Protocol):
    """Where units are located, according to the discovery list."""

    def location(self, server: int) -> ServerLocation:
        """Return the location of a unit."""
        ...


@dataclass(slots=True, eq=False)
class Waiter:
    """A call that waits for the answer of an earlier call with the same id.

    Attributes:
        deadline: Scheduler time at which the call fails, in nanoseconds.
        timer: Fires at the deadline.
    """

    job: ClientRequest
    ticket: Ticket
    deadline: int
    timer: Timer | None = None


@dataclass(slots=True, eq=False)
class OpenRequest:
    """A request that this process has admitted and that is not finished.

    Attributes:
        job: The first call of the id.
        known: The newest record, durable or not; None before the first intent.
        answered: The final answer was given, or the first client is gone.
        attempts_open: Number of attempts that have not ended.
        before: By attempt number, the record before the attempt's intent.
        joined: Further calls with the id.
    """

    job: ClientRequest
    known: RequestRecord | None
    answered: bool = False
    attempts_open: int = 0
    before: dict[int, RequestRecord | None] = field(default_factory=dict)
    joined: list[Waiter] = field(default_factory=list)


class SharedTicket:
    """Ticket of a request: passes the answer to the first call and to all that joined it."""

    __slots__ = ("_keeper", "_live", "_ticket")

    def __init__(self, keeper: "Keeper", live: OpenRequest, ticket: Ticket) -> None:
        self._keeper, self._live, self._ticket = keeper, live, ticket

    def served(self, answer: AttemptResult) -> None:
        """Answer all calls with a value."""
        self._keeper.mark_answered(self._live)
        self._ticket.served(answer)
        self._keeper.answer_joined(self._live, lambda ticket: ticket.served(answer))

    def refused(self, retry_after_ms: int) -> None:
        """Refuse all calls; their clients may try again after `retry_after_ms`."""
        self._keeper.mark_answered(self._live)
        self._ticket.refused(retry_after_ms)
        self._keeper.answer_joined(self._live, lambda ticket: ticket.refused(retry_after_ms))

    def failed(self) -> None:
        """Answer all calls with a failure."""
        self._keeper.mark_answered(self._live)
        self._ticket.failed()
        self._keeper.answer_joined(self._live, lambda ticket: ticket.failed())


class Keeper:
    """Remembers the requests of one relay that must not run twice.

    Implements the protocol `Recall` of `relay/module.py`.

    Attributes:
        pair: The other relay of the pair; None if there is none.
        counters: Counts of decisions and events by name.
    """

    def __init__(
        self,
        config: Config,
        scheduler: Scheduler,
        module: Module,
        store: Store,
        limits: RecallLimits,
        keep_ns: int,
        max_joined: int,
        retry_after_ns: int,
        locations: ServerLocations,
    ) -> None:
        """Open the store's space, which blocks if it is new.

        Records are kept for `keep_ns`, refused clients are asked to wait for `retry_after_ns`, and at most
        `max_joined` calls may wait for one request.
        """
        self._config, self._scheduler, self._module, self._store = config, scheduler, module, store
        self._limits, self._keep_ns, self._max_joined, self._locations = (
            limits,
            keep_ns,
            max_joined,
            locations,
        )
        self._retry_after_ms = retry_after_ns // MS
        self._space = store.space(SPACE)
        self._live: dict[str, OpenRequest] = {}
        # Records that are not durable yet: the newest one by id, and the number of writes in progress.
        self._unsynced: dict[str, tuple[RequestRecord, int]] = {}
        self._unsaved = UnsavedOutcomes()
        self._unsaved_timer: Timer | None = None
        self.pair: PeerRelay | None = None
        # Ids that are open at the other relay, with the calls that wait for them here.
        self._open_at_peer: dict[str, list[Waiter]] = {}
        self.counters: Counter[str] = Counter()

    def figures(self) -> Mapping[str, object]:
        """Return the figures for the relay's state line."""
        requests, size = self._store.usage(self._space)
        return {
            "recalled": requests,
            "recall bytes": size,
            "recall live": len(self._live),
            "recall unsaved outcomes": len(self._unsaved),
            "recall lost outcomes": self._unsaved.lost,
            **{f"recall {name}": number for name, number in self.counters.items()},
        }

    def close(self) -> None:
        """Do nothing: the store is closed on its own."""
        ...

    # ---- calls

    def handle_call(self, job: ClientRequest, ticket: Ticket, waited: int) -> None:
        """Handle a call with side effects according to what is known of its id.

        `waited` is how long the call may have been waiting unread, in nanoseconds.
        """
        live = self._live.get(job.id)
        if live is not None:
            return self._join(live, job, ticket, waited)
        waiters = self._open_at_peer.get(job.id)
        if waiters is not None and len(waiters) < self._max_joined:
            return self._wait_for_peer(waiters, job, ticket, waited)
        try:
            known = self._known(job.id)
        except (StoreError, ValueError) as problem:  # whether the request ran is unknown
            logger.error("recall: a call fails since the record of its id can't be read: {}", problem)
            self.counters["unreadable"] += 1
            return ticket.failed()
        call = self._config.settings.classes[job.class_index]
        decision = decisions.decide(
            call, job.key, known, current_moment(self._store.boot), self._limits, self._usage()
        )
        self._execute(decision, job, ticket, waited)

    def _execute(self, decision: Decision, job: ClientRequest, ticket: Ticket, waited: int) -> None:
        """Do what was decided for a call."""
        self.counters[decision.action.value] += 1
        if decision.action is CallAction.ANSWER and decision.record:
            return ticket.served(AttemptResult(i.Outcome.OK, memoryview(decision.record.value)))
        if decision.action is CallAction.FAIL:
            return ticket.failed()
        if decision.action is CallAction.REFUSE:
            return ticket.refused(self._retry_after_ms)
        if decision.time_left is not None:
            job.time_left = min(job.time_left, decision.time_left)
        live = self._live[job.id] = OpenRequest(job, decision.record)
        self._module.admit(job, SharedTicket(self, live, ticket), waited)

    def _known(self, request_id: str) -> RequestRecord | None:
        """Return the newest record of an id, durable or not.

        Raises:
            StoreError: The record cannot be read.
            ValueError: The stored bytes are not a record.
        """
        if unsaved := self._unsaved.get(request_id):
            return unsaved
        if request_id in self._unsynced:
            return self._unsynced[request_id][0]
        raw = self._store.get(self._space, request_id.encode())
        return decisions.unpack(raw) if raw is not None else None

    def _usage(self) -> RecallUsage:
        """Return the usage of the space, with the open requests counted as records."""
        requests, size = self._store.usage(self._space)
        writable = not self._store.stopped and (self.pair is None or self.pair.may_send)
        return RecallUsage(requests + len(self._live), size, writable)

    def _wait_for_peer(self, waiters: list[Waiter], job: ClientRequest, ticket: Ticket, waited: int) -> None:
        """Have a call wait for the outcome of a request that is open at the other relay."""
        self.counters["joined elsewhere"] += 1
        self._wait(waiters, job, ticket, waited)

    def _wait(self, waiters: list[Waiter], job: ClientRequest, ticket: Ticket, waited: int) -> None:
        """Add a call to those that wait for an answer. It fails at its own deadline."""
        left = min(job.time_left, self._config.settings.classes[job.class_index].deadline) - waited
        deadline = self._scheduler.clock.now() + max(left - self._config.transport.network_margin_ns, MS)
        waiter = Waiter(job, ticket, deadline)

        def expire() -> None:
            if waiter in waiters:
                waiters.remove(waiter)
                waiter.ticket.failed()

        waiter.timer = self._scheduler.call_at(deadline, expire)
        waiters.append(waiter)

    def _retry_waiters(self, request_id: str) -> None:
        """Handle the calls that waited for an id again, now that it is not open at the other relay."""
        for waiter in self._open_at_peer.pop(request_id, []):
            self._retry_call(waiter)

    def connection_lost(self) -> None:
        """Handle all calls that wait for the other relay again: no outcome will come from it."""
        for request_id in list(self._open_at_peer):
            self._retry_waiters(request_id)

    def _retry_call(self, waiter: Waiter) -> None:
        """Handle a waiting call again, with the time that it has left."""
        if waiter.timer:
            waiter.timer.cancel()
        waiter.job.time_left = max(waiter.deadline - self._scheduler.clock.now(), MS)
        self.handle_call(waiter.job, waiter.ticket, 0)

    def _join(self, live: OpenRequest, job: ClientRequest, ticket: Ticket, waited: int) -> None:
        """Have a call wait for the answer of the open request with its id."""
        if (
            len(live.joined) >= self._max_joined
            or job.class_index != live.job.class_index
            or job.key != live.job.key
        ):
            self.counters["not joined"] += 1
            return ticket.failed()
        self.counters["joined"] += 1
        self._wait(live.joined, job, ticket, waited)

    # ---- answers

    def mark_answered(self, live: OpenRequest) -> None:
        """Note that the final answer of a request was given."""
        live.answered = True
        self._finish_if_done(live)

    def answer_joined(self, live: OpenRequest, answer: Callable[[Ticket], None]) -> None:
        """Answer all calls that joined a request."""
        joined, live.joined = live.joined, []
        for waiter in joined:
            if waiter.timer:
                waiter.timer.cancel()
            answer(waiter.ticket)

    def client_gone(self, job: ClientRequest) -> None:
        """Drop a call whose client has left. Attempts that were sent continue, and their outcome is kept."""
        live = self._live.get(job.id)
        if live is None:
            waiters = self._open_at_peer.get(job.id, [])
            waiters[:] = [waiter for waiter in waiters if waiter.job is not job]
            return
        if live.job is job:
            live.answered = True
            return self._finish_if_done(live)
        for waiter in [other for other in live.joined if other.job is job]:
            live.joined.remove(waiter)
            if waiter.timer:
                waiter.timer.cancel()

    def _finish_if_done(self, live: OpenRequest) -> None:
        """Stop tracking a request that is answered and has no open attempts. Its record remains."""
        if not live.answered or live.attempts_open or self._live.get(live.job.id) is not live:
            return
        del self._live[live.job.id]
        if live.joined:  # the first client left before the attempt ended
            self._scheduler.call_at(0, lambda: self._retry_joined(live))

    def _retry_joined(self, live: OpenRequest) -> None:
        """Handle the calls that joined a request again; its record now has the outcome."""
        joined, live.joined = live.joined, []
        for waiter in joined:
            self._retry_call(waiter)

    # ---- attempts

    def record_intent(self, attempt: Attempt) -> None:
        """Store the intent of an attempt. The attempt is sent when the intent is durable."""
        live, job = self._live.get(attempt.job.id), attempt.job
        if not invariants.check(live is not None and live.job is job, "an attempt belongs to a live request"):
            return attempt.finish(AttemptResult(i.Outcome.MOOT))
        assert live is not None
        call, now = self._config.settings.classes[job.class_index], current_moment(self._store.boot)
        target, known = self._locations.location(attempt.server), live.known
        live.attempts_open += 1
        live.before[attempt.number] = known
        if (
            known
            and known.run_state is RunState.MAY_HAVE_RUN
            and not decisions.may_repeat_at(call, known, target, now, self._limits)
        ):
            self.counters["kept from other groups"] += 1
            return attempt.finish(AttemptResult(i.Outcome.MOOT))
        live.known = decisions.with_intent(known, call.name, job.key, target, now)
        self._write(job.id, live.known, lambda problem: self._intent_durable(live, attempt, problem))

    def _intent_durable(self, live: OpenRequest, attempt: Attempt, problem: StoreError | None) -> None:
        """Send the attempt, or first claim its id at the other relay. `problem` is the error of the write."""
        if problem is None and self.pair is not None and not attempt.ended and live.known is not None:
            self.pair.claim(
                live.job.id, live.known.pack(), lambda reason: self._claim_decided(live, attempt, reason)
            )
            self._scheduler.call_at(attempt.deadline, lambda: self._claim_expired(attempt))
        elif problem is None:
            self._module.send_after_intent(attempt)
        else:
            self._abandon_attempt(live, attempt)

    def _claim_decided(self, live: OpenRequest, attempt: Attempt, reason: str) -> None:
        """Send the attempt if its claim was granted; otherwise `reason` says why it must not be sent."""
        if not reason:
            return self._module.send_after_intent(attempt)
        self.counters["kept back"] += 1
        self._abandon_attempt(live, attempt)

    def _claim_expired(self, attempt: Attempt) -> None:
        """Withdraw a claim that was not answered by the attempt's deadline, and abandon the attempt."""
        live = self._live.get(attempt.job.id)
        if self.pair is not None and not attempt.written_at and live is not None and live.job is attempt.job:
            self.pair.withdraw_claim(attempt.job.id)
            if not attempt.ended and attempt.connection is None and attempt.number in live.before:
                self._abandon_attempt(live, attempt)

    def _abandon_attempt(self, live: OpenRequest, attempt: Attempt) -> None:
        """End an attempt that must not be sent, and answer its request."""
        self.counters["intents not safe"] += 1
        before = live.before.get(attempt.number)
        self._module.withdraw(live.job, before is None or before.run_state is not RunState.MAY_HAVE_RUN)
        if not attempt.ended:
            attempt.finish(AttemptResult(i.Outcome.MOOT))

    def record_outcome(self, attempt: Attempt, result: AttemptResult) -> None:
        """Store the outcome of an attempt; one that cannot be written is kept until the store takes it.

        The client's answer need not wait until the outcome is durable: after a crash the intent alone keeps
        the request from being sent as if it had not run.
        """
        live = self._live.get(attempt.job.id)
        if live is None or live.job is not attempt.job or attempt.number not in live.before:
            return
        before = live.before.pop(attempt.number)
        live.attempts_open -= 1
        if live.known is not None:
            value = bytes(result.value) if result.value is not None else None
            after = decisions.with_outcome(live.known, before, result.outcome, value)
            if after is not live.known:
                live.known = after
                self._write_outcome(live.job.id, after)
            if self.pair is not None:
                self.pair.send_mirror(live.job.id, after.pack())
        if live.answered:
            self._finish_if_done(live)

    def _write_outcome(self, request_id: str, record: RequestRecord) -> None:
        """Store the outcome of an attempt, or keep it if that fails."""

        def done(problem: StoreError | None) -> None:
            is_superseded = request_id in self._unsynced  # writes end in order, so that one is newer
            if problem is not None and not is_superseded:
                self._keep_unsaved(request_id, record)

        if not self._write(request_id, record, done):
            self._keep_unsaved(request_id, record)

    def _keep_unsaved(self, request_id: str, record: RequestRecord) -> None:
        self._unsaved.keep(request_id, record)
        self._schedule_unsaved()

    def _schedule_unsaved(self) -> None:
        if self._unsaved_timer is None:
            due_at = self._scheduler.clock.now() + UNSAVED_RETRY_INTERVAL
            self._unsaved_timer = self._scheduler.call_at(due_at, self._write_unsaved)

    def _write_unsaved(self) -> None:
        """Write the outcomes that were kept, once the store takes writes."""
        self._unsaved_timer = None
        if not self._store.stopped:
            for request_id, record in self._unsaved.items():
                self._write_outcome(request_id, record)
        if len(self._unsaved):
            self._schedule_unsaved()

    def _write(self, request_id: str, record: RequestRecord, done: DoneCallback) -> bool:
        """Store a record. Calls are decided by it at once, before it is durable.

        Returns False if the store refused it; `done` was called then.
        """
        writes = self._unsynced.get(request_id, (record, 0))[1]

        def on_written(problem: StoreError | None) -> None:
            newest, writes_left = self._unsynced[request_id]
            if writes_left > 1:
                self._unsynced[request_id] = (newest, writes_left - 1)
            else:
                del self._unsynced[request_id]
            done(problem)

        op = Op(PUT, self._space, request_id.encode(), record.pack(), self._store.now + self._keep_ns)
        try:
            self._store.submit([op], on_written)
        except WriteRefusedError as problem:
            self.counters["writes refused"] += 1
            done(problem)
            return False
        self._unsynced[request_id] = (record, writes + 1)
        self._unsaved.discard(request_id)  # older
        return True

    # ---- the other relay's records

    def conflicts(self, request_id: str, record: bytes) -> bool:
        """Return whether a claim of the other relay must be refused.

        It must if the id is open here, or if the record here is as new as the claim or cannot be read.
        """
        try:
            claimed, known = decisions.unpack(record), self._known(request_id)
        except (StoreError, ValueError):
            return True
        return request_id in self._live or not decisions.is_newer(claimed, known)

    def mirror(self, request_id: str, record: bytes, claimed: bool, done: DoneCallback) -> None:
        """Store a record of the other relay, if it is newer than the one here.

        `claimed` marks a claim, which is always stored; calls with the id then wait for its outcome.
        `done` is called once, with None when the record is durable or not needed, else with the error.
        """
        try:
            received, known = decisions.unpack(record), self._known(request_id)
        except (StoreError, ValueError) as problem:
            return done(StoreError(str(problem)))
        live = self._live.get(request_id)
        if not claimed and (live is not None or not decisions.is_newer(received, known)):
            self._retry_waiters(request_id)
            return done(None)
        self.counters["mirrored"] += 1
        self._write(request_id, received, done)
        if claimed and len(self._open_at_peer) < OPEN_AT_PEER_LIMIT:
            self._open_at_peer.setdefault(request_id, [])
        elif not claimed:
            self._retry_waiters(request_id)

    def all_records(self) -> Iterator[tuple[str, bytes]]:
        """Yield the ids and records that are stored, then those that are not durable yet or could not be."""
        for key, value in self._store.engine.scan(self._space, b"", self._store.now):
            yield key.decode(), value
        for request_id, (record, _) in list(self._unsynced.items()):
            yield request_id, record.pack()
        for request_id, record in self._unsaved.items():
            yield request_id, record.pack()
