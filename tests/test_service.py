"""Bad clients and bad units beside usual ones, with the program as the deploy file starts it."""

import socket
import time

from loftroute.lab.standins import Unit, command, eventually


def ended(client) -> bytes:
    """All that a client is sent until the end."""
    return client.file.read()


def test_silent_clients_and_half_commands_are_ended_within_three_seconds_and_others_served(relay):
    it = relay({"u1": Unit()})
    begun = time.monotonic()
    silent, half, usual = it.client(), it.client(), it.client()
    half.sock.sendall(command("Q.ASK", "k1", it.id(), "c=read,t=acme,d=2000")[:-9])
    assert it.read(usual) == b"value of k1"
    assert ended(half).startswith(b"-ERR") and ended(silent) == b""
    assert time.monotonic() - begun < 3
    assert it.read(it.client()) == b"value of k1"


def test_an_error_is_not_lost_on_a_client_that_goes_on_sending(relay):
    it = relay({"u1": Unit()})
    client = it.client()
    client.sock.sendall(b"*1\r\n$60000000\r\n" + b"x" * (512 << 10))
    assert ended(client).startswith(b"-ERR")


def test_a_good_request_before_the_framing_is_lost_gets_its_answer_first(relay):
    it = relay({"u1": Unit()})
    client = it.client()
    client.sock.sendall(command("Q.ASK", "k1", it.id(), "c=read,t=acme,d=2000") + b"?\r\n" + b"y" * 40000)
    assert ended(client).startswith(b"$11\r\nvalue of k1\r\n-ERR")


def test_whoever_broke_the_framing_is_not_kept_until_a_slow_answer_comes(relay):
    unit = Unit("hang")
    it = relay({"u1": unit})
    client, begun = it.client(), time.monotonic()
    client.sock.sendall(command("Q.DO", "k1", it.id(), "c=pay,t=acme,d=4000", "B") + b"?\r\n")
    client.file.read()
    assert time.monotonic() - begun < 3


def test_after_many_bad_commands_a_good_one_is_served(relay):
    it = relay({"u1": Unit()})
    client = it.client()
    client.sock.sendall(command("NOPE") * 60)
    assert [client.read() for _ in range(60)] == [b"-ERR unknown command"] * 60
    assert it.read(client) == b"value of k1"


def test_a_door_full_of_silent_clients_opens_for_those_that_ask(relay):
    it = relay({"u1": Unit()}, sockets=64)
    crowd = [socket.create_connection(("127.0.0.1", it.port)) for _ in range(200)]
    begun = time.monotonic()
    assert it.read(it.client(), 2900) == b"value of k1" and time.monotonic() - begun < 3
    for sock in crowd:
        sock.close()


def test_clients_that_ask_once_and_stay_do_not_keep_their_places_for_seconds(relay):
    it = relay({"u1": Unit()}, sockets=128)
    begun, staying = time.monotonic(), [it.client() for _ in range(40)]
    assert [it.read(client) for client in staying] == [b"value of k1"] * 40
    usual = it.client()
    assert [it.read(usual) for _ in range(3)] == [b"value of k1"] * 3
    assert ended(staying[0]) == b"" and time.monotonic() - begun < 2
    assert it.read(usual) == b"value of k1"


def test_who_is_turned_away_for_want_of_room_is_told_when_to_come_back(relay):
    unit = Unit("wait")
    it = relay({"u1": unit}, sockets=64)
    client = it.client()
    client.sock.sendall(b"".join(command("Q.ASK", "k", it.id(), "c=read,t=acme,d=2900") for _ in range(40)))
    eventually(lambda: unit.seen)
    unit.go.set()
    answers = [client.read() for _ in range(40)]
    assert b"-BUSY 250" in answers and b"value of k" in answers


def test_no_request_waits_longer_than_its_class_allows(relay):
    unit = Unit()
    it = relay({"u1": unit})
    assert it.read(it.client(), 999_999_999) == b"value of k1"
    listed = dict(pair.split(b"=") for pair in unit.seen[0][3].split(b","))
    assert 0 < int(listed[b"d"]) <= 3000


def test_a_client_that_left_while_its_request_waited_for_a_connection_costs_the_unit_nothing(relay):
    unit = Unit("wait")
    it = relay({"u1": unit}, sockets=64)
    leaving, staying = it.client(), it.client()
    leaving.sock.sendall(
        b"".join(command("Q.ASK", "gone", it.id(), "c=read,t=acme,d=2900") for _ in range(18))
    )
    eventually(lambda: len(unit.seen) >= 14)
    leaving.close()
    unit.go.set()
    assert it.read(staying) == b"value of k1"
    assert sum(words[1] == b"gone" for words in unit.seen) < 18
