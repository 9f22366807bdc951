"""Reads the product's settings and checks them whole; an error names file, line and field."""

import ipaddress
from dataclasses import dataclass
from pathlib import Path

from google.protobuf import text_format
from google.protobuf.message import Message
from lark import Lark, Token, Tree
from lark.exceptions import LarkError

from loftroute.settings import product_pb2

MS = 1_000_000  # nanoseconds

# The shape of protobuf's text format, as far as it takes to say on which line a field stands.
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

# Field: default, least, most.
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
CONDITIONS = ("ready", "lag", "store", "units", "fence")
LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")


class SettingsError(ValueError):
    """A setting that can't be used: the file, the line and the field, on one line."""


@dataclass(frozen=True, slots=True)
class Product:
    """The settings, checked, with defaults filled in."""

    path: str
    message: product_pb2.Product
    numbers: dict[str, float]

    def whole(self, field: str) -> int:
        return int(self.numbers[field])

    def span(self, field: str) -> int:
        """A field in milliseconds, as nanoseconds."""
        return int(self.numbers[field]) * MS

    @property
    def store_on(self) -> bool:
        return bool(self.message.store.directory)

    @property
    def vrrp_on(self) -> bool:
        return bool(self.message.vrrp.router)

    @property
    def pair_on(self) -> bool:
        return bool(self.message.pair.name)

    @property
    def recall_on(self) -> bool:
        return self.message.recall.enabled


def load(path: str | Path) -> Product:
    """The settings of a file; raises `SettingsError`."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as problem:
        raise SettingsError(f"{path}: {problem}") from problem
    return read(text, str(path))


def read(text: str, path: str) -> Product:
    message = product_pb2.Product()
    try:
        text_format.Parse(text, message)
    except text_format.ParseError as problem:
        line = problem.GetLine() or 1
        raise SettingsError(f"{path}:{line}: {_plain(str(problem))}") from problem
    lines = _lines(text)
    checked = Product(path, message, _numbers(path, message, lines))
    _together(checked, lines)
    _vrrp(checked, lines)
    _pair(checked, lines)
    return checked


def _plain(text: str) -> str:
    """The parser's words without the place that stands before them."""
    return text.split(" : ", 1)[-1] if " : " in text else text


def _lines(text: str) -> dict[str, int]:
    """The line of each field by its path."""
    try:
        tree = Lark(GRAMMAR, parser="lalr", propagate_positions=True).parse(text)
    except LarkError:  # protobuf took it: a form that this grammar does not know costs only the line
        return {}
    found: dict[str, int] = {}
    _walk(tree, "", found)
    return found


def _walk(tree: Tree[Token], above: str, found: dict[str, int]) -> None:
    for child in tree.children:
        if not isinstance(child, Tree):
            continue
        if child.data != "field":
            _walk(child, above, found)
            continue
        name = child.children[0]
        path = f"{above}.{name}" if above else str(name)
        found[path] = getattr(name, "line", 1) or 1
        _walk(child, path, found)


def _wrong(path: str, lines: dict[str, int], field: str, what: str) -> SettingsError:
    line = lines.get(field) or lines.get(field.split(".")[0]) or 1
    return SettingsError(f"{path}:{line}: {field}: {what}")


def _numbers(path: str, message: Message, lines: dict[str, int]) -> dict[str, float]:
    numbers: dict[str, float] = {}
    for field, (default, least, most) in BOUNDS.items():
        part, name = field.split(".")
        section = getattr(message, part)
        value = getattr(section, name) if section.HasField(name) else default
        if not least <= value <= most:
            raise _wrong(path, lines, field, f"{value:g} is out of bounds, {least:g} to {most:g} wanted")
        numbers[field] = value
    return numbers


def _address(product: Product, lines: dict[str, int], field: str, text: str) -> None:
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise _wrong(product.path, lines, field, f"HOST:PORT wanted, found {text!r}")


def _ip(
    product: Product, lines: dict[str, int], field: str, text: str
) -> "ipaddress.IPv4Address | ipaddress.IPv6Address":
    try:
        return ipaddress.ip_address(text)
    except ValueError:
        raise _wrong(product.path, lines, field, f"an IP address wanted, found {text!r}") from None


