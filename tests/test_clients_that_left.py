"""Requests of clients that have left: none is started long after its client closed the connection."""

import pytest

from loftroute.lab.standins import command
from loftroute.relay.closed_requests import ClosedRequests
from tests.stepped import MS, ask, got, reset, served, served_at, value

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


ID = "00000000000000aa"


def ask_with_id(kind="pay", d=2900):
    """Return a request with the id `ID`."""
    verb = "Q.ASK" if kind == "read" else "Q.DO"
    return command(verb, "key", ID, f"c={kind},t=acme,d={d}")


def unit_of(cluster, count):
    """Run until the units have got `count` requests with the id; return the connections that got them."""
    return cluster.until(lambda: (peers := id_receivers(cluster)) and len(peers) == count and peers)


def id_receivers(cluster):
    return [
        peer
        for unit in cluster.units.values()
        for peer, heard in unit.heard.items()
        for _ in range(heard.count(ID.encode()))
    ]


@pytest.mark.parametrize("answered", [False, True])
@pytest.mark.parametrize("leave", ["close", "reset", "half-close"])
def test_an_id_whose_client_left_does_not_run_again_while_its_request_may_run(world, leave, answered):
    """Guards against an id that runs twice when it comes again after its client had left."""
    cluster = world()
    client, other = cluster.client(), cluster.client()
    client.sendall(ask_with_id())
    (peer,) = unit_of(cluster, 1)
    if leave == "half-close":
        client.shutdown(1)
    else:
        cluster.clients.remove(client)
        reset(client) if leave == "reset" else client.close()
    cluster.step(40)
    if answered:
        peer.sendall(served(b"V"))
        cluster.step(40)
    other.sendall(ask_with_id())
    cluster.step(40)
    assert got(other) == b"-ERR failed\r\n" and len(id_receivers(cluster)) == 1
    assert cluster.relay.module.counters["id in use"] == 1


def test_an_id_whose_client_left_may_be_used_again_after_its_deadline(world):
    """Guards against ids that stay in use for good, and their memory."""
    cluster = world()
    client = cluster.client()
    client.sendall(ask_with_id(d=2900))
    unit_of(cluster, 1)[0].sendall(served(b"V"))
    cluster.clients.remove(client)
    reset(client)
    cluster.turn(4)
    assert len(cluster.relay.module._closed_requests) == 1
    for _ in range(45):
        cluster.step(100, 1)  # beyond the deadline and the interval at which ids are forgotten
    assert len(cluster.relay.module._closed_requests) == 0
    cluster.client().sendall(ask_with_id())
    unit_of(cluster, 2)


def test_an_id_that_never_ran_may_be_used_again_at_once(world):
    """Guards against refusing the request that a client sends once more because it was turned away."""
    cluster = world()
    client = cluster.client()
    client.sendall(ask_with_id(kind="read", d=200))
    (peer,) = unit_of(cluster, 1)
    peer.sendall(b"-BUSY\r\n")
    cluster.until(lambda: got(client) or cluster.step(20, 1))
    client.sendall(ask_with_id(kind="read"))
    cluster.until(lambda: len(id_receivers(cluster)) >= 2 or cluster.step(20, 1))
    assert cluster.relay.module.counters["id in use"] == 0


def test_ids_of_ended_requests_have_a_bound():
    """Guards against memory that grows with each request whose client has left."""
    closed = ClosedRequests(bound=3)
    for n in range(5):
        closed.add(f"{n}", [], until=100)
    closed.add("never out", [], until=0)
    assert len(closed) == 3 and closed.is_in_use("4", 99) and not closed.is_in_use("0", 99)
    assert not closed.is_in_use("4", 100)
    closed.forget_unused(100)
    assert len(closed) == 0


def answer_all(cluster, except_for=b"no key"):
    """Answer the requests that the units have got, but the one with a certain key."""
    for unit in cluster.units.values():
        for peer, heard in list(unit.heard.items()):
            if heard and except_for not in heard:
                unit.heard[peer] = b""
                peer.sendall(served(b"V"))


