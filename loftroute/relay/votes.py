"""Actor that sends votes to the platform."""

from dataclasses import replace

from loguru import logger

from loftroute.config import Config
from loftroute.decision import interface as i
from loftroute.protocol import ProtocolError, http1, pipeline
from loftroute.protocol.catalog import Address
from loftroute.relay.module import Module
from loftroute.runtime.scheduler import Mailbox, Scheduler, Task, spawn_actor
from loftroute.runtime.stream import ConnectionClosedError, DeadlineExceededError, Stream


class Votes:
    """Sends votes to the platform one at a time, each on its own connection.

    The answer to a vote that has timed out still tells the state of the release. It is waited for until the
    next vote is sent.

    Attributes:
        failures: number of votes that were not answered in time.
        late_answers: number of answers that came after the time-out.
        mailbox: votes to send.
    """

    def __init__(self, config: Config, scheduler: Scheduler, module: Module, address: Address) -> None:
        self._transport, self._scheduler, self._module = config.transport, scheduler, module
        self._address = address
        self.failures = self.late_answers = 0
        self._late_answer_task: Task | None = None
        self._late_answer_stream: Stream | None = None
        self.mailbox: Mailbox[i.Vote] = Mailbox(scheduler, 64)

    def start(self) -> None:
        """Start the actor."""
        spawn_actor(self._scheduler, "votes", self.mailbox, self._run)

    def move(self, address: Address) -> None:
        """Send further votes to another address; a vote in progress is completed at the old one."""
        self._address = address

    def _run(self) -> None:
        while True:
            while self.mailbox.items:
                vote = self.mailbox.items.popleft()
                self._stop_waiting()
                answer = self._send(vote)
                logger.info(
                    "vote {} on build {} stage {}: {}",
                    vote.verdict.name.lower(),
                    vote.build,
                    vote.stage,
                    answer.status.value,
                )
                self._module.handle_news(answer)
            self._scheduler.park()

    def _send(self, vote: i.Vote) -> i.ReleaseNews:
        """Send a vote; return the platform's answer, or a substitute with status ERROR or TIMEOUT.

        ERROR means that the vote was not counted, TIMEOUT that it may have been or may yet be.
        """
        deadline = self._scheduler.clock.now() + self._transport.call_timeout_ns
        request = http1.encode_request(
            "POST", pipeline.vote_target(), str(self._address), pipeline.vote_body(vote)
        )
        try:
            stream = Stream.dial(self._scheduler, self._address, deadline)
        except (ConnectionClosedError, DeadlineExceededError):
            self.failures += 1
            return pipeline.uncounted_vote(i.Outcome.ERROR)
        try:
            stream.send_all([request], deadline)
        except (ConnectionClosedError, DeadlineExceededError):
            self.failures += 1
            stream.close()
            return pipeline.uncounted_vote(i.Outcome.ERROR)
        return self._receive_answer(stream, deadline)

    def _receive_answer(self, stream: Stream, deadline: int) -> i.ReleaseNews:
        """Wait for the answer until the deadline; after that it is waited for in a task of its own."""
        try:
            answer = self._parse_answer(stream, deadline)
        except (ConnectionClosedError, DeadlineExceededError, ProtocolError) as problem:
            # The vote may have been counted, or may yet be.
            self.failures += 1
            if isinstance(problem, DeadlineExceededError):
                self._wait_on(stream, deadline)
            else:
                stream.close()
            return pipeline.uncounted_vote(i.Outcome.TIMEOUT)
        stream.close()
        return answer

    def _parse_answer(self, stream: Stream, deadline: int) -> i.ReleaseNews:
        response = stream.receive(http1.parse_response, deadline)
        return pipeline.parse_vote_answer(response.status, response.body)

    def _wait_on(self, stream: Stream, timed_out_at: int) -> None:
        """Wait for the answer to a vote that has timed out."""
        stream.detach()
        self._late_answer_stream = stream
        deadline = timed_out_at + self._transport.call_patience_ns
        self._late_answer_task = self._scheduler.spawn(
            "late vote answer", lambda: self._handle_late_answer(stream, deadline)
        )

    def _stop_waiting(self) -> None:
        """Wait no longer for the answer to an earlier vote."""
        if self._late_answer_task is not None and self._late_answer_stream is not None:
            self._scheduler.cancel(self._late_answer_task)
            self._late_answer_stream.close()  # the task may not have begun
        self._late_answer_task = self._late_answer_stream = None

    def _handle_late_answer(self, stream: Stream, deadline: int) -> None:
        """Body of the task that waits for a late answer; the module has been told that the vote timed out."""
        try:
            answer = self._parse_answer(stream, deadline)
        except (ConnectionClosedError, DeadlineExceededError, ProtocolError) as problem:
            logger.debug("votes: no answer after the time-out: {}", type(problem).__name__)
            return
        finally:
            stream.close()
        self.late_answers += 1
        logger.info("vote answered after its time-out: {}", answer.status.value)
        self._module.handle_news(replace(answer, is_late=True))
