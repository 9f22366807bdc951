"""Benchmark of the store on a real directory; ratios compare figures of the same run.

It measures durable appends, recovery, and the amplification of space and writes. Appends are compared with
two plain loops that write records of the same length, one write per record: one syncs as often as the store,
the other after each record.

Run it with `python -m loftroute.lab.store_bench --out FILE`.
"""

import os
import random
import resource
import shutil
import tempfile
import time
from pathlib import Path

import click

from loftroute.lab.tables import Table
from loftroute.runtime.background import BackgroundBudget
from loftroute.runtime.clock import Clock
from loftroute.runtime.files import RealDirectory
from loftroute.runtime.scheduler import Scheduler
from loftroute.store.actor import Store
from loftroute.store.engine import Engine
from loftroute.store.plan import Limits
from loftroute.store.records import PUT, Op
from loftroute.store.steps import drive

# Limits that appends and recovery never reach, so that no checkpoint starts by itself.
BIG = Limits(total_bytes=8 << 30, reserve_bytes=0, checkpoint_keys=1 << 30, snapshot_keys=1 << 30)
BUDGET = BackgroundBudget()


def append_through_store(folder: Path, waiters: int, size: int, total: int) -> tuple[float, int]:
    """Append records through the store's greenlets; return durable appends a second and the number of syncs.

    Each of the `waiters` greenlets submits one record at a time and waits until it is durable. `size` is the
    length of a value in bytes, `total` the number of records.
    """
    scheduler = Scheduler(Clock(), lambda name, problem: print(name, problem))
    store = Store(scheduler, RealDirectory(folder, create=True), BIG, BUDGET, 10**10)
    space = store.space("bench")
    remaining, waiters_running, value = [total], [waiters], os.urandom(size)
    started_and_ended = [0.0, 0.0]

    def waiter(number: int) -> None:
        import greenlet

        task = greenlet.getcurrent()
        results: list[object] = []

        def on_durable(problem: object) -> None:
            results.append(problem)
            scheduler.wake(task)  # type: ignore[arg-type]

        while remaining[0] > 0:
            remaining[0] -= 1
            results.clear()
            store.submit([Op(PUT, space, b"%16x" % remaining[0], value)], on_durable)
            while not results:
                scheduler.park()
            if results[0]:
                raise RuntimeError(str(results[0]))
        waiters_running[0] -= 1
        if not waiters_running[0]:
            started_and_ended[1] = time.perf_counter()
            scheduler.stop()

    syncs = store.engine.counters.syncs
    started_and_ended[0] = time.perf_counter()
    for number in range(waiters):
        scheduler.spawn("waiter", lambda number=number: waiter(number))
    scheduler.run()
    elapsed_s = started_and_ended[1] - started_and_ended[0]
    syncs = store.engine.counters.syncs - syncs
    store.close()
    return total / elapsed_s, syncs


def append_in_plain_loop(folder: Path, group: int, size: int, total: int) -> float:
    """Return the records a second of a loop that only writes and that syncs after every `group` records."""
    folder.mkdir()
    fd = os.open(folder / "bare", os.O_RDWR | os.O_CREAT, 0o600)
    record = os.urandom(size + 68)  # the length of the store's frame for a value of `size` bytes
    started = time.perf_counter()
    for number in range(total):
        os.write(fd, record)
        if number % group == group - 1:
            os.fsync(fd)
    os.fsync(fd)
    elapsed_s = time.perf_counter() - started
    os.close(fd)
    return total / elapsed_s


