"""The debug log of requests, and the counts of the state line that tell why something ended."""

import re

from loftroute.lab.standins import Unit, eventually
from loftroute.relay.request_log import CloseReason, RequestLog
from tests.stepped import ask, reset, served_at


def test_the_debug_log_tells_the_course_of_a_request_by_its_id(relay):
    process = relay({"u0": Unit()}, env={"LOFTROUTE_LOG_LEVEL": "DEBUG"})
    client, name = process.client(), process.id()
    assert process.pay(client, name=name).startswith(b"value")
    client.close()
    steps = [
        f"request {name} admitted, class 2, ",
        f"request {name} attempt 0 to server ",
        f"request {name} served",
        f"request {name} attempt 0 ended: OK, ",
    ]
    text = eventually(lambda: all(step in process.text() for step in steps) and process.text())
    assert sorted(steps, key=text.index) == steps
    ended = eventually(
        lambda: re.search(r"client (\d+) closed: client ended, 0 commands open", process.text())
    )
    assert int(ended[1]) >= 1


def test_without_the_debug_level_nothing_of_a_request_is_logged(relay):
    process = relay({"u0": Unit()})
    client, name = process.client(), process.id()
    assert process.pay(client, name=name).startswith(b"value")
    assert name not in process.text()


def test_each_close_of_a_client_connection_is_counted_by_its_reason(world):
    cluster = world()
    cluster.relay.module.request_log = RequestLog()
    leaving, resetting, broken, idle = (cluster.client() for _ in range(4))
    cluster.until(lambda: len(cluster.relay.clients.connections) == 4)
    leaving.close()
    reset(resetting)
    broken.sendall(b"?")
    cluster.turn(4)
    broken.close()
    cluster.turn(4)
    cluster.step(2300)
    assert idle in cluster.clients
    assert cluster.relay.clients.closes == {
        CloseReason.CLIENT_ENDED: 1,
        CloseReason.CLIENT_RESET: 1,
        CloseReason.FRAMING_LOST: 1,
        CloseReason.IDLE: 1,
    }


def test_a_failure_is_counted_by_its_reason(world):
    cluster = world()
    client = cluster.client()
    client.sendall(ask(kind="pay"))
    unit, _ = served_at(cluster, b"Q.DO")
    client.sendall(ask("again", kind="pay"))
    cluster.step(30)
    cluster.until(lambda: b"again" in unit.look())
    reset(unit.asked(b"again"))
    cluster.turn(4)
    assert cluster.relay.module.counters["failed not retried"] == 1
