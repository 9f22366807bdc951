"""Requests of clients that have left: none is started long after its client closed the connection."""

import pytest

from tests.stepped import MS, ask, got, reset

LIMITS = {"cores": 1.0, "memory_mb": 192, "sockets": 64}


def queue_behind_silent_clients(cluster):
    """Connect a client while all connections are taken by silent ones; return it."""
    limit = cluster.relay.config.budget.client_connections
    for _ in range(limit):
        cluster.client()
    cluster.until(lambda: len(cluster.relay.clients.connections) == limit)
    late = cluster.client()
    cluster.clients.remove(late)
    return late


@pytest.mark.parametrize("count", [1, 3])
@pytest.mark.parametrize("leave", ["close", "reset"])
def test_requests_of_a_client_that_left_in_the_accept_queue_are_not_started(world, leave, count):
    """Guards against requests that are run, though their client left while the door was full (review/8)."""
    cluster = world(limits=LIMITS)
    late = queue_behind_silent_clients(cluster)
    late.sendall(b"".join(ask(f"late{n}", kind="pay") for n in range(count)))
    cluster.turn(3)
    reset(late) if leave == "reset" else late.close()
    cluster.step(400, 8)
    assert cluster.relay.clients.crowded and cluster.units["u0"].asks() == 0
    assert cluster.relay.module.open_requests == {}


def test_a_request_in_the_accept_queue_is_served_if_its_client_stays(world):
    """Guards against refusing those who waited for a connection and still do."""
    cluster = world(limits=LIMITS)
    late = queue_behind_silent_clients(cluster)
    late.sendall(ask("late", kind="pay"))
    cluster.turn(3)
    cluster.step(400, 8)
    assert cluster.units["u0"].asks() == 1
    late.close()


@pytest.mark.parametrize("leave", ["close", "reset"])
def test_requests_of_a_client_that_left_while_the_relay_stood_still_are_not_started(world, leave):
    """Guards against requests that are run, though their client left before the next poll."""
    cluster = world()
    client = cluster.client()
    cluster.until(lambda: cluster.relay.clients.connections)
    client.sendall(ask("left", kind="pay"))
    reset(client) if leave == "reset" else client.close()
    cluster.clients.remove(client)
    cluster.clock.time += 300 * MS
    cluster.scheduler.turn(cluster.clock.now() - 300 * MS)  # the previous turn ended then
    cluster.turn(8)
    assert cluster.units["u0"].asks() == 0 and cluster.relay.module.open_requests == {}


def test_a_client_that_half_closed_while_the_relay_stood_still_gets_a_final_answer(world):
    """Guards against requests that get no answer at all, because their client may have left."""
    cluster = world()
    client = cluster.client()
    cluster.until(lambda: cluster.relay.clients.connections)
    client.sendall(ask("first") + ask("second"))
    client.shutdown(1)
    cluster.clock.time += 300 * MS
    cluster.scheduler.turn(cluster.clock.now() - 300 * MS)
    cluster.turn(8)
    assert got(client) == 2 * b"-ERR failed\r\n" and cluster.units["u0"].asks() == 0
