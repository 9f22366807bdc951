"""The latency that the relay adds to a request on loopback.

The relay is compared with a bare forwarder and with a direct connection to the unit, in one run.
"""

import json
import tempfile
from contextlib import ExitStack
from dataclasses import dataclass, field
from pathlib import Path
from statistics import median

from loftroute.lab.scale import load as loads
from loftroute.lab.scale import processes
from loftroute.lab.scale.load import Load
from loftroute.lab.scale.plan import RealPlan
from loftroute.lab.scale.processes import MeasuredRelay, Server

UNITS = 10
UNIT_DELAY_MS = 5
LOW_RATE = 10.0  # requests per second
MS = 1_000_000


@dataclass
class LatencyResults:
    """Rows of the report's tables, and notes for the run."""

    latency: list[dict[str, object]] = field(default_factory=list)
    steps: list[dict[str, object]] = field(default_factory=list)
    pacing: list[dict[str, object]] = field(default_factory=list)
    notes: list[str] = field(default_factory=list)


@dataclass
class Route:
    """One route to the unit: a loopback port, and the results of the loads sent to it.

    Attributes:
        process: Id of the process whose processor time is measured, if any.
        cpu: Microseconds of processor time for each request, one value for each load.
    """

    name: str
    port: int
    process: int | None = None
    loads: list[Load] = field(default_factory=list)
    cpu: list[float] = field(default_factory=list)

    def play(self, requests_per_s: float, seconds: float, seed: int) -> None:
        """Send one load over this route and keep its results."""
        cpu_before = processes.cpu_seconds(self.process) if self.process else 0.0
        load = loads.run(self.port, requests_per_s, seconds, seed)
        self.loads.append(load)
        if self.process:
            self.cpu.append(
                (processes.cpu_seconds(self.process) - cpu_before) / max(len(load.times), 1) * 1e6
            )

    def quantile(self, share: float) -> float:
        """Return the median over all loads of a response time quantile, in milliseconds."""
        return median(load.quantile(share) for load in self.loads)

    def failed(self) -> int:
        """Return the number of failed requests."""
        return sum(load.failed for load in self.loads)


def _compare(routes: list[Route], requests_per_s: float, plan: RealPlan) -> list[dict[str, object]]:
    """Measure all routes in turn, in several rounds, and compare each with the first."""
    for route in routes:
        route.loads, route.cpu = [], []
    for round_number in range(plan.rounds):
        for route in routes:
            route.play(requests_per_s, plan.seconds, round_number + 1)
    direct = routes[0]
    is_unstable = direct.quantile(0.99) - direct.quantile(0.5) > loads.MAX_SPREAD_MS
    return [
        {
            "way": route.name,
            "requests_a_second": requests_per_s,
            "p50_ms": route.quantile(0.5),
            "p99_ms": route.quantile(0.99),
            "added_p50_ms": route.quantile(0.5) - direct.quantile(0.5),
            "added_p99_ms": route.quantile(0.99) - direct.quantile(0.99),
            "cpu_us_a_request": median(route.cpu) if route.cpu else 0.0,
            "requests": sum(len(load.times) for load in route.loads),
            "failed": route.failed(),
            "p99_void": "void: response times without the relay vary too much" if is_unstable else "",
        }
        for route in routes
    ]


def measure(plan: RealPlan) -> LatencyResults:
    """Measure the added latency at a low rate and at the plan's rate, the steps, and the pacing of turns."""
    results = LatencyResults()
    with ExitStack() as stack:
        unit = stack.enter_context(Server("unit_server", UNIT_DELAY_MS))
        forwarder = stack.enter_context(Server("forwarder", unit.port))
        relay = MeasuredRelay(UNITS, unit.address)
        stack.callback(relay.end)
        routes = [
            Route("no hop", unit.port),
            Route("bare forwarder", forwarder.port, forwarder.process.pid),
            Route("relay", relay.port, relay.pid),
        ]
        for rate in (LOW_RATE, plan.requests_per_s):
            results.latency += _compare(routes, rate, plan)
    with Server("unit_server", UNIT_DELAY_MS) as unit:
        results.steps = steps(plan, unit)
        results.pacing = pacing(plan, unit)
    return results


def steps(plan: RealPlan, unit: Server) -> list[dict[str, object]]:
    """Measure the wall time of each step of a request within a real relay."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "steps.json"
        relay = MeasuredRelay(UNITS, unit.address, trace=path)
        load = loads.run(relay.port, plan.requests_per_s, plan.seconds)
        relay.end()
        raw = json.loads(path.read_text())
    requests = max(len(load.times), 1)
    return [
        {
            "step": step,
            "calls_a_request": counts["calls"] / requests,
            "us_a_call": counts["nanoseconds"] / counts["calls"] / 1e3,
            "us_a_request": counts["nanoseconds"] / requests / 1e3,
        }
        for step, counts in raw.items()
        if step != "turns"
    ]


def pacing(plan: RealPlan, unit: Server) -> list[dict[str, object]]:
    """Measure added latency and processor time for several minimum intervals between scheduler turns."""
    with ExitStack() as stack:
        routes = [Route("no hop", unit.port)]
        for gap in plan.turn_gaps_ms:
            relay = MeasuredRelay(UNITS, unit.address, gather_ns=int(gap * MS))
            stack.callback(relay.end)
            routes.append(Route(f"turns {gap:g} ms apart", relay.port, relay.pid))
        return _compare(routes, plan.requests_per_s, plan)
