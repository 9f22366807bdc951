"""Connections to the units: one actor per unit, which assigns attempts to pooled connections.

A connection carries one attempt at a time.
"""

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from loftroute import invariants
from loftroute.decision import interface as i
from loftroute.protocol import ProtocolError, resp
from loftroute.protocol.catalog import Address, Listing
from loftroute.protocol.jobs import AttemptResult, ClientRequest, parse_answer
from loftroute.relay.keepalive import KeepAlive
from loftroute.runtime.scheduler import Mailbox, Scheduler, spawn_actor
from loftroute.runtime.stream import ConnectionClosedError, DeadlineExceededError, Stream
from loftroute.transport import Transport

# Result of an attempt that was not sent completely: the unit ignores an incomplete request.
NEVER_RAN = AttemptResult(i.Outcome.CONNECT_FAILED)


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt to run a request at a unit. Times are in nanoseconds of the scheduler's clock.

    Attributes:
        job: the request.
        number: index of the attempt within the request, from 0.
        server: the unit's number in the decision module.
        started_at: when the decision module ordered the attempt.
        deadline: end of the wait for the answer.
        on_done: called once with the attempt and its result.
        last_byte_by: the attempt is not sent unless its last byte is written by then; 0 for no such limit.
        connection: the connection that carries it, if any.
        written_at: when the last byte was written; 0 if it was not.
        ended: `on_done` has been called.
        turned_away: the unit has refused it, so that it never ran.
        cancelled: the attempt is no longer wanted.
    """

    job: ClientRequest
    number: int
    server: int
    started_at: int
    deadline: int
    on_done: Callable[["Attempt", AttemptResult], None]
    last_byte_by: int = 0
    connection: "Connection | None" = None
    written_at: int = 0
    ended: bool = False
    cancelled: bool = False
    turned_away: bool = False

    @property
    def send_by(self) -> int:
        """End of the time for queueing, dialling and writing; sending later is not permitted."""
        return min(self.last_byte_by or self.deadline, self.deadline)

    @property
    def may_have_run(self) -> bool:
        """Whether the unit may have executed it, or may yet: it was sent whole and not turned away."""
        return bool(self.written_at) and not self.turned_away

    def finish(self, result: AttemptResult) -> None:
        """End the attempt and report its result."""
        if self.ended:
            invariants.check(False, "an attempt ends once")
            return
        self.ended, self.connection = True, None
        self.turned_away = result.outcome is i.Outcome.FULL
        self.on_done(self, result)

    def cancel(self) -> None:
        """Cancel the attempt; its connection is closed before this returns."""
        self.cancelled = True
        if self.connection:
            self.connection.abort(AttemptResult(i.Outcome.CANCELLED))


class Connection:
    """One connection to a unit, and the task that serves it.

    Without an attempt the connection is dialled in advance and kept idle.

    Attributes:
        attempt: the attempt being served; None while idle.
        address: where the connection leads; None before it is established.
        connected_at: when it was established (nanoseconds).
        is_dialling: it is not established yet.
        task: the task that serves it.
    """

    def __init__(self, unit: "Unit", attempt: Attempt | None) -> None:
        self._unit, self._pool = unit, unit.pool
        self._scheduler = unit.pool.scheduler
        self._stream: Stream | None = None
        self.attempt: Attempt | None = attempt
        if attempt:
            attempt.connection = self
        unit.connections.add(self)
        self.address: Address | None = None
        self.connected_at = 0
        self.is_dialling, self._write_started, self._has_answered = True, False, False
        self._idle_since = self._scheduler.polled_at
        self._idle_before_ns: int | None = None  # idle time before the current attempt; None if new
        unit.pool.open_connections += 1
        self.task = self._scheduler.spawn(f"unit {unit.server}", self._run)

    def _run(self) -> None:
        try:
            self._serve_attempts()
        except ConnectionClosedError:
            self._finish_attempt(NEVER_RAN)
        finally:
            self._release()
            self._finish_attempt(NEVER_RAN if self.is_dialling else AttemptResult(i.Outcome.RESET))

    def _serve_attempts(self) -> None:
        self._dial()
        if self.attempt is None and not self._wait_idle():
            return
        while self.attempt and self._serve_attempt(self.attempt) and self._wait_idle():
            pass

    def _dial(self) -> None:
        attempt, clock, address = self.attempt, self._scheduler.clock, self._unit.address
        self.is_dialling = True
        if not address:
            raise ConnectionClosedError("cannot connect to the unit: its address is not known")
        self._pool.dials += 1
        dial_by = clock.now() + self._pool.transport.dial_timeout_ns
        dial_by = min(dial_by, attempt.send_by) if attempt else dial_by
        try:
            self._stream = Stream.dial(
                self._scheduler,
                address,
                dial_by,
                self._pool.transport.initial_buffer_bytes,
                self._pool.transport.max_message_bytes,
            )
        except DeadlineExceededError as problem:
            raise ConnectionClosedError("cannot connect to the unit: timed out") from problem
        self.address, self.connected_at, self.is_dialling = address, self._scheduler.polled_at, False

    def _serve_attempt(self, attempt: Attempt) -> bool:
        """Write the request and read its answer; return whether the connection can be reused."""
        if not self._write_started and self._stream.is_stale():
            # The unit closed it or sent unsolicited data while it was idle. Nothing was sent: dial again.
            self._drop()
            self._idle_before_ns = None
            self._dial()
        stream = self._stream
        try:
            if stream.unsent_bytes or not self._write_started:
                self._send(stream, attempt)
        except (ConnectionClosedError, DeadlineExceededError):
            self._drop()
            self._finish_attempt(NEVER_RAN)
            return False
        return self._receive_answer(stream, attempt)

    def _send(self, stream: Stream, attempt: Attempt) -> None:
        """Write the request completely.

        A request that is late never ran: its connection is closed after a part of it, and units run only
        complete requests.
        """
        clock = self._scheduler.clock
        if not self._write_started and clock.now() >= attempt.send_by:
            raise DeadlineExceededError
        stream.send_all(() if self._write_started else self._encode(attempt), attempt.send_by)
        attempt.written_at = clock.now()

    def _encode(self, attempt: Attempt) -> list[resp.Piece]:
        """Return the command for the unit, with the time left as its time limit."""
        return attempt.job.encode_attempt(attempt.deadline - self._scheduler.clock.now())

    def _receive_answer(self, stream: Stream, attempt: Attempt) -> bool:
        """Read the answer and finish the attempt; return whether the connection can be reused.

        Extra bytes behind an answer make the connection unusable. Behind a refusal they make the refusal
        itself doubtful, so the request may have run.
        """
        broke = clean = False
        self._has_answered = True
        try:
            result = parse_answer(stream.receive(resp.parse_reply, attempt.deadline), self._pool.report)
        except DeadlineExceededError:
            result = AttemptResult(i.Outcome.TIMEOUT)
        except ConnectionClosedError:
            broke = not len(stream.buffer)
            result = AttemptResult(i.Outcome.RESET)
        except ProtocolError:
            self._pool.malformed += 1
            result = AttemptResult(i.Outcome.RESET)
        else:
            clean = not len(stream.buffer)
            if result.outcome is i.Outcome.FULL and not clean:
                self._pool.malformed += 1
                result = AttemptResult(i.Outcome.RESET)
        self._pool.keepalive.record_use(self._idle_before_ns, broke, self._scheduler.polled_at)
        if not clean:
            self._drop()  # before another attempt can be sent, which might otherwise run as a second copy
        if result.outcome is i.Outcome.TIMEOUT:
            self._scheduler.sleep(self._pool.transport.timeout_report_delay_ns)
        self._finish_attempt(result)
        return clean

    def _wait_idle(self) -> bool:
        """Wait for the next attempt; return False once the connection is closed or idle for too long."""
        self._write_started, self._idle_since = False, self._scheduler.polled_at
        idle_until = self._idle_since + self._pool.keepalive.limit
        if not self._unit.keep_idle(self):
            return False
        while self.attempt is None:
            self._stream.wait(idle_until)
            if self.attempt is None and (
                self._stream.is_stale() or self._scheduler.clock.now() >= idle_until
            ):
                return False
        return True

    def _drop(self) -> None:
        if self._stream:
            self._stream.close()
            self._stream = None

    def _finish_attempt(self, result: AttemptResult) -> None:
        attempt, self.attempt = self.attempt, None
        if attempt:
            attempt.finish(result)

    def abort(self, result: AttemptResult | None = None) -> None:
        """Close at once and end the task; a `result` is reported for the current attempt."""
        self._release()
        if result:
            self._finish_attempt(result)
        self._scheduler.cancel(self.task)

    def _release(self) -> None:
        """Close the socket and remove the connection from its unit."""
        self._drop()
        if self in self._unit.connections:
            self._unit.connection_closed(self)

    @property
    def is_unwritten(self) -> bool:
        """Whether the current attempt has not been sent completely."""
        return self.is_dialling or (self.attempt is not None and not self.attempt.written_at)

    @property
    def settled_at(self) -> int:
        """Time from which the connection may be reused.

        A duplicate of its last answer, or garbage after it, may arrive some milliseconds late. It would be
        read as the answer to the next request.
        """
        return self._idle_since + (self._pool.transport.reuse_delay_ns if self._has_answered else 0)

    @property
    def idle_ns(self) -> int:
        """Idle time so far."""
        return self._scheduler.polled_at - self._idle_since

    def start_attempt(self, attempt: Attempt) -> None:
        """Start an attempt on an idle connection.

        The request is written immediately. The task continues when the answer arrives, or is woken to write
        the rest. If unsolicited data has arrived, nothing is written and the task dials again.
        """
        self.attempt, attempt.connection = attempt, self
        stream, self._idle_before_ns = self._stream, self.idle_ns
        if stream.check_stale():
            self._pool.unsolicited += 1
        else:
            self._write_started = True
            stream.write(self._encode(attempt))
            if not stream.unsent_bytes:
                attempt.written_at = self._scheduler.clock.now()
                return self._scheduler.set_deadline(self.task, attempt.deadline)
        self._scheduler.wake(self.task)


Message = Attempt | str  # an attempt to assign, or a command to the actor


def _is_other_process(previous: i.ServerEntry, current: i.ServerEntry) -> bool:
    """Return whether a list entry describes another process than the previous entry of that id.

    A start time that the list no longer contains is not a change: the start was long ago.
    """
    previous_process = (previous.zone, previous.cell, previous.machine_type, previous.build)
    return (
        previous_process != (current.zone, current.cell, current.machine_type, current.build)
        or current.started > previous.started
    )


class Unit:
    """Actor of one unit: assigns attempts to its connections.

    Attributes:
        pool: all units and their common limits.
        server: the unit's number in the decision module.
        address: its address in the latest list; None if the list has none.
        entry: its entry in the latest list.
        idle: idle connections, the latest used last.
        waiting: attempts that wait for a connection.
        is_removed: it has left the list.
        connections: all connections, also those being dialled.
        mailbox: attempts to assign and commands to the actor.
    """

    def __init__(self, pool: "Units", server: int) -> None:
        self.pool, self.server = pool, server
        self.address: Address | None = None
        self.entry: i.ServerEntry | None = None
        self.idle: deque[Connection] = deque()
        self.waiting: deque[Attempt] = deque()
        self.is_removed = False
        # Start of the process in the list, or when the list first showed it. Older connections lead to
        # another process.
        self._process_started_at = 0
        self.connections: set[Connection] = set()
        self.mailbox: Mailbox[Message] = Mailbox(pool.scheduler, pool.transport.mailbox_capacity)
        spawn_actor(pool.scheduler, f"unit {server}", self.mailbox, self._run)

    def _run(self) -> None:
        while True:
            while self.mailbox.items:
                message = self.mailbox.items.popleft()
                if isinstance(message, Attempt):
                    self._assign(message)
                elif message == "close idle":
                    self._close_idle(self.idle)
                elif message == "close old":
                    self._close_idle([c for c in self.idle if not self._is_current(c)])
                else:
                    self._stop_dials()
            if self.is_removed:
                return
            self._expire_waiting()
            while self.waiting and (connection := self.take_settled()):
                connection.start_attempt(self.waiting.popleft())
            self.pool.scheduler.park(self._next_wakeup())

    def _next_wakeup(self) -> int | None:
        """Return when a waiting attempt expires or a connection becomes usable; None if nothing waits."""
        if not self.waiting:
            return None
        polled_at = self.pool.scheduler.polled_at
        settling = [connection.settled_at for connection in self.idle if connection.settled_at > polled_at]
        return min([*map(self._wait_limit, self.waiting), *settling])

    def take_settled(self) -> Connection | None:
        """Remove and return the most recently used idle connection that is settled; None if there is none.

        The older ones stay idle, so that surplus connections time out and close.
        """
        polled_at = self.pool.scheduler.polled_at  # data that arrived earlier has been noticed
        for connection in reversed(self.idle):
            if connection.settled_at <= polled_at:
                if connection.idle_ns > self.pool.keepalive.limit:
                    return None  # this one and the older ones are about to time out
                self.idle.remove(connection)
                return connection
        return None

    def keep_idle(self, connection: Connection) -> bool:
        """Keep a free connection for later attempts; return False if it is to be closed.

        It is closed if the unit has left the list, or if another process has taken its id, while the
        connection was in use.
        """
        if self.is_removed or not self._is_current(connection):
            return False
        self.idle.append(connection)
        if self.waiting and self.mailbox.owner:
            self.pool.scheduler.wake(self.mailbox.owner)
        return True

    def _wait_limit(self, attempt: Attempt) -> int:
        """Return until when an attempt waits for a connection: as long as a dial may take."""
        return min(attempt.send_by, attempt.started_at + self.pool.transport.dial_timeout_ns)

    def _expire_waiting(self) -> None:
        """End the waiting attempts that are cancelled or have waited too long."""
        now = self.pool.scheduler.clock.now()
        for attempt in [a for a in self.waiting if a.cancelled or self._wait_limit(a) <= now]:
            self.waiting.remove(attempt)
            attempt.finish(NEVER_RAN)

    def open_warm_connections(self, count: int) -> None:
        """Open up to `count` connections in advance, so that the first attempts need not wait for a dial."""
        for _ in range(count):
            if (
                self.address
                and len(self.connections) < self.pool.max_connections_per_unit()
                and self.pool.has_room()
            ):
                Connection(self, None)

    def remove(self) -> None:
        """Handle the unit's removal from the list: attempts in progress go on, nothing new starts."""
        self.is_removed = True
        self.retire()

    def retire(self) -> None:
        """Stop using the unit: end attempts that are not sent completely and close idle connections."""
        self.mailbox.put("stop dials")
        self.mailbox.put("close idle")

    def _assign(self, attempt: Attempt) -> None:
        """Use an idle connection, open a new one, or wait for one to become free, within a dial's time."""
        if attempt.cancelled:
            return attempt.finish(AttemptResult(i.Outcome.CANCELLED))
        if connection := self.take_settled():
            return connection.start_attempt(attempt)
        if self.address is None:
            return attempt.finish(NEVER_RAN)
        if len(self.connections) < self.pool.max_connections_per_unit() and self.pool.has_room():
            Connection(self, attempt)
        else:
            self.waiting.append(attempt)

    def _close_idle(self, connections: Iterable[Connection]) -> None:
        for connection in list(connections):
            connection.abort()

    def _stop_dials(self) -> None:
        """End the attempts that are not sent completely, since they may no longer be permitted.

        Their last byte has not been written, so they never ran.
        """
        for connection in [c for c in self.connections if c.is_unwritten]:
            connection.abort(NEVER_RAN)
        while self.waiting:
            self.waiting.popleft().finish(NEVER_RAN)

    def update(self, entry: i.ServerEntry, address: Address | None) -> None:
        """Apply the unit's entry in the latest list.

        If it is another machine or process now, idle connections to the previous one are closed and attempts
        that are not sent completely end.
        """
        previous, self.entry = self.entry, entry
        moved = address is not None and address != self.address
        replaced = previous is not None and (moved or _is_other_process(previous, entry))
        if moved:
            self.address = address
        if replaced:
            self._process_started_at = entry.started or self.pool.scheduler.clock.now()
            self.mailbox.put("stop dials")
            self.mailbox.put("close old")

    def _is_current(self, connection: Connection) -> bool:
        """Return whether a connection leads to the process that the list describes."""
        return connection.address == self.address and connection.connected_at > self._process_started_at

    def connection_closed(self, connection: Connection) -> None:
        """Forget a closed connection and reassign an attempt that waits."""
        self.connections.discard(connection)
        self.pool.open_connections -= 1
        if connection in self.idle:
            self.idle.remove(connection)
        if self.waiting and not self.is_removed:
            self.mailbox.put(self.waiting.popleft())


