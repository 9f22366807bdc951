"""Priority of a virtual router, lowered while tracked conditions fail and damped against flapping.

No I/O; times are arguments, in nanoseconds.
"""

from dataclasses import dataclass, field

from loftroute.protocol.vrrp import OWNER_PRIORITY


@dataclass(frozen=True, slots=True)
class Condition:
    """A condition that should hold.

    Attributes:
        name: Its name in the settings.
        cost: By how much the priority is lower while the condition fails.
        damped: Whether a recovery counts only after a delay. False for a condition that follows from a
            decision rather than a measurement, such as the fence of a pair.
    """

    name: str
    cost: int
    damped: bool = True


@dataclass(slots=True)
class _ConditionState:
    """What was observed of one condition."""

    holds: bool = True
    since: int = 0  # when `holds` last changed, ns
    penalty: float = 0.0  # grows by 1 with each failure, halves in each `half_life`
    penalty_at: int = 0  # when `penalty` was computed, ns


@dataclass(slots=True)
class Tracker:
    """Computes the effective priority from the tracked conditions.

    A failure counts after `down_delay`, a recovery after `up_delay`. The recovery delay doubles with each
    recent failure, as in route flap damping (RFC 2439) with a penalty of 1 for each flap.

    Attributes:
        base_priority: The configured priority.
        conditions: The tracked conditions.
        down_delay: Time until a failure counts, in nanoseconds.
        up_delay: Time until a recovery counts, in nanoseconds, without recent failures.
        max_up_delay: Maximum time until a recovery counts, in nanoseconds.
        half_life: Time after which a penalty has halved, in nanoseconds.
    """

    base_priority: int
    conditions: tuple[Condition, ...]
    down_delay: int = 100_000_000
    up_delay: int = 1_000_000_000
    max_up_delay: int = 60_000_000_000
    half_life: int = 30_000_000_000
    _states: dict[str, _ConditionState] = field(default_factory=dict)
    _failed: set[str] = field(default_factory=set)  # names of conditions that count as failed

    def observe(self, now: int, name: str, holds: bool) -> None:
        """Record whether a condition holds at `now` (ns). Unknown names are recorded but have no effect."""
        state = self._states.setdefault(name, _ConditionState(True, now, 0.0, now))
        if state.holds == holds:
            return
        if not holds:
            state.penalty = self._penalty(state, now) + 1
            state.penalty_at = now
        state.holds, state.since = holds, now

    def priority(self, now: int) -> int:
        """Return the effective priority at `now` (ns).

        It is the base priority if all conditions hold, else lower by their costs and at least 1. The owner of
        the addresses (255) counts as 254 before the costs, since it cannot act as the owner then.
        """
        for condition in self.conditions:
            state = self._states.get(condition.name)
            if state is None:
                continue
            if not state.holds and now - state.since >= self.down_delay:
                self._failed.add(condition.name)
            elif state.holds and (
                not condition.damped or now - state.since >= self._recovery_delay(state, now)
            ):
                self._failed.discard(condition.name)
        cost = sum(condition.cost for condition in self.conditions if condition.name in self._failed)
        base_priority = min(self.base_priority, OWNER_PRIORITY - 1) if cost else self.base_priority
        return max(base_priority - cost, 1) if cost else base_priority

    @property
    def failed(self) -> list[str]:
        """Names of the conditions that count as failed."""
        return sorted(self._failed)

    def _penalty(self, state: _ConditionState, now: int) -> float:
        return float(state.penalty * 0.5 ** ((now - state.penalty_at) / self.half_life))

    def _recovery_delay(self, state: _ConditionState, now: int) -> int:
        return int(min(self.up_delay * 2 ** max(self._penalty(state, now) - 1, 0), self.max_up_delay))
