"""The listener for clients, and the limits that all client connections share."""

from collections import Counter

from loguru import logger

from loftroute.config import Config
from loftroute.protocol import resp
from loftroute.relay.client_connection import Connection
from loftroute.relay.input_allowance import InputAllowance
from loftroute.relay.message_budget import MessageBudget
from loftroute.relay.module import Module
from loftroute.relay.request_log import CloseReason
from loftroute.runtime.scheduler import Scheduler, spawn_supervised
from loftroute.runtime.stream import Listener


class Clients:
    """Accepts client connections within the limit and closes them gracefully at a shutdown.

    Attributes:
        config, scheduler, module: shared by the connections.
        connections: open client connections.
        message_budget: bounds the memory of all messages.
        input_allowance: bounds the input that is processed in a turn of the scheduler.
        last_accept: time of the last accepted connection (nanoseconds).
        slow_readers_closed: connections closed because their clients did not read their answers.
        malformed: connections with a protocol error.
        crowded: number of times that there was no room for a new connection.
        half_commands: connections that got an error for an incomplete command.
        closed_unread: connections refused because there was no room.
        idle_clients_closed: idle connections closed after a single command.
        bad_requests: commands answered with an error.
        closing: the relay is shutting down.
        accepted: number of connections accepted.
        closes: number of connections closed, by the reason.
    """

    def __init__(self, config: Config, scheduler: Scheduler, module: Module) -> None:
        self.config, self.scheduler, self.module = config, scheduler, module
        self.connections: set[Connection] = set()
        self.message_budget = MessageBudget(
            scheduler.message_memory, config.budget.message_bytes, config.transport
        )
        self.input_allowance = InputAllowance(scheduler, config.transport)
        self._listener = Listener(scheduler, config.listen, config.transport.backlog)
        self.last_accept = self._next_eviction_at = self._full_since = 0
        self.slow_readers_closed = 0
        self.malformed = self.crowded = self.half_commands = self.closed_unread = self.idle_clients_closed = 0
        self.bad_requests = self.accepted = 0
        self.closes: Counter[CloseReason] = Counter()
        self.closing = False
        self._task = spawn_supervised(scheduler, "listener", self._run)
        self._trim()

    def _run(self) -> None:
        while True:
            if self._accept_all():
                self._full_since = 0
            else:
                now = self.scheduler.clock.now()
                self._full_since = self._full_since or now
                if now - self._full_since > self.config.transport.client_idle_timeout_ns // 2:
                    self._shed_load()
                self._listener.pause_accepting(self.config.transport.pause_ns)
            self._listener.wait()

    def _accept_all(self) -> bool:
        """Accept all pending connections; return False if there is no room for more."""
        transport = self.config.transport
        while self._make_room():
            try:
                stream = self._listener.accept(transport.initial_buffer_bytes, transport.max_message_bytes)
            except OSError as problem:
                logger.warning("cannot accept: {}", problem)
                return False
            if stream is None:
                return True
            self.last_accept = now = self.scheduler.clock.now()
            waited = now - self._full_since if self._full_since else 0
            self.connections.add(Connection(self, stream, waited))
        return False

    def _close_surplus_idle(self) -> None:
        """Close the oldest idle connections that have served a single command, above their limit.

        Clients that send one request per connection and keep it open would otherwise use up the connections,
        here or on their own side.
        """
        idle_before = self.scheduler.polled_at - self.config.transport.evictable_after_ns
        idle = [
            c for c in self.connections if c.commands == 1 and c.last_activity < idle_before and c.is_idle
        ]
        idle.sort(key=lambda c: c.last_activity)
        for connection in idle[: max(len(idle) - self.config.budget.idle_client_connections, 0)]:
            if connection.can_close():
                self.idle_clients_closed += 1
                connection.close(CloseReason.THINNED_OUT)

    def _shed_load(self) -> None:
        """Refuse pending connections with BUSY.

        No open connection can be closed for them, and they must not wait forever.
        """
        transport = self.config.transport
        for _ in range(transport.max_pipelined):
            try:
                stream = self._listener.accept(transport.initial_buffer_bytes, transport.max_message_bytes)
            except OSError:
                return
            if stream is None:
                return
            self.closed_unread += 1
            stream.write(resp.error_reply("BUSY"))
            stream.close()

    def _make_room(self) -> bool:
        """Return whether a connection may be accepted; close idle connections to make room if necessary."""
        if len(self.connections) < self.config.budget.client_connections:
            return True
        now = self.scheduler.clock.now()
        if now < self._next_eviction_at:  # a scan of all connections is too costly for each new one
            return False
        transport = self.config.transport
        self._next_eviction_at, idle_before = (
            now + transport.pause_ns // 2,
            now - transport.evictable_after_ns,
        )
        candidates = [
            c
            for c in self.connections
            if c.is_half_closed or (c.last_activity < idle_before and not c.has_open_request)
        ]
        # First those that have probably closed, then those that have never sent a command.
        candidates.sort(key=lambda c: (not c.is_half_closed, c.commands, c.last_activity))
        for connection in candidates[: max(8, self.config.budget.client_connections // 16)]:
            if connection.can_close():
                connection.evict()
        if len(self.connections) < self.config.budget.client_connections:
            return True
        self.crowded += 1
        return False

    def memory_figures(self) -> dict[str, int]:
        """Return what the clients' messages take, for the state line, in KiB."""
        connections = self.connections
        return {
            "partly read KB": sum(c.partly_read for c in connections) >> 10,
            "held answers KB": sum(c.held_answer_bytes for c in connections) >> 10,
            "unread answers KB": sum(c.unsent for c in connections) >> 10,
        }

    def connection_ended(self, connection: Connection, reason: CloseReason) -> None:
        """Count the end of a connection, whose open requests are about to be dropped."""
        self.closes[reason] += 1
        if log := self.module.request_log:
            log.client_closed(connection.number, reason, len(connection.slots))

    def connection_closed(self, connection: Connection) -> None:
        """Forget a closed connection."""
        self.connections.discard(connection)

    def _trim(self) -> None:
        """Close idle connections, stalled ones and slow readers; runs periodically."""
        now = self.scheduler.clock.now()
        self.scheduler.call_at(now + self.config.transport.trim_interval_ns, self._trim)
        idle_before = now - self.config.transport.client_idle_timeout_ns
        for idle in [c for c in self.connections if c.last_activity < idle_before and not c.has_open_request]:
            if idle.can_close():
                idle.expire()
        self._close_slow_readers(now)
        self._close_surplus_idle()

    def _close_slow_readers(self, now: int) -> None:
        """Close slow readers, and those with the most unsent bytes while the sum exceeds the limit."""
        unread = sorted((c for c in self.connections if c.unsent), key=lambda c: c.unsent)
        total_bytes = sum(c.unsent for c in unread)
        for connection in reversed(unread):
            if total_bytes > self.config.budget.unsent_bytes or connection.is_slow_reader(now):
                total_bytes -= connection.unsent
                self.slow_readers_closed += 1
                connection.close(CloseReason.SLOW_READER)

    def close(self) -> None:
        """Accept the pending connections and stop listening; connections close once they are idle."""
        if not self._accept_all():
            self._shed_load()
        self.scheduler.cancel(self._task)
        self._listener.close()
        self.closing = True
        for connection in self.connections:
            connection.read_again()
