"""Reads and validates the product settings; an error names the file, the line and the field."""

import ipaddress
from dataclasses import dataclass
from pathlib import Path

from google.protobuf import text_format
from google.protobuf.message import Message
from lark import Lark, Token, Tree
from lark.exceptions import LarkError

from loftroute.settings import product_pb2

MS = 1_000_000  # nanoseconds

# Grammar of the protobuf text format, only as detailed as needed to find the line of each field.
GRAMMAR = r"""
start: field*
field: NAME (":" value | ":"? block) [";" | ","]
block: "{" field* "}" | "<" field* ">"
value: SCALAR | STRING+ | "[" [item ("," item)*] "]"
item: SCALAR | STRING+ | block
NAME: /[A-Za-z_][A-Za-z0-9_]*/
SCALAR: /[-+.A-Za-z0-9_]+/
STRING: /"(\\.|[^"\\\n])*"|'(\\.|[^'\\\n])*'/
COMMENT: /#[^\n]*/
%ignore COMMENT
%ignore /\s+/
"""

# Field path: (default, minimum, maximum).
BOUNDS: dict[str, tuple[float, float, float]] = {
    "store.segment_bytes": (4 << 20, 64 << 10, 256 << 20),
    "store.batch_bytes": (1 << 20, 4 << 10, 64 << 20),
    "store.value_bytes": (256 << 10, 1 << 10, 16 << 20),
    "store.pending_bytes": (4 << 20, 64 << 10, 256 << 20),
    "store.total_bytes": (1 << 30, 1 << 20, 1 << 44),
    "store.reserve_bytes": (8 << 20, 0, 1 << 30),
    "store.amplification": (2.0, 1.2, 10.0),
    "store.checkpoint_keys": (20_000, 100, 10_000_000),
    "store.snapshot_keys": (100_000, 100, 10_000_000),
    "store.follower_bytes": (64 << 20, 64 << 10, 1 << 40),
    "store.sync_timeout_ms": (2_000, 50, 60_000),
    "recall.keep_ms": (600_000, 1_000, 7 * 86_400_000),
    "recall.max_requests": (1_000_000, 10, 100_000_000),
    "recall.max_bytes": (512 << 20, 64 << 10, 1 << 40),
    "recall.clock_step_ms": (1_000, 0, 86_400_000),
    "recall.come_again_ms": (1_000, 1, 3_600_000),
    "recall.joined": (8, 1, 1_000),
    "background.bytes_per_s": (32 << 20, 64 << 10, 10 << 30),
    "background.busy_share": (0.2, 0.01, 0.9),
    "background.lag_high_ms": (20, 1, 10_000),
    "background.starve_ms": (500, 10, 60_000),
    "vrrp.allowance_ms": (30_000, 100, 3_600_000),
    "pair.patience_ms": (500, 20, 60_000),
    "pair.again_ms": (200, 10, 60_000),
}
TRACK_CONDITIONS = ("ready", "lag", "store", "units", "fence")
LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")


class SettingsError(ValueError):
    """Raised for an invalid setting; the message is one line with the file, the line number and the field."""


@dataclass(frozen=True, slots=True)
class Product:
    """Validated settings.

    Attributes:
        path: File that the settings were read from.
        message: The parsed message, without defaults.
        numbers: Value of each field of `BOUNDS` by its path, defaults filled in.
    """

    path: str
    message: product_pb2.Product
    numbers: dict[str, float]

    def integer(self, field: str) -> int:
        """Return a numeric field, truncated to an integer."""
        return int(self.numbers[field])

    def duration_ns(self, field: str) -> int:
        """Return a field given in milliseconds as nanoseconds."""
        return int(self.numbers[field]) * MS

    @property
    def store_on(self) -> bool:
        """Whether a durable store is configured."""
        return bool(self.message.store.directory)

    @property
    def vrrp_on(self) -> bool:
        """Whether any virtual router is configured."""
        return bool(self.message.vrrp.router)

    @property
    def pair_on(self) -> bool:
        """Whether the relay is one of a pair."""
        return bool(self.message.pair.name)

    @property
    def recall_on(self) -> bool:
        """Whether recall of earlier requests is enabled."""
        return self.message.recall.enabled


