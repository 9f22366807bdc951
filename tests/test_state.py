"""The windowed counter."""

from loftroute.decision.state import WindowSum


def test_the_sum_counts_both_ends_and_forgets_what_has_passed_also_when_never_read():
    window = WindowSum(10)
    for now in range(1000):
        window.add(now, 1.0)
    assert len(window._items) <= 12
    assert window.total(999) == 11
    assert window.total(2000) == 0
