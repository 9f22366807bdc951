"""Actor that sends votes to the platform."""

from loguru import logger

from loftroute.config import Config
from loftroute.decision import interface as i
from loftroute.protocol import ProtocolError, http1, pipeline
from loftroute.protocol.catalog import Address
from loftroute.relay.module import Module
from loftroute.runtime.scheduler import Mailbox, Scheduler, spawn_actor
from loftroute.runtime.stream import ConnectionClosedError, DeadlineExceededError, Stream


class Votes:
    """Sends votes to the platform one at a time, each on its own connection.

    Attributes:
        failures: number of votes that were not answered.
        mailbox: votes to send.
    """

    def __init__(self, config: Config, scheduler: Scheduler, module: Module, address: Address) -> None:
        self._transport, self._scheduler, self._module = config.transport, scheduler, module
        self._address = address
        self.failures = 0
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
        try:
            response = stream.receive(http1.parse_response, deadline)
            return pipeline.parse_vote_answer(response.status, response.body)
        except (ConnectionClosedError, DeadlineExceededError, ProtocolError):
            # The vote may have been counted, or may yet be.
            self.failures += 1
            return pipeline.uncounted_vote(i.Outcome.TIMEOUT)
        finally:
            stream.close()
