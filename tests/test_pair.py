"""The pair: a model of its fencing, the wire format, and two real relays with a witness on loopback."""

import contextlib
import json
import os
import random
import resource
import signal
import threading
import time
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from loftroute.lab.command import command
from loftroute.lab.pair_model import LIMITS, InvariantError, World, explore, random_walk
from loftroute.lab.pairs import Duo, run_trial
from loftroute.lab.standins import Relay, eventually
from loftroute.pair import wire
from loftroute.pair.events import (
    AskWitness,
    Denied,
    Granted,
    LinkDown,
    Promote,
    PromotionRefused,
    SendMessage,
    SendRequested,
    Tick,
    WitnessAnswered,
)
from loftroute.pair.fence import PairMember, Witness
from loftroute.pair.messages import (
    Claim,
    ClaimAnswer,
    Hello,
    MemberState,
    Mirror,
    Mode,
    Rejoin,
    Synced,
    SyncEnd,
    WitnessRecord,
    WitnessRequest,
)
from loftroute.pair.peer_writes import PeerWrites
from loftroute.protocol import IncompleteMessageError, ProtocolError
from loftroute.recall.decisions import RequestRecord, RunState, is_newer
from loftroute.vrrp.envelope import Keys

# ---- fencing, explored as a model


def test_every_order_of_steps_to_a_depth_keeps_the_invariants():
    assert explore(World(("x",), crashes=1, cuts=1).paired(), 6) > 1000
    assert explore(World(("x",), crashes=0, cuts=1), 6) > 100


@pytest.mark.parametrize("part", range(6))
def test_long_histories_keep_the_invariants_and_end_as_a_pair(part):
    epochs = 0
    for seed in range(part * 300, part * 300 + 300):
        world = random_walk(seed, 200)
        world.crashes = world.cuts = 0
        world.asked = {(name, request_id): 9 for name in world.nodes for request_id in world.ids}
        rng = random.Random(seed)
        for _ in range(400):
            steps = world.steps()
            if not steps:
                break
            world.do(rng.choice(steps))
        assert [node.durable_state.mode for node in world.nodes.values()] == [Mode.PAIRED, Mode.PAIRED], seed
        epochs += world.witness.record.epoch
    assert epochs > 300  # relays became alone and were paired again


def find_violation(options, seeds=400):
    """Return the text of the first broken invariant in random histories, or an empty string."""
    for seed in range(seeds):
        try:
            random_walk(seed, 300, 10, **options)
        except InvariantError as problem:
            return str(problem)
    return ""


def test_the_model_finds_a_violation_without_the_fence():
    """A control: with the fence taken out the model must find that a request is sent twice."""
    assert "was sent by" in find_violation({"fenced": False})


@pytest.mark.parametrize(
    "rule",
    ["claim before send", "conflict", "record before answer", "one holder per epoch"],
)
def test_the_model_finds_a_violation_without_each_rule(monkeypatch, rule):
    if rule == "claim before send":
        monkeypatch.setattr(PairMember, "_send_requested", lambda self, event: [Granted(event.id)])
    elif rule == "conflict":
        original = PairMember._claim_received
        monkeypatch.setattr(
            PairMember, "_claim_received", lambda self, claim, conflict: original(self, claim, False)
        )
    elif rule == "record before answer":

        def accept_at_once(self, claim, conflict):
            if conflict or claim.epoch != self.state.epoch or self.state.mode is not Mode.PAIRED:
                return [SendMessage(ClaimAnswer(claim.number, False))]
            return [SendMessage(ClaimAnswer(claim.number, True))]

        monkeypatch.setattr(PairMember, "_claim_received", accept_at_once)
    elif rule == "one holder per epoch":
        monkeypatch.setattr(
            Witness,
            "decide",
            lambda self, request: WitnessRecord(request.epoch + 1, request.name if request.alone else ""),
        )
    assert find_violation({}, 1500)


def crash_while_rejoining():
    """Crash the rejoining relay after the witness has recorded the pair and before it hears of that.

    Relay a was alone, and b has all its records. After the crash b becomes alone, and clients ask both relays
    for the same request.
    """
    world = World(("x",), crashes=9, cuts=9).paired()
    for step in (("cut",), ("tick", "a"), ("witness", "a"), ("answer", "a"), ("disk", "a"), ("link",)):
        world.do(step)
    while "a" not in world.asks:
        world.do(next(step for step in world.steps() if step[0] in ("hear", "disk")))
    for step in (
        ("witness", "a"),
        ("crash", "a"),
        ("start", "a"),
        *([("tick", "b"), ("witness", "b"), ("answer", "b"), ("disk", "b")] * 2),
        ("ask", "a", "x"),
        ("disk", "a"),
        ("ask", "b", "x"),
        ("disk", "b"),
    ):
        world.do(step)
    return world


