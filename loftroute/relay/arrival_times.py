"""When the bytes of a connection arrived that wait to be processed. No I/O; times are nanoseconds."""

from collections import deque


class ArrivalTimes:
    """Remembers by which time how many bytes had arrived, while some of them wait."""

    __slots__ = ("_marks", "_resolution_ns")

    def __init__(self, resolution_ns: int) -> None:
        """Create an empty record; times that lie closer together than `resolution_ns` count as the first."""
        self._resolution_ns = resolution_ns
        self._marks: deque[tuple[int, int]] = deque()  # (bytes by then, time), oldest first

    def __len__(self) -> int:
        return len(self._marks)

    def note(self, total_bytes: int, at: int) -> None:
        """Note that this many bytes, counted from the start of the connection, had arrived by a time."""
        if self._marks:
            last_bytes, last_at = self._marks[-1]
            if total_bytes == last_bytes:
                return
            if at - last_at < self._resolution_ns:
                self._marks[-1] = total_bytes, last_at
                return
        self._marks.append((total_bytes, at))

    def arrival_of(self, offset: int) -> int | None:
        """Return when the byte before an offset arrived, None if it came after all notes.

        Offsets never decrease; what was noted for earlier bytes is forgotten.
        """
        while self._marks and self._marks[0][0] < offset:
            self._marks.popleft()
        return self._marks[0][1] if self._marks else None
