"""A client sends 96 requests on one connection while two of ten units stand still for 450 ms."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins_2 import BROKEN, HELD, TROUBLE, Unit, run_case, standins  # noqa: E402

REQUESTS, UNITS, STILL, STILL_S, TIME_LEFT_MS, ROUNDS = 96, 10, 2, 0.45, 3000, 5


def service_s(key):
    """Return the seconds of work: later requests of a round take a little longer, so that answers come in order."""
    return 0.02 + 0.002 * int(key.split("-")[2]) if key.startswith("key-") else 0.005


def send_burst(record, relay, units, number):
    """Send the requests of one round and return how many of them got no final answer."""
    client = relay.client()
    client.sock.settimeout(TIME_LEFT_MS / 1000 + 2)
    names = [relay.id() for _ in range(REQUESTS)]
    keys = [f"key-{number}-{n}" for n in range(REQUESTS)]
    commands = [
        standins.command("Q.ASK", key, name, f"c=read,t=acme,d={TIME_LEFT_MS}")
        for key, name in zip(keys, names, strict=True)
    ]
    if TROUBLE:
        for n in range(STILL):
            unit = units[f"u{(STILL * number + n) % UNITS}"]
            unit.still_until = time.time() + STILL_S
            record.write(unit.name, "stands still", seconds=STILL_S)
    client.sock.sendall(b"".join(commands))
    for key, name in zip(keys, names, strict=True):
        record.write("client", "sent whole", key=key, id=name)
    answered = 0
    for key, name in zip(keys, names, strict=True):  # answers come in the order of the commands
        try:
            answer = client.read()
        except OSError as problem:
            record.write("client", "gave up", problem=repr(problem))
            break
        if answer is None:
            record.write("client", "the relay ended the connection", answered=answered)
            break
        record.write("client", "got", key=key, id=name, answer=answer.decode())
        answered += 1
    client.close()
    return REQUESTS - answered


def case(record, tmp, started):
    units = {f"u{n}": Unit(record, f"u{n}", service_s) for n in range(UNITS)}
    relay = standins.Relay(tmp, units)
    started.append(relay)
    client = relay.client()
    for _ in range(100):  # the units are known to answer
        relay.read(client)
    client.close()
    lost = 0
    for number in range(ROUNDS):
        unanswered = send_burst(record, relay, units, number)
        print(f"round {number}: {REQUESTS} requests taken, {unanswered} without a final answer", flush=True)
        lost += unanswered
        time.sleep(1.0)
    return BROKEN if lost else HELD


run_case(Path(__file__).resolve().parent, case)
