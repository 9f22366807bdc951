"""A fleet of hollow relays and units in simulated time, on which the five rules are checked.

Times are in nanoseconds.
"""

import json
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from loftroute.decision import interface as i
from loftroute.lab.scale import workload
from loftroute.lab.scale.relays import HollowRelay, OpenRequest
from loftroute.lab.scale.simulation import (
    OTHER_REGION_DELAY,
    OTHER_ZONE_DELAY,
    SAME_ZONE_DELAY,
    Simulation,
)
from loftroute.lab.scale.standins import KEEP_ALIVE_INTERVAL, KEEP_ALIVE_LINE, Discovery, Platform
from loftroute.lab.scale.units import Effects, HollowUnit, RuleCounts
from loftroute.lab.setup import MS, SECOND
from loftroute.module_settings import read_settings
from loftroute.protocol import pipeline

DIAL_TIMEOUT = 250 * MS
TURN_DELAY = MS // 2  # mean wait for the next turn of a relay: half the minimum interval
DISCOVERY_BYTES_PER_S = 125_000_000  # link of one discovery process, 1 Gbit/s
LOST_AFTER = 50 * MS  # a request without an answer counts as lost this long after its deadline
CHECK_INTERVAL = 50 * MS  # between two checks of the list versions of all relays
CLASS_MIX = (0, 0, 0, 0, 1, 1, 2)  # drawn uniformly; 0 is safe, 1 keyed, 2 unsafe
MEAN_WORK = 100 * MS  # processor time of a request on a warm unit


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt to have a request executed by a unit."""

    relay: HollowRelay
    relay_incarnation: int
    unit: HollowUnit
    request: OpenRequest
    action: i.Send
    number: int
    sent: int

    @property
    def timeout_at(self) -> int:
        """When the attempt times out at the relay."""
        return self.sent + self.action.timeout

    @property
    def delay(self) -> int:
        """One-way network delay between the relay and the unit."""
        if self.relay.region != self.unit.region:
            return OTHER_REGION_DELAY
        return SAME_ZONE_DELAY if self.relay.zone == self.unit.zone else OTHER_ZONE_DELAY


@dataclass
class RequestOutcomes:
    """Number of requests by outcome, and violations of "every request is answered exactly once".

    Attributes:
        by_outcome: Also holds the number of all requests, as "asked".
        overdue: Requests without an answer 50 ms past their deadline.
        sent_after_end: Attempts sent for a request that had been answered.
        last_unserved_at: Arrival of the latest request that was not served.
    """

    by_outcome: Counter[str] = field(default_factory=Counter)
    answered_twice: int = 0
    overdue: int = 0
    sent_after_end: int = 0
    last_unserved_at: int = 0


class HollowFleet:
    """Relays, units, one discovery for each region and the platform, on one simulated clock.

    Attributes:
        rate: Requests per second over all relays.
        last_behind_at: When a relay was last seen without the present version of the list.
        lags: By region and version of a change, the time until the last relay had applied it.
    """

    def __init__(self, relays: int, units: int, requests_per_s: float, seed: int) -> None:
        self.simulation = Simulation(seed)
        self.raw = workload.raw_settings(relays, 3, 1)
        self.settings = read_settings(self.raw)
        self.rate = requests_per_s
        self.counts, self.outcomes = RuleCounts(), RequestOutcomes()
        self.effects = Effects(self.counts)
        self.units = {n: HollowUnit(n, n % workload.ZONES) for n in range(units)}
        self.discoveries = [Discovery(self.simulation, n) for n in range(workload.REGIONS)]
        self.platform = Platform(self.simulation, self.settings.release.calls_per_s)
        self.relays: list[HollowRelay] = []
        self.last_behind_at = 0
        self.lags: dict[tuple[int, int], int] = {}
        self._changed_at: dict[tuple[int, int], int] = {}
        self._send_done_at = [0] * workload.REGIONS  # when each discovery's link is free
        self._request_count = 0
        self._is_generating = True
        for discovery in self.discoveries:
            discovery.put(*(unit.entry() for unit in self.units.values()))
        for number in range(relays):
            self._add_relay(number)
        self._generate_request()
        self._send_keep_alives()
        self._check_versions()

    def _add_relay(self, number: int) -> None:
        relay = HollowRelay(self, number)
        self.relays.append(relay)
        begin = self.simulation.random.randrange(250 * MS)
        self.simulation.after(begin, lambda: relay.start(self.cached_list(relay.region)))

    def running_relays(self) -> list[HollowRelay]:
        """Return the relays whose process is running."""
        return [relay for relay in self.relays if relay.up]

    # ---- discovery

    def cached_list(self, region: int) -> bytes:
        """Return the present list of a region's discovery, as a relay keeps it on disk."""
        discovery = self.discoveries[region]
        listed = [entry for entry in discovery.entries.values() if entry["lifecycle"] != "DELETED"]
        return json.dumps(workload.document(listed, 1, True)).encode()

    def discovery_delay(self, region: int, size: int) -> int:
        """Return how long an answer of this size in bytes takes to arrive.

        Answers of one discovery share its link, so each one waits until the earlier ones have been sent.
        """
        now = self.simulation.now
        self._send_done_at[region] = (
            max(now, self._send_done_at[region]) + size * SECOND // DISCOVERY_BYTES_PER_S
        )
        return self._send_done_at[region] - now + OTHER_ZONE_DELAY + TURN_DELAY

    def record_applied(self, relay: HollowRelay, known: int, version: int, computation_ns: int) -> None:
        """Record that a relay has applied all changes after version `known` up to `version`.

        `computation_ns` is the processor time that the relay really took; it is added to the simulated time.
        """
        for change in range(known + 1, version + 1):
            change_key = relay.region, change
            if change_key in self._changed_at:
                lag = self.simulation.now + computation_ns - self._changed_at[change_key]
                self.lags[change_key] = max(self.lags.get(change_key, 0), lag)

    def _put_entries(self, discovery: Discovery, units: Iterable[HollowUnit]) -> None:
        entries = [unit.entry() for unit in units]
        if entries:
            self._changed_at[discovery.region, discovery.version + 1] = self.simulation.now
            discovery.put(*entries)

    def stop_discovery(self) -> None:
        """End every discovery process; relays that wait for an answer lose their connection."""
        for discovery in self.discoveries:
            for caller in discovery.stop():
                self.relays[caller].connection_lost()

    def start_discovery(self) -> None:
        """Start every discovery process again."""
        for discovery in self.discoveries:
            discovery.start()

    def publish(self, *changed: HollowUnit) -> None:
        """Publish changed units in discovery; in the other region only while the network connects both."""
        for discovery in self.discoveries:
            reachable_units = [
                member for member in changed if self.simulation.reachable(member.region, discovery.region)
            ]
            self._put_entries(discovery, reachable_units)

    def merge_regions(self) -> None:
        """Bring every discovery up to date with all units after a partition."""
        for discovery in self.discoveries:
            known = list(discovery.entries.values())
            self._put_entries(discovery, [unit for unit in self.units.values() if unit.entry() not in known])

    def _is_behind(self, relay: HollowRelay) -> bool:
        """Whether the relay lacks the present list, or discovery is down."""
        discovery = self.discoveries[relay.region]
        return not discovery.up or relay.version != discovery.version

    def _check_versions(self) -> None:
        if any(self._is_behind(relay) for relay in self.running_relays()):
            self.last_behind_at = self.simulation.now
        self.simulation.after(CHECK_INTERVAL, self._check_versions)

    def _send_keep_alives(self) -> None:
        self._send_to_all(KEEP_ALIVE_LINE)
        self.simulation.after(KEEP_ALIVE_INTERVAL, self._send_keep_alives)

    def publish_release(self) -> None:
        """Send the present release state to the relays."""
        self._send_to_all(self.platform.state_line())

    def _send_to_all(self, line: bytes) -> None:
        """Send a line of the platform to every running relay that can reach it."""
        for relay in self.running_relays():
            if self._can_reach_platform(relay):
                self.platform.record_line_sent(len(line))
                relay.receive_line(line)

    def _can_reach_platform(self, relay: HollowRelay) -> bool:
        return self.platform.up and self.simulation.reachable(relay.region, self.platform.region)

    def vote(self, relay: HollowRelay, vote: i.Vote) -> i.ReleaseNews:
        """Return the platform's answer to a vote of a relay."""
        if not self._can_reach_platform(relay):
            self.platform.votes["not carried"] += 1
            return pipeline.uncounted_vote(i.Outcome.ERROR)
        return self.platform.vote(vote)

    # ---- requests

    def _generate_request(self) -> None:
        """Send a request to a random relay and schedule the next one (a Poisson process)."""
        simulation = self.simulation
        if not self._is_generating:
            return
        simulation.after(int(simulation.random.expovariate(self.rate) * SECOND), self._generate_request)
        relays = self.running_relays()
        if not relays:
            return
        relay = relays[simulation.random.randrange(len(relays))]
        self._request_count += 1
        class_index = CLASS_MIX[simulation.random.randrange(len(CLASS_MIX))]
        deadline = simulation.now + self.settings.classes[class_index].deadline
        work = int(MEAN_WORK * simulation.random.uniform(0.5, 1.5))
        request = OpenRequest(f"{self._request_count:016x}", class_index, simulation.now, deadline, work)
        self.outcomes.by_outcome["asked"] += 1
        self.counts.trial_requests += self.platform.state.phase == i.Phase.TRIAL
        relay.submit(request)
        simulation.at(deadline + LOST_AFTER, lambda: self._check_ended(relay, request))

    def stop_requests(self) -> None:
        """Generate no further requests."""
        self._is_generating = False

    def longest_deadline(self) -> int:
        """Return the longest deadline of all request classes."""
        return max(rule.deadline for rule in self.settings.classes)

    def _check_ended(self, relay: HollowRelay, request: OpenRequest) -> None:
        if relay.open.get(request.name) is request:
            del relay.open[request.name]
            self.outcomes.overdue += 1
            self._record_end(request, "lost")

    def end(self, relay: HollowRelay, name: str, result: str) -> None:
        """Record the answer to a request: "served", "refused" or "failed"."""
        request = relay.open.pop(name, None)
        if request is None:
            self.outcomes.answered_twice += 1
            return
        self._record_end(request, result)

    def cut_off(self, requests: Iterable[OpenRequest]) -> None:
        """Record requests that ended because their relay was killed."""
        for request in requests:
            self._record_end(request, "cut off with its relay")

    def _record_end(self, request: OpenRequest, result: str) -> None:
        self.outcomes.by_outcome[result] += 1
        if result != "served":
            self.outcomes.last_unserved_at = max(self.outcomes.last_unserved_at, request.arrived)

    # ---- attempts

    def send(self, relay: HollowRelay, action: i.Send) -> None:
        """Send an attempt to its unit."""
        request = relay.open.get(action.request)
        if request is None:
            self.outcomes.sent_after_end += 1
            return
        unit = self.units[relay.units[action.server]]
        attempt = Attempt(
            relay, relay.incarnation, unit, request, action, request.attempts, self.simulation.now
        )
        request.attempts += 1
        self.counts.trial_attempts += unit.build == workload.TRIAL_BUILD
        if unit.silent or not self.simulation.reachable(relay.region, unit.region):
            return self._schedule_end(attempt, i.Outcome.CONNECT_FAILED, attempt.sent + DIAL_TIMEOUT)
        delay = attempt.delay
        if unit.down:
            return self._schedule_end(attempt, i.Outcome.CONNECT_FAILED, attempt.sent + 2 * delay)
        self.simulation.after(delay, lambda: self._arrive(attempt))

    def _arrive(self, attempt: Attempt) -> None:
        """Let an attempt arrive at its unit, which queues or refuses it."""
        unit, request, now, settings = attempt.unit, attempt.request, self.simulation.now, self.settings
        draining = unit.draining_since and now - unit.draining_since > settings.drain_grace
        self.counts.drains_broken += bool(draining)
        unit.record_offered_work(now, request.work, settings, self.counts)
        if unit.down or unit.silent:
            return self._schedule_end(attempt, i.Outcome.RESET, now + attempt.delay)
        done = unit.finish_at(now, request.work, settings)
        if done is None:
            return self._schedule_end(attempt, i.Outcome.FULL, now + attempt.delay)
        self.effects.record_run(request.name, settings.classes[request.class_index], unit.zone, now)
        if done + attempt.delay > attempt.timeout_at:
            return self._schedule_end(attempt, i.Outcome.TIMEOUT, attempt.timeout_at)
        unit_restarts = unit.restarts
        self.simulation.at(done, lambda: self._complete(attempt, unit_restarts))

    def _complete(self, attempt: Attempt, expected_restarts: int) -> None:
        """Send the answer to an attempt, unless the unit has restarted or cannot be reached."""
        unit, now = attempt.unit, self.simulation.now
        if unit.silent or not self.simulation.reachable(attempt.relay.region, unit.region):
            self._schedule_end(attempt, i.Outcome.TIMEOUT, attempt.timeout_at)
        elif unit.restarts != expected_restarts or unit.down:
            self._schedule_end(attempt, i.Outcome.RESET, now)
        else:
            self._schedule_end(attempt, i.Outcome.OK, now + attempt.delay)

    def _schedule_end(self, attempt: Attempt, outcome: i.Outcome, when: int) -> None:
        self.simulation.at(min(when, attempt.timeout_at), lambda: self._report_end(attempt, outcome))

    def _report_end(self, attempt: Attempt, outcome: i.Outcome) -> None:
        relay, action = attempt.relay, attempt.action
        if relay.incarnation != attempt.relay_incarnation or not relay.up:
            return
        elapsed = self.simulation.now - attempt.sent
        if outcome is i.Outcome.OK and action.request in relay.open:
            self.end(relay, action.request, "served")
        closed = action.request not in relay.open
        relay.handle(
            i.AttemptEnded(action.request, attempt.number, action.server, outcome, elapsed, closed, None)
        )
