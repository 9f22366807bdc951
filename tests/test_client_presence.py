"""What is known of a client's end, and the input that is read ahead to see it."""

import pytest

from loftroute.relay.client_presence import ClientPresence
from loftroute.runtime.memory import MemoryAccount
from loftroute.runtime.read_ahead import ReadAhead
from loftroute.transport import Transport
from tests.stepped import ask, got
from tests.test_clients_that_left import answer_all, ask_with_body, send_more_than_buffers_hold, warm_up

TRANSPORT = Transport(half_close_grace_ns=100, network_margin_ns=10)


def test_requests_may_be_started_for_a_while_after_the_end_was_seen():
    presence = ClientPresence(TRANSPORT)
    presence.end_seen(1000)
    assert presence.next_check == 1100 and not presence.check(1099)
    assert presence.check(1100) and presence.is_over
    assert not presence.check(1200) and presence.next_check is None


def test_unread_input_counts_from_when_all_was_read_last():
    presence = ClientPresence(TRANSPORT)
    presence.input_unread(1000)
    presence.input_unread(1050)
    assert presence.check(1100)
    assert presence.unread_since == 1000
    presence.input_drained(1200, 5000)
    assert presence.is_over and presence.unread_since == 1000
    presence.input_drained(1210, 5100)
    assert not presence.is_over and presence.next_check is None and presence.unread_since is None


def test_an_end_seen_behind_unread_input_counts_from_when_all_was_read_last():
    presence = ClientPresence(TRANSPORT)
    presence.input_unread(1000)
    presence.end_seen(1090)
    presence.input_drained(1090, 1)
    presence.input_drained(1099, 1)
    assert presence.check(1100) and presence.has_ended


def test_a_client_that_took_an_answer_was_there():
    presence = ClientPresence(TRANSPORT)
    presence.input_unread(1000)
    assert presence.check(1100)
    presence.was_there(1150)
    assert not presence.is_over and presence.next_check == 1250


def test_an_earlier_answer_does_not_shorten_the_time():
    presence = ClientPresence(TRANSPORT)
    presence.input_unread(1000)
    presence.was_there(950)
    assert presence.next_check == 1100 and not presence.check(1099)


def test_no_answer_brings_a_client_back_that_has_ended():
    presence = ClientPresence(TRANSPORT)
    presence.end_seen(1000)
    assert presence.check(1100)
    presence.was_there(1150)
    presence.input_drained(1150, 1)
    presence.input_drained(1160, 1)
    assert presence.is_over


def test_a_socket_that_is_emptied_again_and_again_is_not_drained_while_much_comes():
    """Guards against an end that is only on its way, since the receive window was full."""
    presence = ClientPresence(TRANSPORT)
    presence.input_unread(1000)
    for n in range(20):
        presence.input_drained(1000 + 9 * n, n * (TRANSPORT.max_settled_bytes + 1))
    assert presence.check(1180) and presence.unread_since == 1000
    presence.input_unread(1190)
    assert presence.next_check is None
    presence.input_drained(1195, 1)
    presence.input_drained(1204, 1)
    assert presence.is_over
    presence.input_drained(1205, 1)
    assert not presence.is_in_doubt


def test_input_read_ahead_comes_out_in_order_and_is_counted():
    account = MemoryAccount()
    ahead = ReadAhead(account)
    ahead.append(memoryview(b"abc"))
    ahead.append(memoryview(b"defg"))
    space = bytearray(5)
    assert (account.used_bytes, ahead.take_into(memoryview(space)), bytes(space)) == (7, 5, b"abcde")
    assert (len(ahead), account.used_bytes) == (2, 2)
    ahead.clear()
    assert (len(ahead), account.used_bytes) == (0, 0)


@pytest.mark.parametrize(("commands", "body"), [(150, 100), (300, 4000), (200, 20_000)])
def test_a_client_that_stays_gets_an_answer_to_each_of_more_commands_than_are_read_ahead(
    world, commands, body
):
    """Guards against a connection that waits for good for a client that can't be seen."""
    cluster = world(units=8)
    client, received = cluster.client(), b""
    whole = b"".join(ask_with_body(f"key{n}", body) for n in range(commands))
    sent = send_more_than_buffers_hold(cluster, client, [whole])
    for _ in range(400):
        cluster.step(20, 2)  # the client's end can't be seen for longer than requests may be started
        answer_all(cluster)
        received += got(client)
        if sent < len(whole):
            sent += send_more_than_buffers_hold(cluster, client, [whole[sent:]])
        if received.count(b"\r\n") >= 2 * received.count(b"$") and _answers(received) == commands:
            break
    assert _answers(received) == commands
    assert cluster.relay.module.open_requests == {}


def _answers(data):
    """Return the number of answers: values, refusals and errors."""
    return data.count(b"$1\r\n") + data.count(b"-")


def test_what_is_read_ahead_is_bounded(world):
    """Guards against memory that grows with what clients send behind their open commands."""
    cluster = world(units=2)
    client = cluster.client()
    bound = cluster.relay.config.transport.max_read_ahead_bytes
    data = [ask(f"key{n}") for n in range(30_000)]
    assert send_more_than_buffers_hold(cluster, client, data) > 2 * bound
    (connection,) = cluster.relay.clients.connections
    assert 0 < connection.partly_read <= bound + (1 << 13)
    client.close()
    cluster.clients.remove(client)
    before = cluster.scheduler.message_memory.used_bytes
    connection.evict()
    assert cluster.scheduler.message_memory.used_bytes <= before - bound


def test_a_connection_whose_end_was_read_ahead_does_not_wake_its_task_again_and_again(world):
    """Guards against a poll that reports the end of a client for as long as its requests are open."""
    cluster = world(units=8)
    warm_up(cluster)
    client = cluster.client()
    client.sendall(b"".join(ask(f"key{n}") for n in range(300)))
    cluster.turn(30)
    (connection,) = [c for c in cluster.relay.clients.connections if c.slots]
    client.shutdown(1)
    cluster.turn(5)
    cluster.step(100)
    assert connection.slots and connection.is_half_closed
    assert connection._stream.fd not in [fd for fd, _ in cluster.scheduler._poller.poll(0)]
