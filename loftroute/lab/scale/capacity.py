"""The users' fleet from measured slopes: what each role needs at a size, and which of the limits hold.

    python -m loftroute.lab.scale.capacity RUN.json...

Every figure is a fitted line at a size, or a sum of such; the runs must hold the series that it is made of.
"""

import sys
from dataclasses import dataclass, replace
from pathlib import Path

from loftroute.lab.scale import report
from loftroute.lab.scale.fits import Series
from loftroute.lab.tables import Table

TICKS_A_SECOND = 4
RESTARTS_A_DAY, CHANGES_A_RESTART, SETTINGS_A_DAY = 600, 3, 330
SECONDS_A_DAY = 86_400
OWN_DESCRIPTORS = 32
MOST_UNITS = 50_000
LINK_BYTES_PER_S = 125_000_000  # of one discovery process, 1 Gbit/s


@dataclass(frozen=True)
class Fleet:
    """The users' sizes."""

    relays: int = 520
    units: int = 5000
    services: int = 210
    tenants: int = 38_000
    requests_per_s: int = 60_000

    @property
    def requests_a_relay(self) -> float:
        return self.requests_per_s / self.relays


@dataclass(frozen=True)
class Limits:
    """What the users allow."""

    added_p99_ms: float = 1.7
    control_core_percent: float = 2.3
    memory_mb: float = 256.0
    control_bytes_per_s: float = 15_000.0
    change_s: float = 5.0
    descriptors: int = 1024
    core_percent: float = 100.0  # one relay is one thread


class Measured:
    """The series of several runs, by name."""

    def __init__(self, runs: list[report.Run]) -> None:
        self._series: dict[str, Series] = {one.name: one for run in runs for one in run.series}

    def at(self, name: str, size: float) -> float:
        """The fitted line at a size."""
        return max(self._series[name].fit().at(size), 0.0)

    def slope(self, name: str) -> float:
        return self._series[name].fit().slope

    def fixed(self, name: str) -> float:
        return self._series[name].fit().intercept

    def largest(self, name: str) -> float:
        """The value measured at the largest size: for what is no line."""
        return self._series[name].points[-1].value

    def void(self, *names: str) -> str:
        return ", ".join(name for name in names if self._series[name].void) or "-"


@dataclass(frozen=True)
class Figure:
    """One of the users' limits at a fleet's size."""

    name: str
    needed: float
    limit: float
    unit: str
    made_of: str
    void: str

    @property
    def holds(self) -> bool:
        return self.needed <= self.limit

    @property
    def verdict(self) -> str:
        """A void figure holds nothing and breaks nothing."""
        if self.void != "-":
            return "not known"
        return "yes" if self.holds else "**no**"


