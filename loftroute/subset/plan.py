"""Limits of the subset, and the plan that decides how many relays use each unit.

The relays of a deployment are split into `coverage` blocks by their index. Within each block every unit is
assigned to exactly one relay, so each unit is used by `coverage` relays in all.
"""

from dataclasses import dataclass

PROBES_PER_RELAY = 4  # hashed choices per relay of a block; after these a unit tries the relays in turn


@dataclass(frozen=True, slots=True)
class Limits:
    """Tuning parameters of the subset. Counts are units, relays or attempts; shares are fractions of 1.

    Attributes:
        max_full_list_units: Lists up to this length are never reduced to a subset, even if the relay has
            fewer connections than units.
        target_size: Wanted number of members per relay.
        min_assigned_share: Minimum share of the average number of units per relay. A relay that was assigned
            fewer units also uses those of the next relays of its block.
        min_coverage: Minimum number of relays that use each unit, if the connection limit allows it.
        stratify_units_per_relay: Units of a build per relay of a block from which the build is distributed
            by zone and machine type.
        represent_units_per_relay: Units of a build or zone per relay of a block from which every relay has a
            member of that build or zone.
        max_coverage_ratio: A plan is replaced when its coverage is above this multiple of the best one.
        min_coverage_ratio: A plan is replaced when its coverage is below this multiple of the best one.
        release_share: The full list is used again when it shrinks to this share of the length from which a
            subset is used.
        max_units: Longer lists are rejected.
        member_failure_threshold: Consecutive failed attempts after which a member counts as failing.
        subset_failure_threshold: Consecutive failed attempts over all members after which the whole subset
            counts as unreachable.
        widen_failing_share: Share of failing members from which the subset is widened.
        narrow_failing_share: Share of failing members up to which the subset may be narrowed.
        narrow_interval_ns: Minimum time between a widening or narrowing and the next narrowing.
    """

    max_full_list_units: int = 384
    target_size: int = 64
    min_assigned_share: float = 0.5
    min_coverage: int = 4
    stratify_units_per_relay: int = 4
    represent_units_per_relay: int = 3
    max_coverage_ratio: float = 1.5
    min_coverage_ratio: float = 0.75
    release_share: float = 0.9
    max_units: int = 65_536
    member_failure_threshold: int = 3
    subset_failure_threshold: int = 16
    widen_failing_share: float = 0.5
    narrow_failing_share: float = 0.25
    narrow_interval_ns: int = 30_000_000_000


@dataclass(frozen=True, slots=True)
class Plan:
    """The place of one relay among all relays.

    Attributes:
        coverage: Number of blocks, which is the number of relays that use each unit.
        block: Index of this relay's block.
        relays: Number of relays in the block.
        position: Index of this relay within its block.
    """

    coverage: int
    block: int
    relays: int
    position: int


def relay_plan(instance_index: int, instances: int, coverage: int) -> Plan:
    """Return the plan of one relay. An index of `instances` or more is taken modulo `instances`."""
    index = instance_index % instances
    block = index % coverage
    return Plan(coverage, block, (instances - block + coverage - 1) // coverage, index // coverage)


def coverage_for(instances: int, units: int, connection_limit: int, limits: Limits) -> int:
    """Return the best coverage: the number of relays that should use each unit.

    It is chosen so that each relay has enough members within its connection limit. It is at least 1, even if
    that exceeds the connection limit, because no unit may be left without a relay.
    """
    wanted = max(-(-limits.target_size * instances // max(units, 1)), limits.min_coverage)
    max_coverage = connection_limit * instances // max(units, 1)
    return max(1, min(wanted, max_coverage, instances))


def is_plan_acceptable(
    coverage: int, instances: int, units: int, connection_limit: int, limits: Limits
) -> bool:
    """Return whether a plan with this coverage should be kept.

    A new plan moves nearly all members, so the current one is kept unless the best one is much better.
    """
    best = coverage_for(instances, units, connection_limit, limits)
    fits = coverage * units <= connection_limit * instances or coverage <= best
    return (
        coverage <= instances
        and fits
        and limits.min_coverage_ratio * best <= coverage <= limits.max_coverage_ratio * best
    )
