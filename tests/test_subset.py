"""The subset of a large list: the guarantees and figures of docs/design/subset.md, without I/O."""

import json
import random
from collections import Counter
from dataclasses import replace

import pytest

from loftroute.decision import interface as i
from loftroute.decision.policy import Balancer
from loftroute.digest import digest_64
from loftroute.lab.setup import MS, SECOND, setup
from loftroute.module_settings import read_settings
from loftroute.subset import assignment
from loftroute.subset.assignment import Assignment
from loftroute.subset.blocks import Block
from loftroute.subset.dealing import even_shares
from loftroute.subset.hashing import jump_hash
from loftroute.subset.plan import Limits, coverage_for, relay_plan
from loftroute.subset.pool import Pool
from loftroute.subset.registry import ListTooLongError
from tests.subset_fleet import DRAINING, GONE, READY, Fleet, ModuleView, delta, entry, full_list

INSTANCES, UNITS, CONNECTIONS = 520, 5000, 446  # the planned size, with 1,024 descriptors for a relay
SMALL = Limits(max_full_list_units=30, target_size=12, min_coverage=3)


def blocks(entries, instances: int = INSTANCES, coverage: int = 7) -> list[Block]:
    """Return all blocks of the fleet; each assigns the units to all of its relays."""
    all_blocks = []
    for number in range(coverage):
        block = Block(relay_plan(number, instances, coverage), Limits())
        block.update([(listed, digest_64(str(listed.server))) for listed in entries], ())
        all_blocks.append(block)
    return all_blocks


def relays_by_unit(block: Block) -> dict[int, int]:
    """Return the relay that each unit is assigned to."""
    return {unit.number: relay for relay in range(block.plan.relays) for unit in block.units(relay)}


def small_fleet(units: int = 200, instances: int = 40, build=lambda n: 1) -> Fleet:
    """Return a fleet with small subsets, by default of 40 relays and 200 units."""
    fleet = Fleet(range(instances), instances, 40, SMALL)
    fleet.handle(full_list(entry(n, build(n)) for n in range(units)))
    return fleet


# ---- coverage


def test_at_the_planned_size_each_unit_is_used_by_seven_relays_and_these_share_it_evenly():
    entries = [entry(n) for n in range(UNITS)]
    sizes: list[int] = []
    load = Counter()
    for block in blocks(entries):
        placed = relays_by_unit(block)
        assert len(placed) == UNITS  # each unit is at one relay of each block
        size = Counter(placed.values())
        sizes += size.values()
        for unit, relay in placed.items():
            load[unit] += 1 / size[relay]
    mean = sum(load.values()) / UNITS
    assert len(sizes) == INSTANCES and sum(sizes) == 7 * UNITS
    assert min(sizes) >= 54 and max(sizes) <= 75
    assert max(load.values()) < 1.08 * mean
    assert min(load.values()) > 0.92 * mean


def test_relays_with_different_unit_numbers_choose_the_same_units():
    names = [f"unit-{n}" for n in range(300)]
    cover: Counter[str] = Counter()
    for index in range(40):
        order = random.Random(index).sample(range(300), 300)
        entries = [entry(at, zone=n % 6, machine_type=n % 2) for at, n in enumerate(order)]
        pool, view = Pool(index, 40, 40, SMALL), ModuleView()
        view.apply(pool.handle(0, full_list(entries), {at: names[n] for at, n in enumerate(order)}))
        cover.update(names[order[unit]] for unit in view.ready)
    assert set(cover.values()) == {3} and len(cover) == 300


@pytest.mark.parametrize("instances", [2, 3, 40, 41, 520])
@pytest.mark.parametrize("units", [400, 1500, 5000])
def test_the_size_follows_relays_units_and_descriptors(instances, units):
    limits = Limits()
    coverage = coverage_for(instances, units, CONNECTIONS, limits)
    size = coverage * units / instances
    assert 1 <= coverage <= instances
    assert size <= CONNECTIONS or coverage == 1  # no unit is without a relay
    if coverage not in (1, instances):
        assert size >= limits.target_size or (coverage + 1) * units / instances > CONNECTIONS


# ---- stability


def moves(before: list[dict[int, int]], after: list[dict[int, int]]) -> int:
    """Return how many units that are in both assignments have another relay in the second."""
    pairs = zip(before, after, strict=True)
    return sum(a[unit] != b[unit] for a, b in pairs for unit in a.keys() & b.keys())


