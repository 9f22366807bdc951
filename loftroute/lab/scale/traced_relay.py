"""The relay with a given minimum interval between scheduler turns, and optionally with timed steps.

    SCALE_GATHER_NS=1000000 SCALE_TRACE=FILE RELAY_CONFIG=... python -m loftroute.lab.scale.traced_relay

SCALE_GATHER_NS is the interval in nanoseconds. If SCALE_TRACE names a file, the relay writes to it when it
stops: the number of calls and the total nanoseconds of each step, as JSON.
"""

import json
import os
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

from loftroute import config
from loftroute.decision import interface as i
from loftroute.protocol import jobs, resp
from loftroute.relay import lifecycle
from loftroute.runtime.stream import Listener, Stream


class Tracer:
    """Wraps functions to count and time their calls (wall time, by step)."""

    def __init__(self) -> None:
        self.calls: Counter[str] = Counter()
        self.nanoseconds: Counter[str] = Counter()

    def wrap(self, owner: Any, function_name: str, step: str) -> None:
        """Replace a function of a class or module by a timed one, whose calls count for one step."""
        function = getattr(owner, function_name)
        setattr(owner, function_name, self.timed(function, lambda _: step))

    def timed(
        self, function: Callable[..., Any], step_of: Callable[[tuple[Any, ...]], str]
    ) -> Callable[..., Any]:
        """Return a timed wrapper; `step_of` gives the step from the positional arguments."""

        def timed_call(*arguments: Any, **keywords: Any) -> Any:
            started_ns = time.perf_counter_ns()
            try:
                return function(*arguments, **keywords)
            finally:
                step = step_of(arguments)
                self.nanoseconds[step] += time.perf_counter_ns() - started_ns
                self.calls[step] += 1

        return timed_call

    def document(self) -> dict[str, dict[str, int]]:
        """Return calls and nanoseconds of each step as plain values."""
        return {
            step: {"calls": self.calls[step], "nanoseconds": self.nanoseconds[step]}
            for step in sorted(self.calls)
        }


def decision_step(arguments: tuple[Any, ...]) -> str:
    """Return the step of a call of the decision module, from its event."""
    event = arguments[-1]
    if isinstance(event, i.RequestArrived):
        return "decide: a request"
    return "decide: an answer" if isinstance(event, i.AttemptEnded) else "decide: other"


def trace(relay: lifecycle.Relay) -> Tracer:
    """Install timers on the steps of a request."""
    tracer = Tracer()
    tracer.wrap(Listener, "accept", "accept")
    tracer.wrap(Stream, "read", "read")
    tracer.wrap(Stream, "write", "write")
    tracer.wrap(jobs, "parse_usual_request", "parse: a request")
    tracer.wrap(resp, "parse_reply", "parse: an answer")
    relay.balancer.handle = tracer.timed(relay.balancer.handle, decision_step)  # type: ignore[method-assign]
    return tracer


def main() -> None:
    """Run the relay until it is stopped, then write the trace."""
    settings = config.load()
    interval_ns = int(os.environ.get("SCALE_GATHER_NS", settings.transport.min_poll_interval_ns))
    settings = replace(settings, transport=replace(settings.transport, min_poll_interval_ns=interval_ns))
    lifecycle.log_to_stderr()
    relay = lifecycle.Relay(settings)
    path = os.environ.get("SCALE_TRACE")
    tracer = trace(relay) if path else None
    relay.run()
    if path and tracer:
        document = {**tracer.document(), "turns": {"calls": relay.scheduler.turns, "nanoseconds": 0}}
        Path(path).write_text(json.dumps(document))


if __name__ == "__main__":
    main()
