"""Real relays on loopback sockets under real load, and how far a hollow relay's figures are from theirs."""

import time

from loftroute.lab.scale import load as loads
from loftroute.lab.scale import meter, processes
from loftroute.lab.scale.fits import Point, Series
from loftroute.lab.scale.plan import RealPlan
from loftroute.lab.scale.processes import MeasuredRelay, Server

TICKS_A_SECOND = 4
UNIT_DELAY_MS = 5
CHANGES = 5
SETTLE = 0.5  # seconds
LOOK_EVERY = 0.0002  # seconds
NO_ANSWER = 5.0  # seconds
TIMED = ("real_request", "real_idle", "real_change", "real_added_p50", "real_added_p99")
BUSY = 0.8  # of a core, beyond which the load generator itself is the bottleneck
LATE_SHARE = 0.2  # of its requests that may go out late
SHOWN = {
    "real_request": "us of a real relay's processor time a request",
    "real_idle": "% of a core of a real relay that nobody asks",
    "real_memory": "MB resident of a real relay",
    "real_connections": "descriptors of a real relay under load",
    "real_change": "ms from a change to the real relay's next call for changes",
    "real_added_p50": "ms that a real relay adds to a request, for 50 in 100",
    "real_added_p99": "ms that a real relay adds to a request, for 99 in 100",
    "real_bytes_idle": "bytes a second from discovery to one real relay at rest",
}


class Readings:
    """Series of the figures above, with the load generator's own limits."""

    def __init__(self) -> None:
        self.series = {name: Series(name, "units", unit) for name, unit in SHOWN.items()}

    def add(self, units: int, figures: dict[str, float], bare: float) -> None:
        for name, value in figures.items():
            self.series[name].points.append(Point(units, value, bare))

    def void(self, name: str, why: str) -> None:
        self.series[name].void = why


def change_seconds(relay: MeasuredRelay) -> float:
    """From a change of the list until the relay has acted on it, and so asks for what comes after it."""
    discovery = relay.discovery
    begun = time.perf_counter()
    discovery.change(**{"unit-00000": {"weight": 1.0 + discovery.version / 1000}})
    wanted = f"index={discovery.version}&"
    while not any(wanted in call for call in discovery.calls[-3:]):
        if time.perf_counter() - begun > NO_ANSWER:
            raise AssertionError("the relay does not follow the list")
        time.sleep(LOOK_EVERY)
    return time.perf_counter() - begun


def measure_one(units: int, plan: RealPlan, unit: Server, readings: Readings) -> None:
    """All figures of one real relay before so many units."""
    relay = MeasuredRelay(units, unit.address)
    try:
        time.sleep(SETTLE)
        bare = meter.bare()
        cpu, sent, begun = processes.cpu_seconds(relay.pid), relay.answered_bytes, time.perf_counter()
        time.sleep(plan.seconds)
        idle_s = time.perf_counter() - begun
        idle_cpu = (processes.cpu_seconds(relay.pid) - cpu) / idle_s
        idle_bytes = (relay.answered_bytes - sent) / idle_s
        cpu = processes.cpu_seconds(relay.pid)
        load = loads.run(relay.port, plan.requests_per_s, plan.seconds)
        used = processes.cpu_seconds(relay.pid) - cpu - idle_cpu * load.seconds
        connections = processes.descriptors(relay.pid)
        direct = loads.run(unit.port, plan.requests_per_s, plan.seconds)
        memory = processes.resident_megabytes(relay.pid)
        change = min(change_seconds(relay) for _ in range(CHANGES))
    finally:
        relay.end()
    figures = {
        "real_request": used / max(len(load.times), 1) * 1e6,
        "real_idle": 100 * idle_cpu,
        "real_memory": memory,
        "real_connections": float(connections),
        "real_change": change * 1e3,
        "real_added_p50": load.quantile(0.5) - direct.quantile(0.5),
        "real_added_p99": load.quantile(0.99) - direct.quantile(0.99),
        "real_bytes_idle": idle_bytes,
    }
    readings.add(units, figures, min(bare, meter.bare()))
    if load.cpu > BUSY * load.seconds or load.late > LATE_SHARE * len(load.times) or load.failed:
        why = f"void: the load generator at {units} units: {load.late} late, {load.failed} failed"
        readings.void("real_request", f"{why}, {load.cpu / load.seconds:.2f} of a core")


def sweep(plan: RealPlan) -> list[Series]:
    """Each figure of real relays, at each number of units."""
    readings = Readings()
    with Server("unit_server", UNIT_DELAY_MS) as unit:
        for units in plan.units:
            measure_one(units, plan, unit, readings)
    for name in TIMED:
        series = readings.series[name]
        series.void = series.void or meter.unsteady([point.bare for point in series.points])
    return list(readings.series.values())


def compare(hollow: list[Series], real: list[Series]) -> list[dict[str, object]]:
    """Slopes by units of the hollow relay beside the real one's: what a unit more costs each of them."""
    percent_to_ms = 10.0 / TICKS_A_SECOND
    pairs = [
        ("request", "real_request", 1.0),
        ("tick_at_rest", "real_idle", percent_to_ms),
        ("memory", "real_memory", 1.0),
    ]
    by_name = {series.name: series for series in [*hollow, *real]}
    rows: list[dict[str, object]] = []
    for name, other, factor in pairs:
        if name not in by_name or other not in by_name:
            continue
        one, two = by_name[name].fit(), by_name[other].fit()
        rows.append(
            {
                "figure": name,
                "unit": by_name[name].unit,
                "hollow_slope": one.slope,
                "real_slope": two.slope * factor,
                "real_beside_hollow": two.slope * factor / one.slope,
                "hollow_intercept": one.intercept,
                "real_intercept": two.intercept * factor,
                "void": by_name[name].void or by_name[other].void,
            }
        )
    return rows