def test_a_unit_that_goes_moves_few_other_members_of_the_fleet():
    """Sixty units of a stratum of 417 go, so that its even share changes in blocks of both sizes."""
    entries = [entry(n) for n in range(UNITS)]
    fleet = blocks(entries)
    moved = []
    for unit in [listed.server for listed in entries if (listed.zone, listed.machine_type) == (0, 0)][:60]:
        before = [relays_by_unit(block) for block in fleet]
        for block in fleet:
            block.update((), [unit])
        moved.append(moves(before, [relays_by_unit(block) for block in fleet]))
    # The 520 relays have 35,000 members; the unit that goes is 7 of them.
    assert sum(moved) / len(moved) < 40
    assert max(moved) < 700


def test_an_added_relay_moves_few_members_beyond_its_own():
    entries = [entry(n) for n in range(UNITS)]
    before = [relays_by_unit(block) for block in blocks(entries)]
    after = [relays_by_unit(block) for block in blocks(entries, INSTANCES + 1)]
    changed = [moves([a], [b]) for a, b in zip(before, after, strict=True)]
    assert sum(count > 0 for count in changed) == 1  # one block of seven
    assert max(changed) < 6 * 68


def test_a_plan_is_kept_while_the_units_change_by_a_fifth():
    """A new plan would move nearly all members."""
    limits = replace(SMALL, target_size=24)  # wants a coverage of 4 at 300 units, and of 3 from 320 on
    assert [coverage_for(40, units, 60, limits) for units in (240, 300, 360)] == [4, 4, 3]
    fleet = Fleet(range(0, 40, 4), 40, 60, limits)
    fleet.handle(full_list(entry(n) for n in range(300)))
    before = fleet.members()
    for units in (*range(300, 240, -5), *range(240, 360, 5), 300):
        fleet.handle(full_list(entry(n) for n in range(units)))
    assert fleet.members() == before
    assert all(pool.counters.planned == 0 for pool in fleet.pools.values())
    fleet.handle(full_list(entry(n) for n in range(900)))
    assert all(pool.counters.planned == 1 for pool in fleet.pools.values())


@pytest.mark.parametrize("seed", range(8))
def test_the_subset_follows_from_the_list_alone_whatever_came_before(seed):
    rng = random.Random(seed)
    entries = {n: entry(n, rng.choice((1, 1, 1, 2))) for n in range(rng.choice((150, 700)))}
    grown, fresh = Block(relay_plan(1, 50, 3), Limits()), Block(relay_plan(1, 50, 3), Limits())
    grown.update([(listed, digest_64(str(listed.server))) for listed in entries.values()], ())
    for _ in range(200):
        unit = rng.randrange(900)
        if rng.random() < 0.5:
            entries.pop(unit, None)
            grown.update((), [unit])
        else:
            listed = entries[unit] = entry(unit, rng.choice((1, 2, 3)), zone=rng.randrange(4))
            grown.update([(listed, digest_64(str(unit)))], ())
    fresh.update([(listed, digest_64(str(listed.server))) for listed in entries.values()], ())
    assert relays_by_unit(grown) == relays_by_unit(fresh) and len(relays_by_unit(grown)) == len(entries)


def test_an_assignment_gives_each_unit_its_first_relay_that_has_room_by_priority():
    keys = {unit: digest_64(f"u{unit}") for unit in range(60)}
    moved: set[int] = set()
    assigned = Assignment(7, moved)
    assigned.update(even_shares(0, 60, 7), keys.items(), ())
    room = even_shares(0, 60, 7)
    for unit in sorted(keys, key=keys.__getitem__, reverse=True):
        tries = (jump_hash(assignment.mix(keys[unit] + attempt), 7) for attempt in range(28))
        relay = next(relay for relay in tries if room[relay])
        room[relay] -= 1
        assert assigned.placements[unit].relay == relay
    assert moved == set(keys)


@pytest.mark.parametrize("units", [1000, 10_000])
def test_a_change_costs_no_more_where_the_list_is_longer(units, monkeypatch):
    block = blocks([entry(n) for n in range(units)], coverage=1, instances=50)[0]
    calls = []
    monkeypatch.setattr(
        assignment, "jump_hash", lambda key, relays: calls.append(1) or jump_hash(key, relays)
    )
    for unit in range(0, 300, 3):
        block.update((), [unit])
        block.update([(entry(unit), digest_64(str(unit)))], ())
    assert len(calls) / 200 < 60