def load(path: str | Path) -> Product:
    """Read and validate a settings file.

    Raises `SettingsError` if the file cannot be read or a setting is invalid.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: {error}") from error
    return read(text, str(path))


def read(text: str, path: str) -> Product:
    """Parse and validate settings; `path` is used in error messages.

    Raises `SettingsError`.
    """
    message = product_pb2.Product()
    try:
        text_format.Parse(text, message)
    except text_format.ParseError as error:
        line = error.GetLine() or 1
        raise SettingsError(f"{path}:{line}: {_strip_position(str(error))}") from error
    lines = _field_lines(text)
    product = Product(path, message, _read_numbers(path, message, lines))
    _check_relations(product, lines)
    _check_vrrp(product, lines)
    _check_pair(product, lines)
    return product


def _strip_position(text: str) -> str:
    """Return a parser message without the leading `LINE:COLUMN : `."""
    return text.split(" : ", 1)[-1] if " : " in text else text


def _field_lines(text: str) -> dict[str, int]:
    """Return the line number of each field by its path."""
    try:
        tree = Lark(GRAMMAR, parser="lalr", propagate_positions=True).parse(text)
    except LarkError:  # protobuf accepted the text: only the line numbers are lost
        return {}
    lines: dict[str, int] = {}
    _collect_lines(tree, "", lines)
    return lines


def _collect_lines(tree: Tree[Token], parent: str, lines: dict[str, int]) -> None:
    """Add the lines of all fields below `tree` to `lines`; `parent` is the path of the enclosing field."""
    for child in tree.children:
        if not isinstance(child, Tree):
            continue
        if child.data != "field":
            _collect_lines(child, parent, lines)
            continue
        name = child.children[0]
        path = f"{parent}.{name}" if parent else str(name)
        lines[path] = getattr(name, "line", 1) or 1
        _collect_lines(child, path, lines)


def _invalid(path: str, lines: dict[str, int], field: str, reason: str) -> SettingsError:
    """Return an error that names the line of a field, or of its section if the field is absent."""
    line = lines.get(field) or lines.get(field.split(".")[0]) or 1
    return SettingsError(f"{path}:{line}: {field}: {reason}")


def _read_numbers(path: str, message: Message, lines: dict[str, int]) -> dict[str, float]:
    """Return the numeric fields with defaults filled in; raises `SettingsError` for one out of bounds."""
    numbers: dict[str, float] = {}
    for field, (default, minimum, maximum) in BOUNDS.items():
        section_name, name = field.split(".")
        section = getattr(message, section_name)
        value = getattr(section, name) if section.HasField(name) else default
        if not minimum <= value <= maximum:
            raise _invalid(
                path, lines, field, f"{value:g} is out of bounds, {minimum:g} to {maximum:g} wanted"
            )
        numbers[field] = value
    return numbers


def _check_endpoint(product: Product, lines: dict[str, int], field: str, text: str) -> None:
    """Raise `SettingsError` unless `text` is HOST:PORT."""
    host, separator, port = text.rpartition(":")
    if not separator or not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise _invalid(product.path, lines, field, f"HOST:PORT wanted, found {text!r}")


def _parse_ip(
    product: Product, lines: dict[str, int], field: str, text: str
) -> "ipaddress.IPv4Address | ipaddress.IPv6Address":
    try:
        return ipaddress.ip_address(text)
    except ValueError:
        raise _invalid(product.path, lines, field, f"an IP address wanted, found {text!r}") from None


def _check_vrrp(product: Product, lines: dict[str, int]) -> None:
    """Raise `SettingsError` for invalid virtual routers.

    Checked are the peers and their addresses, the parameters of each router, and that advertisements are
    unauthenticated only on loopback.
    """
    vrrp, path = product.message.vrrp, product.path
    if not product.vrrp_on:
        return
    if not vrrp.peer:
        raise _invalid(path, lines, "vrrp.peer", "missing, at least one peer wanted")
    primary = _parse_ip(product, lines, "vrrp.primary", vrrp.primary)
    _check_endpoint(product, lines, "vrrp.listen", vrrp.listen)
    for peer in vrrp.peer:
        _check_endpoint(product, lines, "vrrp.peer.endpoint", peer.endpoint)
        peer_primary = _parse_ip(product, lines, "vrrp.peer.primary", peer.primary)
        if peer_primary == primary or peer_primary.version != primary.version:
            raise _invalid(path, lines, "vrrp.peer.primary", "another address of the same family wanted")
        if not vrrp.key_file and not peer.endpoint.startswith(("127.", "[::1]", "::1")):
            raise _invalid(path, lines, "vrrp.key_file", "missing; plain only on loopback")
    if vrrp.announce_to:
        _check_endpoint(product, lines, "vrrp.announce_to", vrrp.announce_to)
    vrids: set[int] = set()
    for router in vrrp.router:
        if not 1 <= router.vrid <= 255 or router.vrid in vrids:
            raise _invalid(path, lines, "vrrp.router.vrid", f"{router.vrid}: 1 to 255, each once, wanted")
        vrids.add(router.vrid)
        for name, value, maximum in (
            ("priority", router.priority or 100, 255),
            ("interval_cs", router.interval_cs or 100, 4095),
        ):
            if not 1 <= value <= maximum:
                raise _invalid(
                    path, lines, f"vrrp.router.{name}", f"{value} is out of bounds, 1 to {maximum} wanted"
                )
        if not router.address:
            raise _invalid(path, lines, "vrrp.router.address", "missing, at least one wanted")
        for address in router.address:
            if _parse_ip(product, lines, "vrrp.router.address", address).version != primary.version:
                raise _invalid(path, lines, "vrrp.router.address", "of the primary address's family wanted")
    for track in vrrp.track:
        if track.condition not in TRACK_CONDITIONS or not 1 <= track.cost <= 254:
            raise _invalid(
                path,
                lines,
                "vrrp.track",
                f"one of {', '.join(TRACK_CONDITIONS)} and a cost of 1 to 254 wanted",
            )


def _check_pair(product: Product, lines: dict[str, int]) -> None:
    """Raise `SettingsError` for invalid `pair` or `witness` sections."""
    pair, path, witness = product.message.pair, product.path, product.message.witness
    if witness.listen or witness.directory:
        _check_endpoint(product, lines, "witness.listen", witness.listen)
        if not witness.directory or len(set(witness.name)) != 2 or not witness.key_file:
            raise _invalid(path, lines, "witness", "directory, the names of two relays and key_file wanted")
    if not product.message.HasField("pair"):
        return
    if (
        not pair.name
        or not pair.peer_name
        or pair.name == pair.peer_name
        or "witness" in (pair.name, pair.peer_name)
    ):
        raise _invalid(path, lines, "pair.name", "two different names wanted, in name and peer_name")
    if not product.recall_on:
        raise _invalid(path, lines, "pair", "needs recall.enabled")
    if not pair.key_file:
        raise _invalid(path, lines, "pair.key_file", "missing")
    for field in ("listen", "peer", "witness"):
        if field != "witness" or pair.witness:
            _check_endpoint(product, lines, f"pair.{field}", getattr(pair, field))


def _check_relations(product: Product, lines: dict[str, int]) -> None:
    """Raise `SettingsError` where fields contradict each other, and for an unknown log level."""
    message, integer, path = product.message, product.integer, product.path
    if message.log.level and message.log.level not in LOG_LEVELS:
        raise _invalid(path, lines, "log.level", f"one of {', '.join(LOG_LEVELS)} wanted")
    if message.HasField("store") and not message.store.directory:
        raise _invalid(path, lines, "store.directory", "missing, a folder wanted")
    if message.recall.enabled and not product.store_on:
        raise _invalid(path, lines, "recall.enabled", "needs store.directory")
    if integer("store.batch_bytes") < integer("store.value_bytes") + 2048:
        raise _invalid(path, lines, "store.batch_bytes", "too small for a record of store.value_bytes")
    if integer("store.total_bytes") < 4 * integer("store.segment_bytes"):
        raise _invalid(path, lines, "store.total_bytes", "at least four times store.segment_bytes wanted")
    if integer("recall.max_bytes") > integer("store.total_bytes") // 2 and message.recall.enabled:
        raise _invalid(path, lines, "recall.max_bytes", "at most half of store.total_bytes wanted")
