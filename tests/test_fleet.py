"""What is harmless in one instance and harmful in all: many instances of the module in simulated time."""

import pytest

from loftroute.decision import interface as i
from loftroute.lab.fleet import Fleet
from loftroute.lab.setup import SECOND

LARGE = {"family_info__calls_per_s": 15.0, "family_info__ayes_needed": 75, "family_info__to_abort": 29,
         "family_info__stage_cap": [0.16, 1.0, 1.0], "family_info__stage_share": [0.08, 0.6, 1.0]}


@pytest.mark.parametrize("seed", [1, 2])
def test_the_votes_of_a_large_fleet_come_together_within_what_the_platform_takes(seed):
    """With the same chance for all, each second, a third of 188 stands at the most: no stage ends."""
    fleet = Fleet(188, 4, seed, **LARGE)
    fleet.run(2 * SECOND)
    fleet.offer(2, 2)
    asked = fleet.now
    while fleet.platform.state.stage == 0 and fleet.now < asked + 20 * SECOND:
        fleet.run(SECOND // 4)
    assert fleet.platform.state.stage == 1
    assert fleet.now - asked <= 8 * SECOND  # 75 votes at 15 a second, and two seconds until they are due
    taken = fleet.platform.taken
    assert sum(taken.values()) <= 15 * (fleet.now - asked) / SECOND + 30
    assert fleet.platform.refused <= 0.2 * sum(taken.values())


def test_a_platform_that_refuses_most_votes_still_sees_enough_of_them():
    fleet = Fleet(60, 4, **{**LARGE, "family_info__calls_per_s": 6.0, "family_info__ayes_needed": 24})
    fleet.run(2 * SECOND)
    fleet.offer(2, 2)
    take = fleet.platform.vote
    fleet.platform.vote = lambda now, n, vote: (
        take(now, n, vote) if fleet.random.random() < 0.4 else i.Outcome.FULL)
    fleet.run(25 * SECOND)
    assert fleet.platform.state.stage >= 1


def test_votes_that_the_first_burst_can_bring_together_wait_for_outcomes_as_ever():
    """Sixteen votes come at once: sent before a second's outcomes, they released builds unseen."""
    votes = {"family_info__ayes_needed": 16, "family_info__to_abort": 6}
    fleet = Fleet(40, 20, 1, rate=400.0, **{**LARGE, **votes})
    fleet.run(3 * SECOND)
    fleet.offer(2, 2)
    offered = fleet.now
    fleet.run(2 * SECOND - SECOND // 50)  # the bake, and a second after it
    assert not fleet.platform.votes and fleet.platform.state.stage == 0
    fleet.run(3 * SECOND)
    assert fleet.platform.state.stage >= 1 and fleet.now - offered < 5 * SECOND
