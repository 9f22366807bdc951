"""Race conditions between lists, release news and votes (`docs/races.md`)."""

import contextlib
import json
import socket
from itertools import pairwise

import pytest
from loguru import logger

from loftroute import config
from loftroute.decision import interface as i
from loftroute.lab.setup import setup
from loftroute.protocol.catalog import Address
from tests.harness import Relay
from tests.stepped import MS, SECOND, Unit, ask, got, served_at, value


def waiting_call(cluster):
    """Return the connection on which a call to discovery has arrived; None if there is none."""
    cluster.discovery.setblocking(False)
    peers = cluster.__dict__.setdefault("calls", [])
    with contextlib.suppress(BlockingIOError):
        peers.append(cluster.discovery.accept()[0])
    return next((peer for peer in reversed(peers) if b"GET" in got(peer)), None)


def answer_if_called(cluster, document) -> None:
    """Answer a call to discovery if one has arrived."""
    cluster.turn(2)
    if peer := waiting_call(cluster):
        body = json.dumps(document).encode()
        peer.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        cluster.turn(2)


def discovery_answers(cluster, document, indented=False) -> None:
    """Answer the call to discovery, waiting for it if necessary."""
    peer = cluster.until(lambda: waiting_call(cluster))
    body = json.dumps(document, indent=1 if indented else None).encode()
    peer.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
    cluster.turn(3)


def test_a_list_with_a_duplicate_entry_changes_nothing_and_is_logged_once(world):
    cluster = world(units=2)
    lines = []
    sink = logger.add(lambda line: lines.append(str(line)), level="WARNING")
    duplicated = cluster.listed(generation=40)
    duplicated["instances"].append({**duplicated["instances"][0], "lifecycle": "DRAINING"})
    for _ in range(3):
        discovery_answers(cluster, duplicated)
        cluster.step(300)
    logger.remove(sink)
    assert cluster.relay.discovery.versions.version == 1 and cluster.relay.discovery.failures == 3
    assert cluster.relay.units.units[1].entry.state is i.ServerState.READY
    assert len([line for line in lines if "twice" in line]) == 1
    discovery_answers(cluster, cluster.listed(generation=41))  # the next list is accepted
    assert cluster.relay.discovery.versions.version == 41


def test_stale_lists_that_arrive_immediately_cause_no_busy_loop(world):
    cluster = world()
    discovery_answers(cluster, cluster.listed(generation=40))
    started_at = cluster.relay.discovery.lists
    for _ in range(20):  # 400 ms
        with contextlib.suppress(AssertionError):
            answer_if_called(cluster, cluster.listed(generation=3))
        cluster.step(20, 1)
    assert 2 <= cluster.relay.discovery.lists - started_at <= 4


def test_a_short_drain_grace_shortens_the_watch():
    for grace, most in ((300 * MS, 300 * MS), (SECOND, SECOND), (0, SECOND)):
        raw = {
            "listen": "127.0.0.1:1",
            "discovery": "127.0.0.1:1",
            "seed": "1f",
            "settings": setup(obligations={"drain_grace": grace}),
        }
        transport = config.read(raw, {}).transport
        assert transport.watch_retry_wait_ns + transport.watch_grace_ns + transport.backoff(9) <= most


def test_an_agent_that_restarts_its_versions_is_followed_again(world):
    cluster = world(units=2)
    discovery_answers(cluster, cluster.listed(generation=40))
    assert cluster.relay.discovery.versions.version == 40
    started_at = cluster.clock.now()
    older = {**cluster.listed(generation=3), "instances": cluster.listed()["instances"][:1]}
    while len(cluster.relay.units.units) == 2:
        cluster.step(500)
        discovery_answers(cluster, older)
        assert cluster.clock.now() - started_at < 4 * SECOND
    assert cluster.clock.now() - started_at >= 2 * SECOND  # an agent may lag behind for that long
    assert cluster.relay.discovery.versions.version == 3
    discovery_answers(cluster, cluster.listed(generation=4), indented=True)
    assert len(cluster.relay.units.units) == 2


