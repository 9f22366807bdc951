"""The subset of a large list of units that one relay uses.

This is a state machine between discovery and the decision module. `Pool.handle` takes the lists that
discovery reports and returns the lists to pass on to the module (`interface.ServerList`) with lines for the
log (`interface.Log`). A list that is short enough for the relay's connections is passed on unchanged, as the
same object. `Pool.attempt_ended` takes the outcomes of attempts and widens the subset when its members fail.

There is no clock, I/O or randomness here; times are integers in nanoseconds.
"""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import asdict, dataclass, replace

from loftroute.decision.interface import ListKind, Log, Outcome, ServerEntry, ServerList, ServerState
from loftroute.subset.blocks import Block
from loftroute.subset.health import Health
from loftroute.subset.plan import Limits, Plan, coverage_for, is_plan_acceptable, relay_plan
from loftroute.subset.registry import Registry

Action = ServerList | Log


@dataclass(slots=True)
class Counters:
    """Event counts since the start. Each is printed in the state line under its own name.

    Attributes:
        taken: Changes from the full list to a subset.
        planned: New plans, made because the number of units or relays changed a lot.
        widened: Widenings of the subset.
        narrowed: Narrowings of the subset.
        released: Changes from a subset back to the full list.
        joined: Units that became members.
        left: Units that stopped being members.
    """

    taken: int = 0
    planned: int = 0
    widened: int = 0
    narrowed: int = 0
    released: int = 0
    joined: int = 0
    left: int = 0


def _process_identity(entry: ServerEntry) -> tuple[int, int]:
    """Return what changes when a unit's process is replaced."""
    return entry.build, entry.started