def test_a_rejoining_relay_is_not_alone_after_a_crash(monkeypatch):
    assert crash_while_rejoining().sent == {"x": ["b"]}

    def skip_rejoining(self, now):
        return self._ask_witness(now, alone=False) if self.state.mode is Mode.ALONE else []

    monkeypatch.setattr(PairMember, "_peer_synced", skip_rejoining)
    with pytest.raises(InvariantError, match="was sent by"):
        crash_while_rejoining()


def make_paired_member(**fields):
    return PairMember("a", LIMITS, True, MemberState(1, Mode.PAIRED), **fields)


def test_no_timeout_makes_a_relay_alone_without_the_witness():
    member = make_paired_member()
    member.handle(0, LinkDown())
    for now in range(1, 100):
        actions = member.handle(now * 10, Tick())
        assert all(isinstance(action, AskWitness) for action in actions)
        assert member.handle(now * 10, SendRequested(f"{now}", b"")) == []
    assert member.state == MemberState(1, Mode.PAIRED)


def test_a_witness_record_of_another_epoch_is_not_followed():
    member = make_paired_member()
    for record in (WitnessRecord(0, "a"), WitnessRecord(5, "a"), WitnessRecord(1, "")):
        assert member.handle(0, WitnessAnswered(record)) == []


def test_promotion_is_refused_while_the_peer_is_connected_and_for_a_new_store():
    assert isinstance(make_paired_member(linked=True).handle(0, Promote())[0], PromotionRefused)
    assert isinstance(PairMember("a", LIMITS, True).handle(0, Promote())[0], PromotionRefused)
    assert make_paired_member().handle(0, Promote()) == [AskWitness(WitnessRequest("a", 1, True, True))]


def test_claims_are_bounded():
    member = PairMember("a", replace(LIMITS, max_claims=2), True, MemberState(1, Mode.PAIRED))
    assert [type(action) for n in range(3) for action in member.handle(0, SendRequested(str(n), b""))] == [
        Denied
    ]


def test_of_two_records_the_more_conclusive_one_is_newer():
    may, ran, never = (
        RequestRecord(state, "c", "k", 1)
        for state in (RunState.MAY_HAVE_RUN, RunState.RAN, RunState.NEVER_RAN)
    )
    again = replace(may, attempts=2)
    assert all(is_newer(record, None) for record in (may, ran, never))
    assert is_newer(never, may) and is_newer(ran, may) and is_newer(again, never) and is_newer(ran, again)
    assert not is_newer(may, may) and not is_newer(may, never) and not is_newer(never, again)
    assert not any(is_newer(record, ran) for record in (may, never, again, ran))


# ---- the wire format

MESSAGES = [
    wire.Heartbeat(),
    Hello(MemberState(4, Mode.FENCED, True)),
    Claim(1, 2, "id", b"\0x"),
    ClaimAnswer(3, True),
    Mirror("id", b""),
    SyncEnd(),
    Synced(),
    Rejoin(9),
    WitnessRequest("a", 1, True, False),
    WitnessRecord(2, "b"),
    wire.StatusRequest(),
    wire.PromoteRequest(),
    wire.FailbackRequest(),
    wire.Report("é"),
]


def make_authenticators():
    """Return the authenticators of one direction, at its sender and its receiver."""
    return wire.FrameAuthenticator(b"k" * 32, b"1" * 16, b"2" * 16, True), wire.FrameAuthenticator(
        b"k" * 32, b"2" * 16, b"1" * 16, False
    )


def test_messages_are_decoded_in_order_and_not_twice():
    sender, receiver = make_authenticators()
    raws = [sender.seal(message) for message in MESSAGES]
    for raw, message in zip(raws, MESSAGES, strict=True):
        body, at = wire.parse_frame(bytearray(raw), 0, len(raw))
        received = receiver.open(body)
        assert at == len(raw) and type(received) is type(message)
        assert wire.pack(received) == wire.pack(message)
    for raw in raws[:2]:  # replayed
        with pytest.raises(ProtocolError):
            receiver.open(raw[4:])


