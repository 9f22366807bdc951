"""The full list of units as discovery last reported it."""

from collections.abc import Mapping
from math import isfinite

from loftroute.decision.interface import ListKind, ServerEntry, ServerList, ServerState
from loftroute.digest import digest_64


class ListTooLongError(ValueError):
    """A list has more units than this relay keeps. The previous list stays in use."""


class Registry:
    """Keeps the entries of all listed units, and their keys.

    A delta is applied in time proportional to its own length.

    Attributes:
        entries: Entries by unit number. The numbers are local to this relay.
        keys: Keys by unit number. The keys are the same at all relays.
        version: Version of the last list.
    """

    def __init__(self, max_units: int) -> None:
        """Create an empty registry that holds at most `max_units` units."""
        self._max_units = max_units
        self.entries: dict[int, ServerEntry] = {}
        self.keys: dict[int, int] = {}
        self.version = 0

    def __len__(self) -> int:
        return len(self.entries)

    def is_usable(self, unit: int) -> bool:
        """Return whether a unit may get requests: it is ready and its weight is positive and finite."""
        entry = self.entries.get(unit)
        if entry is None or entry.state is not ServerState.READY:
            return False
        return entry.weight > 0 and isfinite(entry.weight)

    def apply(self, event: ServerList, names: Mapping[int, str]) -> set[int]:
        """Apply a list and return the units that it may have changed.

        `names` maps unit numbers to the names from which the keys are computed; a unit without a name uses
        its number. If a list has several entries of a unit, the last one counts. Raises `ListTooLongError`,
        without changing anything, if more units than the maximum would be listed.
        """
        self._check_size(event)
        self.version = event.version
        changed: set[int] = set()
        if event.kind is not ListKind.DELTA:
            changed.update(self.entries)
            self.entries.clear()
        for entry in event.entries:
            changed.add(entry.server)
            if entry.state is ServerState.GONE:
                self.entries.pop(entry.server, None)
            else:
                self._add(entry, names.get(entry.server))
        for unit in changed:
            if unit not in self.entries:
                self.keys.pop(unit, None)
        return changed

    def _add(self, entry: ServerEntry, name: str | None) -> None:
        self.entries[entry.server] = entry
        if entry.server not in self.keys:
            self.keys[entry.server] = digest_64(str(entry.server) if name is None else name)

    def _check_size(self, event: ServerList) -> None:
        known = self.entries if event.kind is ListKind.DELTA else {}
        if len(known) + len(event.entries) <= self._max_units:
            return
        states = {entry.server: entry.state for entry in event.entries}
        listed = sum(state is not ServerState.GONE for state in states.values())
        listed += sum(unit not in states for unit in known)
        if listed > self._max_units:
            raise ListTooLongError(f"a list of {listed} units, at most {self._max_units} are kept")
