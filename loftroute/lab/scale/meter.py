"""Processor time of this thread, and a calibration loop that shows how fast the machine ran meanwhile.

Other load on the machine slows down the measured code. A fixed loop of plain Python (the "bare loop") is
timed beside each measurement; figures whose loops differ too much are void.
"""

import time
from collections.abc import Callable

BARE_STEPS = 100_000
BARE_SPREAD = 1.6  # ratio of the slowest to the fastest bare loop beyond which a figure is void


def bare_loop() -> float:
    """Run the fixed loop once and return its processor time in seconds."""
    begun = time.thread_time_ns()
    total = 0
    for step in range(BARE_STEPS):
        total += step & 7
    return (time.thread_time_ns() - begun) / 1e9


def bare() -> float:
    """Return the shortest processor time, in seconds, of five bare loops."""
    return min(bare_loop() for _ in range(5))


def cpu_seconds(call: Callable[[], object]) -> float:
    """Return the processor time of this thread, in seconds, for one call."""
    begun = time.thread_time_ns()
    call()
    return (time.thread_time_ns() - begun) / 1e9


def unsteady(loops: list[float]) -> str:
    """Return why figures measured beside these bare loops are void, or an empty string if they are valid."""
    spread = max(loops) / min(loops) if loops else 1.0
    if spread <= BARE_SPREAD:
        return ""
    return f"void: its bare loops differ by a factor of {spread:.2f}"
