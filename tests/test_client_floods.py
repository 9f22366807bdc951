"""Clients that send at full speed: others get their answers in time."""

import contextlib
import random
import socket
import threading
import time

import pytest

from loftroute.lab.standins import Unit, command
from loftroute.transport import Transport
from tests.stepped import ask, got, served, value

LOST_S = 0.5 + 0.05  # a request is lost if it is answered later than that after its deadline
LONG_LIST = b"c=nosuch,t=acme,d=480" + b"".join(b",%c%d=" % (97 + n % 26, n) for n in range(8000))


class Flood:
    """Clients that send the same data again and again and read whatever they are sent."""

    def __init__(self, port, data, connections):
        self._port, self._data, self._stopped = port, data, False
        self._threads = [threading.Thread(target=self._run, daemon=True) for _ in range(connections)]
        for thread in self._threads:
            thread.start()

    def _run(self):
        while not self._stopped:
            with contextlib.suppress(OSError), socket.create_connection(("127.0.0.1", self._port), 1) as sock:
                reader = threading.Thread(target=self._read, args=(sock,), daemon=True)
                reader.start()
                while not self._stopped:
                    sock.sendall(self._data)

    @staticmethod
    def _read(sock):
        with contextlib.suppress(OSError):
            while sock.recv(1 << 16):
                pass

    def stop(self):
        """Close the connections."""
        self._stopped = True
        for thread in self._threads:
            thread.join(10)


def longest_wait_s(process, seconds, deadline_ms):
    """Ask as a usual client for some time; return the longest wait for an answer."""
    usual, ends_at, longest = process.client(), time.monotonic() + seconds, 0.0
    while (asked_at := time.monotonic()) < ends_at:
        process.read(usual, deadline_ms)
        longest = max(longest, time.monotonic() - asked_at)
        time.sleep(0.02)
    return longest


def test_usual_requests_are_answered_in_time_beside_long_lists_of_fields(relay):
    """Guards against commands that are split into thousands of fields while all others wait (review/6)."""
    process = relay({"u0": Unit(), "u1": Unit()}, sockets=1024)
    data = command("Q.ASK", "key", "0123456789abcdef", LONG_LIST) * 16
    flood = Flood(process.port, data, connections=200)
    longest = longest_wait_s(process, 3, deadline_ms=500)
    flood.stop()
    assert longest <= 0.5 + LOST_S


SMALL_COMMANDS = {
    "ping": command("PING"),
    "unknown": command("WHAT"),
    "id in use": command("Q.ASK", "key", "00000000000000aa", "c=read,t=acme,d=500"),
    "many fields": command("Q.ASK", "key", "0" * 16, b"c=read,t=acme,d=500" + b",=" * 2000),
}


@pytest.mark.parametrize("kind", SMALL_COMMANDS)
def test_usual_requests_are_answered_in_time_beside_floods_of_small_commands(relay, kind):
    """Guards against clients that send small commands at full speed, while all others wait for seconds."""
    process = relay({"u0": Unit(), "u1": Unit()}, sockets=1024)
    flood = Flood(process.port, SMALL_COMMANDS[kind] * 500, connections=8)
    longest = longest_wait_s(process, 2, deadline_ms=500)
    flood.stop()
    assert longest <= 0.5


def answered(cluster, clients):
    """Return how many lines of answers the clients have got since the last call."""
    return sum(got(client).count(b"\r\n") for client in clients)


def test_one_connection_gets_a_part_of_a_turn_and_all_its_answers(world):
    """Guards against a turn that is as long as one client's socket buffer holds commands."""
    cluster = world()
    client, usual, limit = cluster.client(), cluster.client(), Transport().max_steps_per_turn
    cluster.turn(2)
    client.sendall(command("PING") * 5000)
    usual.sendall(ask("usual"))
    cluster.turn()
    first = answered(cluster, [client])
    assert 0 < first <= limit
    cluster.turn()
    assert cluster.units["u0"].asks() == 1
    total = first + answered(cluster, [client])
    while total < 5000:
        cluster.turn()
        count = answered(cluster, [client])
        assert 0 < count <= limit
        total += count
    assert total == 5000


def test_all_connections_together_get_a_part_of_a_turn(world):
    """Guards against a turn that many connections make long together, each with a few commands."""
    cluster = world(limits={"cores": 1.0, "memory_mb": 192, "sockets": 1024})
    clients, transport = [cluster.client() for _ in range(100)], Transport()
    cluster.turn(3)
    for client in clients:
        client.sendall(command("PING") * 20)
    cluster.turn()
    bound = transport.shared_steps_per_turn + len(clients) * transport.free_steps_per_turn
    total = answered(cluster, clients)
    assert len(clients) <= total <= bound < 2000
    while total < 2000:
        cluster.turn()
        count = answered(cluster, clients)
        assert 0 < count <= bound
        total += count
    assert total == 2000


@pytest.mark.parametrize("seed", range(4))
def test_pipelined_commands_are_answered_in_order_however_they_are_sent(world, seed):
    """Guards against commands that stay in the buffer, are dropped or overtake each other."""
    rng, cluster = random.Random(seed), world()
    client, unit = cluster.client(), cluster.units["u0"]
    kinds = [rng.choice(["ping", "ask"]) for _ in range(300)]
    raw = b"".join(command("PING") if kind == "ping" else ask(f"key{n}") for n, kind in enumerate(kinds))
    received, position = b"", 0
    expected = b"".join(b"+PONG\r\n" if kind == "ping" else value(b"V") for kind in kinds)
    for _ in range(4000):
        if len(received) >= len(expected):
            break
        size = rng.choice([1, 100, 3000])
        with contextlib.suppress(BlockingIOError):
            position += client.send(raw[position : position + size]) if position < len(raw) else 0
        cluster.step(1, 1)
        for peer, heard in list(unit.heard.items()):
            if heard and rng.random() < 0.5:
                unit.heard[peer] = b""
                peer.sendall(served(b"V"))
        received += got(client)
    assert received == expected
