"""Race conditions on connections to units (`docs/races.md`)."""

import contextlib
import socket

import pytest

from loftroute.decision import interface as i
from loftroute.lab.setup import setup
from loftroute.relay.units import Attempt
from loftroute.runtime.stream import Stream
from tests.harness import Relay, named
from tests.stepped import (
    MS,
    SECOND,
    Unit,
    ask,
    ended,
    fill,
    free,
    got,
    long_request,
    reset,
    served,
    served_at,
    value,
)


def attempt_within(cluster, length, results):
    """Return an attempt, beside the module's own, whose last byte must be written within `length` (ns)."""
    client = cluster.client()
    client.sendall(ask("within", d=2900).replace(b"within", b"module"))
    cluster.until(lambda: cluster.units["u0"].asks())
    request = next(iter(cluster.relay.module.open_requests.values()))
    now = cluster.clock.now()
    return Attempt(
        request.job,
        1,
        1,
        now,
        now + 2 * SECOND,
        lambda a, r: results.append((r.outcome, cluster.clock.now() - now)),
        now + length,
    )


def test_a_dial_completed_after_the_idempotency_window_sends_nothing(world):
    cluster, results = world(), []
    late = attempt_within(cluster, 10 * MS, results)
    cluster.relay.units.units[1]._assign(late)
    cluster.turn(1)  # the dial has started and completes before the next poll
    cluster.clock.time += 11 * MS
    cluster.turn(4)
    assert [outcome for outcome, _ in results] == [i.Outcome.CONNECT_FAILED] and cluster.units[
        "u0"
    ].asks() == 1


def test_a_completed_dial_is_not_written_to_after_the_idempotency_window(world):
    cluster, results = world(), []
    late = attempt_within(cluster, 10 * MS, results)
    cluster.relay.units.units[1]._assign(late)
    connection = late.connection
    dial = connection._dial

    def dial_slowly():
        dial()
        cluster.clock.time += 11 * MS  # the process was paused after the dial

    connection._dial = dial_slowly
    cluster.turn(6)
    assert [outcome for outcome, _ in results] == [i.Outcome.CONNECT_FAILED] and cluster.units[
        "u0"
    ].asks() == 1


def test_an_unanswered_dial_ends_with_the_idempotency_window(world):
    cluster, results = world(backlog=0), []
    late = attempt_within(cluster, 100 * MS, results)
    unit = cluster.units["u0"]
    blockers = [socket.socket() for _ in range(4)]
    unit.look = lambda reading=True: b""
    for sock in blockers:
        sock.setblocking(False)
        sock.connect_ex(unit.listener.getsockname())
    cluster.relay.units.units[1]._assign(late)
    cluster.until(lambda: results or cluster.step(20, 1))
    # Less than the dial timeout, 250 ms:
    assert results[0][0] is i.Outcome.CONNECT_FAILED and results[0][1] < 150 * MS
    for sock in blockers:
        sock.close()


def test_an_attempt_that_waits_for_a_connection_ends_with_the_idempotency_window(world):
    cluster, results = world(), []
    late = attempt_within(cluster, 100 * MS, results)
    cluster.relay.units.units[1].waiting.append(late)
    cluster.scheduler.wake(cluster.relay.units.units[1].mailbox.owner)
    cluster.until(lambda: results or cluster.step(20, 1))
    assert results[0][0] is i.Outcome.CONNECT_FAILED and results[0][1] < 150 * MS


def test_a_partly_written_request_is_not_completed_after_the_idempotency_window(world):
    cluster, results = world(buffer=4096), []
    client, unit = cluster.client(), cluster.units["u0"]
    client.sendall(ask("warm"))
    served_at(cluster, b"warm")
    cluster.until(lambda: got(client) == value(b"V"))
    cluster.step(30)
    idle = cluster.relay.units.units[1].idle.pop()
    idle._stream._sock.setsockopt(1, 7, 4096)  # SO_SNDBUF
    late = attempt_within(cluster, 100 * MS, results)
    late.job.tail = memoryview(b"$65000\r\n" + b"x" * 65000 + b"\r\n")
    read, unit.look = unit.look, lambda reading=True: b""
    idle.start_attempt(late)
    assert idle._stream.unsent_bytes and not late.written_at
    cluster.until(lambda: results or cluster.step(20, 1))
    assert results[0][0] is i.Outcome.CONNECT_FAILED and results[0][1] < 150 * MS and not late.written_at
    assert b"x" * 100 in read() and read().count(b"x") < 65000