def test_an_address_change_after_a_stale_list_requests_the_full_list(world):
    cluster = world()
    discovery_answers(cluster, cluster.listed(generation=40))
    cluster.relay.discovery.mailbox.put(i.Fetch())
    discovery_answers(cluster, cluster.listed(generation=39))  # stale: the actor pauses
    cluster.step(250)
    # A stale answer to the request for the full list:
    discovery_answers(cluster, cluster.listed(generation=39))
    elsewhere = socket.create_server(("127.0.0.1", 0))
    cluster.relay.discovery.move(Address(*elsewhere.getsockname()))
    cluster.step(250)
    elsewhere.setblocking(False)
    peer = cluster.until(lambda: next((elsewhere.accept()[0] for _ in range(1)), None))
    assert cluster.until(lambda: got(peer)).startswith(b"GET /catalog/members HTTP")
    elsewhere.close()


def test_a_silent_discovery_agent_is_called_again_within_the_drain_grace(world):
    """Changes count as known to the relay once the agent recovers, even if it never answers the open call."""
    cluster = world()
    cluster.turn(3)
    cluster.step(1500)  # the first call is abandoned
    calls = []
    for _ in range(300):
        cluster.step(10, 1)
        cluster.discovery.setblocking(False)
        try:
            cluster.clients.append(cluster.discovery.accept()[0])  # kept open without an answer
        except BlockingIOError:
            continue
        calls.append(cluster.clock.now())
    gaps = [b - a for a, b in pairwise(calls[1:])]
    assert len(gaps) >= 3 and max(gaps) <= 900 * MS  # well below the drain grace of one second


def test_a_late_vote_answer_does_not_raise_the_cap_again():
    relay = Relay()
    relay.fleet(4, 2)
    relay.news(phase=0, stage=1, cap=0.5)
    relay.news(phase=1, stage=1, cap=0.0)
    relay.news(phase=0, stage=1, cap=0.5, reply=1)  # sent earlier, arrives later
    relay.serve(40)
    assert relay.instance.release_state.phase == 1
    assert not any(server > 100 for (ref, _), server in relay.open.items())
    relay.news(phase=0, stage=0, cap=0.2, build=3, reply=1)  # the next build
    assert relay.instance.release_state.build == 3


def test_a_relay_with_a_silent_platform_becomes_ready(world):
    cluster = world()
    cluster.relay.module._missing_inputs.add(i.ReleaseNews)
    assert not cluster.relay.module.is_ready
    cluster.step(2100)
    assert cluster.relay.module.is_ready


@pytest.mark.parametrize("late_version", [2, 9])
@pytest.mark.parametrize("silent_from", ["before", "head", "body", "chunk"])
def test_a_silent_watch_is_followed_by_another_and_its_late_answer_counts_by_its_version(
    world, silent_from, late_version
):
    """The requirement: changes count as known to the relay 6 s after the agent fell silent, or 2 s after the
    wait of the call is over. A late answer counts too (issue 60), unless it is older than what is known."""
    cluster = world(units=2)
    watch = cluster.until(lambda: waiting_call(cluster))
    late = json.dumps(cluster.listed(generation=late_version, whole=False, u0="DELETED")).encode()
    answers = {
        "before": b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(late), late),
        "chunk": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"%x\r\n%b\r\n0\r\n\r\n" % (len(late), late),
    }
    raw = answers.get(silent_from, answers["before"])
    cut = {"before": 0, "head": 20, "body": len(raw) - 30, "chunk": len(raw) - 20}[silent_from]
    watch.sendall(raw[:cut])
    started_at, second = cluster.clock.now(), None
    while second is None:
        cluster.step(50)
        second = waiting_call(cluster)
        assert cluster.clock.now() - started_at <= 2 * SECOND
    with contextlib.suppress(OSError):
        watch.sendall(raw[cut:])  # in the same poll as the new call's answer
    body = json.dumps(cluster.listed(generation=3, whole=False, u0="DRAINING")).encode()
    second.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
    cluster.until(lambda: cluster.relay.discovery.versions.version == max(late_version, 3))
    cluster.turn(4)
    if late_version == 9:
        assert cluster.relay.discovery.versions.version == 9
        assert 1 not in cluster.relay.units.units
    else:
        assert cluster.relay.discovery.versions.version == 3
        assert cluster.relay.units.units[1].entry.state is i.ServerState.DRAINING


