"""Tests of the scale run: plan validation, fits, growth ratios, events of a fleet and unusual lists.

The growth tests check the present behaviour: the decision module looks at all units for each request, so the
costs of a request, a tick, a change and a whole list grow with the number of units. Stricter bounds need a
subset of the units for each relay.
"""

import json
import subprocess
import sys
import tracemalloc
from dataclasses import replace
from typing import Any

import msgspec
import pytest
from click.testing import CliRunner

from loftroute.decision import interface as i
from loftroute.decision.policy import Balancer
from loftroute.lab.scale import (
    capacity,
    command,
    events,
    fits,
    fleet_slopes,
    plan,
    real,
    report,
    slopes,
    workload,
)
from loftroute.lab.scale.fits import Point, Series
from loftroute.lab.scale.plan import EventKind, EventPlan, RealPlan
from loftroute.lab.setup import MS, SECOND
from loftroute.lab.standins import ROOT
from loftroute.module_settings import read_settings
from loftroute.protocol import IncompleteMessageError, ProtocolError, http1
from loftroute.protocol.catalog import ENTRIES_LIMIT, Catalog

LINEAR_EXPONENT = 1.3  # upper bound for linear growth, with a margin for a busy machine
FLAT_GROWTH = 3.0  # upper bound for no growth, with a margin for a busy machine


# ---- plan


def plan_document() -> dict[str, Any]:
    return json.loads(msgspec.json.encode(plan.QUICK))


def test_a_plan_comes_back_as_it_was_written():
    assert plan.read(json.dumps(plan_document()).encode()) == plan.QUICK


@pytest.mark.parametrize(
    ("path", "value", "named"),
    [
        (("colour",), 3, "colour"),
        (("slopes", "machines"), 3, "machines"),
        (("slopes", "units"), [50, -200, 1000, 5000], "slopes.units"),
        (("slopes", "units"), [50, 200, 1000], "slopes.units"),
        (("slopes", "units"), [50, 200, 1000, 1e9], "slopes.units"),
        (("slopes", "repeats"), 0, "slopes.repeats"),
        (("events", 0, "relays"), -1, "events[0].relays"),
        (("events", 0, "length_s"), 0, "events[0].length_s"),
        (("events", 0, "length_s"), 1e6, "events[0].length_s"),
        (("events", 0, "kind"), "flood", "events[0].kind"),
        (("real", "seconds"), "long", "real.seconds"),
        (("stop_after_s",), -5, "stop_after_s"),
        (("stop_after_s",), None, "stop_after_s"),
        (("memory_share",), 0.9, "memory_share"),
        (("processes",), 100_000, "processes"),
    ],
)
def test_a_wrong_field_of_a_plan_gives_status_2_and_is_named(tmp_path, path, value, named):
    raw = plan_document()
    parent: Any = raw
    for key in path[:-1]:
        parent = parent[key]
    parent[path[-1]] = value
    file = tmp_path / "plan.json"
    file.write_text(json.dumps(raw))
    result = CliRunner().invoke(command.main, ["--plan", str(file)])
    assert result.exit_code == 2
    assert named in result.output


@pytest.mark.parametrize("field", ["stop_after_s", "slopes", "events", "real"])
def test_a_plan_without_a_required_field_is_refused_by_its_name(field):
    raw = plan_document()
    del raw[field]
    with pytest.raises(plan.PlanError, match=field):
        plan.read(json.dumps(raw).encode())


def test_the_command_says_what_is_wrong_with_a_plan_in_one_line(tmp_path):
    file = tmp_path / "plan.json"
    file.write_text('{"stop_after_s": 1')
    arguments = [sys.executable, "-B", "-m", "loftroute.lab.scale", "--plan", str(file)]
    result = subprocess.run(arguments, cwd=ROOT, capture_output=True, text=True, check=False)
    assert result.returncode == 2
    assert result.stderr.startswith("scale: not JSON") and result.stderr.count("\n") == 1


def test_a_run_stops_beginning_parts_once_its_time_is_used_up():
    runner = command.PlanRunner(msgspec.structs.replace(plan.QUICK, stop_after_s=1e-9))
    run = runner.play(("slopes", "events"))
    assert not run.series and not run.events
    assert len(run.notes) == 2 and all("not run" in note for note in run.notes)


