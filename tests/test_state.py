"""The windowed counter."""

from loftroute.decision.state import Rate, WindowSum


def test_the_sum_counts_both_ends_and_forgets_what_has_passed_also_when_never_read():
    window = WindowSum(10)
    for now in range(1000):
        window.add(now, 1.0)
    assert len(window._items) <= 12
    assert window.total(999) == 11
    assert window.total(2000) == 0


def test_a_rate_of_few_events_is_that_of_the_latest_however_long_ago():
    rate = Rate(1000, 4)
    for now in (0, 500, 1000, 1500, 2000):
        rate.add(now)
    assert rate.rate(2000) == 4 * 1000 / 1500
    assert rate.rate(5000) == 4 * 1000 / 4500, "a standstill lowers it"
    for now in range(5000, 6000, 100):
        rate.add(now)
    assert rate.rate(5999) == 10, "many events are counted in the window"