def warm_up(cluster):
    """Leave more connections to the units at rest than a client can have commands open."""
    clients, received = [cluster.client(), cluster.client()], b""
    for client in clients:
        client.sendall(b"".join(ask(f"warm{n}") for n in range(48)))
    cluster.turn(100)
    answer_all(cluster)
    for _ in range(30):
        cluster.step(1, 1)
        received += b"".join(got(client) for client in clients)
    assert received == 96 * value(b"V")
    cluster.step(30)


@pytest.mark.parametrize("count", [80, 300])
def test_requests_behind_64_open_ones_are_not_started_once_their_client_has_closed(world, count):
    """Guards against requests sent on for a client that closed with much still unread (review/9)."""
    cluster = world(units=8)
    warm_up(cluster)
    client = cluster.client()
    client.sendall(b"".join(ask(f"key{n}") for n in range(count)))
    cluster.turn(30)
    sent = sum(unit.asks() for unit in cluster.units.values())
    assert sent == 64
    client.close()
    cluster.clients.remove(client)
    cluster.step(250)
    (first,) = [unit.asked(b"key0\r\n") for unit in cluster.units.values() if b"key0\r\n" in unit.look()]
    first.sendall(served(b"V"))
    for _ in range(8):
        cluster.step(20, 2)
    assert sum(unit.asks() for unit in cluster.units.values()) == sent


def test_commands_behind_64_open_ones_are_processed_if_the_first_is_answered_last(world):
    """Guards against whole commands that stay in the buffer, since nothing wakes their connection."""
    cluster = world(units=8)
    warm_up(cluster)
    client, received = cluster.client(), b""
    client.sendall(b"".join(ask(f"key{n}") for n in range(70)))
    cluster.turn(30)
    answer_all(cluster, except_for=b"key0\r\n")
    cluster.turn(10)
    for _ in range(60):
        answer_all(cluster)
        cluster.step(5, 1)
        received += got(client)
    assert received == 70 * value(b"V")


def test_a_request_that_no_unit_could_take_is_not_started_a_tenth_of_a_second_after_its_client_closed(world):
    """Guards against a grace for half-closing clients that is longer than the protocol's limit."""
    cluster = world()
    cluster.tell(generation=2, u0="DRAINING")
    client = cluster.client()
    cluster.until(lambda: cluster.relay.clients.connections)
    client.sendall(ask(kind="pay"))
    client.close()
    cluster.clients.remove(client)
    cluster.turn(3)
    assert len(cluster.relay.module.open_requests) == 1
    cluster.step(95)
    cluster.tell(generation=3)  # now a unit is available
    for _ in range(10):
        cluster.step(5)
    assert cluster.units["u0"].asks() == 0 and cluster.relay.module.open_requests == {}


def send_more_than_buffers_hold(cluster, client, commands):
    """Send commands until the relay takes no more; return the number of bytes that the system accepted."""
    data, sent, stuck = b"".join(commands), 0, 0
    while stuck < 20 and sent < len(data):
        try:
            sent += client.send(data[sent : sent + (1 << 16)])
            stuck = 0
        except BlockingIOError:
            stuck += 1
            cluster.turn()
    cluster.turn(30)
    return sent


def ask_with_body(key, body_bytes):
    """Return an unsafe request with a body."""
    return ask(key, kind="pay").replace(b"*4", b"*5", 1) + b"$%d\r\n%b\r\n" % (body_bytes, b"B" * body_bytes)


def requests_sent(cluster):
    """Return the number of requests that the units have got."""
    return sum(unit.asks() for unit in cluster.units.values())


def begun_after_close(cluster, client):
    """Close a client, have the units turn away all but its first request 250 ms later.

    Return the number of requests that were sent to units after the close.
    """
    sent = requests_sent(cluster)
    client.close()
    cluster.clients.remove(client)
    for _ in range(10):
        cluster.step(25)
    for unit in cluster.units.values():
        for peer, heard in list(unit.heard.items()):
            if heard and b"key0\r\n" not in heard:
                peer.sendall(b"-BUSY\r\n")
    for _ in range(8):
        cluster.step(20, 2)
    return requests_sent(cluster) - sent