def test_an_event_beyond_the_memory_limit_is_not_run_and_noted():
    event = EventPlan(EventKind.RACK, relays=100_000, units=100_000, requests_per_s=1.0, length_s=1.0)
    runner = command.PlanRunner(msgspec.structs.replace(plan.QUICK, events=(event,)))
    runner.events()
    assert not runner.run.events
    assert "rack: not run" in runner.run.notes[0]


# ---- fits


def test_a_fit_of_a_line_has_no_residual():
    found = fits.fit([Point(size, 5.0 + 2.0 * size) for size in (1, 10, 100, 1000)])
    assert found.intercept == pytest.approx(5.0) and found.slope == pytest.approx(2.0)
    assert found.residual < 1e-9
    assert found.growth == pytest.approx(2005.0 / 7.0)


def test_a_fit_of_a_square_has_exponent_2_and_a_residual():
    found = fits.fit([Point(size, float(size * size)) for size in (1, 10, 100, 1000)])
    assert found.exponent == pytest.approx(2.0)
    assert found.residual > 0.3


def test_a_fit_of_one_point_is_refused():
    with pytest.raises(ValueError, match="two sizes"):
        fits.fit([Point(1, 1.0)])


def test_a_figure_is_void_if_its_bare_loops_differ_too_much():
    from loftroute.lab.scale import meter

    assert meter.unsteady([1.0, 1.1, 1.2]) == ""
    assert "void" in meter.unsteady([1.0, 2.0])


def test_a_run_is_read_back_as_it_was_written(tmp_path):
    series = Series("request", "units", "us", [Point(1, 2.0, 0.1), Point(2, 4.0, 0.1)], "void: a reason")
    run = report.Run({"seed": 1}, "abc", "now", "then", [series], notes=["a note"])
    report.write(run, tmp_path, "one")
    assert report.read(tmp_path / "one.json") == run
    assert "void: a reason" in (tmp_path / "one.md").read_text()


# ---- growth ratios


def check_processor_time_by_units(growth: dict[str, fits.Fit]) -> None:
    """With 100 times the units, costs grow by a factor of 10 to 200; the present behaviour, not a target."""
    for figure in ("request", "tick", "tick_at_rest", "change", "whole_list"):
        found = growth[figure]
        assert found.exponent < LINEAR_EXPONENT, figure
        assert 10 < found.growth < 200, figure
        assert found.residual < 0.6, figure


def check_requests_by_other_dimensions(growth: dict[str, fits.Fit]) -> None:
    """The cost of a request does not depend on the rate, the services or the tenants."""
    for figure in ("request_by_rate", "request_by_services", "request_by_tenants"):
        assert growth[figure].growth < FLAT_GROWTH, figure


def check_memory_and_bytes(growth: dict[str, fits.Fit]) -> None:
    """Memory and whole lists grow in proportion to the units, a change does not; the present behaviour."""
    for figure in ("memory", "list_bytes"):
        assert growth[figure].residual < 0.05, figure
        assert growth[figure].exponent < 1.05, figure
    assert growth["change_bytes"].growth < 1.1


def check_control_by_relays(growth: dict[str, fits.Fit]) -> None:
    """The control traffic of one relay does not grow with the relays; that of discovery does, linearly."""
    assert growth["relay_bytes"].growth == pytest.approx(1.0, abs=0.05)
    assert growth["discovery_calls"].exponent == pytest.approx(1.0, abs=0.05)


def check_connections(growth: dict[str, fits.Fit]) -> None:
    """With 5,000 units a connection reaches its idle timeout before its unit is chosen again."""
    assert growth["connections"].exponent < 0.7
    assert growth["dials"].growth > 10


def test_growth_of_all_figures():
    """One measurement serves all checks, since it takes seconds of processor time."""
    found = slopes.measure(plan.QUICK.slopes) + fleet_slopes.sweep(plan.QUICK.slopes.relays)
    growth = {series.name: series.fit() for series in found}
    check_processor_time_by_units(growth)
    check_requests_by_other_dimensions(growth)
    check_memory_and_bytes(growth)
    check_control_by_relays(growth)
    check_connections(growth)


