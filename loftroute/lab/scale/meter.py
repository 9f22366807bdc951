"""Processor time of this thread, beside a bare loop that shows how fast the machine was meanwhile."""

import time
from collections.abc import Callable

BARE_STEPS = 100_000
BARE_SPREAD = 1.6  # bare loops within one figure may differ by this factor; beyond it the figure is void


def bare_loop() -> float:
    """Processor seconds of a fixed loop of plain Python."""
    begun = time.thread_time_ns()
    total = 0
    for step in range(BARE_STEPS):
        total += step & 7
    return (time.thread_time_ns() - begun) / 1e9


def bare() -> float:
    """The least of five bare loops."""
    return min(bare_loop() for _ in range(5))


def cpu_seconds(call: Callable[[], object]) -> float:
    """Processor seconds of this thread for one call."""
    begun = time.thread_time_ns()
    call()
    return (time.thread_time_ns() - begun) / 1e9


def unsteady(loops: list[float]) -> str:
    """Why figures beside these bare loops do not count: the machine itself changed too much; else empty."""
    spread = max(loops) / min(loops) if loops else 1.0
    if spread <= BARE_SPREAD:
        return ""
    return f"void: the bare loop beside it differed by a factor of {spread:.2f}"
