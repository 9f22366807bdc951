"""The program as the deploy file starts it, spoken to over loopback sockets."""

import json
import os
import signal
import subprocess
import threading
import time
import tomllib

import pytest

from loftroute.lab.standins import ROOT, SECOND, Unit, command, eventually, free_port

MS = 1_000_000


def test_a_request_is_passed_on_unchanged_and_its_value_comes_back(relay):
    unit = Unit()
    it = relay({"u1": unit})
    client, name = it.client(), it.id()
    listed = "c=put,t=acme,d=2000,k=5c0f,r=1"
    assert client.ask("Q.DO", "key-1", name, listed, b"BO\r\nDY") == b"value of key-1"
    verb, key, ref, listed, body = unit.seen[0]
    assert (verb, key, ref, body) == (b"Q.DO", b"key-1", name.encode(), b"BO\r\nDY")
    fields = dict(f.split(b"=") for f in listed.split(b","))
    assert fields.keys() == {b"c", b"t", b"d", b"k", b"r"} and fields[b"k"] == b"5c0f"
    assert 0 < int(fields[b"d"]) <= 2000


def test_pipelined_requests_split_anywhere_are_answered_in_order(relay):
    it = relay({"u1": Unit(), "u2": Unit()})
    client = it.client()
    raw = b"".join(command("Q.ASK", f"k{n}", it.id(), "c=read,t=acme,d=2000") for n in range(5))
    for at in range(0, len(raw), 7):
        client.sock.sendall(raw[at : at + 7])
    assert [client.read() for _ in range(5)] == [b"value of k%d" % n for n in range(5)]


def test_a_value_of_64_kib_goes_through(relay):
    unit = Unit()
    it = relay({"u1": unit})
    body = os.urandom(64 * 1024)
    assert it.client().ask("Q.DO", "k", it.id(), "c=put,t=acme,d=3000,k=a", body) == b"value of k"
    assert unit.seen[0][4] == body


def test_a_refused_connection_is_no_run_and_even_an_unsafe_request_goes_on(relay):
    it = relay({"u1": Unit("refuse"), "u2": Unit()})
    client = it.client()
    assert [it.pay(client) for _ in range(12)] == [b"value of k1"] * 12


def test_a_busy_unit_is_no_run_and_the_request_goes_elsewhere(relay):
    it = relay({"u1": Unit("busy"), "u2": Unit()})
    client = it.client()
    assert [it.pay(client) for _ in range(6)] == [b"value of k1"] * 6


@pytest.mark.parametrize("does", ["reset", "garbage"])
def test_an_unsafe_request_whose_connection_breaks_is_not_repeated(relay, does):
    units = {"u1": Unit(does), "u2": Unit(does)}
    it = relay(units)
    client = it.client()
    assert it.pay(client) == b"-ERR failed"
    assert sum(len(u.seen) for u in units.values()) == 1


def test_a_unit_that_hangs_costs_one_try_and_its_connection_is_closed_first(relay):
    units = {"u1": Unit(), "u2": Unit()}
    it = relay(units)
    client = it.client()
    eventually(lambda: it.read(client) and all(len(unit.seen) > 20 for unit in units.values()))
    units["u1"].does = "hang"
    assert [it.read(client, 2500) for _ in range(8)] == [b"value of k1"] * 8
    eventually(lambda: units["u1"].closed)


def test_every_request_is_answered_before_its_time_is_up(relay):
    it = relay({"u1": Unit("hang")})
    client = it.client()
    begun = time.monotonic()
    answer = it.pay(client, 400)
    assert answer == b"-ERR failed" and time.monotonic() - begun < 0.45


def test_nothing_goes_to_a_unit_that_drains(relay):
    units = {"u1": Unit(), "u2": Unit()}
    it = relay(units)
    client = it.client()
    eventually(lambda: it.read(client) and units["u1"].seen)
    it.discovery.change(u1={"lifecycle": "DRAINING"})
    calls = len(it.discovery.calls)
    eventually(lambda: len(it.discovery.calls) > calls)  # the change was answered, and the next call made
    before = len(units["u1"].seen)
    assert [it.read(client) for _ in range(30)] == [b"value of k1"] * 30
    assert len(units["u1"].seen) == before


