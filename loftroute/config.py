"""Reads the relay's configuration: environment variables and JSON, with checks and default values.

Errors name the full path of the key that is missing or invalid. Times are in nanoseconds unless a
docstring says otherwise.
"""

import json
import os
import resource
from collections.abc import Mapping
from dataclasses import dataclass, field
from math import isfinite
from typing import Any

from loftroute.decision import interface as i
from loftroute.protocol import ProtocolError, catalog, pipeline, resp
from loftroute.protocol.catalog import Address
from loftroute.protocol.jobs import RequestNames

# File descriptors for the relay itself: listener, log, calls to discovery and platform, sockets being closed.
OWN_DESCRIPTORS = 32
MIN_CONNECTIONS = 20  # of clients and units together

CONTROLS = {
    "first_voice": i.Control.ANY,
    "by_count": i.Control.SHARE,
    "automatic": i.Control.TIMER,
}


class ConfigError(ValueError):
    """A configuration key is missing or has an invalid value."""


class Section:
    """A JSON object and its path in the document.

    The accessors return the default for a key that is absent or null. Without a default, or for a value of
    the wrong type, they raise `ConfigError`.
    """

    def __init__(self, raw: Any, path: str = "") -> None:
        if not isinstance(raw, Mapping):
            raise ConfigError(f"{path or 'configuration'}: an object wanted, found {_preview(raw)}")
        self._raw, self._path = raw, path

    def path_of(self, key: str) -> str:
        """Return the full path of a key, for example "settings.services[0].aim"."""
        return f"{self._path}.{key}" if self._path else key

    def _invalid(self, key: str, wanted: str) -> ConfigError:
        """Return the error for a missing or invalid key; `wanted` describes a valid value."""
        if self._raw.get(key) is None:
            return ConfigError(f"{self.path_of(key)}: missing, {wanted} wanted")
        return ConfigError(f"{self.path_of(key)}: {wanted} wanted, found {_preview(self._raw[key])}")

    def number(self, key: str, default: float | None = None) -> float:
        """Return a finite number."""
        value = self._raw.get(key)
        value = default if value is None else value
        if isinstance(value, bool) or not isinstance(value, int | float) or not isfinite(value):
            raise self._invalid(key, "a finite number")
        return float(value)

    def integer(self, key: str, default: int | None = None) -> int:
        """Return an integer; a float with an integral value is accepted."""
        value = self._raw.get(key)
        value = default if value is None else value
        if isinstance(value, bool) or not isinstance(value, int | float) or value != value // 1:
            raise self._invalid(key, "a whole number")
        return int(value)

    def text(self, key: str, default: str | None = None) -> str:
        """Return a string."""
        value = self._raw.get(key)
        value = default if value is None else value
        if not isinstance(value, str):
            raise self._invalid(key, "text")
        return value

    def flag(self, key: str) -> bool:
        """Return a boolean, False by default; integers are accepted."""
        value = self._raw.get(key)
        if not isinstance(value, bool | int | None):
            raise self._invalid(key, "true or false")
        return bool(value)

    def choice(self, key: str, known: Mapping[str, Any], default: str) -> Any:
        """Return the value that `known` has for the configured name; an empty name gives the default."""
        value = self.text(key, default) or default
        if value not in known:
            raise self._invalid(key, "one of " + ", ".join(known))
        return known[value]

    def has(self, key: str) -> bool:
        """Return whether the key is present and not null."""
        return self._raw.get(key) is not None

    def raw(self, key: str) -> Any:
        """Return the unchecked value; None if it is absent."""
        return self._raw.get(key)

    def section(self, key: str) -> "Section":
        """Return a nested object; an absent one is empty."""
        return Section(self._raw.get(key) or {}, self.path_of(key))

    def _list(self, key: str) -> list[Any]:
        value = self._raw.get(key)
        if value is not None and not isinstance(value, list | tuple):
            raise self._invalid(key, "a list")
        return list(value or ())

    def sections(self, key: str) -> list["Section"]:
        """Return a list of objects; an absent one is empty."""
        return [Section(raw, f"{self.path_of(key)}[{n}]") for n, raw in enumerate(self._list(key))]

    def numbers(self, key: str) -> tuple[float, ...]:
        """Return a list of finite numbers; an absent one is empty."""
        elements = self._elements(key)
        return tuple(elements.number(str(n)) for n in range(len(elements._raw)))

    def texts(self, key: str) -> tuple[str, ...]:
        """Return a list of strings; an absent one is empty."""
        elements = self._elements(key)
        return tuple(elements.text(str(n)) for n in range(len(elements._raw)))

    def _elements(self, key: str) -> "Section":
        """Return a list as a section with the indices as keys, so that errors name the index."""
        return Section({str(n): value for n, value in enumerate(self._list(key))}, self.path_of(key))

    def address(self, key: str) -> Address:
        """Return an address of the form HOST:PORT."""
        try:
            return catalog.parse_address(self.text(key))
        except ConfigError:
            raise
        except ValueError as problem:
            raise self._invalid(key, "HOST:PORT") from problem