def test_an_attempt_gets_the_end_of_the_idempotency_window(world):
    cluster = world(
        units=2,
        services=[
            {
                "name": "put",
                "effect": "keyed",
                "group": "all",
                "aim": 3 * SECOND,
                "hard_limit": 4 * SECOND,
                "window": 500 * MS,
            }
        ],
    )
    client = cluster.client()
    client.sendall(ask("mark", kind="put"))
    unit = cluster.until(lambda: next((u for u in cluster.units.values() if u.asks()), None))
    request = next(iter(cluster.relay.module.open_requests.values()))
    sent = cluster.clock.now()
    cluster.clock.time += 100 * MS
    peer = unit.asked(b"mark")
    unit.peers.remove(peer)
    reset(peer)
    cluster.until(lambda: len(request.attempts) == 2)
    assert request.attempts[0].last_byte_by == 0
    assert cluster.clock.now() < request.attempts[1].last_byte_by <= sent + 500 * MS


def test_each_retry_carries_the_idempotency_window_and_none_follows_its_end():
    relay = Relay(
        setup(
            services=[
                {
                    "name": "put",
                    "effect": "keyed",
                    "group": "all",
                    "aim": 3 * SECOND,
                    "hard_limit": 4 * SECOND,
                    "window": 500 * MS,
                }
            ]
        )
    )
    relay.fleet(4)
    sent = []

    def handle(event):
        actions = relay.adapter._instances[relay.name].handle(relay.now, event)
        sent.extend(a for a in actions if isinstance(a, i.Send))
        return actions

    handle(i.RequestArrived("a" * 16, "k", 0, 0, 50 * MS, 4 * SECOND, False, False))
    assert sent[0].send_within == 0  # nothing may have run before it
    relay.now += 100 * MS
    handle(i.AttemptEnded("a" * 16, 0, sent[0].server, i.Outcome.RESET, 100 * MS, False, None))
    assert sent[1].send_within == 500 * MS - 100 * MS - relay.instance.settings.clock_granularity
    relay.now += 450 * MS
    given_up = handle(i.AttemptEnded("a" * 16, 1, sent[1].server, i.Outcome.RESET, 100 * MS, False, None))
    # It fails at once and is not refused: a retry by the client could run a second time.
    assert [type(a) for a in given_up] == [i.Fail] and len(sent) == 2


def test_a_keyed_request_is_refused_only_while_the_unit_knows_its_key():
    relay = Relay(
        setup(
            services=[
                {
                    "name": "put",
                    "effect": "keyed",
                    "group": "all",
                    "aim": SECOND,
                    "hard_limit": 4 * SECOND,
                    "window": 4 * SECOND,
                }
            ]
        )
    )
    relay.fleet(1)
    ref, _ = relay.ask()
    relay.now += 1100 * MS
    assert named(relay.answer(ref, "ResetByPeer"), "NOT_NOW")
    relay = Relay(
        setup(
            services=[
                {
                    "name": "put",
                    "effect": "keyed",
                    "group": "all",
                    "aim": SECOND,
                    "hard_limit": 4 * SECOND,
                    "window": 1200 * MS,
                }
            ]
        )
    )
    relay.fleet(1)
    ref, _ = relay.ask()
    relay.now += 1100 * MS
    assert named(relay.answer(ref, "ResetByPeer"), "FINISH_ERROR")


@pytest.mark.parametrize("late", [1, 5, 20])
def test_a_duplicate_answer_that_arrives_late_is_not_the_next_answer(world, late):
    cluster = world()
    clients = [cluster.client(), cluster.client()]
    clients[0].sendall(ask("first"))
    _, peer = served_at(cluster, b"first", b"A")
    cluster.until(lambda: got(clients[0]) == value(b"A"))
    cluster.step(late)
    clients[1].sendall(ask("second"))
    cluster.turn(2)
    peer.sendall(served(b"A"))
    cluster.turn(2)
    cluster.step(30)
    served_at(cluster, b"second", b"B")
    cluster.until(lambda: got(clients[1]) == value(b"B"))


