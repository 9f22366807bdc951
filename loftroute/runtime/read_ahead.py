"""Input that was read from a socket before there is room to process it."""

from loftroute.runtime.memory import MemoryAccount


class ReadAhead:
    """A queue of bytes, counted as message memory.

    A socket has to be read to its end to learn that the peer has closed it: once the receive window is full,
    the end waits in the peer's system.
    """

    __slots__ = ("_account", "_data")

    def __init__(self, account: MemoryAccount) -> None:
        self._account, self._data = account, bytearray()

    def __len__(self) -> int:
        return len(self._data)

    def append(self, data: memoryview) -> None:
        """Add a copy of the data at the end."""
        self._data += data
        self._account.add(len(data))

    def take_into(self, space: memoryview) -> int:
        """Move bytes from the front to `space`, as many as it holds; return their number."""
        count = min(len(space), len(self._data))
        space[:count] = self._data[:count]
        del self._data[:count]
        self._account.add(-count)
        return count

    def clear(self) -> None:
        """Discard all bytes."""
        self._account.add(-len(self._data))
        self._data = bytearray()