def measure_appends(table: Table, folder: Path, quick: bool) -> None:
    """Compare the store's durable appends with both plain loops, by record size and number of waiters."""
    for size in (100, 1000, 4000):
        for waiters in (1, 8, 64, 512):
            total = min(400 * waiters, 30_000) // (5 if quick else 1)
            ratios_to_same_syncs, ratios_to_sync_each, records_per_sync = [], [], []
            for turn in range(3):
                store_folder, same_syncs_folder, sync_each_folder = (
                    folder / f"{prefix}-{size}-{waiters}-{turn}" for prefix in "abc"
                )
                rate, syncs = append_through_store(store_folder, waiters, size, total)
                ratios_to_same_syncs.append(
                    rate
                    / append_in_plain_loop(same_syncs_folder, max(total // max(syncs, 1), 1), size, total)
                )
                ratios_to_sync_each.append(
                    rate / append_in_plain_loop(sync_each_folder, 1, size, min(total, 2000))
                )
                records_per_sync.append(total / max(syncs, 1))
                for used_folder in (store_folder, same_syncs_folder, sync_each_folder):
                    shutil.rmtree(used_folder)
            table.add(
                record_bytes=size,
                waiters=waiters,
                records_a_sync=sorted(records_per_sync)[1],
                beside_bare_loop=sorted(ratios_to_same_syncs)[1],
                beside_sync_each=sorted(ratios_to_sync_each)[1],
            )


def fill(folder: Path, keys: int, checkpoint: bool) -> None:
    """Create a store of `keys` random keys, write a checkpoint if asked, then 1,000 more records."""
    engine = Engine(RealDirectory(folder, create=True), BIG, b"12345678")
    space = engine.space("bench")
    for first in range(0, keys, 500):
        engine.submit(
            [Op(PUT, space, b"%016x" % random.randrange(1 << 63), b"v" * 60) for _ in range(500)],
            lambda _: None,
        )
        if first % 5000 == 0:
            drive(engine.commit(1))
    drive(engine.commit(1))
    if checkpoint:
        drive(engine.checkpoint(1))
    for index in range(1000):
        engine.submit([Op(PUT, space, b"after %d" % index, b"v" * 60)], lambda _: None)
    drive(engine.commit(1))
    engine.close()


def open_in_child(folder: Path) -> tuple[float, int, float]:
    """Open the store in a child process; return the seconds, records replayed and bytes of memory it took."""
    read_fd, write_fd = os.pipe()
    if os.fork() == 0:
        memory_before = resident_bytes()
        started = time.perf_counter()
        engine = Engine(RealDirectory(folder), BIG)
        elapsed_s = time.perf_counter() - started
        os.write(
            write_fd, f"{elapsed_s} {engine.recovery.replayed} {resident_bytes() - memory_before}".encode()
        )
        os._exit(0)
    os.wait()
    elapsed_s, replayed, memory = os.read(read_fd, 200).split()
    os.close(read_fd)
    os.close(write_fd)
    return float(elapsed_s), int(replayed), float(memory)


def resident_bytes() -> int:
    """Return the resident memory of this process in bytes."""
    with open("/proc/self/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * resource.getpagesize()


def measure_recovery(table: Table, parent: Path, quick: bool) -> None:
    """Measure the time and memory to open a store, by number of keys, with and without a checkpoint."""
    baseline_s: dict[bool, float] = {}
    for keys in (10_000, 100_000, 1_000_000)[: 2 if quick else 3]:
        for checkpoint in (False, True):
            folder = parent / f"r-{keys}-{checkpoint}"
            fill(folder, keys, checkpoint)
            elapsed_s, replayed, memory = open_in_child(folder)
            baseline_s.setdefault(checkpoint, elapsed_s)
            table.add(
                keys=keys,
                checkpoint=checkpoint,
                records_read=replayed,
                milliseconds=elapsed_s * 1000,
                beside_10k=elapsed_s / baseline_s[checkpoint],
                memory_a_key=memory / keys,
            )
            shutil.rmtree(folder)


def measure_amplification(table: Table, folder: Path, quick: bool) -> None:
    """Overwrite keys at random, half of them with an expiry, and measure space and writes.

    The column worst_space holds the largest ratio of used bytes, less one segment, to live bytes. The columns
    compaction_writes and checkpoint_writes hold bytes written for each byte appended.
    """
    limits = Limits(segment_bytes=1 << 20, reserve_bytes=0, checkpoint_keys=5000)
    engine = Engine(RealDirectory(folder / "amp", create=True), limits, b"12345678")
    space, rng, worst_space_ratio, writes = (
        engine.space("bench"),
        random.Random(1),
        0.0,
        60_000 if quick else 400_000,
    )
    memory_before = resident_bytes()
    for write_number in range(writes):
        expiry = write_number + 40_000 if write_number % 2 else 0
        engine.submit([Op(PUT, space, b"%08d" % rng.randrange(20_000), b"v" * 100, expiry)], lambda _: None)
        if write_number % 64 == 0:
            drive(engine.commit(write_number))
            if run := engine.compaction_due():
                drive(engine.compact(run, write_number))
            if engine.checkpoint_due():
                drive(engine.checkpoint(write_number))
        if write_number % 5000 == 0:
            drive(engine.sweep(write_number))
        if write_number > 40_000 and write_number % 100 == 0:
            live_bytes = engine.active.end + sum(segment.live_bytes for segment in engine.sealed)  # type: ignore[union-attr]
            worst_space_ratio = max(
                worst_space_ratio, (engine.used_bytes - limits.segment_bytes) / live_bytes
            )
    counters = engine.counters
    table.add(
        writes=writes,
        keys=20_000,
        worst_space=worst_space_ratio,
        compaction_writes=counters.compacted_bytes / counters.appended_bytes,
        checkpoint_writes=counters.checkpoint_bytes / counters.appended_bytes,
        compactions=counters.compactions,
        checkpoints=counters.checkpoints,
        memory_mb=(resident_bytes() - memory_before) / (1 << 20),
    )
    engine.close()


@click.command()
@click.option("--out", type=click.Path(), help="A file for the tables.")
@click.option("--quick", is_flag=True)
@click.option("--only", type=click.Choice(["appends", "recovery", "amplification"]))
def main(out: str | None, quick: bool, only: str | None) -> None:
    """Measure, print the tables and write them to the file given by --out."""
    measurements = {
        "appends": measure_appends,
        "recovery": measure_recovery,
        "amplification": measure_amplification,
    }
    tables = []
    with tempfile.TemporaryDirectory() as folder:
        for name, measure in measurements.items():
            if only in (None, name):
                tables.append(Table(f"Store: {name}"))
                measure(tables[-1], Path(folder), quick)
                click.echo(tables[-1].text())
    if out:
        Path(out).write_text("\n".join(table.text() for table in tables))


if __name__ == "__main__":
    main()