@pytest.mark.parametrize("d", [2900, 100])
def test_a_request_does_not_wait_for_a_connection_in_its_reuse_delay(world, d):
    """Another connection is opened instead, until the pool has enough of them for each to settle."""
    cluster = world(services=[{"name": "read", "effect": "safe", "aim": d * MS, "hard_limit": d * MS}])
    client, unit = cluster.client(), cluster.units["u0"]
    for n in range(40):
        client.sendall(ask(f"key{n:02}", d=d))
        started_at = cluster.clock.now()
        cluster.until(lambda n=n: any(b"key%02d" % n in h for h in unit.heard.values()) or cluster.step(1, 2))
        assert cluster.clock.now() - started_at <= 3 * MS
        served_at(cluster, b"key%02d" % n)
        cluster.until(lambda: got(client) == value(b"V"))
        cluster.step(5)
    assert cluster.relay.units.dials <= 7  # a request every 5 ms, each connection reused after 25 ms


def test_an_answer_noticed_together_with_the_deadline_counts(world):
    cluster = world()
    client = cluster.client()
    client.sendall(ask(kind="pay"))
    cluster.until(lambda: cluster.units["u0"].asks())
    request = next(iter(cluster.relay.module.open_requests.values()))
    cluster.units["u0"].asked(b"Q.DO").sendall(served(b"V"))
    cluster.clock.time = request.attempts[0].deadline
    cluster.turn(2)
    assert got(client) == value(b"V")


@pytest.mark.parametrize("how", ["close", "reset"])
def test_a_truncated_answer_fails_an_unsafe_request_without_a_retry(world, how):
    cluster = world(units=2)
    answer = served(b"VALUE")
    for cut in range(len(answer)):
        client = cluster.client()
        client.sendall(ask(f"cut{cut}", kind="pay"))
        unit = cluster.until(
            lambda cut=cut: next(
                (u for u in cluster.units.values() if any(b"cut%d\r" % cut in h for h in u.heard.values())),
                None,
            )
        )
        peer = unit.asked(b"cut%d\r" % cut)
        unit.heard[peer] = b""
        peer.sendall(answer[:cut])
        if how == "reset":
            cluster.turn(2)
            unit.peers.remove(peer)
            reset(peer)
        else:
            peer.shutdown(1)
        cluster.until(lambda c=client: got(c) == b"-ERR failed\r\n")
        assert not any(b"cut%d\r" % cut in u.look() for u in cluster.units.values())
        cluster.relay.balancer.retry_tokens = 20.0


def test_an_answer_that_arrives_byte_by_byte_is_served(world):
    cluster = world()
    client = cluster.client()
    client.sendall(ask())
    cluster.until(lambda: cluster.units["u0"].asks())
    peer = cluster.units["u0"].asked(b"Q.ASK")
    for byte in served(b"VALUE"):
        peer.sendall(bytes([byte]))
        cluster.step(1, 1)
    cluster.until(lambda: got(client) == value(b"VALUE"))


def test_an_idle_close_not_yet_reported_by_poll_costs_no_request(world):
    cluster = world()
    client = cluster.client()
    client.sendall(ask("first"))
    _, peer = served_at(cluster, b"first")
    cluster.until(lambda: got(client) == value(b"V"))
    cluster.step(50)
    peer.shutdown(1)  # together with the next request, before the poll
    client.sendall(ask("second", kind="pay"))
    served_at(cluster, b"second")
    cluster.until(lambda: got(client) == value(b"V"))


