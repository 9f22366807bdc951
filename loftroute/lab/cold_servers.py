"""What all relays together send to servers that have just started, beside what such a server bears.

    python -m loftroute.lab.cold_servers [--instances N --load L --seed S --scenario NAME]

A server is cold for the `cold` time of the settings from its start. It falls over once it has received,
within the `fall` time, more than N + 2 sqrt(N) + 2 requests of mean work. N is what the settings allow then:
fall_multiple x warmth x its capacity in work a second x fall / mean work, where the warmth rises evenly from
cold_share to 1 over the cold time. N is taken at the end of each window, since the rule looks back at each
arrival upon the time before it. A server that would have fallen goes on here, so that the excess is measured.
An attempt that it refuses was received, one whose connection does not come up was not.

All times are whole nanoseconds of simulated time; work is nanoseconds of a core of speed 1. The relays are
real instances of the decision module, the servers and the lists a model (loftroute/lab/fleet.py).
"""

from bisect import bisect_left, bisect_right
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, replace
from itertools import accumulate
from math import sqrt
from typing import Any

import click

from loftroute.decision import interface as i
from loftroute.lab.fleet import LATE_NEWS, Fleet, Unit
from loftroute.lab.setup import MS, SECOND, SETUP
from loftroute.lab.tables import Table

INSTANCES = (3, 12, 40, 120, 230)
LOADS = (0.3, 0.6, 0.9)

MEAN_WORK = 200 * MS
CORES = 4
AIM, DEADLINE = 1200 * MS, 2 * SECOND
LEAST_UNITS, INSTANCES_A_UNIT = 9, 2
HINT_NOISE = 0.4  # sigma of the lognormal factor between a request's hint and its work
BUSY_EACH, BUSY_FACTOR = 8, 4.0  # every so many relays, one gets so many times the traffic of the others

WARM_UP = 2500 * MS  # relays know by then what the warm servers finish
AFTER = 3 * SECOND  # played on after the last cold server was listed
ANSWERS_LATE = 200 * MS  # what is still open so long after its deadline counts as open for good
LISTED_AFTER = LATE_NEWS[1]  # the last relay has the list so long after it was told
USED_OVER = 2 * SECOND
RESTART_TAKES = 1500 * MS  # between a server's stop and its next start

FIRST_LISTED = 3  # servers of the earlier build that are back before the others
FIRST_AHEAD = 360 * MS
SUCCESSORS_STAY = SECOND  # the build taken back is still listed for so long
WEIGHTS = (0.5, 1.0, 1.0, 2.0)
ROUGHNESS = (0.8, 1.25)  # listed weight over true weight, where weights are rough


@dataclass(frozen=True, slots=True)
class Span:
    """A time of the play, both ends in nanoseconds."""

    begin: int
    end: int


@dataclass(frozen=True, slots=True)
class ServerLoad:
    """The fullest window of one cold server, in requests of mean work."""

    server: int
    received: float
    bound: float

    @property
    def ratio(self) -> float:
        """Above 1.0 the server falls over."""
        return self.received / self.bound


@dataclass(frozen=True, slots=True)
class Usage:
    """What was sent and offered over a span, as shares of what some cold servers may have in it."""

    sent: float
    offered: float


@dataclass(frozen=True, slots=True)
class Result:
    """One play. Shares of requests are of those that came after the event and before the traffic's end."""

    scenario: str
    instances: int
    load: float
    seed: int
    servers: tuple[ServerLoad, ...]  # each cold server
    usage: Usage  # of all cold servers, over the two seconds from when all relays know them
    first: (
        Usage | None
    )  # of the first servers, while relays know no others; None where there are no first ones
    served: float
    refused: float
    failed: float
    open: float  # without an answer when all deadlines have passed
    unsettled: int  # requests of the whole play that have no final answer, or several

    @property
    def worst(self) -> ServerLoad:
        return max(self.servers, key=lambda server: server.ratio)