@pytest.mark.parametrize("order", [("change", "full"), ("full", "change")])
def test_a_full_list_and_a_change_that_cross_leave_the_later_version(world, order):
    cluster = world(units=2)
    documents = {
        "change": cluster.listed(generation=6, whole=False, u0="DRAINING"),
        "full": cluster.listed(generation=5),
    }
    for name in order:
        discovery_answers(cluster, documents[name])
    assert cluster.relay.discovery.versions.version == 6
    assert cluster.relay.units.units[1].entry.state is i.ServerState.DRAINING


def test_with_discovery_down_at_the_start_the_cached_list_is_used(world):
    cluster = world()
    cluster.discovery.close()
    assert cluster.relay.module.is_ready
    client = cluster.client()
    client.sendall(b"*1\r\n$4\r\nPING\r\n" + ask())
    served_at(cluster, b"Q.ASK")
    received = [b""]

    def has_both_answers():
        received[0] += got(client)
        return received[0] == b"+PONG\r\n" + value(b"V")

    cluster.until(has_both_answers)


def test_with_the_cached_units_gone_the_relay_is_ready_and_serves_from_the_first_list(world):
    cluster = world()
    cluster.units.pop("u0").listener.close()  # connections are refused from now on
    client = cluster.client()
    client.sendall(b"*1\r\n$4\r\nPING\r\n" + ask("early"))
    received = cluster.until(lambda: got(client) or cluster.step(20, 1))
    cluster.step(500)
    assert (received + got(client)).startswith(b"+PONG\r\n-BUSY")  # it never ran, so a retry is safe
    new_unit = cluster.units["u1"] = Unit()
    discovery_answers(cluster, cluster.listed(generation=7))
    client.sendall(ask("waits"))
    cluster.until(lambda: new_unit.asks() or cluster.step(20, 1))
    served_at(cluster, b"waits")
    cluster.until(lambda: got(client) == value(b"V"))


@pytest.mark.parametrize("times", [1, 2])
def test_a_reload_during_a_watch_follows_the_new_address_and_ignores_the_old_answer(world, times):
    cluster = world(units=2)
    watch = cluster.until(lambda: waiting_call(cluster))
    elsewhere = socket.create_server(("127.0.0.1", 0))
    late = json.dumps(cluster.listed(generation=9, whole=False, u0="DELETED")).encode()
    for _ in range(times):
        cluster.relay._apply_addresses(config.ControlAddresses(Address(*elsewhere.getsockname()), None))
    with contextlib.suppress(OSError):
        watch.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(late), late))
    cluster.discovery.close()
    cluster.discovery = elsewhere
    cluster.calls = []
    peer = cluster.until(lambda: waiting_call(cluster))
    body = json.dumps(cluster.listed(generation=4)).encode()
    peer.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
    cluster.turn(4)
    assert cluster.relay.discovery.versions.version == 4 and len(cluster.relay.units.units) == 2


@pytest.mark.parametrize("first", ["news", "answer"])
def test_stage_news_and_a_votes_answer_that_cross_leave_the_later_stage(first):
    relay = Relay()
    relay.fleet(4, 2)
    relay.news(stage=0, cap=0.2)
    documents = {"news": {"stage": 1, "cap": 0.5}, "answer": {"stage": 0, "cap": 0.2, "reply": 1}}
    for name in ("news", "answer") if first == "news" else ("answer", "news"):
        relay.news(**documents[name])
    assert (relay.instance.release_state.stage, relay.instance.release_state.cap) == (1, 0.5)
