"""Start times of units' processes by this relay's clock. No input or output.

A list tells when a process started by the machines' wall clock. If that is stepped while the relay runs, so
is this machine's, and starts told from then on are moved back by the step.

A process that appears in a list cannot have started long before discovery said that it was not there, nor in
the future. Where its start says so, clocks differ otherwise: it counts as started now, since it may be cold.
"""

from dataclasses import replace
from typing import NamedTuple

from loftroute.decision.interface import ListKind, ServerEntry, ServerList, ServerState
from loftroute.protocol.catalog import ENTRIES_LIMIT


class KnownProcess(NamedTuple):
    """A process that a list has shown.

    Attributes:
        told_start: Its start as listed, in nanoseconds since the Unix epoch; 0 if unknown.
        start: Its start by this relay's clock, in nanoseconds; 0 if unknown.
        build: The build that it runs.
    """

    told_start: int
    start: int
    build: int


class StartTimes:
    """Translates the starts in lists. Those of a relay's first list may be old, as its units may be.

    A list may be late by `list_lateness_ns`, so that a start before its predecessor is believed that far. An
    earlier start of a known unit is passed on as it is: the list may be out of date.
    """

    def __init__(self, list_lateness_ns: int) -> None:
        self._list_lateness_ns = list_lateness_ns
        self._processes: dict[int, KnownProcess] = {}  # by unit, the one that changed last at the end
        self._confirmed_at: int | None = None  # ns; None before the first answer

    def list_confirmed(self, now: int) -> None:
        """Record that discovery has answered at `now` (ns) that the list holds, be it a cached one."""
        self._confirmed_at = now

    def translate(self, event: ServerList, now: int, wall_step: int) -> ServerList:
        """Return a list that has arrived at `now`, with starts by this relay's clock.

        `wall_step` is by how much the wall clock was stepped since this relay's clock began. All times are
        in nanoseconds.
        """
        entries = tuple(self._translate_entry(entry, now, wall_step) for entry in event.entries)
        if event.kind in (ListKind.FULL, ListKind.DELTA):
            self._confirmed_at = now
        while len(self._processes) > 2 * ENTRIES_LIMIT:
            del self._processes[next(iter(self._processes))]
        return event if entries == event.entries else replace(event, entries=entries)

    def _translate_entry(self, entry: ServerEntry, now: int, wall_step: int) -> ServerEntry:
        if entry.state is ServerState.GONE or not entry.started:
            return entry
        known = self._processes.get(entry.server)
        if known is not None and (known.told_start, known.build) == (entry.started, entry.build):
            return _with_start(entry, known.start)
        start = entry.started - wall_step
        is_earlier = known is not None and entry.started < known.told_start and start <= known.start
        if is_earlier and entry.build == known.build:
            return _with_start(entry, start)
        earliest = (self._confirmed_at or 0) - self._list_lateness_ns
        start = start if earliest <= start <= now else now
        self._processes.pop(entry.server, None)
        self._processes[entry.server] = KnownProcess(entry.started, start, entry.build)
        return _with_start(entry, start)


def _with_start(entry: ServerEntry, start: int) -> ServerEntry:
    return entry if start == entry.started else replace(entry, started=start)