class ArrivalLog:
    """Every attempt that reaches a cold server, by server and start."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet, self._cold = fleet, fleet.settings.cold_duration
        self._arrivals: defaultdict[tuple[int, int], list[tuple[int, int]]] = defaultdict(list)
        fleet.on_arrival = self._arrived

    def _arrived(self, unit: Unit, work: int) -> None:
        started, now = unit.entry.started, self._fleet.now
        if started and now < started + self._cold:
            self._arrivals[unit.entry.server, started].append((now, work))

    def of(self, unit: Unit) -> list[tuple[int, int]]:
        """Time and work of each attempt since the unit's last start, while it was cold."""
        return self._arrivals[unit.entry.server, unit.entry.started]

    def received(self, unit: Unit, span: Span) -> int:
        """Work that reached a unit within a span."""
        return sum(work for when, work in self.of(unit) if span.begin <= when < span.end)


def capacity(unit: Unit) -> float:
    """Work that a unit does in a unit of time once it is warm."""
    return unit.cores * unit.speed


def warmth(settings: i.Settings, started: int, now: int) -> float:
    """The share of its capacity that a server is taken to have."""
    age = min(max((now - started) / max(settings.cold_duration, 1), 0.0), 1.0)
    return settings.start_capacity + (1.0 - settings.start_capacity) * age


def allowed(settings: i.Settings, unit: Unit, now: int, mean_work: int) -> float:
    """N: requests of mean work that a server may have within the fall time that ends now."""
    share = settings.overload_multiple * warmth(settings, unit.entry.started, now)
    return share * capacity(unit) * settings.overload_window / mean_work


def bound(requests: float) -> float:
    """Requests beyond which a server falls over that may have so many."""
    return requests + 2.0 * sqrt(requests) + 2.0


def fullest_window(
    settings: i.Settings, unit: Unit, arrivals: list[tuple[int, int]], mean_work: int
) -> ServerLoad:
    """The window of the fall time, both ends counted, with the highest ratio to its bound.

    Only windows that end with an arrival are looked at: between two the bound rises and nothing comes.
    """
    times = [when for when, _ in arrivals]
    sums = [0, *accumulate(work for _, work in arrivals)]
    server = unit.entry.server
    worst = ServerLoad(server, 0.0, bound(allowed(settings, unit, unit.entry.started, mean_work)))
    for now in times:
        first, last = bisect_left(times, now - settings.overload_window), bisect_right(times, now)
        received = (sums[last] - sums[first]) / mean_work
        load = ServerLoad(server, received, bound(allowed(settings, unit, now, mean_work)))
        worst = max(worst, load, key=lambda found: found.ratio)
    return worst


