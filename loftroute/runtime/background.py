"""Background work with priorities and budgets: who may take a step now. No I/O; time is an argument.

Stride scheduling (Waldspurger and Weihl, 1995) among the jobs that have work: each step moves a job's pass on
by what the step cost over its weight, and the job with the lowest pass goes next. Token buckets bound bytes
and busy time a second. While the relay lags, jobs stand back, but none longer than `starve`.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field

SECOND = 1_000_000_000  # nanoseconds


@dataclass(frozen=True, slots=True)
class BackgroundBudget:
    """What all background work together may use."""

    bytes_per_s: int = 32 << 20
    busy_share: float = 0.2  # of the time
    max_lag: int = 20_000_000  # nanoseconds: above this lag of the hub the work stands back
    max_starvation: int = 500_000_000  # ... but after so long without a step a job gets one all the same
    burst: float = 0.25  # seconds of budget that may be saved up


@dataclass(eq=False, slots=True)
class BackgroundJob:
    """One piece of work: a generator that yields the bytes that each step moved."""

    name: str
    weight: int
    steps: Iterator[object]
    pass_value: float = 0.0
    stepped_at: int = 0
    cancelled: bool = False
    steps_taken: int = field(default=0)  # steps
    bytes_moved: int = field(default=0)  # bytes

    def cancel(self) -> None:
        """No further step is taken; its generator is closed at its next turn."""
        self.cancelled = True


class StrideScheduler:
    """The jobs and what is left of the budget. `next_job` says whose step it is, `record_step` what it
    cost."""

    def __init__(self, budget: BackgroundBudget, now: int, bound: int = 32) -> None:
        self._budget, self._bound, self._at = budget, bound, now
        self.jobs: list[BackgroundJob] = []
        self._bytes = budget.bytes_per_s * budget.burst
        self._busy = budget.busy_share * budget.burst * SECOND
        self.refused = self.deferred = self.forced = 0

    def add(self, now: int, job: BackgroundJob) -> bool:
        """Take a job on; False where too many are there. It starts level with the least advanced one, so
        that neither what came before nor what comes now is kept waiting for the other's past."""
        if len(self.jobs) >= self._bound:
            self.refused += 1
            return False
        job.pass_value = min((other.pass_value for other in self.jobs), default=0.0)
        job.stepped_at = now
        self.jobs.append(job)
        return True

    def next_job(self, now: int, lag: int) -> BackgroundJob | None:
        """The job whose step it is; None while there is none or the budget is used up."""
        self._refill(now)
        cancelled = next((job for job in self.jobs if job.cancelled), None)
        if cancelled or not self.jobs:
            return cancelled
        oldest = min(self.jobs, key=lambda job: job.stepped_at)
        if now - oldest.stepped_at >= self._budget.max_starvation:
            self.forced += 1
            return oldest
        if lag > self._budget.max_lag:
            self.deferred += 1
            return None
        if self._bytes <= 0 or self._busy <= 0:
            return None
        return min(self.jobs, key=lambda job: job.pass_value)

    def record_step(self, now: int, job: BackgroundJob, moved: int, busy: int) -> None:
        """A step is done: it moved so many bytes and took so long (nanoseconds)."""
        self._bytes -= moved
        self._busy -= busy
        job.pass_value += (moved / self._budget.bytes_per_s + busy / SECOND + 1e-6) / job.weight
        job.stepped_at = now
        job.steps_taken += 1
        job.bytes_moved += moved

    def remove(self, job: BackgroundJob) -> None:
        self.jobs.remove(job)

    def next_check_at(self, now: int) -> int | None:
        """When it is worth asking again (nanoseconds); None while no job is there."""
        if not self.jobs:
            return None
        short = max(
            -self._bytes / self._budget.bytes_per_s, -self._busy / SECOND / self._budget.busy_share, 0.001
        )
        return now + min(int(short * SECOND), self._budget.max_starvation)

    def _refill(self, now: int) -> None:
        passed, self._at = max(now - self._at, 0), max(now, self._at)
        budget, burst = self._budget, self._budget.burst
        self._bytes = min(self._bytes + budget.bytes_per_s * passed / SECOND, budget.bytes_per_s * burst)
        self._busy = min(self._busy + budget.busy_share * passed, budget.busy_share * burst * SECOND)
