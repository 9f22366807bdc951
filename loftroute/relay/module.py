"""Actor around the decision module: passes events to it, executes its actions and tracks open requests."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from loguru import logger

from loftroute import invariants
from loftroute.config import Config
from loftroute.decision import interface as i
from loftroute.protocol.catalog import Listing
from loftroute.protocol.jobs import AttemptResult, ClientRequest
from loftroute.relay.closed_requests import ClosedRequests
from loftroute.relay.members import Members
from loftroute.relay.request_log import RequestLog
from loftroute.relay.units import Attempt, Units
from loftroute.runtime.scheduler import Mailbox, Scheduler, spawn_actor

MS = 1_000_000  # nanoseconds


class Decider(Protocol):
    """The decision module: a state machine without I/O."""

    def handle(self, now: int, event: i.Event) -> list[i.Action]:
        """Process an event at the time `now` (nanoseconds) and return the actions to execute."""
        ...


class Recall(Protocol):
    """Records requests that must not run twice (`loftroute/recall/`). Optional.

    Its methods are called only for requests with side effects.
    """

    def handle_call(self, job: ClientRequest, ticket: "Ticket", waited: int) -> None:
        """Answer a request from its record, or admit it; `waited` is the time it was unread (nanoseconds)."""
        ...

    def record_intent(self, attempt: Attempt) -> None:
        """Make the intent to send durable, then call `Module.send_after_intent`."""
        ...

    def record_outcome(self, attempt: Attempt, result: AttemptResult) -> None:
        """Record the outcome of an attempt."""
        ...

    def client_gone(self, job: ClientRequest) -> None:
        """Note that the client has closed its connection."""
        ...


class Ticket(Protocol):
    """Receives the final answer of one request; exactly one method is called, once."""

    def served(self, answer: AttemptResult) -> None:
        """Send the value of a successful attempt."""
        ...

    def refused(self, retry_after_ms: int) -> None:
        """Send a refusal: the client may safely repeat the request. 0 means that no retry time is given."""
        ...

    def failed(self) -> None:
        """Send a failure; the request may have run."""
        ...


@dataclass(slots=True, eq=False)
class AdmittedRequest:
    """A request that has been admitted and has not got its final answer yet.

    Attributes:
        job: the parsed request.
        ticket: receiver of the final answer.
        deadline: time of the final answer at the latest (nanoseconds).
        attempts: attempts made so far; the index is the attempt's number.
        client_half_closed: the client has ended its sending side. The open attempt may finish, but no further
            attempt is started.
    """

    job: ClientRequest
    ticket: Ticket
    deadline: int
    attempts: list[Attempt]
    client_half_closed: bool = False


class Module:
    """Passes events to the decision module and executes the actions that it returns.

    Events that are processed together get the same time.

    Attributes:
        on_vote: called with each `Vote` action; set once the platform is attached.
        on_watch: called with each `Watch` and `Fetch` action; set at the start.
        recall: records of requests with side effects, if the product has them enabled.
        open_requests: admitted requests without a final answer, by request id.
        requests, served: number of requests admitted and of values returned.
        counters: other event counts of the state line, by name.
        request_log: the debug log of requests; None unless it is enabled.
    """

    def __init__(self, config: Config, scheduler: Scheduler, decider: Decider, units: Units) -> None:
        self._config, self._scheduler, self._decider, self._units = config, scheduler, decider, units
        self._transport = config.transport
        self.mailbox: Mailbox[i.Event] = Mailbox(scheduler, config.transport.mailbox_capacity)
        self.members = Members(config, scheduler.clock, units, self.mailbox)
        self.on_vote: Callable[[i.Vote], Any] = lambda _: None
        self.on_watch: Callable[[i.Watch | i.Fetch], Any] = lambda _: None
        self.recall: Recall | None = None
        self.request_log: RequestLog | None = None
        self.open_requests: dict[str, AdmittedRequest] = {}
        self._closed_requests = ClosedRequests(config.transport.max_closed_requests)
        self.counters: Counter[str] = Counter()
        self.requests = self.served = 0
        self._max_open, self._one_at_a_time = config.budget.open_requests, not config.settings.second_copies
        self._class_deadlines = [c.deadline for c in config.settings.classes]  # nanoseconds, by class
        self._retry_after_ms = 0
        self._started_at = scheduler.clock.now()
        self._shutdown_deadline: int | None = None  # every request is answered by then; set by a shutdown
        if config.settings.retry_after:
            self._retry_after_ms = min(config.transport.retry_after_ns, config.settings.max_retry_after) // MS
        self._max_attempts = config.settings.max_attempts
        self._latest_news: i.ReleaseNews | None = None
        self._missing_inputs: set[type] = {i.Started, i.ServerList}  # events needed before the relay is ready
        if config.control.platform:
            self._missing_inputs.add(i.ReleaseNews)
        self._executors: dict[type, Callable[[Any], Any]] = {
            i.Send: self._send,
            i.Refuse: self._refuse,
            i.Fail: self._fail,
            i.Cancel: self._cancel,
            i.SetTimer: self._set_timer,
            i.CloseIdle: self._close_idle,
            i.Vote: lambda action: self.on_vote(action),
            i.Watch: lambda action: self.on_watch(action),
            i.Fetch: lambda action: self.on_watch(action),
            i.Log: lambda action: logger.info("module: {}", action.text),
        }
        self.mailbox.put(i.Started())

    def start(self) -> None:
        """Start the actor and the check of deadlines."""
        spawn_actor(self._scheduler, "module", self.mailbox, self._run)
        self._watch_deadlines()
        self._forget_closed_requests()

    @property
    def is_ready(self) -> bool:
        """Whether the decision module has the inputs that it needs for routing.

        Without release news it treats the newest build as a trial build, so a silent platform delays
        readiness only for `first_news_timeout_ns`.
        """
        if self._missing_inputs == {i.ReleaseNews}:
            return self._scheduler.clock.now() - self._started_at >= self._transport.first_news_timeout_ns
        return not self._missing_inputs

    def _run(self) -> None:
        while True:
            events = self.mailbox.items
            while events:
                now = self._scheduler.clock.now()
                for _ in range(len(events)):
                    self._handle(now, events.popleft())
            self._scheduler.park()

    def _handle(self, now: int, event: i.Event) -> None:
        try:
            actions = self._decider.handle(now, event)
        except Exception as problem:  # an error in one decision must not stop the relay
            self.counters["module faults"] += 1
            logger.opt(exception=problem).error("decision module failed on {}", type(event).__name__)
            return
        if self._missing_inputs:
            self._missing_inputs.discard(type(event))
        for action in actions:
            self._executors.get(type(action), self._unsupported)(action)

    # ---- Events

    def handle_request(self, job: ClientRequest, ticket: Ticket, waited: int) -> None:
        """Accept a client's request; `waited` is the time that it may have been unread (nanoseconds)."""
        if self.recall is not None and self.has_side_effects(job):
            self.recall.handle_call(job, ticket, waited)
        else:
            self.admit(job, ticket, waited)

    def has_side_effects(self, job: ClientRequest) -> bool:
        """Return whether the request's class is not safe to repeat."""
        return self._config.names.effects[job.class_index] is not i.Effect.SAFE

    def admit(self, job: ClientRequest, ticket: Ticket, waited: int) -> None:
        """Admit a request without checking its record and pass it to the decision module.

        Its deadline is the client's time limit or the class's, whichever is shorter, less the time that has
        passed and the network margin.
        """
        if len(self.open_requests) >= self._max_open:
            self.counters["turned away"] += 1
            return ticket.refused(self._retry_after_ms)
        now = self._scheduler.clock.now()
        if job.id in self.open_requests or self._closed_requests.is_in_use(job.id, now):
            self.counters["id in use"] += 1
            return ticket.failed()
        left = (
            min(job.time_left, self._class_deadlines[job.class_index])
            - waited
            - self._transport.network_margin_ns
        )
        left = max(left if self._shutdown_deadline is None else min(left, self._shutdown_deadline - now), MS)
        self.open_requests[job.id] = AdmittedRequest(job, ticket, now + left, [])
        self.requests += 1
        if self.request_log:
            self.request_log.admitted(job, left)
        self.mailbox.put(job.arrival_event(left))

    def refuse_for_memory(self, ticket: Ticket) -> None:
        """Answer a command for which there is no memory; nothing of it was forwarded.

        It has no effect of its own. Where an earlier call with its id may have run, which only its record
        tells, a refusal would promise too much.
        """
        self.counters["no memory"] += 1
        self._refuse_unstarted(ticket)

    def refuse_unseen(self, ticket: Ticket) -> None:
        """Answer a command whose client may have gone, since its end could be hidden behind unread input."""
        self.counters["clients unseen"] += 1
        self._refuse_unstarted(ticket)

    def _refuse_unstarted(self, ticket: Ticket) -> None:
        if self.recall is not None:
            return ticket.failed()
        ticket.refused(self._retry_after_ms)

    def fail_unstarted(self, ticket: Ticket) -> None:
        """Answer a command that is read too late after its client's half-close to be started."""
        self.counters["clients gone"] += 1
        ticket.failed()

    def client_gone(self, job: ClientRequest) -> None:
        """Drop a request whose client has closed its connection.

        Attempts that have been sent are not aborted, so that their connections can be reused. Attempts that
        have not been sent completely are cancelled.
        """
        if self.recall is not None and self.has_side_effects(job):
            self.recall.client_gone(job)
        request = self.open_requests.get(job.id)
        if request and request.job is job:
            self._remove(job.id)
            self._log_end(job.id, "dropped, its client has gone")
            self.counters["clients gone"] += 1
            self.mailbox.put(i.ClientGone(job.id))
            self._cancel_unsent(request)

    @staticmethod
    def _cancel_unsent(request: AdmittedRequest) -> None:
        """Cancel the attempts whose last byte has not been written."""
        for attempt in request.attempts:
            if not (attempt.ended or attempt.written_at):
                attempt.cancel()

    def client_half_closed(self, job: ClientRequest) -> None:
        """Handle a half-close: the client has ended its sending side and may or may not wait for the answer.

        The result of an attempt that has been sent becomes the answer. A request without such an attempt
        fails now and is not sent any more.
        """
        request = self.open_requests.get(job.id)
        if request is None or request.job is not job or request.client_half_closed:
            return
        if any(attempt.written_at and not attempt.ended for attempt in request.attempts):
            request.client_half_closed = True
            self._log_end(job.id, "ends with its open attempt, its client may have gone")
            self.counters["clients leaving"] += 1
            return self.mailbox.put(i.ClientGone(job.id))
        self.client_gone(job)
        request.ticket.failed()

    def set_shutdown_deadline(self, when: int) -> None:
        """Limit the deadlines of requests admitted from now on, as the relay shuts down."""
        self._shutdown_deadline = when

    def answer_open_requests(self) -> None:
        """Answer all open requests at the end of a shutdown, before the process is killed.

        A request that is safe to repeat or was never sent is refused, any other fails.
        """
        for request in list(self.open_requests.values()):
            safe = self._config.names.effects[request.job.class_index] is i.Effect.SAFE
            self.withdraw(request.job, safe or not any(attempt.written_at for attempt in request.attempts))
            self._cancel_unsent(request)

    def handle_listing(self, listing: Listing) -> None:
        """Apply a list of units from discovery."""
        self.members.handle_listing(listing)

    def handle_unchanged_list(self) -> None:
        """Handle an answer of discovery that brings no change."""
        self.members.handle_unchanged_list()

    def handle_news(self, news: i.ReleaseNews) -> None:
        """Apply the release state of the platform; a lower cap stops dials that it no longer allows."""
        if news.status is i.Outcome.OK:
            previous, self._latest_news = self._latest_news, news
            if previous and (news.build != previous.build or news.cap < previous.cap):
                self._units.stop_dials(news.build)
        self.mailbox.put(news)

    def _watch_deadlines(self) -> None:
        """Fail the requests that the decision module has left without an answer at their deadline."""
        overdue_before = self._scheduler.clock.now() - self._transport.overdue_grace_ns
        self._scheduler.call_at(
            overdue_before + 3 * self._transport.overdue_grace_ns // 2, self._watch_deadlines
        )
        for request in [
            request for request in self.open_requests.values() if request.deadline < overdue_before
        ]:
            invariants.check(False, "every request is answered by its deadline")
            self._remove(request.job.id)
            self._log_end(request.job.id, "failed: overdue")
            request.ticket.failed()
            self.mailbox.put(i.ClientGone(request.job.id))

    def _attempt_ended(self, attempt: Attempt, result: AttemptResult) -> None:
        """Answer the request if the attempt succeeded, and pass the outcome to the decision module."""
        job, outcome = attempt.job, result.outcome
        request = self.open_requests.get(job.id)
        is_open = request is not None and request.job is job
        if self.recall is not None and self.has_side_effects(job):
            self.recall.record_outcome(attempt, result)
        if outcome is not i.Outcome.OK:
            self.counters[outcome.name] += 1
        elif is_open:
            self._remove(job.id, served=True)
            is_open = False
            self.served += 1
            if self.request_log:
                self.request_log.ended(job.id, "served")
            request.ticket.served(result)
        if is_open and request.client_half_closed and all(other.ended for other in request.attempts):
            self._remove(job.id)
            is_open = False
            self._log_end(job.id, "failed: its client may have gone")
            request.ticket.failed()
        # The time since the request was written excludes the dial.
        elapsed_ns = self._scheduler.clock.now() - (attempt.written_at or attempt.started_at)
        if outcome is not i.Outcome.TIMEOUT:
            # The answer may have arrived at any time since the last poll; that delay is the relay's own.
            elapsed_ns = max(elapsed_ns - self._scheduler.lag, 0)
        if self.request_log:
            self.request_log.attempt_ended(job.id, attempt.number, outcome.name, elapsed_ns)
        self.members.attempt_ended(attempt.server, outcome)
        self.mailbox.put(
            i.AttemptEnded(
                job.id, attempt.number, attempt.server, outcome, elapsed_ns, not is_open, result.load
            )
        )

    def _remove(self, request_id: str, served: bool = False) -> AdmittedRequest | None:
        """Remove and return an open request; None if the id is not open.

        The id stays in use while an attempt is out. If one may have had an effect that the client was not
        told of, which has left or got an error, it stays in use until the deadline.
        """
        request = self.open_requests.pop(request_id, None)
        if request and request.attempts:
            was_told = served and not request.client_half_closed
            until = request.deadline if not was_told and self._may_have_effect(request) else 0
            self._closed_requests.add(request_id, request.attempts, until)
        return request

    def _log_end(self, request_id: str, how: str) -> None:
        if self.request_log:
            self.request_log.ended(request_id, how)

    def _may_have_effect(self, request: AdmittedRequest) -> bool:
        """Return whether an attempt may have had an effect, which the records, if enabled, don't tell."""
        return (
            self.recall is None
            and self.has_side_effects(request.job)
            and any(attempt.may_have_run for attempt in request.attempts)
        )

    def _forget_closed_requests(self) -> None:
        now = self._scheduler.clock.now()
        self._closed_requests.forget_unused(now)
        self._scheduler.call_at(now + self._transport.forget_closed_interval_ns, self._forget_closed_requests)

    # ---- Actions

    def _send(self, action: i.Send) -> None:
        request = self.open_requests.get(action.request)
        if request is None:
            self.counters["sends after the end"] += 1
            return
        now, attempts = self._scheduler.clock.now(), request.attempts
        left = request.deadline - now
        deadline = now + (action.timeout if 0 < action.timeout < left else left)
        last_byte_by = now + action.send_within if action.send_within else 0
        attempt = Attempt(
            request.job, len(attempts), action.server, now, deadline, self._attempt_ended, last_byte_by
        )
        allowed = not (attempts and self._one_at_a_time) or all(a.ended for a in attempts)
        attempts.append(attempt)
        if self.request_log:
            self.request_log.attempt_ordered(request.job.id, attempt.number, attempt.server, deadline - now)
        if not (
            invariants.check(allowed, "one attempt of a request at a time")
            and left > 0
            and attempt.number < self._max_attempts
        ):
            return attempt.finish(AttemptResult(i.Outcome.MOOT))
        if self.recall is not None and self.has_side_effects(request.job):
            self.recall.record_intent(attempt)
        else:
            self._units.send(attempt)

    def send_after_intent(self, attempt: Attempt) -> None:
        """Send an attempt whose intent is durable, unless it is cancelled, late or no longer needed."""
        if attempt.ended:
            return
        request = self.open_requests.get(attempt.job.id)
        if (
            attempt.cancelled
            or request is None
            or request.job is not attempt.job
            or (self._scheduler.clock.now() >= attempt.deadline)
        ):
            return attempt.finish(AttemptResult(i.Outcome.MOOT))
        self._units.send(attempt)

    def withdraw(self, job: ClientRequest, harmless: bool) -> None:
        """End a request: refuse it if a repeat is `harmless`, otherwise fail it."""
        request = self.open_requests.get(job.id)
        if request is None or request.job is not job:
            return
        self._remove(job.id)
        self._log_end(job.id, "withdrawn")
        self.counters["withdrawn"] += 1
        if harmless:
            request.ticket.refused(self._retry_after_ms)
        else:
            request.ticket.failed()
        self.mailbox.put(i.ClientGone(job.id))

    def _refuse(self, action: i.Refuse) -> None:
        request = self._remove(action.request)
        if request:
            self._log_end(action.request, f"refused: {action.reason.value}")
            self.counters["refused"] += 1
            self.counters[f"refused {action.reason.value}"] += 1
            request.ticket.refused(-(-action.retry_after // MS))  # rounded up to milliseconds

    def _fail(self, action: i.Fail) -> None:
        request = self._remove(action.request)
        if request:
            self._log_end(action.request, f"failed: {action.reason.value}")
            self.counters["failed"] += 1
            self.counters[f"failed {action.reason.value}"] += 1
            request.ticket.failed()

    def _cancel(self, action: i.Cancel) -> None:
        request = self.open_requests.get(action.request)
        if request and action.attempt < len(request.attempts) and not request.attempts[action.attempt].ended:
            request.attempts[action.attempt].cancel()

    def _set_timer(self, action: i.SetTimer) -> None:
        self._scheduler.call_at(action.at, lambda: self._fire(action.token))

    def _fire(self, token: int) -> None:
        self.mailbox.put(i.TimerFired(token))

    def _close_idle(self, action: i.CloseIdle) -> None:
        unit = self._units.units.get(action.server)
        if unit:
            unit.mailbox.put("close idle")

    def _unsupported(self, action: i.Action) -> None:
        """Count an action that the relay's protocol lacks, such as a probe or a message to a peer."""
        self.counters["unsupported actions"] += 1
        logger.warning("action {} ignored: not supported on sockets", type(action).__name__)
