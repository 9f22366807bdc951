"""Reuse of connections to units on real sockets, driven one scheduler turn at a time."""

import contextlib
import socket

import pytest

from loftroute import config
from loftroute.config_section import Section
from loftroute.decision import interface as i
from loftroute.protocol import jobs
from loftroute.protocol.catalog import Address, Listing
from loftroute.relay.keepalive import KeepAlive
from loftroute.relay.units import Attempt, Units
from loftroute.runtime.clock import Clock
from loftroute.runtime.scheduler import Scheduler
from loftroute.transport import Transport

MS, SECOND = 1_000_000, 1_000_000_000
ANSWER = b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n"


class Bench:
    """One unit whose answers the test sends, and the pool of connections to it."""

    def __init__(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.setblocking(False)
        self.peers: list[socket.socket] = []
        self.scheduler = Scheduler(Clock(), self._failed)
        self.units = Units(self.scheduler, Transport(max_warm_connections=0), 16, ())
        entry = i.ServerEntry(1, 0, 0, 0, 1, i.ServerState.READY, 0, 1.0)
        self.units.handle_listing(
            Listing(i.ServerList(i.ListKind.FULL, 1, (entry,)), {1: Address(*self.listener.getsockname())})
        )
        self.done: list[tuple[str, jobs.AttemptResult]] = []

    @staticmethod
    def _failed(name: str, problem: Exception) -> None:
        raise problem

    def send(self, key: str) -> None:
        """Send an attempt of a safe request with this key."""
        head = memoryview(b"*4\r\n$5\r\nQ.ASK\r\n$1\r\n%b\r\n$16\r\n%016d\r\n" % (key.encode(), 1))
        job = jobs.ClientRequest(
            "1", key.encode(), 0, 0, SECOND, False, None, head, memoryview(b""), b"c=read,", b""
        )
        now = self.scheduler.clock.now()
        self.units.send(
            Attempt(
                job,
                0,
                1,
                now,
                now + 5 * SECOND,
                lambda attempt, answer: self.done.append((attempt.job.key, answer)),
            )
        )

    def turn(self) -> None:
        """Run one turn of the scheduler and accept the connections to the unit."""
        self.scheduler.turn(self.scheduler.clock.now())
        with contextlib.suppress(BlockingIOError):
            while True:
                self.peers.append(self.listener.accept()[0])

    def until(self, condition) -> None:
        """Run turns until the condition is true."""
        for _ in range(200):
            if condition():
                return
            self.turn()
        raise AssertionError("the condition did not become true in 200 turns")

    def connection_with(self, key: str) -> socket.socket:
        """Return the connection on which a request with this key has arrived."""
        matching = []

        def has_arrived() -> bool:
            for peer in self.peers:
                peer.setblocking(False)
                with contextlib.suppress(BlockingIOError):
                    if b"\r\n%b\r\n" % key.encode() in peer.recv(4096):
                        matching.append(peer)
            return bool(matching)

        self.until(has_arrived)
        return matching[0]

    def values(self) -> list[tuple[str, bytes | None]]:
        """Return the key and value of each finished attempt."""
        return [(key, bytes(answer.value) if answer.value is not None else None) for key, answer in self.done]


@pytest.fixture
def bench():
    return Bench()


def test_a_duplicate_answer_not_yet_reported_by_poll_is_not_the_next_answer(bench):
    bench.send("a")
    first = bench.connection_with("a")
    first.sendall(ANSWER % (1, b"A"))
    bench.until(lambda: bench.done)
    first.sendall(ANSWER % (1, b"A"))  # after the answer, before the next poll
    bench.send("b")
    bench.connection_with("b").sendall(ANSWER % (1, b"B"))
    bench.until(lambda: len(bench.done) == 2)
    assert bench.values() == [("a", b"A"), ("b", b"B")]


def test_unsolicited_data_on_an_idle_connection_is_detected_on_reuse(bench):
    bench.send("a")
    first = bench.connection_with("a")
    first.sendall(ANSWER % (1, b"A"))
    bench.until(lambda: bench.done)
    bench.turn()
    bench.turn()
    first.sendall(ANSWER % (1, b"A"))
    bench.send("b")
    bench.connection_with("b").sendall(ANSWER % (1, b"B"))
    bench.until(lambda: len(bench.done) == 2)
    assert bench.values() == [("a", b"A"), ("b", b"B")] and bench.units.unsolicited == 1


def test_a_clean_connection_is_reused_after_the_reuse_delay(bench):
    for key, value in (("a", b"A"), ("b", b"B"), ("c", b"C")):
        bench.until(lambda: all(c.settled_at <= bench.scheduler.polled_at for c in bench.units.units[1].idle))
        bench.send(key)
        bench.connection_with(key).sendall(ANSWER % (1, value))
        bench.until(lambda key=key: bench.done and bench.done[-1][0] == key)
    assert bench.units.dials == 1 and bench.values()[-1] == ("c", b"C")


@pytest.mark.parametrize(
    "malformed",
    [
        b"-BUSY?!\r\n",
        b"-BUSY\r\n\x00noise",
        b"$-1\r\n",
        b"$3000000000\r\nxxxx",
        b"-" + b"x" * 2000,
        b"*3\r\n$1\r\nA\r\n$1\r\nB\r\n$-1\r\n",
        b"*3\r\n$1\r\nABC",
        b"*-7\r\n",
        b"\xff\xfe",
        b"-\xc3\xa9 failed\r\n",
    ],
)
def test_after_a_malformed_answer_the_request_may_have_run_and_the_connection_is_closed(bench, malformed):
    bench.send("a")
    peer = bench.connection_with("a")
    peer.sendall(malformed)
    bench.until(lambda: bench.done)
    ((_, answer),) = bench.done
    assert answer.outcome is i.Outcome.RESET and answer.value is None
    assert bench.units.open_connections == 0


def test_all_attempts_at_a_removed_unit_end(bench):
    for n in range(20):  # more than its connection limit, so some attempts wait
        bench.send(chr(97 + n))
    bench.turn()
    bench.units.handle_listing(Listing(i.ServerList(i.ListKind.FULL, 2, ()), {}))
    for peer in bench.peers:
        peer.close()
    bench.until(lambda: len(bench.done) == 20 and not bench.units.open_connections)


def test_idle_times_after_which_connections_break_are_learnt_and_later_retried():
    keepalive = KeepAlive(Transport())
    highest, now = keepalive.limit, 0
    for n in range(400):  # 1 in 12 breaks at any idle time, but half of those with a long idle time
        keepalive.record_use(None, n % 12 == 0, now)
        keepalive.record_use(20 * MS, n % 12 == 0, now)
        keepalive.record_use(300 * MS, n % 2 == 0, now)
    assert 20 * MS < keepalive.limit <= 300 * MS
    lowered = keepalive.limit
    for later in range(11, 120, 11):  # longer idle times are retried step by step
        keepalive.record_use(20 * MS, False, now + later * SECOND)
        assert lowered < keepalive.limit <= highest
        lowered = min(keepalive.limit, highest - 1)
    assert keepalive.limit == highest


def test_a_break_rate_independent_of_the_idle_time_does_not_lower_the_limit():
    keepalive = KeepAlive(Transport())
    for n in range(400):
        for idle_ns in (None, 5 * MS, 300 * MS, 2 * SECOND):
            keepalive.record_use(idle_ns, n % 7 == 0, 0)
    assert keepalive.limit == Transport().idle_timeout_ns


def pool_with_new_units(units: int, out: int) -> Units:
    """Return a pool whose units are new in the list, while `out` attempts are in progress."""
    scheduler = Scheduler(Clock(), Bench._failed)
    pool = Units(scheduler, Transport(), 200, ())
    pool.attempts_out = lambda: out  # type: ignore[method-assign]
    entries = tuple(i.ServerEntry(n, 0, 0, 0, 1, i.ServerState.READY, 0, 1.0) for n in range(units))
    pool.handle_listing(
        Listing(i.ServerList(i.ListKind.FULL, 1, entries), {n: Address("127.0.0.1", 9) for n in range(units)})
    )
    return pool


def test_relays_with_little_traffic_open_no_connection_to_a_new_unit_in_advance():
    # Guards against 40 relays that each open three connections to each of 60 units: 7200 useless handshakes.
    assert sum(pool_with_new_units(60, out=3).open_connections for _ in range(40)) == 0
    # With five attempts in progress per unit, three connections are opened to each new unit.
    assert pool_with_new_units(10, out=48).open_connections >= 27


def test_an_idle_connection_is_kept_for_two_thirds_of_the_configured_time():
    """With a shorter time, a relay that uses a unit every four seconds would dial for each attempt."""

    def idle_timeout_ns(**ceilings):
        return config._transport(Section({"ceilings": ceilings})).idle_timeout_ns

    assert idle_timeout_ns(conn_idle=30 * SECOND) == 20 * SECOND
    assert idle_timeout_ns(conn_idle=300 * MS) == 200 * MS
    assert idle_timeout_ns() == Transport().idle_timeout_ns
