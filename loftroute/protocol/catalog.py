"""Lists of units from discovery: JSON into events for the decision module and addresses of units."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from loftroute.decision import interface as i
from loftroute.protocol import ProtocolError, groups, parse_json, read_integer, read_number

BUILD_LIMIT = 65536  # number of possible builds
ENTRIES_LIMIT = 10_000  # entries of one list
NAME_LIMIT = 256  # characters of an id
UNLISTED_LIMIT = 1024  # ids that keep their numbers without being listed, if no more were ever listed
MS = 1_000_000  # nanoseconds

STATES = {
    "SERVING": i.ServerState.READY,
    "DRAINING": i.ServerState.DRAINING,
    "DELETED": i.ServerState.GONE,
}


@dataclass(frozen=True, slots=True)
class Address:
    """A host and TCP port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


def parse_address(text: str) -> Address:
    """Parse HOST:PORT; raise `ValueError` for anything else."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"not HOST:PORT: {text[:60]!r}")
    return Address(host, int(port))


@dataclass(frozen=True, slots=True)
class Listing:
    """A list from discovery.

    Attributes:
        event: the list as an event for the decision module.
        addresses: address of each server by its number, for servers that have one.
        names: id of each server by its number; ids are the same at all relays.
    """

    event: i.ServerList
    addresses: Mapping[int, Address]
    names: Mapping[int, str] = field(default_factory=dict)


@dataclass
class Catalog:
    """Parses lists and assigns numbers to the ids of units.

    An id keeps its number while it is listed, and for some time after that.

    Attributes:
        zones: number of each zone that the settings name.
        kinds: number of each machine type by name.
        server_numbers: number of each unit by id.
    """

    zones: Mapping[str, int]
    kinds: Mapping[str, int]
    server_numbers: dict[str, int] = field(default_factory=dict)
    _unlisted: dict[str, None] = field(default_factory=dict)  # longest unlisted first
    _forgotten: int = 0
    _most_listed: int = 0

    def read(self, body: bytes, cached: bool = False) -> Listing:
        """Parse the JSON text of a list; raise `ProtocolError` if it is invalid."""
        return self.read_document(parse_json(body), cached)

    def read_document(self, document: Any, cached: bool = False) -> Listing:
        """Read a list that was parsed from JSON; raise `ProtocolError` if it is invalid.

        `cached` marks a list that was kept from an earlier time. An invalid list assigns no numbers, because
        all of it is read first.
        """
        try:
            raw, version = document["instances"], read_integer(document, "generation")
            kind = i.ListKind.FULL if document["reset"] else i.ListKind.DELTA
            if not isinstance(raw, list) or len(raw) > ENTRIES_LIMIT:
                raise ValueError("instances: a list wanted")
            by_name = {(name := _name(item)): (self._entry(name, item), _address(item)) for item in raw}
            if len(by_name) != len(raw):
                raise ValueError("instances: an id is listed twice")
        except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as problem:
            raise ProtocolError(f"catalog: {problem!r}") from problem
        entries, addresses, names = [], {}, {}
        for name, (entry, server_address) in by_name.items():
            entry.server = self.server_numbers.setdefault(
                name, len(self.server_numbers) + self._forgotten + 1
            )
            entries.append(entry)
            names[entry.server] = name
            if server_address:
                addresses[entry.server] = server_address
        unlisted = [n for n in self.server_numbers if n not in by_name] if kind is i.ListKind.FULL else []
        self._forget_unlisted(
            unlisted + [n for n, (entry, _) in by_name.items() if entry.state is i.ServerState.GONE], by_name
        )
        return Listing(
            i.ServerList(i.ListKind.CACHED if cached else kind, version, tuple(entries)), addresses, names
        )

    def _forget_unlisted(self, unlisted: list[str], listed: Iterable[str]) -> None:
        """Forget the ids that were unlisted first if there are too many; their numbers are not reused.

        As many as were ever listed at once are kept, so that a whole fleet can come back.
        """
        for name in listed:
            self._unlisted.pop(name, None)
        self._unlisted.update(dict.fromkeys(unlisted))
        self._most_listed = max(self._most_listed, len(self.server_numbers) - len(self._unlisted))
        surplus = len(self._unlisted) - max(self._most_listed, UNLISTED_LIMIT)
        for name in list(self._unlisted)[: max(surplus, 0)]:
            del self._unlisted[name], self.server_numbers[name]
            self._forgotten += 1

    def _entry(self, name: str, raw: Mapping[str, Any]) -> i.ServerEntry:
        state = STATES[raw["lifecycle"]]
        build = read_integer(raw, "release", 0 if state is i.ServerState.GONE else None)
        weight = read_number(raw, "weight", 1.0)
        if build >= BUILD_LIMIT or weight <= 0:
            raise ValueError(f"release {build}, weight {weight}")
        return i.ServerEntry(
            server=0,
            zone=self._zone(name, raw.get("zone")),
            cell=_cell(name, raw),
            machine_type=self.kinds.get(raw.get("machineType", ""), len(self.kinds)),
            build=build,
            state=state,
            started=read_integer(raw, "startedAtMs", 0) * MS,
            weight=weight,
        )

    def _zone(self, server_name: str, zone: Any) -> int:
        """Return the number of a zone; a server without one shares its zone with no other."""
        zone_name = zone if zone is not None else ""
        if not isinstance(zone_name, str) or len(zone_name) > NAME_LIMIT:
            raise ValueError("zone: text wanted")
        if zone_name in self.zones:
            return self.zones[zone_name]
        return groups.named_group(zone_name) if zone_name else groups.private_group(server_name)


def _cell(server_name: str, raw: Mapping[str, Any]) -> int:
    """Return the number of a cell; a server without one shares its cell with no other."""
    if raw.get("cell") is None:
        return groups.private_group(server_name)
    return read_integer(raw, "cell")


def _name(raw: Mapping[str, Any]) -> str:
    name = raw["instanceId"]
    if not isinstance(name, str) or not 0 < len(name) <= NAME_LIMIT:
        raise ValueError("instanceId: text wanted")
    return name


def _address(raw: Mapping[str, Any]) -> Address | None:
    text = raw.get("hostPort")
    if text is None or text == "":
        return None
    if not isinstance(text, str):
        raise ValueError("hostPort: text wanted")
    return parse_address(text)


def watch_target(version: int, wait_ms: int) -> str:
    """Return the request target that waits up to `wait_ms` for a change after `version`."""
    return f"/catalog/members?index={version}&wait={wait_ms}"


def list_target() -> str:
    """Return the request target of the full list."""
    return "/catalog/members"
