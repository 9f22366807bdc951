"""The scheduler on a fake clock and poller, read buffers, invariants, and the imports of each layer."""

import ast
import subprocess
import sys
import time
from pathlib import Path

import pytest

from loftroute import invariants
from loftroute.protocol import ProtocolError, resp
from loftroute.runtime.clock import Clock
from loftroute.runtime.scheduler import MS, READ, Mailbox, Scheduler, spawn_actor
from loftroute.runtime.stream import Buffer

ROOT = Path(__file__).parent.parent


class FakeSystem:
    """A clock that moves only while the poller waits, and a poller whose events are set by the tests."""

    def __init__(self) -> None:
        self.time, self.pending_events, self.watched, self.waits = 0, [], {}, []

    def now(self) -> int:
        return self.time

    def wall_step(self) -> int:
        return 0

    def register(self, fd, mask) -> None:
        self.watched[fd] = mask

    modify = register

    def unregister(self, fd) -> None:
        del self.watched[fd]

    def poll(self, timeout):
        self.waits.append(timeout)
        events, self.pending_events = self.pending_events, []
        if not events:
            self.time += int(timeout * MS)
        return events


@pytest.fixture
def fake_system():
    return FakeSystem()


@pytest.fixture
def scheduler(fake_system):
    return Scheduler(
        fake_system,
        lambda name, problem: fake_system.__dict__.setdefault("failed", []).append(name),
        fake_system,
    )


def turns(scheduler, count):
    """Run a number of scheduler iterations."""
    for _ in range(count):
        scheduler.turn(scheduler.clock.now())


