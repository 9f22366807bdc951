"""Blocking work as generators, so that the same code runs in place, in the relay and on a simulated disk.

A generator yields either a `Sync`, whose call the driver makes and whose error it sends back, or the number
of bytes that a step of background work processed. `drive` makes the calls in the current thread;
`store/actor.py` makes them in a worker thread.
"""

import contextlib
from collections.abc import Callable, Generator
from typing import NamedTuple, TypeVar

Result = TypeVar("Result")


class Sync(NamedTuple):
    """A call that blocks until something is durable. It raises `OSError` if it fails."""

    call: Callable[[], None]


StepsWithResult = Generator[Sync | int, Exception | None, Result]
Steps = StepsWithResult[None]


def sync_in_place(step: Sync) -> Exception | None:
    """Make the call in the current thread; return its error, or None."""
    try:
        step.call()
    except OSError as problem:
        return problem
    return None


def drive(steps: Steps, sync: Callable[[Sync], Exception | None] = sync_in_place) -> None:
    """Run a generator to its end. `sync` makes the calls and returns their errors."""
    error: Exception | None = None
    with contextlib.suppress(StopIteration):
        while True:
            step = steps.send(error)
            error = sync(step) if isinstance(step, Sync) else None
