"""Outcomes of requests that the store could not write, kept until it takes writes again. No I/O."""

from collections.abc import Iterator

from loftroute.recall.decisions import RequestRecord

BYTES_LIMIT = 4 << 20


class UnsavedOutcomes:
    """Records by request id, the oldest first. Beyond the limit the oldest are lost.

    Attributes:
        lost: Number of records that were lost because of the limit.
    """

    def __init__(self, bytes_limit: int = BYTES_LIMIT) -> None:
        self._bytes_limit, self._bytes = bytes_limit, 0
        self._records: dict[str, RequestRecord] = {}
        self.lost = 0

    def __len__(self) -> int:
        return len(self._records)

    def keep(self, request_id: str, record: RequestRecord) -> None:
        """Keep the newest record of a request."""
        self.discard(request_id)
        self._records[request_id] = record
        self._bytes += _size(request_id, record)
        while self._bytes > self._bytes_limit:
            self.discard(next(iter(self._records)))
            self.lost += 1

    def get(self, request_id: str) -> RequestRecord | None:
        """Return the record of a request, or None."""
        return self._records.get(request_id)

    def discard(self, request_id: str) -> None:
        """Forget the record of a request, if there is one."""
        record = self._records.pop(request_id, None)
        if record is not None:
            self._bytes -= _size(request_id, record)

    def items(self) -> Iterator[tuple[str, RequestRecord]]:
        """Return the ids and records as they are now."""
        return iter(list(self._records.items()))


def _size(request_id: str, record: RequestRecord) -> int:
    return len(request_id) + len(record.pack())
