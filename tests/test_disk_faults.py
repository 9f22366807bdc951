"""Disks whose calls fail for a while: the store takes writes again by itself, and keeps its promises."""

import contextlib
import errno
import os
import random
import threading
import time

import pytest

from loftroute.lab.disk import Disk, PowerLostError
from loftroute.lab.standins import Unit, eventually
from loftroute.recall.decisions import RequestRecord, RunState
from loftroute.recall.unsaved import UnsavedOutcomes
from loftroute.store.plan import ReadOnlyError, WriteRefusedError
from loftroute.store.records import PUT, Op
from loftroute.store.steps import drive
from tests.test_recall import product
from tests.test_store import PLAIN, commit_put, copy_disk, failing, filled_store, open_store, values

SEEDS = range(int(os.environ.get("DISK_FAULT_SEEDS", "30")))
ERRORS = (errno.EIO, errno.ENOSPC)


def suspend(engine, space):
    """Commit, on a disk whose syncs fail, until writes are suspended."""
    for _ in range(PLAIN.max_failed_syncs + 1):
        if not engine.suspended:
            commit_put(engine, space, b"lost")
    assert engine.suspended


@pytest.mark.parametrize("call", ["sync", "write", "create", "rename"])
def test_a_store_whose_disk_failed_for_a_while_takes_writes_again(call):
    """Guards against a store that takes no more writes until a restart once some syncs have failed."""
    disk = Disk(random.Random(1))
    engine, space = filled_store(disk, 3)
    fails, syncs_fail = failing(call), failing("sync")
    disk.fail = lambda actual_call, name: fails(actual_call, name) or syncs_fail(actual_call, name)
    suspend(engine, space)
    with pytest.raises(ReadOnlyError):
        commit_put(engine, space, b"refused")
    drive(engine.resume())
    assert engine.suspended and engine.stopped
    disk.fail = lambda call, name: None
    drive(engine.resume())
    assert not engine.stopped and commit_put(engine, space, b"kept", b"y") is None
    assert engine.counters.suspensions == engine.counters.resumptions == 1
    for after in (disk.killed(), disk.crash()):
        recovered = values(*open_store(copy_disk(after)))
        assert recovered[b"kept"] == b"y" and b"refused" not in recovered and len(recovered) >= 4


def test_a_compacted_segment_that_may_not_last_is_removed_before_writes_resume():
    """Guards against two files that hold the same records beside each other after a restart."""
    disk = Disk(random.Random(1))
    engine, space = filled_store(disk, 200)
    run = engine.compaction_due()
    assert run is not None
    disk.fail = lambda call, name: (
        OSError(errno.EIO, "planned", name) if (call, name) == ("sync", ".") else None
    )
    before = set(disk.names)
    drive(engine.compact(run, 1))
    assert engine.suspended and set(disk.names) > before
    disk.fail = lambda call, name: None
    drive(engine.resume())
    expected = values(engine, space)
    assert not engine.stopped and set(disk.names) >= before and commit_put(engine, space, b"kept") is None
    for after in (disk.killed(), disk.crash()):
        assert values(*open_store(copy_disk(after))) == {**expected, b"kept": b""}


@pytest.mark.parametrize("seed", SEEDS)
def test_what_was_acknowledged_lasts_and_what_was_refused_is_not_there(seed):
    """One call in ten fails for a while, power is lost at some later step, and the store is opened again."""
    rng = random.Random(seed)
    disk = Disk(rng)
    engine, space = filled_store(disk, 3)
    acknowledged, refused = dict(values(engine, space)), set()
    disk.fail = lambda call, name: OSError(rng.choice(ERRORS), "planned") if rng.random() < 0.1 else None
    for n in range(80):
        if n == 60:
            disk.fail = lambda call, name: None
        key, outcomes = b"n%d" % n, []
        drive(engine.resume())
        try:
            engine.submit([Op(PUT, space, key, b"%d" % n)], outcomes.append)
        except WriteRefusedError as problem:
            outcomes.append(problem)
        drive(engine.commit(n))
        if outcomes[0] is None:
            acknowledged[key] = b"%d" % n
        elif isinstance(outcomes[0], WriteRefusedError):
            refused.add(key)
    assert not engine.stopped and b"n79" in acknowledged and b"n60" in acknowledged
    for after in (disk.killed(), disk.crash()):
        recovered = values(*open_store(copy_disk(after)))
        assert acknowledged.items() <= recovered.items() and not refused & recovered.keys()


