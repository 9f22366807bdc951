"""A run as one JSON document, tables and charts."""

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
    """All that one run found."""

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
        series = [{**asdict(one), "fit": asdict(one.fit())} for one in self.series if len(one.points) > 1]
        return {**asdict(self), "series": series}

    def named(self, name: str) -> Series:
        return next(one for one in self.series if one.name == name)


def commit() -> str:
    """The checkout's commit, marked where files differ from it; empty outside one."""
    words = ["git", "describe", "--always", "--dirty", "--abbrev=9"]
    found = subprocess.run(words, cwd=ROOT, capture_output=True, text=True, check=False)
    return found.stdout.strip()


def moment() -> str:
    return datetime.now(UTC).isoformat(timespec="seconds")


def read(path: Path) -> Run:
    """A run as it was written."""
    raw = json.loads(path.read_text())
    series = [
        Series(one["name"], one["dimension"], one["unit"], [Point(**p) for p in one["points"]], one["void"])
        for one in raw["series"]
    ]
    return Run(**{**raw, "series": series})


def slopes_table(series: list[Series]) -> Table:
    """A row a figure: its values, the fitted line, what the line leaves, and the growth."""
    table = Table("Slopes")
    for one in series:
        if len(one.points) < 2:
            continue
        fit = one.fit()
        table.add(
            figure=one.name,
            unit=one.unit,
            by=one.dimension,
            sizes=", ".join(f"{point.size:g}" for point in one.points),
            values=", ".join(f"{point.value:.4g}" for point in one.points),
            fixed=f"{fit.intercept:.3g}",
            for_each=f"{fit.slope:.3g}",
            residual=f"{fit.residual:.3f}",
            exponent=f"{fit.exponent:.2f}",
            growth=f"{fit.growth:.1f}",
            void=one.void or "-",
        )
    return table


def rows_table(title: str, rows: list[dict[str, Any]]) -> Table:
    table = Table(title)
    for row in rows:
        table.add(**{name: _short(value) for name, value in row.items()})
    return table


def _short(value: object) -> object:
    return f"{value:.4g}" if isinstance(value, float) else value


EVENT_COLUMNS = (
    "kind", "relays", "units", "simulated_s", "asked", "served", "refused", "failed", "cut_off", "lost",
    "effects_twice", "drains_broken", "cold_worst", "trial_share", "trial_allowed", "discovery_calls",
    "discovery_whole_lists", "discovery_busiest_second", "bytes_a_relay_s", "control_core_percent",
    "change_to_last_relay_s", "right_again_s", "rules_kept",
)  # fmt: skip


def text(run: Run) -> str:
    """Markdown of the whole run."""
    head = f"# Scale run\n\nCommit {run.commit}, {run.begun} to {run.ended}.\n"
    parts = [head, *[f"- {note}" for note in run.notes]]
    if run.series:
        parts.append(slopes_table(run.series).text())
    if run.comparison:
        parts.append(rows_table("Hollow beside real: what a unit more costs", run.comparison).text())
    if run.events:
        rows = [{name: event[name] for name in EVENT_COLUMNS} for event in run.events]
        parts.append(rows_table("Events, in simulated time", rows).text())
    for title, found in (
        ("Latency on loopback", run.latency),
        ("Steps of a request", run.steps),
        ("Pacing of turns", run.pacing),
    ):
        if found:
            parts.append(rows_table(title, found).text())
    return "\n".join(parts)


def write(run: Run, folder: Path, name: str) -> None:
    """NAME.json and NAME.md in the folder."""
    folder.mkdir(parents=True, exist_ok=True)
    (folder / f"{name}.json").write_text(json.dumps(run.document(), indent=1) + "\n")
    (folder / f"{name}.md").write_text(text(run))
