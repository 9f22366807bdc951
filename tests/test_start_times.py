"""Starts that a list tells by a clock which is not the relay's (issue 57)."""

from dataclasses import replace

import pytest

from loftroute.decision import interface as i
from loftroute.relay.start_times import StartTimes
from tests.stepped import MS, SECOND, Unit, ask, got, served
from tests.stepped_agent import SITES, SteppedAgent

HOUR = 3600 * SECOND
NOW = 100_000 * SECOND  # later than the longest step of a clock
LATENESS = 5 * SECOND
STEPS_S = [-3600, -5, 0, 5, 3600]


def entry(server: int, started: int, build: int = 41, state=i.ServerState.READY) -> i.ServerEntry:
    return i.ServerEntry(server, 0, 0, 0, build, state, started, 1.0)


def starts(times: StartTimes, now: int, *entries, kind=i.ListKind.FULL, step=0) -> list[int]:
    """Return the starts by the relay's clock of a list that arrives at `now`."""
    translated = times.translate(i.ServerList(kind, 1, entries), now, step)
    return [entry.started for entry in translated.entries]


def test_the_first_list_is_believed_unless_a_start_is_in_the_future():
    listed = [entry(1, NOW - HOUR), entry(2, NOW - SECOND), entry(3, NOW + HOUR), entry(4, 0)]
    for kind in (i.ListKind.FULL, i.ListKind.DELTA):
        assert starts(StartTimes(LATENESS), NOW, *listed, kind=kind) == [NOW - HOUR, NOW - SECOND, NOW, 0]


@pytest.mark.parametrize("confirmed", [True, False])
def test_a_list_that_was_kept_from_an_earlier_time_holds_once_discovery_says_so(confirmed):
    times = StartTimes(LATENESS)
    starts(times, NOW, entry(1, 5), kind=i.ListKind.CACHED)
    if confirmed:
        times.list_confirmed(NOW)
    changed = [entry(1, 5), entry(2, NOW - HOUR)]
    assert starts(times, NOW + SECOND, *changed) == [5, NOW + SECOND if confirmed else NOW - HOUR]


@pytest.mark.parametrize("step_s", STEPS_S)
def test_a_start_that_is_told_after_a_step_of_the_clock_is_moved_back(step_s):
    times = StartTimes(LATENESS)
    starts(times, NOW, entry(1, 5))
    times.list_confirmed(NOW + 9 * SECOND)
    true_start, step = NOW + 8 * SECOND, step_s * SECOND
    changed = [entry(1, true_start + step, build=42), entry(2, true_start + step)]
    assert starts(times, NOW + 10 * SECOND, *changed, step=step) == [true_start] * 2
    assert starts(times, NOW + HOUR, *changed, step=-step) == [true_start] * 2  # the same processes


@pytest.mark.parametrize("step_s", [-HOUR // SECOND, HOUR // SECOND])
def test_a_process_that_restarts_under_its_id_after_a_step_is_a_new_one(step_s):
    times, step = StartTimes(LATENESS), step_s * SECOND
    starts(times, NOW, entry(1, NOW - 2 * HOUR))
    assert starts(times, NOW + SECOND, entry(1, NOW + step), step=step) == [NOW]


def test_a_process_that_restarts_just_before_the_clock_is_set_forward_is_a_new_one():
    """Guards against a cold unit that counts as warm: its start, moved back by the step, looked older."""
    times, restarted_at = StartTimes(LATENESS), NOW + 10 * SECOND
    starts(times, NOW, entry(1, NOW - 60 * SECOND))
    now = restarted_at + SECOND
    assert starts(times, now, entry(1, restarted_at), step=HOUR) == [now]


def test_a_process_that_restarts_on_a_machine_whose_clock_is_behind_is_a_new_one():
    """Guards against a cold unit that counts as warm: its start was older than when its last one appeared."""
    times = StartTimes(LATENESS)
    starts(times, NOW, entry(1, 5))
    assert starts(times, NOW + SECOND, entry(1, 5), entry(2, NOW - HOUR)) == [5, NOW + SECOND]
    now = NOW + 20 * SECOND
    assert starts(times, now, entry(1, 5), entry(2, NOW - HOUR + 10 * SECOND)) == [5, now]


@pytest.mark.parametrize("off_s", [-3600, -15, 5, 3600])
def test_a_start_long_before_the_list_without_the_process_counts_as_now(off_s):
    times = StartTimes(LATENESS)
    starts(times, NOW, entry(1, 5))
    times.list_confirmed(NOW + 9 * SECOND)
    now, told = NOW + 10 * SECOND, NOW + 10 * SECOND + off_s * SECOND
    assert starts(times, now, entry(1, 5), entry(2, told)) == [5, now]
    assert starts(times, now + HOUR, entry(2, told)) == [now]  # it does not move while its process lives


def test_a_unit_that_comes_back_with_the_same_start_is_the_same_process():
    times = StartTimes(LATENESS)
    starts(times, NOW, entry(1, NOW - HOUR), entry(2, 5))
    starts(times, NOW + SECOND, entry(2, 5))
    starts(times, NOW + SECOND, entry(1, 0, state=i.ServerState.GONE), kind=i.ListKind.DELTA)
    assert starts(times, NOW + 2 * SECOND, entry(1, NOW - HOUR), entry(2, 5)) == [NOW - HOUR, 5]


def test_an_earlier_start_of_a_known_unit_is_passed_on():
    times = StartTimes(LATENESS)
    starts(times, NOW, entry(1, NOW - SECOND))
    assert starts(times, NOW + SECOND, entry(1, NOW - HOUR)) == [NOW - HOUR]
    assert starts(times, NOW + 2 * SECOND, entry(1, NOW - SECOND)) == [NOW - SECOND]


def test_a_list_without_a_changed_start_is_the_same_object():
    event = i.ServerList(i.ListKind.FULL, 1, (entry(1, 5), replace(entry(2, 0))))
    assert StartTimes(LATENESS).translate(event, NOW, 0) is event


def requests_in_first_second(world, site: str, step_s: int) -> int:
    """Return the requests to a fifth unit in its first second, the wall clock off by `step_s`."""
    relay = world(units=4, **SITES[site])
    relay.step(HOUR / MS)
    agent = SteppedAgent(relay)
    agent.run(3000)
    relay.units["u4"] = Unit()
    relay.clock.step = step_s * SECOND
    relay.started_ms["u4"] = relay.clock.now() // MS + step_s * 1000
    agent.change(u4="SERVING")
    agent.run(100)
    assert len(relay.relay.units.units) == 5
    client, received = relay.client(), 0
    for _ in range(200):
        client.sendall(b"".join(ask() for _ in range(3)))
        agent.run(5)
        for name, unit in relay.units.items():
            for peer, heard in unit.heard.items():
                count = heard.count(b"\r\nQ.")
                received += count * (name == "u4")
                unit.heard[peer] = b""
                peer.sendall(served(b"V") * count)
    agent.run(20)
    got(client)
    return received


@pytest.mark.parametrize("site", SITES)
def test_a_unit_that_appears_is_cold_whatever_the_clock_of_its_start_says(world, site):
    """Guards against a start that looks old: the unit got a warm unit's share in its first second."""
    counts = {step_s: requests_in_first_second(world, site, step_s) for step_s in STEPS_S}
    assert counts[0] > 20
    assert max(counts.values()) <= 1.1 * counts[0], counts