def _vrrp(product: Product, lines: dict[str, int]) -> None:
    """Virtual routers that clash, have nobody to speak with or speak plainly where others listen."""
    vrrp, path = product.message.vrrp, product.path
    if not product.vrrp_on:
        return
    if not vrrp.peer:
        raise _wrong(path, lines, "vrrp.peer", "missing, at least one peer wanted")
    primary = _ip(product, lines, "vrrp.primary", vrrp.primary)
    _address(product, lines, "vrrp.listen", vrrp.listen)
    for peer in vrrp.peer:
        _address(product, lines, "vrrp.peer.endpoint", peer.endpoint)
        other = _ip(product, lines, "vrrp.peer.primary", peer.primary)
        if other == primary or other.version != primary.version:
            raise _wrong(path, lines, "vrrp.peer.primary", "another address of the same family wanted")
        if not vrrp.key_file and not peer.endpoint.startswith(("127.", "[::1]", "::1")):
            raise _wrong(path, lines, "vrrp.key_file", "missing; plain only on loopback")
    if vrrp.announce_to:
        _address(product, lines, "vrrp.announce_to", vrrp.announce_to)
    seen: set[int] = set()
    for router in vrrp.router:
        if not 1 <= router.vrid <= 255 or router.vrid in seen:
            raise _wrong(path, lines, "vrrp.router.vrid", f"{router.vrid}: 1 to 255, each once, wanted")
        seen.add(router.vrid)
        for name, value, most in (
            ("priority", router.priority or 100, 255),
            ("interval_cs", router.interval_cs or 100, 4095),
        ):
            if not 1 <= value <= most:
                raise _wrong(
                    path, lines, f"vrrp.router.{name}", f"{value} is out of bounds, 1 to {most} wanted"
                )
        if not router.address:
            raise _wrong(path, lines, "vrrp.router.address", "missing, at least one wanted")
        for address in router.address:
            if _ip(product, lines, "vrrp.router.address", address).version != primary.version:
                raise _wrong(path, lines, "vrrp.router.address", "of the primary address's family wanted")
    for track in vrrp.track:
        if track.condition not in CONDITIONS or not 1 <= track.cost <= 254:
            raise _wrong(
                path, lines, "vrrp.track", f"one of {', '.join(CONDITIONS)} and a cost of 1 to 254 wanted"
            )


def _pair(product: Product, lines: dict[str, int]) -> None:
    pair, path, witness = product.message.pair, product.path, product.message.witness
    if witness.listen or witness.directory:
        _address(product, lines, "witness.listen", witness.listen)
        if not witness.directory or len(set(witness.name)) != 2 or not witness.key_file:
            raise _wrong(path, lines, "witness", "directory, the names of two relays and key_file wanted")
    if not product.message.HasField("pair"):
        return
    if (
        not pair.name
        or not pair.peer_name
        or pair.name == pair.peer_name
        or "witness" in (pair.name, pair.peer_name)
    ):
        raise _wrong(path, lines, "pair.name", "two different names wanted, in name and peer_name")
    if not product.recall_on:
        raise _wrong(path, lines, "pair", "needs recall.enabled")
    if not pair.key_file:
        raise _wrong(path, lines, "pair.key_file", "missing")
    for field in ("listen", "peer", "witness"):
        if field != "witness" or pair.witness:
            _address(product, lines, f"pair.{field}", getattr(pair, field))


def _together(product: Product, lines: dict[str, int]) -> None:
    """What must hold between fields."""
    message, whole, path = product.message, product.whole, product.path
    if message.log.level and message.log.level not in LEVELS:
        raise _wrong(path, lines, "log.level", f"one of {', '.join(LEVELS)} wanted")
    if message.HasField("store") and not message.store.directory:
        raise _wrong(path, lines, "store.directory", "missing, a folder wanted")
    if message.recall.enabled and not product.store_on:
        raise _wrong(path, lines, "recall.enabled", "needs store.directory")
    if whole("store.batch_bytes") < whole("store.value_bytes") + 2048:
        raise _wrong(path, lines, "store.batch_bytes", "too small for a record of store.value_bytes")
    if whole("store.total_bytes") < 4 * whole("store.segment_bytes"):
        raise _wrong(path, lines, "store.total_bytes", "at least four times store.segment_bytes wanted")
    if whole("recall.max_bytes") > whole("store.total_bytes") // 2 and message.recall.enabled:
        raise _wrong(path, lines, "recall.max_bytes", "at most half of store.total_bytes wanted")
