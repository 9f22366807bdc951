"""Reads the relay's configuration: environment variables and JSON, with checks and default values.

Errors name the full path of the key that is missing or invalid. Times are in nanoseconds unless a
docstring says otherwise.
"""

import json
import os
import resource
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from loftroute.config_section import ConfigError, Section, preview
from loftroute.decision import interface as i
from loftroute.module_settings import read_settings
from loftroute.protocol import ProtocolError, catalog, pipeline, resp
from loftroute.protocol.catalog import Address
from loftroute.protocol.jobs import RequestNames
from loftroute.transport import Transport

# File descriptors for the relay itself: listener, log, calls to discovery and platform, sockets being closed.
OWN_DESCRIPTORS = 32
MIN_CONNECTIONS = 20  # of clients and units together


@dataclass(frozen=True, slots=True)
class Budget:
    """Resource limits derived from the configured number of sockets, memory and cores."""

    client_connections: int  # connections from clients
    idle_client_connections: int  # idle connections from clients that have sent a single request
    unit_connections: int  # connections to units
    open_requests: int  # concurrent requests
    unsent_bytes: int  # bytes of answers buffered for clients that have not read them
    message_bytes: int  # bytes of all messages in memory


@dataclass(frozen=True, slots=True)
class ControlAddresses:
    """Addresses of the control services; a reload may change them."""

    discovery: Address
    platform: Address | None


@dataclass(frozen=True, slots=True)
class Config:
    """Configuration of one relay.

    Attributes:
        name: name of the relay in the log.
        listen: address on which clients connect.
        control: addresses of discovery and the platform.
        seed: seed of the random choices of the decision module.
        budget: limits for connections, open requests and buffers.
        initial_news: release state of the platform at the start, if known.
        cached_list: list of units given with the configuration, used until discovery answers.
        catalog: parser of lists, with the configured zones and host types.
        settings: settings of the decision module.
        names: indices of request classes and tenants by name.
        longest_deadline_ns: longest deadline of a request class.
        transport: limits and timeouts of connections.
    """

    name: str
    listen: Address
    control: ControlAddresses
    seed: int
    budget: Budget
    initial_news: i.ReleaseNews | None
    cached_list: catalog.Listing | None
    catalog: catalog.Catalog
    settings: i.Settings
    names: RequestNames
    longest_deadline_ns: int
    transport: Transport = field(default_factory=Transport)


def load(environ: Mapping[str, str] = os.environ) -> Config:
    """Read the file named by RELAY_CONFIG; the other RELAY_ variables override it. Raises `ConfigError`."""
    return read(_file(environ), environ)


def reload(environ: Mapping[str, str] = os.environ) -> ControlAddresses:
    """Read the file named by RELAY_CONFIG again and return its control addresses.

    The file must be valid as a whole, otherwise `ConfigError` is raised. Its discovery address overrides
    RELAY_DISCOVERY, which was set for the start. Its list and release news are ignored since they may be out
    of date.
    """
    fresh = read(_file(environ), {key: text for key, text in environ.items() if key != "RELAY_DISCOVERY"})
    return fresh.control


def _file(environ: Mapping[str, str]) -> dict[str, Any]:
    """Return the parsed JSON file named by RELAY_CONFIG."""
    path = environ.get("RELAY_CONFIG")
    if not path:
        raise ConfigError("RELAY_CONFIG: missing, the path of the configuration file wanted")
    try:
        with open(path, encoding="utf-8") as file:
            raw = json.load(file)
    except (OSError, ValueError, RecursionError) as problem:
        raise ConfigError(f"RELAY_CONFIG: {problem}") from problem
    if not isinstance(raw, dict):
        raise ConfigError("RELAY_CONFIG: a JSON object wanted")
    return raw


def read(raw: Mapping[str, Any], environ: Mapping[str, str]) -> Config:
    """Build a configuration from a JSON object and the overrides in the environment.

    RELAY_NAME, RELAY_LISTEN and RELAY_DISCOVERY take precedence over the keys. Raises `ConfigError`.
    """
    overrides = {
        key: environ[f"RELAY_{key.upper()}"]
        for key in ("name", "listen", "discovery")
        if environ.get(f"RELAY_{key.upper()}")
    }
    for key in overrides:
        if key != "name":
            _check_environment_address(key, overrides[key])
    top = Section({**raw, **overrides})
    if not top.has("settings"):
        raise ConfigError("settings: missing, an object wanted")
    setup = top.section("settings")
    parsed_settings = read_settings(raw["settings"], "settings")
    list_parser = catalog.Catalog(
        _index_by_name(setup.texts("zones")), _index_by_name(setup.texts("host_types"))
    )
    platform_section = top.section("pipeline")
    return Config(
        name=top.text("name", "relay"),
        listen=top.address("listen"),
        control=ControlAddresses(
            top.address("discovery"),
            platform_section.address("address") if platform_section.has("address") else None,
        ),
        seed=_seed(top),
        budget=_budget(top.section("limits"), setup.section("ceilings")),
        initial_news=_parse("pipeline.news", pipeline.parse_news, platform_section.raw("news"))
        if platform_section.has("news")
        else None,
        cached_list=_parse("known", list_parser.read_document, top.raw("known"), True)
        if top.has("known")
        else None,
        catalog=list_parser,
        settings=parsed_settings,
        names=RequestNames(
            _index_by_name(tuple(c.name for c in parsed_settings.classes)),
            _index_by_name(tuple(p.text("name", "") for p in setup.sections("parties"))),
            tuple(c.effect for c in parsed_settings.classes),
        ),
        longest_deadline_ns=max((c.deadline for c in parsed_settings.classes), default=0),
        transport=_transport(setup),
    )