def figures(fleet: Fleet, measured: Measured, limits: Limits) -> list[Figure]:
    """Each limit beside what the fleet needs."""
    m, units = measured, fleet.units
    changes = RESTARTS_A_DAY * CHANGES_A_RESTART / SECONDS_A_DAY * units / Fleet().units
    ticks = 0.1 * TICKS_A_SECOND * m.at("tick", units)
    control = m.fixed("real_idle") + ticks + 0.1 * changes * m.at("change", units)
    memory = m.at("real_memory", units) + m.slope("memory_by_tenants") * fleet.tenants
    bytes_a_s = m.at("relay_bytes", fleet.relays) + changes * m.at("change_bytes", units)
    request_us = m.at("real_request", units)
    descriptors = (
        OWN_DESCRIPTORS + m.largest("connections") * fleet.requests_a_relay / Fleet().requests_a_relay
    )
    change_ms = m.at("change_to_last_relay", fleet.relays) + m.at("change", units)
    storm_s = fleet.relays * m.at("list_bytes", units) / LINK_BYTES_PER_S
    return [
        Figure(
            "added to a request, 50 in 100",
            m.at("real_added_p50", units),
            limits.added_p99_ms,
            "ms",
            "real_added_p50",
            m.void("real_added_p50"),
        ),
        Figure(
            "added to a request, 99 in 100",
            m.at("real_added_p99", units),
            limits.added_p99_ms,
            "ms",
            "real_added_p99",
            m.void("real_added_p99"),
        ),
        Figure(
            "processor time for control",
            control,
            limits.control_core_percent,
            "% of a core",
            "real_idle fixed + 4 tick + changes x change",
            m.void("real_idle", "tick", "change"),
        ),
        Figure(
            "memory",
            memory,
            limits.memory_mb,
            "MB",
            "real_memory + memory_by_tenants",
            m.void("real_memory", "memory_by_tenants"),
        ),
        Figure(
            "bytes for control, ordinary",
            bytes_a_s,
            limits.control_bytes_per_s,
            "bytes a second",
            "relay_bytes + changes x change_bytes",
            "-",
        ),
        Figure(
            "bytes for control, the minute after discovery lost its history",
            bytes_a_s + m.at("list_bytes", units) / 60,
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
            m.void("change_to_last_relay", "change"),
        ),
        Figure(
            "whole lists for all relays through one discovery's 1 Gbit/s",
            storm_s + m.at("whole_list", units) / 1e3,
            limits.change_s,
            "s",
            "relays x list_bytes / link + whole_list",
            m.void("whole_list"),
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
            fleet.requests_a_relay * request_us / 1e4,
            limits.core_percent,
            "% of a core",
            "requests a relay x real_request",
            m.void("real_request"),
        ),
    ]


def limits_table(fleet: Fleet, measured: Measured, limits: Limits) -> Table:
    """The users' limits at a glance."""
    table = Table(f"{fleet.relays} relays, {fleet.units} units, {fleet.requests_per_s} requests a second")
    for one in figures(fleet, measured, limits):
        table.add(
            figure=one.name,
            needed=f"{one.needed:.3g}",
            limit=f"{one.limit:g}",
            unit=one.unit,
            left=f"{one.limit - one.needed:.3g}",
            holds=one.verdict,
            made_of=one.made_of,
            void=one.void,
        )
    return table


def doubled_table(fleet: Fleet, measured: Measured, limits: Limits) -> Table:
    """The share of each limit that is used, and what it becomes as one dimension doubles."""
    larger = {
        "as planned": fleet,
        "units x 2": replace(fleet, units=2 * fleet.units),
        "relays x 2": replace(fleet, relays=2 * fleet.relays),
        "tenants x 2": replace(fleet, tenants=2 * fleet.tenants),
        "requests x 2": replace(fleet, requests_per_s=2 * fleet.requests_per_s),
    }
    table = Table("Share of each limit used, in percent")
    columns = {name: figures(one, measured, limits) for name, one in larger.items()}
    for place, figure in enumerate(columns["as planned"]):
        shares = {
            name: f"{100 * found[place].needed / found[place].limit:.0f}" for name, found in columns.items()
        }
        table.add(figure=figure.name, **shares)
    return table


def most_units_table(fleet: Fleet, measured: Measured, limits: Limits) -> Table:
    """The most units, to the next fifty, at which each limit still holds, all else as planned."""
    table = Table("The most units at which a limit holds")
    for place, figure in enumerate(figures(fleet, measured, limits)):
        most = 0
        for units in range(50, MOST_UNITS + 1, 50):
            if not figures(replace(fleet, units=units), measured, limits)[place].holds:
                break
            most = units
        table.add(figure=figure.name, most_units=f"{most}" if most < MOST_UNITS else f"{MOST_UNITS} or more")
    return table


def main(paths: list[str]) -> int:
    if not paths:
        print("usage: python -m loftroute.lab.scale.capacity RUN.json...", file=sys.stderr)
        return 2
    runs = [report.read(Path(path)) for path in paths]
    measured, fleet, limits = Measured(runs), Fleet(), Limits()
    try:
        for table in (limits_table, doubled_table, most_units_table):
            print(table(fleet, measured, limits).text())
    except KeyError as missing:
        print(f"capacity: no run holds the series {missing}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
