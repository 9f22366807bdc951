"""Clients leave before their answer and ask again: keys that the new build has answered go to the earlier one."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins_2 import BROKEN, HELD, TROUBLE, Unit, run_case, standins  # noqa: E402

KEYS, WORK_S, LEAVES_S, AGAIN_S = 60, 0.1, 0.04, 0.25
STATE = {"release": 42, "tranche": 2, "mode": "Progressing", "exposure": 1.0, "old_ms": 1000}


def case(record, tmp, started):
    builds = {"u0": 41, "u1": 41, "u2": 42, "u3": 42}
    units = {name: Unit(record, name, lambda key: WORK_S, build) for name, build in builds.items()}
    platform = standins.Platform

    class OnTrial(platform):
        def __init__(self):
            super().__init__()
            self.state = dict(STATE)

    standins.Platform = OnTrial
    relay = standins.Relay(tmp, units, builds=builds, news=STATE, family_info__forward_only=True)
    started.append(relay)
    answered_by_new, broken = {}, []
    for n in range(KEYS):
        key = f"key-{n}"
        client = relay.client()
        record.write("client", "sends", key=key)
        client.send("Q.ASK", key, relay.id(), "c=read,t=acme,d=2000")
        if TROUBLE:
            time.sleep(LEAVES_S)
            record.write("client", "leaves", key=key)
        else:
            record.write("client", "got", key=key, answer=str(client.read()))
        client.close()
        time.sleep(AGAIN_S)
        # What has come to a unit by now was answered long ago: the unit needs 100 ms.
        if any(key == k for unit in units.values() if unit.build == 42 for _, k, _ in unit.ran):
            answered_by_new[key] = record.write("case", "the new build has answered the key", key=key)
        client = relay.client()
        record.write("client", "asks again", key=key)
        answer = client.ask("Q.ASK", key, relay.id(), "c=read,t=acme,d=2000")
        record.write("client", "got", key=key, answer=str(answer))
        client.close()
        for unit in units.values():
            if unit.build == 41 and key in answered_by_new:
                broken += [(key, unit.name) for ran, k, _ in unit.ran if k == key and ran > answered_by_new[key]]
    print(
        f"{len(answered_by_new)} of {KEYS} keys were answered by build 42 first; {len(broken)} of them went to "
        f"build 41 after that",
        flush=True,
    )
    return BROKEN if broken else HELD


run_case(Path(__file__).resolve().parent, case)