@pytest.mark.parametrize("behind", [b"?\r\n", b"?\r\n" + b"y" * 1_000_000])
def test_no_attempt_is_begun_for_a_client_that_closed_after_it_broke_the_framing(world, behind):
    """Guards against attempts for a client whose end is not looked for, since what it sends can't be read."""
    cluster = world(units=2)
    client = cluster.client()
    send_more_than_buffers_hold(cluster, client, [ask("key0", kind="pay"), ask("key1", kind="pay"), behind])
    cluster.until(lambda: sum(unit.asks() for unit in cluster.units.values()) == 2)
    client.close()
    cluster.clients.remove(client)
    for _ in range(10):
        cluster.step(15)
    for unit in cluster.units.values():
        for peer, heard in list(unit.heard.items()):
            if b"key1" in heard:
                peer.sendall(b"-BUSY\r\n")
    for _ in range(6):
        cluster.step(20)
    assert sum(unit.asks() for unit in cluster.units.values()) == 2


def test_a_client_that_half_closed_after_it_broke_the_framing_gets_its_answer(world):
    """Guards against a request that is read and gets no answer, because of what came behind it."""
    cluster = world()
    client = cluster.client()
    client.sendall(ask("key0") + b"?\r\n")
    client.shutdown(1)
    cluster.turn(4)
    cluster.step(200)
    served_at(cluster, b"key0")
    received = b""
    for _ in range(10):
        cluster.step(5, 1)
        received += got(client)
    assert received.startswith(value(b"V") + b"-ERR") and received.count(b"-ERR") == 1


def test_an_open_request_gets_its_final_answer_before_a_broken_connection_is_closed(world):
    """Guards against a request that is read and gets no answer, since what came behind it can't be read."""
    cluster = world()
    client = cluster.client()
    client.sendall(ask("key0", kind="pay") + b"?\r\n")
    received = b""
    for _ in range(30):
        cluster.step(100, 2)
        received += got(client)
    assert received.startswith(b"-ERR failed\r\n-ERR") and received.count(b"-ERR") == 2
    assert not cluster.relay.clients.connections


class RecallThatRecordsNothing:
    """Stand-in for the records of requests: admits and sends everything at once."""

    def __init__(self, module):
        self._module = module
        self.gone = 0

    def handle_call(self, job, ticket, waited):
        self._module.admit(job, ticket, waited)

    def record_intent(self, attempt):
        self._module.send_after_intent(attempt)

    def record_outcome(self, attempt, result):
        pass

    def client_gone(self, job):
        self.gone += 1


@pytest.mark.parametrize("body", [10, 20_000])
def test_with_records_no_attempt_is_begun_for_a_client_that_closed_behind_64_open_commands(world, body):
    """Guards against attempts for clients that have left, with recall enabled."""
    cluster = world(units=8)
    recall = cluster.relay.module.recall = RecallThatRecordsNothing(cluster.relay.module)
    warm_up(cluster)
    client = cluster.client()
    send_more_than_buffers_hold(cluster, client, [ask_with_body(f"key{n}", body) for n in range(300)])
    assert requests_sent(cluster) == 64
    assert begun_after_close(cluster, client) == 0
    assert recall.gone or body > 10


@pytest.mark.parametrize("body", [2000, 60000])
def test_no_attempt_is_begun_for_a_client_that_closed_behind_a_full_receive_window(world, body):
    """Guards against attempts for a client whose end waits behind what the relay does not read."""
    cluster = world(units=8)
    warm_up(cluster)
    client = cluster.client()
    commands = [ask_with_body(f"key{n}", body) for n in range(900)]
    assert send_more_than_buffers_hold(cluster, client, commands) > 64 * body
    assert requests_sent(cluster) == 64
    assert begun_after_close(cluster, client) == 0