@pytest.mark.parametrize(
    "change",
    [
        {"hostPort": "elsewhere"},
        {"hostPort": "elsewhere", "startedAtMs": 1},
        {"startedAtMs": 1_000_001},
        {"release": 42},
        {"cell": 5},
        {"zone": "b"},
    ],
)
@pytest.mark.parametrize("when", ["idle", "out"])
def test_a_reused_id_gets_no_request_on_a_connection_to_the_old_process(world, change, when):
    """The connection was idle, or in use, when the list reported another machine or process under its id."""
    cluster = world(
        zones=["a", "b"],
        obligations__cold=MS,
        services=[{"name": "pay", "effect": "unsafe", "aim": 3 * SECOND, "hard_limit": 3 * SECOND}],
    )
    client, unit, other = cluster.client(), cluster.units["u0"], Unit()
    client.sendall(ask("first", kind="pay"))
    cluster.until(lambda: unit.asks())
    if when == "idle":
        served_at(cluster, b"first")
        cluster.until(lambda: got(client) == value(b"V"))
        cluster.step(50)
    listed = cluster.listed(generation=2)
    listed["instances"][0].update({**change, **({"hostPort": other.address} if "hostPort" in change else {})})
    old = set(unit.peers)
    cluster.relay.module.handle_listing(cluster.relay.config.catalog.read_document(listed))
    if when == "out":  # a request that has been sent is answered by the old process
        served_at(cluster, b"first")
        cluster.until(lambda: got(client) == value(b"V"))
    cluster.step(50)
    client.sendall(ask("second", kind="pay"))
    cluster.until(lambda: any(b"second" in u.look() for u in (unit, other)) or cluster.step(5, 1))
    receiver = other if "hostPort" in change else unit
    assert any(b"second" in heard for peer, heard in receiver.heard.items() if peer not in old)
    assert not any(b"second" in unit.heard[peer] for peer in old)
    other.listener.close()


def test_a_connection_newer_than_a_start_that_is_reported_late_is_kept(world):
    cluster = world(obligations__cold=MS)
    client = cluster.client()
    client.sendall(ask("first"))
    served_at(cluster, b"first")
    cluster.until(lambda: got(client) == value(b"V"))
    cluster.step(50)
    dials = cluster.relay.units.dials
    started = cluster.listed(generation=2)
    started["instances"][0]["startedAtMs"] = 999_999  # earlier than the connection
    cluster.relay.module.handle_listing(cluster.relay.config.catalog.read_document(started))
    client.sendall(ask("second"))
    served_at(cluster, b"second")
    assert cluster.relay.units.dials == dials


def test_a_start_time_that_leaves_the_list_closes_no_connection(world):
    cluster = world()
    started = cluster.listed(generation=2)
    started["instances"][0]["startedAtMs"] = 900_000
    cluster.relay.module.handle_listing(cluster.relay.config.catalog.read_document(started))
    client = cluster.client()
    client.sendall(ask("first"))
    served_at(cluster, b"first")
    cluster.until(lambda: got(client) == value(b"V"))
    cluster.step(50)
    dials = cluster.relay.units.dials
    cluster.tell(generation=3)  # without the start time
    client.sendall(ask("second"))
    served_at(cluster, b"second")
    assert cluster.relay.units.dials == dials


def test_a_connection_in_use_is_closed_after_its_answer_if_its_unit_left_the_list(world):
    cluster = world(units=2)
    clients = [cluster.client(), cluster.client()]
    for n, client in enumerate(clients):
        client.sendall(ask(f"key{n}"))
    cluster.until(lambda: sum(unit.asks() for unit in cluster.units.values()) == 2)
    cluster.tell(generation=2, whole=False, u0="DELETED")
    for n, client in enumerate(clients):
        served_at(cluster, b"key%d" % n)
        cluster.until(lambda c=client: got(c) == value(b"V"))
    cluster.step(50)
    assert cluster.relay.units.open_connections == len(cluster.relay.units.units[2].connections)


def test_a_dial_to_an_old_address_is_aborted_and_the_request_goes_to_the_new_one(world):
    cluster = world(backlog=0)
    unit, other = cluster.units["u0"], Unit()
    # They fill the accept queue, so that dials do not complete:
    blockers = [socket.socket() for _ in range(4)]
    for sock in blockers:
        sock.setblocking(False)
        sock.connect_ex(unit.listener.getsockname())
    unit.look = lambda reading=True: b""
    client = cluster.client()
    client.sendall(ask("moved", kind="pay"))
    cluster.until(lambda: any(c.is_dialling for c in cluster.relay.units.units[1].connections))
    listed = cluster.listed(generation=2)
    listed["instances"][0]["hostPort"] = other.address
    cluster.relay.module.handle_listing(cluster.relay.config.catalog.read_document(listed))
    listed_at = cluster.clock.now()
    cluster.until(lambda: other.asks() or cluster.step(5, 1))
    assert cluster.clock.now() - listed_at < 100 * MS  # not after the dial timeout
    other.asked(b"moved").sendall(served(b"V"))
    cluster.until(lambda: got(client) == value(b"V"))
    for sock in (*blockers, other.listener):
        sock.close()


