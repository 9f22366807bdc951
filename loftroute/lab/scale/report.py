"""The results of a scale run, written as JSON and as Markdown tables."""

import json
import subprocess
from dataclasses import asdict, dataclass, field
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

from loftroute.lab.scale.fits import Point, Series
from loftroute.lab.standins import ROOT
from loftroute.lab.tables import Table


@dataclass
class Run:
    """The results of one scale run.

    Attributes:
        plan: The plan as it was read, as plain JSON values.
        commit: The commit of the checkout, empty outside one.
        begun, ended: UTC times in ISO 8601.
        events: One row for each simulated event, see `events.EventResult`.
        comparison: Figures of hollow and real relays, see `real.compare`.
        latency, steps, pacing: See `latency.py`.
        notes: Parts and events that were not run, with the reason.
    """

    plan: dict[str, Any]
    commit: str = ""
    begun: str = ""
    ended: str = ""
    series: list[Series] = field(default_factory=list)
    events: list[dict[str, Any]] = field(default_factory=list)
    comparison: list[dict[str, object]] = field(default_factory=list)
    latency: list[dict[str, object]] = field(default_factory=list)
    steps: list[dict[str, object]] = field(default_factory=list)
    pacing: list[dict[str, object]] = field(default_factory=list)
    notes: list[str] = field(default_factory=list)

    def document(self) -> dict[str, Any]:
        """Return the run as plain values, with the fit of each series of at least two points."""
        series = [
            {**asdict(figure), "fit": asdict(figure.fit())}
            for figure in self.series
            if len(figure.points) > 1
        ]
        return {**asdict(self), "series": series}

    def named(self, name: str) -> Series:
        """Return the series of this name."""
        return next(figure for figure in self.series if figure.name == name)


def commit() -> str:
    """Return the commit of the checkout, with "-dirty" if files differ from it; empty outside a checkout."""
    arguments = ["git", "describe", "--always", "--dirty", "--abbrev=9"]
    result = subprocess.run(arguments, cwd=ROOT, capture_output=True, text=True, check=False)
    return result.stdout.strip()


def moment() -> str:
    """Return the present time in UTC, as ISO 8601 with seconds."""
    return datetime.now(UTC).isoformat(timespec="seconds")


def read(path: Path) -> Run:
    """Read a run from the JSON file that `write` made."""
    raw = json.loads(path.read_text())
    series = [
        Series(
            entry["name"],
            entry["dimension"],
            entry["unit"],
            [Point(**point) for point in entry["points"]],
            entry["void"],
        )
        for entry in raw["series"]
    ]
    return Run(**{**raw, "series": series})


def slopes_table(series: list[Series]) -> Table:
    """Return a table with one row for each figure: values, fitted line, residual and growth."""
    table = Table("Slopes")
    for figure in series:
        if len(figure.points) < 2:
            continue
        fit = figure.fit()
        table.add(
            figure=figure.name,
            unit=figure.unit,
            by=figure.dimension,
            sizes=", ".join(f"{point.size:g}" for point in figure.points),
            values=", ".join(f"{point.value:.4g}" for point in figure.points),
            fixed=f"{fit.intercept:.3g}",
            for_each=f"{fit.slope:.3g}",
            residual=f"{fit.residual:.3f}",
            exponent=f"{fit.exponent:.2f}",
            growth=f"{fit.growth:.1f}",
            void=figure.void or "-",
        )
    return table


def rows_table(title: str, rows: list[dict[str, Any]]) -> Table:
    """Return a table of rows that all have the same keys, which become the columns."""
    table = Table(title)
    for row in rows:
        table.add(**{name: _rounded(value) for name, value in row.items()})
    return table


def _rounded(value: object) -> object:
    return f"{value:.4g}" if isinstance(value, float) else value


EVENT_COLUMNS = (
    "kind", "relays", "units", "simulated_s", "asked", "served", "refused", "failed", "cut_off", "lost",
    "effects_twice", "drains_broken", "cold_worst", "trial_share", "trial_allowed", "discovery_calls",
    "discovery_whole_lists", "discovery_busiest_second", "bytes_a_relay_s", "control_core_percent",
    "change_to_last_relay_s", "right_again_s", "rules_kept",
)  # fmt: skip


def text(run: Run) -> str:
    """Return the run as Markdown."""
    head = f"# Scale run\n\nCommit {run.commit}, {run.begun} to {run.ended}.\n"
    parts = [head, *[f"- {note}" for note in run.notes]]
    if run.series:
        parts.append(slopes_table(run.series).text())
    if run.comparison:
        parts.append(rows_table("Hollow and real relays: cost of each unit", run.comparison).text())
    if run.events:
        rows = [{name: event[name] for name in EVENT_COLUMNS} for event in run.events]
        parts.append(rows_table("Events, in simulated time", rows).text())
    for title, table_rows in (
        ("Latency on loopback", run.latency),
        ("Steps of a request", run.steps),
        ("Pacing of turns", run.pacing),
    ):
        if table_rows:
            parts.append(rows_table(title, table_rows).text())
    return "\n".join(parts)


def write(run: Run, folder: Path, name: str) -> None:
    """Write NAME.json and NAME.md into the folder, which is created if it is missing."""
    folder.mkdir(parents=True, exist_ok=True)
    (folder / f"{name}.json").write_text(json.dumps(run.document(), indent=1) + "\n")
    (folder / f"{name}.md").write_text(text(run))
