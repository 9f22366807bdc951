"""How large a relay's subset is, and which relays share the units with it. Every tuned value stands here."""

from dataclasses import dataclass

PROBES_PER_RELAY = 4  # hashed tries for each relay of a block before a unit tries them all in turn


@dataclass(frozen=True, slots=True)
class Limits:
    """Figures of choice; a count of units or relays where nothing else is said."""

    left_alone: int = 384  # lists up to here are passed on whole, however few the descriptors
    size: int = 64  # members wanted
    least: float = 0.5  # share of a relay's even part of all units, below which it uses the next relay's too
    coverage: int = 4  # least relays that use a unit, where the descriptors allow as many members
    fine_from: int = 4  # units of a build for each relay of a block, from which it is dealt by strata
    represented: int = 3  # units of a build or zone for each relay of a block, from which all have a member
    grow: float = 1.5  # a plan is kept until its size is so many times the one wanted ...
    shrink: float = 0.75  # ... or less than this share of it
    leave: float = 0.9  # a list of this share of the bound is passed on whole again
    most_units: int = 65_536  # a longer list is refused
    failures: int = 3  # failed attempts in a row, after which a member counts as failing
    row: int = 16  # failed attempts in a row over all members, after which the subset counts as lost
    failing: float = 0.5  # share of failing members from which the subset is widened
    healed: float = 0.25  # ... and up to which it is narrowed again
    hold: int = 30_000_000_000  # ns between two steps of narrowing, and from the last widening


@dataclass(frozen=True, slots=True)
class Plan:
    """Relays are split into `coverage` blocks by index; in each, every unit is assigned to one relay."""

    coverage: int
    block: int
    relays: int  # of the block
    position: int  # of this relay in its block


def plan(me: int, instances: int, coverage: int) -> Plan:
    """The place of one relay. An index beyond the number of relays counts from 0 on again."""
    index = me % instances
    block = index % coverage
    return Plan(coverage, block, (instances - block + coverage - 1) // coverage, index // coverage)


def coverage_for(instances: int, units: int, bound: int, limits: Limits) -> int:
    """By how many relays each unit is used: what gives members enough, within `bound` connections; at
    least 1, since no unit may be left without a relay."""
    wanted = max(-(-limits.size * instances // max(units, 1)), limits.coverage)
    most = bound * instances // max(units, 1)
    return max(1, min(wanted, most, instances))


def still_good(coverage: int, instances: int, units: int, bound: int, limits: Limits) -> bool:
    """Whether a plan is kept. A better one would move nearly all members, so it must be much better."""
    best = coverage_for(instances, units, bound, limits)
    fits = coverage * units <= bound * instances or coverage <= best
    return coverage <= instances and fits and limits.shrink * best <= coverage <= limits.grow * best
