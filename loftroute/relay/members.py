"""Passes lists from discovery to the decision module and the units' actors, so that both know the same units.

Both get the full list if its units fit the relay's connections, otherwise the subset that `loftroute/subset/`
selects.
"""

from collections.abc import Mapping
from dataclasses import replace

from loguru import logger

from loftroute.config import Config
from loftroute.decision import interface as i
from loftroute.protocol.catalog import Address, Listing
from loftroute.relay.start_times import StartTimes
from loftroute.relay.units import Units
from loftroute.runtime.scheduler import Mailbox, TimeSource
from loftroute.subset.pool import Action, Pool
from loftroute.subset.registry import ListTooLongError


class Members:
    """Applies the subset to each list and remembers the addresses of all units, since any may be selected."""

    def __init__(self, config: Config, clock: TimeSource, units: Units, mailbox: Mailbox[i.Event]) -> None:
        settings = config.settings
        self._clock, self._units, self._mailbox = clock, units, mailbox
        self._pool = Pool(settings.instance_index, settings.instances, config.budget.unit_connections)
        self._addresses: dict[int, Address] = {}
        self._start_times = StartTimes(config.transport.list_change_limit_ns)
        if not 0 <= settings.instance_index < settings.instances:
            logger.warning(
                "subset: index {} is out of range for {} relays, taken modulo",
                settings.instance_index,
                settings.instances,
            )

    def handle_listing(self, listing: Listing) -> None:
        """Apply a list; one that exceeds the registry's limit is logged and ignored."""
        now = self._clock.now()
        event = self._start_times.translate(listing.event, now, self._clock.wall_step())
        listing = replace(listing, event=event)
        try:
            actions = self._pool.handle(now, event, listing.names)
        except ListTooLongError as problem:
            logger.error("subset: {}; the list stays as it was", problem)
            return
        self._remember_addresses(listing)
        for action in actions:
            if action is listing.event:
                self._apply(listing)
            else:
                self._handle_action(action)

    def handle_unchanged_list(self) -> None:
        """Handle an answer of discovery that brings no change."""
        self._start_times.list_confirmed(self._clock.now())

    def attempt_ended(self, server: int, outcome: i.Outcome) -> None:
        """Report the outcome of an attempt, which may widen or narrow the subset."""
        if self._pool.is_subset_active:
            for action in self._pool.attempt_ended(self._clock.now(), server, outcome):
                self._handle_action(action)

    def figures(self) -> Mapping[str, object]:
        """Return the figures for the state line; none if no subset has been selected so far."""
        return self._pool.figures() if self._pool.counters.taken else {}

    def _remember_addresses(self, listing: Listing) -> None:
        """Update the addresses of all listed units."""
        event = listing.event
        if event.kind in (i.ListKind.FULL, i.ListKind.CACHED):
            listed = {entry.server for entry in event.entries}
            self._addresses = {unit: address for unit, address in self._addresses.items() if unit in listed}
        self._addresses.update(listing.addresses)
        for entry in event.entries:
            if entry.state is i.ServerState.GONE:
                self._addresses.pop(entry.server, None)

    def _handle_action(self, action: Action) -> None:
        """Execute an action of the subset: log a line or apply a list with the known addresses."""
        if isinstance(action, i.Log):
            logger.info(action.text)
            return
        units = (entry.server for entry in action.entries)
        self._apply(
            Listing(action, {unit: self._addresses[unit] for unit in units if unit in self._addresses})
        )

    def _apply(self, listing: Listing) -> None:
        """Pass a list to the units' actors and the decision module."""
        self._units.handle_listing(listing)
        self._mailbox.put(listing.event)
