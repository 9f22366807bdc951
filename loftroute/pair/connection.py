"""An authenticated connection of a pair on the relay's scheduler. `pair/wire.py` has the wire format."""

import os

from loftroute.pair import wire
from loftroute.runtime.scheduler import MS, Scheduler
from loftroute.runtime.stream import ConnectionClosedError, DeadlineExceededError, Stream
from loftroute.vrrp.envelope import Keys

UNSENT_LIMIT = 8 << 20  # bytes; a connection with more unsent data is closed
FLUSH_INTERVAL = 20 * MS  # ns between attempts to write while data is unsent


class Connection:
    """An authenticated connection: exchanges greetings, then carries messages both ways."""

    def __init__(self, scheduler: Scheduler, stream: Stream, name: str, keys: Keys) -> None:
        """Wrap a connected stream; `name` is this side's name. Call `greet` first."""
        self._scheduler, self._stream = scheduler, stream
        self._handshake = wire.Handshake(name, os.urandom(wire.NONCE_SIZE), keys)
        self._session: wire.Session | None = None

    @property
    def peer(self) -> str:
        """The other side's name; empty before `greet` has returned."""
        return self._session.peer if self._session else ""

    def greet(self, deadline: int) -> None:
        """Exchange greetings until `deadline` (ns).

        Raises `ConnectionClosedError`, `DeadlineExceededError` or `ProtocolError`.
        """
        self._stream.send_all([self._handshake.greeting.pack()], deadline)
        self._session = self._handshake.complete(self._stream.receive(wire.parse_frame, deadline))

    def send(self, message: object) -> None:
        """Send a message; what does not fit into the socket is sent by `receive`.

        Does nothing if the connection is closed.
        """
        assert self._session is not None
        if not self._stream.closed:
            self._stream.write([self._session.outward.seal(message)])

    def receive(self, deadline: int) -> object:
        """Return the next authenticated message, and write unsent data meanwhile.

        Raises `DeadlineExceededError` if none has arrived by `deadline` (ns), `ConnectionClosedError` if the
        connection has ended or the other side does not read, and `ProtocolError` if a frame is invalid.
        """
        assert self._session is not None
        while True:
            if self._stream.unsent_bytes:
                self._stream.flush()
                if self._stream.unsent_bytes > UNSENT_LIMIT:
                    raise ConnectionClosedError("the other side does not read")
            now = self._scheduler.clock.now()
            wake_at = min(deadline, now + FLUSH_INTERVAL) if self._stream.unsent_bytes else deadline
            try:
                return self._session.inward.open(self._stream.receive(wire.parse_frame, wake_at))
            except DeadlineExceededError:
                if self._scheduler.clock.now() >= deadline:
                    raise

    @property
    def unsent_bytes(self) -> int:
        """Number of bytes that wait to be sent."""
        return self._stream.unsent_bytes

    def close(self) -> None:
        """Close the connection."""
        self._stream.close()
