"""Reads the product's settings and checks them whole; an error names file, line and field."""

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
}
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