@given(st.binary(max_size=100))
@settings(max_examples=200, deadline=None, derandomize=True, database=None)
def test_random_bytes_on_the_wire_raise_only_protocol_errors(raw):
    for read in (
        wire.unpack,
        wire.unpack_greeting,
        lambda data: wire.parse_frame(bytearray(data), 0, len(data)),
    ):
        with contextlib.suppress(ProtocolError, IncompleteMessageError):
            read(raw)


KEYS = Keys(1, {1: b"k" * 32, 2: b"j" * 32})


def make_handshake(name, nonce=b"1" * 16, keys=KEYS):
    return wire.Handshake(name, nonce, keys)


def greeting_of(handshake):
    """Return the frame of a greeting without its length."""
    raw = handshake.greeting.pack()
    return wire.parse_frame(bytearray(raw), 0, len(raw))[0]


@pytest.mark.parametrize("sealing", [1, 2])
def test_after_the_greetings_both_sides_read_each_other_with_their_own_keys(sealing):
    left, right = make_handshake("a"), make_handshake("b", b"2" * 16, Keys(sealing, KEYS.known))
    at_left, at_right = left.complete(greeting_of(right)), right.complete(greeting_of(left))
    assert (at_left.peer, at_right.peer) == ("b", "a")
    for sender, receiver in ((at_left, at_right), (at_right, at_left)):
        raw = sender.outward.seal(wire.Report("x"))
        assert receiver.inward.open(raw[wire.LENGTH.size :]).text == "x"


def test_a_frame_sent_back_to_its_sender_is_rejected():
    session = make_handshake("a").complete(greeting_of(make_handshake("b", b"2" * 16)))
    raw = session.outward.seal(wire.Heartbeat())
    with pytest.raises(ProtocolError, match="wrong proof"):
        session.inward.open(raw[wire.LENGTH.size :])


def test_greetings_of_oneself_with_an_unknown_or_with_a_wrong_key_are_rejected():
    own = make_handshake("a")
    for other in (make_handshake("a", b"2" * 16), make_handshake("b")):
        with pytest.raises(ProtocolError, match="greeted by itself"):
            own.complete(greeting_of(other))
    with pytest.raises(ProtocolError, match="unknown key 3"):
        own.complete(greeting_of(make_handshake("b", b"2" * 16, Keys(3, {3: b"k" * 32}))))
    for raw in (b"", b"\xc0", b"x" * 40, wire.Greeting("n" * (wire.NAME_LIMIT + 1), b"2" * 16, 1).pack()[4:]):
        with pytest.raises(ProtocolError, match="not a greeting"):
            own.complete(raw)
    wrong_key = make_handshake("b", b"2" * 16, Keys(1, {1: b"x" * 32}))
    forged = wrong_key.complete(greeting_of(own)).outward.seal(wire.Heartbeat())
    with pytest.raises(ProtocolError, match="wrong proof"):
        own.complete(greeting_of(wrong_key)).inward.open(forged[4:])


# ---- flushes of the peer's records


def test_a_flush_waits_for_the_writes_before_it_only():
    """Under steady load there is always a write that has not ended."""
    writes = PeerWrites()
    assert writes.flush(1) == [1]
    first, second = writes.start(), writes.start()
    assert writes.flush(2) == []
    third = writes.start()
    assert writes.end(second) == []
    assert writes.end(first) == [2]
    assert writes.flush(3) == []
    assert writes.end(third) == [3]
    assert writes.flush(4) == [4]


@given(st.lists(st.sampled_from(["start", "end oldest", "end newest", "flush"]), max_size=60))
def test_flushes_end_once_in_order_and_never_before_a_write_that_they_cover(steps):
    writes, open_writes, covered, ended = PeerWrites(), [], {}, []
    for number, step in enumerate(steps):
        if step == "start":
            open_writes.append(writes.start())
            continue
        if step == "flush":
            covered[number] = set(open_writes)
            now_ended = writes.flush(number)
        elif open_writes:
            write = open_writes.pop(0 if step == "end oldest" else -1)
            now_ended = writes.end(write)
        else:
            continue
        assert all(not covered[flush] & set(open_writes) for flush in now_ended)
        ended += now_ended
    for write in open_writes:
        ended += writes.end(write)
    assert ended == list(covered)


# ---- two real relays with a witness and a switch


@pytest.fixture
def start_duo(tmp_path):
    """A function that starts a pair and waits until both relays are paired."""
    started = []

    def start(**options):
        started.append(Duo(tmp_path, **options))
        started[-1].wait_for_mode()
        return started[-1]

    yield start
    for duo in started:
        duo.close()


