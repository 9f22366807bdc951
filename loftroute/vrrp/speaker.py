"""Virtual routers on the relay's scheduler: timers, datagrams, tracked conditions and announcements.

`vrrp/machine.py` decides what each router does. This module hands it events and performs its actions.
"""

import time
from collections import Counter
from collections.abc import Mapping
from typing import Protocol

from loguru import logger

from loftroute.protocol.vrrp import Address, Advertisement, BadAdvertisementError, decode, encode
from loftroute.runtime.datagram import DatagramSocket
from loftroute.runtime.scheduler import Scheduler
from loftroute.vrrp.envelope import SIZE_LIMIT, Opener, Sealer
from loftroute.vrrp.keyring import Keyring
from loftroute.vrrp.machine import (
    AdvertisementReceived,
    Announce,
    Event,
    PriorityChanged,
    Router,
    SendAdvertisement,
    Shutdown,
    Startup,
    State,
    StateChanged,
    TimerFired,
    Withdraw,
    check_advertisement,
)
from loftroute.vrrp.tracking import Tracker

MS = 1_000_000  # nanoseconds
DATAGRAMS_PER_TURN = 64  # read before the timers are checked again
TRACK_INTERVAL = 50 * MS  # ns between readings of the tracked conditions


class AddressAnnouncer(Protocol):
    """Announces to the network which router holds the virtual addresses."""

    def announce(self, vrid: int, addresses: tuple[Address, ...]) -> None:
        """Announce that this router holds the addresses."""

    def withdraw(self, vrid: int, addresses: tuple[Address, ...]) -> None:
        """Announce that this router no longer holds the addresses."""


class Conditions(Protocol):
    """Reads the tracked conditions."""

    def __call__(self) -> Mapping[str, bool]:
        """Return by name whether each condition holds now."""