@pytest.mark.parametrize("seed", SEEDS)
def test_power_lost_while_writes_resume_takes_nothing_that_was_acknowledged(seed):
    steps = 1
    while True:
        disk = Disk(random.Random(seed))
        engine, space = filled_store(disk, 3)
        acknowledged = dict(values(engine, space))
        disk.fail = failing("sync")
        suspend(engine, space)
        disk.fail = lambda call, name: None
        disk.power_at = disk.steps + steps
        with contextlib.suppress(PowerLostError):
            drive(engine.resume())
            if commit_put(engine, space, b"kept") is None:
                acknowledged[b"kept"] = b""
        recovered = values(*open_store(disk.crash()))
        assert acknowledged.items() <= recovered.items()
        if b"kept" in acknowledged:
            return
        steps += 1


@pytest.mark.parametrize("share", [0.1, 0.5, 1.0])
def test_a_relay_serves_unsafe_requests_again_within_two_seconds_of_the_last_failure(relay, tmp_path, share):
    """Guards against -BUSY for each unsafe request until a restart, after a disk that failed now and then."""
    failure_file = tmp_path / "failing"
    instance = relay(
        {"u1": Unit()},
        product=product(tmp_path),
        program="loftroute.lab.faulty_disk",
        env={
            "LOFTROUTE_DISK_FAILURE_SHARE": str(share),
            "LOFTROUTE_DISK_FAILURE_FILE": str(failure_file),
            "LOFTROUTE_DISK_SEED": "1",
        },
    )
    answers: list[tuple[float, bytes | None]] = []
    stop = threading.Event()

    def ask() -> None:
        while not stop.is_set():
            answers.append((time.monotonic(), instance.pay(instance.client(), name=instance.id())))
            time.sleep(0.02)

    threads = [threading.Thread(target=ask) for _ in range(4)]
    failure_file.touch()
    for thread in threads:
        thread.start()
    time.sleep(3)
    failure_file.unlink()
    sound_at = time.monotonic()
    try:
        eventually(lambda: [answer for _, answer in answers[-20:]] == [b"value of k1"] * 20, 2.5)
    finally:
        stop.set()
        for thread in threads:
            thread.join()
    assert any(answer is None or answer.startswith(b"-") for at, answer in answers if at < sound_at)
    log = (instance.tmp / "log").read_text()
    assert log.count("writes are suspended") == log.count("writes resume after")


def test_an_answer_that_was_given_while_the_disk_failed_is_given_again_after_a_kill(relay, tmp_path):
    """Guards against -ERR failed for a value that the client had got: its outcome was not written later."""
    unit, failure_file = Unit("wait"), tmp_path / "failing"
    instance = relay(
        {"u1": unit},
        product=product(tmp_path),
        program="loftroute.lab.faulty_disk",
        env={
            "LOFTROUTE_DISK_FAILURE_SHARE": "1",
            "LOFTROUTE_DISK_FAILURE_FILE": str(failure_file),
        },
    )
    names = [instance.id() for _ in range(5)]
    clients = [instance.client() for _ in names]
    for name, client in zip(names, clients, strict=True):
        client.send("Q.DO", "k1", name, "c=pay,t=acme,d=3000", "BODY")
    eventually(lambda: len(unit.seen) >= len(names))
    failure_file.touch()
    unit.proceed.set()
    assert [client.read() for client in clients] == [b"value of k1"] * len(names)
    assert [instance.pay(instance.client(), name=name) for name in names] == [b"value of k1"] * len(names)
    time.sleep(0.5)  # more than one try to resume fails
    failure_file.unlink()
    eventually(lambda: instance.pay(instance.client(), name=instance.id()) == b"value of k1")
    time.sleep(0.3)  # until the outcomes are durable
    instance.kill_and_restart()
    assert [instance.pay(instance.client(), name=name) for name in names] == [b"value of k1"] * len(names)
    assert sum(request[2].decode() in names for request in unit.seen) == len(names)


def test_outcomes_that_are_kept_take_a_bounded_amount_of_memory():
    kept = UnsavedOutcomes(bytes_limit=1000)
    for n in range(100):
        kept.keep(f"{n:016x}", RequestRecord(RunState.RAN, "pay", "k", 1, value=b"x" * 100))
    assert 5 < len(kept) < 10 and kept.lost == 100 - len(kept)
    assert kept.get(f"{99:016x}") is not None and kept.get(f"{0:016x}") is None
    kept.keep(f"{99:016x}", RequestRecord(RunState.RAN, "pay", "k", 1, value=b"y"))
    assert [record.value for name, record in kept.items() if name == f"{99:016x}"] == [b"y"]
    for name, _ in kept.items():
        kept.discard(name)
    assert not len(kept)