def _check_environment_address(key: str, text: str) -> None:
    """Check an address from the environment, so that the error names the variable and not the key."""
    try:
        catalog.parse_address(text)
    except ValueError as problem:
        raise ConfigError(f"RELAY_{key.upper()}: HOST:PORT wanted, found {preview(text)}") from problem


def _index_by_name(names: tuple[str, ...]) -> dict[str, int]:
    """Return the index of each name."""
    return {name: n for n, name in enumerate(names)}


def _parse(key: str, parser: Any, *values: Any) -> Any:
    """Call a parser and report its `ProtocolError` as a `ConfigError` for the key."""
    try:
        return parser(*values)
    except ProtocolError as problem:
        raise ConfigError(f"{key}: {problem}") from problem


def _seed(top: Section) -> int:
    """Return the seed, which is written in hexadecimal."""
    text = top.text("seed")
    try:
        return int(text, 16)
    except ValueError as problem:
        raise ConfigError(f"seed: hex digits wanted, found {preview(text)}") from problem


def _budget(limits: Section, ceilings: Section) -> Budget:
    """Divide file descriptors and memory between clients, units and open requests.

    Of the descriptors that the relay does not need itself, 9/20 are for units and the others for clients. An
    open request uses one of each; the rest are idle connections on both sides. Connections with a chunk each
    take at most a third of the memory beside the program: clients that only connect must not use it up.

    The number of open requests is bounded by the cores and by half of the remaining memory, with requests
    and answers of the maximum size. Half of what the connections leave of the memory is for messages, but
    never less than a usual chunk for each connection and a few messages of the maximum size.
    """
    configured_sockets = limits.integer("sockets", 1024)
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    available = (
        configured_sockets if soft_limit == resource.RLIM_INFINITY else min(configured_sockets, soft_limit)
    ) - OWN_DESCRIPTORS
    if available < MIN_CONNECTIONS:
        raise ConfigError(f"limits.sockets: at least 60 wanted, found {available + OWN_DESCRIPTORS}")
    defaults = Transport()
    memory_bytes = max((limits.integer("memory_mb", 192) << 20) - defaults.program_bytes, 0)
    available = min(available, max(memory_bytes // 3 // defaults.bytes_per_connection, MIN_CONNECTIONS))
    for_units = available * 9 // 20
    max_open = min(
        available - for_units,
        max(64, memory_bytes // 2 // (2 * resp.VALUE_LIMIT)),
        int(defaults.open_requests_per_core * limits.number("cores", 1.0)),
    )
    message_bytes = max(
        (memory_bytes - available * defaults.connection_bytes) // 2,
        available * defaults.initial_buffer_bytes + 4 * defaults.max_message_bytes,
    )
    max_open = min(max_open, ceilings.integer("max_open", 0) or max_open)
    return Budget(
        client_connections=available - for_units,
        idle_client_connections=(available - for_units) // 8,
        unit_connections=for_units,
        open_requests=max_open,
        unsent_bytes=max(memory_bytes // 4, 2 * resp.VALUE_LIMIT),
        message_bytes=message_bytes,
    )


def _transport(setup: Section) -> Transport:
    """Return the transport limits, adjusted to the settings.

    Idle connections to units are kept for two thirds of the configured idle time.
    """
    ceilings, release = setup.section("ceilings"), setup.section("family_info")
    defaults = Transport()
    conn_idle = ceilings.integer("conn_idle", 0)
    # An agent may recover without ever answering the pending watch. The next watch must then start early
    # enough to learn of a draining unit within the drain grace.
    grace = setup.section("obligations").integer("drain_grace", 0) or 5 * defaults.retry_delay_ns
    fifth = max(grace // 5, defaults.pause_ns)
    return Transport(
        dial_timeout_ns=ceilings.integer("dial_timeout", 0) or defaults.dial_timeout_ns,
        idle_timeout_ns=conn_idle * 2 // 3 or defaults.idle_timeout_ns,
        call_timeout_ns=release.integer("answer_wait", 0) or defaults.call_timeout_ns,
        retry_delay_ns=min(defaults.retry_delay_ns, fifth),
        watch_retry_wait_ns=min(defaults.watch_retry_wait_ns, fifth),
        watch_grace_ns=min(defaults.watch_grace_ns, max(2 * fifth, defaults.retry_delay_ns // 2)),
    )
