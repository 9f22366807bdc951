"""Counts the memory of message buffers, whoever refers to it.

A message is passed on as slices of the chunk that it was read into, so a chunk stays in memory until the last
slice of it is released: by the buffer, a request that is open, or an answer that has not been sent. The count
follows the chunks themselves, so that no holder has to report what it keeps.
"""


class MemoryAccount:
    """The bytes of all chunks that are in memory.

    Attributes:
        used_bytes: bytes now.
        peak_bytes: most bytes since the last call of `take_peak`.
    """

    __slots__ = ("peak_bytes", "used_bytes")

    def __init__(self) -> None:
        self.used_bytes = self.peak_bytes = 0

    def add(self, size: int) -> None:
        """Count bytes that were taken, or given back if `size` is negative."""
        self.used_bytes += size
        self.peak_bytes = max(self.peak_bytes, self.used_bytes)

    def take_peak(self) -> int:
        """Return the most bytes in use since the previous call."""
        peak, self.peak_bytes = self.peak_bytes, self.used_bytes
        return peak


class Chunk(bytearray):
    """Memory for a part of a stream, counted in an account for as long as anything refers to it."""

    __slots__ = ("_account",)

    def __init__(self, size: int, account: MemoryAccount) -> None:
        """Allocate `size` bytes; the size must not change afterwards."""
        super().__init__(size)
        self._account = account
        account.add(size)

    def __del__(self) -> None:
        self._account.used_bytes -= len(self)
