"""Settings of a small deployment, in the form the platform supplies, for stand-ins and tests."""

import copy
from typing import Any

MS, SECOND = 1_000_000, 1_000_000_000  # nanoseconds

SETUP: dict[str, Any] = {
    "instances": 2,
    "self_index": 0,
    "zone": 0,
    "tick": 5 * MS,
    "tier": 0,
    "discovery": "push",
    "services": [
        {
            "name": "read",
            "effect": "safe",
            "group": "all",
            "aim": SECOND,
            "hard_limit": 3 * SECOND,
            "window": 0,
            "worth": 1.0,
            "late_worth": 0.0,
            "stream": False,
        },
        {
            "name": "put",
            "effect": "keyed",
            "group": "zone",
            "aim": SECOND,
            "hard_limit": 4 * SECOND,
            "window": 2 * SECOND,
            "worth": 2.0,
            "late_worth": 0.0,
            "stream": False,
        },
        {
            "name": "pay",
            "effect": "unsafe",
            "group": "all",
            "aim": SECOND,
            "hard_limit": 4 * SECOND,
            "window": 0,
            "worth": 3.0,
            "late_worth": 0.0,
            "stream": False,
        },
    ],
    "family_info": {
        "allowance": 2.0,
        "answer_wait": SECOND,
        "ayes_needed": 1,
        "ballot_ttl": 6 * SECOND,
        "behind_price": 0.5,
        "calls_per_s": 20.0,
        "cap_scope": "all",
        "counted_over": 2 * SECOND,
        "decided_by": "by_count",
        "forward_only": False,
        "harm_fee": 4.0,
        "hold_votes": 0,
        "min_dwell": SECOND,
        "moves_after": 0,
        "repeat_every": 6 * SECOND,
        "replace_mode": "parallel",
        "reported_share": 0.0,
        "safe_only_stages": 0,
        "sampled_share": 0.0,
        "stage_cap": [0.2, 0.5, 1.0],
        "stage_share": [0.1, 0.25, 1.0],
        "tally_every": 0,
        "to_abort": 1,
    },
    "ceilings": {
        "cancel": True,
        "max_attempts": 4,
        "max_retry_after": 2 * SECOND,
        "retry_after": True,
        "probes": False,
        "second_copies": False,
    },
    "obligations": {
        "drain_grace": SECOND,
        "cold": 4 * SECOND,
        "start_capacity": 0.3,
        "fall": SECOND,
        "fall_multiple": 2.5,
        "ask_within": 0,
        "answer_slack": 20 * MS,
    },
    "prices": {"cross_zone": 0.02},
    "reporting": {"fields": [], "via": "none"},
    "parties": [],
    "zones": ["a", "b"],
    "weights": "none",
}


def setup(**changes: Any) -> dict[str, Any]:
    """Return a copy of `SETUP` with changes; `ceilings__cancel=...` changes a nested key."""
    result = copy.deepcopy(SETUP)
    for path, value in changes.items():
        *parents, last = path.split("__")
        section = result
        for name in parents:
            section = section[name]
        section[last] = value
    return result
