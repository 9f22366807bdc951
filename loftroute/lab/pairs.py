"""Runs a pair of relays with a witness between stand-ins: a switch, a faulty network and counting units.

`Duo` starts all of them. In `run_trial` clients repeat requests with the same ids through either relay while
advertisements are lost, the link is cut and relays are killed or stopped. No unsafe request may run twice,
and every request must get an answer. `python -m loftroute.lab.pairs --seconds 600` runs a long trial.
"""

import contextlib
import json
import os
import random
import signal
import subprocess
import sys
import tempfile
import threading
import time
from collections import defaultdict
from dataclasses import dataclass, field
from pathlib import Path

import click

from loftroute.lab.command import command
from loftroute.lab.kills import CountingUnit
from loftroute.lab.network import ConnectionProxy, LossyDatagramProxy, Switch
from loftroute.lab.standins import ROOT, Client, Relay, eventually, free_port

KEYS = "1 " + "5c" * 32 + "\n"
PRIMARY = ("192.0.2.1", "192.0.2.2")
VIRTUAL = "192.0.2.100"


class PairRelay(Relay):
    """One relay of the pair; it does not start before `may_start` is set.

    Both relays are created first, since each needs the addresses of the other.
    """

    def __init__(self, tmp: Path, units: dict[str, CountingUnit], product: str, **options: object) -> None:
        self.may_start = False
        super().__init__(tmp, units, product=product, **options)

    def start(self) -> None:
        """Start the process if `may_start` is set."""
        if self.may_start:
            super().start()


