"""Tells until when requests of a client may be started, by what is known of its end. No I/O.

A client that closes its connection has gone, and nothing may be started for it a moment later. The relay
learns of it in one of two ways: the end of the client's sending side arrives, or a write is answered by a
reset. While input stays unread the end can't arrive once the receive window is full, so the client may have
gone at any time since the input was last read completely. All times are nanoseconds.
"""


class ClientPresence:
    """What is known of one client.

    Attributes:
        has_ended: the client is known to have ended its sending side; most clients that do so have closed.
        is_over: no request may be started: the time for it after the client's end, seen or possible, is over.
    """

    __slots__ = ("_grace_ns", "_start_until", "has_ended", "is_over")

    def __init__(self, grace_ns: int) -> None:
        """Create the state of a client that is there; after its end requests are started for `grace_ns`."""
        self._grace_ns = grace_ns
        self._start_until: int | None = None
        self.has_ended = self.is_over = False

    def end_seen(self, arrived_at: int) -> None:
        """Note that the client's end is known, which arrived at this time or later."""
        if not self.has_ended:
            self.has_ended = True
            self._limit_to(arrived_at)

    def input_unread(self, since: int) -> None:
        """Note that input is left unread, so that an end may be hidden behind it since then."""
        if self._start_until is None:
            self._limit_to(since)

    def input_drained(self) -> None:
        """Note that all input was read and no end was behind it."""
        if not self.has_ended:
            self._start_until, self.is_over = None, False

    def was_there(self, at: int) -> None:
        """Note that the client was there at a time, though input is left unread: it took an answer."""
        if not self.has_ended and self._start_until is not None:
            self._start_until, self.is_over = at + self._grace_ns, False

    def _limit_to(self, gone_at: int) -> None:
        until = gone_at + self._grace_ns
        self._start_until = until if self._start_until is None else min(self._start_until, until)

    def check(self, now: int) -> bool:
        """Update `is_over`; return whether that time has just ended."""
        if self.is_over or self._start_until is None or now < self._start_until:
            return False
        self.is_over = True
        return True

    @property
    def is_in_doubt(self) -> bool:
        """Whether the client may have gone, seen or not."""
        return self._start_until is not None

    @property
    def next_check(self) -> int | None:
        """Time at which `check` has to be called; None for never."""
        return None if self.is_over else self._start_until
