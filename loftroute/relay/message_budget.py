"""Decides which messages may take memory, so that all together stay within a limit.

Each connection has a chunk of the usual size for its own. A command that needs a larger one asks here, and so
does each request for the memory of its answer. There is no I/O; times are nanoseconds.
"""

from typing import Protocol

from loftroute.protocol import resp
from loftroute.runtime.memory import MemoryAccount
from loftroute.transport import Transport


class Receiver(Protocol):
    """A connection that reads a command in a chunk larger than usual."""

    def skip_command(self) -> None:
        """Release the chunk and discard the command, which is refused once its last byte has come."""
        ...


class MessageBudget:
    """Shares a limited amount of memory between the messages of all connections.

    Attributes:
        limit_bytes: bytes that all messages may take.
        answers_expected: number of requests whose answers have not come.
        commands_skipped: number of commands that were discarded for lack of memory.
    """

    def __init__(self, account: MemoryAccount, limit_bytes: int, transport: Transport) -> None:
        """Create a budget over the memory that `account` counts."""
        self._account, self.limit_bytes, self._transport = account, limit_bytes, transport
        self._holders: dict[Receiver, int] = {}  # time of the first allocation; the earliest comes first
        self.answers_expected = 0
        self.commands_skipped = 0

    def allocate(self, receiver: Receiver, size: int, now: int) -> bool:
        """Return whether a connection may take `size` bytes more for the command that it reads.

        If they are not free, the commands that have been incomplete for longest are discarded first. A
        connection that gets False has to discard its own.
        """
        while self._free_bytes() < size and (oldest := self._oldest_holder(now)) not in (None, receiver):
            self.release(oldest)
            self.commands_skipped += 1
            oldest.skip_command()
        if self._free_bytes() >= size:
            self._holders.setdefault(receiver, now)
            return True
        self.release(receiver)
        self.commands_skipped += 1
        return False

    def release(self, receiver: Receiver) -> None:
        """Note that the command of a connection is complete, discarded or given up."""
        self._holders.pop(receiver, None)

    def expect_answer(self, outstanding: int) -> bool:
        """Return whether a request may be taken; its answer then has memory until `answer_ended`.

        `outstanding` is the number of commands on its connection whose answers have not been sent, with its
        own. Answers wait there for those of earlier commands, so that a few connections could take all of the
        memory; once half of it is in use, each is limited to a few commands.
        """
        is_scarce = self._account.used_bytes > self.limit_bytes // 2
        if is_scarce and outstanding > self._transport.max_pipelined_if_scarce:
            return False
        if self._free_bytes() < resp.VALUE_LIMIT:
            return False
        self.answers_expected += 1
        return True

    @property
    def may_read_ahead(self) -> bool:
        """Whether input may be read that can't be processed yet: only while most of the memory is free."""
        return self._account.used_bytes < self.limit_bytes // 4

    def answer_ended(self) -> None:
        """Note that the answer of a request has come, or is not wanted any more."""
        self.answers_expected -= 1

    def _free_bytes(self) -> int:
        """Return what is left beside the messages in memory and the answers to come, of the maximum size."""
        return self.limit_bytes - self._account.used_bytes - self.answers_expected * resp.VALUE_LIMIT

    def _oldest_holder(self, now: int) -> Receiver | None:
        """Return the connection whose command has been incomplete for longest, if that is long enough."""
        for receiver, since in self._holders.items():
            return receiver if now - since >= self._transport.skippable_after_ns else None
        return None
