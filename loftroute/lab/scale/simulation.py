"""A clock and its calls in simulated time, seeded random numbers, and a network that can be cut in two."""

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from random import Random

from loftroute.lab.setup import MS, SECOND

FIRST_MOMENT = 100 * SECOND
SAME_ZONE_DELAY, OTHER_ZONE_DELAY, OTHER_REGION_DELAY = MS // 10, MS // 2, 8 * MS  # one way


class Simulation:
    """Calls in the order of their times; a run follows from its seed alone."""

    def __init__(self, seed: int) -> None:
        self.now = FIRST_MOMENT
        self.random = Random(seed)
        self.regions_apart = False
        self._calls: list[tuple[int, int, Callable[[], None]]] = []
        self._order = count()

    def at(self, when: int, call: Callable[[], None]) -> None:
        heappush(self._calls, (when, next(self._order), call))

    def after(self, delay: int, call: Callable[[], None]) -> None:
        self.at(self.now + delay, call)

    def run(self, length: int) -> None:
        """Let so many nanoseconds pass."""
        until = self.now + length
        while self._calls and self._calls[0][0] <= until:
            when, _, call = heappop(self._calls)
            self.now = max(self.now, when)
            call()
        self.now = until

    def reachable(self, region: int, other: int) -> bool:
        return region == other or not self.regions_apart
