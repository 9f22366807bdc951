"""The command line of the scale run: executes the parts of a plan within its time and memory limits."""

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
MEGABYTES_PER_UNIT = 0.003  # upper bound of the memory that one hollow relay needs for each unit


class TimeLimitError(Exception):
    """The run has used up the processor time that the plan allows."""


class PlanRunner:
    """Executes the parts of one plan and collects their results in `run`.

    Each name in PARTS is the name of a method.
    """

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.run = Run(json.loads(msgspec.json.encode(plan)), report.commit(), report.moment())

    def check_time(self) -> None:
        """Raise TimeLimitError if this process and its children have used up the plan's processor time."""
        children = resource.getrusage(resource.RUSAGE_CHILDREN)
        used = time.process_time() + children.ru_utime + children.ru_stime
        if used > self.plan.stop_after_s:
            raise TimeLimitError(f"stopped after {used:.0f} s of processor time")

    def slopes(self) -> None:
        """Measure how the costs of one relay grow with each dimension."""
        self.run.series += slopes.measure(self.plan.slopes)

    def relays(self) -> None:
        """Measure the control traffic of fleets of several sizes."""
        self.run.series += fleet_slopes.sweep(self.plan.slopes.relays)

    def events(self) -> None:
        """Simulate each event in a process of its own, so that memory is not carried over between events."""
        affordable = [event for event in self.plan.events if self._fits(event)]
        context = multiprocessing.get_context("spawn")
        with ProcessPoolExecutor(self.plan.processes, context, max_tasks_per_child=1) as pool:
            self.run.events += pool.map(events.play, affordable)

    def _fits(self, event: plans.EventPlan) -> bool:
        """Whether the event stays within the memory limit; adds a note to the run where it does not."""
        needed = event.relays * event.units * MEGABYTES_PER_UNIT * self.plan.processes
        allowed = processes.machine_megabytes() * self.plan.memory_share
        if needed > allowed:
            self.run.notes.append(
                f"{event.kind.value}: not run, needs {needed:.0f} MB, {allowed:.0f} MB allowed"
            )
        return needed <= allowed

    def real(self) -> None:
        """Measure real relays and compare the hollow ones with them."""
        series = real.sweep(self.plan.real)
        self.run.comparison = real.compare(series)
        self.run.series += series

    def latency(self) -> None:
        """Measure the time that a real relay adds to a request."""
        results = latency.measure(self.plan.real)
        self.run.latency, self.run.steps, self.run.pacing = results.latency, results.steps, results.pacing
        self.run.notes += results.notes

    def play(self, parts: tuple[str, ...]) -> Run:
        """Execute the named parts; a part that the time limit excludes is listed in the run's notes."""
        for part in parts:
            try:
                self.check_time()
            except TimeLimitError as error:
                self.run.notes.append(f"{part}: not run, {error}")
                continue
            getattr(self, part)()
        self.run.ended = report.moment()
        return self.run


def read_plan(path: str | None, quick: bool) -> Plan:
    """Read the plan from a file; without a path return the built-in QUICK or FULL plan."""
    if path is None:
        return plans.QUICK if quick else plans.FULL
    return plans.read(Path(path).read_bytes())


def void_messages(run: Run) -> Iterator[str]:
    """Yield one line for each series that does not count, with the reason."""
    for series in run.series:
        if series.void:
            yield f"{series.name}: {series.void}"


@click.command()
@click.option("--plan", "path", type=click.Path(exists=True, dir_okay=False), help="Path of a plan in JSON.")
@click.option("--quick", is_flag=True, help="Run the small built-in plan, which takes less than a minute.")
@click.option(
    "--part", "parts", multiple=True, type=click.Choice(PARTS), help="Run only this part; may be repeated."
)
@click.option("--event", "kinds", multiple=True, type=click.Choice([kind.value for kind in EventKind]))
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
    """Measure how the relay's costs grow, and simulate events on a large fleet."""
    try:
        plan = read_plan(path, quick)
    except plans.PlanError as error:
        click.echo(f"scale: {error}", err=True)
        sys.exit(2)
    if kinds:
        selected = tuple(event for event in plan.events if event.kind.value in kinds)
        plan = msgspec.structs.replace(plan, events=selected)
    run = PlanRunner(plan).play(parts or PARTS)
    click.echo(report.text(run))
    for line in void_messages(run):
        click.echo(f"scale: {line}", err=True)
    if out:
        from loftroute.lab.scale import charts  # imported here because matplotlib is slow to import

        report.write(run, Path(out), name)
        if run.series:
            charts.draw(run.series, Path(out) / f"{name}.png")