def _preview(value: Any) -> str:
    """Return the start of a value's representation, for error messages."""
    return repr(value)[:60]


# ---- Settings of the decision module, shared by the bench adapter and the relay


def _class(raw: Section) -> i.RequestClass:
    deadline = raw.integer("hard_limit")
    return i.RequestClass(
        name=raw.text("name", ""),
        target_latency=raw.integer("aim", 0) or deadline,
        deadline=deadline,
        effect=raw.choice("effect", {e.value: e for e in i.Effect}, "unsafe"),
        dedup_scope=raw.choice("group", {g.value: g for g in i.DedupScope}, "all"),
        key_window=raw.integer("window", 0),
        value=raw.number("worth", 1.0),
        late_value=raw.number("late_worth", 0.0),
        stream=raw.flag("stream"),
        target_stretch=raw.number("aim_stretch", 0.0),
    )


def _release(raw: Section) -> i.Release:
    return i.Release(
        control=raw.choice("decided_by", CONTROLS, "first_voice"),
        in_place=raw.text("replace_mode", "") == "replace",
        stage_share=raw.numbers("stage_share"),
        stage_cap=raw.numbers("stage_cap"),
        cap_per_class=raw.text("cap_scope", "") == "each_class",
        safe_only_stages=raw.integer("safe_only_stages", 0),
        forward_only=raw.flag("forward_only"),
        free_attempts=raw.number("allowance", 0.0),
        exposure_window=raw.integer("counted_over", 0),
        bake_time=raw.integer("min_dwell", 0),
        stage_duration=raw.integer("moves_after", 0),
        vote_ttl=raw.integer("ballot_ttl", 0),
        call_timeout=raw.integer("answer_wait", 0),
        calls_per_s=raw.number("calls_per_s", 0.0),
        votes_to_advance=raw.integer("ayes_needed", 0),
        votes_to_roll_back=raw.integer("to_abort", 1),
        push_period=raw.integer("repeat_every", 0),
        tally_period=raw.integer("tally_every", 0),
        behind_price=raw.number("behind_price", 0.0),
        harm_price=raw.number("harm_fee", 0.0),
    )


def settings(source: Any, path: str = "") -> i.Settings:
    """Parse the settings of an instance; unknown keys are ignored.

    `path` is the prefix of keys in errors. Raises `ConfigError`.
    """
    raw = Section(source, path)
    limits, rules = raw.section("ceilings"), raw.section("obligations")
    prices, report = raw.section("prices"), raw.section("reporting")
    return i.Settings(
        instance_index=raw.integer("self_index", 0),
        instances=max(1, raw.integer("instances", 1)),
        zone=raw.integer("zone", 0),
        clock_granularity=raw.integer("tick", 0),
        classes=tuple(_class(c) for c in raw.sections("services")),
        quotas=tuple(p.number("allowance_per_s", 0.0) for p in raw.sections("parties")),
        over_quota_value=raw.number("over_share_worth", 1.0),
        release=_release(raw.section("family_info")),
        ask_discovery=raw.text("discovery", "") == "ask",
        ask_discovery_within=rules.integer("ask_within", 0),
        drain_grace=rules.integer("drain_grace", 0),
        cold_duration=rules.integer("cold", 0),
        start_capacity=max(rules.number("start_capacity", 0.0), 0.0) or 1.0,
        overload_window=rules.integer("fall", 0),
        overload_multiple=rules.number("fall_multiple", 0.0) or 1.0,
        max_attempts=limits.integer("max_attempts", 0) or 1,
        max_retry_after=limits.integer("max_retry_after", 0),
        retry_after=limits.flag("retry_after"),
        cancel=limits.flag("cancel"),
        probes=limits.flag("probes"),
        second_copies=limits.flag("second_copies"),
        report_fields=report.texts("fields"),
        reports=report.text("via", "none"),
        weights=raw.text("weights", "none"),
        probe_price=prices.number("probe", 0.0),
        cross_zone_price=prices.number("cross_zone", 0.0),
    )


