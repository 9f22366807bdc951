"""Sets up the virtual routers, the pair and the witness from the product's settings."""

import ipaddress
import json
import time
from collections.abc import Mapping

from loftroute.decision.interface import ServerState
from loftroute.pair.fence import PairLimits
from loftroute.pair.link import Pair
from loftroute.pair.witness import WitnessServer
from loftroute.protocol.catalog import Address as Endpoint
from loftroute.protocol.catalog import parse_address
from loftroute.protocol.vrrp import Address
from loftroute.recall.keeper import Keeper
from loftroute.relay.lifecycle import Relay
from loftroute.runtime.clock import Clock
from loftroute.runtime.datagram import DatagramSocket
from loftroute.runtime.files import RealDirectory
from loftroute.runtime.scheduler import Scheduler
from loftroute.settings.reading import Product, SettingsError
from loftroute.store.actor import Store
from loftroute.vrrp.envelope import Opener, Sealer
from loftroute.vrrp.keyring import KeyFileError, Keyring
from loftroute.vrrp.machine import Router, RouterSettings
from loftroute.vrrp.speaker import Speaker
from loftroute.vrrp.tracking import Condition, Tracker


class Announcer:
    """Announces which relay holds a virtual address to a switch or load balancer in front of the relays.

    This replaces the gratuitous ARP and unsolicited neighbour advertisements of a real link. Each
    announcement is a datagram with a JSON object, which includes the relay's own address for clients.
    """

    def __init__(self, socket: DatagramSocket, target: Endpoint | None, own_address: Endpoint) -> None:
        """Announce to `target`, or nothing if that is None."""
        self._socket, self._target, self._own_address = socket, target, own_address

    def announce(self, vrid: int, addresses: tuple[Address, ...]) -> None:
        """Announce that this relay holds the addresses of a virtual router."""
        self._send_holder(vrid, addresses, True)

    def withdraw(self, vrid: int, addresses: tuple[Address, ...]) -> None:
        """Announce that this relay no longer holds the addresses of a virtual router."""
        self._send_holder(vrid, addresses, False)

    def _send_holder(self, vrid: int, addresses: tuple[Address, ...], holds: bool) -> None:
        if self._target is not None:
            announcement = {
                "vrid": vrid,
                "addresses": [str(a) for a in addresses],
                "holds": holds,
                "at": str(self._own_address),
            }
            self._socket.send(json.dumps(announcement).encode(), (self._target.host, self._target.port))


class ConditionReader:
    """Reads the conditions that virtual routers track.

    "ready": the decision module is ready and the relay is not shutting down. "lag": the scheduler's lag is
    not above the maximum. "store": the store accepts writes. "units": some ready unit is connected, or none
    is known. "fence": the pair lets this relay send requests that must not run twice.
    """

    def __init__(self, relay: Relay, store: Store | None, pair: Pair | None, max_lag: int) -> None:
        """`max_lag` is the scheduler's lag in nanoseconds up to which the condition "lag" holds."""
        self._relay, self._store, self._pair, self._max_lag = relay, store, pair, max_lag

    def __call__(self) -> Mapping[str, bool]:
        """Return by name whether each condition holds now."""
        relay = self._relay
        units = relay.units.units.values()
        return {
            "ready": relay.module.is_ready and not relay.is_ending,
            "lag": relay.scheduler.lag <= self._max_lag,
            "store": self._store is None or not self._store.stopped,
            "units": any(
                unit.entry and unit.entry.state is ServerState.READY and unit.connections for unit in units
            )
            or not units,
            "fence": self._pair is None or self._pair.may_send,
        }


def load_keyring(product: Product, path: str) -> Keyring:
    """Read a key file; raises `SettingsError` if it cannot be used."""
    try:
        return Keyring(path)
    except (KeyFileError, OSError) as problem:
        raise SettingsError(f"{product.path}: key_file: {problem}") from problem


