"""Decides which commands may take memory, so that all messages together stay within a limit.

Each connection has a chunk of the usual size for its own. A command that needs a larger one asks here. There
is no I/O; times are nanoseconds.
"""

from typing import Protocol

from loftroute.runtime.memory import MemoryAccount


class Receiver(Protocol):
    """A connection that reads a command in a chunk larger than usual."""

    def skip_command(self) -> None:
        """Release the chunk and discard the command, which is refused once its last byte has come."""
        ...


class MessageBudget:
    """Shares a limited amount of memory between the messages of all connections.

    Attributes:
        limit_bytes: bytes that all messages may take.
        commands_skipped: number of commands that were discarded for lack of memory.
    """

    def __init__(self, account: MemoryAccount, limit_bytes: int, min_hold_ns: int) -> None:
        """Create a budget over the memory that `account` counts.

        An incomplete command may hold its memory for `min_hold_ns`, after that as long as no other needs it.
        """
        self._account, self.limit_bytes, self._min_hold_ns = account, limit_bytes, min_hold_ns
        self._holders: dict[Receiver, int] = {}  # time of the first allocation; the earliest comes first
        self.commands_skipped = 0

    def allocate(self, receiver: Receiver, size: int, now: int) -> bool:
        """Return whether a connection may take `size` bytes more for the command that it reads.

        If they are not free, the commands that have been incomplete for longest are discarded first. A
        connection that gets False has to discard its own.
        """
        while not self._has_room(size) and (oldest := self._oldest_holder(now)) not in (None, receiver):
            self.release(oldest)
            self.commands_skipped += 1
            oldest.skip_command()
        if self._has_room(size):
            self._holders.setdefault(receiver, now)
            return True
        self.release(receiver)
        self.commands_skipped += 1
        return False

    def release(self, receiver: Receiver) -> None:
        """Note that the command of a connection is complete, discarded or given up."""
        self._holders.pop(receiver, None)

    def _has_room(self, size: int) -> bool:
        return self._account.used_bytes + size <= self.limit_bytes

    def _oldest_holder(self, now: int) -> Receiver | None:
        """Return the connection whose command has been incomplete for longest, if that is long enough."""
        for receiver, since in self._holders.items():
            return receiver if now - since >= self._min_hold_ns else None
        return None
