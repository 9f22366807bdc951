"""Control traffic of fleets of several sizes, and the time until all relays have applied a change."""

from loftroute.lab.scale import meter
from loftroute.lab.scale.fits import Point, Series
from loftroute.lab.scale.fleet import HollowFleet
from loftroute.lab.setup import SECOND

UNITS, REQUESTS_PER_S = 60, 5.0
CALM_PERIOD, MEASURED_PERIOD = 3 * SECOND, 10 * SECOND
FIGURE_UNITS = {
    "discovery_calls": "calls a second to discovery, nothing changing",
    "discovery_bytes": "bytes a second from discovery, nothing changing",
    "platform_bytes": "bytes a second from the platform, nothing changing",
    "relay_bytes": "bytes a second each way for one relay, nothing changing",
    "bytes_for_a_change": "bytes from discovery for one change",
    "change_to_last_relay": "ms from a change to the last relay that acts on it",
}


def measure(relays: int, seed: int) -> dict[str, float]:
    """Simulate a fleet of this many relays and return its figures."""
    fleet = HollowFleet(relays, UNITS, REQUESTS_PER_S, seed)
    fleet.simulation.run(CALM_PERIOD)
    traffic = [discovery.traffic for discovery in fleet.discoveries]
    platform = fleet.platform.traffic

    def totals() -> tuple[int, int, int, int]:
        """Return the calls, sent and received bytes of discovery, and the bytes sent by the platform."""
        return (
            sum(t.calls for t in traffic),
            sum(t.sent for t in traffic),
            sum(t.received for t in traffic),
            platform.sent,
        )

    before = totals()
    fleet.simulation.run(MEASURED_PERIOD)
    calls, sent, received, platform_sent = (
        later - earlier for earlier, later in zip(before, totals(), strict=True)
    )
    sent_without_changes = sent
    seconds = MEASURED_PERIOD / SECOND
    before = totals()
    for number in range(int(seconds)):
        fleet.publish(fleet.units[number])
        fleet.simulation.run(SECOND)
    sent_with_changes = totals()[1] - before[1]
    return {
        "discovery_calls": calls / seconds,
        "discovery_bytes": sent / seconds,
        "platform_bytes": platform_sent / seconds,
        "relay_bytes": (sent + received + platform_sent) / seconds / relays,
        "bytes_for_a_change": (sent_with_changes - sent_without_changes) / seconds,
        "change_to_last_relay": max(fleet.lags.values(), default=0) / 1e6,
    }


def sweep(sizes: tuple[int, ...]) -> list[Series]:
    """Measure every figure at each number of relays."""
    series = {name: Series(name, "relays", unit) for name, unit in FIGURE_UNITS.items()}
    for relays in sizes:
        bare_s = meter.bare()
        for name, value in measure(relays, 1).items():
            series[name].points.append(Point(relays, value, bare_s))
    return list(series.values())
