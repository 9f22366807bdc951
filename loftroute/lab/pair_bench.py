"""Benchmark of virtual routers and of a pair of relays on loopback.

It measures:

* the time to take over, compared with Active_Down_Interval and Skew_Time of RFC 9568;
* how long clients get no value after each kind of fault;
* the latency that a store and a pair add to unsafe requests;
* false takeovers, compared with the number that the loss rate predicts, and under load;
* processor time by the number of virtual routers.

Ratios compare figures of the same run.

Run it with `python -m loftroute.lab.pair_bench --out FILE`.
"""

import os
import random
import resource
import signal
import statistics
import tempfile
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click

from loftroute.lab.pairs import Duo
from loftroute.lab.recall_bench import run_clients
from loftroute.lab.standins import Client, Relay, eventually
from loftroute.lab.tables import Table
from loftroute.protocol.vrrp import Address
from loftroute.vrrp.machine import (
    CENTISECOND,
    AdvertisementReceived,
    Router,
    RouterSettings,
    SendAdvertisement,
    Startup,
    State,
    TimerFired,
)

SECOND = 1_000_000_000  # in nanoseconds


def seconds_to_take_over(duo: Duo, inject_fault: Callable[[], None]) -> float:
    """Inject a fault and return the seconds until the second relay announces the virtual address.

    Raises AssertionError if that takes longer than 20 s.
    """
    moves_before = len(duo.switch.moves)
    started = time.monotonic()
    inject_fault()
    eventually(
        lambda: any(holds and address == duo.at(1) for _, address, holds in duo.switch.moves[moves_before:]),
        20,
    )
    return (
        next(
            when for when, address, holds in duo.switch.moves[moves_before:] if holds and address == duo.at(1)
        )
        - started
    )


def measure_takeover(table: Table, turns: int) -> None:
    """Measure the time to take over for each advertisement interval and each fault of the Active."""
    for interval in (1, 5, 20, 100):
        # Values of the Backup, whose priority is 150. Active_Down_Interval is 3 intervals plus Skew_Time.
        active_down_interval_s = (3 + (256 - 150) / 256) * interval / 100
        skew_time_s = (256 - 150) / 256 * interval / 100
        for fault, expected_s in (
            ("crash", active_down_interval_s),
            ("priority 0", skew_time_s),
            ("stopped", active_down_interval_s),
        ):
            takeover_times_s = []
            for turn in range(turns):
                with tempfile.TemporaryDirectory() as folder:
                    duo = Duo(Path(folder), turn, interval)
                    try:
                        duo.wait_for_mode()
                        process = duo.relays[0].process
                        inject_fault = {
                            "crash": process.kill,
                            "priority 0": process.terminate,
                            "stopped": lambda process=process: os.kill(process.pid, signal.SIGSTOP),
                        }[fault]
                        takeover_times_s.append(seconds_to_take_over(duo, inject_fault))
                    finally:
                        duo.close()
            median_s = statistics.median(takeover_times_s)
            table.add(
                interval_cs=interval,
                trouble=fault,
                rfc_ms=expected_s * 1000,
                median_ms=median_s * 1000,
                beside_rfc=median_s / expected_s,
            )


def measure_longest_outage(duo: Duo, unsafe: bool, seconds: float, inject_fault: Callable[[], None]) -> float:
    """Return the longest time in seconds in which a client got no value.

    The client sends one request after another through the switch for `seconds`, unsafe ones if `unsafe` is
    set. The fault is injected after 0.3 s.
    """
    last_value_at, longest, started, injected = time.monotonic(), 0.0, time.monotonic(), False
    while time.monotonic() < started + seconds:
        if not injected and time.monotonic() > started + 0.3:
            inject_fault()
            injected = True
        answer = None
        try:
            client = Client(duo.switch.proxy.port)
            client.sock.settimeout(0.4)
            request = (
                ("Q.DO", "k1", Relay.id(), "c=pay,t=acme,d=300", "BODY")
                if unsafe
                else ("Q.ASK", "k1", Relay.id(), "c=read,t=acme,d=300")
            )
            answer = client.ask(*request)
            client.close()
        except OSError:
            pass
        if answer and not answer.startswith(b"-"):
            now = time.monotonic()
            longest, last_value_at = max(longest, now - last_value_at), now
        time.sleep(0.005)
    return max(longest, time.monotonic() - last_value_at)


