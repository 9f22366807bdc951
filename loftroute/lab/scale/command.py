"""Plays a plan: the slopes, the events and the real relays, within its bounds on time and memory."""

import json
import multiprocessing
import resource
import sys
import time
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import click
import msgspec

from loftroute.lab.scale import events, fleet_slopes, latency, processes, real, report, slopes
from loftroute.lab.scale import plan as plans
from loftroute.lab.scale.plan import EventKind, Plan
from loftroute.lab.scale.report import Run

PARTS = ("slopes", "relays", "events", "real", "latency")
MEGABYTES_A_UNIT = 0.003  # of one hollow relay for one unit, above what the memory slope shows


class OutOfTime(Exception):
    """The plan's processor time is used up."""


class Played:
    """A run under way, with what is left of its time."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.run = Run(json.loads(msgspec.json.encode(plan)), report.commit(), report.moment())

    def check_time(self) -> None:
        children = resource.getrusage(resource.RUSAGE_CHILDREN)
        used = time.process_time() + children.ru_utime + children.ru_stime
        if used > self.plan.stop_after_s:
            raise OutOfTime(f"stopped after {used:.0f} s of processor time; what is missing was not run")

    def slopes(self) -> None:
        self.run.series += slopes.measure(self.plan.slopes)

    def relays(self) -> None:
        self.run.series += fleet_slopes.sweep(self.plan.slopes.relays)

    def events(self) -> None:
        """Each event in a process of its own, so that none inherits another's memory."""
        fitting = [event for event in self.plan.events if self._fits(event)]
        context = multiprocessing.get_context("spawn")
        with ProcessPoolExecutor(self.plan.processes, context, max_tasks_per_child=1) as pool:
            self.run.events += pool.map(events.play, fitting)

    def _fits(self, event: plans.EventPlan) -> bool:
        needed = event.relays * event.units * MEGABYTES_A_UNIT * self.plan.processes
        allowed = processes.machine_megabytes() * self.plan.memory_share
        if needed > allowed:
            self.run.notes.append(
                f"{event.kind.value}: not run, {needed:.0f} MB wanted, {allowed:.0f} MB allowed"
            )
        return needed <= allowed

    def real(self) -> None:
        found = real.sweep(self.plan.real)
        self.run.comparison = real.compare(found)
        self.run.series += found

    def latency(self) -> None:
        found = latency.measure(self.plan.real)
        self.run.latency, self.run.steps, self.run.pacing = found.latency, found.steps, found.pacing
        self.run.notes += found.notes

    def play(self, parts: tuple[str, ...]) -> Run:
        for part in parts:
            try:
                self.check_time()
            except OutOfTime as problem:
                self.run.notes.append(f"{part}: not run, {problem}")
                continue
            getattr(self, part)()
        self.run.ended = report.moment()
        return self.run


def read_plan(path: str | None, quick: bool) -> Plan:
    """The plan of a file, or one of the two that come with the package."""
    if path is None:
        return plans.QUICK if quick else plans.FULL
    return plans.read(Path(path).read_bytes())


def voids(run: Run) -> Iterator[str]:
    for series in run.series:
        if series.void:
            yield f"{series.name}: {series.void}"


@click.command()
@click.option("--plan", "path", type=click.Path(exists=True, dir_okay=False), help="A plan, as JSON.")
@click.option("--quick", is_flag=True, help="The small plan that CI plays, under a minute.")
@click.option("--part", "parts", multiple=True, type=click.Choice(PARTS), help="Only these parts.")
@click.option("--event", "kinds", multiple=True, type=click.Choice([k.value for k in EventKind]))
@click.option("--out", type=click.Path(file_okay=False), help="Write NAME.json, NAME.md and NAME.png there.")
@click.option("--name", default="scale", show_default=True)
def main(
    path: str | None,
    quick: bool,
    parts: tuple[str, ...],
    kinds: tuple[str, ...],
    out: str | None,
    name: str,
) -> None:
    """Measure how the relay's costs grow, and play the events of a large fleet."""
    try:
        plan = read_plan(path, quick)
    except plans.PlanError as problem:
        click.echo(f"scale: {problem}", err=True)
        sys.exit(2)
    if kinds:
        chosen = tuple(event for event in plan.events if event.kind.value in kinds)
        plan = msgspec.structs.replace(plan, events=chosen)
    run = Played(plan).play(parts or PARTS)
    click.echo(report.text(run))
    for line in voids(run):
        click.echo(f"scale: {line}", err=True)
    if out:
        from loftroute.lab.scale import charts  # slow to import, and wanted for files alone

        report.write(run, Path(out), name)
        if run.series:
            charts.draw(run.series, Path(out) / f"{name}.png")
