"""Debug log of requests and client connections: one line for each change of state, with the request's id.

The log answers, for one request, when it was read, which attempts were begun and how they ended, what the
client got, and how its connection ended. It exists only when the program logs at the level DEBUG
(environment variable LOFTROUTE_LOG_LEVEL); otherwise there is none, and a request costs what it did before.
"""

from enum import Enum

from loguru import logger

from loftroute.protocol.jobs import ClientRequest

MS = 1_000_000  # nanoseconds


class CloseReason(Enum):
    """Why a client connection was closed."""

    CLIENT_ENDED = "client ended"  # it ended its sending side, and everything owed was sent
    CLIENT_RESET = "client reset"  # it reset the connection, or a write failed
    EVICTED = "evicted"  # to make room for another connection
    FRAMING_LOST = "framing lost"  # what it sent can't be read
    IDLE = "idle"
    SHUTDOWN = "shutdown"
    SLOW_READER = "slow reader"
    TASK_FAILED = "task failed"
    THINNED_OUT = "thinned out"  # idle after a single command, beyond the limit of such connections


class RequestLog:
    """Writes the lines; `request` is a request's id, `client` the number of a client connection."""

    def admitted(self, job: ClientRequest, time_left_ns: int) -> None:
        """Log that a request was taken, with the time in which it has to be answered."""
        logger.debug("request {} admitted, class {}, {} ms", job.id, job.class_index, time_left_ns // MS)

    def attempt_ordered(self, request: str, number: int, server: int, timeout_ns: int) -> None:
        """Log that the decision module ordered an attempt, first or further."""
        logger.debug("request {} attempt {} to server {}, {} ms", request, number, server, timeout_ns // MS)

    def attempt_ended(self, request: str, number: int, outcome: str, elapsed_ns: int) -> None:
        """Log the outcome of an attempt and the time since it was written, or ordered if it never was."""
        logger.debug("request {} attempt {} ended: {}, {} ms", request, number, outcome, elapsed_ns // MS)

    def ended(self, request: str, how: str) -> None:
        """Log that a request got its final answer, or that it is dropped, and why."""
        logger.debug("request {} {}", request, how)

    def client_end_seen(self, client: int, open_commands: int, unread_bytes: int) -> None:
        """Log that a client is known to have ended its sending side."""
        logger.debug(
            "client {} ended its side, {} commands open, {} bytes unread", client, open_commands, unread_bytes
        )

    def client_closed(self, client: int, reason: CloseReason, open_commands: int) -> None:
        """Log that a client connection was closed, and why."""
        logger.debug("client {} closed: {}, {} commands open", client, reason.value, open_commands)
