"""Discovery's agent answers every call 0.7 s late while a unit drains; new work goes on to that unit."""

import os
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins_2 import BROKEN, HELD, TROUBLE, Unit, run_case, standins  # noqa: E402

SLOW_S = 0.7  # by how much each answer of the agent comes later
GRACE_S = 1.0  # obligations.drain_grace of zagreb-jobs, as in the settings of the relay
SLACK_S = 0.05 + 0.15  # "every time limit is 50 ms longer", and 150 ms for the threads of the stand-ins
TOLD_AT_THE_LATEST_S = 6.0  # the bound that holds whatever happens to calls
WATCHED_S = 15.0  # for so long after the drain commands are looked for
CLIENTS = 2
UNIT_TURNS_AWAY = os.environ.get("TURN_AWAY", "0") == "1"  # a variant: -BUSY once the grace is over


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


class Load:
    """A client that asks all the time, on one connection, one request after the other."""

    def __init__(self, record, relay):
        self.record, self.relay, self.stopped = record, relay, False
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self):
        client = self.relay.client()
        while not self.stopped:
            name = self.relay.id()
            self.record.write("client", "sends", id=name)
            answer = client.ask("Q.ASK", f"key-{name[-4:]}", name, "c=read,t=acme,d=2000")
            self.record.write("client", "got", id=name, answer=str(answer))
            time.sleep(0.015)
        client.close()

    def stop(self):
        self.stopped = True
        self._thread.join(5)


def case(record, tmp, started):
    units = {f"u{n}": Unit(record, f"u{n}", lambda key: 0.005) for n in range(3)}
    standins.Discovery = SlowAgent
    relay = standins.Relay(tmp, units, discovery="push", obligations__drain_grace=int(GRACE_S * 1e9))
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
    if UNIT_TURNS_AWAY:  # else it goes on serving what comes: its process runs until its machine is taken away
        time.sleep(GRACE_S)
        units["u0"].behavior = "busy"
        time.sleep(WATCHED_S - GRACE_S)
    else:
        time.sleep(WATCHED_S)
    for load in loads:
        load.stop()

    def came_after(unit, seconds):
        return [ran[0] - drained_at for ran in units[unit].ran if ran[0] > drained_at + seconds]

    late = came_after("u0", GRACE_S + SLACK_S)
    very_late = came_after("u0", TOLD_AT_THE_LATEST_S + GRACE_S + SLACK_S)
    others = len(came_after("u1", GRACE_S + SLACK_S)) + len(came_after("u2", GRACE_S + SLACK_S))
    print(
        f"{len(late)} commands came to the draining unit later than {GRACE_S} s after the agent had the drain, "
        f"the last {late[-1] if late else 0:.1f} s after it ({others} to the others meanwhile); "
        f"{len(very_late)} later than {TOLD_AT_THE_LATEST_S} s + {GRACE_S} s",
        flush=True,
    )
    return BROKEN if (late if UNIT_TURNS_AWAY else very_late) else HELD


run_case(Path(__file__).resolve().parent, case)
