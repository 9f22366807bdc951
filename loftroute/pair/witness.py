"""The witness's process: keeps one record in a store of its own and makes it durable before it answers.

`fence.Witness` decides what the record becomes.
"""

from functools import partial

import msgpack
from loguru import logger

from loftroute.pair import wire
from loftroute.pair.connection import Connection
from loftroute.pair.fence import Witness
from loftroute.pair.messages import WitnessRecord, WitnessRequest
from loftroute.protocol import ProtocolError
from loftroute.protocol.catalog import Address
from loftroute.runtime.files import Directory
from loftroute.runtime.scheduler import MS, Scheduler
from loftroute.runtime.stream import ConnectionClosedError, DeadlineExceededError, Listener, Stream
from loftroute.store.engine import Engine
from loftroute.store.plan import Limits
from loftroute.store.records import PUT, Op, StoreError
from loftroute.store.steps import drive
from loftroute.vrrp.keyring import Keyring

LIMITS = Limits(segment_bytes=64 << 10, total_bytes=4 << 20, reserve_bytes=64 << 10, checkpoint_keys=1 << 30)
REQUEST_TIMEOUT = 2_000 * MS  # ns
SPACE = "witness"


class WitnessServer:
    """Answers the requests of the two relays of one pair, one request per connection.

    Attributes:
        witness: The core, which holds the durable record.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        directory: Directory,
        listen: Address,
        keyring: Keyring,
        relay_names: frozenset[str],
        store_id: bytes,
    ) -> None:
        """Open the store in `directory` and start to listen.

        `relay_names` are the names of the two relays; requests under other names are rejected. Raises
        `StoreError` or `OSError` if the store cannot be opened or the address cannot be bound.
        """
        self._scheduler, self._keyring, self._relay_names = scheduler, keyring, relay_names
        self._engine = Engine(directory, LIMITS, store_id)
        self._space = self._engine.space(SPACE)
        raw = self._engine.get(self._space, b"record", 0)
        self.witness = Witness(WitnessRecord(*msgpack.unpackb(raw)) if raw else WitnessRecord(0, ""))
        self._listener = Listener(scheduler, listen, 16)
        scheduler.spawn("witness", self._run)

    def _run(self) -> None:
        while True:
            stream = self._listener.accept(4096, wire.FRAME_LIMIT)
            if stream is None:
                self._listener.wait()
            else:
                self._scheduler.spawn("question", partial(self._serve, stream))

    def _serve(self, stream: Stream) -> None:
        self._keyring.refresh()
        connection = Connection(self._scheduler, stream, "witness", self._keyring.keys)
        try:
            connection.greet(self._scheduler.clock.now() + REQUEST_TIMEOUT)
            request = connection.receive(self._scheduler.clock.now() + REQUEST_TIMEOUT)
            if (
                not isinstance(request, WitnessRequest)
                or request.name != connection.peer
                or request.name not in self._relay_names
            ):
                raise ProtocolError("not a question of this pair")
            connection.send(self.decide(request))
            self._scheduler.sleep(20 * MS)
        except (ConnectionClosedError, DeadlineExceededError, ProtocolError, StoreError) as problem:
            logger.warning("witness: request not answered: {}", problem)
        finally:
            connection.close()

    def decide(self, request: WitnessRequest) -> WitnessRecord:
        """Return the durable record that follows from a request.

        Raises `StoreError` if it cannot be made durable; the request must not be answered then.
        """
        record = self.witness.decide(request)
        if record != self.witness.record:
            results: list[StoreError | None] = []
            raw = bytes(msgpack.packb((record.epoch, record.holder)))
            self._engine.submit([Op(PUT, self._space, b"record", raw)], results.append)
            drive(self._engine.commit(self._engine.state.horizon + 1))
            if not results or results[0]:
                raise results[0] if results and results[0] else StoreError("witness record not durable")
            self.witness.record = record
            logger.info("witness: epoch {} given to {}", record.epoch, record.holder or "the pair")
            if run := self._engine.compaction_due():
                drive(self._engine.compact(run, self._engine.state.horizon))
        return record
