"""Figures of one hollow relay at several sizes: processor time, bytes, memory and connections."""

import gc
import tracemalloc
from collections.abc import Callable, Iterable

from loftroute.lab.scale import meter
from loftroute.lab.scale.fits import Point, Series
from loftroute.lab.scale.plan import SlopesPlan
from loftroute.lab.scale.single import SingleRelay, settings_seconds
from loftroute.lab.setup import SECOND

TYPICAL_RATE = 115.0  # requests per second at one relay: 60,000 over 520 relays
WARM_UP = 30  # requests before a measurement
IDLE_PERIOD = 2 * SECOND  # eight ticks of the decision module
TYPICAL_UNITS = 500  # while another dimension is varied
CHANGE_COUNT = 8  # changes of the list that are measured at each size
MAX_REPEATS_FACTOR = 3  # times the planned repeats, on an unsteady machine

Figures = dict[str, float]


def measure_units(units: int, requests: int, seed: int) -> Figures:
    """Measure the processor times and bytes that depend on the number of units."""
    relay = SingleRelay(units, TYPICAL_RATE, seed)
    relay.reset_figures()
    relay.idle(IDLE_PERIOD)
    figures = {"tick_at_rest": relay.cpu_per_call("tick") * 1e3}
    relay.run(WARM_UP)
    relay.reset_figures()
    relay.run(requests)
    figures |= {"request": relay.cpu_per_call("request") * 1e6, "tick": relay.cpu_per_call("tick") * 1e3}
    relay.reset_figures()
    change_bytes = sum(relay.change_one() for _ in range(CHANGE_COUNT)) / CHANGE_COUNT
    list_bytes = relay.whole_list()
    figures["change"] = relay.cpu_per_call("change") * 1e3
    figures["whole_list"] = relay.cpu_per_call("whole list") * 1e3
    figures["change_bytes"], figures["list_bytes"] = change_bytes, float(list_bytes)
    return figures


def measure_memory(units: int, services: int = 3, tenants: int = 0) -> Figures:
    """Measure the Python memory, in MB of 10**6 bytes, of a relay that has read its list."""
    gc.collect()
    tracemalloc.start()
    try:
        relay = SingleRelay(units, TYPICAL_RATE, 1, services=services, tenants=tenants)
        relay.entries.clear()  # copies that a real relay does not hold
        relay.raw.clear()
        gc.collect()
        return {"memory": tracemalloc.get_traced_memory()[0] / 1e6}
    finally:
        tracemalloc.stop()


def measure_connections(units: int) -> Figures:
    """Measure the open connections, and the share of requests that open one.

    The share is taken over two seconds of requests, after four seconds that are not measured.
    """
    relay = SingleRelay(units, TYPICAL_RATE)
    relay.run(int(4 * TYPICAL_RATE))
    relay.reset_figures()
    relay.run(int(2 * TYPICAL_RATE))
    return {
        "connections": float(relay.connections()),
        "dials": relay.dials / max(relay.outcomes["Send"], 1),
    }


def measure_load(requests_per_s: float, requests: int, seed: int) -> Figures:
    """Measure the processor time of a request at this rate of requests."""
    relay = SingleRelay(TYPICAL_UNITS, requests_per_s, seed)
    relay.run(max(WARM_UP, int(requests_per_s)))
    relay.reset_figures()
    relay.run(requests)
    return {"request_by_rate": relay.cpu_per_call("request") * 1e6}


def measure_services(services: int, requests: int, seed: int) -> Figures:
    """Measure the processor time of a request with this many services (request classes)."""
    relay = SingleRelay(TYPICAL_UNITS, TYPICAL_RATE, seed, services=services)
    relay.run(WARM_UP)
    relay.reset_figures()
    relay.run(requests)
    return {"request_by_services": relay.cpu_per_call("request") * 1e6}


def measure_tenants(tenants: int, requests: int, seed: int) -> Figures:
    """Measure the processor time of a request and of reading the settings with this many tenants."""
    relay = SingleRelay(TYPICAL_UNITS, TYPICAL_RATE, seed, tenants=tenants)
    relay.run(WARM_UP)
    relay.reset_figures()
    relay.run(requests)
    seconds, size = settings_seconds(3, tenants)
    return {
        "request_by_tenants": relay.cpu_per_call("request") * 1e6,
        "settings_by_tenants": seconds * 1e3,
        "settings_bytes": float(size),
    }


def measure_changes(changes_per_s: float, seed: int) -> Figures:
    """Measure the share of a core, in percent, for ticks and for changes of the list at this rate."""
    relay = SingleRelay(TYPICAL_UNITS, TYPICAL_RATE, seed)
    relay.reset_figures()
    seconds = max(2.0, 4 / changes_per_s)
    for _ in range(int(changes_per_s * seconds)):
        relay.idle(int(SECOND / changes_per_s))
        relay.change_one()
    cpu_s = (relay.cpu["change"] + relay.cpu["tick"]) / 1e9
    return {"control_by_changes": 100.0 * cpu_s / seconds}