def test_a_partly_written_request_is_not_completed_after_its_builds_cap_is_lowered(world):
    cluster = world(buffer=4096)
    _, unit, idle = long_request(cluster)
    while not (idle._stream and idle._stream.unsent_bytes):
        cluster.scheduler.turn(cluster.clock.now())
    attempt = idle.attempt
    assert not attempt.written_at
    for cap in (0.5, 0.0):
        cluster.relay.module.handle_news(i.ReleaseNews(i.Phase.TRIAL, 0, 0, i.Outcome.OK, cap, 41, False))
    cluster.scheduler.turn(cluster.clock.now())
    assert attempt.ended and not attempt.written_at and idle not in cluster.relay.units.units[1].connections
    assert len(unit.look()) < 65000


@pytest.mark.parametrize("how", ["close", "reset"])
def test_an_unsafe_request_is_retried_if_its_connection_fails_before_the_last_byte(world, how, monkeypatch):
    cluster = world(units=2, buffer=4096)
    client = cluster.client()
    head = ask("k", kind="pay").replace(b"*4", b"*5", 1)
    small_buffers(monkeypatch)
    client.sendall(head + b"$65000\r\n" + b"x" * 65000 + b"\r\n")

    def partly_written_attempt():
        return next(
            (
                a
                for request in cluster.relay.module.open_requests.values()
                for a in request.attempts
                if a.connection and a.connection._stream and a.connection._stream.unsent_bytes
            ),
            None,
        )

    for _ in range(100):
        cluster.scheduler.turn(cluster.clock.now())
        if attempt := partly_written_attempt():
            break
    first = cluster.units[f"u{attempt.server - 1}"]
    first.look(reading=False)
    for peer in list(first.peers):
        first.peers.remove(peer)
        reset(peer) if how == "reset" else peer.close()
    other = next(u for u in cluster.units.values() if u is not first)
    cluster.until(lambda: b"x" * 65000 in other.look() or b"x" * 65000 in first.look() or cluster.step(5, 1))
    assert attempt.ended and not attempt.written_at
    unit = next(u for u in (other, first) if b"x" * 65000 in u.look())
    unit.asked(b"Q.DO").sendall(served(b"V"))
    cluster.until(lambda: got(client) == value(b"V"))


def small_buffers(monkeypatch):
    """Give connections to units small send buffers, so that a long request is only partly written."""
    dial = Stream.dial.__func__

    def dial_with_small_buffer(cls, *values, **more):
        stream = dial(cls, *values, **more)
        stream._sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        return stream

    monkeypatch.setattr(Stream, "dial", classmethod(dial_with_small_buffer))


@pytest.mark.parametrize("kind", ["read", "pay"])
@pytest.mark.parametrize("how", ["close", "reset"])
def test_a_request_may_have_run_if_its_connection_fails_after_the_last_byte(world, how, kind):
    """The unit has received the complete request: a safe one is retried, an unsafe one fails."""
    cluster = world(units=2)
    client = cluster.client()
    client.sendall(ask("k", kind=kind))
    unit = cluster.until(lambda: next((u for u in cluster.units.values() if u.asks()), None))
    peer = unit.asked(b"Q.")
    unit.peers.remove(peer)
    unit.heard[peer] = b""
    reset(peer) if how == "reset" else peer.close()
    if kind == "pay":
        cluster.until(lambda: got(client) == b"-ERR failed\r\n")
        assert sum(u.asks() for u in cluster.units.values()) == 0
    else:
        served_at(cluster, b"Q.ASK")
        cluster.until(lambda: got(client) == value(b"V"))


