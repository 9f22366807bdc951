"""Simulates failures and operations of a large fleet and reports what the checks and stand-ins counted.

A simulation is determined by its seed. Times of the constants are in nanoseconds.
"""

import gc
import time
from collections.abc import Callable
from dataclasses import asdict, dataclass
from functools import partial

from loftroute.lab.scale import workload
from loftroute.lab.scale.fleet import HollowFleet
from loftroute.lab.scale.plan import EventKind, EventPlan
from loftroute.lab.scale.simulation import START_TIME
from loftroute.lab.scale.units import HollowUnit
from loftroute.lab.setup import SECOND

CALM_PERIOD = 4 * SECOND  # before an event
RESTARTS_PER_DAY, RESTART_FLEET_SIZE = 600, 5000  # 600 of 5,000 units restart in a day
DRAIN_PERIOD, DOWN_PERIOD = 2 * SECOND, SECOND  # how long a unit drains, and is then down
DETECTION_DELAY = SECOND  # until discovery removes a silent unit from its list
RACKS = 30  # a rack holds one thirtieth of the units
OUTAGE = 5 * SECOND  # how long a rack or a zone is down
RESTARTS_PER_TRIAL = 10  # one restarted unit in ten starts the trial build
CONTROL_MACHINE_COUNT = 7  # as many units restart while control is unavailable


@dataclass
class EventResult:
    """The effect of one event on the fleet. Times are in simulated seconds."""

    kind: str
    relays: int
    units: int
    seed: int
    simulated_s: float
    processor_s: float
    asked: int
    open: int  # unanswered at the end of the simulation
    served: int
    refused: int
    failed: int
    cut_off: int  # open at a relay that was killed
    lost: int  # unanswered 50 ms past the deadline
    answered_twice: int
    sent_after_end: int
    effects_twice: int
    drains_broken: int
    cold_worst: float
    cold_over: int
    trial_share: float  # attempts at the trial build for each request of the trial
    trial_allowed: float
    discovery_calls: int
    discovery_whole_lists: int
    discovery_busiest_second: int
    discovery_sent_bytes: int
    platform_calls: int
    platform_sent_bytes: int
    bytes_a_relay_s: float  # per relay and second, from and to discovery and the platform
    control_core_percent: float  # mean processor time of a relay for control
    change_to_last_relay_s: float  # maximum over all changes
    right_again_s: float  # from the event's end until all lists are current and requests served

    @property
    def rules_kept(self) -> bool:
        """Whether the five rules held, as far as a simulation can check them."""
        return not (
            self.lost
            or self.open
            or self.sent_after_end
            or self.answered_twice
            or self.effects_twice
            or self.drains_broken
            or self.cold_over
            or self.trial_share > self.trial_allowed
        )