# ---- representation


def test_each_relay_has_its_even_share_of_a_small_build_and_of_each_stratum_of_a_large_one():
    """There are a trial build of 100 units, a baseline build of 4,900, and a zone of 240 units."""
    entries = [entry(n, 2 if n % 50 == 0 else 1, zone=7 if n < 240 else n % 6) for n in range(UNITS)]
    for block in blocks(entries):
        on_trial, strata = Counter(), Counter()
        for relay in range(block.plan.relays):
            units = list(block.units(relay))
            on_trial[relay] = sum(unit.build == 2 for unit in units)
            strata.update((unit.stratum, relay) for unit in units if unit.build == 1)
        assert set(on_trial.values()) == {1, 2}
        sizes = Counter(listed.zone * 2 + listed.machine_type for listed in entries if listed.build == 1)
        for (stratum, _), count in strata.items():
            even = sizes[stratum[0] * 2 + stratum[1]] / block.plan.relays
            assert count <= even + 1


def test_a_build_or_zone_with_enough_units_has_a_member_at_each_relay():
    """With many strata, some relay is assigned no unit of a zone; it borrows one from the next relay."""
    for units in (252, 258, 264, 270, 300):  # 42 to 50 a zone, for 13 or 14 relays of a block
        fleet = small_fleet(units, build=lambda n: 1 + n % 3)
        for view in fleet.views.values():
            members = [view.entries[unit] for unit in view.ready]
            assert {member.zone for member in members} == set(range(6))
            assert {member.build for member in members} == {1, 2, 3}
        cover = fleet.coverage()
        assert min(cover.values()) == 3 and sum(cover.values()) <= 1.1 * 3 * units


def test_a_build_of_a_few_units_is_known_to_all_and_used_by_its_part_of_the_relays():
    fleet = small_fleet(build=lambda n: 2 if n < 3 else 1)
    used, observed = 0, 0
    for view in fleet.views.values():
        states = [listed.state for listed in view.entries.values() if listed.build == 2]
        assert states  # the module knows the build and can vote on it
        used += READY in states
        observed += states == [DRAINING]
    assert used == 9 and observed == 31
    assert {fleet.coverage()[unit] for unit in range(3)} == {3}


# ---- drains, and what leaves the subset


def test_drains_and_removals_are_reported_at_once_for_members_only():
    fleet = small_fleet()
    member = min(fleet.views[0].ready)
    other = min(set(range(200)) - fleet.views[0].ready)
    for unit, state in ((member, DRAINING), (other, DRAINING), (member, GONE), (other, GONE)):
        fleet.handle(delta(entry(unit, state=state)))
        listed = fleet.views[0].entries
        assert unit not in fleet.views[0].ready
        assert (unit in listed) == (unit == member and state is DRAINING)
    assert fleet.coverage().keys() == set(range(200)) - {member, other}
    assert set(fleet.coverage().values()) <= {3, 4}  # 4 if a relay with few units uses those of the next one


def test_a_member_that_leaves_is_reported_as_gone_with_its_own_build_and_start():
    fleet = small_fleet()
    pool, view = fleet.pools[5], fleet.views[5]
    before = dict(view.entries)
    for unit in sorted(set(range(200)) - view.ready)[:20]:
        for action in view.apply(pool.handle(0, delta(entry(unit, state=GONE)))):
            for reported in action.entries:
                if reported.state is GONE and reported.server != unit:
                    assert replace(reported, state=READY) == before[reported.server]
    gone = before.keys() - view.entries.keys()
    assert view.ready == pool.members and pool.counters.left >= len(gone)


# ---- recovery


@pytest.mark.parametrize("state", [DRAINING, GONE])
def test_when_all_members_drain_or_go_others_take_their_place_in_the_same_event(state):
    fleet = small_fleet()
    view = fleet.views[3]
    lost = set(view.ready)
    fleet.handle(delta(*(entry(unit, state=state) for unit in lost)))
    assert len(view.ready) >= 0.5 * 3 * (200 - len(lost)) / 40 and not view.ready & lost
    assert min(fleet.coverage().values()) == 3 and len(fleet.coverage()) == 200 - len(lost)


