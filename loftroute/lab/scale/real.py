"""Figures of real relays on loopback sockets, and their comparison with those of hollow relays."""

import gc
import time

from loftroute.lab.scale import load as loads
from loftroute.lab.scale import meter, processes, slopes
from loftroute.lab.scale.fits import Point, Series
from loftroute.lab.scale.plan import RealPlan
from loftroute.lab.scale.processes import MeasuredRelay, Server

TICKS_PER_SECOND = 4
UNIT_DELAY_MS = 5
CHANGE_COUNT = 5
HOLLOW_REQUESTS = 100
SETTLE_TIME = 0.5  # seconds after the start of a relay
POLL_INTERVAL = 0.0002  # seconds
CHANGE_TIMEOUT = 5.0  # seconds until a relay must have read a change
TIMED = (
    "real_request",
    "real_idle",
    "real_change",
    "real_added_p50",
    "real_added_p99",
    "hollow_request",
    "hollow_idle",
)
COMPARED = (
    ("hollow_request", "real_request"),
    ("hollow_idle", "real_idle"),
    ("hollow_memory", "real_memory"),
)
MAX_GENERATOR_LOAD = 0.8  # of a core; above it the load generator is the bottleneck
MAX_LATE_SHARE = 0.2  # of the requests that the load generator sends late
FIGURE_UNITS = {
    "real_request": "us of a real relay's processor time a request",
    "real_idle": "% of a core of a real relay without requests",
    "real_memory": "MB resident of a real relay",
    "real_connections": "descriptors of a real relay under load",
    "real_change": "ms from a change until a real relay has acted on it and answers a PING",
    "real_added_p50": "ms that a real relay adds to a request, for 50 in 100",
    "real_added_p99": "ms that a real relay adds to a request, for 99 in 100",
    "real_bytes_idle": "bytes a second from discovery to one real relay at rest",
    "hollow_request": "us of a hollow relay's processor time a request, beside the real one",
    "hollow_idle": "% of a core of a hollow relay's ticks without requests, beside the real one",
    "hollow_memory": "MB of a hollow relay, beside the real one",
}


class Readings:
    """The series of all figures of FIGURE_UNITS."""

    def __init__(self) -> None:
        self.series = {name: Series(name, "units", unit) for name, unit in FIGURE_UNITS.items()}

    def add(self, units: int, figures: dict[str, float], bare: float) -> None:
        """Add the figures of one size, with the processor time of the bare loop beside them."""
        for name, value in figures.items():
            self.series[name].points.append(Point(units, value, bare))

    def void(self, name: str, reason: str) -> None:
        """Mark a series as void."""
        self.series[name].void = reason


def change_seconds(relay: MeasuredRelay) -> float:
    """Return the seconds from a change of the list until the relay has applied it.

    The relay asks for the next change as soon as it has read this one. A PING sent at that time is answered
    once the decision module has applied the change.

    Raises:
        AssertionError: The relay has not asked for the next change in time.
    """
    discovery, client = relay.discovery, relay.client()
    started = time.perf_counter()
    discovery.change(**{"unit-00000": {"weight": 1.0 + discovery.version / 1000}})
    next_call = f"index={discovery.version}&"
    while not any(next_call in call for call in discovery.calls[-3:]):
        if time.perf_counter() - started > CHANGE_TIMEOUT:
            raise AssertionError("the relay has not read a change of discovery's list in time")
        time.sleep(POLL_INTERVAL)
    client.ask("PING")
    elapsed = time.perf_counter() - started
    client.close()
    return elapsed


def hollow_figures(units: int) -> dict[str, float]:
    """Measure a hollow relay for the comparison with the real one."""
    gc.disable()
    try:
        figures = slopes.measure_units(units, HOLLOW_REQUESTS, 1)
        memory = slopes.measure_memory(units)["memory"]
    finally:
        gc.enable()
    return {
        "hollow_request": figures["request"],
        "hollow_idle": figures["tick_at_rest"] * TICKS_PER_SECOND / 10,
        "hollow_memory": memory,
    }


def measure_one(units: int, plan: RealPlan, unit: Server, readings: Readings) -> None:
    """Measure all figures of one real relay at one number of units."""
    relay = MeasuredRelay(units, unit.address)
    try:
        time.sleep(SETTLE_TIME)
        bare = meter.bare()
        cpu, sent_bytes, started = processes.cpu_seconds(relay.pid), relay.answered_bytes, time.perf_counter()
        time.sleep(plan.seconds)
        idle_s = time.perf_counter() - started
        idle_cpu = (processes.cpu_seconds(relay.pid) - cpu) / idle_s
        idle_bytes = (relay.answered_bytes - sent_bytes) / idle_s
        cpu = processes.cpu_seconds(relay.pid)
        load = loads.run(relay.port, plan.requests_per_s, plan.seconds)
        request_cpu = processes.cpu_seconds(relay.pid) - cpu - idle_cpu * load.seconds
        connections = processes.descriptors(relay.pid)
        direct = loads.run(unit.port, plan.requests_per_s, plan.seconds)
        memory = processes.resident_megabytes(relay.pid)
        change = min(change_seconds(relay) for _ in range(CHANGE_COUNT))
    finally:
        relay.end()
    figures = hollow_figures(units) | {
        "real_request": request_cpu / max(len(load.times), 1) * 1e6,
        "real_idle": 100 * idle_cpu,
        "real_memory": memory,
        "real_connections": float(connections),
        "real_change": change * 1e3,
        "real_added_p50": load.quantile(0.5) - direct.quantile(0.5),
        "real_added_p99": load.quantile(0.99) - direct.quantile(0.99),
        "real_bytes_idle": idle_bytes,
    }
    readings.add(units, figures, min(bare, meter.bare()))
    if direct.is_unstable:
        readings.void(
            "real_added_p99", f"void: response times without the relay vary too much, at {units} units"
        )
    if (
        load.cpu > MAX_GENERATOR_LOAD * load.seconds
        or load.late > MAX_LATE_SHARE * len(load.times)
        or load.failed
    ):
        reason = f"void: the load generator at {units} units: {load.late} late, {load.failed} failed"
        readings.void("real_request", f"{reason}, {load.cpu / load.seconds:.2f} of a core")


def sweep(plan: RealPlan) -> list[Series]:
    """Measure every figure at each number of units of the plan."""
    readings = Readings()
    with Server("unit_server", UNIT_DELAY_MS) as unit:
        for units in plan.units:
            measure_one(units, plan, unit, readings)
    for name in TIMED:
        series = readings.series[name]
        series.void = series.void or meter.unsteady([point.bare for point in series.points])
    return list(readings.series.values())


def compare(all_series: list[Series]) -> list[dict[str, object]]:
    """Compare the fitted lines of hollow and real relays: the cost of each unit and the fixed cost."""
    by_name = {series.name: series for series in all_series}
    rows: list[dict[str, object]] = []
    for hollow, real in COMPARED:
        hollow_fit, real_fit = by_name[hollow].fit(), by_name[real].fit()
        rows.append(
            {
                "figure": real,
                "unit": by_name[real].unit,
                "hollow_each_unit": hollow_fit.slope,
                "real_each_unit": real_fit.slope,
                "real_beside_hollow": real_fit.slope / hollow_fit.slope,
                "hollow_fixed": hollow_fit.intercept,
                "real_fixed": real_fit.intercept,
                "void": by_name[hollow].void or by_name[real].void,
            }
        )
    return rows
