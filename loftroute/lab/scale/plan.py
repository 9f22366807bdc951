"""The plan of a scale run: sizes, repeats, events and resource limits.

A plan is read from JSON; msgspec checks the type and range of each field.
"""

from enum import Enum
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

Count = Annotated[int, Meta(ge=1, le=100_000)]
Rate = Annotated[float, Meta(gt=0, le=100_000)]
Seconds = Annotated[float, Meta(gt=0, le=7200)]
Share = Annotated[float, Meta(gt=0, le=0.5)]
Sizes = Annotated[tuple[Count, ...], Meta(min_length=4)]
Rates = Annotated[tuple[Rate, ...], Meta(min_length=4)]


class PlanError(ValueError):
    """A plan is not JSON, or one of its fields is missing, unknown or out of range."""


class EventKind(Enum):
    """The failure or operation that is simulated on the fleet."""

    RESTARTS = "restarts"  # rolling restarts of units, some of which start a trial build
    RACK = "rack"  # the units of one rack stop responding
    ZONE = "zone"  # all units and relays of one zone fail
    REGIONS_APART = "regions_apart"  # the network between the regions is partitioned
    DISCOVERY_RESTART = "discovery_restart"  # discovery restarts and loses its change history
    CONTROL_MACHINES = "control_machines"  # discovery and the platform are unavailable


class EventPlan(Struct, frozen=True, forbid_unknown_fields=True):
    """One event on a fleet of simulated ("hollow") relays and units."""

    kind: EventKind
    relays: Count
    units: Count
    requests_per_s: Rate  # of all relays together
    length_s: Seconds  # duration of the event, in simulated time
    settle_s: Seconds = 12.0  # simulated time after the event, before the results are read
    seed: Annotated[int, Meta(ge=0)] = 1


class SlopesPlan(Struct, frozen=True, forbid_unknown_fields=True):
    """The sizes at which each figure is measured."""

    units: Sizes
    services: Sizes
    tenants: Sizes
    relays: Sizes
    requests_per_s: Rates
    changes_per_s: Rates
    requests: Count  # number of requests measured at each size
    repeats: Annotated[int, Meta(ge=1, le=20)]  # measurements of each size; the smallest value is kept


class RealPlan(Struct, frozen=True, forbid_unknown_fields=True):
    """Measurements of real relays on loopback sockets, which the hollow relays are compared with."""

    units: Sizes
    requests_per_s: Rate
    seconds: Annotated[float, Meta(gt=0, le=60)]
    rounds: Annotated[int, Meta(ge=1, le=20)] = 3  # measurements of each route to the unit, interleaved
    # Minimum intervals between two turns of the relay's scheduler.
    turn_gaps_ms: tuple[Annotated[float, Meta(ge=0, le=20)], ...] = (0.0, 0.5, 1.0, 2.0, 4.0)


class Plan(Struct, frozen=True, forbid_unknown_fields=True):
    """A complete scale run.

    Attributes:
        stop_after_s: Processor time of the run, in seconds, after which no further part is started.
        processes: Number of events that are simulated in parallel, each in its own process.
        memory_share: Share of the machine's memory that the events may use.
    """

    stop_after_s: Seconds
    slopes: SlopesPlan
    events: tuple[EventPlan, ...]
    real: RealPlan
    processes: Annotated[int, Meta(ge=1, le=200)] = 2
    memory_share: Share = 0.4
    seed: Annotated[int, Meta(ge=0)] = 1


def read(text: bytes) -> Plan:
    """Decode a plan from JSON.

    Raises:
        PlanError: The text is not JSON, or a field is missing, unknown or out of range.
    """
    try:
        return msgspec.json.decode(text, type=Plan)
    except msgspec.ValidationError as error:
        raise PlanError(str(error)) from error
    except msgspec.DecodeError as error:
        raise PlanError(f"not JSON: {error}") from error


def _event(kind: EventKind, relays: int, units: int, rate_per_s: float, duration_s: float) -> EventPlan:
    return EventPlan(kind=kind, relays=relays, units=units, requests_per_s=rate_per_s, length_s=duration_s)


QUICK = Plan(
    stop_after_s=60.0,
    slopes=SlopesPlan(
        units=(50, 200, 1000, 5000),
        services=(1, 10, 50, 210),
        tenants=(10, 100, 2000, 38000),
        relays=(3, 10, 30, 100),
        requests_per_s=(10.0, 30.0, 115.0, 300.0),
        changes_per_s=(0.5, 1.0, 2.0, 4.0),
        requests=50,
        repeats=1,
    ),
    events=(
        _event(EventKind.RESTARTS, 6, 48, 150.0, 8.0),
        _event(EventKind.RACK, 6, 48, 150.0, 6.0),
        _event(EventKind.ZONE, 12, 48, 150.0, 6.0),
        _event(EventKind.REGIONS_APART, 6, 24, 75.0, 10.0),
        _event(EventKind.DISCOVERY_RESTART, 40, 48, 150.0, 3.0),
        _event(EventKind.CONTROL_MACHINES, 6, 48, 150.0, 4.0),
    ),
    real=RealPlan(
        units=(10, 50, 200, 500), requests_per_s=60.0, seconds=0.7, rounds=1, turn_gaps_ms=(0.0, 1.0, 4.0)
    ),
)

FULL = Plan(
    stop_after_s=1800.0,
    slopes=SlopesPlan(
        units=(50, 200, 500, 1500, 3000, 5000),
        services=(1, 10, 50, 100, 210),
        tenants=(10, 100, 1000, 10000, 38000),
        relays=(3, 20, 100, 250, 520),
        requests_per_s=(10.0, 30.0, 115.0, 300.0, 450.0),
        changes_per_s=(0.1, 0.5, 1.0, 2.0, 5.0),
        requests=300,
        repeats=3,
    ),
    events=(
        _event(EventKind.RESTARTS, 52, 504, 1500.0, 30.0),
        _event(EventKind.RACK, 52, 504, 1500.0, 10.0),
        _event(EventKind.ZONE, 60, 504, 1500.0, 10.0),
        _event(EventKind.REGIONS_APART, 12, 48, 40.0, 3600.0),
        _event(EventKind.DISCOVERY_RESTART, 520, 504, 300.0, 5.0),
        _event(EventKind.CONTROL_MACHINES, 52, 504, 1000.0, 20.0),
    ),
    real=RealPlan(units=(10, 50, 500, 1500, 5000), requests_per_s=115.0, seconds=5.0),
)


__all__ = ["FULL", "QUICK", "EventKind", "EventPlan", "Plan", "PlanError", "RealPlan", "SlopesPlan", "read"]
