"""Hollow relays: the real decision module and protocol parsers in simulated time, without sockets.

Times are in nanoseconds.
"""

import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from loftroute.decision import interface as i
from loftroute.decision.policy import Balancer
from loftroute.lab.scale import workload
from loftroute.lab.scale.simulation import SAME_ZONE_DELAY
from loftroute.lab.setup import MS
from loftroute.protocol import pipeline
from loftroute.protocol.catalog import Catalog
from loftroute.transport import Transport

if TYPE_CHECKING:
    from loftroute.lab.scale.fleet import HollowFleet

TRANSPORT = Transport()
CONTROL_EVENTS = (i.Started, i.ServerList, i.TimerFired, i.ReleaseNews)


@dataclass(slots=True)
class OpenRequest:
    """A request that has not been answered yet.

    Attributes:
        work: Processor time that the request takes on a warm unit.
        attempts: Number of attempts sent so far.
    """

    name: str
    class_index: int
    arrived: int
    deadline: int
    work: int
    attempts: int = 0


def unit_number(name: str) -> int:
    """Return the unit number from an instance id made by `workload.entry`."""
    return int(name.rpartition("-")[2])


class HollowRelay:
    """One simulated relay, which calls discovery in the same way as `relay/discovery.py`.

    Attributes:
        incarnation: Grows at each end and restart of the process; callbacks of an earlier one are dropped.
        version: Version of the last list applied from discovery; None before the first.
        start_version: Version that discovery had when this process started.
        cpu: Processor time in nanoseconds, by "control" and "requests".
        units: Unit number behind each server number of the decision module.
        open: Requests without an answer, by name.
    """

    def __init__(self, fleet: "HollowFleet", number: int) -> None:
        self.fleet, self.number = fleet, number
        self.zone = number % workload.ZONES
        self.region = workload.region_of(self.zone)
        self.up, self.incarnation = False, 0
        self.version: int | None = None
        self.start_version = 0
        self.cpu: Counter[str] = Counter()
        self.failures = self.calls = 0
        self.units: dict[int, int] = {}
        self.open: dict[str, OpenRequest] = {}
        self._consecutive_failures = 0  # calls to discovery since the last answer
        self._zone_numbers = {workload.zone_name(zone): zone for zone in range(workload.ZONES)}
        self._create_module()

    def _create_module(self) -> None:
        self.catalog = Catalog(self._zone_numbers, {"m": 0})
        settings = replace(self.fleet.settings, instance_index=self.number, zone=self.zone)
        self.balancer = Balancer(settings, self.fleet.simulation.random.randrange(1 << 32))

    # ---- process

    def start(self, cached_list: bytes | None = None) -> None:
        """Start the process, with the cached list of an earlier process, if there is one."""
        self.up, self.version, self._consecutive_failures = True, None, 0
        self.start_version = self.fleet.discoveries[self.region].version
        self.handle(i.Started())
        if cached_list is not None:
            self._apply(cached_list, cached=True)
        self.handle(self.fleet.platform.state)
        self._call_discovery()

    def kill(self) -> None:
        """Kill the process; its open requests end with their clients' connections."""
        self.incarnation += 1
        self.up = False
        self.fleet.discoveries[self.region].cancel_watch(self.number)
        self.fleet.cut_off(self.open.values())
        self.open.clear()

    def restart(self) -> None:
        """Start a new process; its cached list is the present list of discovery."""
        self.incarnation += 1
        self._create_module()
        self.start(self.fleet.cached_list(self.region))

    # ---- discovery

    def _schedule(self, delay: int, call: Callable[[], None]) -> None:
        """Schedule a call, which is dropped if the process has ended by then."""
        incarnation = self.incarnation

        def call_if_same_process() -> None:
            if self.incarnation == incarnation and self.up:
                call()

        self.fleet.simulation.after(delay, call_if_same_process)

    def _call_discovery(self) -> None:
        discovery = self.fleet.discoveries[self.region]
        self.calls += 1
        incarnation = self.incarnation

        def answer(body: bytes) -> None:
            delay = self.fleet.discovery_delay(self.region, len(body))
            self.fleet.simulation.after(delay, lambda: self._read_answer(incarnation, body))

        wait = TRANSPORT.watch_retry_wait_ns if self._consecutive_failures else TRANSPORT.watch_wait_ns
        if not discovery.watch(self.number, self.version, wait, answer):
            self.connection_lost()

    def connection_lost(self) -> None:
        """Handle a failed call to discovery: retry after the backoff that the real relay uses."""
        self.failures += 1
        self._consecutive_failures += 1
        self._schedule(
            TRANSPORT.backoff(self._consecutive_failures) + 2 * SAME_ZONE_DELAY, self._call_discovery
        )

    def _read_answer(self, incarnation: int, body: bytes) -> None:
        if self.incarnation != incarnation or not self.up:
            return
        self._consecutive_failures = 0
        self._apply(body, cached=False)
        self._call_discovery()

    def _apply(self, body: bytes, cached: bool) -> None:
        """Parse a discovery document and hand the list to the decision module."""
        cpu_before = self.cpu["control"]
        started_ns = time.thread_time_ns()
        listing = self.catalog.read(body, cached)
        self.cpu["control"] += time.thread_time_ns() - started_ns
        event = listing.event
        if len(self.units) != len(self.catalog.server_numbers):
            self.units = {server: unit_number(name) for name, server in self.catalog.server_numbers.items()}
        if event.kind is not i.ListKind.DELTA or event.entries:
            self.handle(event)
        if not cached:
            known_version = self.start_version if self.version is None else self.version
            self.version = event.version
            self.fleet.record_applied(self, known_version, event.version, self.cpu["control"] - cpu_before)

    # ---- platform

    def receive_line(self, line: bytes) -> None:
        """Handle one line of the platform's stream."""
        started_ns = time.thread_time_ns()
        news = pipeline.parse_change(line.strip())
        self.cpu["control"] += time.thread_time_ns() - started_ns
        if news:
            self.handle(news)

    # ---- decision module

    def handle(self, event: i.Event) -> None:
        """Pass an event to the decision module and execute the actions that it returns."""
        started_ns = time.thread_time_ns()
        actions = self.balancer.handle(self.fleet.simulation.now, event)
        kind = "control" if isinstance(event, CONTROL_EVENTS) else "requests"
        self.cpu[kind] += time.thread_time_ns() - started_ns
        for action in actions:
            self._act(action)

    def _act(self, action: i.Action) -> None:
        match action:
            case i.Send():
                self.fleet.send(self, action)
            case i.Refuse():
                self.fleet.end(self, action.request, "refused")
            case i.Fail():
                self.fleet.end(self, action.request, "failed")
            case i.SetTimer():
                delay = action.at - self.fleet.simulation.now
                self._schedule(delay, lambda: self.handle(i.TimerFired(action.token)))
            case i.Vote():
                answer = self.fleet.vote(self, action)
                self._schedule(2 * SAME_ZONE_DELAY + MS, lambda: self.handle(answer))

    def submit(self, request: OpenRequest) -> None:
        """Accept a request from a client."""
        self.open[request.name] = request
        time_left = request.deadline - self.fleet.simulation.now
        key = (
            request.name
            if self.fleet.settings.classes[request.class_index].effect is i.Effect.KEYED
            else None
        )
        event = i.RequestArrived(
            request.name, key, 0, request.class_index, request.work, time_left, False, False
        )
        self.handle(event)
