"""Bounds how much input of the clients is processed in one turn of the scheduler.

A turn looks at all sockets once, so whoever asks waits for a few turns. Without a bound, a client that sends
small commands at full speed would make each turn as long as its socket buffer holds commands. A step is one
read from a connection, or the processing of one command. What is left is processed in the following turns.
"""

from loftroute.runtime.scheduler import Scheduler
from loftroute.transport import Transport


class ConnectionShare:
    """The steps that one connection has taken in a turn."""

    __slots__ = ("taken", "turn")

    def __init__(self) -> None:
        self.turn = self.taken = 0


class InputAllowance:
    """Grants steps to the client connections, turn by turn.

    Each connection may take a few steps in any case. Beyond them all share an allowance, of which one
    connection gets a part only.
    """

    def __init__(self, scheduler: Scheduler, transport: Transport) -> None:
        self._scheduler = scheduler
        self._transport = transport
        self._turn = self._shared_left = 0

    def take_step(self, share: ConnectionShare) -> bool:
        """Return whether a connection may take one more step in this turn."""
        transport, turn = self._transport, self._scheduler.turns
        if share.turn != turn:
            share.turn, share.taken = turn, 0
        if share.taken >= transport.max_steps_per_turn:
            return False
        if share.taken >= transport.free_steps_per_turn and not self._take_shared(turn):
            return False
        share.taken += 1
        return True

    def _take_shared(self, turn: int) -> bool:
        if self._turn != turn:
            self._turn, self._shared_left = turn, self._transport.shared_steps_per_turn
        if not self._shared_left:
            return False
        self._shared_left -= 1
        return True