FIGURE_UNITS = {  # figure: (dimension, unit)
    "request": ("units", "us of processor time a request"),
    "tick": ("units", "ms of processor time a tick under load"),
    "tick_at_rest": ("units", "ms of processor time a tick without requests"),
    "change": ("units", "ms of processor time for one change of the list"),
    "whole_list": ("units", "ms of processor time for a whole list"),
    "change_bytes": ("units", "bytes of one change"),
    "list_bytes": ("units", "bytes of a whole list"),
    "memory": ("units", "MB a relay"),
    "connections": ("units", "open connections of one relay"),
    "dials": ("units", "share of requests that dial"),
    "request_by_rate": ("requests a second", "us of processor time a request"),
    "request_by_services": ("services", "us of processor time a request"),
    "memory_by_services": ("services", "MB a relay"),
    "request_by_tenants": ("tenants", "us of processor time a request"),
    "settings_by_tenants": ("tenants", "ms of processor time to read the settings"),
    "settings_bytes": ("tenants", "bytes of the settings"),
    "memory_by_tenants": ("tenants", "MB a relay"),
    "control_by_changes": ("changes a second", "% of a core for ticks and changes"),
}

UNTIMED = {  # not times, so other load on the machine does not affect them
    "change_bytes",
    "list_bytes",
    "memory",
    "connections",
    "dials",
    "memory_by_services",
    "settings_bytes",
    "memory_by_tenants",
}


class Recorder:
    """Keeps the smallest of several measurements at each size, with the bare loops that ran beside them.

    If the bare loops differ too much, because other processes used the machine, the measurements are repeated
    up to three times as often as planned.
    """

    def __init__(self) -> None:
        self.series: dict[str, Series] = {}
        self._bare_loops: dict[str, list[float]] = {}

    def sweep(self, sizes: Iterable[float], repeats: int, measure: Callable[..., Figures]) -> None:
        """Measure all sizes `repeats` times.

        The sizes are measured in turn, so that a short load on the machine affects all of them.

        Args:
            sizes: Sizes in ascending order.
            repeats: Number of measurements of each size on a steady machine.
            measure: Called with a size and a seed; returns values by figure.
        """
        smallest_points: dict[tuple[str, float], Point] = {}
        sizes = list(sizes)
        for repeat in range(repeats * MAX_REPEATS_FACTOR):
            if repeat >= repeats and not meter.unsteady([point.bare for point in smallest_points.values()]):
                break
            for size in sizes:
                before = meter.bare()
                figures = measure(size, repeat + 1)
                bare_s = (before + meter.bare()) / 2
                for name, value in figures.items():
                    smallest = smallest_points.get((name, size))
                    if smallest is None or value < smallest.value:
                        smallest_points[name, size] = Point(size, value, bare_s)
        for (name, _), point in sorted(smallest_points.items(), key=lambda item: item[0][1]):
            dimension, unit = FIGURE_UNITS[name]
            series = self.series.setdefault(name, Series(name, dimension, unit))
            series.points.append(point)
        for name in {name for name, _ in smallest_points}:
            series = self.series[name]
            if name not in UNTIMED:
                series.void = meter.unsteady([point.bare for point in series.points])


def measure(plan: SlopesPlan) -> list[Series]:
    """Measure all figures of one relay at the sizes of the plan."""
    recorder, requests, repeats = Recorder(), plan.requests, plan.repeats
    gc.disable()
    try:
        recorder.sweep(plan.units, repeats, lambda size, seed: measure_units(size, requests, seed))
        recorder.sweep(plan.units, 1, lambda size, _: measure_memory(size))
        recorder.sweep(plan.units, 1, lambda size, _: measure_connections(size))
        recorder.sweep(plan.requests_per_s, repeats, lambda size, seed: measure_load(size, requests, seed))
        recorder.sweep(plan.services, repeats, lambda size, seed: measure_services(size, requests, seed))
        recorder.sweep(
            plan.services, 1, lambda size, _: _with_dimension(measure_memory(100, services=size), "services")
        )
        recorder.sweep(plan.tenants, repeats, lambda size, seed: measure_tenants(size, requests, seed))
        recorder.sweep(
            plan.tenants, 1, lambda size, _: _with_dimension(measure_memory(100, tenants=size), "tenants")
        )
        recorder.sweep(plan.changes_per_s, repeats, measure_changes)
    finally:
        gc.enable()
    return list(recorder.series.values())


def _with_dimension(figures: Figures, dimension: str) -> Figures:
    return {f"{name}_by_{dimension}": value for name, value in figures.items()}
