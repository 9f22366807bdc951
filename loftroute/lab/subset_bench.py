"""Benchmark of the decision module with and without a subset, by the length of the list of units.

Requests arrive at a constant rate in simulated time and each is answered after the same time. Costs are
processor time of this thread. Ratios compare with the module alone at the first size, in the same run.

Run it with `python -m loftroute.lab.subset_bench --out FILE`.
"""

import gc
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass, fields
from pathlib import Path
from random import Random
from statistics import median

import click

from loftroute.decision import interface as i
from loftroute.decision.policy import HOUSEKEEPING_PERIOD, HOUSEKEEPING_TOKEN, Balancer
from loftroute.lab.setup import MS, SECOND, setup
from loftroute.lab.tables import Table
from loftroute.module_settings import read_settings
from loftroute.subset.pool import Pool

# Number of relays, connections to units that each may hold, zones, and machine types of the units.
RELAYS, MAX_CONNECTIONS, ZONES, MACHINE_TYPES = 520, 446, 6, 2
REQUESTS_PER_S, ANSWER_TIME = 115, 40 * MS  # requests a second at the relay; time of each answer, ns
SIZES = (50, 500, 1500, 5000)  # units on the list


@dataclass
class Costs:
    """Costs of one relay's module, with or without a subset.

    The times are medians, except that those of changes are means, since few changes affect a subset.

    Attributes:
        request_us: Time of one request (µs), including the answers that are due when it arrives.
        tick_ms: Time of one housekeeping tick (ms).
        change_ms: Time of one change of a randomly chosen unit of the list (ms).
        member_change_ms: Time of one change of a unit that was ready in the module before the changes (ms).
        first_list_ms: Time to process the first full list after the start (ms).
        repeated_list_ms: Time to process the same full list again (ms).
        memory_mb: Memory of the module, and of the subset if there is one, with a full list (MiB).
        units_used: Number of units that are ready in the module after all changes.
    """

    request_us: float
    tick_ms: float
    change_ms: float
    member_change_ms: float
    first_list_ms: float
    repeated_list_ms: float
    memory_mb: float
    units_used: int