class Speaker:
    """Runs all virtual routers of one process.

    Attributes:
        routers: The routers by virtual router identifier.
        counters: Event counts for the state line.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        routers: list[tuple[Router, Tracker]],
        socket: DatagramSocket,
        sealer: Sealer,
        opener: Opener,
        peers: Mapping[Address, tuple[str, int]],
        announcer: AddressAnnouncer,
        conditions: Conditions,
        keyring: Keyring | None = None,
    ) -> None:
        """Start the routers on the scheduler.

        `peers` maps the primary address of each peer to its UDP host and port. With a `keyring`, the keys of
        `sealer` and `opener` follow its file.
        """
        self._scheduler, self._socket = scheduler, socket
        self._sealer, self._opener, self._peers, self._announcer = sealer, opener, peers, announcer
        self._conditions, self._keyring = conditions, keyring
        self.routers = {router.settings.vrid: router for router, _ in routers}
        self._trackers = {router.settings.vrid: tracker for router, tracker in routers}
        self.counters: Counter[str] = Counter()
        self._next_track_at = 0
        self._closing = False
        self._task = scheduler.spawn("vrrp", self._run)

    def figures(self) -> Mapping[str, object]:
        """Return the figures for the state line."""
        states = {
            f"vrrp {vrid}": f"{router.state.value} {router.priority}" for vrid, router in self.routers.items()
        }
        return {
            **states,
            **{f"vrrp {name}": count for name, count in (self.counters + self._opener.dropped).items()},
        }

    def status(self) -> list[dict[str, object]]:
        """Return the state of each router, for `loftroute pair status`."""
        return [
            {
                "vrid": vrid,
                "state": router.state.value,
                "priority": router.priority,
                "active": str(router.active_address or ""),
                "failed": self._trackers[vrid].failed,
                "addresses": [str(address) for address in router.settings.addresses],
            }
            for vrid, router in self.routers.items()
        ]

    def close(self) -> None:
        """Shut down all routers; an Active sends priority 0 and withdraws its addresses."""
        self._closing = True
        for router in self.routers.values():
            self._handle(router, Shutdown())
        self._scheduler.cancel(self._task)
        self._socket.close()

    def relinquish(self, vrid: int) -> None:
        """Hand the addresses of a router to a peer, with priority 0, and start again as a Backup."""
        router = self.routers[vrid]
        self._handle(router, Shutdown())
        self._handle(router, Startup())

    def relinquish_all(self) -> None:
        """Hand the addresses of all Active routers to the peers."""
        for vrid in self.active_vrids:
            self.relinquish(vrid)

    @property
    def active_vrids(self) -> list[int]:
        """Identifiers of the virtual routers that are Active here."""
        return [vrid for vrid, router in self.routers.items() if router.state is State.ACTIVE]

    # ---- the task

    def _run(self) -> None:
        clock = self._scheduler.clock
        for router in self.routers.values():
            self._track(clock.now())
            self._handle(router, Startup())
        while not self._closing:
            now = clock.now()
            self._track(now)
            for router in self.routers.values():
                if router.due is not None and router.due <= now:
                    self._handle(router, TimerFired())
            for raw in self._socket.receive(DATAGRAMS_PER_TURN, SIZE_LIMIT):
                self._receive(raw)
            due = [r.due for r in self.routers.values() if r.due is not None]
            # Poll times out in whole milliseconds. The router whose timer is handled first becomes Active.
            self._socket.wait(min([*due, self._next_track_at]))

    def _track(self, now: int) -> None:
        """Read the key file and the tracked conditions again if it is time to."""
        if now < self._next_track_at:
            return
        self._next_track_at = now + TRACK_INTERVAL
        if self._keyring is not None and self._keyring.refresh():
            self._sealer.keys = self._opener.keys = self._keyring.keys
        conditions = self._conditions()
        for vrid, tracker in self._trackers.items():
            for name, holds in conditions.items():
                tracker.observe(now, name, holds)
            priority, router = tracker.priority(now), self.routers[vrid]
            if priority != router.priority:
                logger.info(
                    "vrrp {}: priority {}, was {}; fails: {}",
                    vrid,
                    priority,
                    router.priority,
                    ", ".join(tracker.failed) or "nothing",
                )
                self._handle(router, PriorityChanged(priority))

    def _receive(self, raw: bytes) -> None:
        """Hand an advertisement to its router; count and drop it if it is invalid."""
        datagram = self._opener.open(raw, time.time_ns())
        if datagram is None:
            return
        try:
            advertisement = decode(datagram.message, datagram.source, datagram.target)
        except BadAdvertisementError as problem:
            self.counters[problem.kind] += 1
            return
        router = self.routers.get(advertisement.vrid)
        error = "vrid error" if router is None else check_advertisement(advertisement, router.settings)
        if router is None or error:
            self.counters[error or "vrid error"] += 1
            return
        if advertisement.addresses != router.settings.addresses:
            self.counters["address list error"] += 1
        if advertisement.interval != router.settings.interval_cs:
            self.counters["interval differs"] += 1
        self.counters["heard"] += 1
        if router.state is State.ACTIVE and advertisement.priority:
            self.counters["heard while active"] += 1
        self._handle(router, AdvertisementReceived(advertisement, datagram.source))

    def _handle(self, router: Router, event: Event) -> None:
        """Hand an event to a router and perform its actions."""
        for action in router.handle(self._scheduler.clock.now(), event):
            vrid = router.settings.vrid
            if isinstance(action, SendAdvertisement):
                self._send(router, action.advertisement)
            elif isinstance(action, Announce):
                self._announcer.announce(vrid, action.addresses)
            elif isinstance(action, Withdraw):
                self._announcer.withdraw(vrid, action.addresses)
            elif isinstance(action, StateChanged):
                self.counters[f"became {action.after.value}"] += 1
                logger.info(
                    "vrrp {}: {}, was {}: {}", vrid, action.after.value, action.before.value, action.reason
                )

    def _send(self, router: Router, advertisement: Advertisement) -> None:
        now = time.time_ns()
        for peer, endpoint in self._peers.items():
            message = encode(advertisement, router.settings.primary, peer)
            self._socket.send(self._sealer.seal(message, peer, now), endpoint)
        self.counters["sent"] += 1
