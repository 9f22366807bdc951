"""Assigns the units of one stratum to the relays of one block, each relay up to its capacity.

Each unit has an order of relays (jump hashes of its key) and a priority (its key). It is assigned to the
first relay of its order that has room once all units of higher priority are assigned. That is the stable
matching of Gale and Shapley (1962) where all relays rank the units alike: there is exactly one, so every
relay computes the same from the same list, whatever came before. A change is followed along the chain of
units that it displaces; its length depends on the number of relays of the block, not of units.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from loftroute.subset.hashing import jump, mix
from loftroute.subset.plan import PROBES_PER_RELAY


@dataclass(slots=True, eq=False)
class Seat:
    """Where a unit is assigned: the `attempt`-th relay of its order. Those before it refused the unit."""

    unit: int
    priority: int
    relay: int = -1
    attempt: int = -1
    refusals: list[int] = field(default_factory=list)


class Assignment:
    """Units to relays 0 to `relays` - 1 of a block. Units whose relay may have changed are put in `moved`."""

    def __init__(self, relays: int, moved: set[int]) -> None:
        self.relays = relays
        self.seats: dict[int, Seat] = {}
        self._moved = moved
        self._capacities = [0] * relays
        self._held: list[dict[int, int]] = [{} for _ in range(relays)]  # units and their priorities
        self._refused: list[dict[int, int]] = [{} for _ in range(relays)]

    def units(self, relay: int) -> Collection[int]:
        """The units assigned to a relay."""
        return self._held[relay]

    def update(self, capacities: list[int], new: Iterable[tuple[int, int]], gone: Iterable[int]) -> None:
        """Units come (number and key) and leave; the capacities must have room for all that are left."""
        for unit in gone:
            self._remove(unit)
        before = self._capacities
        if capacities != before:
            self._raise(capacities, before)
        for unit, key in sorted(new, key=lambda one: one[1], reverse=True):
            seat = self.seats[unit] = Seat(unit, key)
            self._settle(seat)
        if capacities != before:
            self._lower(capacities)

    def _raise(self, capacities: list[int], before: list[int]) -> None:
        self._capacities = [max(pair) for pair in zip(before, capacities, strict=True)]
        for relay, capacity in enumerate(capacities):
            for _ in range(min(capacity - before[relay], len(self._refused[relay]))):
                self._refill(relay)

    def _lower(self, capacities: list[int]) -> None:
        self._capacities = list(capacities)
        for relay, capacity in enumerate(capacities):
            while len(self._held[relay]) > capacity:
                self._settle(self._displace(relay))

    def _order(self, seat: Seat) -> int:
        """The relay that a unit tries at its present attempt."""
        if seat.attempt < PROBES_PER_RELAY * self.relays:
            return jump(mix(seat.priority + seat.attempt), self.relays)
        return seat.attempt % self.relays

    def _settle(self, seat: Seat) -> None:
        """Assign a unit without a relay, and then each unit that this displaces."""
        while True:
            seat.attempt += 1
            relay = seat.relay = self._order(seat)
            held = self._held[relay]
            held[seat.unit] = seat.priority
            self._moved.add(seat.unit)
            if len(held) <= self._capacities[relay]:
                return
            seat = self._displace(relay)

    def _displace(self, relay: int) -> Seat:
        """The unit of the lowest priority loses its place at a relay."""
        held = self._held[relay]
        unit = min(held, key=held.__getitem__)
        seat = self.seats[unit]
        self._refused[relay][unit] = held.pop(unit)
        seat.refusals.append(relay)
        self._moved.add(unit)
        return seat

    def _remove(self, unit: int) -> None:
        seat = self.seats.pop(unit)
        for relay in seat.refusals:
            self._refused[relay].pop(unit, None)
        del self._held[seat.relay][unit]
        self._moved.add(unit)
        self._refill(seat.relay)

    def _refill(self, relay: int) -> None:
        """A free place goes to the highest priority that was refused there, whose own place is free then."""
        while (refused := self._refused[relay]) and len(self._held[relay]) < self._capacities[relay]:
            seat = self.seats[max(refused, key=refused.__getitem__)]
            left = seat.relay
            del self._held[left][seat.unit]
            self._take_back(seat, relay)
            relay = left

    def _take_back(self, seat: Seat, relay: int) -> None:
        """Move a unit to a relay that refused it: what refused it from then on is forgotten."""
        seat.attempt = seat.refusals.index(relay)
        forgotten = seat.refusals[seat.attempt :]
        del seat.refusals[seat.attempt :]
        for later in set(forgotten).difference(seat.refusals):
            self._refused[later].pop(seat.unit, None)
        seat.relay = relay
        self._held[relay][seat.unit] = seat.priority
        self._moved.add(seat.unit)
