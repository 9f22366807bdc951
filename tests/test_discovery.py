"""The decision module's handling of lists: requested or pushed, late, empty or out of order."""

import json

from loftroute.decision.policy import WATCH_TOKEN
from tests.harness import MS, SECOND, Relay, named, setup


def test_with_discovery_on_request_the_instance_subscribes_and_retries_after_a_failure():
    relay = Relay(setup(discovery="ask"))
    started = relay.batch(f"BOOT relay_0 3 {json.dumps(setup(discovery='ask'))}")
    assert named(started, "LISTEN") == [["LISTEN", "1"]]
    assert not named(relay.event("MEMBERS", "unavailable", 0, 0), "LISTEN")
    assert named(relay.wait(2 * SECOND), "LISTEN") == [["LISTEN", "1"]]


def test_discovery_is_asked_again_in_time_for_what_it_has_to_be_known_within_6_s():
    """Guards against a wait of up to 6 s after several failures, with the call still to come (issue 60)."""
    waits = []
    for seed in range(1, 11):
        relay = Relay(setup(discovery="ask"), seed)
        for _ in range(10):
            relay.timers.clear()
            relay.event("MEMBERS", "unavailable", 0, 0)
            ((due, _token),) = [timer for timer in relay.timers if timer[1] == WATCH_TOKEN]
            waits.append(due - relay.now)
            relay.now = due
    assert max(waits) <= 4.5 * SECOND
    late_waits = [wait for n, wait in enumerate(waits) if n % 10 >= 3]
    assert min(late_waits) >= 2 * SECOND and len(set(late_waits)) == len(late_waits)  # spread over the relays


def test_with_pushed_discovery_no_list_is_requested():
    relay = Relay()
    relay.fleet(2)
    assert not named(relay.wait(5 * SECOND), "LISTEN") and not named(relay.wait(5 * SECOND), "SNAPSHOT")


def test_a_failed_call_leaves_the_list_as_it_was():
    relay = Relay(setup(discovery="ask"))
    relay.fleet(2)
    relay.event("MEMBERS", "unavailable", 0, 0)
    assert named(relay.ask()[1], "FORWARD")


def test_an_empty_list_holds_requests_and_a_later_one_serves_them():
    relay = Relay()
    relay.servers()
    ref, actions = relay.ask(2)
    assert not named(actions, "FORWARD") and not named(actions, "NOT_NOW")
    relay.fleet(1)
    assert named(relay.wait(100 * MS), "FORWARD")[0][1] == ref


def test_a_new_machine_with_a_reused_id_counts_as_its_own_build():
    relay = Relay()
    relay.fleet(1)
    relay.servers("0 1 deregistered 0 1 1 0 0", kind="update")
    relay.news(phase=1, cap=0.0)
    relay.servers("0 2 healthy 0 1 1 0 0", kind="update")
    assert not named(relay.serve(5), "FORWARD")


def test_news_of_an_older_stage_or_without_effect_is_harmless():
    relay = Relay()
    relay.fleet(3, 1)
    for status in ("Ignored", "QueueFull", "Failed", "TimedOut"):
        assert relay.news(status=status, reply=1) == []
    relay.news(stage=1, cap=0.5)
    relay.news(stage=0, cap=0.2)
    assert named(relay.serve(20), "FORWARD")


def test_silent_servers_are_ejected_even_if_most_are_silent():
    """Most servers become unreachable: requests go to those that answer, however few they are."""
    relay = Relay()
    relay.fleet(6)
    relay.serve(60)
    for _ in range(150):
        ref, actions = relay.ask(0)
        for send in named(actions, "FORWARD"):
            if int(send[2]) > 4:
                relay.answer(ref)
        relay.wait(20 * MS)
    sent_to = [int(a[2]) for _ in range(20) for a in named(relay.ask(2)[1], "FORWARD")]
    assert sum(unit > 4 for unit in sent_to) >= 12
