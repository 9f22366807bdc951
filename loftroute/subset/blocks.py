"""Assignment of all usable units to the relays of one block (see `plan.Plan`)."""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Iterator

from loftroute.decision.interface import FIRST_PRIVATE_GROUP, ServerEntry
from loftroute.subset.dealing import BuildAssignment, Unit
from loftroute.subset.hashing import mix
from loftroute.subset.plan import Limits, Plan


def _key(unit: Unit) -> int:
    return unit.key


def _build(unit: Unit) -> int:
    return unit.build


def _zone(unit: Unit) -> int:
    return unit.zone


class Block:
    """Assigns each usable unit to one relay of the block, separately for each build.

    Attributes:
        plan: The plan that this block was made for.
        moved: Numbers of units whose relay may have changed. The owner of the block clears it.
    """

    def __init__(self, plan: Plan, limits: Limits) -> None:
        """Create a block without units."""
        self.plan, self._limits = plan, limits
        self.moved: set[int] = set()
        self._salt = mix(plan.block + 1)
        self._units: dict[int, Unit] = {}
        self._builds: dict[int, BuildAssignment] = {}
        self._zones: Counter[int] = Counter()  # number of units in each zone

    def __len__(self) -> int:
        return len(self._units)

    def __contains__(self, unit: int) -> bool:
        return unit in self._units

    def relay_of(self, unit: int) -> int | None:
        """Return the relay that a unit is assigned to, or None if the unit is not usable."""
        known = self._units.get(unit)
        return None if known is None else self._builds[known.build].relay_of(unit)

    def units(self, relay: int) -> Iterator[Unit]:
        """Return the units assigned to a relay."""
        for assignment in self._builds.values():
            yield from assignment.units(relay)

    def count(self, relay: int) -> int:
        """Return how many units are assigned to a relay."""
        return sum(assignment.count(relay) for assignment in self._builds.values())

    def units_to_borrow(self, members: Iterable[Unit]) -> set[int]:
        """Return units of other relays that this relay needs to have every build and zone among its members.

        Only builds and zones with enough units for all relays count. Each borrowed unit is taken from the
        next relay of the block that has a unit of that build or zone.
        """
        members, min_units = list(members), self._min_represented_units
        builds, zones = {unit.build for unit in members}, {unit.zone for unit in members}
        builds_without_member = {
            build for build, assignment in self._builds.items() if len(assignment) >= min_units
        } - builds
        borrowed = {self._find_unit_to_borrow(_build, build) for build in builds_without_member}
        zones_without_member = {zone for zone, count in self._zones.items() if count >= min_units} - zones
        return borrowed | {self._find_unit_to_borrow(_zone, zone) for zone in zones_without_member}

    def _find_unit_to_borrow(self, get_attribute: Callable[[Unit], int], wanted: int) -> int:
        """Return a unit whose build or zone is `wanted`, from the next relay that has one."""
        for step in range(1, self.plan.relays):
            relay = (self.plan.position + step) % self.plan.relays
            matching = [unit for unit in self.units(relay) if get_attribute(unit) == wanted]
            if matching:
                return max(matching, key=_key).number
        raise AssertionError("no other relay of the block has a unit of a build or zone that should have one")

    @property
    def _min_represented_units(self) -> int:
        """The number of units from which every relay has a member of a build or zone."""
        return self._limits.represent_units_per_relay * self.plan.relays

    def units_to_observe(self, members: Iterable[Unit]) -> set[int]:
        """Return one unit of each build that has no member and too few units to lend one to every relay."""
        builds, min_units = {unit.build for unit in members}, self._min_represented_units
        small_builds = [
            assignment
            for build, assignment in self._builds.items()
            if build not in builds and len(assignment) < min_units
        ]
        return {assignment.representative_unit() for assignment in small_builds}

    def update(self, usable: Iterable[tuple[ServerEntry, int]], unusable: Iterable[int]) -> None:
        """Bring the assignment up to date.

        `usable` holds entries that are usable now, each with its unit's key; `unusable` holds the numbers of
        units that no longer are. A unit whose entry did not change is left where it is.
        """
        added: defaultdict[int, list[Unit]] = defaultdict(list)
        removed: defaultdict[int, list[Unit]] = defaultdict(list)
        for number in unusable:
            if unit := self._units.pop(number, None):
                removed[unit.build].append(unit)
        for entry, key in usable:
            zone = min(entry.zone, FIRST_PRIVATE_GROUP)  # units without a zone are distributed as one
            unit = Unit(entry.server, mix(key ^ self._salt), entry.build, (zone, entry.machine_type))
            before = self._units.get(unit.number)
            if before == unit:
                continue
            if before is not None:
                removed[before.build].append(before)
            self._units[unit.number] = unit
            added[unit.build].append(unit)
        for build in sorted(added.keys() | removed.keys()):
            self._update_build(build, added[build], removed[build])

    def _update_build(self, build: int, added: list[Unit], removed: list[Unit]) -> None:
        for unit in added:
            self._zones[unit.zone] += 1
        for unit in removed:
            self._zones[unit.zone] -= 1
            if not self._zones[unit.zone]:
                del self._zones[unit.zone]
        assignment = self._builds.get(build)
        if assignment is None:
            relays, stratify_from = self.plan.relays, self._limits.stratify_units_per_relay * self.plan.relays
            assignment = BuildAssignment(relays, mix(build ^ self._salt) % relays, stratify_from, self.moved)
            self._builds[build] = assignment
        assignment.update(added, removed)
        if not len(assignment):
            del self._builds[build]
