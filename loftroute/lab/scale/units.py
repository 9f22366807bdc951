"""Simulated units, each a queue in front of its cores, and the checks of the rules on their attempts.

A hollow unit or relay is one in simulated time, without sockets. All times are in nanoseconds.
"""

from collections import Counter, deque
from dataclasses import dataclass, field
from typing import Any

from loftroute.decision import interface as i
from loftroute.lab.scale import workload
from loftroute.lab.setup import MS

CORES = 1
QUEUE_LIMIT = 64  # attempts that a unit queues before it answers FULL


@dataclass
class RuleCounts:
    """Violations and maxima that the checks of the five rules have counted over the fleet.

    Attributes:
        effects_twice: Effects of requests, not counting the first of each request.
        drains_broken: Attempts that reached a unit after its drain grace period.
        cold_worst: Largest ratio of the work offered to a cold unit to its capacity, in one overload window.
        cold_over: Attempts for which that ratio exceeded the overload multiple.
        trial_attempts: Attempts at units that run the trial build.
        trial_requests: Requests that arrived while a build was on trial.
    """

    effects_twice: int = 0
    drains_broken: int = 0
    cold_worst: float = 0.0
    cold_over: int = 0
    trial_attempts: int = 0
    trial_requests: int = 0


@dataclass(eq=False)
class HollowUnit:
    """One process that executes requests.

    Attributes:
        started: When the process started; 0 for a unit that is warm from the beginning.
        down: Refuses connections.
        silent: Does not respond at all, as if its machine had lost power or network.
        draining_since: When it was listed as draining; 0 if it is not.
        restarts: Number of restarts, by which answers of an earlier process are recognised.
        core_free_at: For each core, when it has done all work that is queued for it.
        recent_work: (time, work) of the attempts within the last overload window, while the unit is cold.
    """

    number: int
    zone: int
    build: int = workload.RELEASED_BUILD
    lifecycle: str = "SERVING"
    started: int = 0
    down: bool = False
    silent: bool = False
    draining_since: int = 0
    restarts: int = 0
    core_free_at: list[int] = field(default_factory=lambda: [0] * CORES)
    recent_work: deque[tuple[int, int]] = field(default_factory=deque)

    @property
    def region(self) -> int:
        """Region of the unit's zone."""
        return workload.region_of(self.zone)

    def entry(self) -> dict[str, Any]:
        """Return the unit as an entry of discovery's list."""
        entry = workload.entry(self.number, self.zone, self.build, self.started // MS)
        return {**entry, "lifecycle": self.lifecycle}

    def restart(self, now: int) -> None:
        """Replace the process by a new one, which is cold and has an empty queue."""
        self.restarts += 1
        self.started, self.lifecycle, self.down, self.silent = now, "SERVING", False, False
        self.core_free_at, self.draining_since = [now] * CORES, 0
        self.recent_work.clear()

    def capacity_share(self, now: int, settings: i.Settings) -> float:
        """Return the share of its full capacity that the unit has during slow start; 1.0 once it is warm."""
        if not self.started:
            return 1.0
        age = min((now - self.started) / settings.cold_duration, 1.0)
        return settings.start_capacity + (1.0 - settings.start_capacity) * age

    def finish_at(self, now: int, work: int, settings: i.Settings) -> int | None:
        """Queue an attempt and return when it will be done, or None if the queue is full.

        `work` is the processor time that the attempt takes on a warm unit.
        """
        if (
            sum(free_at > now for free_at in self.core_free_at) == CORES
            and min(self.core_free_at) - now > QUEUE_LIMIT * work // CORES
        ):
            return None
        core = min(range(CORES), key=self.core_free_at.__getitem__)
        start = max(now, self.core_free_at[core])
        self.core_free_at[core] = start + int(work / self.capacity_share(start, settings))
        return self.core_free_at[core]

    def record_offered_work(self, now: int, work: int, settings: i.Settings, counts: RuleCounts) -> None:
        """Check rule 4: a cold unit is not offered more than the overload multiple of its capacity.

        Compares the work offered within the overload window with the unit's capacity in that time.
        """
        capacity_share = self.capacity_share(now, settings)
        if capacity_share >= 1.0:
            self.recent_work.clear()
            return
        self.recent_work.append((now, work))
        while self.recent_work[0][0] < now - settings.overload_window:
            self.recent_work.popleft()
        share = sum(amount for _, amount in self.recent_work) / (
            capacity_share * CORES * settings.overload_window
        )
        counts.cold_worst = max(counts.cold_worst, share)
        counts.cold_over += share > settings.overload_multiple


class Effects:
    """Checks rule 2: no request takes effect twice."""

    def __init__(self, counts: RuleCounts) -> None:
        self._counts = counts
        self._effect_counts: Counter[str] = Counter()  # by request
        self._first_seen: dict[tuple[str, int], int] = {}  # time, by request and group of units

    def record_run(self, name: str, rule: i.RequestClass, zone: int, now: int) -> None:
        """Record that a unit executed an attempt.

        A repeat of an idempotency key within the key window has no effect within its group of units: all
        units, or those of one zone.
        """
        if rule.effect is i.Effect.SAFE:
            return
        if rule.effect is i.Effect.KEYED:
            dedup_key = name, (0 if rule.dedup_scope is i.DedupScope.ALL else zone)
            first = self._first_seen.get(dedup_key)
            if first is not None and now - first <= rule.key_window:
                return
            self._first_seen[dedup_key] = now
        self._effect_counts[name] += 1
        self._counts.effects_twice += self._effect_counts[name] > 1
