"""Continues store time across restarts. Reads no clock."""

from loftroute.moments import Moment


def resume_time(last: tuple[int, Moment] | None, now: Moment, horizon: int) -> int:
    """Return the store time, in nanoseconds, at which to continue after a start at `now`.

    `last` is a store time that was noted together with its moment, or None; `horizon` is the latest store
    time in the log. If the machine has not restarted since, its uptime clock gives the exact time that has
    passed, even if the wall clock was changed. Otherwise the wall clock is used. Store time never goes back.
    """
    if last is None:
        return max(now.wall_ns, horizon)
    store_time, noted = last
    if noted.boot_id and noted.boot_id == now.boot_id and now.uptime_ns >= noted.uptime_ns:
        return max(store_time + now.uptime_ns - noted.uptime_ns, horizon)
    return max(now.wall_ns, store_time, horizon)
