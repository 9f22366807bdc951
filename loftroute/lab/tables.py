"""Results as Markdown tables."""

from collections.abc import Iterable
from dataclasses import dataclass, field


@dataclass
class Table:
    """Rows of named figures; all rows have the column names of the first."""

    title: str
    rows: list[dict[str, object]] = field(default_factory=list)

    def add(self, **row: object) -> None:
        """Append a row; the names are the column names."""
        self.rows.append(row)

    def text(self) -> str:
        """Return the table as Markdown; underscores in column names become spaces."""
        names = list(self.rows[0]) if self.rows else []
        lines = [
            f"### {self.title}",
            "",
            _format_row(name.replace("_", " ") for name in names),
            _format_row("---" for _ in names),
        ]
        return "\n".join([*lines, *(_format_row(map(_format_value, row.values())) for row in self.rows), ""])


def _format_row(cells: Iterable[str]) -> str:
    return f"| {' | '.join(cells)} |"


def _format_value(value: object) -> str:
    if isinstance(value, float):
        return f"{value:.0f}" if abs(value) >= 100 else f"{value:.2f}"
    return str(value)
