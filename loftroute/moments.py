"""Moments that outlive the process. No clock is read here."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Stamp:
    """A moment by two clocks, in nanoseconds: the wall's, which may be stepped, and the machine's since it
    was started, which only a machine that is still up can be asked of (`boot` names the start)."""

    wall: int
    up: int
    boot: str


def elapsed(then: Stamp, now: Stamp, step: int) -> int | None:
    """The longest that may have passed between two moments (nanoseconds); None where no bound is known.

    The machine's own clock is exact while it is up. Over its restart the wall clock may be off by `step`; one
    that was set back further shows in a time before `then`, and is believed in nothing.
    """
    if then.boot and then.boot == now.boot and now.up >= then.up:
        return now.up - then.up
    gone = now.wall - then.wall + step
    return gone if gone >= step else None
