"""Clients that leave early, against the deploy file's `run`: plays of the lab with a checker of the rules."""

import pytest

from loftroute.lab.departures.checker import check, is_void
from loftroute.lab.departures.history import AttemptRecord, History, RequestRecord
from loftroute.lab.departures.plan import Group, Leave, Plan, draw
from loftroute.lab.departures.play import play


def plan_of(groups, **changes):
    """Return a play of six units that turn away two of five attempts and answer the others late or never."""
    values = {
        "seed": 2,
        "length_s": 1.0 + max(group.at_s for group in groups),
        "units": 6,
        "service_s": (0.0, 0.4),
        "busy_share": 0.4,
        "hang_share": 0.2,
        "groups": tuple(groups),
        "usual_clients": 2,
        "silent_clients": 0,
        "signals": (),
        **changes,
    }
    return Plan(**values)


def broken(result, rule):
    """Return the violations of a rule; fail if the play itself was held up."""
    assert not is_void(result.history), result.history.worst_lag_s
    return [violation.text for violation in result.violations if violation.rule == rule]


@pytest.mark.parametrize(("commands", "body_bytes"), [(900, 100), (1500, 1000)])
def test_requests_are_not_sent_on_after_clients_closed_behind_a_full_receive_window(commands, body_bytes):
    """Guards against the operators' incident 56: the end of a client is not seen while nothing is read."""
    groups = [Group(0.5 + 0.9 * n, commands, body_bytes, Leave.CLOSE, 0.1) for n in range(4)]
    result = play(plan_of(groups))
    assert len(result.history.attempts) > 100
    assert broken(result, "attempt after close") == []


def request(**changes):
    values = {"id": "a", "effect": "pay", "time_left_s": 1.0, "sent_at": 10.0, **changes}
    return RequestRecord(**values)


def test_an_attempt_at_a_unit_whose_drain_counts_as_known_breaks_the_rule():
    history = History(requests={"a": request(answers=[(10.5, b"+")])}, attempts=[attempt(began_at=17.1)])
    history.drains["u0"] = 10.0
    assert [violation.rule for violation in check(history) if violation.rule == "drain"] == ["drain"]
    history.attempts = [attempt(began_at=17.0)]
    assert not [violation for violation in check(history) if violation.rule == "drain"]


def attempt(began_at=10.0, told_s=0.9, ran=True):
    return AttemptRecord("a", "u0", began_at, told_s, ran)


@pytest.mark.parametrize(
    ("record", "attempts", "rules"),
    [
        (request(answers=[(10.5, b"+")]), [attempt()], []),
        (request(left_at=10.1), [attempt(began_at=10.24, told_s=0.7)], []),
        (request(left_at=10.1), [attempt(began_at=10.26, told_s=0.7)], ["attempt after close"]),
        (request(left_at=10.1), [attempt(), attempt(ran=False)], []),
        (request(left_at=10.1), [attempt(), attempt()], ["effect twice"]),
        (request(answers=[(11.4, b"+")]), [attempt()], []),
        (request(answers=[(11.6, b"+")]), [attempt()], ["lost"]),
        (request(answers=[(11.6, b"+")], behind_until=10.3), [attempt()], []),
        (request(answers=[(10.5, b"+"), (10.6, b"+")]), [attempt()], ["answered twice"]),
        (request(), [attempt()], ["lost"]),
        (request(ended_unanswered_at=10.4), [attempt()], ["lost"]),
        (request(ended_unanswered_at=10.4), [], []),
        (request(answers=[(10.5, b"+")]), [attempt(began_at=10.3, told_s=0.84)], []),
        (request(answers=[(10.5, b"+")]), [attempt(began_at=10.3, told_s=0.86)], ["time told"]),
    ],
)
def test_the_checker_names_the_rule_that_a_history_breaks(record, attempts, rules):
    history = History(requests={"a": record}, attempts=attempts, exit_status=0)
    assert [violation.rule for violation in check(history)] == rules


def test_the_checker_reports_a_relay_that_crashed():
    assert [violation.rule for violation in check(History(exit_status=1))] == ["crash"]


def test_the_checker_reports_a_relay_over_its_memory_limit():
    history = History(exit_status=0, memory_limit_kb=32_768, peak_memory_kb=32_769)
    assert [violation.rule for violation in check(history)] == ["memory"]


@pytest.mark.parametrize("seed", [1, 3, 4, 7, 9, 12])
def test_a_seeded_play_of_clients_that_leave_breaks_no_rule(seed):
    """Plays crowds, signals in series and clients that go on until the kill; 3 s each in CI."""
    result = play(draw(seed, length_s=3.0))
    assert not is_void(result.history), result.history.worst_lag_s
    assert result.violations == []
    assert len(result.history.attempts) > 20
