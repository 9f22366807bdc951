"""Ids of requests that have ended, for as long as a command with the same id must not be admitted.

Every request has an id of its own, so a command whose id is known here is a fault of its client. Admitted, it
could run beside or after an attempt of the request that had the id, for example one whose client has left.
There is no I/O; times are nanoseconds.
"""

from dataclasses import dataclass

from loftroute.relay.units import Attempt


@dataclass(slots=True)
class ClosedRequest:
    """Why an id is still in use.

    Attributes:
        until: the id is in use at least until then.
        attempts: attempts that had not ended; the id is in use until all have.
    """

    until: int
    attempts: list[Attempt]

    def is_over(self, now: int) -> bool:
        """Return whether the id may be used again."""
        return now >= self.until and all(attempt.ended for attempt in self.attempts)


class ClosedRequests:
    """The ids in use by requests that have ended; the oldest are forgotten beyond a bound."""

    def __init__(self, bound: int) -> None:
        self._bound = bound
        self._request_by_id: dict[str, ClosedRequest] = {}  # oldest first

    def __len__(self) -> int:
        return len(self._request_by_id)

    def add(self, request_id: str, attempts: list[Attempt], until: int) -> None:
        """Keep an id in use until a time, 0 for none, and until the attempts have ended."""
        unfinished = [attempt for attempt in attempts if not attempt.ended]
        if not (unfinished or until):
            return
        self._request_by_id[request_id] = ClosedRequest(until, unfinished)
        if len(self._request_by_id) > self._bound:
            del self._request_by_id[next(iter(self._request_by_id))]

    def is_in_use(self, request_id: str, now: int) -> bool:
        """Return whether a command with this id must not be admitted."""
        closed = self._request_by_id.get(request_id)
        return closed is not None and not closed.is_over(now)

    def forget_unused(self, now: int) -> None:
        """Forget the ids that may be used again."""
        over = [request_id for request_id, closed in self._request_by_id.items() if closed.is_over(now)]
        for request_id in over:
            del self._request_by_id[request_id]