def test_when_no_member_answers_the_subset_is_widened_at_once_and_narrowed_once_they_do():
    limits = replace(SMALL, max_full_list_units=60)
    fleet = Fleet([3], 40, 40, limits)
    fleet.handle(full_list(entry(n) for n in range(200)))
    pool, view = fleet.pools[3], fleet.views[3]
    first = set(view.ready)
    silent = sorted(first)
    for n in range(limits.subset_failure_threshold):
        view.apply(pool.attempt_ended(SECOND, silent[n % len(silent)], i.Outcome.TIMEOUT))
    assert pool.counters.widened == 1 and first < view.ready and len(view.ready) >= 24
    assert any("widened" in line for line in view.lines)
    wide = set(view.ready)
    view.apply(pool.attempt_ended(SECOND + limits.narrow_interval_ns, max(wide - first), i.Outcome.OK))
    assert view.ready == wide or len(pool._health.failing) <= limits.narrow_failing_share * len(first)
    for unit in first:
        view.apply(pool.attempt_ended(2 * SECOND + limits.narrow_interval_ns, unit, i.Outcome.OK))
    for unit in first:
        view.apply(pool.attempt_ended(3 * SECOND + 2 * limits.narrow_interval_ns, unit, i.Outcome.OK))
    assert view.ready == first and pool.counters.narrowed == 1


def test_half_of_the_members_failing_widens_though_others_answer():
    fleet = small_fleet()
    pool, view = fleet.pools[3], fleet.views[3]
    members = sorted(view.ready)
    for _ in range(3):
        for at, unit in enumerate(members):
            outcome = i.Outcome.RESET if at % 2 == 0 else i.Outcome.OK
            view.apply(pool.attempt_ended(SECOND, unit, outcome))
    assert pool.counters.widened == 1


def test_a_subset_is_not_widened_beyond_the_longest_full_list():
    fleet = small_fleet()
    pool, view = fleet.pools[3], fleet.views[3]
    for n in range(4000):
        unit = sorted(view.ready)[n % len(view.ready)]
        view.apply(pool.attempt_ended(SECOND + n, unit, i.Outcome.CONNECT_FAILED))
    assert len(view.ready) <= 40 and pool.counters.widened <= 2


def test_outcomes_of_a_reachable_unit_do_not_widen_the_subset():
    """Errors and refusals are answers: requests that all fail must not widen the subset of every relay."""
    fleet = small_fleet()
    pool, view = fleet.pools[3], fleet.views[3]
    for outcome in (i.Outcome.CANCELLED, i.Outcome.MOOT, i.Outcome.FULL, i.Outcome.ERROR):
        for unit in sorted(view.ready) * 4:
            assert pool.attempt_ended(SECOND, unit, outcome) == []
    assert pool.attempt_ended(SECOND, 10**6, i.Outcome.TIMEOUT) == []


# ---- where the list is small


def site(name: str) -> dict:
    """Return settings of one of three kinds of deployments, with different discovery, aborts and weights."""
    shapes = {
        "asked": {"discovery": "ask", "family_info__decided_by": "first_voice"},
        "share": {"family_info__to_abort": 3, "instances": 17, "family_info__cap_scope": "each_class"},
        "rough": {"weights": "rough", "instances": 12, "family_info__replace_mode": "replace"},
    }
    return setup(**shapes[name], parties=[{"name": "acme", "allowance_per_s": 40.0}])


