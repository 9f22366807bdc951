"""The capacity table: what a large fleet needs, computed from measured series, and which limits hold.

Usage:

    python -m loftroute.lab.scale.capacity RUN.json...

Every figure is the value of a fitted line at a size, or a sum of such values. The runs together must contain
all series that are used.
"""

import sys
from dataclasses import dataclass, replace
from pathlib import Path

from loftroute.lab.scale import report
from loftroute.lab.scale.fits import Series
from loftroute.lab.tables import Table

TICKS_PER_SECOND = 4
RESTARTS_PER_DAY, CHANGES_PER_RESTART, SETTINGS_PER_DAY = 600, 3, 330
SECONDS_PER_DAY = 86_400
BASE_DESCRIPTORS = 32  # of a relay without connections to units
MAX_UNITS = 50_000  # where the search for the most units ends
LINK_BYTES_PER_S = 125_000_000  # link of one discovery process, 1 Gbit/s


@dataclass(frozen=True)
class Fleet:
    """The size of a fleet; the defaults are the deployment that the limits apply to."""

    relays: int = 520
    units: int = 5000
    services: int = 210
    tenants: int = 38_000
    requests_per_s: int = 60_000

    @property
    def requests_per_relay(self) -> float:
        """Requests per second at one relay."""
        return self.requests_per_s / self.relays


@dataclass(frozen=True)
class Limits:
    """The limits on one relay and on the time that a change takes."""

    added_p99_ms: float = 1.7
    control_core_percent: float = 2.3
    memory_mb: float = 256.0
    control_bytes_per_s: float = 15_000.0
    change_s: float = 5.0
    descriptors: int = 1024
    core_percent: float = 100.0  # a relay has one thread


class MeasuredSeries:
    """The series of several runs, by name. All methods raise KeyError for a name that no run contains."""

    def __init__(self, runs: list[report.Run]) -> None:
        self._series: dict[str, Series] = {series.name: series for run in runs for series in run.series}

    def at(self, name: str, size: float) -> float:
        """Return the fitted line's value at a size, at least 0."""
        return max(self._series[name].fit().at(size), 0.0)

    def slope(self, name: str) -> float:
        """Return the slope of the fitted line."""
        return self._series[name].fit().slope

    def fixed(self, name: str) -> float:
        """Return the fitted line's value at size 0."""
        return self._series[name].fit().intercept

    def largest(self, name: str) -> float:
        """Return the value measured at the largest size, for a series that does not grow linearly."""
        return self._series[name].points[-1].value

    def void(self, *names: str) -> str:
        """Return the names of those series that are void, or "-" if all are valid."""
        return ", ".join(name for name in names if self._series[name].void) or "-"


@dataclass(frozen=True)
class Figure:
    """One limit and what a fleet needs of it.

    Attributes:
        made_of: The series and the formula that `needed` is computed from.
        void: Names of the void series among them, or "-".
    """

    name: str
    needed: float
    limit: float
    unit: str
    made_of: str
    void: str

    @property
    def holds(self) -> bool:
        """Whether the need is within the limit."""
        return self.needed <= self.limit

    @property
    def verdict(self) -> str:
        """Text of the table: "yes", "**no**", or "not known" if a series is void."""
        if self.void != "-":
            return "not known"
        return "yes" if self.holds else "**no**"