def test_timers_fire_in_order_at_their_time_and_not_once_cancelled(fake_system, scheduler):
    fired = []
    for when in (30, 10, 20, 15):
        scheduler.call_at(when * MS, lambda when=when: fired.append((when, fake_system.time // MS)))
    scheduler.call_at(12 * MS, lambda: fired.append("cancelled")).cancel()
    turns(scheduler, 6)
    assert fired == [(10, 10), (15, 15), (20, 20), (30, 30)]


def test_a_parked_task_resumes_at_its_deadline_which_can_be_set_later(fake_system, scheduler):
    seen = []

    def run() -> None:
        scheduler.park(20 * MS)
        seen.append(fake_system.time // MS)
        scheduler.park(25 * MS)
        seen.append(fake_system.time // MS)

    task = scheduler.spawn("t", run)
    turns(scheduler, 1)
    scheduler.set_deadline(task, 40 * MS)
    turns(scheduler, 6)
    assert seen == [40, 40] and not scheduler.tasks


def test_a_deadline_that_was_not_reached_wakes_no_task(fake_system, scheduler):
    seen = []

    def run() -> None:
        scheduler.park(10 * MS)
        seen.append("woken")
        scheduler.park()
        seen.append("again")

    task = scheduler.spawn("t", run)
    turns(scheduler, 1)
    scheduler.wake(task)
    turns(scheduler, 5)
    assert seen == ["woken"] and fake_system.time > 10 * MS


def test_tasks_take_turns_and_busy_tasks_do_not_prevent_polling(fake_system, scheduler):
    ran = []

    def busy(name):
        def run() -> None:
            while True:
                ran.append(name)
                scheduler.wake(scheduler_task[name])
                scheduler.park()

        return run

    scheduler_task = {}
    for name in "ab":
        scheduler_task[name] = scheduler.spawn(name, busy(name))
    turns(scheduler, 2)
    assert ran.count("a") == ran.count("b") and len(fake_system.waits) == 2
    assert fake_system.waits[1] == 0  # no wait while tasks are ready


def test_cancelling_ends_a_parked_task_and_one_that_was_never_started(scheduler):
    seen = []

    def run() -> None:
        try:
            scheduler.park()
        finally:
            seen.append("left")

    task = scheduler.spawn("t", run)
    turns(scheduler, 1)
    scheduler.cancel(task)
    never = scheduler.spawn("never", lambda: seen.append("began"))
    scheduler.cancel(never)
    turns(scheduler, 1)
    assert seen == ["left"] and not scheduler.tasks


def test_a_failing_task_or_timer_is_reported_and_the_others_go_on(fake_system, scheduler):
    seen = []

    def fail() -> None:
        raise ValueError("no")

    scheduler.spawn("bad", fail)
    scheduler.spawn("good", lambda: seen.append("ran"))
    scheduler.call_at(MS, fail)
    turns(scheduler, 3)
    assert seen == ["ran"] and fake_system.failed == ["bad", "timer"] and scheduler.failures == 2


def test_a_mailbox_wakes_its_owner_once_and_drops_messages_beyond_its_bound(scheduler):
    mailbox, seen = Mailbox(scheduler, 3), []

    def run() -> None:
        while True:
            seen.append(list(mailbox.items))
            mailbox.items.clear()
            scheduler.park()

    spawn_actor(scheduler, "a", mailbox, run)
    turns(scheduler, 1)
    assert [mailbox.put(n) for n in range(5)] == [True, True, True, False, False]
    turns(scheduler, 1)
    assert seen == [[], [0, 1, 2]] and mailbox.dropped == 2


def test_poll_events_reach_the_watched_target_and_wake_its_task(fake_system, scheduler):
    class Watched:
        events, task = 0, None

    seen = []

    def run() -> None:
        scheduler.park()
        seen.append(Watched.events)

    Watched.task = scheduler.spawn("t", run)
    scheduler.watch(7, READ, Watched)
    turns(scheduler, 1)
    fake_system.pending_events = [(7, READ), (8, READ)]
    turns(scheduler, 1)
    scheduler.unwatch(7)
    scheduler.unwatch(7)
    assert seen == [READ] and fake_system.watched == {}


def test_lag_is_the_work_of_the_last_turn_plus_the_oversleep_of_the_wait(fake_system, scheduler):
    scheduler.call_at(10 * MS, lambda: None)
    ended = scheduler.turn(0)
    fake_system.time += 30 * MS  # time spent in tasks
    fake_system.poll = lambda timeout: (
        setattr(fake_system, "time", fake_system.time + int(timeout * MS) + 5 * MS) or []
    )
    scheduler.turn(ended)
    assert scheduler.lag == 35 * MS and scheduler.worst_lag == 35 * MS


def test_turns_are_at_least_the_minimum_interval_apart(fake_system):
    pauses = []
    scheduler = Scheduler(fake_system, lambda *_: None, fake_system, gather=MS, pause=pauses.append)
    scheduler.turn(fake_system.time)
    scheduler.turn(fake_system.time - 2 * MS)
    assert pauses == [0.001]


def fill(buffer, data):
    """Copy data into the free space of a buffer and return the rest."""
    space = buffer.free_space()
    part = data[: len(space)]
    space[: len(part)] = part
    buffer.end += len(part)
    return data[len(part) :]


def test_slices_stay_valid_whatever_is_read_later():
    buffer, kept = Buffer(64, 1000), []
    raw = b"".join(b"*1\r\n$6\r\nword%02d\r\n" % n for n in range(40))
    while raw or len(buffer):
        raw = fill(buffer, raw)
        while command := buffer.parse(resp.parse_command):
            kept.append(command.arguments[0])
    assert [bytes(word) for word in kept] == [b"word%02d" % n for n in range(40)]


def test_consumed_to_resets_the_bytes_that_a_partial_message_needed():
    buffer = Buffer(512, 1000)
    fill(buffer, b"*1\r\n$100\r\n")
    assert buffer.parse(resp.parse_command) is None
    fill(buffer, b"x" * 100 + b"\r\n*1\r\n$4\r\nPING\r\n")
    buffer.consumed_to(buffer.start + 112)
    assert bytes(buffer.parse(resp.parse_command).arguments[0]) == b"PING"


def test_a_long_message_grows_the_buffer_and_one_over_the_limit_is_refused():
    raw = b"*1\r\n$500\r\n" + b"x" * 500 + b"\r\n"
    for limit, fits in ((1000, True), (300, False)):
        buffer, rest, found = Buffer(64, limit), raw, None
        try:
            while rest and not found:
                rest = fill(buffer, rest)
                found = buffer.parse(resp.parse_command)
        except ProtocolError:
            found = "refused"
        assert (found != "refused" and bytes(found.arguments[0]) == b"x" * 500) is fits


@pytest.mark.parametrize(("flags", "shown"), [([], "AssertionError"), (["-O"], "0 {'never': 1}")])
def test_a_violated_invariant_stops_a_debug_build_and_is_counted_otherwise(flags, shown):
    text = "from loftroute.invariants import check, violations; print(check(0, 'never'), dict(violations))"
    done = subprocess.run(
        [sys.executable, "-B", *flags, "-c", text], cwd=ROOT, capture_output=True, text=True, check=False
    )
    assert shown in done.stdout + done.stderr and (done.returncode == 0) == bool(flags)
    assert invariants.check(True, "fine")


def imported(path):
    """Yield the names of the modules that a file imports."""
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            yield node.module or ""


@pytest.mark.parametrize(
    ("layer", "barred"),
    [
        (
            "protocol",
            ("loftroute.runtime", "loftroute.relay", "loftroute.config", "socket", "select", "time"),
        ),
        ("decision", ("loftroute.runtime", "loftroute.relay", "loftroute.protocol", "loftroute.config")),
        ("runtime", ("loftroute.relay", "loftroute.decision", "loftroute.config")),
        (
            "relay",
            (
                "socket",
                "select",
                "selectors",
                "asyncio",
                "time",
                "loftroute.bench",
                "loftroute.store",
                "loftroute.recall",
                "loftroute.settings",
                "loftroute.cli",
                "loftroute.lab",
            ),
        ),
        (
            "subset",
            (
                "loftroute.config",
                "loftroute.protocol",
                "loftroute.runtime",
                "loftroute.relay",
                "loftroute.lab",
                "loftroute.decision.policy",
                "loftroute.decision.state",
            ),
        ),
        ("settings", ("loftroute.runtime", "loftroute.relay", "loftroute.store", "loftroute.recall", "time")),
        (
            "store",
            (
                "loftroute.relay",
                "loftroute.recall",
                "loftroute.settings",
                "loftroute.cli",
                "loftroute.lab",
                "loftroute.decision",
            ),
        ),
        ("recall", ("loftroute.cli", "loftroute.lab", "socket", "time", "os")),
        (
            "vrrp",
            (
                "loftroute.relay",
                "loftroute.store",
                "loftroute.recall",
                "loftroute.pair",
                "loftroute.cli",
                "loftroute.lab",
                "socket",
                "select",
            ),
        ),
        ("pair", ("loftroute.cli", "loftroute.lab", "socket", "select")),
        ("cli", ("select", "time", "loftroute.lab")),
    ],
)
def test_layers_import_only_what_lies_below(layer, barred):
    for path in (ROOT / "loftroute" / layer).glob("*.py"):
        names = set(imported(path))
        assert not [n for n in names if any(n == b or n.startswith(b + ".") for b in barred)], path.name
    for path in (ROOT / "loftroute").rglob("*.py"):
        assert not {"asyncio", "gevent", "selectors", "redis"} & {n.split(".")[0] for n in imported(path)}


# Modules that get times and random numbers as arguments.
CORES = [
    "store/records.py",
    "store/index.py",
    "store/state.py",
    "store/plan.py",
    "store/time.py",
    "moments.py",
    "recall/decisions.py",
    "runtime/background.py",
    "protocol/vrrp.py",
    "vrrp/machine.py",
    "vrrp/envelope.py",
    "vrrp/tracking.py",
    "pair/fence.py",
    "pair/wire.py",
    "subset/assignment.py",
    "subset/blocks.py",
    "subset/dealing.py",
    "subset/hashing.py",
    "subset/health.py",
    "subset/plan.py",
    "subset/pool.py",
    "subset/registry.py",
]


@pytest.mark.parametrize("core", CORES)
def test_cores_use_no_clock_no_files_and_no_random_numbers(core):
    barred = {"os", "time", "socket", "random", "threading", "pathlib", "datetime", "secrets", "select"}
    path = ROOT / "loftroute" / core
    names = set(imported(path))
    assert not {n.split(".")[0] for n in names} & barred
    assert not {n for n in names if n.startswith(("loftroute.runtime.", "loftroute.relay"))}
    assert "open(" not in path.read_text().replace("def open(", "")


def test_without_a_command_nothing_of_the_product_is_imported():
    """The platform starts the relay without a command and without the product's libraries installed."""
    script = (
        "import sys; sys.argv = ['loftroute']; import loftroute.__main__; "
        "import loftroute.relay.lifecycle; print(*sys.modules)"
    )
    loaded = subprocess.run(
        [sys.executable, "-B", "-c", script], cwd=ROOT, capture_output=True, text=True, check=True
    ).stdout.split()
    libraries = {"click", "google", "google_crc32c", "lark", "msgpack", "sortedcontainers"}
    product_packages = {"store", "recall", "settings", "cli", "lab", "vrrp", "pair"}
    assert not libraries & {name.split(".")[0] for name in loaded}
    assert not {"hashlib", "_hashlib"} & set(loaded)  # of OpenSSL: half a megabyte
    assert not {
        name for name in loaded if name.startswith("loftroute.") and name.split(".")[1] in product_packages
    }


@pytest.mark.parametrize(
    ("moved_ns", "step_ns"), [(0, 0), (400_000, 0), (-400_000, 0), (5 * 10**9 + 3, 5 * 10**9)]
)
def test_a_step_of_the_wall_clock_is_told_in_whole_milliseconds(monkeypatch, moved_ns, step_ns):
    """Guards against a list whose starts are all moved by the moment between the readings of two clocks."""
    readings = {"time_ns": 10**18, "monotonic_ns": 10**12}
    for name in readings:
        monkeypatch.setattr(time, name, lambda name=name: readings[name])
    clock = Clock()
    before = clock.now()
    readings["time_ns"] += moved_ns + 10**9
    readings["monotonic_ns"] += 10**9
    assert clock.wall_step() == step_ns and clock.now() - before == 10**9