class EventRunner:
    """Simulates one event on one fleet."""

    def __init__(self, plan: EventPlan) -> None:
        self.plan = plan
        self.fleet = HollowFleet(plan.relays, plan.units, plan.requests_per_s, plan.seed)
        self.simulation = self.fleet.simulation
        self.length = int(plan.length_s * SECOND)
        self.start_event: dict[EventKind, Callable[[], None]] = {
            EventKind.RESTARTS: self._restarts,
            EventKind.RACK: self._rack,
            EventKind.ZONE: self._zone,
            EventKind.REGIONS_APART: self._regions_apart,
            EventKind.DISCOVERY_RESTART: self._discovery_restart,
            EventKind.CONTROL_MACHINES: self._control_machines,
        }

    def play(self) -> EventResult:
        """Simulate the calm period, the event and the time after it, and return the results."""
        cpu_before = time.process_time()
        gc.collect()
        gc.freeze()
        self.simulation.run(CALM_PERIOD)
        self.start_event[self.plan.kind]()
        self.simulation.run(self.length)
        event_end = self.simulation.now
        self.simulation.run(int(self.plan.settle_s * SECOND))
        self.fleet.stop_requests()
        self.simulation.run(self.fleet.longest_deadline() + SECOND)
        return self._result(event_end, time.process_time() - cpu_before)

    # ---- single units

    def _restart(self, unit: HollowUnit, build: int | None = None) -> None:
        """Drain a unit, stop it and start it cold, with another build if one is given."""
        unit.lifecycle, unit.draining_since = "DRAINING", self.simulation.now
        self.fleet.publish(unit)
        self.simulation.after(DRAIN_PERIOD, lambda: self._stop(unit))
        self.simulation.after(DRAIN_PERIOD + DOWN_PERIOD, lambda: self._start_cold([unit], build))

    def _stop(self, unit: HollowUnit) -> None:
        unit.down, unit.lifecycle = True, "DELETED"
        self.fleet.publish(unit)

    def _start_cold(self, units: list[HollowUnit], build: int | None = None) -> None:
        for unit in units:
            unit.restart(self.simulation.now)
            unit.build = build or unit.build
        self.fleet.publish(*units)

    def _fail_silently(self, units: list[HollowUnit]) -> None:
        """Let machines fail without notice; discovery removes them from its list after a delay."""
        for unit in units:
            unit.silent = True
        self.simulation.after(DETECTION_DELAY, lambda: self._delist_silent(units))

    def _delist_silent(self, units: list[HollowUnit]) -> None:
        silent = [unit for unit in units if unit.silent]
        for unit in silent:
            unit.lifecycle = "DELETED"
        self.fleet.publish(*silent)

    def _kill_relays(self, zone: int, step: int = 1) -> None:
        """Kill every `step`-th relay of a zone, and restart it after the outage."""
        for relay in [member for member in self.fleet.running_relays() if member.zone == zone][::step]:
            relay.kill()
            self.simulation.after(min(OUTAGE, self.length), relay.restart)

    # ---- events

    def _restarts(self) -> None:
        """Restart as many units as in a day, evenly over the event; every tenth starts a trial build."""
        units = list(self.fleet.units.values())
        count = max(len(units) * RESTARTS_PER_DAY // RESTART_FLEET_SIZE, 2)
        restarted = self.simulation.random.sample(units, count)
        self.fleet.platform.begin_trial(workload.TRIAL_BUILD, self.fleet.settings.release.stage_cap[0])
        self.fleet.publish_release()
        window = max(self.length - DRAIN_PERIOD - DOWN_PERIOD, SECOND)
        for index, unit in enumerate(restarted):
            build = workload.TRIAL_BUILD if index % RESTARTS_PER_TRIAL == 0 else None
            self.simulation.after(window * index // count, partial(self._restart, unit, build))

    def _rack(self) -> None:
        """The units of one rack become silent and start cold after the outage."""
        units = list(self.fleet.units.values())
        rack = [unit for unit in units if unit.zone == 0][: max(len(units) // RACKS, 1)]
        self._fail_silently(rack)
        self.simulation.after(min(OUTAGE, self.length), lambda: self._start_cold(rack))

    def _zone(self) -> None:
        """All units and relays of one zone fail at once and start cold after the outage."""
        zone = [unit for unit in self.fleet.units.values() if unit.zone == 0]
        self._fail_silently(zone)
        self._kill_relays(0)
        self.simulation.after(min(OUTAGE, self.length), lambda: self._start_cold(zone))

    def _regions_apart(self) -> None:
        """Partition the regions; units of both restart meanwhile."""
        self.simulation.regions_apart = True
        for unit in list(self.fleet.units.values())[:: len(self.fleet.units) // 4 or 1]:
            restart_after = self.simulation.random.randrange(self.length // 2)
            self.simulation.after(restart_after, partial(self._restart, unit))
        self.simulation.after(self.length, self._heal_partition)

    def _heal_partition(self) -> None:
        self.simulation.regions_apart = False
        self.fleet.merge_regions()

    def _discovery_restart(self) -> None:
        """Restart discovery without its history, so that every relay asks for the whole list."""
        self.fleet.stop_discovery()
        self.simulation.after(self.length, self.fleet.start_discovery)
        changed = self.fleet.units[0]
        self.simulation.after(self.length // 2, lambda: self._stop(changed))

    def _control_machines(self) -> None:
        """Fail all control machines: discovery and the platform are unavailable, and some units restart."""
        self.fleet.stop_discovery()
        self.fleet.platform.up = False
        for unit in list(self.fleet.units.values())[:CONTROL_MACHINE_COUNT]:
            self._restart(unit)
        self.simulation.after(self.length, self._restore_control)

    def _restore_control(self) -> None:
        self.fleet.start_discovery()
        self.fleet.platform.up = True

    # ---- results

    def _result(self, event_end: int, processor_s: float) -> EventResult:
        fleet, plan = self.fleet, self.plan
        outcomes, counts, release = fleet.outcomes.by_outcome, fleet.counts, fleet.settings.release
        simulated = (self.simulation.now - START_TIME) / SECOND
        traffic = [discovery.traffic for discovery in fleet.discoveries]
        platform = fleet.platform.traffic
        bytes_both_ways = sum(t.received + t.sent for t in [*traffic, platform])
        control = sum(relay.cpu["control"] for relay in fleet.relays) / 1e9
        trial_requests = max(counts.trial_requests, 1)
        recovered_at = max(fleet.last_behind_at, fleet.outcomes.last_unserved_at)
        free_share = release.free_attempts * plan.relays / trial_requests if counts.trial_requests else 0.0
        cap = release.stage_cap[0] if counts.trial_requests else 0.0
        return EventResult(
            kind=plan.kind.value,
            relays=plan.relays,
            units=plan.units,
            seed=plan.seed,
            simulated_s=simulated,
            processor_s=processor_s,
            asked=outcomes["asked"],
            open=sum(len(relay.open) for relay in fleet.relays),
            served=outcomes["served"],
            refused=outcomes["refused"],
            failed=outcomes["failed"],
            cut_off=outcomes["cut off with its relay"],
            lost=outcomes["lost"],
            answered_twice=fleet.outcomes.answered_twice,
            sent_after_end=fleet.outcomes.sent_after_end,
            effects_twice=counts.effects_twice,
            drains_broken=counts.drains_broken,
            cold_worst=counts.cold_worst,
            cold_over=counts.cold_over,
            trial_share=counts.trial_attempts / trial_requests,
            trial_allowed=cap + free_share,
            discovery_calls=sum(t.calls for t in traffic),
            discovery_whole_lists=sum(t.whole_lists for t in traffic),
            discovery_busiest_second=max(t.busiest_second() for t in traffic),
            discovery_sent_bytes=sum(t.sent for t in traffic),
            platform_calls=platform.calls,
            platform_sent_bytes=platform.sent,
            bytes_a_relay_s=bytes_both_ways / plan.relays / simulated,
            control_core_percent=100 * control / plan.relays / simulated,
            change_to_last_relay_s=max(fleet.lags.values(), default=0) / SECOND,
            right_again_s=max(recovered_at - event_end, 0) / SECOND,
        )


def play(plan: EventPlan) -> dict[str, object]:
    """Simulate an event and return the EventResult as plain values, which can be sent between processes."""
    result = EventRunner(plan).play()
    return {**asdict(result), "rules_kept": result.rules_kept}