# ---- Configuration of the relay


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
class Transport:
    """Limits and timeouts of sockets and connections, in nanoseconds, bytes or counts.

    None of them influences which unit a request is sent to.
    """

    # Upper bound for a dial, and for an attempt that waits for a connection.
    dial_timeout_ns: int = 250_000_000
    # Minimum time between two polls of the sockets.
    min_poll_interval_ns: int = 1_000_000
    # Idle connections to a unit are closed after this time unless the settings give another.
    idle_timeout_ns: int = 3_000_000_000
    # Reuses after a similar idle time that are needed before its break rate is judged.
    keepalive_min_samples: int = 8
    # Share of reused connections that may break, in addition to twice the share of new connections.
    keepalive_max_break_share: float = 0.1
    # How long a shortened keep-alive limit is held before it is relaxed.
    keepalive_hold_ns: int = 10_000_000_000
    # Total time for a vote, including the dial.
    call_timeout_ns: int = 2_000_000_000
    # Wait that a watch requests from the discovery agent.
    watch_wait_ns: int = 1_000_000_000
    # Wait that a watch requests after a failed call.
    watch_retry_wait_ns: int = 200_000_000
    # The answer to a watch is overdue this long after its requested wait is over; another call follows.
    watch_grace_ns: int = 400_000_000
    # Overdue calls to discovery, silent streams of changes and unanswered votes are closed after this time.
    call_patience_ns: int = 30_000_000_000
    # A change that discovery has should reach the relay within this time. It counts as known to the relay
    # after 6 s at the latest, whether it arrived or not.
    list_change_limit_ns: int = 5_500_000_000
    # Open calls to discovery, of which all but one are overdue. Beyond this the second oldest is closed.
    max_open_calls: int = 8
    # Lists with a lower version than the current one are treated as stale for this long.
    stale_list_grace_ns: int = 2_000_000_000
    # Time after the start that readiness waits for the first release news from the platform.
    first_news_timeout_ns: int = 2_000_000_000
    # Another stream of changes is opened beside one that has brought no data for this time.
    changes_silence_timeout_ns: int = 2_500_000_000
    # Open streams of changes. Beyond this the second oldest is closed.
    max_open_streams: int = 4
    # Longest delay before a failed call is retried.
    retry_delay_ns: int = 200_000_000
    # Minimum time between an answer and the next request on the same connection.
    reuse_delay_ns: int = 25_000_000
    # Delay between the close of a timed-out attempt and its report, so that the unit has seen the close.
    timeout_report_delay_ns: int = 15_000_000
    # Subtracted from a client's time limit for the network between client and relay.
    network_margin_ns: int = 10_000_000
    # A request this far past its deadline is ended even if the decision module has not ended it.
    overdue_grace_ns: int = 30_000_000
    # Initial size of a read buffer.
    initial_buffer_bytes: int = 4096
    # Longest command or answer.
    max_message_bytes: int = 1 << 18
    # Longest document from discovery or the platform.
    max_document_bytes: int = 4 << 20
    # A client connection without an open request is closed after this time without a new command.
    client_idle_timeout_ns: int = 2_200_000_000
    # Interval of the check for idle and slow clients.
    trim_interval_ns: int = 100_000_000
    # After a protocol error or a graceful close, the relay waits this long for the client to close.
    linger_ns: int = 300_000_000
    # Limit of the input discarded after a protocol error.
    max_linger_bytes: int = 1 << 20
    # Consecutive bad requests of a client after which reading from it is throttled.
    bad_requests_before_pause: int = 8
    # Reads and commands of one client connection per turn of the scheduler.
    max_steps_per_turn: int = 16
    # Those of them that do not count towards the sum of all connections.
    free_steps_per_turn: int = 2
    # Reads and commands of all client connections per turn, beyond those that do not count.
    shared_steps_per_turn: int = 256
    # Retry-after sent with requests that the relay itself refuses, for example when too many are open.
    retry_after_ns: int = 250_000_000
    # Unanswered commands per client connection before reading stops.
    max_pipelined: int = 64
    # Input per client connection that is read, but not processed, while no more commands may be open. The end
    # of a client that has more unread than this and what the systems buffer can't be seen.
    max_read_ahead_bytes: int = 1 << 18
    # A client connection whose input was left unread has been read to its end once no more than this has come
    # within the network margin; a system that holds data back sends more.
    max_settled_bytes: int = 1 << 15
    # Unanswered commands per client connection while half of the memory for messages is in use.
    max_pipelined_if_scarce: int = 2
    # Unsent bytes per client connection before reading stops.
    max_unsent_bytes: int = 1 << 18
    # Length of the listener's accept queue.
    backlog: int = 1024
    # Concurrent requests per core; more would only wait and use up the core they wait for.
    open_requests_per_core: int = 128
    # Memory used by the program itself; the rest bounds the open requests.
    program_bytes: int = 24 << 20
    # Memory of a connection and its task, without messages.
    connection_bytes: int = 8 << 10
    # Consecutive failures after the first until the retry delay reaches its maximum; the first has no delay.
    backoff_steps: int = 4
    # Pause before the next accept when there is no room, and between reads from a throttled client.
    pause_ns: int = 20_000_000
    # Maximum connections opened to a unit that is new in the list, before the first attempt is sent to it.
    max_warm_connections: int = 3
    # A client connection may be closed to make room once it has been idle for this long.
    evictable_after_ns: int = 50_000_000
    # A large command that is still incomplete after this time may be discarded to make room for another.
    skippable_after_ns: int = 50_000_000
    # Ids of ended requests that are kept from being used again.
    max_closed_requests: int = 1 << 14
    # Interval at which those that may be used again are forgotten.
    forget_closed_interval_ns: int = 1_000_000_000
    # Messages that a mailbox holds.
    mailbox_capacity: int = 1 << 16
    # Interval of the state line in the log.
    report_interval_ns: int = 10_000_000_000
    # Minimum time after SIGTERM in which new connections are accepted.
    min_drain_ns: int = 600_000_000
    # After that minimum, accepting stops once no connection has arrived for this long.
    drain_quiet_ns: int = 200_000_000
    # Maximum time after SIGTERM in which new connections are accepted.
    max_drain_ns: int = 1_200_000_000
    # The platform sends SIGKILL no earlier than the longest class deadline plus `kill_delay_ns`, counted
    # from SIGTERM. Longer class deadlines count as this value.
    kill_deadline_cap_ns: int = 3_000_000_000
    # Time that the platform adds to that deadline.
    kill_delay_ns: int = 700_000_000
    # Everything still open is answered this long before the SIGKILL.
    kill_reserve_ns: int = 250_000_000
    # Time after a client's half-close in which its pending requests may still be started. The protocol allows
    # 100 ms, counted where the attempt arrives; the rest is for the way of both and for one turn.
    half_close_grace_ns: int = 75_000_000

    @property
    def bytes_per_connection(self) -> int:
        """Memory of a connection with its task and a usual chunk."""
        return self.connection_bytes + self.initial_buffer_bytes

    def backoff(self, failures: int) -> int:
        """Return the delay in nanoseconds before a retry after that many consecutive failures."""
        return min(failures - 1, self.backoff_steps) * self.retry_delay_ns // self.backoff_steps


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
    parsed_settings = settings(raw["settings"], "settings")
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
        raise ConfigError(f"RELAY_{key.upper()}: HOST:PORT wanted, found {_preview(text)}") from problem


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
        raise ConfigError(f"seed: hex digits wanted, found {_preview(text)}") from problem


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
