"""Hundreds of bad clients send commands with a long list of fields; usual requests get no answer in time."""

import os
import re
import subprocess
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins_2 import BROKEN, HELD, TROUBLE, Unit, run_case, standins  # noqa: E402

CONNECTIONS, AT_ONCE, SECONDS = 400, 16, 12
LONG = os.environ.get("LONG", "list")  # a variant: "key" has the same bytes in the key
CLIENTS, TIME_LEFT_MS = 3, 1000
LOST_S = 0.5 + 0.05 + 0.02  # "up to half a second after its time", the 50 ms of every limit, and 20 ms of our own
FOLDER = Path(__file__).resolve().parent


class UsualClient:
    """A client that sends one request after the other on its connection, and opens another if that is closed."""

    def __init__(self, record, relay):
        self.record, self.relay, self.stopped = record, relay, False
        self.waits = []  # (seconds until the answer, or until it was given up, the answer)
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def _run(self):
        client = None
        while not self.stopped:
            client = client or self.relay.client()
            name = self.relay.id()
            sent_at = self.record.write("client", "sends", id=name)
            try:
                client.send("Q.ASK", "key", name, f"c=read,t=acme,d={TIME_LEFT_MS}")
                answer = client.read()
            except OSError as problem:
                answer, client = repr(problem).encode(), None
            got_at = self.record.write("client", "got", id=name, answer=str(answer))
            if answer is None:  # closed between requests: it may send the request once more, and does not
                client = None
            else:
                self.waits.append((got_at - sent_at, answer))
            time.sleep(0.1)


class BadClients:
    """The process of the bad clients."""

    def __init__(self, port):
        arguments = [str(port), str(CONNECTIONS), str(AT_ONCE), str(SECONDS), LONG]
        self.process = subprocess.Popen([sys.executable, "-B", str(FOLDER / "bad_clients.py"), *arguments])

    def stop(self):
        """End the process."""
        self.process.kill()
        self.process.wait(10)


def case(record, tmp, started):
    units = {f"u{n}": Unit(record, f"u{n}", lambda key: 0.005) for n in range(4)}
    relay = standins.Relay(tmp, units, sockets=1024)
    started.append(relay)
    clients = [UsualClient(record, relay) for _ in range(CLIENTS)]
    time.sleep(1.0)
    if TROUBLE:
        started.append(BadClients(relay.port))
        record.write("bad clients", "have begun", connections=CONNECTIONS, at_once=AT_ONCE, long=LONG)
    time.sleep(SECONDS + 8)
    for client in clients:
        client.stopped = True
    for client in clients:
        client.thread.join(12)
    waits = [wait for client in clients for wait in client.waits]
    lost = [wait for wait in waits if wait[0] > TIME_LEFT_MS / 1000 + LOST_S]
    lag = max((float(text) for text in re.findall(r"lag ms ([\d.]+)", relay.text())), default=0.0)
    print(
        f"{len(waits)} usual requests of {TIME_LEFT_MS} ms: {len(lost)} had their answer over half a second after "
        f"their time, the last {max(waits)[0]:.2f} s after it was sent; the relay's own longest time between two "
        f"looks at its sockets: {lag / 1000:.2f} s",
        flush=True,
    )
    return BROKEN if lost else HELD


run_case(FOLDER, case)
