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
        take(now, n, vote) if fleet.random.random() < 0.6 else i.Outcome.FULL)
    fleet.run(25 * SECOND)
    assert fleet.platform.state.stage >= 1
