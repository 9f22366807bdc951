"""Bounds on the calls to discovery that stay open, without sockets (`relay/call_schedule.py`)."""

import contextlib
import socket
from itertools import pairwise

from loftroute.relay.call_schedule import CallSchedule
from loftroute.transport import Transport
from tests.stepped import SECOND, got
from tests.stepped_agent import SITES, SteppedAgent, told_after

START = 1000 * SECOND


def silent_calls(schedule: CallSchedule, seconds: float) -> tuple[list[int], list[int]]:
    """Let a schedule run beside a silent agent; return when calls started, and the ages of those closed."""
    now, starts, closed_ages = START, [], []
    while now < START + int(seconds * SECOND):
        schedule.replace_overdue(now)
        closed = schedule.take_expired(now)
        if schedule.is_due(now):
            surplus = schedule.make_room()
            closed += [surplus] if surplus else []
            schedule.start(now, 1)
            starts.append(now)
        closed_ages += [now - call.started_at for call in closed]
        now = max(now + 1, schedule.next_event_at(now))
    return starts, closed_ages


def test_beside_a_silent_agent_calls_are_bounded_and_the_oldest_stays():
    """Guards against connections without bound, and against closing the call that a slow agent answers."""
    transport = Transport()
    schedule = CallSchedule(transport, starts_on_order=False)
    starts, closed_ages = silent_calls(schedule, 20)
    assert len(schedule.open_calls) == transport.max_open_calls
    assert schedule.open_calls[0].started_at == starts[0]
    gaps = [later - earlier for earlier, later in pairwise(starts)]
    assert max(gaps[1:]) <= 0.8 * SECOND  # as before calls stayed open
    assert min(closed_ages) >= 4 * SECOND


def test_no_call_stays_open_for_longer_than_the_patience():
    """Guards against a wait without end."""
    transport = Transport()
    _, closed_ages = silent_calls(CallSchedule(transport, starts_on_order=False), 70)
    assert max(closed_ages) == transport.call_patience_ns


def test_an_order_is_needed_after_each_failure_where_lists_are_asked_for():
    """Guards against calls that the decision module did not order."""
    schedule = CallSchedule(Transport(), starts_on_order=True)
    assert not schedule.is_due(START)
    schedule.order_watch(True)
    call = schedule.start(START, 1)
    assert schedule.replace_overdue(START + 2 * SECOND)
    assert not schedule.is_due(START + 60 * SECOND)
    schedule.answered(call, START + 3 * SECOND, has_changes=False)  # late: the watch goes on
    assert schedule.is_due(START + 3 * SECOND)


def test_an_agent_that_needs_many_seconds_is_heard_at_last(world):
    """Guards against the fault of review/7 at another length: no answer is too late for good."""
    for site in SITES:
        relay = world(units=2, **SITES[site])
        agent = SteppedAgent(relay)
        agent.delay_ns = 20 * SECOND
        agent.run(30_000)
        agent.change(u0="DRAINING")
        told_after(agent, relay, 60.0)


def test_long_answers_that_stall_take_bounded_memory(world):
    """Guards against eight unfinished lists of a large fleet."""
    relay = world(**SITES["zagreb-jobs"])
    relay.discovery.setblocking(False)
    peers: list[socket.socket] = []
    body_bytes = 640 << 10  # about 3,200 units
    for _ in range(200):
        with contextlib.suppress(BlockingIOError):
            peers.append(relay.discovery.accept()[0])
        for peer in peers:
            with contextlib.suppress(OSError):
                if b"GET" in got(peer):
                    peer.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n[" % body_bytes)
                    relay.turn()
                    peer.sendall(b" " * 1000)
        relay.step(100, 2)
    assert len(peers) >= 20
    assert relay.scheduler.message_memory.used_bytes <= 2.2 * body_bytes  # the oldest call and the newest
    for peer in peers:
        peer.close()
