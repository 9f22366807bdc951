"""What the scripts of the second review share: the record, a unit that can be slowed, and the frame of a case.

The relay, discovery, the platform and the client are the project's own stand-ins (`loftroute/lab/standins.py`).
Everything is on loopback; times in the record are seconds since the start of the script.
"""

import json
import os
import signal
import sys
import tempfile
import threading
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from loftroute.lab import standins  # noqa: E402

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"  # TROUBLE=0 leaves the disruption out


class Record:
    """The events of a run, one JSON object a line, in `record.txt` of the case's folder."""

    def __init__(self, folder):
        self.began, self._lock = time.time(), threading.Lock()
        self._file = open(Path(folder) / "record.txt", "w", encoding="utf-8")

    def now(self):
        """Return the seconds since the start."""
        return time.time() - self.began

    def write(self, who, event, **details):
        """Write an event and return its time."""
        with self._lock:
            now = self.now()
            line = {"t": round(now, 4), "who": who, "event": event, **details}
            self._file.write(json.dumps(line) + "\n")
            self._file.flush()
            return now


class Unit(standins.Unit):
    """A unit that records what comes and what it answers; `service_s` tells how long a command takes.

    Attributes:
        name: its id in discovery's list.
        build: the build that it runs.
        service_s: function of the key of a command, returning the seconds that the unit needs for it.
        still_until: the unit stands still until then: nothing is answered before.
        ran: (time, key, id) of each command, when its last byte had come.
    """

    def __init__(self, record, name, service_s=lambda key: 0.02, build=41):
        self.record, self.name, self.service_s, self.build = record, name, service_s, build
        self.still_until, self.ran = 0.0, []
        super().__init__()

    def _answer(self, sock, words):
        verb, key, ref, fields = (word.decode() for word in words[:4])
        self.ran.append((self.record.write(self.name, "came", verb=verb, key=key, id=ref, list=fields), key, ref))
        time.sleep(max(self.service_s(key), 0.0))
        while (wait := self.still_until - time.time()) > 0:
            time.sleep(wait)
        alive = super()._answer(sock, words)
        self.record.write(self.name, "answered", key=key, id=ref)
        return alive


def run_case(folder, case, limit_s=110):
    """Run `case(record, tmp, started)` and exit with its result; what was added to `started` is ended."""
    started = []

    def give_up(*_):
        print("the case was ended from outside, or took too long", flush=True)
        for program in started:
            program.process.kill()
        os._exit(COULD_NOT_RUN)

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, give_up)
    watchdog = threading.Timer(limit_s, give_up)
    watchdog.daemon = True
    watchdog.start()
    record = Record(folder)
    status = COULD_NOT_RUN
    with tempfile.TemporaryDirectory() as tmp:
        try:
            status = case(record, Path(tmp), started)
        except Exception as problem:  # the case could not run
            print(f"could not run: {problem!r}", flush=True)
        finally:
            for program in reversed(started):
                program.stop()
    record.write("case", "end", trouble=TROUBLE, status=status)
    os._exit(status)
