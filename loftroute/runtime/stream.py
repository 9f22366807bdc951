"""TCP sockets and their read buffers. Calls that wait park the current task and never block the thread.

Deadlines are nanoseconds of the scheduler's clock.
"""

import contextlib
import errno
import socket
from collections import deque
from collections.abc import Callable, Iterable
from typing import TypeVar

import greenlet

from loftroute.protocol import IncompleteMessageError, ProtocolError
from loftroute.protocol.catalog import Address
from loftroute.runtime.memory import Chunk, MemoryAccount
from loftroute.runtime.read_ahead import ReadAhead
from loftroute.runtime.scheduler import ERROR_EVENTS, PEER_END, READ, WRITE, Scheduler, Task

SCRATCH = memoryview(bytearray(1 << 16))  # receives data that is thrown away or copied at once

Message = TypeVar("Message")
Parser = Callable[[bytearray, int, int], tuple[Message, int]]


class DeadlineExceededError(Exception):
    """The deadline was reached before the operation finished."""


class ConnectionClosedError(Exception):
    """The connection was refused, was broken, or was ended by the peer."""


class Buffer:
    """Bytes that were read and not parsed yet.

    A chunk of memory is only ever appended to, so slices of it stay valid for as long as they are referenced.
    When a chunk is full, the unparsed rest moves to a new one.

    Attributes:
        data: the current chunk.
        start: offset of the first unparsed byte.
        end: offset after the last byte that was read.
        need: bytes that the next message has at the least.
        usual_chunk_bytes: size of a chunk, unless a message needs a larger one.
    """

    __slots__ = ("_account", "_limit", "data", "end", "need", "start", "usual_chunk_bytes")

    def __init__(self, chunk: int, limit: int, account: MemoryAccount | None = None) -> None:
        """Create a buffer with chunks of `chunk` bytes for messages of at most `limit` bytes.

        The chunks are counted in `account`.
        """
        self.usual_chunk_bytes, self._limit = chunk, limit
        self._account = account or MemoryAccount()
        self.data = Chunk(chunk, self._account)
        self.start = self.end = 0
        self.need = 1

    def next_chunk_size(self) -> int:
        """Return the size of the next chunk, for what is not parsed and what it needs."""
        # The need may be the least that the rest can have: a few bytes more save a second move.
        return max(
            self.usual_chunk_bytes,
            self.need + self.usual_chunk_bytes // 16,
            self.end - self.start + self.usual_chunk_bytes // 2,
        )

    def is_full(self) -> bool:
        """Return whether the next read needs a new chunk."""
        size = len(self.data)
        return size - self.end < self.usual_chunk_bytes // 4 or self.start + self.need > size

    def free_space(self) -> memoryview:
        """Return the memory to read into, which is never empty."""
        if self.is_full():
            self._move_to_chunk(self.next_chunk_size())
        return memoryview(self.data)[self.end :]

    def _move_to_chunk(self, size: int) -> None:
        """Move what is not parsed to a new chunk of `size` bytes."""
        unparsed = self.end - self.start
        new_chunk = Chunk(size, self._account)
        new_chunk[:unparsed] = memoryview(self.data)[self.start : self.end]
        self.data, self.start, self.end = new_chunk, 0, unparsed

    def parse(self, parser: Parser[Message]) -> Message | None:
        """Return the next message, or None if more bytes are needed.

        Raises `ProtocolError` if the parser does, or if the message is longer than the limit.
        """
        if self.end - self.start < self.need:
            return None
        try:
            message, self.start = parser(self.data, self.start, self.end)
        except IncompleteMessageError as more:
            if more.total_bytes > self._limit:
                raise ProtocolError("message too long") from None
            self.need = more.total_bytes
            return None
        self.need = 1
        if len(self.data) > self.usual_chunk_bytes:
            self._leave_large_chunk()
        return message

    def consumed_to(self, start: int) -> None:
        """Set the offset at which the next message begins, after a message was parsed without `parse`."""
        self.start, self.need = start, 1
        if len(self.data) > self.usual_chunk_bytes:
            self._leave_large_chunk()

    def _leave_large_chunk(self) -> None:
        """Move to a usual chunk if the rest fits, so that a connection at rest does not keep a larger one."""
        if self.end - self.start <= self.usual_chunk_bytes // 2:
            self._move_to_chunk(self.usual_chunk_bytes)

    def __len__(self) -> int:
        return self.end - self.start