def served(answer):
    return answer is not None and not answer.startswith(b"-")


def test_a_request_answered_by_one_relay_is_known_to_the_other_before_and_after_a_crash(start_duo):
    duo = start_duo()
    name = Relay.id()
    assert all(served(duo.ask(duo.relays[n].port, name)) for n in (0, 1, 0))
    assert duo.runs()[name] == 1
    duo.kill(0)
    begun = time.monotonic()
    eventually(lambda: served(duo.ask(duo.switch.proxy.port, Relay.id(), 300)))
    assert time.monotonic() - begun < 3
    assert (
        duo.status(1)["mode"] == "alone"
        and served(duo.ask(duo.switch.proxy.port, name))
        and duo.runs()[name] == 1
    )
    duo.start(0)
    duo.wait_for_mode()
    assert duo.status(0)["epoch"] == duo.status(1)["epoch"] == 3
    name = Relay.id()
    assert served(duo.ask(duo.relays[1].port, name)) and served(duo.ask(duo.relays[0].port, name))
    assert duo.runs()[name] == 1


def test_after_a_split_one_relay_goes_on_and_the_other_refuses(start_duo):
    duo = start_duo()
    duo.set_advertisement_faults(down=True)
    duo.cut_link()
    eventually(lambda: len(duo.switch.holders) == 2)  # both relays are Active
    eventually(
        lambda: (
            {duo.status(n)["mode"] for n in (0, 1)} == {"alone", "fenced"}
            or {duo.status(n)["mode"] for n in (0, 1)} == {"alone", "paired"}
        )
    )
    alone = 0 if duo.status(0)["mode"] == "alone" else 1
    assert served(duo.ask(duo.relays[alone].port, Relay.id()))
    assert duo.ask(duo.relays[1 - alone].port, Relay.id()).startswith(b"-BUSY")
    client = duo.relays[1 - alone].client()
    assert duo.relays[1 - alone].read(client) == b"value of k1"  # safe request classes are still served
    duo.restore_link()
    duo.set_advertisement_faults()
    duo.wait_for_mode()
    eventually(lambda: len(duo.switch.holders) == 1 and duo.switch.splits)
    assert max(duo.runs().values()) == 1


def test_without_the_witness_neither_goes_on_until_an_operator_orders_it(start_duo):
    duo = start_duo()
    for path_to_witness in duo.witness_proxies:
        path_to_witness.cut()

    def promote(n):
        return duo.command(n, "promote")

    refused = promote(1)
    assert refused.returncode == 1 and "is heard" in refused.stdout
    duo.kill(0)
    time.sleep(1.0)
    assert duo.ask(duo.relays[1].port, Relay.id()).startswith(b"-BUSY")
    assert promote(1).returncode == 1  # the peer may have become alone; without the witness it is unknown
    duo.witness_proxies[1].restore()
    eventually(lambda: duo.status(1)["mode"] == "alone")
    assert served(duo.ask(duo.relays[1].port, Relay.id()))


def test_a_relay_that_was_stopped_with_open_requests_sends_nothing_twice(start_duo):
    duo = start_duo()
    name = Relay.id()
    client = duo.relays[0].client()
    for unit in duo.units.values():
        unit._delay = 0.4
    client.send("Q.DO", "k1", name, "c=pay,t=acme,d=3000", "BODY")
    eventually(lambda: duo.runs().get(name))
    os.kill(duo.relays[0].process.pid, signal.SIGSTOP)
    eventually(lambda: duo.status(1)["mode"] == "alone")
    assert duo.ask(duo.relays[1].port, name) == b"-ERR failed"  # it may have run
    os.kill(duo.relays[0].process.pid, signal.SIGCONT)
    duo.wait_for_mode()
    assert duo.runs()[name] == 1


def test_a_call_through_the_other_relay_waits_for_the_outcome(start_duo):
    duo = start_duo()
    for unit in duo.units.values():
        unit._delay = 0.4
    name, client = Relay.id(), duo.relays[0].client()
    client.send("Q.DO", "k1", name, "c=pay,t=acme,d=3000", "BODY")
    eventually(lambda: duo.runs().get(name))
    assert served(duo.ask(duo.relays[1].port, name, 2000)) and served(client.read()) and duo.runs()[name] == 1
    client.send("Q.DO", "k1", second := Relay.id(), "c=pay,t=acme,d=3000", "BODY")
    eventually(lambda: duo.runs().get(second))
    begun = time.monotonic()
    assert duo.ask(duo.relays[1].port, second, 200) == b"-ERR failed"  # at its own deadline
    assert time.monotonic() - begun < 0.4


