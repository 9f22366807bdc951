"""A relay that ends itself with SIGKILL at a named point: `python -m loftroute.lab.killer run --settings
FILE`.

LOFTROUTE_KILL holds `POINT:N`: the N-th time that the point is passed is the last thing that happens. The
points are methods of the product, wrapped here; the product knows nothing of it.
"""

import os
import signal
import sys
from collections.abc import Callable
from typing import Any

from loftroute.recall.keeper import Keeper, SharedTicket
from loftroute.relay.module import Module
from loftroute.relay.units import Attempt
from loftroute.store.writer import LogWriter

# Point: class, method, whether it is passed before the method or after it.
POINTS: dict[str, tuple[type, str, bool]] = {
    "before the intent": (Keeper, "record_intent", True),
    "intent written, not safe": (Keeper, "record_intent", False),
    "committed, nobody told": (LogWriter, "_group_durable", True),
    "intent safe": (Keeper, "_intent_durable", True),
    "claim answered": (Keeper, "_claim_decided", True),
    "request sent": (Module, "send_after_intent", False),
    "unit answered": (Keeper, "record_outcome", True),
    "outcome written, not safe": (Keeper, "record_outcome", False),
    "client answered": (SharedTicket, "served", False),
}


def arm(point: str, number: int) -> None:
    """Have this process end itself at the `number`-th passing of a point."""
    owner, name, before = POINTS[point]
    left = [number]
    method: Callable[..., Any] = getattr(owner, name)

    def passed() -> None:
        left[0] -= 1
        if left[0] == 0:
            os.kill(os.getpid(), signal.SIGKILL)

    def wrapped(*args: Any, **how: Any) -> Any:
        if before:
            passed()
        result = method(*args, **how)
        if not before:
            passed()
        return result

    setattr(owner, name, wrapped)


def unfence() -> None:
    """Take the wait for the intent out: the control that shows what it is for."""

    def at_once(keeper: Keeper, attempt: Attempt) -> None:
        keeper._module.send_after_intent(attempt)

    setattr(Keeper, "record_intent", at_once)  # noqa: B010


if __name__ == "__main__":
    from loftroute.cli.main import main

    if os.environ.get("LOFTROUTE_UNFENCED"):
        unfence()
    told = os.environ.get("LOFTROUTE_KILL", "")
    if told:
        point, _, count = told.rpartition(":")
        arm(point, int(count))
    sys.exit(main())
