"""Assignment of the units of one stratum to the relays of a block, each relay up to its capacity.

Each unit has a preference order of relays (jump hashes of its key) and a priority (its key). It is assigned
to the first relay of its order that still has room after all units of higher priority were assigned. This is
the stable matching of Gale and Shapley (1962) for the case that all relays rank the units alike. There is
exactly one such matching, so all relays compute the same result from the same list, whatever the history.

A change only touches the chain of units that displace each other. The length of that chain depends on the
number of relays of the block, not on the number of units.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from loftroute.subset.hashing import jump_hash, mix
from loftroute.subset.plan import PROBES_PER_RELAY


@dataclass(slots=True, eq=False)
class Placement:
    """Where a unit is assigned.

    Attributes:
        unit: Number of the unit.
        priority: Key of the unit; units with greater keys are assigned first.
        relay: The relay that the unit is assigned to; -1 before the first attempt.
        attempt: Index of `relay` in the unit's preference order.
        refused_by: The relays that refused the unit, in the order of the attempts. A relay may occur twice.
    """

    unit: int
    priority: int
    relay: int = -1
    attempt: int = -1
    refused_by: list[int] = field(default_factory=list)


class Assignment:
    """Assigns units to the relays 0 to `relays` - 1 of a block."""

    def __init__(self, relays: int, moved: set[int]) -> None:
        """Create an empty assignment. Units whose relay may have changed are added to `moved`."""
        self.relays = relays
        self.placements: dict[int, Placement] = {}
        self._moved = moved
        self._capacities = [0] * relays
        self._assigned: list[dict[int, int]] = [{} for _ in range(relays)]  # priorities by unit
        self._refused: list[dict[int, int]] = [{} for _ in range(relays)]

    def units(self, relay: int) -> Collection[int]:
        """Return the units assigned to a relay."""
        return self._assigned[relay]

    def update(self, capacities: list[int], added: Iterable[tuple[int, int]], removed: Iterable[int]) -> None:
        """Set the capacities and add and remove units.

        `added` holds unit numbers and keys. The capacities must have room for all units that remain.
        """
        for unit in removed:
            self._remove(unit)
        before = self._capacities
        if capacities != before:
            self._raise_capacities(capacities, before)
        for unit, key in sorted(added, key=lambda unit_and_key: unit_and_key[1], reverse=True):
            placement = self.placements[unit] = Placement(unit, key)
            self._place(placement)
        if capacities != before:
            self._lower_capacities(capacities)

    def _raise_capacities(self, capacities: list[int], before: list[int]) -> None:
        """Raise the capacities that grow, and fill the room with refused units."""
        self._capacities = [max(old_and_new) for old_and_new in zip(before, capacities, strict=True)]
        for relay, capacity in enumerate(capacities):
            for _ in range(min(capacity - before[relay], len(self._refused[relay]))):
                self._refill(relay)

    def _lower_capacities(self, capacities: list[int]) -> None:
        """Set the final capacities, and move the units that exceed them."""
        self._capacities = list(capacities)
        for relay, capacity in enumerate(capacities):
            while len(self._assigned[relay]) > capacity:
                self._place(self._evict(relay))

    def _preferred_relay(self, placement: Placement) -> int:
        """Return the relay that a unit tries at its current attempt."""
        if placement.attempt < PROBES_PER_RELAY * self.relays:
            return jump_hash(mix(placement.priority + placement.attempt), self.relays)
        return placement.attempt % self.relays

    def _place(self, placement: Placement) -> None:
        """Assign a unit that has no relay, then each unit that is displaced by it."""
        while True:
            placement.attempt += 1
            relay = placement.relay = self._preferred_relay(placement)
            assigned = self._assigned[relay]
            assigned[placement.unit] = placement.priority
            self._moved.add(placement.unit)
            if len(assigned) <= self._capacities[relay]:
                return
            placement = self._evict(relay)

    def _evict(self, relay: int) -> Placement:
        """Remove the unit of lowest priority from a relay, and return its placement."""
        assigned = self._assigned[relay]
        unit = min(assigned, key=assigned.__getitem__)
        placement = self.placements[unit]
        self._refused[relay][unit] = assigned.pop(unit)
        placement.refused_by.append(relay)
        self._moved.add(unit)
        return placement

    def _remove(self, unit: int) -> None:
        """Remove a unit, and give its place to a refused unit."""
        placement = self.placements.pop(unit)
        for relay in placement.refused_by:
            self._refused[relay].pop(unit, None)
        del self._assigned[placement.relay][unit]
        self._moved.add(unit)
        self._refill(placement.relay)

    def _refill(self, relay: int) -> None:
        """Give free capacity of a relay to the refused unit of highest priority.

        This frees capacity at the relay that the unit leaves, which is then filled in the same way.
        """
        while (refused := self._refused[relay]) and len(self._assigned[relay]) < self._capacities[relay]:
            placement = self.placements[max(refused, key=refused.__getitem__)]
            previous_relay = placement.relay
            del self._assigned[previous_relay][placement.unit]
            self._reclaim(placement, relay)
            relay = previous_relay

    def _reclaim(self, placement: Placement, relay: int) -> None:
        """Move a unit to a relay that refused it, and drop the refusals from that attempt on."""
        placement.attempt = placement.refused_by.index(relay)
        forgotten = placement.refused_by[placement.attempt :]
        del placement.refused_by[placement.attempt :]
        for later_relay in set(forgotten).difference(placement.refused_by):
            self._refused[later_relay].pop(placement.unit, None)
        placement.relay = relay
        self._assigned[relay][placement.unit] = placement.priority
        self._moved.add(placement.unit)
