"""Tells until when requests of a client may be started, by what is known of its end. No I/O.

A client that closes its connection has gone, and nothing may be started for it a moment later. The relay
learns of it in one of two ways: the end of the client's sending side arrives, or a write is answered by a
reset. While input stays unread the end can't arrive once the receive window is full, so the client may have
gone at any time since the input was last read completely.

A socket that was just emptied proves nothing if its window was full: what the client's system held back is on
its way then. All is read once little has come for a while. All times are nanoseconds.
"""

from loftroute.transport import Transport


class ClientPresence:
    """What is known of one client.

    Attributes:
        has_ended: the client is known to have ended its sending side; most clients that do so have closed.
        is_in_doubt: the client may have gone, seen or not.
        unread_since: since when input may have been left unread; None if all was read at the last look.
        is_over: no request may be started: the time for it after the client's end, seen or possible, is over.
    """

    __slots__ = (
        "_drained_since",
        "_start_until",
        "_transport",
        "has_ended",
        "is_in_doubt",
        "is_over",
        "unread_since",
    )

    def __init__(self, transport: Transport) -> None:
        """Create the state of a client that is there."""
        self._transport = transport
        self._drained_since: tuple[int, int] | None = None  # time, and bytes received by then
        self._start_until: int | None = None
        self.unread_since: int | None = None
        self.has_ended = self.is_in_doubt = self.is_over = False

    def end_seen(self, arrived_at: int) -> None:
        """Note that the client's end is known, which arrived at this time or later."""
        if not self.has_ended:
            self.has_ended = True
            self._limit_to(arrived_at)

    def input_unread(self, since: int) -> None:
        """Note that input is left unread, so that an end may be hidden behind it since then."""
        self._drained_since = None
        if self.unread_since is None:
            self.unread_since = since
        if self._start_until is None:
            self._limit_to(since)

    def input_drained(self, now: int, bytes_received: int) -> None:
        """Note that all input was read that has arrived, and no end was behind it."""
        most_bytes = self._transport.max_settled_bytes
        if self._drained_since is None or bytes_received - self._drained_since[1] > most_bytes:
            self._drained_since = now, bytes_received
        if now < self._drained_since[0] + self._transport.network_margin_ns:
            return
        self._drained_since = self.unread_since = None
        if not self.has_ended:
            self._start_until = None
            self.is_in_doubt = self.is_over = False

    def was_there(self, at: int) -> None:
        """Note that the client was there at a time, though input is left unread: it took an answer."""
        until = at + self._transport.half_close_grace_ns
        if not self.has_ended and self._start_until is not None and until > self._start_until:
            self._start_until, self.is_over = until, False

    def _limit_to(self, gone_at: int) -> None:
        self.is_in_doubt, until = True, gone_at + self._transport.half_close_grace_ns
        self._start_until = until if self._start_until is None else min(self._start_until, until)

    def check(self, now: int) -> bool:
        """Update `is_over`; return whether that time has just ended."""
        if self.is_over or self._start_until is None or now < self._start_until:
            return False
        self.is_over = True
        return True

    @property
    def next_check(self) -> int | None:
        """Time at which the state has to be looked at again; None for never."""
        settled_at = None
        if self._drained_since:
            settled_at = self._drained_since[0] + self._transport.network_margin_ns
        if self.is_over or self._start_until is None:
            return settled_at
        return self._start_until if settled_at is None else min(self._start_until, settled_at)