# ---- events


def quick_event(kind: EventKind) -> EventPlan:
    return next(event for event in plan.QUICK.events if event.kind is kind)


@pytest.mark.parametrize("kind", list(EventKind))
def test_an_event_loses_no_request_and_the_fleet_recovers(kind):
    result = events.play(quick_event(kind))
    ends = ("served", "refused", "failed", "cut_off", "lost")
    assert result["asked"] == sum(result[end] for end in ends)
    for name in ("lost", "open", "answered_twice", "sent_after_end", "effects_twice", "cold_over"):
        assert result[name] == 0, name
    assert result["trial_share"] <= result["trial_allowed"]
    assert result["right_again_s"] < 5.0
    if kind is not EventKind.CONTROL_MACHINES:
        assert result["rules_kept"]


def test_drains_are_broken_while_discovery_and_the_platform_are_down():
    """The present behaviour: relays learn of a drain from discovery only."""
    result = events.play(quick_event(EventKind.CONTROL_MACHINES))
    assert result["drains_broken"] > 0


def test_every_relay_asks_for_the_whole_list_after_discovery_loses_its_history():
    restart = quick_event(EventKind.DISCOVERY_RESTART)
    result = events.play(restart)
    assert result["discovery_whole_lists"] == 2 * restart.relays  # at the start and after the restart
    assert result["right_again_s"] < 1.0


def test_an_event_is_determined_by_its_seed():
    timed_figures = {"processor_s", "control_core_percent", "change_to_last_relay_s"}

    def play(seed: int) -> dict[str, object]:
        result = events.play(msgspec.structs.replace(quick_event(EventKind.ZONE), seed=seed))
        return {name: value for name, value in result.items() if name not in timed_figures}

    assert play(3) == play(3)
    assert play(3) != play(4)


# ---- real relays


def test_the_memory_of_real_relays_grows_with_the_units():
    found = real.sweep(RealPlan(units=(10, 50, 200, 500), requests_per_s=40.0, seconds=0.5, rounds=1))
    by_name = {series.name: series for series in found}
    assert all(len(series.points) == 4 for series in found)
    assert by_name["real_memory"].fit().slope > 0
    assert by_name["real_connections"].points[-1].value < 1024


# ---- unusual lists


def new_catalog() -> Catalog:
    return Catalog({workload.zone_name(zone): zone for zone in range(workload.ZONES)}, {"m": 0})


def read_list(entries: list[dict[str, Any]], target: Catalog | None = None) -> i.ServerList:
    text = json.dumps(workload.document(entries, 1, True)).encode()
    return (target or new_catalog()).read(text).event


def new_balancer(listed: i.ServerList) -> Balancer:
    module = Balancer(read_settings(workload.raw_settings(520)), 1)
    module.handle(100 * SECOND, i.Started())
    module.handle(100 * SECOND, listed)
    module.handle(100 * SECOND, workload.released())
    return module


def servers_used(module: Balancer, count: int = 200) -> set[int]:
    """Return the servers that this many requests are sent to."""
    used = set()
    for number in range(count):
        now = 100 * SECOND + number * MS
        request = i.RequestArrived(f"{number:016x}", None, 0, 0, 20 * MS, 3 * SECOND, False, False)
        sent = [a for a in module.handle(now, request) if isinstance(a, i.Send)]
        assert len(sent) == 1
        used.add(sent[0].server)
        ended = i.AttemptEnded(request.request, 0, sent[0].server, i.Outcome.OK, 20 * MS, True, None)
        module.handle(now, ended)
    return used


def test_a_list_of_100_000_entries_is_refused_whole_and_in_bounded_memory():
    known = new_catalog()
    read_list([workload.entry(1, 0)], known)
    entries = [workload.entry(number, number % workload.ZONES) for number in range(100_000)]
    raw = workload.document(entries, 2, True)
    tracemalloc.start()
    try:
        with pytest.raises(ProtocolError, match="a list wanted"):
            known.read_document(raw)
        assert tracemalloc.get_traced_memory()[1] < 1 << 20
    finally:
        tracemalloc.stop()
    assert len(known.server_numbers) == 1


