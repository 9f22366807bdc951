"""Tracks the writes of the peer's records. No I/O.

A flush ends when the records that came before it are durable.
"""

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple


class PendingFlush(NamedTuple):
    """A flush that waits for writes.

    Attributes:
        connection_number: The connection over which it was asked for.
        last_write: The newest write that had started when it was asked for.
    """

    connection_number: int
    last_write: int


@dataclass(slots=True)
class PeerWrites:
    """Writes of the peer's records that are not durable yet, and the flushes that wait for them.

    Writes may end in any order. A flush does not wait for writes that start after it: under steady load there
    is always one that has not ended.

    Attributes:
        pending: Numbers of the writes that have not ended, oldest first; the values are unused.
        flushes: Flushes that have not ended, oldest first.
        last_started: Number of the newest write.
    """

    pending: dict[int, None] = field(default_factory=dict)
    flushes: deque[PendingFlush] = field(default_factory=deque)
    last_started: int = 0

    def start(self) -> int:
        """Return the number of a write that starts now."""
        self.last_started += 1
        self.pending[self.last_started] = None
        return self.last_started

    def end(self, number: int) -> list[int]:
        """Record the end of a write; return the connection numbers of the flushes that end with it."""
        del self.pending[number]
        return self._take_ended_flushes()

    def flush(self, connection_number: int) -> list[int]:
        """Ask for a flush; return the connection numbers of the flushes that end at once."""
        self.flushes.append(PendingFlush(connection_number, self.last_started))
        return self._take_ended_flushes()

    def _take_ended_flushes(self) -> list[int]:
        oldest_write = next(iter(self.pending), self.last_started + 1)
        ended = []
        while self.flushes and self.flushes[0].last_write < oldest_write:
            ended.append(self.flushes.popleft().connection_number)
        return ended
