"""Results as tables that a tool writes and the docs keep."""

from collections.abc import Iterable
from dataclasses import dataclass, field


@dataclass
class Table:
    """Rows of named figures; all rows have the names of the first."""

    title: str
    rows: list[dict[str, object]] = field(default_factory=list)

    def add(self, **row: object) -> None:
        self.rows.append(row)

    def text(self) -> str:
        """Markdown."""
        names = list(self.rows[0]) if self.rows else []
        lines = [
            f"### {self.title}",
            "",
            _line(name.replace("_", " ") for name in names),
            _line("---" for _ in names),
        ]
        return "\n".join([*lines, *(_line(map(_shown, row.values())) for row in self.rows), ""])


def _line(cells: Iterable[str]) -> str:
    return f"| {' | '.join(cells)} |"


def _shown(value: object) -> str:
    if isinstance(value, float):
        return f"{value:.0f}" if abs(value) >= 100 else f"{value:.2f}"
    return str(value)
