"""Health of the members of a subset, judged by how the attempts at them end."""

from loftroute.decision.interface import Outcome
from loftroute.subset.plan import Limits

# An error response does not count as a failure: it shows that the unit is reachable.
_FAILED = (Outcome.TIMEOUT, Outcome.CONNECT_FAILED, Outcome.RESET)
_INCONCLUSIVE = (Outcome.CANCELLED, Outcome.MOOT)


class Health:
    """Counts consecutive failed attempts, for each unit and over all units.

    Attributes:
        failing: Units that reached the threshold of consecutive failed attempts.
    """

    def __init__(self, limits: Limits) -> None:
        """Start without any failure."""
        self._limits = limits
        self._failures_by_unit: dict[int, int] = {}
        self._consecutive_failures = 0
        self.failing: set[int] = set()

    @property
    def is_lost(self) -> bool:
        """Whether so many attempts in a row failed that no member seems to be reachable."""
        return self._consecutive_failures >= self._limits.subset_failure_threshold

    def attempt_ended(self, unit: int, outcome: Outcome) -> None:
        """Count the outcome of an attempt at a unit."""
        if outcome in _INCONCLUSIVE:
            return
        if outcome not in _FAILED:
            self._consecutive_failures = 0
            self.forget(unit)
            return
        self._consecutive_failures += 1
        self._failures_by_unit[unit] = self._failures_by_unit.get(unit, 0) + 1
        if self._failures_by_unit[unit] >= self._limits.member_failure_threshold:
            self.failing.add(unit)

    def forget(self, unit: int) -> None:
        """Drop the failures of a unit."""
        self._failures_by_unit.pop(unit, None)
        self.failing.discard(unit)

    def reset_consecutive_failures(self) -> None:
        """Start the count over all units again, after the subset has changed."""
        self._consecutive_failures = 0