def stream(rng: random.Random, settings: i.Settings, units: int):
    """Yield random events of every kind for one relay. `sends` holds the attempts that are still open."""
    now, requests, sends = 10 * SECOND, 0, []

    def listed():
        kind = rng.choice(list(i.ListKind))
        states = [READY] * 6 + [DRAINING, GONE]
        count = units if kind is i.ListKind.FULL else rng.randrange(8)
        chosen = rng.sample(range(1, units + 1), count)
        weight = rng.choice((1.0, 2.5))
        entries = (entry(n, rng.choice((1, 1, 2)), rng.choice(states), weight=weight) for n in chosen)
        return i.ServerList(kind, now, () if kind is i.ListKind.FAILED else tuple(entries))

    yield now, i.Started(), sends
    yield now, full_list(entry(n) for n in range(1, units + 1)), sends
    for _ in range(1500):
        now += rng.randrange(20 * MS)
        draw = rng.random()
        if sends and draw < 0.4:
            request, number, server = sends.pop(rng.randrange(len(sends)))
            outcome = rng.choice([i.Outcome.OK] * 6 + list(i.Outcome))
            event = i.AttemptEnded(request, number, server, outcome, 40 * MS, outcome is i.Outcome.OK, None)
        elif draw < 0.75:
            requests += 1
            cls, key = rng.randrange(len(settings.classes)), f"k{rng.randrange(30)}"
            left = settings.classes[cls].deadline
            event = i.RequestArrived(
                f"{requests:016x}", key, 0, cls, 50 * MS, left, rng.random() < 0.1, cls > 0
            )
        else:
            server, request = rng.randrange(1, units + 1), f"{rng.randrange(1, requests + 2):016x}"
            news = i.ReleaseNews(
                rng.randrange(4), 0, rng.randrange(3), i.Outcome.OK, 0.2, 2, rng.random() < 0.5
            )
            event = rng.choice(
                [
                    listed(),
                    i.TimerFired(rng.randrange(1, 4)),
                    news,
                    i.ClientGone(request),
                    i.StreamStarted(request, 0, server, MS),
                    i.ProbeEnded(server, i.Outcome.OK, MS, None),
                    i.PeerMessage(1, b"x"),
                    i.Tally(2, 0, 1, 9, 0, MS),
                    i.AnswerDisputed(server, 0, MS),
                ]
            )
        yield now, event, sends


class ModuleWithPool:
    """A decision module with a pool between discovery and it."""

    def __init__(self, settings: i.Settings, seed: int, connection_limit: int) -> None:
        self.pool = Pool(settings.instance_index, settings.instances, connection_limit)
        self.balancer = Balancer(settings, seed)

    def handle(self, now: int, event: i.Event) -> list[i.Action]:
        actions: list[i.Action] = []
        if isinstance(event, i.AttemptEnded):
            for action in self.pool.attempt_ended(now, event.server, event.outcome):
                actions += self.balancer.handle(now, action)
        if not isinstance(event, i.ServerList):
            return actions + self.balancer.handle(now, event)
        for action in self.pool.handle(now, event):
            assert action is event  # passed on unchanged, as the same object
            actions += self.balancer.handle(now, action)
        return actions


@pytest.mark.parametrize("units", [12, 300])
@pytest.mark.parametrize("name", ["asked", "share", "rough"])
def test_with_a_short_list_the_module_does_the_same_as_without_a_pool(name, units):
    settings = read_settings(json.loads(json.dumps(site(name))))
    bare, with_pool = Balancer(settings, 7), ModuleWithPool(settings, 7, connection_limit=100)
    kinds, sent = set(), Counter()
    for now, event, sends in stream(random.Random(f"{name} {units}"), settings, units):
        kinds.add(type(event))
        actions = bare.handle(now, event)
        assert with_pool.handle(now, event) == actions
        for action in actions:
            if isinstance(action, i.Send):
                sends.append((action.request, sent[action.request], action.server))
                sent[action.request] += 1
    assert len(kinds) == 12 and sum(sent.values()) > 100
    assert not with_pool.pool.is_subset_active


def test_a_list_that_grows_becomes_a_subset_and_one_that_shrinks_is_full_again():
    pool, view = Pool(3, 40, 40, SMALL), ModuleView()
    for n in range(40):
        event = delta(entry(n))
        assert view.apply(pool.handle(0, event)) == [event]
    first = view.apply(pool.handle(0, delta(entry(40))))
    assert first[0].kind is i.ListKind.FULL and pool.is_subset_active
    for n in range(41, 200):
        view.apply(pool.handle(0, delta(entry(n))))
    assert 12 <= len(view.ready) <= 24 and view.ready == pool.members
    for n in range(60, 200):
        view.apply(pool.handle(0, delta(entry(n, state=GONE))))
    assert pool.is_subset_active
    for n in range(20, 60):
        view.apply(pool.handle(0, delta(entry(n, state=GONE))))
    assert not pool.is_subset_active and view.ready == set(range(20))
    assert pool.counters.taken == pool.counters.released == 1


def test_a_new_full_list_adds_new_units_and_drops_missing_ones():
    fleet = small_fleet()
    fleet.handle(full_list(entry(n) for n in range(100, 300)))
    fresh = Fleet(range(40), 40, 40, SMALL)
    fresh.handle(full_list(entry(n) for n in range(100, 300)))
    assert fleet.members() == fresh.members() and len(fleet.coverage()) == 200


