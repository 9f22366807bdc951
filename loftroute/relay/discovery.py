"""Actor that follows the list of units by long polling.

Each call is a task with a connection of its own. The next call starts as soon as the last is answered, or
once its answer is overdue; then both stay open, and the answer to either counts (`relay/call_schedule.py`).
"""

from dataclasses import dataclass

from loguru import logger

from loftroute.config import Config
from loftroute.decision import interface as i
from loftroute.protocol import ProtocolError, catalog, http1
from loftroute.protocol.catalog import Address
from loftroute.relay.call_schedule import CallSchedule, ListCall
from loftroute.relay.list_versions import ListStanding, ListVersions
from loftroute.relay.module import Module
from loftroute.runtime.scheduler import MS, Mailbox, Scheduler, Task, spawn_actor
from loftroute.runtime.stream import ConnectionClosedError, DeadlineExceededError, Stream


@dataclass(eq=False, slots=True)
class CallAnswered:
    """A call was answered."""

    call: ListCall
    listing: catalog.Listing


@dataclass(eq=False, slots=True)
class CallFailed:
    """A call has ended without a valid answer."""

    call: ListCall
    problem: Exception


class Discovery:
    """Follows the list of units at the discovery agent.

    Depending on the settings, the watch runs from the start, or the decision module starts it by its `Watch`
    and `Fetch` actions, and again after each failure.

    Attributes:
        calls: number of calls.
        failures: number of calls that failed or whose answer was overdue.
        lists: number of lists received.
        late_lists: number of lists received on calls that had been overdue.
        versions: the version of the list.
        mailbox: orders of the decision module, and the ends of calls.
    """

    def __init__(self, config: Config, scheduler: Scheduler, module: Module) -> None:
        self._config, self._scheduler, self._module = config, scheduler, module
        self._transport = config.transport
        self._address = config.control.discovery
        self._starts_on_order = config.settings.ask_discovery
        self._schedule = CallSchedule(config.transport, self._starts_on_order)
        self.versions = ListVersions(
            config.cached_list.event.version if config.cached_list else None,
            config.transport.stale_list_grace_ns,
        )
        self._tasks: dict[ListCall, Task] = {}
        self._streams: dict[ListCall, Stream] = {}
        self._idle_stream: Stream | None = None
        self.calls = self.failures = self.lists = self.late_lists = 0
        self.mailbox: Mailbox[i.Watch | i.Fetch | CallAnswered | CallFailed] = Mailbox(
            scheduler, config.transport.mailbox_capacity
        )

    def start(self) -> None:
        """Start the actor."""
        self._task = spawn_actor(self._scheduler, "discovery", self.mailbox, self._run)

    @property
    def open_calls(self) -> int:
        """Number of calls without an answer."""
        return len(self._schedule.open_calls)

    def move(self, address: Address) -> None:
        """Follow another agent from now on, beginning with the full list.

        The calls in progress are dropped. Watches are based on versions, so no change is lost.
        """
        if address == self._address:
            return
        self._address = address
        self.versions.forget_staleness()
        self._close_calls(self._schedule.change_agent(self._scheduler.clock.now()))
        self._drop_idle_stream()
        self._scheduler.wake(self._task)

    def _run(self) -> None:
        clock, schedule = self._scheduler.clock, self._schedule
        while True:
            self._handle_messages()
            now = clock.now()
            if schedule.replace_overdue(now):
                self._report_failure(None)
            self._close_calls(schedule.take_expired(now))
            if schedule.is_due(now):
                self._start_call(now)
            if not self.mailbox.items:
                self._scheduler.park(schedule.next_event_at(now))

    def _handle_messages(self) -> None:
        """Process the orders of the decision module and the ends of calls."""
        while self.mailbox.items:
            message = self.mailbox.items.popleft()
            if isinstance(message, i.Watch):
                self._schedule.order_watch(message.enabled)
            elif isinstance(message, i.Fetch):
                self._schedule.order_fetch()
            elif message.call in self._tasks:  # it was not closed meanwhile
                self._call_ended(message)

    # ---- calls

    def _start_call(self, now: int) -> None:
        """Start the next call, and close an earlier one if there are too many."""
        if surplus := self._schedule.make_room():
            self._close_calls([surplus])
        while self._is_memory_exceeded() and (surplus := self._schedule.take_surplus()):
            self._close_calls([surplus])
        call = self._schedule.start(now, self.versions.version)
        self.calls += 1
        self._tasks[call] = self._scheduler.spawn("discovery call", lambda: self._make_call(call))

    def _is_memory_exceeded(self) -> bool:
        """Return whether the unfinished answers together take too much memory."""
        buffered_bytes = sum(len(stream.buffer.data) for stream in self._streams.values())
        return buffered_bytes > self._transport.max_unfinished_list_bytes

    def _close_calls(self, calls: list[ListCall]) -> None:
        for call in calls:
            logger.debug("discovery: call closed after {} ms", self._age_ms(call))
            self._scheduler.cancel(self._tasks.pop(call))
            self._streams.pop(call, None)

    def _age_ms(self, call: ListCall) -> int:
        return (self._scheduler.clock.now() - call.started_at) // MS

    def _make_call(self, call: ListCall) -> None:
        """Body of a call's task: make the call and tell the actor how it ended."""
        deadline = call.started_at + self._transport.call_patience_ns
        stream = self._take_idle_stream()
        end: CallAnswered | CallFailed | None = None
        try:
            stream = stream or Stream.dial(
                self._scheduler, self._address, deadline, limit=self._transport.max_document_bytes
            )
            self._streams[call] = stream
            end = CallAnswered(call, self._exchange(stream, call, deadline))
            self._keep_idle(stream)
        except (ConnectionClosedError, DeadlineExceededError, ProtocolError) as problem:
            end = CallFailed(call, problem)
        finally:  # also if the call was closed
            if stream and not isinstance(end, CallAnswered):
                stream.close()
        if end:
            self.mailbox.put(end)

    def _exchange(self, stream: Stream, call: ListCall, deadline: int) -> catalog.Listing:
        """Send the request of a call and return the list that answers it."""
        if call.is_fetch or call.known_version is None:
            target = catalog.list_target()
        else:
            target = catalog.watch_target(call.known_version, call.wait_ns // MS)
        stream.send_all([http1.encode_request("GET", target, str(self._address))], deadline)
        response = stream.receive(http1.parse_response, deadline)
        if response.status != 200:
            raise ProtocolError(f"discovery: status {response.status}")
        listing = self._config.catalog.read(response.body)
        logger.debug(
            "discovery: {} answered after {} ms with version {}, {} entries",
            target,
            self._age_ms(call),
            listing.event.version,
            len(listing.event.entries),
        )
        return listing

    def _keep_idle(self, stream: Stream) -> None:
        """Keep the connection of an answered call for the next one."""
        stream.detach()
        self._drop_idle_stream()
        self._idle_stream = stream

    def _take_idle_stream(self) -> Stream | None:
        """Return the connection that was kept, if the agent has not ended it."""
        stream, self._idle_stream = self._idle_stream, None
        if stream and stream.check_stale():
            stream.close()
            return None
        return stream

    def _drop_idle_stream(self) -> None:
        if self._idle_stream:
            self._idle_stream.close()
            self._idle_stream = None

    # ---- the ends of calls

    def _call_ended(self, message: CallAnswered | CallFailed) -> None:
        call, now = message.call, self._scheduler.clock.now()
        del self._tasks[call]
        self._streams.pop(call, None)
        if isinstance(message, CallAnswered):
            if call is not self._schedule.current:
                self.late_lists += 1
            has_changes = message.listing.event.version != call.known_version
            self._close_calls(self._schedule.answered(call, now, has_changes))
            self._apply(message.listing, call, now)
            return
        logger.debug(
            "discovery: {} after {} ms: {}",
            type(message.problem).__name__,
            self._age_ms(call),
            message.problem,
        )
        if self._schedule.failed(call, now):
            self._report_failure(message.problem)

    def _report_failure(self, problem: Exception | None) -> None:
        """Count a failed call, or one that is overdue if there is no problem.

        The decision module is told if it had ordered the call, and may order another.
        """
        self.failures += 1
        if isinstance(problem, ProtocolError) and self._schedule.failures_in_row == 1:
            logger.warning("discovery: {}; the list stays as it was", problem)
        elif problem is None:
            logger.debug("discovery: answer overdue, {} calls open", self.open_calls)
        if self._starts_on_order:
            failed = i.ServerList(i.ListKind.FAILED, self.versions.version or 0, ())
            self._module.handle_listing(catalog.Listing(failed, {}))

    def _apply(self, listing: catalog.Listing, call: ListCall, now: int) -> None:
        """Pass a list to the module unless it is stale or overtaken."""
        self.lists += 1
        event, known = listing.event, self.versions.version
        standing = self.versions.judge(event, call.known_version, now)
        if standing is ListStanding.OVERTAKEN:
            return
        if standing is ListStanding.STALE:
            # The next call may be answered without any delay, again with a stale list.
            self._schedule.delay_next_call(now + self._transport.retry_delay_ns)
            if self.versions.needs_full_list:
                self._schedule.order_fetch()
            return
        if standing is ListStanding.RENUMBERED:
            logger.warning("discovery: version {} after {}, for good", event.version, known)
            self._close_calls(self._schedule.drop_open_calls())  # their answers may have the old numbering
        if event.kind is i.ListKind.FULL or event.entries or self._starts_on_order:
            self._module.handle_listing(listing)
        else:
            self._module.handle_unchanged_list()