def figures(fleet: Fleet, measured: MeasuredSeries, limits: Limits) -> list[Figure]:
    """Compute the need of a fleet for each limit."""
    series, units = measured, fleet.units
    changes = RESTARTS_PER_DAY * CHANGES_PER_RESTART / SECONDS_PER_DAY * units / Fleet().units
    ticks = 0.1 * TICKS_PER_SECOND * series.at("tick", units)
    control = series.fixed("real_idle") + ticks + 0.1 * changes * series.at("change", units)
    memory = series.at("real_memory", units) + series.slope("memory_by_tenants") * fleet.tenants
    bytes_per_s = series.at("relay_bytes", fleet.relays) + changes * series.at("change_bytes", units)
    request_us = series.at("real_request", units)
    descriptors = (
        BASE_DESCRIPTORS
        + series.largest("connections") * fleet.requests_per_relay / Fleet().requests_per_relay
    )
    change_ms = series.at("change_to_last_relay", fleet.relays) + series.at("change", units)
    whole_lists_s = fleet.relays * series.at("list_bytes", units) / LINK_BYTES_PER_S
    return [
        Figure(
            "added to a request, 50 in 100",
            series.at("real_added_p50", units),
            limits.added_p99_ms,
            "ms",
            "real_added_p50",
            series.void("real_added_p50"),
        ),
        Figure(
            "added to a request, 99 in 100",
            series.at("real_added_p99", units),
            limits.added_p99_ms,
            "ms",
            "real_added_p99",
            series.void("real_added_p99"),
        ),
        Figure(
            "processor time for control",
            control,
            limits.control_core_percent,
            "% of a core",
            "real_idle fixed + 4 tick + changes x change",
            series.void("real_idle", "tick", "change"),
        ),
        Figure(
            "memory",
            memory,
            limits.memory_mb,
            "MB",
            "real_memory + memory_by_tenants",
            series.void("real_memory", "memory_by_tenants"),
        ),
        Figure(
            "bytes for control, ordinary",
            bytes_per_s,
            limits.control_bytes_per_s,
            "bytes a second",
            "relay_bytes + changes x change_bytes",
            "-",
        ),
        Figure(
            "bytes for control, the minute after discovery lost its history",
            bytes_per_s + series.at("list_bytes", units) / 60,
            limits.control_bytes_per_s,
            "bytes a second",
            "the same + list_bytes / 60 s",
            "-",
        ),
        Figure(
            "a change of the list, until the last relay acts",
            change_ms / 1e3,
            limits.change_s,
            "s",
            "change_to_last_relay + change",
            series.void("change_to_last_relay", "change"),
        ),
        Figure(
            "whole lists for all relays through one discovery's 1 Gbit/s",
            whole_lists_s + series.at("whole_list", units) / 1e3,
            limits.change_s,
            "s",
            "relays x list_bytes / link + whole_list",
            series.void("whole_list"),
        ),
        Figure(
            "descriptors of a relay, for units",
            descriptors,
            limits.descriptors,
            "descriptors",
            "connections + 32",
            "-",
        ),
        Figure(
            "processor time for requests",
            fleet.requests_per_relay * request_us / 1e4,
            limits.core_percent,
            "% of a core",
            "requests a relay x real_request",
            series.void("real_request"),
        ),
    ]


def limits_table(fleet: Fleet, measured: MeasuredSeries, limits: Limits) -> Table:
    """Return a table of all limits and what the fleet needs of them."""
    table = Table(f"{fleet.relays} relays, {fleet.units} units, {fleet.requests_per_s} requests a second")
    for figure in figures(fleet, measured, limits):
        table.add(
            figure=figure.name,
            needed=f"{figure.needed:.3g}",
            limit=f"{figure.limit:g}",
            unit=figure.unit,
            left=f"{figure.limit - figure.needed:.3g}",
            holds=figure.verdict,
            made_of=figure.made_of,
            void=figure.void,
        )
    return table


def doubling_table(fleet: Fleet, measured: MeasuredSeries, limits: Limits) -> Table:
    """Return a table of the used share of each limit, as planned and with one dimension doubled."""
    fleets = {
        "as planned": fleet,
        "units x 2": replace(fleet, units=2 * fleet.units),
        "relays x 2": replace(fleet, relays=2 * fleet.relays),
        "tenants x 2": replace(fleet, tenants=2 * fleet.tenants),
        "requests x 2": replace(fleet, requests_per_s=2 * fleet.requests_per_s),
    }
    table = Table("Share of each limit used, in percent")
    columns = {name: figures(variant, measured, limits) for name, variant in fleets.items()}
    for index, figure in enumerate(columns["as planned"]):
        shares = {
            name: f"{100 * column[index].needed / column[index].limit:.0f}"
            for name, column in columns.items()
        }
        table.add(figure=figure.name, **shares)
    return table


def max_units_table(fleet: Fleet, measured: MeasuredSeries, limits: Limits) -> Table:
    """Return a table of the most units, in steps of 50, up to which each limit holds, all else as planned."""
    table = Table("The most units at which a limit holds")
    for index, figure in enumerate(figures(fleet, measured, limits)):
        max_units = 0
        for units in range(50, MAX_UNITS + 1, 50):
            if not figures(replace(fleet, units=units), measured, limits)[index].holds:
                break
            max_units = units
        table.add(
            figure=figure.name, most_units=f"{max_units}" if max_units < MAX_UNITS else f"{MAX_UNITS} or more"
        )
    return table


def main(paths: list[str]) -> int:
    """Print the capacity tables of the given runs; return the exit status."""
    if not paths:
        print("usage: python -m loftroute.lab.scale.capacity RUN.json...", file=sys.stderr)
        return 2
    runs = [report.read(Path(path)) for path in paths]
    measured, fleet, limits = MeasuredSeries(runs), Fleet(), Limits()
    try:
        for table in (limits_table, doubling_table, max_units_table):
            print(table(fleet, measured, limits).text())
    except KeyError as missing:
        print(f"capacity: no run holds the series {missing}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