def test_a_failed_discovery_call_is_reported_and_so_is_the_next_list():
    fleet = small_fleet()
    pool = fleet.pools[0]
    failed = i.ServerList(i.ListKind.FAILED, 0, ())
    assert pool.handle(0, failed)[0] is failed
    other = min(set(range(200)) - pool.members)
    same = delta(entry(other))
    assert [action.kind for action in pool.handle(0, same)] == [i.ListKind.DELTA]
    assert pool.handle(0, same) == []


# ---- bad input


def test_a_list_over_the_maximum_is_refused_and_changes_nothing():
    fleet = small_fleet()
    pool, view = fleet.pools[0], fleet.views[0]
    before = dict(view.entries)
    for kind in (i.ListKind.FULL, i.ListKind.DELTA):
        with pytest.raises(ListTooLongError, match=r"100000|100200"):
            pool.handle(0, i.ServerList(kind, 9, tuple(entry(n) for n in range(1000, 101_000))))
    assert view.entries == before and pool.figures()["subset listed"] == 200
    assert pool.handle(0, full_list(entry(n) for n in range(200)))[0].entries == tuple(before.values())


def test_of_two_entries_of_a_unit_the_last_counts():
    fleet = small_fleet()
    fleet.handle(delta(entry(7, state=DRAINING), entry(7), entry(8), entry(8, state=GONE)))
    assert fleet.coverage()[7] == 3 and not fleet.coverage()[8]
    fleet.handle(full_list([entry(n) for n in range(200)] * 2))
    assert set(fleet.coverage().values()) == {3} and len(fleet.coverage()) == 200


@pytest.mark.parametrize("zone", [0, 6, -1])
def test_units_in_one_zone_or_in_an_unknown_one_are_distributed_evenly(zone):
    for block in blocks([entry(n, zone=zone, machine_type=0) for n in range(UNITS)])[:2]:
        sizes = Counter(relays_by_unit(block).values())
        assert sum(sizes.values()) == UNITS and max(sizes.values()) <= 68


@pytest.mark.parametrize("weight", [0.0, -1.0, float("inf"), float("nan")])
def test_an_unusable_weight_keeps_a_unit_out_until_it_is_corrected(weight):
    fleet = small_fleet()
    fleet.handle(delta(entry(7, weight=weight)))
    assert not fleet.coverage()[7] and all(7 not in view.entries for view in fleet.views.values())
    fleet.handle(delta(entry(7, weight=1e300)))
    assert fleet.coverage()[7] == 3


def test_an_index_beyond_the_number_of_relays_is_taken_modulo():
    lists = full_list(entry(n) for n in range(200))
    views = [ModuleView(), ModuleView()]
    for index, view in zip((2, 42), views, strict=True):
        view.apply(Pool(index, 40, 40, SMALL).handle(0, lists))
    assert views[0].entries == views[1].entries
    for wrong in ({"instances": 0}, {"connection_limit": 0}):
        with pytest.raises(ValueError, match="at least 1"):
            Pool(**{"instance_index": 0, "instances": 1, "connection_limit": 1, **wrong})


def test_the_number_of_relays_may_change_at_run_time():
    fleet = small_fleet()
    for instances in (41, 40, 60, 20, 5, 40):
        for index, pool in fleet.pools.items():
            fleet.views[index].apply(pool.resize(index, instances))
        present = range(min(instances, 40))
        cover = Counter(unit for index in present for unit in fleet.views[index].ready)
        if instances <= 40:
            assert set(cover.values()) == {fleet.pools[0].coverage} and len(cover) == 200
    with pytest.raises(ValueError, match="at least 1"):
        fleet.pools[0].resize(0, 0)


def test_memory_is_bounded_by_the_list_however_many_come_and_go():
    pool = Pool(3, 40, 40, SMALL)
    pool.handle(0, full_list(entry(n) for n in range(200)))
    for n in range(200, 3200):
        pool.handle(0, delta(entry(n), entry(n - 200, state=GONE)))
    block = pool._block
    assert block is not None and len(block) == len(pool._registry) == len(pool._registry.keys) == 200
    assert len(pool._reported) < 30 and not block.moved
    assignments = [assigned for build in block._builds.values() for assigned in build._strata.values()]
    assert sum(len(assigned.placements) for assigned in assignments) == 200
    assert sum(len(refused) for assigned in assignments for refused in assigned._refused) < 1000
