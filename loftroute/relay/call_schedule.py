"""Decides when a call to the discovery agent starts and which calls stay open. No input or output.

A call whose answer is overdue is followed by another one, but stays open. The agent may have fallen silent
and answer new calls only, or be slow and answer every call late; the relay can't tell which, and hears both.

Times are nanoseconds of the scheduler's clock.
"""

from dataclasses import dataclass

from loftroute.transport import Transport


@dataclass(eq=False, slots=True)
class ListCall:
    """A call for a list.

    Attributes:
        started_at: when it was started, before the connection was opened.
        wait_ns: how long the agent is asked to wait for a change; 0 for the full list.
        fetch_orders: number of orders for the full list that its answer fulfils; None for a watch.
        known_version: version of the list that the relay had at the start; None without a list.
    """

    started_at: int
    wait_ns: int
    fetch_orders: int | None
    known_version: int | None

    @property
    def is_fetch(self) -> bool:
        """Whether the call asks for the full list."""
        return self.fetch_orders is not None


class CallSchedule:
    """The calls to one discovery agent.

    At most one call is the current one. Once it has ended or its answer is overdue, the next becomes due. The
    rate of calls depends on the current call alone: calls that are overdue only stay open.

    Attributes:
        open_calls: all calls that are neither answered nor closed, oldest first.
        current: the call that was started last, until it has ended or is overdue.
        failures_in_row: current calls that failed or were overdue since the last answer.
    """

    def __init__(self, transport: Transport, starts_on_order: bool) -> None:
        """Create a schedule; with `starts_on_order` a watch must be ordered, and again after each failure."""
        self._transport, self._starts_on_order = transport, starts_on_order
        self._watch_ordered = not starts_on_order
        self._suspended = False  # after a failure, until an order or an answer
        self._fetch_orders = self._fetch_orders_fulfilled = 0
        self._earliest_start = 0
        self._heard_at = 0
        self._answer_delay = 0  # by how much the agent's last answers came late
        self.open_calls: list[ListCall] = []
        self.current: ListCall | None = None
        self.failures_in_row = 0

    # ---- orders

    def order_watch(self, enabled: bool) -> None:
        """Start or stop watching for changes; without `starts_on_order` a watch is never stopped."""
        self._watch_ordered = enabled or not self._starts_on_order
        self._suspended = False

    def order_fetch(self) -> None:
        """Ask for the full list once, with a call that starts after this order."""
        self._fetch_orders += 1

    def delay_next_call(self, until: int) -> None:
        """Start no call before the given time."""
        self._earliest_start = max(self._earliest_start, until)

    def change_agent(self, now: int) -> list[ListCall]:
        """Begin with another agent, which is asked for the full list at once; return the calls to close."""
        self._suspended, self._answer_delay = False, 0
        self._earliest_start = now
        self.order_fetch()
        return self.drop_open_calls()

    # ---- the next call

    @property
    def _is_fetch_wanted(self) -> bool:
        return self._fetch_orders > self._fetch_orders_fulfilled

    @property
    def _is_call_wanted(self) -> bool:
        return not self._suspended and (self._watch_ordered or self._is_fetch_wanted)

    def _expects_late_answer(self, now: int) -> bool:
        """Return whether the agent is slow but not silent."""
        if self._answer_delay <= self._transport.watch_grace_ns:
            return False
        return now - self._heard_at < 2 * self._transport.watch_wait_ns + self._answer_delay

    def _overdue_at(self, call: ListCall, now: int) -> int:
        """Return when the answer to the current call is overdue.

        If late answers are expected, the next call starts when the agent no longer waits for a change on this
        one, so that a change is not held up by two late answers. An agent that serves many relays may be slow
        because of their calls. So with two calls open the next one starts only as soon as it must for a
        change to be known in time; if it can't be, one of the two has to be answered first.
        """
        transport = self._transport
        if not self._expects_late_answer(now):
            return call.started_at + call.wait_ns + transport.watch_grace_ns
        wait_end = call.started_at + max(call.wait_ns, transport.watch_grace_ns)
        if len(self.open_calls) < 2:
            return wait_end
        spare_time = transport.list_change_limit_ns - self._answer_delay
        if spare_time > 0:
            return wait_end + spare_time
        return self._heard_at + 2 * transport.watch_wait_ns + self._answer_delay

    def next_event_at(self, now: int) -> int | None:
        """Return when to look at the schedule again; None if only an order or an answer changes it."""
        times = [call.started_at + self._transport.call_patience_ns for call in self.open_calls[:1]]
        if self.current:
            times.append(self._overdue_at(self.current, now))
        elif self._is_call_wanted:
            times.append(self._earliest_start)
        return min(times, default=None)

    def is_due(self, now: int) -> bool:
        """Return whether a call has to be started now."""
        return self.current is None and self._is_call_wanted and now >= self._earliest_start

    def start(self, now: int, known_version: int | None) -> ListCall:
        """Return a new call, which becomes the current one.

        After a failure the wait is short: an agent may recover without ever answering this call, and its
        changes count as known to the relay from its recovery on, so the next call must follow soon.
        """
        is_fetch = self._is_fetch_wanted or known_version is None
        wait = self._transport.watch_retry_wait_ns if self.failures_in_row else self._transport.watch_wait_ns
        self.current = ListCall(
            now, 0 if is_fetch else wait, self._fetch_orders if is_fetch else None, known_version
        )
        self.open_calls.append(self.current)
        return self.current

    # ---- the ends of calls

    def replace_overdue(self, now: int) -> bool:
        """Let the next call follow if the current one is overdue; return whether that counts as a failure."""
        if self.current is None or now < self._overdue_at(self.current, now):
            return False
        self.current = None
        if self._expects_late_answer(now):
            return False
        self._count_failure(now)
        return True

    def _count_failure(self, now: int) -> None:
        """Delay the next call; one that starts on order is not started before the next order."""
        self.failures_in_row += 1
        self._suspended = self._starts_on_order
        self.delay_next_call(now + self._transport.backoff(self.failures_in_row))

    def failed(self, call: ListCall, now: int) -> bool:
        """End a call without an answer; return whether that counts as a failure.

        It does only for the current call: one that was overdue has been counted.
        """
        self.open_calls.remove(call)
        if call is not self.current:
            return False
        self.current = None
        self._count_failure(now)
        return True

    def answered(self, call: ListCall, now: int, has_changes: bool) -> list[ListCall]:
        """End a call with an answer; return the earlier calls, which are to be closed.

        The agent read them before this one, so that it can't tell anything newer on them.
        """
        position = self.open_calls.index(call)
        closed, self.open_calls = self.open_calls[:position], self.open_calls[position + 1 :]
        if call is self.current:
            self.current = None
        self._heard_at, self.failures_in_row, self._suspended = now, 0, False
        self._answer_delay = self._estimate_delay(call, now, has_changes)
        if call.fetch_orders is not None:
            self._fetch_orders_fulfilled = max(self._fetch_orders_fulfilled, call.fetch_orders)
        return closed

    def _estimate_delay(self, call: ListCall, now: int, has_changes: bool) -> int:
        """Return by how much an answer came late.

        One without changes was made when the wait was over. One with changes may have been made at any time
        since the start of the call; it leaves the last estimate as it is, within that range.
        """
        longest = now - call.started_at
        shortest = max(longest - call.wait_ns, 0)
        return min(max(self._answer_delay, shortest), longest) if has_changes else shortest

    def drop_open_calls(self) -> list[ListCall]:
        """Return all open calls, which are to be closed."""
        closed, self.open_calls, self.current = self.open_calls, [], None
        return closed

    def take_expired(self, now: int) -> list[ListCall]:
        """Return the calls that have been open for too long, which are to be closed."""
        opened_after = now - self._transport.call_patience_ns
        closed = [call for call in self.open_calls if call.started_at <= opened_after]
        self.open_calls = [call for call in self.open_calls if call.started_at > opened_after]
        return closed

    def make_room(self) -> ListCall | None:
        """Return the call to close if there are too many; None if there are not."""
        return self.take_surplus() if len(self.open_calls) >= self._transport.max_open_calls else None

    def take_surplus(self) -> ListCall | None:
        """Return the call to close if one must be; None if the oldest is the only one.

        The oldest stays, so that an agent is heard however slow it is.
        """
        return self.open_calls.pop(1) if len(self.open_calls) > 1 else None