class Units:
    """All units, and the common limit of connections to them.

    Attributes:
        scheduler, transport: shared by the units and their connections.
        report: names of the load figures in a unit's answers.
        keepalive: learnt limit of the idle time.
        units: units by their number in the decision module.
        open_connections: open connections and dials; each uses a descriptor.
        dials: number of dials so far.
        malformed: number of answers that could not be parsed.
        unsolicited: number of connections that received data without a request.
        crowded: number of times that no connection could be opened because of the limit.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        transport: Transport,
        max_connections: int,
        report: tuple[str, ...],
    ) -> None:
        self.scheduler, self.transport, self.report = scheduler, transport, report
        self._max_connections = max_connections
        self.keepalive = KeepAlive(transport)
        self.units: dict[int, Unit] = {}
        self.open_connections = 0
        self.dials = 0
        self.malformed = self.unsolicited = 0
        self.crowded = 0

    def max_connections_per_unit(self) -> int:
        """Return the limit of connections to one unit: three times an even share."""
        return max(8, 3 * self._max_connections // max(len(self.units), 1))

    def has_room(self) -> bool:
        """Return whether one more connection may be opened; close an idle one to make room if necessary."""
        if self.open_connections < self._max_connections:
            return True
        most_idle = max(self.units.values(), key=lambda unit: len(unit.idle), default=None)
        if most_idle and most_idle.idle:
            most_idle.idle.popleft().abort()
            return True
        self.crowded += 1
        return False

    def attempts_out(self) -> int:
        """Return the number of attempts that are in progress or wait for a connection."""
        return sum(
            len(unit.waiting) + sum(c.attempt is not None for c in unit.connections)
            for unit in self.units.values()
        )

    def handle_listing(self, listing: Listing) -> None:
        """Apply a list: update addresses, and stop dials to units that drain or are gone."""
        if listing.event.kind in (i.ListKind.FULL, i.ListKind.CACHED):
            for server in self.units.keys() - {entry.server for entry in listing.event.entries}:
                self.units.pop(server).remove()
        new_units = []
        for entry in listing.event.entries:
            unit = self.units.get(entry.server)
            if entry.state is i.ServerState.GONE:
                if unit:
                    self.units.pop(entry.server).remove()
                continue
            if unit is None:
                unit = self.units[entry.server] = Unit(self, entry.server)
            had_no_address = unit.address is None
            unit.update(entry, listing.addresses.get(entry.server))
            if had_no_address and entry.state is i.ServerState.READY:
                new_units.append(unit)
            if entry.state is not i.ServerState.READY:
                unit.retire()
        if new_units:  # the average load is known only after all entries have been applied
            self._warm_up(new_units)

    def _warm_up(self, new_units: list[Unit]) -> None:
        """Open at most as many connections to each new unit as an average unit has attempts in progress.

        With many relays that each use a unit rarely, more connections would be opened and never used.
        """
        count = min(self.transport.max_warm_connections, self.attempts_out() // len(self.units))
        for unit in new_units:
            unit.open_warm_connections(count)

    def stop_dials(self, build: int) -> None:
        """Stop dials to units of this build and newer ones, after the build's cap was lowered."""
        for unit in self.units.values():
            if unit.entry and unit.entry.build >= build:
                unit.mailbox.put("stop dials")

    def send(self, attempt: Attempt) -> None:
        """Start an attempt on an idle connection if there is one, otherwise pass it to the unit's actor."""
        unit = self.units.get(attempt.server)
        if unit is not None and not unit.mailbox.items and (connection := unit.take_settled()):
            connection.start_attempt(attempt)
        elif unit is None or not unit.mailbox.put(attempt):
            attempt.finish(NEVER_RAN)