class Stream:
    """A non-blocking TCP connection that is used by one task.

    Attributes:
        buffer: what was read and not parsed yet.
        bytes_received: number of bytes that were read so far, ahead or not, and not discarded.
        unsent_bytes: bytes that were written and that the system has not accepted yet.
        peer_ended: whether the peer is known to have shut down its side; unread data may be left. Only a task
            that waits for `PEER_END` learns of it before all data is read.
        is_read_to_end: whether the socket has nothing more; what was read ahead may be left.
        ended: whether the peer has shut down its side and all data was read, or the connection is broken.
        broken: whether the connection is broken in both directions.
        closed: whether `close` was called.
        events: poll events that were not handled yet.
        task: the task that waits for the connection.
    """

    __slots__ = (
        "_ahead",
        "_mask",
        "_scheduler",
        "_send_queue",
        "_sock",
        "broken",
        "buffer",
        "bytes_received",
        "closed",
        "ended",
        "events",
        "fd",
        "is_read_to_end",
        "peer_ended",
        "task",
        "unsent_bytes",
    )

    def __init__(self, scheduler: Scheduler, sock: socket.socket, chunk: int, limit: int) -> None:
        self._scheduler, self._sock = scheduler, sock
        self.fd = sock.fileno()
        self.buffer = Buffer(chunk, limit, scheduler.message_memory)
        self._send_queue: deque[memoryview | bytearray] = deque()
        self.unsent_bytes = self.bytes_received = 0
        self.peer_ended = False
        self.ended = False
        self.broken = False
        self.closed = False
        self.events = READ  # data may have arrived before the first poll
        self.task: Task | None = None
        self._mask: int | None = None
        self._ahead: ReadAhead | None = None
        self.is_read_to_end = False

    @classmethod
    def dial(
        cls, scheduler: Scheduler, address: Address, deadline: int, chunk: int = 4096, limit: int = 1 << 17
    ) -> "Stream":
        """Open a connection, parking the current task until it is established.

        `chunk` and `limit` are the sizes of the read buffer in bytes. Raises `ConnectionClosedError` if the
        connection can't be made and `DeadlineExceededError` at the deadline.
        """
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        except OSError as problem:
            raise ConnectionClosedError(str(problem)) from problem
        stream = cls(scheduler, sock, chunk, limit)
        try:
            _prepare(sock)
            stream._connect(address, deadline)
        except OSError as problem:
            stream.close()
            raise ConnectionClosedError(str(problem)) from problem
        except BaseException:
            stream.close()
            raise
        return stream

    def _connect(self, address: Address, deadline: int) -> None:
        """Connect the socket; raise `OSError` if that fails."""
        code = self._sock.connect_ex((address.host, address.port))
        while code in (errno.EINPROGRESS, errno.EALREADY, errno.EINTR):
            if self._scheduler.clock.now() >= deadline:
                raise DeadlineExceededError
            self.events = 0
            self.wait(deadline, WRITE)
            if self.events:
                code = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code not in (0, errno.EISCONN):
            raise OSError(code, "connect")
        self.events = 0

    def read(self) -> bool:
        """Read once into the buffer without waiting; return whether any data was read.

        What was read ahead comes first. Does not touch the socket unless poll has reported an event since
        everything was read.
        """
        if not self.has_input or self.closed or self.ended:
            return False
        space = self.buffer.free_space()
        if self._ahead:
            self.buffer.end += self._ahead.take_into(space)
            self.ended = self.is_read_to_end and not self._ahead
            return True
        count = self._receive(space)
        if not count:
            return False
        if count < len(space) and not self.events & ERROR_EVENTS:
            self.events = 0  # everything available was read; poll reports more
        self.buffer.end += count
        self.bytes_received += count
        return True

    @property
    def has_input(self) -> bool:
        """Whether there may be something to read: poll has reported an event, or input was read ahead."""
        return bool(self.events or self._ahead)

    @property
    def bytes_ahead(self) -> int:
        """Bytes that were read ahead and not moved to the buffer yet."""
        return len(self._ahead) if self._ahead is not None else 0

    def read_ahead(self, max_bytes: int) -> None:
        """Read once without waiting, and keep the data, at most `max_bytes` in all, for later reads."""
        room = min(max_bytes - self.bytes_ahead, len(SCRATCH))
        if not self.events or room <= 0 or self.closed or self.is_read_to_end:
            return
        if self._ahead is None:
            self._ahead = ReadAhead(self._scheduler.message_memory)
        count = self._receive(SCRATCH[:room])
        if 0 < count < room and not self.events & ERROR_EVENTS:
            self.events = 0
        self._ahead.append(SCRATCH[:count])
        self.bytes_received += count

    def _receive(self, space: memoryview) -> int:
        """Return how many bytes were read: 0 if none are available or the peer has ended its side."""
        try:
            count = self._sock.recv_into(space)
        except (BlockingIOError, InterruptedError):
            self.events = 0
            return 0
        except OSError:
            count, self.broken = 0, True
        if not count:
            self.peer_ended = self.is_read_to_end = True
            self.ended = self.broken or not self._ahead
        return count

    def is_stale(self) -> bool:
        """Return whether an idle connection has ended or has received data that was not requested."""
        if self.closed or self.ended or self.buffer.end > self.buffer.start:
            return True
        return self.events != 0 and (self.read() or self.ended)

    def check_stale(self) -> bool:
        """Like `is_stale`, but read the socket even if poll has reported no event."""
        self.events |= READ
        return self.is_stale()

    def half_close(self) -> None:
        """Shut down the sending side; the peer may still send."""
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_WR)

    def discard_input(self) -> int:
        """Read once, discard the data, and return how many bytes it was."""
        count = self._receive(SCRATCH)
        if count < len(SCRATCH):
            self.events = 0
        return count

    def write(self, pieces: Iterable[bytes | memoryview]) -> None:
        """Send as much as the system accepts now and queue the rest.

        Queued pieces are not copied unless they are small, so their memory must not change until then.
        """
        if self._send_queue or self.closed:
            self._queue(pieces)
            return
        pieces = pieces if isinstance(pieces, list) else list(pieces)
        try:
            sent = self._sock.sendmsg(pieces)
        except (BlockingIOError, InterruptedError):
            sent = 0
        except OSError:
            self.ended = self.broken = True
            sent = 0
        if sent != sum(map(len, pieces)):
            self._queue(pieces)
            self._remove_sent(sent)

    def _queue(self, pieces: Iterable[bytes | memoryview]) -> None:
        """Append pieces to the queue of unsent data.

        Pieces under an eighth of a usual chunk are copied and joined up to its size, since a reference to
        each would take more memory than the piece.
        """
        queue, chunk = self._send_queue, self.buffer.usual_chunk_bytes
        for piece in pieces:
            size = len(piece)
            if size >= chunk // 8:
                queue.append(memoryview(piece))
            elif queue and isinstance(queue[-1], bytearray) and len(queue[-1]) < chunk:
                queue[-1].extend(piece)
            elif size:
                queue.append(bytearray(piece))
            self.unsent_bytes += size

    def flush(self) -> bool:
        """Send queued data without waiting; return whether none is left."""
        while self._send_queue and not self.closed:
            try:
                sent = self._sock.sendmsg(
                    [self._send_queue[n] for n in range(min(len(self._send_queue), 64))]
                )
            except (BlockingIOError, InterruptedError):
                break
            except OSError:
                self.ended = self.broken = True
                break
            self._remove_sent(sent)
        return not self._send_queue

    def _remove_sent(self, count: int) -> None:
        """Remove `count` bytes from the front of the queue."""
        self.unsent_bytes -= count
        while count:
            first = self._send_queue[0]
            if count < len(first):
                self._send_queue[0] = memoryview(first)[count:]
                return
            count -= len(first)
            self._send_queue.popleft()

    def wait(self, deadline: int | None = None, mask: int | None = None) -> None:
        """Park until poll reports an event, the task is woken, or the deadline is reached.

        `mask` holds the events to wait for; the default is reading, and writing while data is queued.
        """
        events_wanted = (READ | WRITE if self._send_queue else READ) if mask is None else mask
        if events_wanted != self._mask:
            self.task = greenlet.getcurrent()
            self._scheduler.watch(self.fd, events_wanted, self)
            self._mask = events_wanted
        self._scheduler.park(deadline)
        if self.events & PEER_END:
            self.peer_ended = True
            self.events &= ~PEER_END
        if self.events & ERROR_EVENTS and not events_wanted & READ and not events_wanted & WRITE:
            self.ended = self.broken = True  # no read or write would notice the error

    def detach(self) -> None:
        """Stop watching the connection; the next task that waits for it is the one that is woken."""
        self._scheduler.unwatch(self.fd)
        self._mask = self.task = None

    def receive(self, parser: Parser[Message], deadline: int | None) -> Message:
        """Wait for the next message and return it.

        Raises `ConnectionClosedError` if the connection ends first, `DeadlineExceededError` at the deadline
        and `ProtocolError` for a message that the parser rejects.
        """
        while True:
            if self.buffer.end > self.buffer.start:
                message = self.buffer.parse(parser)
                if message is not None:
                    return message
            if self.read():
                continue
            if self.ended or self.closed:
                raise ConnectionClosedError("the connection ended before a complete message")
            if deadline is not None and self._scheduler.clock.now() >= deadline:
                raise DeadlineExceededError
            self.wait(deadline)

    def send_all(self, pieces: Iterable[bytes | memoryview], deadline: int) -> None:
        """Write the pieces and wait until the system has accepted every byte.

        Raises `ConnectionClosedError` if the connection ends first and `DeadlineExceededError` at the
        deadline.
        """
        if pieces:
            self.write(pieces)
        while self.unsent_bytes:
            if self.ended or self.closed:
                raise ConnectionClosedError("the connection broke during a write")
            if self._scheduler.clock.now() >= deadline:
                raise DeadlineExceededError
            self.wait(deadline, WRITE)
            self.events &= ~WRITE
            self.flush()

    def close(self) -> None:
        """Close the connection and discard unsent data; has no effect on a closed connection."""
        if not self.closed:
            self.closed = True
            self._scheduler.unwatch(self.fd)
            self._sock.close()
            if self._ahead:
                self._ahead.clear()
            self.task = None
            self._send_queue.clear()
            self.unsent_bytes = 0


