"""What the cases share: the settings of a small deployment, a record of what happened, and the verdict."""

import os
import signal
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path
from typing import Any

from loftroute.lab.standins import Relay as LabRelay

STARTED: list[subprocess.Popen[bytes]] = []  # the relays; ended by `run` whatever happens
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MS, SECOND = 1_000_000, 1_000_000_000  # nanoseconds


def service(
    name: str, effect: str, aim: int, deadline: int, window: int, group: str = "all"
) -> dict[str, Any]:
    """Return a request class; times are in nanoseconds."""
    return {
        "name": name,
        "effect": effect,
        "group": group,
        "aim": aim,
        "hard_limit": deadline,
        "window": window,
        "worth": 2.0,
        "late_worth": 0.0,
        "stream": False,
    }


# The classes of zagreb-jobs, by the table of its brief.
ZAGREB = [
    service("quote", "safe", SECOND, 2500 * MS, 5 * SECOND),
    service("slice", "keyed", 1500 * MS, 6 * SECOND, 6 * SECOND),
    service("book", "unsafe", 2 * SECOND, 8 * SECOND, 5 * SECOND),
]

# Those of rijeka-quotes.
RIJEKA = [
    service("quote", "safe", 750 * MS, 3 * SECOND, 5 * SECOND),
    service("booking", "keyed", 1200 * MS, 5 * SECOND, 10 * SECOND, group="zone"),
]


class Record:
    """Lines with the time since the start, kept in memory and written to `record.txt` at the end."""

    def __init__(self, folder: Path) -> None:
        self._path, self._begun = folder / "record.txt", time.monotonic()
        self._lines: list[str] = []
        self._lock = threading.Lock()

    def __call__(self, text: str) -> None:
        with self._lock:
            self._lines.append(f"{time.monotonic() - self._begun:8.3f} {text}")

    def close(self) -> None:
        self._path.write_text("\n".join(self._lines) + "\n")


class Relay(LabRelay):
    """The project's stand-in that starts a relay, with limits, classes and zones of the case's own."""

    def __init__(
        self,
        tmp: Path,
        units: dict[str, Any],
        limits: dict[str, Any],
        services: list[dict[str, Any]] | None = None,
        zones: list[str] | None = None,
        **changes: Any,
    ) -> None:
        self._limits, self._zones = limits, zones
        super().__init__(tmp, units, services=services or ZAGREB, **changes)

    def start(self) -> None:
        try:
            super().start()
        finally:
            STARTED.append(self.process)

    def config(self) -> dict[str, Any]:
        config = {**super().config(), "limits": self._limits}
        if self._zones is not None:
            config["settings"] = {**config["settings"], "zones": self._zones}
        return config


def run(folder: Path, case: Any) -> None:
    """Run `case(record, temporary folder)`, which returns the breaks that it saw; exit with the verdict."""
    record, status = Record(folder), 2
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # from `timeout`
    try:
        with tempfile.TemporaryDirectory(prefix="review-") as tmp:
            breaks = case(record, Path(tmp))
        for line in breaks:
            record(f"BROKEN: {line}")
        record(f"verdict: {'broken' if breaks else 'held'} (TROUBLE={int(TROUBLE)})")
        status = 1 if breaks else 0
    except BaseException as problem:
        record(f"the case couldn't run: {problem!r}")
    finally:
        for process in STARTED:
            if process.poll() is None:
                process.kill()
                process.wait(10)
        record.close()
        print({0: "held", 1: "broken", 2: "couldn't run"}[status])
        sys.stdout.flush()
        os._exit(status)
