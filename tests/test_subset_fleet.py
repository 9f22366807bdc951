"""Many relays with subsets together: load of cold units, exposure of a trial build, even load."""

from collections import Counter
from heapq import heappop, heappush
from itertools import count
from random import Random

import pytest

from loftroute.decision import interface as i
from loftroute.decision.policy import COLD_BUDGET_SHARE, Balancer
from loftroute.lab.setup import MS, SECOND, setup
from loftroute.module_settings import read_settings
from loftroute.subset.plan import Limits
from loftroute.subset.pool import Pool
from tests.subset_fleet import entry, full_list

RELAYS, UNITS, PER_S, TAKES, CAP = 40, 300, 80, 40 * MS, 0.2
# Each unit is used by 6 of 40 relays; a relay has 45 members.
LIMITS = Limits(max_full_list_units=30, target_size=40, min_coverage=6)
TRIAL = 2


class Simulation:
    """Relays with their modules, and units that answer each attempt after a fixed time."""

    def __init__(self, entries: list[i.ServerEntry], news: i.ReleaseNews | None = None) -> None:
        self.random, self.now, self.numbers = Random(11), 10 * SECOND, count()
        self.due: list = []  # events as (time, order, relay, handler)
        self.sent: list[tuple[int, int]] = []  # time, unit
        self.modules: list[Balancer] = []
        self.pools: list[Pool] = []
        for index in range(RELAYS):
            settings = read_settings(setup(instances=RELAYS, self_index=index))
            self.modules.append(Balancer(settings, index))
            self.pools.append(Pool(index, RELAYS, 60, LIMITS))
            self._handle(index, i.Started())
            self._schedule(self.random.randrange(SECOND // PER_S), index, self._arrive)
        self.handle_list(full_list(entries))
        if news:
            for index in range(RELAYS):
                self._handle(index, news)

    def handle_list(self, event: i.ServerList) -> None:
        """Hand a list to all relays."""
        for index, pool in enumerate(self.pools):
            for action in pool.handle(self.now, event):
                if isinstance(action, i.ServerList):
                    self._handle(index, action)

    def run(self, seconds: float) -> None:
        """Simulate some seconds."""
        until = self.now + int(seconds * SECOND)
        while self.due[0][0] <= until:
            self.now, _, index, handler = heappop(self.due)
            handler(index)
        self.now = until

    def _schedule(self, after: int, index: int, handler) -> None:
        heappush(self.due, (self.now + after, next(self.numbers), index, handler))

    def _arrive(self, index: int) -> None:
        self._schedule(int(self.random.expovariate(PER_S) * SECOND), index, self._arrive)
        event = i.RequestArrived(f"{next(self.numbers):x}", None, 99, 0, TAKES, 3 * SECOND, False, False)
        self._handle(index, event)

    def _handle(self, index: int, event: i.Event) -> None:
        for action in self.modules[index].handle(self.now, event):
            if isinstance(action, i.SetTimer):
                fired = i.TimerFired(action.token)
                self._schedule(
                    action.at - self.now, index, lambda index, fired=fired: self._handle(index, fired)
                )
            elif isinstance(action, i.Send):
                self.sent.append((self.now, action.server))
                ended = i.AttemptEnded(action.request, 0, action.server, i.Outcome.OK, TAKES, True, None)
                self._schedule(TAKES, index, lambda index, ended=ended: self._handle(index, ended))

    def budgets(self) -> Counter[int]:
        """Return the work per second that all relays together estimate as usual, for each unit."""
        sums: Counter[int] = Counter()
        for module, pool in zip(self.modules, self.pools, strict=True):
            for unit in pool.members:
                sums[unit] += module.throughput
        return sums


@pytest.fixture(scope="module")
def small_trial():
    """Four seconds of traffic on a fleet with three units of a trial build."""
    entries = [entry(n, TRIAL if n < 3 else 1) for n in range(UNITS)]
    simulation = Simulation(entries, i.ReleaseNews(0, 0, 0, i.Outcome.OK, CAP, TRIAL, False))
    simulation.run(4)
    return simulation


def per_second(simulation: Simulation, begun: int, seconds: float) -> Counter[int]:
    counted = Counter(unit for when, unit in simulation.sent if when >= begun)
    return Counter({unit: number / seconds for unit, number in counted.items()})


def test_the_estimates_of_all_relays_sum_up_to_the_work_of_a_warm_unit(small_trial):
    """Rule 4 multiplies the estimate by COLD_BUDGET_SHARE; the product must not exceed the real work."""
    real = RELAYS * PER_S * TAKES / SECOND / UNITS
    sums = small_trial.budgets()
    assert len(sums) == UNITS
    assert max(sums.values()) * COLD_BUDGET_SHARE <= real
    assert min(sums.values()) >= 0.5 * real


def test_units_get_even_load_and_those_of_a_small_build_no_more_than_others(small_trial):
    mean = RELAYS * PER_S / UNITS
    load = per_second(small_trial, 12 * SECOND, 2.0)
    assert max(load[unit] for unit in range(3)) <= 1.5 * mean
    assert max(load.values()) <= 2.2 * mean and min(load[unit] for unit in range(3, UNITS)) >= 0.2 * mean


def test_the_exposure_of_a_build_over_the_fleet_stays_within_the_cap(small_trial):
    """Each relay has a token bucket: the sum is at most the cap's share of requests plus each burst."""
    trial_requests = sum(unit < 3 for _, unit in small_trial.sent)
    assert 0 < trial_requests <= CAP * len(small_trial.sent) + RELAYS * 2.0


def test_with_half_of_the_fleet_on_trial_the_cap_is_reached_and_kept():
    entries = [entry(n, TRIAL if n % 2 else 1) for n in range(UNITS)]
    simulation = Simulation(entries, i.ReleaseNews(0, 0, 0, i.Outcome.OK, 0.1, TRIAL, False))
    simulation.run(2)
    trial_requests = sum(unit % 2 for _, unit in simulation.sent)
    assert 0.05 * len(simulation.sent) < trial_requests <= 0.1 * len(simulation.sent) + RELAYS * 2.0


def test_all_relays_together_send_cold_units_no_more_than_rule_4_allows():
    """Two thirds of the fleet drain while a hundred cold units start, so that there is work for them."""
    simulation = Simulation([entry(n) for n in range(UNITS)])
    simulation.run(3)
    begun, cold, warm = simulation.now, range(UNITS, UNITS + 100), range(200, UNITS)
    drained = (entry(n, state=i.ServerState.DRAINING) for n in range(200))
    simulation.handle_list(
        i.ServerList(i.ListKind.DELTA, 2, (*drained, *(entry(n, started=begun) for n in cold)))
    )
    simulation.run(1)
    load, settings = per_second(simulation, begun, 1.0), simulation.modules[0].settings
    mean = sum(load[unit] for unit in warm) / len(warm)
    assert 0 < max(load[unit] for unit in cold) <= settings.overload_multiple * settings.start_capacity * mean
    assert sum(load[unit] for unit in cold) > 100
    assert not any(load[unit] for unit in range(200))  # no relay sends to draining units
