"""Benchmark of unsafe requests through a relay on loopback, with recall enabled and disabled.

Ratios compare figures of the same run. Each client is a closed loop in a thread of this process, so the
clients' own processor time is part of all figures.

Run it with `python -m loftroute.lab.recall_bench --out FILE`.
"""

import tempfile
import threading
import time
from pathlib import Path

import click
from hdrh.histogram import HdrHistogram

from loftroute.lab.kills import CountingUnit
from loftroute.lab.standins import Client, Relay
from loftroute.lab.tables import Table

SETTINGS_OFF = 'log { level: "WARNING" }\n'
SETTINGS_ON = 'store {{ directory: "{}" reserve_bytes: 0 {} }}\nrecall {{ enabled: true }}\n'
# Settings of the store by variant, inserted into SETTINGS_ON after the directory.
VARIANTS = {
    "off": "",
    "on": "",
    "on, compacting": "segment_bytes: 524288 amplification: 1.2 checkpoint_keys: 2000",
}


def run_clients(variant: str, folder: Path, clients: int, seconds: float) -> tuple[float, HdrHistogram]:
    """Run closed-loop clients against one relay; return requests a second and their latencies in µs.

    `variant` is a key of VARIANTS. `folder` must not exist yet; it holds the relay's files.
    """
    folder.mkdir()
    settings = SETTINGS_OFF if variant == "off" else SETTINGS_ON.format(folder / "store", VARIANTS[variant])
    relay = Relay(folder, {f"u{n}": CountingUnit("a", 0.002) for n in range(4)}, product=settings)
    latencies_us, until, lock = HdrHistogram(1, 10_000_000, 3), time.monotonic() + seconds, threading.Lock()

    def ask() -> None:
        client, client_latencies_us = Client(relay.port), []
        while time.monotonic() < until:
            started = time.perf_counter()
            if relay.pay(client) == b"value of k1":
                client_latencies_us.append(int((time.perf_counter() - started) * 1e6))
        with lock:
            for latency_us in client_latencies_us:
                latencies_us.record_value(latency_us)

    threads = [threading.Thread(target=ask) for _ in range(clients)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    relay.stop()
    return latencies_us.get_total_count() / seconds, latencies_us


@click.command()
@click.option("--out", type=click.Path())
@click.option("--seconds", default=4.0, show_default=True)
@click.option("--turns", default=3, show_default=True)
def main(out: str | None, seconds: float, turns: int) -> None:
    """Run the variants in turn and print the turn of each that has the median rate."""
    table = Table("Recall: an unsafe request through the relay")
    for clients in (1, 8):
        results: dict[str, list[tuple[float, HdrHistogram]]] = {variant: [] for variant in VARIANTS}
        with tempfile.TemporaryDirectory() as parent:
            for turn in range(turns):
                for index, variant in enumerate(VARIANTS):
                    folder = Path(parent) / f"{clients}-{turn}-{index}"
                    results[variant].append(run_clients(variant, folder, clients, seconds))
        median_results = {
            variant: sorted(variant_results, key=lambda result: result[0])[turns // 2]
            for variant, variant_results in results.items()
        }
        baseline_rate, baseline = median_results["off"]
        for variant, (rate, latencies_us) in median_results.items():
            table.add(
                clients=clients,
                variant=variant,
                requests_beside_off=rate / baseline_rate,
                **{
                    f"p{percentile:g}_beside_off".replace(".", "_"): latencies_us.get_value_at_percentile(
                        percentile
                    )
                    / baseline.get_value_at_percentile(percentile)
                    for percentile in (50, 99, 99.9)
                },
            )
    click.echo(table.text())
    if out:
        Path(out).write_text(table.text())


if __name__ == "__main__":
    main()