@contextlib.contextmanager
def load_on(duo):
    """Six clients send each request twice through the switch; yields their pairs of answers."""
    answers, stop = [], threading.Event()

    def ask():
        while not stop.is_set():
            name = Relay.id()
            answers.append([duo.ask(duo.switch.proxy.port, name), duo.ask(duo.switch.proxy.port, name)])

    threads = [threading.Thread(target=ask) for _ in range(6)]
    for thread in threads:
        thread.start()
    try:
        yield answers
    finally:
        stop.set()
        for thread in threads:
            thread.join()


def test_the_preferred_relay_returns_under_load(start_duo):
    """It preempts only when it has the peer's records. Open requests are answered, and none runs twice."""
    duo = start_duo()
    duo.kill(0)
    eventually(lambda: duo.status(1)["mode"] == "alone")
    with load_on(duo) as answers:
        duo.start(0)
        eventually(lambda: duo.switch.holders == {duo.at(0)}, 15)
        time.sleep(0.5)
        eventually(lambda: len(answers) > 100)  # on a slow disk it takes longer
    assert max(duo.runs().values()) == 1 and len(answers) > 100
    assert sum(served(calls[0]) for calls in answers) > 0.8 * len(answers)
    assert all(served(again) for first, again in answers if served(first) and again is not None)


def test_the_preferred_relay_returns_under_load_with_slow_disks(start_duo):
    """Guards against a fenced relay that waits for a moment without writes before it reports to be synced."""
    duo = start_duo(sync_delay_ms=40)
    duo.kill(0)
    eventually(lambda: duo.status(1)["mode"] == "alone")
    with load_on(duo) as answers:
        duo.start(0)
        eventually(lambda: duo.switch.holders == {duo.at(0)}, 15)
    assert max(duo.runs().values()) == 1
    assert all(served(again) for first, again in answers if served(first) and again is not None)


@pytest.mark.parametrize("point", ["claim answered", "request sent", "unit answered"])
def test_clients_ask_the_other_relay_after_the_active_is_killed_around_the_write(tmp_path, point):
    duo = Duo(tmp_path, kill=f"{point}:5")
    try:
        duo.wait_for_mode()
        names, answers = [Relay.id() for _ in range(12)], {}
        for name in names:
            answers[name] = duo.ask(duo.relays[0].port, name)
        assert duo.relays[0].process.wait(5) == -signal.SIGKILL
        duo.relays[0].env = {}
        eventually(lambda: duo.status(1)["mode"] == "alone")
        for name in names:
            again = duo.ask(duo.relays[1].port, name)
            assert again is not None and (not served(answers[name]) or served(again))
        duo.start(0)
        duo.wait_for_mode()
        for name in names:
            assert duo.ask(duo.relays[0].port, name) is not None
        assert max(duo.runs().values()) == 1 and len(duo.runs()) >= 11
    finally:
        duo.close()


def test_a_backup_with_a_full_disk_does_not_stop_the_active(start_duo):
    """The Backup cannot store claims: the Active becomes alone, and the Backup refuses requests."""
    duo = start_duo()
    resource.prlimit(duo.relays[1].process.pid, resource.RLIMIT_FSIZE, (64, 64))
    eventually(lambda: duo.ask(duo.relays[0].port, Relay.id()) and duo.status(0)["mode"] == "alone", 12)
    eventually(lambda: served(duo.ask(duo.relays[0].port, Relay.id())))
    assert not served(duo.ask(duo.relays[1].port, Relay.id()))
    client = duo.relays[1].client()
    assert duo.relays[1].read(client) == b"value of k1"
    assert max(duo.runs().values()) == 1


def test_a_planned_failback_finishes_open_requests_and_hands_over_the_address(start_duo):
    duo = start_duo(preempt=False)
    client, name = duo.relays[0].client(), Relay.id()
    for unit in duo.units.values():
        unit._delay = 0.3
    client.send("Q.DO", "k1", name, "c=pay,t=acme,d=3000", "BODY")
    eventually(lambda: duo.runs().get(name))
    failback = duo.command(0, "failback")
    assert failback.returncode == 0
    eventually(lambda: duo.switch.holders == {duo.at(1)})
    assert (
        client.read() == b"value of k1"
        and served(duo.ask(duo.relays[1].port, name))
        and duo.runs()[name] == 1
    )