class Duo:
    """A pair of relays, its witness, and the stand-ins around them.

    `interval` is the advertisement interval in centiseconds, `patience` the setting `patience_ms`; `kill` is
    a kill point for relay 0, see lab/killer.py; `sync_delay_ms` is the time by which each sync of a relay's
    disk takes longer, see lab/faulty_disk.py. At most one of the latter two is set.

    Attributes:
        key: File with the keys of the pair.
        advertisement_proxies: Proxies for the advertisements to relay n.
        links: Proxies for the pair's connection to relay n.
        witness_proxies: Proxies from relay n to the witness.
        downtimes: By relay, the begin and end of each period in which it was killed; monotonic seconds.
    """

    def __init__(
        self,
        folder: Path,
        seed: int = 1,
        interval: int = 5,
        patience: int = 300,
        preempt: bool = True,
        kill: str = "",
        sync_delay_ms: int = 0,
    ) -> None:
        self.folder, self.rng = folder, random.Random(seed)
        self.units = {f"u{n}": CountingUnit("a", 0.003) for n in range(3)}
        self.key = folder / "keys"
        self.key.write_text(KEYS)
        self.key.chmod(0o600)
        self.switch = Switch()
        listen = [free_port() for _ in range(2)]
        links = [free_port() for _ in range(2)]
        self.advertisement_proxies = [
            LossyDatagramProxy(("127.0.0.1", listen[n]), seed + n) for n in range(2)
        ]
        self.links = [ConnectionProxy(("127.0.0.1", links[n])) for n in range(2)]
        witness = free_port()
        self.witness_proxies = [ConnectionProxy(("127.0.0.1", witness)) for _ in range(2)]
        preempt_text = "true" if preempt else "false"
        self.witness_text = (
            f'log {{ level: "INFO" }}\nwitness {{ directory: "{folder / "witness"}" '
            f'listen: "127.0.0.1:{witness}" name: "ra" name: "rb" key_file: "{self.key}" }}\n'
        )
        self.witness: subprocess.Popen[bytes] | None = None
        self.start_witness()
        self.relays = []
        self.downtimes: tuple[list[tuple[float, float]], ...] = ([], [])
        for n, name in enumerate(("ra", "rb")):
            relay_folder = folder / name
            relay_folder.mkdir()
            other = 1 - n
            product = f'''store {{ directory: "{relay_folder / "store"}" reserve_bytes: 0 }}
recall {{ enabled: true come_again_ms: 50 }}
vrrp {{
  primary: "{PRIMARY[n]}" listen: "127.0.0.1:{listen[n]}" key_file: "{self.key}"
  announce_to: "{self.switch.address}"
  peer {{ primary: "{PRIMARY[other]}" endpoint: "{self.advertisement_proxies[other].address}" }}
  router {{ vrid: 7 priority: {200 - 50 * n} interval_cs: {interval} address: "{VIRTUAL}"
    preempt: {preempt_text} }}
  track {{ condition: "fence" cost: 120 }}
}}
pair {{
  name: "{name}" peer_name: "{("rb", "ra")[n]}" listen: "127.0.0.1:{links[n]}"
  peer: "{self.links[other].address}"
  witness: "{self.witness_proxies[n].address}" key_file: "{self.key}" patience_ms: {patience} again_ms: 50
}}
'''
            options: dict[str, object] = {}
            if kill and n == 0:
                options = {"program": "loftroute.lab.killer", "env": {"LOFTROUTE_KILL": kill}}
            elif sync_delay_ms:
                environment = {"LOFTROUTE_SYNC_DELAY_MS": str(sync_delay_ms)}
                options = {"program": "loftroute.lab.faulty_disk", "env": environment}
            self.relays.append(PairRelay(relay_folder, self.units, product, **options))
        for relay in self.relays:
            relay.may_start = True
            relay.start()

    def start_witness(self) -> None:
        """Start the witness process."""
        path = self.folder / "witness.textproto"
        path.write_text(self.witness_text)
        with open(self.folder / "witness.log", "ab") as log:
            self.witness = subprocess.Popen(
                [sys.executable, "-B", "-m", "loftroute", "witness", "--settings", str(path)],
                cwd=ROOT,
                stdout=log,
                stderr=log,
            )

    def status(self, n: int) -> dict[str, object]:
        """Return the output of `loftroute pair status --json`; empty while the relay does not answer."""
        result = self.command(n, "status", "--json")
        return json.loads(result.stdout) if result.returncode == 0 else {}

    def command(self, n: int, *words: str) -> subprocess.CompletedProcess[str]:
        """Run `loftroute pair WORDS…` with the settings of relay n."""
        return command("pair", *words, "--settings", str(self.relays[n].tmp / "product.textproto"))

    def wait_for_mode(self, mode: str = "paired", timeout_s: float = 15.0) -> None:
        """Wait until both relays are in a mode and may send; raises `AssertionError` after `timeout_s`."""
        eventually(
            lambda: all(self.status(n).get("mode") == mode and self.status(n)["may_send"] for n in (0, 1)),
            timeout_s,
        )

    def at(self, n: int) -> str:
        """Return the address of relay n."""
        return f"127.0.0.1:{self.relays[n].port}"

    def cut_link(self) -> None:
        """Cut the connection between the relays."""
        for proxy in self.links:
            proxy.cut()

    def restore_link(self) -> None:
        """Allow connections between the relays again."""
        for proxy in self.links:
            proxy.restore()

    def set_advertisement_faults(
        self, down: bool = False, loss: float = 0.0, delay: tuple[float, float] = (0.0, 0.0)
    ) -> None:
        """Set the faults of advertisements in both directions, none by default; the delay is in seconds."""
        for proxy in self.advertisement_proxies:
            proxy.down, proxy.loss, proxy.delay, proxy.duplication = down, loss, delay, loss / 2

    def kill(self, n: int) -> None:
        """Kill relay n."""
        self.relays[n].stop()
        self.switch.remove_holder(self.at(n))

    def start(self, n: int) -> None:
        """Start relay n."""
        self.relays[n].start()

    def runs(self) -> dict[str, int]:
        """Return how often each request reached a unit, by id."""
        runs: dict[str, int] = defaultdict(int)
        for unit in self.units.values():
            for request_id, arrivals in list(unit.arrivals.items()):
                runs[request_id] += len(arrivals)
        return runs

    def ask(self, port: int, request_id: str, deadline_ms: int = 1500) -> bytes | None:
        """Send an unsafe request and return its answer; None if the connection fails or times out."""
        try:
            client = Client(port)
            client.sock.settimeout(deadline_ms / 1000 + 1)
            answer = client.ask("Q.DO", "k1", request_id, f"c=pay,t=acme,d={deadline_ms}", "BODY")
            client.close()
            return answer
        except OSError:
            return None

    def close(self) -> None:
        """End all processes and stand-ins."""
        for relay in self.relays:
            with contextlib.suppress(ProcessLookupError):
                os.kill(relay.process.pid, signal.SIGCONT)
            relay.stop()
        if self.witness:
            self.witness.kill()
            self.witness.wait(10)
        for stand_in in (*self.advertisement_proxies, *self.links, *self.witness_proxies, self.switch):
            stand_in.close()