def test_an_idle_close_after_the_poll_is_detected_by_the_check_before_a_write(world):
    """The unit's close is in the kernel, and poll has not reported it when the next request is written."""
    cluster = world()
    client = cluster.client()
    client.sendall(ask("first", kind="pay"))
    _, peer = served_at(cluster, b"first")
    cluster.until(lambda: got(client) == value(b"V"))
    cluster.step(50)
    second = ask("second", kind="pay")
    client.sendall(second)
    cluster.scheduler.call_at(0, lambda: peer.shutdown(1))  # after the poll, before the request is sent
    served_at(cluster, b"second")
    cluster.until(lambda: got(client) == value(b"V"))


@pytest.mark.parametrize("first", ["answer", "time-out"])
def test_an_answer_close_to_the_timeout_is_served_at_most_once_and_its_connection_not_reused(world, first):
    cluster = world()
    client = cluster.client()
    client.sendall(ask("late", kind="pay"))
    cluster.until(lambda: cluster.units["u0"].asks())
    request = next(iter(cluster.relay.module.open_requests.values()))
    peer = cluster.units["u0"].asked(b"late")
    connection = request.attempts[0].connection
    if first == "answer":
        peer.sendall(served(b"V"))
        cluster.clock.time = request.attempts[0].deadline
        cluster.turn(2)
        assert got(client) == value(b"V")
        return
    cluster.clock.time = request.attempts[0].deadline
    cluster.turn(1)
    with contextlib.suppress(OSError):
        peer.sendall(served(b"V"))
    cluster.step(20)
    cluster.until(lambda: got(client) == b"-ERR failed\r\n")
    assert connection not in cluster.relay.units.units[1].connections and ended(peer)


def test_an_answer_that_stops_midway_ends_with_the_timeout(world):
    cluster = world()
    client = cluster.client()
    client.sendall(ask("cut", kind="pay", d=500))
    cluster.until(lambda: cluster.units["u0"].asks())
    cluster.units["u0"].asked(b"cut").sendall(served(b"VALUE")[:9])
    started_at = cluster.clock.now()
    answer = cluster.until(lambda: got(client) or cluster.step(20, 1))
    assert answer == b"-ERR failed\r\n" and cluster.clock.now() - started_at <= 550 * MS  # 50 ms of tolerance


def test_a_cancelled_attempt_closes_its_connection(world):
    cluster = world()
    client = cluster.client()
    client.sendall(ask("first"))
    cluster.until(lambda: cluster.units["u0"].asks())
    attempt = next(iter(cluster.relay.module.open_requests.values())).attempts[0]
    old, peer = attempt.connection, cluster.units["u0"].asked(b"first")
    attempt.cancel()
    with contextlib.suppress(OSError):
        peer.sendall(served(b"A"))
    assert attempt.ended and old not in cluster.relay.units.units[1].connections
    cluster.until(lambda: any(b"first" in h for p, h in cluster.units["u0"].heard.items() if p is not peer))
    cluster.units["u0"].heard[peer] = b""
    served_at(cluster, b"first", b"B")
    cluster.until(lambda: got(client) == value(b"B"))


def test_a_deadline_during_a_dial_is_answered_and_the_late_dial_sends_nothing(world):
    cluster = world(backlog=0)
    unit = cluster.units["u0"]
    blockers = fill(unit)
    client = cluster.client()
    client.sendall(ask("late", kind="pay", d=150))
    cluster.until(lambda: any(c.is_dialling for c in cluster.relay.units.units[1].connections))
    started_at = cluster.clock.now()
    answer = cluster.until(lambda: got(client) or cluster.step(10, 1))
    assert answer.startswith(b"-") and cluster.clock.now() - started_at <= 150 * MS
    free(unit, blockers)
    cluster.step(100)
    assert unit.asks() == 0 and cluster.relay.units.open_connections == 0


