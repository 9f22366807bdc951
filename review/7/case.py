"""Discovery's agent answers every call 0.7 s late while a unit drains; new work goes on to that unit, and is cut."""

import contextlib
import os
import socket
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins_2 import BROKEN, HELD, TROUBLE, Unit, run_case, standins  # noqa: E402

MS = 1_000_000
SLOW_S = 0.7  # by how much each answer of the agent comes later
SLACK_S = 0.05 + 0.15  # "every time limit is 50 ms longer", and 150 ms for the threads of the stand-ins
TOLD_AT_THE_LATEST_S = 6.0  # the bound that holds whatever happens to calls
ENDS_S = 12.0  # the draining unit's process ends so long after the drain
CLIENTS, WORK_S = 12, 0.3
SITE = os.environ.get("SITE", "zagreb-jobs")
SETTINGS = {  # how the sites are told of changes, and their grace for drains
    "zagreb-jobs": {"discovery": "push", "obligations__drain_grace": 1000 * MS},
    "rijeka-quotes": {
        "discovery": "ask",
        "obligations__drain_grace": 500 * MS,
        "obligations__ask_within": 10_000 * MS,
    },
}[SITE]
GRACE_S = SETTINGS["obligations__drain_grace"] / 1e9


class SlowAgent(standins.Discovery):
    """Discovery's agent, whose answers are sent `delay_s` after they are made."""

    def __init__(self):
        super().__init__()
        self.delay_s, self.record = 0.0, None

    def answer(self, handler, status, document):
        """Send an answer, late if the agent is slow."""
        delay_s = self.delay_s
        time.sleep(delay_s)
        if self.record:
            self.record.write(
                "discovery", "answers", call=handler.path, version=document["generation"], late_s=delay_s
            )
        standins.HttpStandIn.answer(handler, status, document)


class EndingUnit(Unit):
    """A unit whose process can end: its connections are reset and new ones are refused."""

    def __init__(self, *arguments):
        self.open = set()
        super().__init__(*arguments)

    def _serve(self, sock):
        self.open.add(sock)
        with contextlib.suppress(OSError, ValueError):  # the process may end while it serves
            super()._serve(sock)
        self.open.discard(sock)

    def end(self):
        """End the process."""
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        for sock in list(self.open):
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
                sock.shutdown(socket.SHUT_RDWR)
        self.record.write(self.name, "has ended")


class Load:
    """A client that asks all the time, on one connection, one unsafe request after the other."""

    def __init__(self, record, relay):
        self.record, self.relay, self.stopped = record, relay, False
        self.failed = []
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self):
        client = self.relay.client()
        while not self.stopped:
            name = self.relay.id()
            self.record.write("client", "sends", id=name)
            answer = client.ask("Q.DO", f"key-{name[-4:]}", name, "c=pay,t=acme,d=3000", "BODY")
            now = self.record.write("client", "got", id=name, answer=str(answer))
            if answer is not None and answer.startswith(b"-ERR"):
                self.failed.append((now, name))
            time.sleep(0.015)
        client.close()

    def stop(self):
        self.stopped = True
        self._thread.join(5)


def case(record, tmp, started):
    units = {f"u{n}": EndingUnit(record, f"u{n}", lambda key: WORK_S) for n in range(3)}
    standins.Discovery = SlowAgent
    relay = standins.Relay(tmp, units, **SETTINGS)
    started.append(relay)
    relay.discovery.record = record
    loads = [Load(record, relay) for _ in range(CLIENTS)]
    time.sleep(2.0)
    if TROUBLE:
        relay.discovery.delay_s = SLOW_S
        record.write("discovery", "is slow from now on", late_s=SLOW_S)
    time.sleep(2.0)
    relay.discovery.change(u0={"lifecycle": "DRAINING"})
    drained_at = record.write("discovery", "the agent has: u0 drains")
    time.sleep(ENDS_S)
    ended_at = record.now()
    units["u0"].end()
    time.sleep(1.0)
    for load in loads:
        load.stop()

    def came_after(unit, seconds):
        return [ran[0] - drained_at for ran in units[unit].ran if ran[0] > drained_at + seconds]

    late = came_after("u0", GRACE_S + SLACK_S)
    very_late = came_after("u0", TOLD_AT_THE_LATEST_S + GRACE_S + SLACK_S)
    others = sum(len(came_after(unit, TOLD_AT_THE_LATEST_S + GRACE_S + SLACK_S)) for unit in ("u1", "u2"))
    cut = sum(failed >= ended_at for load in loads for failed, _ in load.failed)
    print(
        f"{SITE}: {len(very_late)} unsafe requests came to the draining unit later than {TOLD_AT_THE_LATEST_S} s + "
        f"{GRACE_S} s after the agent had the drain, the last {late[-1] if late else 0:.1f} s after it ({others} to "
        f"the others meanwhile); {len(late)} later than {GRACE_S} s; {cut} were cut when its process ended and have "
        f"failed",
        flush=True,
    )
    return BROKEN if very_late else HELD


run_case(Path(__file__).resolve().parent, case)
