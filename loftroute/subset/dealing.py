"""Deals the units of one build evenly to the relays of a block.

A build with many units is dealt by strata (zone and machine type), and each relay gets at most its even part
of a stratum, rounded up. A build with few is dealt as one stratum, and each relay gets exactly its even part,
rounded up or down. Which unit goes to which relay, within these capacities, is decided by `Assignment`.
"""

from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from loftroute.subset.assignment import Assignment

Stratum = tuple[int, int]  # zone, machine type
_WHOLE_BUILD: Stratum = (-1, -1)


@dataclass(frozen=True, slots=True)
class Unit:
    """A unit that may be used: its number here, its key, the same at all relays, and its place."""

    number: int
    key: int
    build: int
    stratum: Stratum

    @property
    def zone(self) -> int:
        return self.stratum[0]


def even_parts(first: int, count: int, relays: int) -> list[int]:
    """How many of `count` units each relay gets, as cards are dealt from relay `first` on."""
    least, over = divmod(count, relays)
    return [least + ((relay - first) % relays < over) for relay in range(relays)]


class Deal:
    """The units of one build, assigned to the relays of a block."""

    def __init__(self, relays: int, first: int, fine_from: int, moved: set[int]) -> None:
        """`first` relay of an exact deal; `fine_from`: so many units are dealt by zone and machine type."""
        self._relays, self._first, self._fine_from, self._moved = relays, first, fine_from, moved
        self._units: dict[int, Unit] = {}
        self._fine = False
        self._strata: dict[Stratum, Assignment] = {}

    def __len__(self) -> int:
        return len(self._units)

    def units(self, relay: int) -> Iterator[Unit]:
        """The units assigned to a relay."""
        for assignment in self._strata.values():
            for number in assignment.units(relay):
                yield self._units[number]

    def count(self, relay: int) -> int:
        """How many units are assigned to a relay."""
        return sum(len(assignment.units(relay)) for assignment in self._strata.values())

    def relay_of(self, unit: int) -> int:
        """The relay that a unit is assigned to."""
        return self._strata[self._stratum(self._units[unit])].seats[unit].relay

    def first_unit(self) -> int:
        """The unit of the greatest key, the same at all relays; ValueError where there is none."""
        return max(self._units.values(), key=lambda unit: unit.key).number

    def update(self, coming: Iterable[Unit], leaving: Iterable[Unit]) -> None:
        """Units came and left; one that changed its place is in both. Work: the chains these displace."""
        coming, leaving = list(coming), list(leaving)
        for unit in leaving:
            del self._units[unit.number]
        self._units.update((unit.number, unit) for unit in coming)
        fine = len(self._units) >= self._fine_from
        if fine != self._fine:
            self._fine, self._strata = fine, {}
            self._moved.update(unit.number for unit in leaving)
            coming, leaving = list(self._units.values()), []
        new, gone = self._by_stratum(coming), self._by_stratum(leaving)
        for stratum in new.keys() | gone.keys():
            self._update(stratum, new.get(stratum, []), gone.get(stratum, []))

    def _stratum(self, unit: Unit) -> Stratum:
        return unit.stratum if self._fine else _WHOLE_BUILD

    def _by_stratum(self, units: Iterable[Unit]) -> dict[Stratum, list[Unit]]:
        found: defaultdict[Stratum, list[Unit]] = defaultdict(list)
        for unit in units:
            found[self._stratum(unit)].append(unit)
        return found

    def _update(self, stratum: Stratum, new: list[Unit], gone: list[Unit]) -> None:
        assignment = self._strata.get(stratum)
        if assignment is None:
            assignment = self._strata[stratum] = Assignment(self._relays, self._moved)
        count = len(assignment.seats) + len(new) - len(gone)
        assignment.update(
            self._capacities(count),
            [(unit.number, unit.key) for unit in new],
            [unit.number for unit in gone],
        )
        if not count:
            del self._strata[stratum]

    def _capacities(self, count: int) -> list[int]:
        if self._fine:
            return [-(-count // self._relays)] * self._relays
        return even_parts(self._first, count, self._relays)