@dataclass
class TrialResult:
    """Counts and violations of a trial.

    Attributes:
        no_answer: Requests without an answer, for example because the relay was killed.
        unanswered: Requests without an answer from a relay that was running; violations.
        twice: Ids of unsafe requests that ran more than once; violations.
        longest_split: Longest time in which both relays held the address, seconds.
    """

    seconds: float = 0
    asked: int = 0
    ids: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0
    no_answer: int = 0
    unanswered: list[str] = field(default_factory=list)
    twice: list[str] = field(default_factory=list)
    kills: int = 0
    stops: int = 0
    cuts: int = 0
    witness_cuts: int = 0
    takeovers: int = 0
    splits: int = 0
    longest_split: float = 0


def run_trial(duo: Duo, seconds: float, seed: int) -> TrialResult:
    """Inject random faults while six clients send and repeat requests through the switch and both relays."""
    rng, result, lock = random.Random(seed), TrialResult(), threading.Lock()
    end = time.monotonic() + seconds
    ports = [duo.switch.proxy.port, duo.relays[0].port, duo.relays[1].port]
    unanswered_calls: list[tuple[int, float, float, str]] = []  # relay, start, end, id

    def client(number: int) -> None:
        client_rng = random.Random(seed * 100 + number)
        while time.monotonic() < end:
            request_id, served = Relay.id(), None
            for _ in range(client_rng.randint(1, 4)):
                port, started = client_rng.choice(ports), time.monotonic()
                answer = duo.ask(port, request_id)
                with lock:
                    result.asked += 1
                    result.no_answer += answer is None
                    if answer is None and port in ports[1:]:
                        unanswered_calls.append(
                            (ports.index(port) - 1, started, time.monotonic(), request_id)
                        )
                    result.refused += bool(answer and answer.startswith(b"-BUSY"))
                    result.failed += answer == b"-ERR failed"
                    if answer and not answer.startswith(b"-"):
                        served = answer
                time.sleep(client_rng.uniform(0, 0.05))
            with lock:
                result.ids += 1
                result.served += served is not None

    threads = [threading.Thread(target=client, args=(n,)) for n in range(6)]
    for thread in threads:
        thread.start()
    while time.monotonic() < end:
        time.sleep(rng.uniform(0.2, 0.8))
        _inject_fault(duo, rng, result, end)
    for thread in threads:
        thread.join()
    result.seconds = seconds
    for n, started, finished, request_id in unanswered_calls:
        # A relay that was not killed in the meantime must answer.
        if not any(down <= finished and started <= up for down, up in duo.downtimes[n]):
            result.unanswered.append(f"{request_id} at {n}, {finished - started:.2f} s")
    result.twice = [request_id for request_id, times in duo.runs().items() if times > 1]
    result.takeovers = sum(holds for _, _, holds in duo.switch.moves)
    result.splits, result.longest_split = len(duo.switch.splits), max(duo.switch.splits, default=0.0)
    return result


