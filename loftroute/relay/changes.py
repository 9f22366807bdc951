"""Actor that follows the platform's stream of release changes.

Each stream is a task with a connection of its own. A stream that has brought no data for too long stays open
while another one is opened beside it: the platform may have given it up, or may only be slow.
"""

from dataclasses import dataclass

from loguru import logger

from loftroute.config import Config
from loftroute.protocol import ProtocolError, http1, pipeline
from loftroute.protocol.catalog import Address
from loftroute.relay.module import Module
from loftroute.runtime.scheduler import MS, Mailbox, Scheduler, Task, spawn_actor
from loftroute.runtime.stream import ConnectionClosedError, DeadlineExceededError, Stream


@dataclass(eq=False, slots=True)
class ChangeStream:
    """A stream of release changes.

    Attributes:
        address: the platform's address.
        heard_at: when it brought the head or a chunk last; before that, when it was started (ns).
        task: the task that reads it.
    """

    address: Address
    heard_at: int
    task: Task | None = None


class Changes:
    """Keeps a stream of release changes open. Only the request that opens it is written to it.

    The first stream to bring a line wins, and all others to the same address are closed, so that news of one
    stream never follows newer news of another. After a reload the streams to the old address stay open until
    one to the new address has brought a line.

    Attributes:
        failures: number of streams that failed or fell silent.
        mailbox: streams that have ended.
    """

    def __init__(self, config: Config, scheduler: Scheduler, module: Module, address: Address) -> None:
        self._transport, self._scheduler, self._module = config.transport, scheduler, module
        self._address = address
        self._streams: list[ChangeStream] = []  # oldest first
        self._followed: ChangeStream | None = None  # the one that is not known to be silent
        self._earliest_start = 0
        self._failures_in_row = 0
        self.failures = 0
        self.mailbox: Mailbox[ChangeStream] = Mailbox(scheduler, config.transport.mailbox_capacity)

    def start(self) -> None:
        """Start the actor."""
        self._task = spawn_actor(self._scheduler, "changes", self.mailbox, self._run)

    def move(self, address: Address) -> None:
        """Follow the stream at another address."""
        if address != self._address:
            self._address, self._followed, self._earliest_start = address, None, 0
            self._scheduler.wake(self._task)

    def _run(self) -> None:
        while True:
            self._handle_ended_streams()
            now = self._scheduler.clock.now()
            if self._followed and now >= self._silent_at(self._followed):
                logger.debug("changes: no data for {} ms", (now - self._followed.heard_at) // MS)
                self._count_failure(now)
            if self._followed is None and now >= self._earliest_start:
                self._followed = self._open_stream(now)
            self._scheduler.park(self._silent_at(self._followed) if self._followed else self._earliest_start)

    def _silent_at(self, stream: ChangeStream) -> int:
        """Return when a stream counts as silent unless it brings data."""
        return stream.heard_at + self._transport.changes_silence_timeout_ns

    def _count_failure(self, now: int) -> None:
        """Follow another stream, which may be opened after a delay."""
        self._followed = None
        self.failures += 1
        self._failures_in_row += 1
        self._earliest_start = now + self._transport.backoff(self._failures_in_row)

    def _handle_ended_streams(self) -> None:
        """Forget the streams that have ended; the end of the one that is followed counts as a failure."""
        while self.mailbox.items:
            ended = self.mailbox.items.popleft()
            if ended not in self._streams:
                continue
            self._streams.remove(ended)
            if ended is self._followed:
                self._count_failure(self._scheduler.clock.now())

    def _open_stream(self, now: int) -> ChangeStream:
        """Open a stream beside the others; the oldest stays if there are too many."""
        if len(self._streams) >= self._transport.max_open_streams:
            self._close(self._streams[1])
        opened = ChangeStream(self._address, now)
        self._streams.append(opened)
        opened.task = self._scheduler.spawn("change stream", lambda: self._follow(opened))
        return opened

    def _close(self, stream: ChangeStream) -> None:
        self._streams.remove(stream)
        if stream.task is not None:  # a task that has not begun counts as false
            self._scheduler.cancel(stream.task)

    # ---- the task of a stream

    def _follow(self, followed: ChangeStream) -> None:
        """Body of a stream's task."""
        try:
            self._read_stream(followed)
        except (ConnectionClosedError, DeadlineExceededError, ProtocolError) as problem:
            logger.debug("changes: {}: {}", type(problem).__name__, problem)
        self.mailbox.put(followed)

    def _patience_end(self) -> int:
        """Return the time by which the next message must be complete."""
        return self._scheduler.clock.now() + self._transport.call_patience_ns

    def _read_stream(self, followed: ChangeStream) -> None:
        limit = self._transport.max_document_bytes
        request = http1.encode_request("GET", pipeline.changes_target(), str(followed.address))
        stream = Stream.dial(self._scheduler, followed.address, self._patience_end(), limit=limit)
        try:
            stream.send_all([request], self._patience_end())
            head = stream.receive(http1.parse_head, self._patience_end())
            if head.status != 200 or not head.chunked:
                raise ProtocolError(f"changes: status {head.status}")
            followed.heard_at = self._scheduler.clock.now()
            self._read_lines(followed, stream)
        finally:  # also if the stream was closed
            stream.close()

    def _read_lines(self, followed: ChangeStream, stream: Stream) -> None:
        """Read lines until the stream ends; a line may span chunks, and a chunk may hold several lines."""
        partial_line = b""
        while True:
            chunk = stream.receive(http1.parse_chunk, self._patience_end())
            if not chunk:
                raise ConnectionClosedError("the platform ended the stream of changes")
            followed.heard_at = self._scheduler.clock.now()
            *lines, partial_line = (partial_line + chunk).split(b"\n")
            if len(partial_line) > self._transport.max_message_bytes:
                raise ProtocolError("changes: line too long")
            for line in lines:
                self._handle_line(followed, line.strip())

    def _handle_line(self, followed: ChangeStream, line: bytes) -> None:
        if not line:
            return
        news = pipeline.parse_change(line)
        if followed.address == self._address:
            self._prefer(followed)
        if news:
            self._module.handle_news(news)

    def _prefer(self, heard: ChangeStream) -> None:
        """Follow a stream that has brought a line, and close all others."""
        self._followed, self._failures_in_row = heard, 0
        for other in [stream for stream in self._streams if stream is not heard]:
            self._close(other)
