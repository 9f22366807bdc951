"""One client connection over RESP2 (Redis serialization protocol): commands in, answers in their order."""

from collections import deque
from typing import TYPE_CHECKING

from loftroute.protocol import ProtocolError, jobs, resp
from loftroute.protocol.jobs import BadRequestError, ClientRequest
from loftroute.relay.arrival_times import ArrivalTimes
from loftroute.relay.client_presence import ClientPresence
from loftroute.relay.input_allowance import ConnectionShare
from loftroute.relay.request_log import CloseReason
from loftroute.relay.slot import Slot
from loftroute.runtime.scheduler import ERROR_EVENTS, PEER_END, READ, WRITE, Mailbox, Task
from loftroute.runtime.stream import Stream

if TYPE_CHECKING:
    from loftroute.relay.clients import Clients


class Connection:
    """One client connection: reads pipelined commands and sends the answers in the same order.

    Attributes:
        clients: all client connections and what they share.
        number: its place in the order in which connections were accepted, from 1.
        slots: commands whose answers have not been written, in order.
        mailbox: slots that have got their answer.
        commands: number of complete commands received.
        last_activity: time of the last command or answer, or of the first byte of the next command
            (nanoseconds).
        task: the task that serves the connection.
    """

    def __init__(self, clients: "Clients", stream: Stream, waited: int) -> None:
        self.clients, self._stream = clients, stream
        clients.accepted += 1
        self.number = clients.accepted
        # How long the connection may have waited to be accepted (nanoseconds).
        self._waited = waited
        self._waited_before_accept = waited  # the same, until all that came before was read
        if waited:
            stream.events = 0  # poll first: it tells whether the client has left meanwhile
        self._transport = clients.config.transport
        self.slots: deque[Slot] = deque()
        self.mailbox: Mailbox[Slot] = Mailbox(clients.scheduler, self._transport.max_pipelined + 1)
        self._framing_lost = False  # after a protocol error nothing more is read
        self._skipper: resp.CommandSkipper | None = None  # set while a command is discarded
        self._has_large_chunk = False  # for the command that is partly read
        self._share = ConnectionShare()
        self._has_unparsed_input = False  # there is input whose turn has not come
        self._arrivals: ArrivalTimes | None = None  # once input had to wait
        self._presence = ClientPresence(self._transport)
        self._answered_in_turn = 0  # the scheduler's turn in which an answer was written last
        self._answered_at: int | None = None  # when one was, if its client's system may yet reset it
        self._unsent_since: int | None = None  # since when an answer is partly written
        self._bad_in_row = 0  # bad requests since the last good one
        self._paused_until: int | None = None  # nothing is read before then
        self.commands = 0
        self._close_reason = CloseReason.TASK_FAILED  # unless the task or a caller gives another
        self.last_activity = clients.scheduler.polled_at
        self.task: Task = clients.scheduler.spawn("client", self._run)
        self.mailbox.owner = self.task

    def _is_full(self) -> bool:
        return (
            len(self.slots) >= self._transport.max_pipelined
            or self._stream.unsent_bytes > self._transport.max_unsent_bytes
        )

    @property
    def is_idle(self) -> bool:
        """Whether nothing is open, partly read or partly written, and poll has reported no event."""
        return not (self._is_in_use or self._stream.events)

    @property
    def _is_in_use(self) -> bool:
        """Whether a command is open or partly read or an answer is partly written."""
        return bool(self.slots or self._stream.unsent_bytes or self._has_unprocessed_input)

    @property
    def _has_unprocessed_input(self) -> bool:
        """Whether a command has been read in part, or has been read and waits for its turn."""
        return bool(self.partly_read) or self._skipper is not None

    @property
    def has_open_request(self) -> bool:
        """Whether a command waits for its answer; after a protocol error none does."""
        return bool(self.slots) and not self._framing_lost

    @property
    def is_half_closed(self) -> bool:
        """Whether the client has ended its sending side; most clients that do so have closed."""
        return self._presence.has_ended

    @property
    def unsent(self) -> int:
        """Bytes of answers that the client has not read."""
        return self._stream.unsent_bytes

    @property
    def partly_read(self) -> int:
        """Bytes of commands that have been read and not been processed."""
        return len(self._stream.buffer) + self._stream.bytes_ahead

    @property
    def held_answer_bytes(self) -> int:
        """Bytes of answers that wait for those of earlier commands."""
        return sum(len(piece) for slot in self.slots for piece in slot.pieces or ())

    def is_slow_reader(self, now: int) -> bool:
        """Return whether an answer has been partly written for too long.

        A client that reads a few bytes from time to time could otherwise hold its buffer forever.
        """
        return self._unsent_since is not None and (
            now - self._unsent_since
            > self.clients.config.longest_deadline_ns + self._transport.client_idle_timeout_ns
        )

    def _run(self) -> None:
        stream = self._stream
        try:
            while True:
                if stream.events & ERROR_EVENTS:  # the client can't get any answer
                    self._close_reason = CloseReason.CLIENT_RESET
                    return
                if stream.peer_ended or self._presence.is_in_doubt:
                    self._track_presence()
                if self._paused_until and self._is_paused():
                    pass
                elif stream.has_input or stream.buffer.end > stream.buffer.start:
                    self._read()
                    self._waited = 0
                if self.mailbox.items or stream.unsent_bytes:
                    self._flush()
                if stream.broken or (stream.ended and not self._awaits_answers()):
                    reset = CloseReason.CLIENT_RESET if stream.broken else None
                    self._close_reason = reset or CloseReason.CLIENT_ENDED
                    return
                if self._framing_lost and not (self.slots or stream.unsent_bytes):
                    self._close_reason = CloseReason.FRAMING_LOST
                    return self._linger()
                if self.clients.closing and not self._is_in_use:
                    if not self._read_once_more():
                        self._close_reason = CloseReason.SHUTDOWN
                        return self._close_gracefully()
                    continue
                mask = self._poll_mask()
                if stream.events or self._presence.is_in_doubt or not mask & READ:
                    mask = self._look_for_end()
                if stream.peer_ended and self._has_left_with_records():
                    self._close_reason = CloseReason.CLIENT_ENDED
                    return
                if stream.buffer.end > stream.buffer.start or stream.bytes_ahead:
                    self._note_arrivals()
                if self._waited_before_accept and not self._waited:
                    self._forget_wait_before_accept()
                if self._has_unparsed_input and not (self._is_stopped() or self._is_held()):
                    self.clients.scheduler.wake_next_turn(self.task)
                stream.wait(self._next_wakeup(), mask)
        finally:
            self._release()

    def _next_wakeup(self) -> int | None:
        """Return when the task has something to do although no event is reported; None for never."""
        times = (self._paused_until, self._presence.next_check, self._proof_at())
        return min((time for time in times if time is not None), default=None)

    def _awaits_answers(self) -> bool:
        """Return whether a client that has half-closed, and sends nothing more, is still owed answers."""
        if self.clients.module.recall is not None:
            return False
        self._track_presence()
        return bool(self.slots or self._stream.unsent_bytes) and not self._stream.broken

    def _track_presence(self) -> None:
        """Handle the client's end, seen or possibly hidden behind unread input.

        A client that has ended its side has closed, or waits for its answers: the two look the same until
        something is written. Attempts in progress go on and no others are started. Commands read in the same
        poll as the end, or in the one before, and those still unread may be started for a short time.
        """
        presence, scheduler = self._presence, self.clients.scheduler
        if self._stream.peer_ended and not presence.has_ended and self.clients.module.recall is None:
            # The end may have arrived at any time since the last poll.
            presence.end_seen(scheduler.clock.now() - max(scheduler.lag, self._waited))
            self._log_end_seen()
            self._report_half_close(scheduler.turns - 1)
        proof_at = self._proof_at()
        if proof_at is not None and scheduler.polled_at >= proof_at:
            presence.was_there(self._answered_at)
            self._answered_at = None
        if presence.is_in_doubt and presence.check(scheduler.clock.now()):
            self._report_half_close(scheduler.turns + 1)

    def _note_arrivals(self) -> None:
        """Note when the bytes came that are left to be processed, as early as may be."""
        if self._arrivals is None:
            self._arrivals = ArrivalTimes(self._transport.network_margin_ns)
        scheduler, unread_since = self.clients.scheduler, self._presence.unread_since
        arrived_at = scheduler.polled_at - scheduler.lag if unread_since is None else unread_since
        self._arrivals.note(self._stream.bytes_received, arrived_at - self._waited_before_accept)

    def _forget_wait_before_accept(self) -> None:
        """Forget the time in the accept queue once all that had come by then was read."""
        if not (self._stream.events or self._presence.is_in_doubt):
            self._waited_before_accept = 0

    def _unread_time(self) -> int:
        """Return for how long the command that was parsed last may have waited, from its last byte on."""
        scheduler, unread_since = self.clients.scheduler, self._presence.unread_since
        waited = max(scheduler.lag, self._waited_before_accept)
        noted_at = None
        if self._arrivals:
            noted_at = self._arrivals.arrival_of(self._stream.bytes_received - self.partly_read)
        if noted_at is None and unread_since is not None:
            noted_at = unread_since - self._waited_before_accept
        return waited if noted_at is None else max(waited, scheduler.clock.now() - noted_at)

    def _note_answer(self) -> None:
        """Note that an answer was passed to the system, which may tell whether the client is there."""
        if not self._stream.unsent_bytes:
            self._answered_at = self.clients.scheduler.clock.now()

    def _proof_at(self) -> int | None:
        """Return when the last answer proves that the client was there, unless it is reset before then.

        It is of interest only while the client's end may be hidden.
        """
        if self._answered_at is None or not self._presence.is_in_doubt or self._presence.has_ended:
            return None
        return self._answered_at + self._transport.network_margin_ns

    def _look_for_end(self) -> int:
        """Read on to see the client's end, if it has requests open; return the poll events to wait for."""
        stream, presence = self._stream, self._presence
        if self.slots and stream.events:
            self._read_on()
            if stream.peer_ended:
                self._track_presence()
        mask = self._poll_mask()
        if mask & READ and not stream.events & READ:
            if presence.is_in_doubt:
                self._note_arrivals()  # what was read just now may have waited for as long as any
                presence.input_drained(self.clients.scheduler.polled_at, stream.bytes_received)
        elif self.slots or self._skipper is not None or presence.is_in_doubt:
            # Without an open command the last answer would have been reset.
            presence.input_unread(self.clients.scheduler.polled_at - self.clients.scheduler.lag)
        return mask

    def _has_left_with_records(self) -> bool:
        """Return whether a client that has ended its side is dropped, since no more can be processed.

        With records a client that has ended its side counts as gone: it asks again for its answers.
        """
        return self.clients.module.recall is not None and self._is_stopped()

    def _read_on(self) -> None:
        """Read once beyond what is processed; what comes after a protocol error is of no use."""
        if self._framing_lost:
            self._stream.discard_input()
        elif self._may_read_ahead():
            self._stream.read_ahead(self._transport.max_read_ahead_bytes)

    def _may_read_ahead(self) -> bool:
        return (
            self._stream.bytes_ahead < self._transport.max_read_ahead_bytes
            and self.clients.message_budget.may_read_ahead
        )

    def _log_end_seen(self) -> None:
        if log := self.clients.module.request_log:
            log.client_end_seen(self.number, len(self.slots), self.partly_read)

    def _report_half_close(self, before_turn: int) -> None:
        """Report the half-close for the open requests that were read before a turn of the scheduler."""
        for slot in list(self.slots):
            if slot.job and slot.turn < before_turn:
                self.clients.module.client_half_closed(slot.job)
        self._flush()

    def _read_once_more(self) -> bool:
        """Return whether data has arrived that poll has not reported yet; it is served before the close."""
        self._stream.events |= READ
        return self._receive()

    def _receive(self) -> bool:
        """Read once and return whether any data was read.

        A command that there is no memory for is discarded from here on.
        """
        stream, buffer = self._stream, self._stream.buffer
        if buffer.end > buffer.start and stream.has_input and buffer.is_full():
            self._allocate_for_command(buffer.next_chunk_size())
        return not self._framing_lost and stream.read()

    def _allocate_for_command(self, size: int) -> None:
        """Take memory for the command that is partly read, or discard it if there is none."""
        if size <= self._transport.initial_buffer_bytes:
            return
        if self.clients.message_budget.allocate(self, size, self.clients.scheduler.polled_at):
            self._has_large_chunk = True
        else:
            self.skip_command()

    def _large_chunk_left(self) -> None:
        """Note that the command with a large chunk is complete, discarded or given up."""
        self._has_large_chunk = False
        self.clients.message_budget.release(self)

    def _close_gracefully(self) -> None:
        """End the sending side at a shutdown and wait for the client to close.

        Commands that the client sends meanwhile are left unread, so that it sends them again elsewhere. To
        close at once, with unread data, would reset the connection and discard answers that the client has
        not read yet.
        """
        stream, clock = self._stream, self.clients.scheduler.clock
        linger_until = clock.now() + self._transport.linger_ns
        stream.half_close()
        stream.events = 0
        while not stream.ended and clock.now() < linger_until:
            stream.wait(linger_until, 0)

    def _linger(self) -> None:
        """End the sending side after a protocol error and discard input for a limited time.

        To close at once, with unread data, would reset the connection and discard the error before the
        client reads it.
        """
        stream, clock = self._stream, self.clients.scheduler.clock
        linger_until, bytes_left = clock.now() + self._transport.linger_ns, self._transport.max_linger_bytes
        stream.half_close()
        while not stream.ended and bytes_left > 0 and clock.now() < linger_until:
            stream.wait(linger_until, READ)
            bytes_left -= stream.discard_input()

    def slot_answered(self, slot: Slot) -> None:
        """Write an answer immediately if it is the next one and nothing before it is unsent."""
        stream = self._stream
        if not self.slots or self.slots[0] is not slot or stream.unsent_bytes:
            self.mailbox.put(slot)
            return
        self.slots.popleft()
        stream.write(slot.pieces)
        if self._presence.is_in_doubt:
            self._note_answer()
        self._track_unsent()
        if not self._framing_lost:
            self.last_activity = self.clients.scheduler.polled_at
        is_watched = stream.ended or self.clients.closing or self._presence.is_in_doubt
        if self.slots or stream.unsent_bytes or is_watched:
            self.mailbox.put(slot)  # wakes the task for the rest

    def _release(self) -> None:
        """Close the socket and report the open requests as abandoned."""
        if not self._stream.closed:
            self.clients.connection_ended(self, self._close_reason)
        self._stream.close()
        self._large_chunk_left()
        for slot in self.slots:
            slot.abandon()
        self.slots.clear()
        self.clients.connection_closed(self)

    def read_again(self) -> None:
        """Read once more even if poll has reported nothing, so that a pending request is served first."""
        self._stream.events |= READ
        self.clients.scheduler.wake(self.task)

    def _track_unsent(self) -> None:
        self._answered_in_turn = self.clients.scheduler.turns
        if not self._stream.unsent_bytes:
            self._unsent_since = None
        elif self._unsent_since is None:
            self._unsent_since = self.clients.scheduler.polled_at

    def can_close(self) -> bool:
        """Return whether the connection may be closed without losing a request.

        Unread data, also data that poll has not reported yet, is read and keeps the connection open. After a
        protocol error, or while the client does not read its answers, the connection may always be closed.
        """
        if self._framing_lost or self._stream.unsent_bytes:
            return True
        is_first_input = not self._has_unprocessed_input
        self._stream.events |= READ
        if not self._receive():
            return True
        if self.commands and is_first_input:  # the first bytes of the next command
            self.last_activity = self.clients.scheduler.polled_at
        self.clients.scheduler.wake(self.task)
        return False

    def evict(self) -> None:
        """Close the connection to make room: fail its open requests and send the errors if possible."""
        self._fail_open_requests()
        self.close(CloseReason.EVICTED)

    def _fail_open_requests(self) -> None:
        """Answer the open requests with an error, and send the answers that the system takes at once."""
        for slot in self.slots:
            if slot.job:
                slot.abandon()
                slot.pieces = resp.error_reply("ERR failed")
        self._flush()

    def close(self, reason: CloseReason) -> None:
        """Close the connection from another task; its descriptor is free immediately."""
        self._close_reason = reason
        self._release()
        self.clients.scheduler.cancel(self.task)

    def expire(self) -> None:
        """Close an idle or stalled connection; a client that has sent an incomplete command gets an error.

        Requests that are open before a protocol error fail now, ahead of the error.
        """
        if self._framing_lost and self.slots and not self._stream.unsent_bytes:
            self._fail_open_requests()
            return self.clients.scheduler.wake(self.task)
        if self._framing_lost or self._stream.unsent_bytes or not self._has_unprocessed_input:
            return self.close(CloseReason.FRAMING_LOST if self._framing_lost else CloseReason.IDLE)
        self.clients.half_commands += 1
        self._fail_framing("ERR no whole command in time")
        self.clients.scheduler.wake(self.task)

    def _fail_framing(self, text: str) -> None:
        """Send an error after the answers that are still to come, and read nothing more.

        The connection is closed after half of the idle timeout even if earlier answers are still missing.
        """
        self._framing_lost, self.last_activity = (
            True,
            self.clients.scheduler.polled_at - self._transport.client_idle_timeout_ns // 2,
        )
        self._stream.buffer.consumed_to(self._stream.buffer.end)
        self._skipper = None
        self._large_chunk_left()
        self._append_slot().answer(resp.error_reply(text))

    def _poll_mask(self) -> int:
        """Return the poll events to wait for."""
        if self._framing_lost:
            may_read = bool(self.slots)
        elif self._is_full() or self._is_held() or self._paused_until:
            may_read = bool(self.slots) and self._may_read_ahead()
        else:
            may_read = True
        reading = READ if may_read and not self._stream.is_read_to_end else 0
        ending = 0 if self._stream.peer_ended else PEER_END
        return reading | ending | (WRITE if self._stream.unsent_bytes else 0)

    def _is_paused(self) -> bool:
        """Return whether reading is still throttled; resume it once the pause is over."""
        if self.clients.scheduler.clock.now() < self._paused_until:
            return True
        self._paused_until = None
        self._stream.events |= READ
        return False

    def _read(self) -> None:
        """Read and process input, up to a limit per turn."""
        self._has_unparsed_input = False
        if self._framing_lost:
            return
        if self.commands and not len(self._stream.buffer) and self._skipper is None:
            self.last_activity = self.clients.scheduler.polled_at
        try:
            self._parse_commands()
            while self._stream.has_input and not self._must_not_read() and self._take_step():
                if not self._receive():
                    return
                self._parse_commands()
        except ProtocolError as problem:
            self._reject_input(problem)

    def _is_stopped(self) -> bool:
        """Return whether input has to wait until answers have been sent, a pause is over, or for good."""
        return self._framing_lost or self._paused_until is not None or self._is_full()

    def _must_not_read(self) -> bool:
        """Return whether input has to wait, at least for the next turn.

        A client that has closed resets the connection when an answer arrives, which the next poll tells. One
        whose end may have been hidden for too long gets time to do so.
        """
        presence = self._presence
        if not presence.is_in_doubt:
            return self._is_stopped()
        if presence.has_ended and self._answered_in_turn == self.clients.scheduler.turns:
            return True
        return self._is_stopped() or self._is_held()

    def _is_held(self) -> bool:
        """Return whether input waits for an answer that tells whether the client is still there."""
        presence = self._presence
        if not presence.is_over or presence.has_ended:
            return False
        return bool(self.slots) or self._answered_at is not None

    def _take_step(self) -> bool:
        """Return whether one more read or command may be processed in this turn of the scheduler."""
        return self.clients.input_allowance.take_step(self._share)

    def _reject_input(self, problem: ProtocolError) -> None:
        """Handle input that is not the protocol: answer with an error and read nothing more."""
        self.clients.malformed += 1
        self._fail_framing(f"ERR {problem}")

    def _parse_commands(self) -> None:
        """Process the complete commands in the buffer, the common form of a request with a fast parser."""
        buffer, names = self._stream.buffer, self.clients.config.names
        while buffer.end - buffer.start >= buffer.need:
            if self._must_not_read() or not self._take_step():
                self._has_unparsed_input = not self._framing_lost
                return
            if self._skipper is not None:
                if not self._skip_input(self._skipper):
                    return
                continue
            parsed = jobs.parse_usual_request(buffer.data, buffer.start, buffer.end, names)
            if parsed:
                buffer.consumed_to(parsed[1])
                self.commands += 1
                if self._has_large_chunk:
                    self._large_chunk_left()
                self._submit(self._append_slot(), parsed[0])
                continue
            command = buffer.parse(resp.parse_command)
            if command is None:
                return
            self.commands += 1
            if self._has_large_chunk:
                self._large_chunk_left()
            self.last_activity = self.clients.scheduler.polled_at
            self._handle_command(command)

    def skip_command(self) -> None:
        """Discard the command that is partly read; called by its own task or by another connection's."""
        self._has_large_chunk = False
        self._skipper = resp.CommandSkipper(self._transport.max_message_bytes)
        try:
            self._skip_input(self._skipper)
        except ProtocolError as problem:
            self._reject_input(problem)
            self.clients.scheduler.wake(self.task)

    def _skip_input(self, skipper: resp.CommandSkipper) -> bool:
        """Discard what has been read of a command; refuse it and return True once it is complete."""
        buffer = self._stream.buffer
        buffer.consumed_to(skipper.skip(buffer.data, buffer.start, buffer.end))
        if not skipper.is_complete:
            return False
        self._skipper = None
        self.commands += 1
        self.last_activity = self.clients.scheduler.polled_at
        self.clients.module.refuse_for_memory(self._append_slot())
        return True

    def _append_slot(self) -> Slot:
        slot = Slot(self, self.clients.scheduler.turns)
        self.slots.append(slot)
        return slot

    def _handle_command(self, command: resp.Command) -> None:
        slot, verb = self._append_slot(), command.arguments[0]
        if verb == b"Q.ASK" or verb == b"Q.DO":
            self._parse_request(slot, command)
        elif verb == b"PING":
            slot.answer(
                resp.simple_string("PONG") if self.clients.module.is_ready else resp.error_reply("LOADING")
            )
        else:
            self._reject(slot, "unknown command")

    def _reject(self, slot: Slot, text: str) -> None:
        """Answer a bad command, after which the connection can continue, with an error.

        Reading from a client that sends many of them in a row is throttled for the sake of the others.
        """
        self.clients.bad_requests += 1
        self._bad_in_row += 1
        if self._bad_in_row >= self._transport.bad_requests_before_pause:
            self._paused_until = self.clients.scheduler.clock.now() + self._transport.pause_ns
        slot.answer(resp.error_reply(f"ERR {text}"))

    def _parse_request(self, slot: Slot, command: resp.Command) -> None:
        try:
            job = jobs.parse_request(command, self.clients.config.names)
        except BadRequestError as problem:
            return self._reject(slot, str(problem))
        self._submit(slot, job)

    def _submit(self, slot: Slot, job: ClientRequest) -> None:
        """Pass a request to the module, or refuse it if there is no memory for its answer."""
        self._bad_in_row = 0
        if self._presence.is_over and self._presence.has_ended:
            self.clients.module.fail_unstarted(slot)
        elif self._presence.is_over:
            self.clients.module.refuse_unseen(slot)
        elif self.clients.message_budget.expect_answer(len(self.slots)):
            slot.job = job
            self.clients.module.handle_request(job, slot, self._unread_time())
        else:
            self.clients.module.refuse_for_memory(slot)

    def _flush(self) -> None:
        """Write unsent bytes and the answers whose turn it is."""
        slots, stream = self.slots, self._stream
        self.mailbox.items.clear()  # the slots hold the answers; the mailbox only wakes the task
        if stream.unsent_bytes:
            stream.events &= ~WRITE
            stream.flush()
        while slots and slots[0].pieces is not None:
            stream.write(slots.popleft().pieces)
            if self._presence.is_in_doubt:
                self._note_answer()
        self._track_unsent()
