"""Moments that outlive the process. No clock is read here."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Moment:
    """A moment by two clocks, in nanoseconds: the wall's, which may be stepped, and the machine's since it
    was started, which only a machine that is still up can be asked of (`boot` names the start)."""

    wall_ns: int
    uptime_ns: int
    boot_id: str


def max_elapsed(then: Moment, now: Moment, step: int) -> int | None:
    """The longest that may have passed between two moments (nanoseconds); None where no bound is known.

    The machine's own clock is exact while it is up. Over its restart the wall clock may be off by `step`; one
    that was set back further shows in a time before `then`, and is believed in nothing.
    """
    if then.boot_id and then.boot_id == now.boot_id and now.uptime_ns >= then.uptime_ns:
        return now.uptime_ns - then.uptime_ns
    gone = now.wall_ns - then.wall_ns + step
    return gone if gone >= step else None