def test_random_faults_run_nothing_twice(start_duo):
    result = run_trial(start_duo(), 14, 3)
    assert result.unanswered == [] and result.twice == []
    assert result.served > 100 and result.kills + result.stops + result.cuts > 3
    assert result.ids > 200


def test_a_flood_of_forged_and_replayed_datagrams_moves_nothing(start_duo):
    duo = start_duo()
    moves = len(duo.switch.moves)
    recorded = list(duo.advertisement_proxies[1].recent)
    begun, sent = duo.advertisement_proxies[1].forwarded, 0
    until = time.monotonic() + 1.0
    while time.monotonic() < until:
        for raw in recorded:
            duo.advertisement_proxies[1].inject(raw)
        duo.advertisement_proxies[1].inject(os.urandom(80))
        duo.advertisement_proxies[0].inject(os.urandom(80))  # to the Active, at many times the usual rate
        sent += 1
        time.sleep(0.0002)
    # 20 advertisements are due in a second; if each is delayed by half an interval, 13 arrive.
    assert sent > 1000 and duo.advertisement_proxies[1].forwarded - begun >= 13
    routers = duo.status(1)["routers"]
    assert routers[0]["state"] == "Backup" and len(duo.switch.moves) == moves
    duo.relays[1].process.send_signal(signal.SIGTERM)
    duo.relays[1].process.wait(10)
    assert "vrrp replayed" in duo.relays[1].text() and "vrrp datagram length" in duo.relays[1].text()


def test_keys_can_be_changed_at_run_time(start_duo):
    duo = start_duo()
    for text in (
        "1 " + "5c" * 32 + "\n2 " + "7d" * 32 + "\n",
        "2 " + "7d" * 32 + "\n1 " + "5c" * 32 + "\n",
        "2 " + "7d" * 32 + "\n",
    ):
        duo.key.write_text(text)
        time.sleep(0.3)
    duo.cut_link()
    duo.restore_link()
    duo.wait_for_mode()
    assert duo.status(0)["routers"][0]["state"] == "Active" and served(
        duo.ask(duo.switch.proxy.port, Relay.id())
    )
    assert len(duo.switch.holders) == 1


# ---- settings


PEER = 'peer {{ primary: "192.0.2.2" endpoint: "127.0.0.1:8" }}'
VRRP = 'vrrp {{ primary: "192.0.2.1" listen: "127.0.0.1:9" ' + PEER + " {} }}"
ROUTER = 'router { vrid: 7 address: "192.0.2.100" }'


@pytest.mark.parametrize(
    ("text", "error"),
    [
        (VRRP.format(ROUTER + "\n" + ROUTER), "vrrp.router.vrid: 7"),
        ('vrrp { primary: "192.0.2.1" listen: "127.0.0.1:9" ' + ROUTER + " }", "vrrp.peer: missing"),
        (VRRP.format("router { vrid: 7 }"), "vrrp.router.address"),
        (VRRP.format('router { vrid: 7 address: "2001:db8::1" }'), "family"),
        (VRRP.format('router { vrid: 7 interval_cs: 5000 address: "192.0.2.100" }'), "interval_cs: 5000"),
        (VRRP.format(ROUTER + ' track { condition: "mood" cost: 5 }'), "vrrp.track"),
        (VRRP.format(ROUTER).replace("127.0.0.1:8", "192.0.2.2:8"), "vrrp.key_file: missing"),
        ('pair { name: "a" peer_name: "a" }', "pair.name"),
        ('pair { name: "a" peer_name: "b" }', "pair: needs recall"),
        ('witness { listen: "127.0.0.1:5" }', "witness: directory"),
    ],
)
def test_conflicting_settings_are_named(tmp_path, text, error):
    path = tmp_path / "s.textproto"
    path.write_text(text)
    result = command("check-settings", str(path))
    assert result.returncode == 2 and error in result.stderr and f"{path}:" in result.stderr, result.stderr


def test_a_key_file_that_others_may_read_is_refused(tmp_path):
    keys = tmp_path / "keys"
    keys.write_text("1 " + "ab" * 32)
    keys.chmod(0o644)
    path = tmp_path / "s.textproto"
    path.write_text(
        f'witness {{ directory: "{tmp_path / "w"}" listen: "127.0.0.1:5" name: "a" name: "b" '
        f'key_file: "{keys}" }}'
    )
    result = command("witness", "--settings", str(path))
    assert result.returncode == 2 and "mode 600" in result.stderr
    assert json.dumps(result.stderr)