def test_the_text_of_100_000_entries_is_refused_at_its_head_before_it_is_read():
    size = 100_000 * 180
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size
    with pytest.raises(ProtocolError, match="body too long"):
        http1.parse_response(head, 0, len(head))


def test_a_list_of_the_most_entries_fits_into_the_longest_document():
    entries = [workload.entry(number, number % workload.ZONES) for number in range(ENTRIES_LIMIT)]
    body = json.dumps(workload.document(entries, 1, True)).encode()
    assert len(body) < workload.LONGEST_LIST
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
    with pytest.raises(IncompleteMessageError):
        http1.parse_response(head, 0, len(head))
    assert len(read_list(entries).entries) == ENTRIES_LIMIT


def test_a_list_with_an_entry_twice_changes_nothing():
    known = new_catalog()
    with pytest.raises(ProtocolError, match="twice"):
        read_list([workload.entry(1, 0), workload.entry(1, 0)], known)
    assert not known.server_numbers


@pytest.mark.parametrize("zone", ["z03", None, "", "nowhere"])
def test_units_that_share_a_zone_or_have_no_known_zone_are_all_used(zone):
    entries = [workload.entry(number, 0) for number in range(40)]
    for entry in entries:
        entry["zone"] = zone
        if zone is None:
            del entry["zone"]
    assert len(servers_used(new_balancer(read_list(entries)))) > 30


@pytest.mark.parametrize("weight", [0, -1, "NaN", 1e999])
def test_an_invalid_weight_refuses_the_list(weight):
    entries = [workload.entry(number, 0) for number in range(4)]
    entries[2]["weight"] = weight
    with pytest.raises(ProtocolError):
        read_list(entries)


@pytest.mark.parametrize("weight", [1e-300, 1e6, 1e300])
def test_units_of_far_larger_weight_get_all_requests(weight):
    entries = [workload.entry(number, 0) for number in range(8)]
    for entry in entries[:4]:
        entry["weight"] = weight
    heavy = {1, 2, 3, 4} if weight > 1 else {5, 6, 7, 8}
    assert servers_used(new_balancer(read_list(entries))) <= heavy


def test_weights_whose_sum_is_not_finite_send_all_requests_to_one_unit():
    """Known fault: the catalog accepts any finite weight, and the sum of these weights overflows.

    Every request is still sent to a server.
    """
    entries = [workload.entry(number, 0) for number in range(8)]
    for entry in entries[:4]:
        entry["weight"] = 1.7e308
    assert len(servers_used(new_balancer(read_list(entries)))) == 1


def test_a_relay_drops_servers_that_leave_the_list():
    module = new_balancer(read_list([workload.entry(number, 0) for number in range(2000)]))
    module.handle(200 * SECOND, replace(read_list([workload.entry(1, 0)]), version=2))
    assert len(module.servers) == 1


# ---- capacity tables


def measured_series(**slopes_by_units: float) -> capacity.MeasuredSeries:
    names = [
        "real_added_p50", "real_added_p99", "real_idle", "real_memory", "real_request", "tick", "change",
        "whole_list", "list_bytes", "change_bytes", "connections", "memory_by_tenants", "relay_bytes",
        "change_to_last_relay",
    ]  # fmt: skip
    series = [
        Series(name, "units", "", [Point(1, 0.0), Point(1000, 999 * slopes_by_units.get(name, 0.0))])
        for name in names
    ]
    return capacity.MeasuredSeries([report.Run({}, series=series)])


def test_a_limit_holds_up_to_the_size_at_which_it_is_reached():
    table = capacity.max_units_table(
        capacity.Fleet(), measured_series(real_memory=0.1), capacity.Limits(memory_mb=100.0)
    )
    most = {row["figure"]: row["most_units"] for row in table.rows}
    assert most["memory"] == "1000"
    assert most["processor time for control"] == "50000 or more"


def test_a_void_figure_neither_holds_nor_fails():
    found = capacity.Figure("memory", 1.0, 256.0, "MB", "real_memory", "real_memory")
    assert found.verdict == "not known"
    assert replace(found, void="-").verdict == "yes"
    assert replace(found, void="-", needed=300.0).verdict == "**no**"
