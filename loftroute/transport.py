"""Limits and timeouts of sockets and connections, with their default values."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Transport:
    """Limits and timeouts of sockets and connections, in nanoseconds, bytes or counts.

    None of them influences which unit a request is sent to.
    """

    # Upper bound for a dial, and for an attempt that waits for a connection.
    dial_timeout_ns: int = 250_000_000
    # Minimum time between two polls of the sockets.
    min_poll_interval_ns: int = 1_000_000
    # Idle connections to a unit are closed after this time unless the settings give another.
    idle_timeout_ns: int = 3_000_000_000
    # Reuses after a similar idle time that are needed before its break rate is judged.
    keepalive_min_samples: int = 8
    # Share of reused connections that may break, in addition to twice the share of new connections.
    keepalive_max_break_share: float = 0.1
    # How long a shortened keep-alive limit is held before it is relaxed.
    keepalive_hold_ns: int = 10_000_000_000
    # Total time for a vote, including the dial.
    call_timeout_ns: int = 2_000_000_000
    # Wait that a watch requests from the discovery agent.
    watch_wait_ns: int = 1_000_000_000
    # Wait that a watch requests after a failed call.
    watch_retry_wait_ns: int = 200_000_000
    # The answer to a watch is overdue this long after its requested wait is over; another call follows.
    watch_grace_ns: int = 400_000_000
    # Overdue calls to discovery, silent streams of changes and unanswered votes are closed after this time.
    call_patience_ns: int = 30_000_000_000
    # A change that discovery has should reach the relay within this time. It counts as known to the relay
    # after 6 s at the latest, whether it arrived or not.
    list_change_limit_ns: int = 5_500_000_000
    # Open calls to discovery, of which all but one are overdue. Beyond this the second oldest is closed.
    max_open_calls: int = 8
    # Unfinished answers of all open calls together. Beyond this the second oldest call is closed.
    max_unfinished_list_bytes: int = 1 << 20
    # Lists with a lower version than the current one are treated as stale for this long.
    stale_list_grace_ns: int = 2_000_000_000
    # Time after the start that readiness waits for the first release news from the platform.
    first_news_timeout_ns: int = 2_000_000_000
    # Another stream of changes is opened beside one that has brought no data for this time.
    changes_silence_timeout_ns: int = 2_500_000_000
    # Open streams of changes. Beyond this the second oldest is closed.
    max_open_streams: int = 4
    # Longest delay before a failed call is retried.
    retry_delay_ns: int = 200_000_000
    # Minimum time between an answer and the next request on the same connection.
    reuse_delay_ns: int = 25_000_000
    # Delay between the close of a timed-out attempt and its report, so that the unit has seen the close.
    timeout_report_delay_ns: int = 15_000_000
    # Subtracted from a client's time limit for the network between client and relay.
    network_margin_ns: int = 10_000_000
    # A request this far past its deadline is ended even if the decision module has not ended it.
    overdue_grace_ns: int = 30_000_000
    # Initial size of a read buffer.
    initial_buffer_bytes: int = 4096
    # Longest command or answer.
    max_message_bytes: int = 1 << 18
    # Longest document from discovery or the platform.
    max_document_bytes: int = 4 << 20
    # A client connection without an open request is closed after this time without a new command.
    client_idle_timeout_ns: int = 2_200_000_000
    # Interval of the check for idle and slow clients.
    trim_interval_ns: int = 100_000_000
    # After a protocol error or a graceful close, the relay waits this long for the client to close.
    linger_ns: int = 300_000_000
    # Limit of the input discarded after a protocol error.
    max_linger_bytes: int = 1 << 20
    # Consecutive bad requests of a client after which reading from it is throttled.
    bad_requests_before_pause: int = 8
    # Reads and commands of one client connection per turn of the scheduler.
    max_steps_per_turn: int = 16
    # Those of them that do not count towards the sum of all connections.
    free_steps_per_turn: int = 2
    # Reads and commands of all client connections per turn, beyond those that do not count.
    shared_steps_per_turn: int = 256
    # Retry-after sent with requests that the relay itself refuses, for example when too many are open.
    retry_after_ns: int = 250_000_000
    # Unanswered commands per client connection before reading stops.
    max_pipelined: int = 64
    # Input per client connection that is read, but not processed, while no more commands may be open. The end
    # of a client that has more unread than this and what the systems buffer can't be seen.
    max_read_ahead_bytes: int = 1 << 18
    # A client connection whose input was left unread has been read to its end once no more than this has come
    # within the network margin; a system that holds data back sends more.
    max_settled_bytes: int = 1 << 15
    # Unanswered commands per client connection while half of the memory for messages is in use.
    max_pipelined_if_scarce: int = 2
    # Unsent bytes per client connection before reading stops.
    max_unsent_bytes: int = 1 << 18
    # Length of the listener's accept queue.
    backlog: int = 1024
    # Concurrent requests per core; more would only wait and use up the core they wait for.
    open_requests_per_core: int = 128
    # Memory used by the program itself; the rest bounds the open requests.
    program_bytes: int = 24 << 20
    # Memory of a connection and its task, without messages.
    connection_bytes: int = 8 << 10
    # Consecutive failures after the first until the retry delay reaches its maximum; the first has no delay.
    backoff_steps: int = 4
    # Pause before the next accept when there is no room, and between reads from a throttled client.
    pause_ns: int = 20_000_000
    # Maximum connections opened to a unit that is new in the list, before the first attempt is sent to it.
    max_warm_connections: int = 3
    # A client connection may be closed to make room once it has been idle for this long.
    evictable_after_ns: int = 50_000_000
    # A large command that is still incomplete after this time may be discarded to make room for another.
    skippable_after_ns: int = 50_000_000
    # Ids of ended requests that are kept from being used again.
    max_closed_requests: int = 1 << 14
    # Interval at which those that may be used again are forgotten.
    forget_closed_interval_ns: int = 1_000_000_000
    # Messages that a mailbox holds.
    mailbox_capacity: int = 1 << 16
    # Interval of the state line in the log.
    report_interval_ns: int = 10_000_000_000
    # Minimum time after SIGTERM in which new connections are accepted.
    min_drain_ns: int = 600_000_000
    # After that minimum, accepting stops once no connection has arrived for this long.
    drain_quiet_ns: int = 200_000_000
    # Maximum time after SIGTERM in which new connections are accepted.
    max_drain_ns: int = 1_200_000_000
    # The platform sends SIGKILL no earlier than the longest class deadline plus `kill_delay_ns`, counted
    # from SIGTERM. Longer class deadlines count as this value.
    kill_deadline_cap_ns: int = 3_000_000_000
    # Time that the platform adds to that deadline.
    kill_delay_ns: int = 700_000_000
    # Everything still open is answered this long before the SIGKILL.
    kill_reserve_ns: int = 250_000_000
    # Time after a client's half-close in which its pending requests may still be started. The protocol allows
    # 100 ms, counted where the attempt arrives; the rest is for the way of both and for one turn.
    half_close_grace_ns: int = 75_000_000

    @property
    def bytes_per_connection(self) -> int:
        """Memory of a connection with its task and a usual chunk."""
        return self.connection_bytes + self.initial_buffer_bytes

    def backoff(self, failures: int) -> int:
        """Return the delay in nanoseconds before a retry after that many consecutive failures."""
        return min(failures - 1, self.backoff_steps) * self.retry_delay_ns // self.backoff_steps
