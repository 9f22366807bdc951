"""Settings and discovery documents of a fleet of a given size."""

from typing import Any

from loftroute.decision import interface as i
from loftroute.lab.setup import SECOND, setup

ZONES = 12  # six in each region
REGIONS = 2
RELEASED_BUILD, TRIAL_BUILD = 41, 42
LONGEST_LIST = 4 << 20  # bytes of a document that a relay reads


def zone_name(zone: int) -> str:
    """Return the name that discovery uses for a zone number."""
    return f"z{zone:02d}"


def region_of(zone: int) -> int:
    """Return the region of a zone."""
    return zone * REGIONS // ZONES


def raw_settings(relays: int, services: int = 3, tenants: int = 0, **changes: Any) -> dict[str, Any]:
    """Return settings in the platform's JSON form.

    `services` is the number of request classes; `changes` are passed on to `lab.setup.setup`.
    """
    raw = setup(instances=relays, zones=[zone_name(zone) for zone in range(ZONES)], **changes)
    templates = raw["services"]
    raw["services"] = [
        {**templates[number % len(templates)], "name": f"service-{number}"} for number in range(services)
    ]
    raw["parties"] = [{"name": f"tenant-{number}", "allowance_per_s": 1000.0} for number in range(tenants)]
    return raw


def entry(number: int, zone: int, build: int = RELEASED_BUILD, started_ms: int = 0) -> dict[str, Any]:
    """Return one unit as an entry of discovery's list."""
    return {
        "instanceId": f"unit-{number:05d}",
        "hostPort": f"10.{zone}.{number // 250}.{number % 250 + 1}:7000",
        "zone": zone_name(zone),
        "machineType": "m",
        "cell": 0,
        "lifecycle": "SERVING",
        "weight": 1.0,
        "startedAtMs": started_ms,
        "release": build,
    }


def document(entries: list[dict[str, Any]], version: int, whole: bool) -> dict[str, Any]:
    """Return a discovery document that holds the whole list, or the changes up to a version."""
    return {"generation": version, "reset": whole, "instances": entries}


def released(build: int = RELEASED_BUILD) -> i.ReleaseNews:
    """Return the platform's news that a build is released to all units, one minute ago."""
    return i.ReleaseNews(i.Phase.RELEASED, 60 * SECOND, 0, i.Outcome.OK, 1.0, build, False)