class Listener:
    """A listening TCP socket.

    Attributes:
        events: poll events that were not handled yet.
        task: the task that waits for connections.
    """

    def __init__(self, scheduler: Scheduler, address: Address, backlog: int) -> None:
        self._scheduler = scheduler
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._sock.bind((address.host, address.port))
        self._sock.listen(backlog)
        self._sock.setblocking(False)
        self._watching = False
        self.events = 0
        self.task: Task | None = None

    def accept(self, chunk: int, limit: int) -> Stream | None:
        """Accept a connection, or return None if none is pending.

        `chunk` and `limit` are the sizes of its read buffer in bytes. Raises `OSError` if the system refuses
        to accept, for example when the process has no free file descriptors.
        """
        while True:
            try:
                sock, _ = self._sock.accept()
            except BlockingIOError:
                return None
            except (ConnectionAbortedError, InterruptedError):
                continue
            _prepare(sock)
            return Stream(self._scheduler, sock, chunk, limit)

    def wait(self, deadline: int | None = None) -> None:
        """Park until a connection may be pending or the deadline is reached."""
        if not self._watching:
            self.task, self._watching = greenlet.getcurrent(), True
            self._scheduler.watch(self._sock.fileno(), READ, self)
        self._scheduler.park(deadline)

    def pause_accepting(self, length: int) -> None:
        """Stop watching the socket for `length` nanoseconds, so that pending connections wake no task."""
        self._scheduler.unwatch(self._sock.fileno())
        self._watching = False
        self._scheduler.sleep(length)

    def close(self) -> None:
        """Stop listening."""
        self._scheduler.unwatch(self._sock.fileno())
        self._sock.close()


def _prepare(sock: socket.socket) -> None:
    """Make a socket non-blocking and send small segments at once."""
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
