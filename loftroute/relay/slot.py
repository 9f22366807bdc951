"""The place of one command in the order of the answers on a client connection."""

from typing import TYPE_CHECKING

from loftroute import invariants
from loftroute.protocol import resp
from loftroute.protocol.jobs import AttemptResult, ClientRequest

if TYPE_CHECKING:
    from loftroute.relay.client_connection import Connection


class Slot:
    """Position of one command in the order of answers; also the ticket of its request.

    Attributes:
        job: the request, from when it is submitted until it is answered or abandoned.
        pieces: the encoded answer, once there is one.
        turn: the scheduler's turn in which the command was read.
    """

    __slots__ = ("_connection", "job", "pieces", "turn")

    def __init__(self, connection: "Connection", turn: int) -> None:
        self._connection, self.turn = connection, turn
        self.job: ClientRequest | None = None
        self.pieces: list[resp.Piece] | None = None

    def answer(self, pieces: list[resp.Piece]) -> None:
        """Set the encoded answer; the connection sends it in the order of the commands."""
        if self.pieces is not None:
            invariants.check(False, "a request is answered once")
            return
        self.pieces = pieces
        if self.job:
            self.job = None  # its slices are not needed any more
            self._connection.clients.message_budget.answer_ended()
        self._connection.slot_answered(self)

    def abandon(self) -> None:
        """Tell the module that the client has gone, if the request is open."""
        job, self.job = self.job, None
        if job:
            self._connection.clients.message_budget.answer_ended()
            self._connection.clients.module.client_gone(job)

    def served(self, answer: AttemptResult) -> None:
        """Answer with the value of a successful attempt."""
        self.answer([answer.framed] if answer.framed is not None else resp.bulk_string(answer.value))

    def refused(self, retry_after_ms: int) -> None:
        """Answer BUSY, with the time until a retry if it is not 0."""
        self.answer(resp.error_reply(f"BUSY {retry_after_ms}" if retry_after_ms > 0 else "BUSY"))

    def failed(self) -> None:
        """Answer with an error: the request may have run."""
        self.answer(resp.error_reply("ERR failed"))