def _entry(number: int, state: i.ServerState = i.ServerState.READY) -> i.ServerEntry:
    """Return the entry of a unit, with its zone and machine type assigned in rotation."""
    return i.ServerEntry(number, number % ZONES, 0, number // ZONES % MACHINE_TYPES, 1, state, 0, 1.0)


def _full_list(units: int) -> i.ServerList:
    """Return a full list of `units` units, all ready."""
    return i.ServerList(i.ListKind.FULL, 1, tuple(_entry(number) for number in range(units)))


class Relay:
    """The decision module of one relay, with a subset of the list if `subset` is set.

    Attributes:
        balancer: The decision module.
        pool: The subset between the list and the module, None without one.
        now: Simulated time, ns.
        requests: Number of requests so far.
        due: Outcomes of the attempts in progress, each with the time at which it is due (ns).
    """

    def __init__(self, subset: bool) -> None:
        settings = read_settings(setup(instances=RELAYS, self_index=17, zones=[str(n) for n in range(ZONES)]))
        self.balancer = Balancer(settings, 1)
        self.pool = Pool(17, RELAYS, MAX_CONNECTIONS) if subset else None
        self.now, self.requests = 10 * SECOND, 0
        self.due: list[tuple[int, i.AttemptEnded]] = []
        self.balancer.handle(self.now, i.Started())

    def process_list(self, event: i.ServerList) -> None:
        """Process a list or a change of it, through the subset if there is one."""
        actions = self.pool.handle(self.now, event) if self.pool else [event]
        for action in actions:
            if isinstance(action, i.ServerList):
                self.balancer.handle(self.now, action)

    def request(self) -> None:
        """Advance the time to the next request, process it, then end the attempts that are due."""
        self.now += SECOND // REQUESTS_PER_S
        self.requests += 1
        arrived = i.RequestArrived(
            f"{self.requests:016x}", None, 99, 0, ANSWER_TIME, 3 * SECOND, False, False
        )
        for action in self.balancer.handle(self.now, arrived):
            if isinstance(action, i.Send):
                ended = i.AttemptEnded(
                    action.request, 0, action.server, i.Outcome.OK, ANSWER_TIME, True, None
                )
                self.due.append((self.now + ANSWER_TIME, ended))
        while self.due and self.due[0][0] <= self.now:
            self._end(self.due.pop(0)[1])

    def _end(self, ended: i.AttemptEnded) -> None:
        if self.pool:
            self.pool.attempt_ended(self.now, ended.server, ended.outcome)
        self.balancer.handle(self.now, ended)

    def tick(self) -> None:
        """Run the module's housekeeping."""
        self.balancer.handle(self.now, i.TimerFired(HOUSEKEEPING_TOKEN))


def _cpu_time_ns(work: Callable[[], None]) -> int:
    """Run `work` and return the processor time of this thread in nanoseconds."""
    started_ns = time.thread_time_ns()
    work()
    return time.thread_time_ns() - started_ns


def _mean_change_ms(relay: Relay, units: list[int]) -> float:
    """Return the mean time of a change in ms; each unit starts draining, is removed and returns."""
    total_ns = 0
    for unit in units:
        for state in (i.ServerState.DRAINING, i.ServerState.GONE, i.ServerState.READY):
            event = i.ServerList(i.ListKind.DELTA, 2, (_entry(unit, state),))
            total_ns += _cpu_time_ns(lambda event=event: relay.process_list(event))  # type: ignore[misc]
    return total_ns / MS / (3 * len(units))


def measure(units: int, subset: bool, seconds: int) -> Costs:
    """Measure the costs of one module with a list of `units` units.

    `seconds` is the simulated time for which requests arrive.
    """
    tracemalloc.start()
    memory_relay = Relay(subset)
    memory_relay.process_list(_full_list(units))
    memory_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del memory_relay
    gc.collect()
    relay, full_list = Relay(subset), _full_list(units)
    full_list_times_ns = [_cpu_time_ns(lambda: relay.process_list(full_list)) for _ in range(5)]
    request_times_ns, tick_times_ns, rng = [], [], Random(3)
    for index in range(seconds * REQUESTS_PER_S):
        request_times_ns.append(_cpu_time_ns(relay.request))
        if index % (REQUESTS_PER_S * HOUSEKEEPING_PERIOD // SECOND) == 0:
            tick_times_ns.append(_cpu_time_ns(relay.tick))
    any_units = [rng.randrange(units) for _ in range(100)]
    member_units = [rng.choice(relay.balancer.ready).entry.server for _ in range(100)]
    return Costs(
        median(request_times_ns) / 1e3,
        median(tick_times_ns) / MS,
        _mean_change_ms(relay, any_units),
        _mean_change_ms(relay, member_units),
        full_list_times_ns[0] / MS,
        median(full_list_times_ns[1:]) / MS,
        memory_bytes / (1 << 20),
        len(relay.balancer.ready),
    )


def _median_costs(costs: list[Costs]) -> Costs:
    """Return the median of each field."""
    return Costs(*(median(getattr(run_costs, field.name) for run_costs in costs) for field in fields(Costs)))  # type: ignore[arg-type]


@click.command()
@click.option("--out", type=click.Path())
@click.option("--seconds", default=8, show_default=True, help="Simulated seconds at each size.")
@click.option(
    "--turns", default=3, show_default=True, help="Number of runs of each measurement; medians are shown."
)
def main(out: str | None, seconds: int, turns: int) -> None:
    """Measure each size with the module alone and with a subset, then print the table."""
    measurements = [(units, subset) for units in SIZES for subset in (False, True)]
    turn_costs = [
        {measurement: measure(*measurement, seconds) for measurement in measurements} for _ in range(turns)
    ]
    table = Table(f"The module at {REQUESTS_PER_S} requests a second, one of {RELAYS} relays")
    baseline: Costs | None = None
    for units in SIZES:
        for subset in (False, True):
            median_costs = _median_costs([turn[units, subset] for turn in turn_costs])
            baseline = baseline or median_costs
            table.add(
                units=units,
                module="behind the subset" if subset else "alone",
                units_used=median_costs.units_used,
                request_us=median_costs.request_us,
                request_ratio=median_costs.request_us / baseline.request_us,
                tick_percent_of_a_core=100 * median_costs.tick_ms * MS / HOUSEKEEPING_PERIOD,
                tick_ratio=median_costs.tick_ms / baseline.tick_ms,
                change_ms=median_costs.change_ms,
                change_ratio=median_costs.change_ms / baseline.change_ms,
                member_change_ratio=median_costs.member_change_ms / baseline.member_change_ms,
                first_list_ms=median_costs.first_list_ms,
                list_again_ms=median_costs.repeated_list_ms,
                memory_mb=median_costs.memory_mb,
            )
    click.echo(table.text())
    if out:
        Path(out).write_text(table.text())


if __name__ == "__main__":
    main()