def attach(relay: Relay, product: Product, store: Store | None, keeper: Keeper | None) -> None:
    """Add the pair and the virtual routers to a relay, as far as they are configured.

    The pair needs the store and the keeper. Raises `SettingsError` for a key file that cannot be used and
    `OSError` for an address that cannot be bound.
    """
    pair = _pair(relay, product, store, keeper) if product.pair_on and store and keeper else None
    if product.vrrp_on:
        speaker = _speaker(relay, product, store, pair)
        relay.subsystems.append(speaker)
        if pair:
            pair.router_status = speaker.status
            pair.start_failback = lambda: fail_back(relay, speaker)


def fail_back(relay: Relay, speaker: Speaker) -> None:
    """Start a planned failback: hand the virtual addresses to the peer after the open requests have ended.

    Each request ends by its own deadline at the latest. The peer, which has every record, then learns from
    an advertisement with priority 0 that it should take over.
    """
    open_requests = list(relay.module.open_requests.values())

    def wait() -> None:
        while any(relay.module.open_requests.get(request.job.id) is request for request in open_requests):
            relay.scheduler.sleep(5_000_000)
        speaker.relinquish_all()

    relay.scheduler.spawn("failback", wait)


def _pair(relay: Relay, product: Product, store: Store, keeper: Keeper) -> Pair:
    settings = product.message.pair
    pair = Pair(
        relay.scheduler,
        store,
        settings.name,
        settings.peer_name,
        parse_address(settings.listen),
        parse_address(settings.peer),
        parse_address(settings.witness) if settings.witness else None,
        load_keyring(product, settings.key_file),
        PairLimits(product.duration_ns("pair.patience_ms"), product.duration_ns("pair.again_ms")),
    )
    pair.records, keeper.pair = keeper, pair
    relay.subsystems.append(pair)
    return pair


def _speaker(relay: Relay, product: Product, store: Store | None, pair: Pair | None) -> Speaker:
    vrrp = product.message.vrrp
    primary, own_address = ipaddress.ip_address(vrrp.primary), parse_address(vrrp.listen)
    keyring = load_keyring(product, vrrp.key_file) if vrrp.key_file else Keyring("")
    peers = {ipaddress.ip_address(peer.primary): parse_address(peer.endpoint) for peer in vrrp.peer}
    conditions = tuple(
        Condition(track.condition, track.cost, track.condition != "fence") for track in vrrp.track
    )
    if pair is not None and all(condition.name != "fence" for condition in conditions):
        conditions += (Condition("fence", 254, False),)  # prefer a relay that may send
    routers = []
    for router in vrrp.router:
        settings = RouterSettings(
            router.vrid,
            router.priority or 100,
            router.interval_cs or 100,
            primary,
            tuple(ipaddress.ip_address(a) for a in router.address),
            router.preempt if router.HasField("preempt") else True,
        )
        routers.append((Router(settings), Tracker(settings.priority, conditions)))
    socket = DatagramSocket(relay.scheduler, (own_address.host, own_address.port))
    announcer = Announcer(
        socket, parse_address(vrrp.announce_to) if vrrp.announce_to else None, relay.config.listen
    )
    opener = Opener(
        keyring.keys, frozenset(peers), frozenset((primary,)), product.duration_ns("vrrp.allowance_ms")
    )
    return Speaker(
        relay.scheduler,
        routers,
        socket,
        Sealer(keyring.keys, time.time_ns(), primary),
        opener,
        {primary_address: (endpoint.host, endpoint.port) for primary_address, endpoint in peers.items()},
        announcer,
        ConditionReader(relay, store, pair, product.duration_ns("background.lag_high_ms")),
        keyring,
    )


def run_witness(product: Product) -> None:
    """Run the witness until the process ends; raises `SettingsError` or `OSError` if it cannot start."""
    settings = product.message.witness
    if not settings.listen:
        raise SettingsError(f"{product.path}: witness: missing")
    scheduler = Scheduler(Clock(), lambda name, problem: None, gather=0)
    WitnessServer(
        scheduler,
        RealDirectory(settings.directory, create=True),
        parse_address(settings.listen),
        load_keyring(product, settings.key_file),
        frozenset(settings.name),
        b"witness\0",
    )
    scheduler.run()
