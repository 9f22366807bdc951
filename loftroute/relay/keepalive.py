"""Learns how long a connection may be idle and still be reused."""

from loftroute.transport import Transport

MS = 1_000_000  # nanoseconds


class KeepAlive:
    """Adaptive limit of the idle time of connections.

    Some middleboxes silently drop idle connections, and the next request on them is reset. Uses are counted
    in buckets by idle time, which doubles from one bucket to the next, starting at 1 ms; bucket 0 is for new
    connections. If clearly more connections of a bucket break than new ones, the limit is lowered for a while
    to exclude that bucket.

    Attributes:
        limit: longest idle time after which a connection may be reused (nanoseconds).
    """

    def __init__(self, transport: Transport) -> None:
        self._transport = transport
        buckets = (transport.idle_timeout_ns // MS).bit_length() + 2
        self._uses, self._breaks = [0] * buckets, [0] * buckets
        self.limit = transport.idle_timeout_ns
        self._limit_held_until = 0

    def _bucket(self, idle_ns: int | None) -> int:
        """Return the bucket of an idle time; None stands for a new connection."""
        return 0 if idle_ns is None else min((idle_ns // MS).bit_length() + 1, len(self._uses) - 1)

    def record_use(self, idle_ns: int | None, broken: bool, now: int) -> None:
        """Record an attempt on a connection that was idle for `idle_ns` before it; None if it was new.

        `broken` tells whether the connection broke without any answer; `now` is in nanoseconds.
        """
        if self.limit < self._transport.idle_timeout_ns and now >= self._limit_held_until:
            self._raise_limit(now)
        bucket = self._bucket(idle_ns)
        self._uses[bucket] += 1
        self._breaks[bucket] += broken
        if self._uses[bucket] >= 8 * self._transport.keepalive_min_samples:  # older uses count less
            self._uses[bucket] //= 2
            self._breaks[bucket] //= 2
        if broken and bucket > 1:
            self._lower_limit(bucket, now)

    def _break_share(self, bucket: int) -> float:
        """Return the share of a bucket's uses that broke."""
        return self._breaks[bucket] / max(self._uses[bucket], 1)

    def _lower_limit(self, bucket: int, now: int) -> None:
        """Lower the limit to the start of the bucket if too many of its connections break."""
        min_samples, max_share = (
            self._transport.keepalive_min_samples,
            self._transport.keepalive_max_break_share + 2 * self._break_share(0),
        )
        if self._uses[bucket] >= min_samples and self._break_share(bucket) > max_share:
            self.limit = min(self.limit, MS << bucket - 2)
            self._limit_held_until = now + self._transport.keepalive_hold_ns

    def _raise_limit(self, now: int) -> None:
        """Double the limit after its hold time and clear the counts of the bucket that becomes usable."""
        self.limit = min(2 * self.limit, self._transport.idle_timeout_ns)
        self._limit_held_until = now + self._transport.keepalive_hold_ns
        bucket = self._bucket(self.limit - 1)
        self._uses[bucket] = self._breaks[bucket] = 0
