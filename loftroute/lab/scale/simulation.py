"""Discrete-event simulation: a clock with scheduled calls, seeded random numbers and a network partition.

Times are in nanoseconds.
"""

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from random import Random

from loftroute.lab.setup import MS, SECOND

START_TIME = 100 * SECOND
SAME_ZONE_DELAY, OTHER_ZONE_DELAY, OTHER_REGION_DELAY = MS // 10, MS // 2, 8 * MS  # network, one way


class Simulation:
    """Executes scheduled calls in the order of their times; a run is determined by its seed.

    Calls of the same time are executed in the order in which they were scheduled.
    """

    def __init__(self, seed: int) -> None:
        self.now = START_TIME
        self.random = Random(seed)
        self.regions_apart = False
        self._calls: list[tuple[int, int, Callable[[], None]]] = []
        self._order = count()

    def at(self, when: int, call: Callable[[], None]) -> None:
        """Schedule a call at a time; a time in the past means now."""
        heappush(self._calls, (when, next(self._order), call))

    def after(self, delay: int, call: Callable[[], None]) -> None:
        """Schedule a call after a delay."""
        self.at(self.now + delay, call)

    def run(self, length: int) -> None:
        """Advance the clock by `length` nanoseconds and execute the calls that fall due."""
        until = self.now + length
        while self._calls and self._calls[0][0] <= until:
            when, _, call = heappop(self._calls)
            self.now = max(self.now, when)
            call()
        self.now = until

    def reachable(self, region: int, other: int) -> bool:
        """Whether the network connects the two regions."""
        return region == other or not self.regions_apart