def allowed_work(settings: i.Settings, unit: Unit, span: Span) -> float:
    """Work that a server may have over a span, of which only its cold time counts."""
    begin = max(span.begin, unit.entry.started)
    end = min(span.end, unit.entry.started + settings.cold_duration)
    if begin >= end:
        return 0.0
    middle = warmth(settings, unit.entry.started, (begin + end) // 2)  # it rises evenly
    return settings.overload_multiple * middle * capacity(unit) * (end - begin)


# ---- the plays


class Play:
    """A fleet in steady traffic until the event, what happens then, and what is measured after it."""

    def __init__(
        self,
        instances: int,
        load: float,
        seed: int,
        weights: tuple[float, ...] = (1.0,),
        units: int = 0,
        **changes: Any,
    ) -> None:
        units = units or max(LEAST_UNITS, instances // INSTANCES_A_UNIT)
        speeds = [weights[n % len(weights)] for n in range(units)]
        self.rate = load * CORES * sum(speeds) * SECOND / MEAN_WORK  # requests a second
        services = [{**service, "aim": AIM, "hard_limit": DEADLINE} for service in SETUP["services"]]
        self.fleet = Fleet(
            instances, units, seed, self.rate, MEAN_WORK, HINT_NOISE, build=2, services=services, **changes
        )
        self.fleet.weights = [1.0 if n % BUSY_EACH else BUSY_FACTOR for n in range(instances)]
        for unit, speed in zip(self.fleet.units.values(), speeds, strict=True):
            unit.speed = speed
        self.instances, self.load, self.seed = instances, load, seed
        self.log, self.before = ArrivalLog(self.fleet), 0

    def warm_up(self) -> None:
        """Steady traffic up to the event."""
        self.fleet.run(WARM_UP)
        self.before = len(self.fleet.finals)

    def usage(self, servers: Iterable[Unit], span: Span, demanding: int) -> Usage:
        """What servers were sent over a span, and what came for them, where all traffic of so long did."""
        settings, units = self.fleet.settings, list(servers)
        may_have = sum(allowed_work(settings, unit, span) for unit in units)
        sent = sum(self.log.received(unit, span) for unit in units)
        offered = self.rate * MEAN_WORK / SECOND * demanding
        return Usage(sent / may_have, offered / may_have)

    def finish(self, scenario: str, known_after: int = LISTED_AFTER, first: Usage | None = None) -> Result:
        """The last cold servers have just been told of, and all relays know them after so long: play on, end
        the traffic, and sum up."""
        listed = self.fleet.now + known_after
        self.fleet.run(AFTER)
        self.fleet.stop_traffic()
        self.fleet.run(DEADLINE + ANSWERS_LATE)
        return self._result(scenario, Span(listed, listed + USED_OVER), first)

    def _result(self, scenario: str, span: Span, first: Usage | None) -> Result:
        settings, log = self.fleet.settings, self.log
        cold = [unit for unit in self.fleet.units.values() if unit.entry.started]
        ended = list(self.fleet.finals.values())
        after = ended[self.before :]
        ways = Counter(answers[0] if answers else "open" for answers in after)
        return Result(
            scenario=scenario,
            instances=self.instances,
            load=self.load,
            seed=self.seed,
            servers=tuple(fullest_window(settings, unit, log.of(unit), MEAN_WORK) for unit in cold),
            usage=self.usage(cold, span, span.end - span.begin),
            first=first,
            served=ways["served"] / len(after),
            refused=ways["refused"] / len(after),
            failed=ways["failed"] / len(after),
            open=ways["open"] / len(after),
            unsettled=sum(len(answers) != 1 for answers in ended),
        )


def taken_back(instances: int, load: float, seed: int, units: int = 0) -> Result:
    """A released build is taken back: a few earlier servers are listed, then the others; then it leaves."""
    play = Play(instances, load, seed, units=units)
    fleet = play.fleet
    play.warm_up()
    successors = list(fleet.units.values())
    fleet.platform.change(fleet.now, i.Phase.GOING_BACK, 0)
    fleet.tell_news()
    told = fleet.now
    fleet.add(1, FIRST_LISTED)
    first = list(fleet.units.values())[-FIRST_LISTED:]
    fleet.run(FIRST_AHEAD)
    fleet.add(1, len(successors) - FIRST_LISTED)
    fleet.run(SUCCESSORS_STAY - FIRST_AHEAD)
    fleet.drain(successors)
    # A relay knows no others for FIRST_AHEAD on average, somewhere within this span.
    alone = Span(told + LATE_NEWS[0], told + FIRST_AHEAD + LATE_NEWS[1])
    return play.finish("taken back", first=play.usage(first, alone, FIRST_AHEAD))


def zone_back(instances: int, load: float, seed: int) -> Result:
    """One of two zones stops whole, and all its servers start again at once."""
    play = Play(instances, load, seed)
    play.warm_up()
    _restart(play.fleet, [unit for unit in play.fleet.units.values() if unit.entry.zone == 0])
    return play.finish("zone back")


def all_restarted(instances: int, load: float, seed: int, units: int = 0) -> Result:
    """All relays and all servers start at once: nobody has seen a warm server finish anything."""
    play = Play(instances, load, seed, units=units)
    fleet = play.fleet
    play.warm_up()
    for unit in fleet.units.values():
        unit.free, unit.entry = [], replace(unit.entry, started=fleet.now)
    for n in range(instances):
        fleet.start(n, again=True)
    return play.finish("all restarted", known_after=0)


def one_cold(instances: int, load: float, seed: int) -> Result:
    """One server starts again among warm ones."""
    play = Play(instances, load, seed)
    play.warm_up()
    _restart(play.fleet, [play.fleet.units[1]])
    return play.finish("one cold")


def unequal_servers(instances: int, load: float, seed: int) -> Result:
    """Servers of several sizes, told exactly; a third of them start again at once."""
    return _unequal("unequal servers", instances, load, seed, (1.0,))


def rough_weights(instances: int, load: float, seed: int) -> Result:
    """Servers of several sizes, told a fifth too low or a quarter too high; a third start again at once."""
    return _unequal("rough weights", instances, load, seed, ROUGHNESS)


def refusing(instances: int, load: float, seed: int) -> Result:
    """A third of the servers start again at once, and one of these says to every attempt that it is full."""
    play = Play(instances, load, seed)
    play.warm_up()
    units = list(play.fleet.units.values())
    cold = units[: len(units) // 3]
    cold[0].refuses = True
    _restart(play.fleet, cold)
    return play.finish("refusing")


def _unequal(scenario: str, instances: int, load: float, seed: int, roughness: tuple[float, ...]) -> Result:
    play = Play(instances, load, seed, WEIGHTS)
    fleet = play.fleet
    fleet.tell_weights({n: unit.speed * roughness[n % len(roughness)] for n, unit in fleet.units.items()})
    play.warm_up()
    _restart(fleet, list(fleet.units.values())[::3])
    return play.finish(scenario)


def _restart(fleet: Fleet, units: list[Unit]) -> None:
    fleet.take_away(units)
    fleet.run(RESTART_TAKES)
    fleet.bring_back(units)


Scenario = Callable[[int, float, int], Result]

SCENARIOS: dict[str, Scenario] = {
    "taken-back": taken_back,
    "all-restarted": all_restarted,
    "one-cold": one_cold,
    "zone-back": zone_back,
    "unequal-servers": unequal_servers,
    "rough-weights": rough_weights,
    "refusing": refusing,
}
SATURATED = ("taken-back", "all-restarted")  # cold servers alone are to bear the whole traffic


# ---- the command


def _results(
    names: tuple[str, ...], sizes: tuple[int, ...], loads: tuple[float, ...], seed: int
) -> Iterator[Result]:
    for name in names:
        for instances in sizes:
            for load in loads:
                yield SCENARIOS[name](instances, load, seed)


@click.command()
@click.option("--instances", type=click.IntRange(1), multiple=True, default=INSTANCES, show_default=True)
@click.option(
    "--load", type=click.FloatRange(0.0, min_open=True), multiple=True, default=LOADS, show_default=True
)
@click.option("--seed", default=1, show_default=True)
@click.option("--scenario", type=click.Choice(list(SCENARIOS)), multiple=True, default=tuple(SCENARIOS))
def main(instances: tuple[int, ...], load: tuple[float, ...], seed: int, scenario: tuple[str, ...]) -> None:
    """Play scenarios; options may be given several times."""
    table = Table("Cold servers: the fullest window beside its bound, and how far they are used")
    for found in _results(scenario, instances, load, seed):
        table.add(
            scenario=found.scenario,
            instances=found.instances,
            load=found.load,
            worst_ratio=found.worst.ratio,
            received=found.worst.received,
            bound=found.worst.bound,
            used=found.usage.sent,
            offered=found.usage.offered,
            first_used=found.first.sent if found.first else "",
            first_offered=found.first.offered if found.first else "",
            served=found.served,
            refused=found.refused,
            failed=found.failed,
            open=found.open,
            unsettled=found.unsettled,
        )
    click.echo(table.text())


if __name__ == "__main__":
    main()
