"""Blocking work as generators, so that one implementation runs in place, on the relay and on the lab's disk.

What may block is yielded: a generator yields either a `Sync`, whose call the driver makes wherever it likes
and whose error it sends back, or the number of bytes that a step of background work moved. `drive` makes all
calls in place; `store/actor.py` has the worker thread make them.
"""

import contextlib
from collections.abc import Callable, Generator
from typing import NamedTuple, TypeVar

Result = TypeVar("Result")


class Sync(NamedTuple):
    """A call that blocks until something is durable; it raises `OSError` where it fails."""

    call: Callable[[], None]


StepsWithResult = Generator[Sync | int, Exception | None, Result]
Steps = StepsWithResult[None]


def sync_in_place(step: Sync) -> Exception | None:
    """Make a call here and now; the error that ended it, or None."""
    try:
        step.call()
    except OSError as problem:
        return problem
    return None


def drive(steps: Steps, sync: Callable[[Sync], Exception | None] = sync_in_place) -> None:
    """Take all steps; `sync` makes the calls and returns their errors."""
    answer: Exception | None = None
    with contextlib.suppress(StopIteration):
        while True:
            step = steps.send(answer)
            answer = sync(step) if isinstance(step, Sync) else None
