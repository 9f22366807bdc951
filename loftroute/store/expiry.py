"""Expiry: drops expired keys in the background."""

from loftroute.store.log import Log
from loftroute.store.state import PAGE
from loftroute.store.steps import Steps

KEY_BYTES = 32  # bytes of work that a step counts per key


def sweep(log: Log, now: int) -> Steps:
    """Drop expired keys. `now` is store time in nanoseconds.

    The first call after a start also drops entries of the checkpoint whose segments no longer exist.
    """
    if not log.usage_exact:
        yield from _drop_stale_entries(log)
    state = log.state
    next_key: bytes | None = b""
    while next_key is not None:
        page, next_key = state.page(b"", next_key, now, include_expired=True)
        for key, place in page:
            if place.expiry:
                state.drop_expired(key, place, now)
        yield len(page) * KEY_BYTES


def _drop_stale_entries(log: Log) -> Steps:
    """Drop entries of the checkpoint whose segments no longer exist, so that the usage is exact."""
    state, base = log.state, log.state.base
    for count, (key, place) in enumerate(base.scan(b"") if base else (), 1):
        state.drop_if_segment_gone(key, place)
        if count % PAGE == 0:
            yield PAGE * KEY_BYTES
            if state.base is not base:
                break  # a new checkpoint does not have these entries, and the old file is closed
    log.usage_exact = True
