"""What must hold: asserted in debug builds, counted in release builds (`python -O`)."""

from collections import Counter

violations: Counter[str] = Counter()


def check(condition: bool, name: str) -> bool:
    """Count a broken invariant under its name; a debug build stops there."""
    if not condition:
        violations[name] += 1
        assert condition, name
    return condition
