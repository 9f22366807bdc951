"""Plays seeds of clients that leave against the deploy file's `run`, and reports broken rules.

`python -m loftroute.lab.departures.play --seeds 1-50` prints a line for each play and exits with status 1 if
a rule was broken in one.
"""

import random
import re
import signal
import socket
import tempfile
import time
from collections import Counter
from dataclasses import dataclass
from functools import partial
from pathlib import Path

import click

from loftroute.lab.departures.checker import Violation, check, is_void
from loftroute.lab.departures.clients import LeavingClient, UsualClient, connect
from loftroute.lab.departures.history import History
from loftroute.lab.departures.loop import Loop
from loftroute.lab.departures.plan import Plan, Signal, draw
from loftroute.lab.departures.units import PlayedUnit
from loftroute.lab.standins import Relay

KILL_AFTER_S = 3.0 + 0.7  # the earliest SIGKILL after SIGTERM: the longest deadline, at most 3 s, and 0.7 s
SOCKETS = 1024  # descriptors of the relay
MAX_SHOWN = 5  # violations shown of a play
MEASURE_INTERVAL_S = 0.05
PEAK_MEMORY = re.compile(r"VmHWM:\s+(\d+) kB")  # of /proc/PID/status


@dataclass(frozen=True, slots=True)
class Result:
    """The outcome of a play."""

    plan: Plan
    history: History
    violations: list[Violation]
    log: str


class Play:
    """One play of a plan."""

    def __init__(self, plan: Plan, folder: Path) -> None:
        self._plan, self._folder = plan, folder
        self._rng = random.Random(plan.seed)
        self._loop, self._history = Loop(), History(memory_limit_kb=plan.memory_mb << 10)
        self._units = {name: self._new_unit(name) for name in (f"u{n}" for n in range(plan.units))}
        self._usual: list[UsualClient] = []
        self._groups = [LeavingClient(g, self._loop, self._history, self._rng) for g in plan.groups]

    def _new_unit(self, name: str) -> PlayedUnit:
        plan = self._plan
        return PlayedUnit(
            name,
            self._loop,
            self._history,
            random.Random(self._rng.random()),
            plan.service_s,
            plan.busy_share,
            plan.hang_share,
        )

    def run(self, env: dict[str, str] | None = None) -> Result:
        """Play to the end and return what was seen; `env` is added to the relay's environment."""
        limits = {"memory_mb": self._plan.memory_mb}
        self._relay = Relay(self._folder, self._units, sockets=SOCKETS, limits=limits, env=env or {})
        silent = [connect(self._relay.port) for _ in range(self._plan.silent_clients)]
        try:
            self._schedule()
            self._loop.run(self._plan.length_s + KILL_AFTER_S + 1.0)
            self._history.exit_status = self._relay.process.poll()
        finally:
            self._end(silent)
        self._history.worst_lag_s = self._loop.worst_lag
        return Result(self._plan, self._history, check(self._history), self._relay.text())

    def _schedule(self) -> None:
        """Set the timers of all that happens."""
        loop, plan = self._loop, self._plan
        for n in range(plan.usual_clients):
            loop.call_after(0.01 * n, self._add_usual)
        for group, client in zip(plan.groups, self._groups, strict=True):
            loop.call_after(group.at_s, partial(client.start, self._relay.port))
        for event in plan.signals:
            loop.call_after(event.at_s, partial(self._signal, event))
        self._relay.discovery.answer_delay_s = plan.agent_delay_s
        if plan.drain_at_s is not None:
            loop.call_after(plan.drain_at_s, self._drain)
        loop.call_after(plan.length_s, self._terminate)
        self._measure_memory()

    def _measure_memory(self) -> None:
        """Note the most memory that the relay has used; runs periodically until it has ended."""
        try:
            status = Path(f"/proc/{self._relay.process.pid}/status").read_text()
        except OSError:
            return
        if peak := PEAK_MEMORY.search(status):
            self._history.peak_memory_kb = max(self._history.peak_memory_kb, int(peak[1]))
            self._loop.call_after(MEASURE_INTERVAL_S, self._measure_memory)

    def _add_usual(self) -> None:
        self._usual.append(UsualClient(self._loop, self._history, self._rng, self._relay.port))

    def _signal(self, event: Signal) -> None:
        if event.kind == "reload":
            return self._relay.reload()
        self._relay.process.send_signal(signal.SIGSTOP)
        self._loop.call_after(event.length_s, lambda: self._relay.process.send_signal(signal.SIGCONT))

    def _drain(self) -> None:
        """Have the agent of discovery know that the first unit drains."""
        unit = next(iter(self._units))
        self._relay.discovery.change(**{unit: {"lifecycle": "DRAINING"}})
        self._history.drains[unit] = time.monotonic()

    def _terminate(self) -> None:
        self._history.terminated_at = time.monotonic()
        self._relay.process.send_signal(signal.SIGTERM)
        self._loop.call_after(KILL_AFTER_S, self._kill)
        self._await_exit()

    def _await_exit(self) -> None:
        if self._relay.process.poll() is None:
            return self._loop.call_after(0.02, self._await_exit)
        self._loop.call_after(0.1, self._loop.stop)  # what it wrote last is read first

    def _kill(self) -> None:
        if self._relay.process.poll() is None:
            self._history.killed_at = time.monotonic()
            self._relay.process.kill()

    def _end(self, silent: list[socket.socket | None]) -> None:
        self._relay.stop()
        self._relay.discovery.close()
        self._relay.platform.close()
        for unit in self._units.values():
            unit.close()
        for usual in self._usual:
            usual.is_ended = True
            usual.close()
        for sock in silent:
            if sock:
                sock.close()


