"""The clock of the process and moments that can be compared across restarts. All times are nanoseconds."""

import time

from loftroute.moments import Moment
from loftroute.runtime.scheduler import MS


class Clock:
    """Unix time at creation plus the monotonic time since.

    It never goes back, and it is comparable with Unix times of other machines.
    """

    def __init__(self) -> None:
        self._offset = time.time_ns() - time.monotonic_ns()

    def now(self) -> int:
        """Return the current time in nanoseconds since the Unix epoch."""
        return self._offset + time.monotonic_ns()

    def wall_step(self) -> int:
        """Return by how much the machine's wall clock was stepped since creation, in nanoseconds.

        It is in whole milliseconds, as lists are: two clocks cannot be read at the same moment.
        """
        difference = time.time_ns() - time.monotonic_ns() - self._offset
        return round(difference / MS) * MS


def read_boot_id() -> str:
    """Return an id that is unique to this boot of the machine, or "" if the system doesn't provide one."""
    try:
        with open("/proc/sys/kernel/random/boot_id", encoding="ascii") as file:
            return file.read().strip()
    except OSError:
        return ""


def current_moment(boot_id: str) -> Moment:
    """Return the current wall-clock time and uptime of the machine with the given boot id."""
    return Moment(time.time_ns(), time.clock_gettime_ns(time.CLOCK_BOOTTIME), boot_id)
