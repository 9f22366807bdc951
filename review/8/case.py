"""300 silent connections crowd the door; clients that left meanwhile have their unsafe requests run all the same."""

import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins_2 import BROKEN, HELD, TROUBLE, Unit, run_case, standins  # noqa: E402

SILENT, CLIENTS, ROUNDS = 300, 10, 3
TIME_LEFT_MS, LEAVES_S = 2500, 0.12  # a client closes its connection so long after it has sent its request
GONE_S = 0.1 + 0.05 + 0.05  # the rule's 0.1 s, the 50 ms of every limit, and 50 ms for the stand-ins' threads


def case(record, tmp, started):
    units = {f"u{n}": Unit(record, f"u{n}", lambda key: 0.3) for n in range(4)}
    relay = standins.Relay(tmp, units)  # 256 descriptors, 124 of them for clients
    started.append(relay)
    left_at = {}
    for number in range(ROUNDS):
        silent = []
        if TROUBLE:
            for _ in range(SILENT):
                connection = socket.socket()
                connection.setblocking(False)
                connection.connect_ex(("127.0.0.1", relay.port))
                silent.append(connection)
            record.write("bad clients", "have connected and say nothing", connections=SILENT, round=number)
        clients = {}
        for _ in range(CLIENTS):
            client, name = relay.client(), relay.id()
            client.send("Q.DO", "key", name, f"c=pay,t=acme,d={TIME_LEFT_MS}", "BODY")
            record.write("client", "sent whole", id=name)
            clients[name] = client
        time.sleep(LEAVES_S)
        for name, client in clients.items():
            client.close()
            left_at[name] = record.write("client", "has closed its connection", id=name)
        time.sleep(3.0)
        for connection in silent:
            connection.close()
        time.sleep(0.5)
    late = [
        (ran - left_at[name], name, unit.name)
        for unit in units.values()
        for ran, _, name in unit.ran
        if name in left_at and ran - left_at[name] > GONE_S
    ]
    for seconds, name, unit in late:
        record.write("case", "begun for a client that has gone", id=name, unit=unit, after_s=round(seconds, 3))
    print(
        f"{len(left_at)} clients left early; {len(late)} unsafe requests were begun for them later than "
        f"{GONE_S:.2f} s after, the last {max(late)[0] if late else 0:.2f} s after",
        flush=True,
    )
    return BROKEN if late else HELD


run_case(Path(__file__).resolve().parent, case)
