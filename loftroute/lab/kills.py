"""Kills a relay with recall enabled at seeded points while clients send and repeat requests.

The units count the requests by id: no unsafe request may reach them twice, no keyed one outside its group
and window, and every client must get an answer. `python -m loftroute.lab.kills --kills 300` runs a long
trial; the tests run a short one.
"""

import contextlib
import random
import tempfile
import threading
import time
from collections import defaultdict
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path

import click

from loftroute.lab.killer import POINTS
from loftroute.lab.standins import Client, Relay, Unit

PRODUCT = 'store {{ directory: "{}" }}\nrecall {{ enabled: true }}\n'
WINDOW = 2.0  # seconds in which a request of class `put` may be repeated, as in lab/setup.py


class CountingUnit(Unit):
    """A unit that records when each request arrived.

    Attributes:
        arrivals: Monotonic times in seconds by request id.
        zone: Zone of the unit.
    """

    def __init__(self, zone: str, delay: float) -> None:
        self.arrivals: dict[str, list[float]] = defaultdict(list)
        self.zone, self._delay = zone, delay
        super().__init__()

    def _answer(self, sock, words):  # type: ignore[no-untyped-def]
        self.arrivals[words[2].decode()].append(time.monotonic())
        time.sleep(self._delay)
        return super()._answer(sock, words)


@dataclass
class TrialResult:
    """Counts and violations of a trial.

    Attributes:
        unsafe: Unsafe requests sent, by id.
        keyed: Keyed requests sent, by id.
        asked_again: Requests repeated after a kill.
        recalled: Requests repeated and answered from the record, without a second run.
        failed_unsent: Requests that failed though no unit received them.
        by_point: Kills by kill point.
        broken: Descriptions of violations.
    """

    kills: int = 0
    unsafe: int = 0
    keyed: int = 0
    served: int = 0
    failed: int = 0
    asked_again: int = 0
    recalled: int = 0
    failed_unsent: int = 0
    by_point: dict[str, int] = field(default_factory=dict)
    broken: list[str] = field(default_factory=list)

    def add(self, other: "TrialResult") -> None:
        """Add the figures of another result."""
        for name, value in vars(other).items():
            if isinstance(value, int):
                setattr(self, name, getattr(self, name) + value)
        for point, count in other.by_point.items():
            self.by_point[point] = self.by_point.get(point, 0) + count
        self.broken += other.broken