def _inject_fault(duo: Duo, rng: random.Random, result: TrialResult, end: float) -> None:
    """Inject one random fault and remove it after a random time."""
    kind = rng.choice(["kill", "stop", "cut", "lossy", "one way", "witness", "all"])
    n = rng.randrange(2)
    if kind == "kill":
        started = time.monotonic()
        duo.kill(n)
        result.kills += 1
        time.sleep(rng.uniform(0.1, 1.5))
        duo.start(n)
        duo.downtimes[n].append((started, time.monotonic()))
    elif kind == "stop":
        os.kill(duo.relays[n].process.pid, signal.SIGSTOP)
        result.stops += 1
        time.sleep(rng.uniform(0.2, 1.5))
        os.kill(duo.relays[n].process.pid, signal.SIGCONT)
    elif kind in ("cut", "all"):
        duo.cut_link()
        result.cuts += 1
        duo.set_advertisement_faults(down=kind == "all")
        time.sleep(rng.uniform(0.2, 1.5))
        duo.restore_link()
    elif kind == "lossy":
        duo.set_advertisement_faults(loss=rng.choice([0.2, 0.5, 0.9]), delay=(0.0, rng.choice([0.01, 0.2])))
        time.sleep(rng.uniform(0.3, 1.0))
    elif kind == "one way":
        duo.advertisement_proxies[n].down = True
        time.sleep(rng.uniform(0.3, 1.0))
    else:
        for proxy in rng.choice([duo.witness_proxies[:1], duo.witness_proxies[1:], duo.witness_proxies]):
            proxy.cut()
            result.witness_cuts += 1
        duo.cut_link()
        time.sleep(rng.uniform(0.3, 1.0))
        duo.restore_link()
        for proxy in duo.witness_proxies:
            proxy.restore()
    duo.set_advertisement_faults()


def demonstrate() -> None:
    """Start a pair, kill the Active relay, start it again, and print the status at each step."""
    with tempfile.TemporaryDirectory() as folder:
        duo = Duo(Path(folder))
        try:
            duo.wait_for_mode()
            request_id = Relay.id()
            _print_status(duo, "two relays and a witness on loopback")
            click.echo(
                f"request {request_id} through the address: {duo.ask(duo.switch.proxy.port, request_id)!r}"
            )
            started = time.monotonic()
            duo.kill(0)
            eventually(lambda: duo.ask(duo.switch.proxy.port, Relay.id(), 300) == b"value of k1")
            _print_status(
                duo, f"ra was killed; {time.monotonic() - started:.2f} s later the address serves again"
            )
            click.echo(
                f"the same request again: {duo.ask(duo.switch.proxy.port, request_id)!r}, "
                f"run {duo.runs()[request_id]} time(s)"
            )
            duo.start(0)
            duo.wait_for_mode()
            _print_status(duo, "ra is back")
        finally:
            duo.close()


def _print_status(duo: Duo, event: str) -> None:
    click.echo(f"-- {event}")
    for n, relay in enumerate(("ra", "rb")):
        status = duo.status(n)
        routers = status.get("routers", [])
        state = routers[0]["state"] if isinstance(routers, list) and routers else ""
        summary = f"{state}, {status['mode']} in epoch {status['epoch']}" if status else "not running"
        click.echo(f"   {relay}: {summary}")


@click.command()
@click.option("--seconds", default=600, show_default=True)
@click.option("--seed", default=1, show_default=True)
@click.option("--show", is_flag=True, help="Start a pair, kill its Active relay and print what happens.")
def main(seconds: int, seed: int, show: bool) -> None:
    """Run a trial and print its counts and violations; exits with status 1 for a violation."""
    if show:
        return demonstrate()
    with tempfile.TemporaryDirectory() as folder:
        duo = Duo(Path(folder), seed)
        try:
            duo.wait_for_mode()
            result = run_trial(duo, seconds, seed)
        finally:
            duo.close()
    for name, value in vars(result).items():
        click.echo(f"{name:15} {value}")
    raise SystemExit(bool(result.twice or result.unanswered))


if __name__ == "__main__":
    main()
