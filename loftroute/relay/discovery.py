"""Actor that follows the list of units by long polling: each call starts as soon as the last is answered."""

from loguru import logger

from loftroute.config import Config
from loftroute.decision import interface as i
from loftroute.protocol import ProtocolError, catalog, http1
from loftroute.protocol.catalog import Address
from loftroute.relay.module import Module
from loftroute.runtime.scheduler import MS, Mailbox, Scheduler, spawn_actor
from loftroute.runtime.stream import ConnectionClosedError, DeadlineExceededError, Stream


class Discovery:
    """Follows the list of units at the discovery agent.

    Depending on the settings, the watch runs from the start, or the decision module starts and stops it by
    its `Watch` and `Fetch` actions.

    Attributes:
        failures: number of failed calls.
        lists: number of lists received.
        stale_lists: number of lists with a lower version than the current one.
        mailbox: orders of the decision module.
    """

    def __init__(self, config: Config, scheduler: Scheduler, module: Module) -> None:
        self._config, self._scheduler, self._module = config, scheduler, module
        self._transport = config.transport
        self._address = config.control.discovery
        self._address_changed = False
        self._starts_on_order = config.settings.ask_discovery
        self._is_watching = not self._starts_on_order
        self._fetch_requested = False
        self._version: int | None = config.cached_list.event.version if config.cached_list else None
        self._stream: Stream | None = None
        self.failures = self.lists = self.stale_lists = 0
        self._failures_in_row = 0
        self._call_started_at = 0
        self._stale_since: int | None = None  # since when the agent's lists have a lower version
        self.mailbox: Mailbox[i.Watch | i.Fetch] = Mailbox(scheduler, config.transport.mailbox_capacity)

    def start(self) -> None:
        """Start the actor."""
        self._task = spawn_actor(self._scheduler, "discovery", self.mailbox, self._run)

    def move(self, address: Address) -> None:
        """Follow another agent from now on, beginning with the full list.

        The call in progress is dropped. Watches are based on versions, so no change is lost.
        """
        if address == self._address:
            return
        self._address, self._address_changed, self._fetch_requested = address, True, True
        self._stale_since = None
        self._close_stream()
        self._scheduler.wake(self._task)

    def _run(self) -> None:
        while True:
            self._handle_orders()
            if not (self._is_watching or self._fetch_requested):
                self._scheduler.park()
                continue
            try:
                self._call()
            except (ConnectionClosedError, DeadlineExceededError, ProtocolError) as problem:
                self._close_stream()
                if not self._address_changed:
                    self._call_failed(problem)
                    self._scheduler.sleep(self._transport.backoff(self._failures_in_row))

    def _handle_orders(self) -> None:
        """Process the orders of the decision module."""
        while self.mailbox.items:
            order = self.mailbox.items.popleft()
            if isinstance(order, i.Watch):
                self._is_watching = order.enabled or not self._starts_on_order
            else:
                self._fetch_requested = True

    def _close_stream(self) -> None:
        stream, self._stream = self._stream, None
        if stream:
            stream.close()

    def _call_failed(self, problem: Exception) -> None:
        """Count a failed call; the decision module is told if it had ordered it, and may order another."""
        self.failures += 1
        self._failures_in_row += 1
        if isinstance(problem, ProtocolError) and self._failures_in_row == 1:
            logger.warning("discovery: {}; the list stays as it was", problem)
        else:
            elapsed_ms = (self._scheduler.clock.now() - self._call_started_at) // MS
            logger.debug("discovery: {} after {} ms: {}", type(problem).__name__, elapsed_ms, problem)
        if self._starts_on_order:
            self._is_watching = self._fetch_requested = False
            failed = i.ServerList(i.ListKind.FAILED, self._version or 0, ())
            self._module.handle_listing(catalog.Listing(failed, {}))

    def _call(self) -> None:
        """Make one call and apply its answer."""
        transport, clock = self._transport, self._scheduler.clock
        self._address_changed = False
        self._call_started_at = clock.now()
        stream = self._stream = self._stream or Stream.dial(
            self._scheduler,
            self._address,
            clock.now() + transport.watch_grace_ns,
            limit=transport.max_document_bytes,
        )
        if self._address_changed:
            raise ConnectionClosedError("the discovery address was changed by a reload")
        fetch_all = self._fetch_requested or self._version is None
        # After a failure the wait is short: an agent may recover without ever answering this call, and its
        # changes count as known to the relay from its recovery on, so the next call must follow soon.
        wait = (
            0
            if fetch_all
            else transport.watch_retry_wait_ns
            if self._failures_in_row
            else transport.watch_wait_ns
        )
        target = catalog.list_target() if fetch_all else catalog.watch_target(self._version, wait // MS)
        deadline = clock.now() + wait + transport.watch_grace_ns
        stream.send_all([http1.encode_request("GET", target, str(self._address))], deadline)
        response = stream.receive(http1.parse_response, deadline)
        if response.status != 200:
            raise ProtocolError(f"discovery: status {response.status}")
        listing = self._config.catalog.read(response.body)
        logger.debug(
            "discovery: {} answered after {} ms with version {}, {} entries",
            target,
            (clock.now() - self._call_started_at) // MS,
            listing.event.version,
            len(listing.event.entries),
        )
        # Cleared before the list is applied, since applying it may request the full list again.
        self._fetch_requested = self._fetch_requested and not fetch_all
        self._apply(listing)

    def _apply(self, listing: catalog.Listing) -> None:
        """Pass a list to the module unless it is stale."""
        self.lists += 1
        self._failures_in_row = 0
        event = listing.event
        if self._version is not None and event.version < self._version and self._is_stale(event):
            return
        self._stale_since = None
        if event.kind is i.ListKind.FULL or event.entries or self._starts_on_order:
            self._module.handle_listing(listing)
        self._version = event.version

    def _is_stale(self, event: i.ServerList) -> bool:
        """Return whether a list with a lower version than the current one is ignored.

        An agent may lag behind for a while. If its versions stay lower, its numbering has started again, and
        its full list is accepted; otherwise the relay would ignore all further changes.
        """
        self.stale_lists += 1
        now = self._scheduler.clock.now()
        if self._stale_since is None:
            self._stale_since = now
        if now - self._stale_since < self._transport.stale_list_grace_ns or event.kind is not i.ListKind.FULL:
            if now - self._stale_since >= self._transport.stale_list_grace_ns:
                self._fetch_requested = True
            # The next call may be answered without any delay, again with a stale list.
            self._scheduler.sleep(self._transport.retry_delay_ns)
            return True
        logger.warning("discovery: version {} after {}, for good", event.version, self._version)
        return False
