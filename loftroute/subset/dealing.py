"""Even distribution of the units of one build over the relays of a block.

A build with many units is distributed by stratum (zone and machine type): each relay gets at most its even
share of each stratum, rounded up. A build with few units is distributed as one stratum: each relay gets
exactly its even share, rounded up or down. `Assignment` decides which unit goes to which relay within these
capacities.
"""

from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from loftroute.subset.assignment import Assignment

Stratum = tuple[int, int]  # zone, machine type
_WHOLE_BUILD: Stratum = (-1, -1)


@dataclass(frozen=True, slots=True)
class Unit:
    """A usable unit.

    Attributes:
        number: The number by which this relay knows the unit; other relays may use another one.
        key: Key of the unit within the block, the same at all relays.
        build: The build that the unit runs.
        stratum: Zone and machine type.
    """

    number: int
    key: int
    build: int
    stratum: Stratum

    @property
    def zone(self) -> int:
        """The unit's zone."""
        return self.stratum[0]


def even_shares(first_relay: int, count: int, relays: int) -> list[int]:
    """Return how many of `count` units each relay gets when they are dealt in turn from `first_relay`."""
    base, remainder = divmod(count, relays)
    return [base + ((relay - first_relay) % relays < remainder) for relay in range(relays)]


class BuildAssignment:
    """The units of one build, assigned to the relays of a block."""

    def __init__(self, relays: int, first_relay: int, stratify_from: int, moved: set[int]) -> None:
        """Create an assignment without units.

        `first_relay` is the first to get a unit more than others when a small build is distributed;
        `stratify_from` is the number of units from which the build is distributed by zone and machine type.
        Units whose relay may have changed are added to `moved`.
        """
        self._relays, self._first_relay, self._stratify_from, self._moved = (
            relays,
            first_relay,
            stratify_from,
            moved,
        )
        self._units: dict[int, Unit] = {}
        self._stratified = False
        self._strata: dict[Stratum, Assignment] = {}

    def __len__(self) -> int:
        return len(self._units)

    def units(self, relay: int) -> Iterator[Unit]:
        """Return the units assigned to a relay."""
        for assignment in self._strata.values():
            for number in assignment.units(relay):
                yield self._units[number]

    def count(self, relay: int) -> int:
        """Return how many units are assigned to a relay."""
        return sum(len(assignment.units(relay)) for assignment in self._strata.values())

    def relay_of(self, unit: int) -> int:
        """Return the relay that a unit is assigned to. Raises KeyError for an unknown unit."""
        return self._strata[self._stratum(self._units[unit])].placements[unit].relay

    def representative_unit(self) -> int:
        """Return the unit with the greatest key, the same at all relays. Raises ValueError if empty."""
        return max(self._units.values(), key=lambda unit: unit.key).number

    def update(self, added: Iterable[Unit], removed: Iterable[Unit]) -> None:
        """Add and remove units. A unit whose build or stratum changed is in both, with both its values.

        The work is proportional to the number of units that are displaced, not to the size of the build.
        """
        added, removed = list(added), list(removed)
        for unit in removed:
            del self._units[unit.number]
        self._units.update((unit.number, unit) for unit in added)
        stratified = len(self._units) >= self._stratify_from
        if stratified != self._stratified:
            self._stratified, self._strata = stratified, {}
            self._moved.update(unit.number for unit in removed)
            added, removed = list(self._units.values()), []
        added_by_stratum, removed_by_stratum = self._by_stratum(added), self._by_stratum(removed)
        for stratum in added_by_stratum.keys() | removed_by_stratum.keys():
            self._update(stratum, added_by_stratum.get(stratum, []), removed_by_stratum.get(stratum, []))

    def _stratum(self, unit: Unit) -> Stratum:
        return unit.stratum if self._stratified else _WHOLE_BUILD

    def _by_stratum(self, units: Iterable[Unit]) -> dict[Stratum, list[Unit]]:
        units_by_stratum: defaultdict[Stratum, list[Unit]] = defaultdict(list)
        for unit in units:
            units_by_stratum[self._stratum(unit)].append(unit)
        return units_by_stratum

    def _update(self, stratum: Stratum, added: list[Unit], removed: list[Unit]) -> None:
        assignment = self._strata.get(stratum)
        if assignment is None:
            assignment = self._strata[stratum] = Assignment(self._relays, self._moved)
        count = len(assignment.placements) + len(added) - len(removed)
        assignment.update(
            self._capacities(count),
            [(unit.number, unit.key) for unit in added],
            [unit.number for unit in removed],
        )
        if not count:
            del self._strata[stratum]

    def _capacities(self, count: int) -> list[int]:
        if self._stratified:
            return [-(-count // self._relays)] * self._relays
        return even_shares(self._first_relay, count, self._relays)
