"""Outcomes of requests that the store could not write, kept until it takes writes again. No I/O."""

from loftroute.recall.decisions import RequestRecord

BYTES_LIMIT = 4 << 20


class UnsavedOutcomes:
    """Records by request id, the oldest first. Beyond the limit the oldest are lost.

    Attributes:
        lost: Number of records that were lost because of the limit.
    """

    def __init__(self, bytes_limit: int = BYTES_LIMIT) -> None:
        self._bytes_limit, self._bytes = bytes_limit, 0
        self._records: dict[str, tuple[RequestRecord, int]] = {}  # with its size in bytes
        self.lost = 0

    def __len__(self) -> int:
        return len(self._records)

    def keep(self, request_id: str, record: RequestRecord) -> None:
        """Keep the newest record of a request."""
        self.discard(request_id)
        size = len(request_id) + len(record.pack())
        self._records[request_id] = (record, size)
        self._bytes += size
        while self._bytes > self._bytes_limit:
            self.discard(next(iter(self._records)))
            self.lost += 1

    def get(self, request_id: str) -> RequestRecord | None:
        """Return the record of a request, or None."""
        record, _ = self._records.get(request_id, (None, 0))
        return record

    def discard(self, request_id: str) -> None:
        """Forget the record of a request, if there is one."""
        _, size = self._records.pop(request_id, (None, 0))
        self._bytes -= size

    def items(self) -> list[tuple[str, RequestRecord]]:
        """Return the ids and records as they are now."""
        return [(request_id, record) for request_id, (record, _) in self._records.items()]