def test_no_request_exceeds_the_configured_number_of_attempts(world):
    cluster = world(units=3, ceilings__max_attempts=2)
    client = cluster.client()
    client.sendall(ask("again"))
    for _ in range(2):
        unit = cluster.until(
            lambda: (
                next((u for u in cluster.units.values() if b"again" in u.look()), None) or cluster.step(10, 1)
            )
        )
        peer = unit.asked(b"again")
        unit.heard[peer] = b""
        peer.sendall(b"-ERR failed\r\n")
    answer = cluster.until(lambda: got(client) or cluster.step(20, 1))
    cluster.step(100)
    assert answer.startswith(b"-") and not any(b"again" in u.look() for u in cluster.units.values())


def test_a_retry_stays_in_the_group_that_the_first_unit_had(world):
    """The unit that may have run the request moves to another zone; only its old zone drops repeats."""
    relay = Relay(setup(zones=["a", "b"]))
    relay.servers("0 1 healthy 0 1 1 0 0", "1 1 healthy 0 1 2 0 0")
    for _ in range(40):
        ref, actions = relay.ask(cls=1)
        sent = next(a for a in actions if a[0] == "FORWARD")
        if sent[2] == "1":
            break
        relay.answer(ref)
    relay.servers("1 1 healthy 0 1 1 0 0", "1 1 healthy 0 1 2 0 0")
    actions = relay.answer(ref, "ResetByPeer") + relay.wait(500 * MS)
    assert not named(actions, "FORWARD")


@pytest.mark.parametrize("group", ["zone", "cell"])
@pytest.mark.parametrize("named", [True, False])
def test_a_keyed_request_stays_in_its_group_where_the_settings_do_not_name_it(world, group, named):
    """Guards against a repeat in another group, where it takes effect again: unlisted ones had one number."""
    service = {"name": "put", "effect": "keyed", "group": group, "window": 60 * SECOND}
    cluster = world(units=4, services=[{**service, "aim": 2 * SECOND, "hard_limit": 3 * SECOND}])
    listed = cluster.listed(generation=2)
    for number, unit in enumerate(listed["instances"]):
        del unit[group]
        if named:
            unit[group] = number % 2 if group == "cell" else f"hall {number % 2}"
    cluster.relay.module.handle_listing(cluster.relay.config.catalog.read_document(listed))
    client = cluster.client()
    client.sendall(ask("booking", kind="put"))
    receivers: list[int] = []

    def reset_receivers() -> None:
        for number, unit in enumerate(cluster.units.values()):
            if b"booking" in unit.look():
                receivers.append(number)
                peer = unit.asked(b"booking")
                unit.heard.pop(peer)
                unit.peers.remove(peer)
                reset(peer)

    for _ in range(300):
        reset_receivers()
        cluster.step(10, 1)
    assert len(receivers) > 1
    assert len({number % 2 for number in receivers} if named else set(receivers)) == 1
    assert got(client).startswith(b"-ERR")


@pytest.mark.parametrize("state", ["DRAINING", "DELETED"])
def test_a_drain_during_a_dial_sends_the_attempt_elsewhere(world, state):
    cluster = world(backlog=0)
    unit = cluster.units["u0"]
    blockers = fill(unit)
    client = cluster.client()
    client.sendall(ask("moved", kind="pay"))
    cluster.until(lambda: any(c.is_dialling for c in cluster.relay.units.units[1].connections))
    cluster.units["u1"] = Unit()
    cluster.tell(generation=2, whole=False, u0=state, u1="SERVING")
    free(unit, blockers)
    cluster.until(lambda: cluster.units["u1"].asks() or cluster.step(10, 1))
    assert unit.asks() == 0
    served_at(cluster, b"moved")
    cluster.until(lambda: got(client) == value(b"V"))


@pytest.mark.parametrize("rest", [b"$-1\r\n:0\r\n", b"$-1\r\n+\r\n", b"$-1\r\n$0\r\n\r\n"])
def test_a_reply_with_a_short_last_item_is_served_at_once(world, rest):
    """Guards against waiting until the deadline for bytes beyond a complete reply."""
    cluster = world()
    client = cluster.client()
    client.sendall(ask())
    cluster.until(lambda: cluster.units["u0"].asks())
    cluster.units["u0"].asked(b"Q.ASK").sendall(b"*3\r\n$1\r\nV\r\n" + rest)
    cluster.until(lambda: got(client) == value(b"V"))
