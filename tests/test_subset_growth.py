"""Processor time behind the subset as the list grows a hundredfold: ratios within one run, never times."""

import pytest

from loftroute.lab.subset_bench import Costs, measure

SECONDS = 4  # of simulated time at each size
FLAT = 2.5  # 1.2 measured on a quiet machine; alone a request grows 37 times and a tick 76 times


@pytest.fixture(scope="module")
def costs() -> tuple[Costs, Costs]:
    """Of 50 units, which pass through, and of 5,000, of which some 67 are members."""
    return measure(50, True, SECONDS), measure(5000, True, SECONDS)


def test_a_request_and_a_tick_cost_the_same_before_5000_units_as_before_50(costs):
    small, large = costs
    assert large.request_us < FLAT * small.request_us
    assert large.tick_ms < FLAT * small.tick_ms


def test_a_change_of_any_unit_costs_the_same_before_5000_units_as_before_50(costs):
    small, large = costs
    assert large.change_ms < FLAT * small.change_ms


def test_a_relay_uses_a_bounded_part_of_5000_units(costs):
    assert costs[0].units_used == 50
    assert costs[1].units_used <= 100