class Lane:
    """One relay with its units and clients; several lanes run side by side."""

    def __init__(self, folder: Path, seed: int, points: list[str], unfenced: bool = False) -> None:
        self.rng, self.points, self.result = random.Random(seed), points, TrialResult()
        self.unfenced = unfenced
        self.units = {f"u{n}": CountingUnit("ab"[n % 2], 0.004 * (n + 1)) for n in range(4)}
        self.relay = Relay(
            folder,
            self.units,
            product=PRODUCT.format(folder / "store"),
            program="loftroute.lab.killer",
            unit_zones={name: unit.zone for name, unit in self.units.items()},
        )
        self.lock = threading.Lock()

    def run_trial(self, request_count: int = 24) -> TrialResult:
        """Kill the relay once at each point, within the first `request_count` passings of it."""
        try:
            for point in self.points:
                self._run_until_killed(point, request_count)
        finally:
            self.relay.stop()
        return self.result

    def _run_until_killed(self, point: str, request_count: int) -> None:
        """Send requests until the relay kills itself, restart it and let the clients repeat theirs."""
        passing = self.rng.randint(1, request_count)
        self.relay.stop()
        fence = {"LOFTROUTE_UNFENCED": "1"} if self.unfenced else {}
        self.relay.env = {"LOFTROUTE_KILL": f"{point}:{passing}", **fence}
        self.relay.start()
        self.restarted = threading.Event()
        classes = [self.rng.choice(["pay", "pay", "put"]) for _ in range(2 * request_count)]
        threads = [threading.Thread(target=self._client, args=(classes[n::6],)) for n in range(6)]
        for thread in threads:
            thread.start()
        with contextlib.suppress(Exception):
            self.relay.process.wait(15)
        if self.relay.process.poll() is not None:
            self.result.kills += 1
            self.result.by_point[point] = self.result.by_point.get(point, 0) + 1
        self.relay.env = fence
        self.relay.kill_and_restart()
        self.restarted.set()
        for thread in threads:
            thread.join(60)
        self._check_repeats()

    def _client(self, classes: list[str]) -> None:
        for request_class in classes:
            request_id = Relay.id()
            answers = [self._send(request_class, request_id)]
            while answers[-1] is None and len(answers) < 6:  # the relay was killed: repeat at the next one
                self.restarted.wait(30)
                answers.append(self._send(request_class, request_id))
            if len(answers) > 1:
                answers.append(self._send(request_class, request_id))  # repeat once more, whatever the answer
            self._record(request_class, request_id, answers)

    def _send(self, request_class: str, request_id: str) -> bytes | None:
        try:
            client = Client(self.relay.port)
            key_field = ",k=5c" if request_class == "put" else ""
            answer = client.ask(
                "Q.DO", "k1", request_id, f"c={request_class},t=acme,d=3000{key_field}", "BODY"
            )
            client.close()
            return answer
        except OSError:
            return None

    def _record(self, request_class: str, request_id: str, answers: list[bytes | None]) -> None:
        """Count a request and check its answers."""
        with self.lock:
            result, last = self.result, answers[-1]
            result.unsafe += request_class == "pay"
            result.keyed += request_class == "put"
            result.asked_again += len(answers) > 1
            if last is None:
                result.broken.append(f"{request_class} {request_id} got no answer")
            served = [answer for answer in answers if answer and not answer.startswith(b"-")]
            result.served += bool(served)
            result.failed += not served
            arrival_count = sum(len(u.arrivals[request_id]) for u in self.units.values())
            if served and last != served[0]:
                result.broken.append(f"{request_class} {request_id} was served and then got {last!r}")
            if served and not arrival_count:
                result.broken.append(f"{request_class} {request_id} was served, but no unit received it")
            result.recalled += len(answers) > 1 and bool(served) and arrival_count == 1
            result.failed_unsent += not served and not arrival_count

    def _check_repeats(self) -> None:
        """Record a violation for each request that reached units more often than its class allows."""
        arrivals_by_id: dict[str, list[tuple[float, str]]] = defaultdict(list)
        for unit in self.units.values():
            for request_id, unit_arrivals in list(unit.arrivals.items()):
                arrivals_by_id[request_id] += [(at, unit.zone) for at in unit_arrivals]
        with self.lock:
            for request_id, arrivals in arrivals_by_id.items():
                if len(arrivals) < 2:
                    continue
                zones = {zone for _, zone in arrivals}
                spread = max(at for at, _ in arrivals) - min(at for at, _ in arrivals)
                keyed = request_id in self.keyed
                if not keyed or len(zones) > 1 or spread > WINDOW:
                    violation = f"{request_id} came {len(arrivals)} times, in {zones}, {spread:.2f} s apart"
                    self.result.broken.append(violation)

    @property
    def keyed(self) -> set[str]:
        """Ids of requests that units received with an idempotency key."""
        commands = [words for unit in self.units.values() for words in list(unit.seen)]
        return {words[2].decode() for words in commands if b"k=5c" in words[3]}


def run_trial(
    kills: int, lanes: int, seed: int, unfenced: bool = False, only_points: tuple[str, ...] = ()
) -> TrialResult:
    """Run a trial with a number of kills, spread over `lanes` relays and evenly over the kill points.

    `unfenced` runs the control without the wait for the intent record, `only_points` limits the kill points.
    """
    # "claim answered" is passed only in a pair.
    points = list(only_points or [point for point in POINTS if point != "claim answered"])
    plan = [points[n % len(points)] for n in range(kills)]
    random.Random(seed).shuffle(plan)
    total = TrialResult()
    with tempfile.TemporaryDirectory() as folder, ThreadPoolExecutor(lanes) as pool:

        def run_lane(n: int) -> TrialResult:
            lane_folder = Path(folder) / str(n)
            lane_folder.mkdir()
            return Lane(lane_folder, seed + n, plan[n::lanes], unfenced).run_trial()

        for result in pool.map(run_lane, range(lanes)):
            total.add(result)
    return total


@click.command()
@click.option("--kills", default=300, show_default=True)
@click.option("--lanes", default=4, show_default=True)
@click.option("--seed", default=1, show_default=True)
def main(kills: int, lanes: int, seed: int) -> None:
    """Run a trial and print its counts and violations; exits with status 1 for a violation."""
    started = time.monotonic()
    result = run_trial(kills, lanes, seed)
    for name, value in vars(result).items():
        click.echo(f"{name:15} {value}")
    click.echo(f"{'seconds':15} {time.monotonic() - started:.0f}")
    raise SystemExit(bool(result.broken))


if __name__ == "__main__":
    main()
