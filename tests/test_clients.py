"""The limits of client connections, driven one scheduler turn at a time on real sockets."""

import contextlib
import socket

import pytest

from loftroute import config
from loftroute.lab.standins import command, free_port
from loftroute.relay.clients import Clients
from loftroute.relay.request_log import CloseReason
from loftroute.runtime.clock import Clock
from loftroute.runtime.scheduler import READ, Scheduler
from tests.harness import setup


class Module:
    """Stand-in for the module that accepts requests and never answers."""

    is_ready = True
    request_log = recall = None

    def __init__(self) -> None:
        self.accepted = []

    def handle_request(self, job, ticket, waited) -> None:
        self.accepted.append(job.key)

    def client_gone(self, job) -> None:
        self.accepted.remove(job.key)


@pytest.fixture
def clients():
    raw = {
        "listen": f"127.0.0.1:{free_port()}",
        "discovery": "127.0.0.1:1",
        "seed": "1f",
        "limits": {"sockets": 64},
        "settings": setup(parties=[{"name": "acme", "allowance_per_s": 9.0}]),
    }
    scheduler = Scheduler(Clock(), lambda name, problem: None)
    clients = Clients(config.read(raw, {}), scheduler, Module())
    yield clients
    for connection in list(clients.connections):
        connection.close(CloseReason.SHUTDOWN)
    clients.close()


def run_until(clients, condition) -> None:
    """Run turns of the scheduler until the condition is true."""
    for _ in range(400):
        if condition():
            return
        clients.scheduler.turn(clients.scheduler.clock.now())
    raise AssertionError("the condition did not become true in 400 turns")


@pytest.mark.parametrize("method", ["_trim", "_make_room"])
@pytest.mark.parametrize("before", [0, 9])
def test_a_request_that_poll_has_reported_is_read_before_its_connection_is_closed(clients, method, before):
    address = (clients.config.listen.host, clients.config.listen.port)
    with contextlib.ExitStack() as stack:
        count = clients.config.budget.client_connections if method == "_make_room" else 1
        sockets = [stack.enter_context(socket.create_connection(address)) for _ in range(count)]
        run_until(clients, lambda: len(clients.connections) == count)
        raw = command("Q.ASK", "k", "0" * 16, "c=read,t=acme,d=900")
        for sock in sockets:
            sock.sendall(raw[:before])
        run_until(clients, lambda: all(len(c._stream.buffer) == before for c in clients.connections))
        for sock in sockets:
            sock.sendall(raw[before:])
        for connection in clients.connections:  # idle for long; poll has reported, its task has not run yet
            connection.last_activity = 0
            connection._stream.events |= READ
        clients._next_eviction_at = 0
        getattr(clients, method)()
        run_until(clients, lambda: len(clients.module.accepted) == count)
        assert len(clients.connections) == count
