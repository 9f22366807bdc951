"""When waiting commands arrived, and what units are told of the time that is left."""

import re

import pytest

from loftroute.relay.arrival_times import ArrivalTimes
from tests.stepped import MS, ask
from tests.test_clients_that_left import (
    answer_all,
    queue_behind_silent_clients,
    send_more_than_buffers_hold,
    warm_up,
)

D = re.compile(rb",d=(\d+)")


def test_a_byte_arrived_by_the_first_note_that_covers_it():
    arrivals = ArrivalTimes(resolution_ns=10)
    arrivals.note(100, 1000)
    arrivals.note(100, 1500)
    arrivals.note(300, 2000)
    assert [arrivals.arrival_of(offset) for offset in (1, 100, 101, 300, 301)] == [
        1000,
        1000,
        2000,
        2000,
        None,
    ]
    assert len(arrivals) == 0


def test_notes_close_together_count_as_the_first():
    arrivals = ArrivalTimes(resolution_ns=10)
    for n in range(10_000):
        arrivals.note(n + 1, 1000 + n)
    assert len(arrivals) == 1000
    assert arrivals.arrival_of(9) == 1000 and arrivals.arrival_of(10_000) == 10_990


@pytest.mark.parametrize("in_buffer", [True, False])
def test_a_request_that_waited_behind_others_tells_its_unit_the_time_that_is_left(world, in_buffer):
    """Guards against time limits that count from when a waiting command was processed."""
    cluster = world(units=8)
    warm_up(cluster)
    client = cluster.client()
    count = 70 if in_buffer else 400  # 70 commands and more are in the buffer, the rest is read ahead
    client.sendall(b"".join(ask(f"key{n}", d=2000) for n in range(count)))
    cluster.turn(30)
    assert sum(unit.asks() for unit in cluster.units.values()) == 64
    for _ in range(10):
        cluster.step(50, 1)
    for unit in cluster.units.values():
        for peer, heard in list(unit.heard.items()):
            unit.heard[peer] = b""
            if heard:
                peer.sendall(b"*3\r\n$1\r\nV\r\n$-1\r\n$-1\r\n")
    cluster.turn(40)
    told = [int(ms) for unit in cluster.units.values() for ms in D.findall(b"".join(unit.heard.values()))]
    assert told and max(told) <= 1500
    answer_all(cluster)


@pytest.mark.parametrize("memory_mb", [192, 32])
def test_requests_sent_before_their_connection_was_accepted_tell_their_units_the_time_that_is_left(
    world, memory_mb
):
    """Guards against a wait in the accept queue that only counts for the commands of the first read."""
    cluster = world(units=2, limits={"cores": 1.0, "memory_mb": memory_mb, "sockets": 64})
    late = queue_behind_silent_clients(cluster)
    sent_at, open_requests = cluster.clock.now(), cluster.relay.module.open_requests
    late.sendall(b"".join(ask(f"late{n}", kind="pay", d=2000) for n in range(40)))
    cluster.turn(3)
    cluster.until(lambda: len(open_requests) > 16 or cluster.step(10, 1))  # more than one turn reads
    assert cluster.clock.now() - sent_at >= 50 * MS
    assert max(request.deadline for request in open_requests.values()) <= sent_at + 2000 * MS
    late.close()


def test_what_the_system_kept_unread_counts_from_when_all_was_read_last(world):
    """Guards against time limits that count from when a command was read, beyond what is read ahead."""
    cluster = world(units=8)
    warm_up(cluster)
    client = cluster.client()
    data = [ask(f"key{n}", kind="pay", d=2000) + b"$4000\r\n" + b"B" * 4000 + b"\r\n" for n in range(300)]
    send_more_than_buffers_hold(cluster, client, [command.replace(b"*4", b"*5", 1) for command in data])
    for _ in range(10):
        cluster.step(50, 1)
    told = []
    for _ in range(60):
        for unit in cluster.units.values():
            for peer, heard in list(unit.heard.items()):
                if heard:
                    told += [(len(told), int(ms)) for ms in D.findall(heard)]
                    unit.heard[peer] = b""
                    peer.sendall(b"*3\r\n$1\r\nV\r\n$-1\r\n$-1\r\n")
        cluster.step(5)
    later = [ms for n, ms in told if n >= 64]
    assert len(later) > 64 and max(later) <= 1500