def measure_outages(table: Table, turns: int) -> None:
    """Measure the longest time without a value for each fault and request class."""
    for fault in ("crash of the Active", "crash of the Backup", "link cut"):
        for unsafe in (False, True):
            outages_s = []
            for turn in range(turns):
                with tempfile.TemporaryDirectory() as folder:
                    duo = Duo(Path(folder), turn, 5, 300)
                    try:
                        duo.wait_for_mode()
                        inject_fault = {
                            "crash of the Active": duo.relays[0].process.kill,
                            "crash of the Backup": duo.relays[1].process.kill,
                            "link cut": duo.cut_link,
                        }[fault]
                        outages_s.append(measure_longest_outage(duo, unsafe, 3.5, inject_fault))
                    finally:
                        duo.close()
            table.add(
                trouble=fault,
                classes="unsafe" if unsafe else "safe",
                interval_ms=50,
                patience_ms=300,
                median_ms=statistics.median(outages_s) * 1000,
                worst_ms=max(outages_s) * 1000,
            )


def measure_latency(table: Table, turns: int) -> None:
    """Measure the latency of unsafe requests from one client in a closed loop.

    The variants are a relay without a store, a relay with a store and recall, and a pair.
    """
    percentiles_us: dict[str, list[tuple[float, float]]] = {"neither": [], "store": [], "pair": []}
    for turn in range(turns):
        with tempfile.TemporaryDirectory() as folder:
            for variant in ("off", "on"):
                _, times = run_clients(variant, Path(folder) / variant, 1, 2.0)
                percentiles_us["neither" if variant == "off" else "store"].append(
                    (times.get_value_at_percentile(50), times.get_value_at_percentile(99))
                )
            pair_folder = Path(folder) / "duo"
            pair_folder.mkdir()
            duo = Duo(pair_folder, turn, 20)
            for unit in duo.units.values():
                unit._delay = 0.002
            try:
                duo.wait_for_mode()
                client, latencies_us = duo.relays[0].client(), []
                until = time.monotonic() + 2
                while time.monotonic() < until:
                    started = time.perf_counter()
                    if duo.relays[0].pay(client) == b"value of k1":
                        latencies_us.append((time.perf_counter() - started) * 1e6)
                latencies_us.sort()
                percentiles_us["pair"].append(
                    (latencies_us[len(latencies_us) // 2], latencies_us[len(latencies_us) * 99 // 100])
                )
            finally:
                duo.close()
    baseline = [statistics.median(column) for column in zip(*percentiles_us["neither"], strict=True)]
    for variant, variant_percentiles in percentiles_us.items():
        p50, p99 = (statistics.median(column) for column in zip(*variant_percentiles, strict=True))
        table.add(variant=variant, p50_beside_neither=p50 / baseline[0], p99_beside_neither=p99 / baseline[1])


def count_false_takeovers(loss: float, hours: float, seed: int) -> int:
    """Simulate an Active that never fails and return how often the Backup takes over from it.

    Each advertisement is lost with probability `loss`; the advertisement interval is 1 s. `hours` is
    simulated time.
    """
    import ipaddress

    active_address, backup_address = (ipaddress.ip_address(f"192.0.2.{index}") for index in (1, 2))
    routers: list[Router] = []
    for address, priority in ((active_address, 200), (backup_address, 150)):
        routers.append(
            Router(RouterSettings(7, priority, 100, address, (ipaddress.ip_address("192.0.2.9"),)))
        )
    rng, now, takeovers = random.Random(seed), 0, 0
    addresses: list[Address] = [active_address, backup_address]
    for router in routers:
        router.handle(0, Startup())
    routers[0].due = 1
    while now < hours * 3600 * SECOND:
        now = min(router.due for router in routers if router.due is not None)
        for index, router in enumerate(routers):
            if router.due is None or router.due > now:
                continue
            state_before = router.state
            actions = router.handle(now, TimerFired())
            takeovers += index == 1 and state_before is State.BACKUP and router.state is State.ACTIVE
            for action in actions:
                if isinstance(action, SendAdvertisement) and rng.random() >= loss:
                    for reply in routers[1 - index].handle(
                        now + 1, AdvertisementReceived(action.advertisement, addresses[index])
                    ):
                        if isinstance(reply, SendAdvertisement) and rng.random() >= loss:
                            router.handle(
                                now + 2, AdvertisementReceived(reply.advertisement, addresses[1 - index])
                            )
    return takeovers


def measure_false_takeovers(table: Table) -> None:
    """Compare the simulated rate of false takeovers with the rate that the loss predicts."""
    for loss in (0.0, 0.01, 0.05, 0.2):
        hours = 50.0
        rate_per_hour = count_false_takeovers(loss, hours, 5) / hours
        # The Backup takes over if three advertisements in a row are lost: the fourth is sent after
        # Active_Down_Interval. A run of losses starts after one that arrived, hence the last factor.
        predicted_per_hour = 3600 * loss**3 * (1 - loss)
        table.add(loss=loss, an_hour=rate_per_hour, predicted=predicted_per_hour, simulated_hours=hours)


def measure_load(table: Table) -> None:
    """Count false takeovers while clients load the Active of a real pair on a network without loss.

    Each client sends its requests to the Active in a closed loop.
    """
    for clients in (0, 4, 16):
        with tempfile.TemporaryDirectory() as folder:
            duo = Duo(Path(folder), 1, 5)
            try:
                duo.wait_for_mode()
                time.sleep(1)
                moves_before, until, served = len(duo.switch.moves), time.monotonic() + 10, [0]
                lock = threading.Lock()

                def ask(
                    duo: Duo = duo, until: float = until, served: list[int] = served, lock: Any = lock
                ) -> None:
                    client = duo.relays[0].client()
                    while time.monotonic() < until:
                        answer = duo.relays[0].pay(client)
                        with lock:
                            served[0] += answer == b"value of k1"

                threads = [threading.Thread(target=ask) for _ in range(clients)]
                for thread in threads:
                    thread.start()
                time.sleep(max(until - time.monotonic(), 0))
                for thread in threads:
                    thread.join()
                takeovers = sum(
                    holds for _, address, holds in duo.switch.moves[moves_before:] if address == duo.at(1)
                )
            finally:
                duo.close()
        table.add(clients=clients, seconds=10, interval_ms=50, served=served[0], false_takeovers=takeovers)


def measure_cost(table: Table) -> None:
    """Measure the processor time of one process by its number of virtual routers, on simulated events.

    Each router is an Active with an advertisement interval of 100 ms. The simulated time is 20 s.
    """
    import ipaddress

    from loftroute.protocol.vrrp import encode
    from loftroute.vrrp.envelope import Keys, Sealer

    source, destination = (ipaddress.ip_address(f"192.0.2.{index}") for index in (1, 2))
    sealer = Sealer(Keys(1, {1: b"k" * 32}), 1, source)
    baseline_share = 0.0
    for count in (1, 16, 255):
        routers = [
            Router(RouterSettings(index + 1, 255, 10, source, (destination,))) for index in range(count)
        ]
        cpu_before_s = resource.getrusage(resource.RUSAGE_SELF).ru_utime
        for router in routers:
            router.handle(0, Startup())
        for advertisement_number in range(1, 201):
            for router in routers:
                for action in router.handle(advertisement_number * 10 * CENTISECOND, TimerFired()):
                    if isinstance(action, SendAdvertisement):
                        sealer.seal(
                            encode(action.advertisement, source, destination),
                            destination,
                            advertisement_number,
                        )
        cpu_share = (resource.getrusage(resource.RUSAGE_SELF).ru_utime - cpu_before_s) / 20
        baseline_share = baseline_share or cpu_share
        table.add(routers=count, share_of_a_core=cpu_share, beside_one=cpu_share / baseline_share)


@click.command()
@click.option("--out", type=click.Path())
@click.option("--turns", default=3, show_default=True)
@click.option("--only", type=click.Choice(["takeover", "without", "latency", "false", "load", "cost"]))
def main(out: str | None, turns: int, only: str | None) -> None:
    """Measure, print the tables and write them to the file given by --out."""
    measurements: dict[str, tuple[str, Callable[[Table], None]]] = {
        "cost": ("cost of advertising, simulated events", measure_cost),
        "false": ("false takeovers by loss, simulated time", measure_false_takeovers),
        "load": ("false takeovers by load, sockets", measure_load),
        "takeover": ("time to take over", lambda table: measure_takeover(table, turns)),
        "without": (
            "longest time without a value, through the switch",
            lambda table: measure_outages(table, turns),
        ),
        "latency": ("an unsafe request", lambda table: measure_latency(table, turns)),
    }
    tables = []
    for name, (title, measure) in measurements.items():
        if only in (None, name):
            tables.append(Table(f"Pair: {title}"))
            measure(tables[-1])
            click.echo(tables[-1].text())
    if out:
        Path(out).write_text("\n".join(table.text() for table in tables))


if __name__ == "__main__":
    main()
