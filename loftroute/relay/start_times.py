"""Start times of units' processes by this relay's clock. No input or output.

A list tells when a process started by the wall clock of the machine that wrote it, which may have been
stepped or differ from this relay's. A start is believed if it lies between the last confirmation of the list
without that process and now. Otherwise the process counts as started now: it may be cold.
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

    An earlier start of a known unit is passed on as it is: the list may be out of date.
    """

    def __init__(self) -> None:
        self._processes: dict[int, KnownProcess] = {}  # by unit, the one that changed last at the end
        self._confirmed_at: int | None = None  # ns; None before the first answer

    def list_confirmed(self, now: int) -> None:
        """Record that discovery has answered at `now` (ns) that the list holds, be it a cached one."""
        self._confirmed_at = now

    def translate(self, event: ServerList, now: int) -> ServerList:
        """Return a list that has arrived at `now` (ns), with starts by this relay's clock."""
        entries = tuple(self._translate_entry(entry, now) for entry in event.entries)
        if event.kind in (ListKind.FULL, ListKind.DELTA):
            self._confirmed_at = now
        while len(self._processes) > 2 * ENTRIES_LIMIT:
            del self._processes[next(iter(self._processes))]
        return event if entries == event.entries else replace(event, entries=entries)

    def _translate_entry(self, entry: ServerEntry, now: int) -> ServerEntry:
        known = self._processes.get(entry.server)
        if entry.state is ServerState.GONE or not entry.started:
            return entry
        if known is None or entry.started > known.told_start or entry.build != known.build:
            earliest = self._confirmed_at or 0
            start = entry.started if earliest <= entry.started <= now else now
            self._processes.pop(entry.server, None)
            known = self._processes[entry.server] = KnownProcess(entry.started, start, entry.build)
        if entry.started < known.told_start or entry.started == known.start:
            return entry
        return replace(entry, started=known.start)