def test_an_id_that_returns_at_another_address_is_found_there(relay):
    old, new = Unit(), Unit()
    it = relay({"u1": old})
    client = it.client()
    assert it.read(client) == b"value of k1"
    it.discovery.change(u1={"hostPort": new.address})
    eventually(lambda: it.read(client) and new.seen)


@pytest.mark.parametrize("does", ["silent", "garbage"])
def test_a_list_that_falls_silent_is_followed_again(relay, does):
    units = {"u1": Unit(), "u2": Unit()}
    it = relay(units)
    it.discovery.does = does
    calls = len(it.discovery.calls)
    eventually(lambda: len(it.discovery.calls) >= calls + 3)
    client = it.client()
    assert it.read(client) == b"value of k1"
    it.discovery.does = "serve"
    it.discovery.change(u1={"lifecycle": "DELETED"})
    eventually(lambda: any("index=2" in call for call in it.discovery.calls))


def test_a_stream_of_changes_that_is_cut_is_opened_again(relay):
    it = relay({"u1": Unit()})
    eventually(lambda: it.platform.streams == 1)
    it.platform.epoch += 1
    eventually(lambda: it.platform.streams == 2)
    assert it.read(it.client()) == b"value of k1"


def test_a_good_build_gets_a_vote_on_and_a_bad_one_a_vote_back(relay):
    news = {"release": 42, "tranche": 1, "mode": "Progressing", "exposure": 1.0, "old_ms": 9000}
    units = {"u1": Unit(), "u2": Unit()}
    it = relay(units, builds={"u2": 42}, news=news, family_info__min_dwell=SECOND // 10)
    it.platform.state = news
    client = it.client()
    eventually(lambda: it.read(client) and it.platform.votes, 12)
    assert it.platform.votes[0] == {"release": 42, "tranche": 1, "ruling": "on"}
    units["u2"].does = "fail"
    eventually(lambda: it.read(client) and any(v["ruling"] == "back" for v in it.platform.votes), 12)


def test_a_vote_that_is_throttled_is_sent_again(relay):
    news = {"release": 42, "tranche": 1, "mode": "Progressing", "exposure": 1.0, "old_ms": 9000}
    it = relay(
        {"u1": Unit(), "u2": Unit()}, builds={"u2": 42}, news=news, family_info__min_dwell=SECOND // 10
    )
    it.platform.state, it.platform.status = news, 429
    client = it.client()
    eventually(lambda: it.read(client) and len(it.platform.votes) > 1, 12)


def test_a_client_that_leaves_is_forgotten_and_the_others_go_on(relay):
    unit = Unit("wait")
    it = relay({"u1": unit})
    leaving, staying = it.client(), it.client()
    leaving.send("Q.ASK", "k1", it.id(), "c=read,t=acme,d=2900")
    eventually(lambda: unit.seen)
    leaving.close()
    staying.send("Q.ASK", "k2", it.id(), "c=read,t=acme,d=2900")
    eventually(lambda: len(unit.seen) == 2)
    unit.go.set()
    assert staying.read() == b"value of k2"


@pytest.mark.parametrize(
    ("raw", "word"),
    [
        (b"GET / HTTP/1.1\r\n\r\n", b"-ERR"),
        (b"*1\r\n$99999999\r\n", b"-ERR"),
        (b"*2\r\n$4\r\nPING\r\n:1\r\n", b"-ERR"),
    ],
)
def test_lost_framing_ends_that_connection_alone(relay, raw, word):
    it = relay({"u1": Unit()})
    client = it.client()
    client.sock.sendall(raw)
    assert client.read().startswith(word) and client.read() is None
    assert it.read(it.client()) == b"value of k1"


@pytest.mark.parametrize(
    "words",
    [
        ("NOPE",),
        ("Q.ASK", "k"),
        ("Q.ASK", "k", "no-id", "c=read,t=acme,d=100"),
        ("Q.ASK", "k", "0" * 16, "c=nothing,t=acme,d=100"),
        ("Q.ASK", "k", "0" * 16, "c=read,t=nobody,d=100"),
        ("Q.ASK", "k", "0" * 16, "c=read,t=acme,d=0"),
        ("Q.ASK", "k", "0" * 16, "c=read,t=acme,d=1,d=2"),
        ("Q.ASK", "k", "0" * 16, "c=pay,t=acme,d=100"),
        ("Q.DO", "k", "0" * 16, "c=read,t=acme,d=100", "BODY"),
    ],
)
def test_a_bad_request_gets_an_error_is_not_passed_on_and_the_connection_stays(relay, words):
    unit = Unit()
    it = relay({"u1": unit})
    client = it.client()
    assert client.ask(*words).startswith(b"-ERR")
    assert it.read(client) == b"value of k1" and len(unit.seen) == 1


def test_sigterm_loses_nothing_that_was_taken(relay):
    unit = Unit("wait")
    it = relay({"u1": unit})
    clients = [it.client() for _ in range(8)]
    for n, client in enumerate(clients):
        client.send("Q.ASK", f"k{n}", it.id(), "c=read,t=acme,d=2900")
    eventually(lambda: len(unit.seen) == 8)
    it.process.send_signal(signal.SIGTERM)
    late = it.client()  # new connections keep coming for a while
    late.send("Q.ASK", "late", it.id(), "c=read,t=acme,d=2900")
    eventually(lambda: len(unit.seen) == 9)
    unit.go.set()
    assert [c.read() for c in clients] == [b"value of k%d" % n for n in range(8)]
    assert late.read() == b"value of late"
    assert late.read() is None  # closed between requests
    assert it.process.wait(10) == 0


def test_a_relay_that_was_killed_starts_again_at_the_same_address(relay):
    it = relay({"u1": Unit()})
    client = it.client()
    assert it.read(client) == b"value of k1"
    it.stop()
    it.start()
    assert it.read(it.client()) == b"value of k1"


def test_more_clients_than_descriptors_are_all_answered(relay):
    it = relay({"u1": Unit()}, sockets=64)
    answers = []

    def one() -> None:
        client = it.client()
        answers.append(it.read(client, 2900))
        client.close()

    threads = [threading.Thread(target=one) for _ in range(60)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(15)
    assert len(answers) == 60 and None not in answers
    assert it.read(it.client()) == b"value of k1" and it.process.poll() is None


@pytest.mark.parametrize(
    ("key", "value", "named"),
    [
        ("listen", "nowhere", "listen"),
        ("seed", "xyz", "seed"),
        ("known", {"generation": 1}, "known"),
        ("settings", None, "settings"),
        ("settings", {"services": [{"name": "a"}]}, "settings.services[0].hard_limit"),
        ("settings", {"ceilings": {"max_attempts": "two"}}, "settings.ceilings.max_attempts"),
        ("limits", {"sockets": 10}, "limits.sockets"),
        ("pipeline", {"address": "127.0.0.1:1", "news": {"release": 1}}, "pipeline.news"),
    ],
)
def test_a_bad_configuration_ends_with_status_2_and_names_the_key(tmp_path, key, value, named):
    config = {
        "listen": f"127.0.0.1:{free_port()}",
        "discovery": "127.0.0.1:1",
        "seed": "1f",
        "settings": {"services": []},
        "limits": {"sockets": 256},
    }
    path = tmp_path / "config.json"
    path.write_text(json.dumps({**config, key: value}))
    done = start(RELAY_CONFIG=str(path))
    assert done.returncode == 2 and named in done.stderr and done.stderr.count("\n") == 1


def test_a_missing_variable_is_named(tmp_path):
    done = start()
    assert done.returncode == 2 and "RELAY_CONFIG" in done.stderr
    done = start(RELAY_CONFIG=str(tmp_path / "none"))
    assert done.returncode == 2 and "RELAY_CONFIG" in done.stderr


def start(**variables: str) -> subprocess.CompletedProcess[str]:
    run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    return subprocess.run(
        ["/bin/sh", "-c", run],
        cwd=ROOT,
        env={**os.environ, **variables},
        capture_output=True,
        text=True,
        timeout=20,
        check=False,
    )
