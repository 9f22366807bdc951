"""Adds the store and recall to a relay as configured in the product settings."""

from loftroute.recall.decisions import RecallLimits, ServerLocation
from loftroute.recall.keeper import Keeper
from loftroute.relay.lifecycle import Relay
from loftroute.relay.units import Units
from loftroute.runtime.background import BackgroundBudget
from loftroute.settings import product_pb2
from loftroute.settings.reading import Product, SettingsError
from loftroute.store.actor import Store
from loftroute.store.plan import Limits, OnDamage, OnSyncError


class UnitLocations:
    """Locations of units according to the discovery list."""

    def __init__(self, units: Units) -> None:
        self._units = units

    def location(self, server: int) -> ServerLocation:
        """Return a unit's location, with zone and cell -1 if it is not listed."""
        unit = self._units.units.get(server)
        if unit is None or unit.entry is None:
            return ServerLocation(-1, -1, "")
        return ServerLocation(unit.entry.zone, unit.entry.cell, str(unit.address or ""))


def store_limits(product: Product) -> Limits:
    """Return the store's limits from the settings."""
    integer, store = product.integer, product.message.store
    return Limits(
        segment_bytes=integer("store.segment_bytes"),
        batch_bytes=integer("store.batch_bytes"),
        value_bytes=integer("store.value_bytes"),
        pending_bytes=integer("store.pending_bytes"),
        total_bytes=integer("store.total_bytes"),
        reserve_bytes=integer("store.reserve_bytes"),
        amplification=product.numbers["store.amplification"],
        checkpoint_keys=integer("store.checkpoint_keys"),
        snapshot_keys=integer("store.snapshot_keys"),
        follower_bytes=integer("store.follower_bytes"),
        on_damage=OnDamage.READ_ONLY if store.on_damage == product_pb2.Store.READ_ONLY else OnDamage.REFUSE,
        on_sync_error=OnSyncError.STOP
        if store.on_sync_error == product_pb2.Store.STOP
        else OnSyncError.NEW_SEGMENT,
    )


def background_budget(product: Product) -> BackgroundBudget:
    """Return the budget of the store's background work from the settings."""
    return BackgroundBudget(
        product.integer("background.bytes_per_s"),
        product.numbers["background.busy_share"],
        product.duration_ns("background.lag_high_ms"),
        product.duration_ns("background.starve_ms"),
    )


def attach(relay: Relay, product: Product) -> tuple[Store | None, Keeper | None]:
    """Open the store and add recall to the relay, each if it is enabled.

    Raises:
        SettingsError: Records would be kept for less time than a request may take and be repeated.
        StoreError: The store cannot be used.
        OSError: Reading or writing failed.
    """
    if not product.store_on:
        return None, None
    store = Store.open(
        relay.scheduler,
        product.message.store.directory,
        store_limits(product),
        background_budget(product),
        product.duration_ns("store.sync_timeout_ms"),
    )
    relay.subsystems.append(store)
    if not product.recall_on:
        return store, None
    keep, classes = product.duration_ns("recall.keep_ms"), relay.config.settings.classes
    longest = max((request_class.deadline + request_class.key_window for request_class in classes), default=0)
    if keep < longest:
        raise SettingsError(
            f"{product.path}: recall.keep_ms: shorter than the longest deadline and window of a "
            f"class, {longest // 1_000_000} ms"
        )
    limits = RecallLimits(
        product.duration_ns("recall.clock_step_ms"),
        product.integer("recall.max_requests"),
        product.integer("recall.max_bytes"),
        relay.config.settings.max_attempts,
    )
    keeper = Keeper(
        relay.config,
        relay.scheduler,
        relay.module,
        store,
        limits,
        keep,
        product.integer("recall.joined"),
        product.duration_ns("recall.come_again_ms"),
        UnitLocations(relay.units),
    )
    relay.module.recall = keeper
    relay.subsystems.append(keeper)
    return store, keeper