class Pool:
    """Keeps the full list of units and reports this relay's subset of it to the module.

    Attributes:
        counters: Event counts for the state line.
    """

    def __init__(
        self, instance_index: int, instances: int, connection_limit: int, limits: Limits | None = None
    ) -> None:
        """Create the pool of one relay, without a list.

        `instance_index` and `instances` are this relay's index and the number of relays; `connection_limit`
        is the number of connections to units that the relay may hold. Raises ValueError if `instances` or
        `connection_limit` is below 1.
        """
        if instances < 1 or connection_limit < 1:
            raise ValueError(
                f"subset: instances {instances} and connection limit {connection_limit} must be at least 1"
            )
        self._instance_index, self._instances, self._connection_limit = (
            instance_index,
            instances,
            connection_limit,
        )
        self._limits = limits or Limits()
        self._max_full_list = max(connection_limit, self._limits.max_full_list_units)
        self._registry = Registry(self._limits.max_units)
        self._block: Block | None = None  # None while the full list is used
        self._reported: dict[int, ServerEntry] = {}  # the module's list while a subset is used
        self._borrowed: set[int] = set()  # members beyond the assigned units
        self._observed: set[int] = set()  # reported as draining to make their builds known
        self._width = 1  # minimum number of relays of the block whose units this relay uses
        self._source_relays: set[int] = set()  # relays of the block whose units were reported
        self._width_changed_at = 0  # time of the last widening or narrowing, ns
        self._health = Health(self._limits)
        # A failed discovery call was reported: the next list is reported too, even without any change.
        self._must_report_next = False
        self.counters = Counters()

    # ---- state

    @property
    def is_subset_active(self) -> bool:
        """Whether the module uses a subset instead of the full list."""
        return self._block is not None

    @property
    def members(self) -> set[int]:
        """The units that the module may send requests to."""
        entries = self._reported if self.is_subset_active else self._registry.entries
        return {unit for unit, entry in entries.items() if entry.state is ServerState.READY}

    @property
    def coverage(self) -> int:
        """By how many relays each unit is used; 0 while the full list is used."""
        return self._block.plan.coverage if self._block else 0

    def figures(self) -> dict[str, int]:
        """Return the figures for the state line."""
        sizes = {"listed": len(self._registry), "told": len(self._reported), "widths": self._width}
        return {f"subset {name}": count for name, count in (sizes | asdict(self.counters)).items()}

    # ---- events

    def handle(self, now: int, event: ServerList, names: Mapping[int, str] | None = None) -> list[Action]:
        """Apply a list from discovery, and return what to report to the module.

        `now` is in nanoseconds. `names` maps unit numbers to the ids of the units, which are the same at all
        relays. Raises `ListTooLongError`, without changing anything, if the list is too long to be kept.
        """
        if event.kind is ListKind.FAILED:
            self._must_report_next = True
            return [event]
        changed = self._registry.apply(event, names or {})
        listed = len(self._registry)
        if self._block is None:
            return [event] if listed <= self._max_full_list else self._start_subset(now)
        if listed <= self._limits.release_share * self._max_full_list:
            return self._release()
        return self._update(self._block, changed, event.kind is not ListKind.DELTA)

    def resize(self, instance_index: int, instances: int) -> list[Action]:
        """Change this relay's index and the number of relays. Raises ValueError if that is below 1."""
        if instances < 1:
            raise ValueError(f"subset: instances {instances} must be at least 1")
        self._instance_index, self._instances = instance_index, instances
        return self._update(self._block, set(), False) if self._block else []

    def attempt_ended(self, now: int, unit: int, outcome: Outcome) -> list[Action]:
        """Count the outcome of an attempt at a unit, and return what to report to the module.

        The subset is widened when its members fail, and narrowed step by step when they have recovered.
        `now` is in nanoseconds.
        """
        if self._block is None or unit not in self._reported:
            return []
        self._health.attempt_ended(unit, outcome)
        failing = len(self._health.failing) >= self._limits.widen_failing_share * len(self._reported)
        if self._health.is_lost or failing:
            return self._widen(self._block, now)
        if self._width > 1 and now - self._width_changed_at >= self._limits.narrow_interval_ns:
            return self._narrow(self._block, now)
        return []

    # ---- switching between full list and subset, and following the list

    def _start_subset(self, now: int) -> list[Action]:
        """Use a subset instead of the full list."""
        self.counters.taken += 1
        self._width, self._width_changed_at = 1, now
        units = sum(map(self._registry.is_usable, self._registry.entries))
        coverage = coverage_for(self._instances, units, self._connection_limit, self._limits)
        block = self._build_block(relay_plan(self._instance_index, self._instances, coverage))
        return [self._report_all(block), self._log_line(block, "taken")]

    def _release(self) -> list[Action]:
        """Use the full list again."""
        self.counters.released += 1
        self._block = None
        self._reported, self._borrowed, self._observed = {}, set(), set()
        self._health = Health(self._limits)
        entries = tuple(self._registry.entries.values())
        line = Log(f"subset: released, the full list of {len(entries)} units is used")
        return [ServerList(ListKind.FULL, self._registry.version, entries), line]

    def _update(self, block: Block, changed: set[int], is_full: bool) -> list[Action]:
        """Bring the subset up to date with the list, and return what changes for the module."""
        self._update_block(block, changed)
        new_plan = self._choose_plan(block)
        if new_plan != block.plan:
            self.counters.planned += 1
            block = self._build_block(new_plan)
            report = (
                self._report_all(block) if is_full else self._report_changes(block, self._reported.keys())
            )
            return [report, self._log_line(block, "replanned")]
        if is_full:
            return [self._report_all(block)]
        report = self._report_changes(block, changed | block.moved, forced=changed)
        must_report, self._must_report_next = self._must_report_next, False
        return [report] if report.entries or must_report else []

    def _choose_plan(self, block: Block) -> Plan:
        """Return the current plan if it is still acceptable, else the best one."""
        coverage, units = block.plan.coverage, len(block)
        if units and not is_plan_acceptable(
            coverage, self._instances, units, self._connection_limit, self._limits
        ):
            coverage = coverage_for(self._instances, units, self._connection_limit, self._limits)
        return relay_plan(self._instance_index, self._instances, coverage)

    def _build_block(self, new_plan: Plan) -> Block:
        """Replace the block by one for a new plan, with all usable units."""
        block = self._block = Block(new_plan, self._limits)
        self._source_relays = set()
        self._update_block(block, self._registry.entries.keys())
        return block

    def _update_block(self, block: Block, changed: Iterable[int]) -> None:
        """Bring the block up to date with the listed entries of `changed` units."""
        registry = self._registry
        usable_units = [
            (registry.entries[unit], registry.keys[unit]) for unit in changed if registry.is_usable(unit)
        ]
        unusable_units = [unit for unit in changed if unit in block and not registry.is_usable(unit)]
        block.update(usable_units, unusable_units)

    # ---- choosing members, and reporting them to the module

    def _choose_source_relays(self, block: Block) -> set[int]:
        """Return the relays of the block whose units this relay uses.

        These are the relay itself and the ones after it: as many as the subset was widened to, and further
        ones while the units are fewer than the minimum share, for example after many units left at once.
        """
        position, relays = block.plan.position, block.plan.relays
        min_units, units = self._limits.min_assigned_share * len(block) / relays, 0
        source_relays: set[int] = set()
        for step in range(relays):
            if step >= self._width and units >= min_units:
                break
            relay = (position + step) % relays
            source_relays.add(relay)
            units += block.count(relay)
        return source_relays

    def _update_representatives(self, block: Block) -> set[int]:
        """Choose units so that each build and zone is represented; return those that may have changed.

        A build with too few units to lend one to every relay is represented by an observed unit: it is
        reported as draining, so that the module knows the build and can vote on it but sends it no requests.
        """
        before = self._borrowed | self._observed
        assigned = [unit for relay in sorted(self._source_relays) for unit in block.units(relay)]
        self._borrowed, self._observed = block.units_to_borrow(assigned), block.units_to_observe(assigned)
        return before | self._borrowed | self._observed

    def _entry_to_report(self, block: Block, unit: int) -> ServerEntry | None:
        """Return the entry that the module should have for a unit, or None if it should have none."""
        entry = self._registry.entries.get(unit)
        if entry is None:
            return None
        if entry.state is ServerState.DRAINING:
            return entry if unit in self._reported else None
        if block.relay_of(unit) in self._source_relays or unit in self._borrowed:
            return entry
        return replace(entry, state=ServerState.DRAINING) if unit in self._observed else None

    def _report_changes(
        self, block: Block, candidates: Iterable[int], forced: Collection[int] = ()
    ) -> ServerList:
        """Return a delta that brings the module's list up to date.

        Only `candidates` and units that changed relay, were borrowed or observed are looked at. A unit that
        is no longer a member is reported as gone: it gets no new requests, and open attempts finish. Members
        in `forced` are reported even if their entries are the same, because their addresses may have changed.
        """
        previous_relays, self._source_relays = self._source_relays, self._choose_source_relays(block)
        changed_relay_units = {
            unit.number for relay in previous_relays ^ self._source_relays for unit in block.units(relay)
        }
        entries = []
        for unit in sorted({*candidates, *changed_relay_units, *self._update_representatives(block)}):
            target, reported = self._entry_to_report(block, unit), self._reported.get(unit)
            must_report = target != reported or (unit in forced and target is not None)
            if must_report and (entry := self._record_change(unit, target, reported)):
                entries.append(entry)
        block.moved.clear()
        return ServerList(ListKind.DELTA, self._registry.version, tuple(entries))

    def _record_change(
        self, unit: int, target: ServerEntry | None, reported: ServerEntry | None
    ) -> ServerEntry | None:
        """Change the module's entry of a unit from `reported` to `target`, and return the entry to send."""
        is_ready = target is not None and target.state is ServerState.READY
        was_ready = reported is not None and reported.state is ServerState.READY
        self.counters.joined += is_ready and not was_ready
        self.counters.left += was_ready and not is_ready
        if reported is None or target is None or _process_identity(target) != _process_identity(reported):
            self._health.forget(unit)
        if target is not None:
            self._reported[unit] = target
            return target
        del self._reported[unit]
        return replace(reported, state=ServerState.GONE) if reported else None

    def _report_all(self, block: Block) -> ServerList:
        """Return the module's complete list."""
        self._report_changes(block, self._reported.keys() | block.moved)
        return ServerList(ListKind.FULL, self._registry.version, tuple(self._reported.values()))

    # ---- widening and narrowing

    def _widen(self, block: Block, now: int) -> list[Action]:
        """Double the width, up to the one at which the subset is as long as a full list may be."""
        self._health.reset_consecutive_failures()
        relays, units = block.plan.relays, max(len(block), 1)
        max_width = max(1, min(relays, self._max_full_list * relays // units))
        if self._width >= max_width:
            return []
        self.counters.widened += 1
        self._width, self._width_changed_at = min(2 * self._width, max_width), now
        return [self._report_changes(block, ()), self._log_line(block, "widened")]

    def _narrow(self, block: Block, now: int) -> list[Action]:
        """Halve the width, unless too many of the remaining members are failing."""
        previous_width, self._width_changed_at = self._width, now
        self._width = previous_width // 2
        remaining = {
            unit.number for relay in self._choose_source_relays(block) for unit in block.units(relay)
        }
        if len(remaining & self._health.failing) > self._limits.narrow_failing_share * len(remaining):
            self._width = previous_width
            return []
        self.counters.narrowed += 1
        return [self._report_changes(block, ()), self._log_line(block, "narrowed")]

    def _log_line(self, block: Block, step_name: str) -> Log:
        plan = block.plan
        return Log(
            f"subset: {step_name}, {len(self.members)} of {len(self._registry)} units, each used by "
            f"{plan.coverage * self._width} of {self._instances} relays; "
            f"{len(self._health.failing)} members fail, {self._connection_limit} connections"
        )