def play(plan: Plan, env: dict[str, str] | None = None) -> Result:
    """Play a plan in a folder of its own."""
    with tempfile.TemporaryDirectory() as folder:
        return Play(plan, Path(folder)).run(env)


def summary(result: Result) -> str:
    """Return one line on a play."""
    history = result.history
    left = sum(request.left_at is not None for request in history.requests.values())
    rules = Counter(violation.rule for violation in result.violations)
    verdict = "void" if is_void(history) else "broken" if result.violations else "held"
    return (
        f"seed {result.plan.seed}: {verdict}, {len(history.requests)} requests, {left} of them left, "
        f"{len(history.attempts)} attempts, violations {dict(rules) or 'none'}, "
        f"agent {result.plan.agent_delay_s:.1f} s late, "
        f"memory {history.peak_memory_kb >> 10} of {result.plan.memory_mb} MB, "
        f"lag of the play {history.worst_lag_s * 1000:.0f} ms"
    )


def parse_seeds(text: str) -> list[int]:
    """Return the seeds of `N` or `FIRST-LAST`."""
    first, _, last = text.partition("-")
    return list(range(int(first), int(last or first) + 1))


@click.command()
@click.option("--seeds", default="1-50", show_default=True, help="One seed, or FIRST-LAST.")
@click.option("--seconds", default=6.0, show_default=True, help="Length of a play until SIGTERM.")
@click.option(
    "--log", "log_folder", type=click.Path(path_type=Path), help="Keep the logs of broken plays here."
)
def main(seeds: str, seconds: float, log_folder: Path | None) -> None:
    """Play seeds one after another; exits with status 1 if a rule was broken."""
    broken = voided = 0
    for seed in parse_seeds(seeds):
        result = play(draw(seed, seconds), {"LOFTROUTE_LOG_LEVEL": "DEBUG"} if log_folder else None)
        click.echo(summary(result))
        if is_void(result.history):
            voided += 1
            continue
        broken += bool(result.violations)
        for violation in result.violations[:MAX_SHOWN]:
            click.echo(f"  {violation.rule}: {violation.text}")
        if result.violations and log_folder:
            log_folder.mkdir(parents=True, exist_ok=True)
            (log_folder / f"seed-{seed}.log").write_text(result.log)
    click.echo(f"{broken} broken, {voided} void")
    raise SystemExit(bool(broken))


if __name__ == "__main__":
    main()
