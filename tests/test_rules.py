"""The five rules of the policy (loftroute/decision/policy.py) at their limits, as one instance keeps them."""

import random

import pytest

from tests.harness import MS, SECOND, Relay, named, setup

FINAL_ANSWERS = ("NOT_NOW", "FINISH_ERROR")


# ---- rule 1: every request gets one final answer by its deadline


def test_every_request_ends_once_and_no_attempt_is_sent_afterwards():
    random_source = random.Random(3)
    relay = Relay()
    relay.fleet(5, 2)
    relay.news()
    ended: dict[str, int] = {}
    asked: list[str] = []

    def check(actions: list[list[str]]) -> None:
        for name, ref, *_ in [a for a in actions if a[0] in ("FORWARD", *FINAL_ANSWERS)]:
            assert ref not in ended, "sent or ended again after its end"
            if name in FINAL_ANSWERS:
                ended[ref] = relay.now

    deadlines: dict[str, int] = {}
    for _ in range(600):
        cls = random_source.randrange(3)
        ref, actions = relay.ask(cls, left=2 * SECOND)
        deadlines[ref] = relay.now + 2 * SECOND
        asked.append(ref)
        check(actions)
        for open_ref in [r for r in asked if r not in ended and any(key[0] == r for key in relay.open)]:
            if random_source.random() < 0.5:
                outcome = random_source.choice(
                    ["Ok", "Ok", "Failed", "QueueFull", "TimedOut", "ConnectError"]
                )
                actions = relay.answer(open_ref, outcome)
                if outcome == "Ok":
                    assert not [a for a in actions if a[0] in FINAL_ANSWERS]
                    ended[open_ref] = relay.now
                check(actions)
        check(relay.wait(20 * MS))
    for ref in [r for r in asked if r not in ended]:
        relay.now = deadlines[ref] if relay.now < deadlines[ref] else relay.now
        while any(key[0] == ref for key in relay.open):
            check(relay.answer(ref, "TimedOut"))
    check(relay.wait(3 * SECOND))
    assert set(ended) == set(asked)


@pytest.mark.parametrize("cls", [0, 1, 2])
def test_a_time_out_at_the_deadline_is_answered_in_the_same_batch(cls):
    relay = Relay()
    relay.fleet(3)
    ref, _ = relay.ask(cls, left=SECOND)
    relay.now += SECOND
    assert [a[0] for a in relay.answer(ref, "TimedOut") if a[0] in FINAL_ANSWERS] != []


def test_with_no_server_a_request_is_held_then_ended_before_its_deadline():
    relay = Relay()
    ref, actions = relay.ask(2, left=700 * MS)
    assert not [a for a in actions if a[0] in FINAL_ANSWERS]
    ends = [a for a in relay.wait(700 * MS) if a[0] in FINAL_ANSWERS]
    assert ends == [["NOT_NOW", ref, ends[0][2]]]


def test_a_held_request_goes_out_once_a_server_is_listed():
    relay = Relay()
    ref, _ = relay.ask()
    relay.fleet(1)
    assert [a[1] for a in named(relay.wait(100 * MS), "FORWARD")] == [ref]


# ---- rule 2: no request that has an effect runs twice


@pytest.mark.parametrize("outcome", ["Failed", "TimedOut", "ResetByPeer", "Canceled"])
def test_an_unsafe_request_that_may_have_run_fails_and_is_not_sent_again_or_refused(outcome):
    relay = Relay()
    relay.fleet(4)
    ref, _ = relay.ask(2)
    actions = relay.answer(ref, outcome)
    assert ["FINISH_ERROR", ref] in actions
    assert not named(actions, "FORWARD") and not named(actions, "NOT_NOW")


@pytest.mark.parametrize("outcome", ["QueueFull", "ConnectError", "Ignored"])
def test_an_unsafe_request_that_did_not_run_is_sent_to_another_server(outcome):
    relay = Relay()
    relay.fleet(4)
    ref, actions = relay.ask(2)
    retries = named(relay.answer(ref, outcome), "FORWARD")
    assert retries and retries[0][2] != named(actions, "FORWARD")[0][2]


def test_an_unsafe_request_gets_all_the_time_that_is_left():
    relay = Relay()
    relay.fleet(4)
    _, actions = relay.ask(2, left=3 * SECOND)
    assert int(named(actions, "FORWARD")[0][3]) == 3 * SECOND


def test_a_keyed_request_is_retried_in_its_own_zone_only():
    relay = Relay()
    relay.servers(*(f"{n // 3} 1 healthy 0 1 {n} 0 0" for n in range(1, 5)))
    for _ in range(40):
        ref, actions = relay.ask(1)
        in_second_zone = int(named(actions, "FORWARD")[0][2]) > 2
        for retry in named(relay.answer(ref, "Failed"), "FORWARD"):
            assert (int(retry[2]) > 2) == in_second_zone
            relay.answer(ref, "Ok")
        relay.wait(50 * MS)


def test_what_is_known_of_zones_goes_with_their_units():
    """Guards against memory that grows where each list names other zones."""
    relay = Relay()
    for zone in range(50):
        relay.servers(f"{zone} 1 healthy 0 1 {zone} 0 0")
        ref, _ = relay.ask()
        relay.answer(ref, "Ok")
        relay.wait(SECOND)
    assert len(relay.instance.zone_slowdowns) < 20


def test_a_keyed_request_is_retried_in_its_own_cell_only():
    settings = setup()
    settings["services"][1]["group"] = "cell"
    relay = Relay(settings)
    relay.servers("0 1 healthy 0 1 1 0 0", "0 1 healthy 0 1 2 0 1")
    for _ in range(20):
        ref, actions = relay.ask(1)
        for retry in named(relay.answer(ref, "Failed"), "FORWARD"):
            assert retry[2] == named(actions, "FORWARD")[0][2]
            relay.answer(ref, "Ok")
        relay.wait(50 * MS)


def test_a_keyed_request_past_its_key_window_fails_and_is_not_refused():
    settings = setup()
    settings["services"][1] |= {"aim": 4 * SECOND, "window": 300 * MS}
    relay = Relay(settings)
    relay.fleet(4)
    ref, _ = relay.ask(1, left=4 * SECOND)
    relay.wait(400 * MS)
    actions = relay.answer(ref, "Failed") + relay.wait(4 * SECOND)
    assert not named(actions, "FORWARD") and not named(actions, "NOT_NOW")
    assert named(actions, "FINISH_ERROR") == [["FINISH_ERROR", ref]]


def test_a_request_never_has_two_attempts_outstanding():
    relay = Relay()
    relay.fleet(4)
    ref, _ = relay.ask(0)
    assert not named(relay.wait(500 * MS), "FORWARD")
    assert len(named(relay.answer(ref, "TimedOut", over=0), "FORWARD")) <= 1


# ---- rule 3: draining servers get no new attempts


@pytest.mark.parametrize("state", ["cordoned", "deregistered"])
def test_a_server_gets_nothing_from_the_batch_on_that_lists_it_as_leaving(state):
    relay = Relay()
    relay.fleet(2)
    relay.servers(f"0 1 {state} 0 1 1 0 0", kind="update")
    assert {a[2] for a in named(relay.serve(40), "FORWARD")} == {"2"}


def test_a_server_missing_from_a_full_list_is_gone():
    relay = Relay()
    relay.fleet(2)
    relay.servers("0 1 healthy 0 1 2 0 0")
    assert {a[2] for a in named(relay.serve(40), "FORWARD")} == {"2"}


# ---- rule 4: cold servers get a bounded amount of work


def test_an_overload_sends_a_cold_server_no_more_than_its_bound():
    """In any overload window the work sent to a cold server stays within this instance's part."""
    relay = Relay()
    relay.fleet(4)
    relay.serve(150)
    start = relay.now
    relay.servers(f"0 1 healthy {start} 1 9 0 0", kind="update")
    sent_at: list[int] = []
    finished = 0
    for _ in range(400):  # 200 a second, of which the warm servers finish only a part
        _, actions = relay.ask(0)
        sent_at += [relay.now for a in named(actions, "FORWARD") if a[2] == "9"]
        if relay.count % 4 == 0:
            for open_ref, _number in list(relay.open)[:1]:
                finished += 1
                relay.answer(open_ref)
        relay.wait(5 * MS)
    most_per_second = max(
        sum(1 for t in sent_at if start_at <= t < start_at + SECOND) for start_at in sent_at
    )
    # The overload multiple x the milliseconds of work that a warm server finishes for this instance, doubled.
    assert most_per_second * 50 <= 2.5 * 1000 * 2
    assert most_per_second < 30


def test_a_server_that_returns_from_silence_counts_as_cold_before_the_list_says_so():
    relay = Relay()
    relay.fleet(5)
    relay.serve(100)
    unanswered: list[str] = []
    for _ in range(500):
        ref, actions = relay.ask(0)
        destination = named(actions, "FORWARD")
        if destination and destination[0][2] == "5":
            unanswered.append(ref)
        elif destination:
            relay.answer(ref)
        relay.wait(20 * MS)
    assert unanswered
    returned_at = relay.now
    for ref in [r for r in unanswered if any(key[0] == r for key in relay.open)]:
        relay.answer(ref)
    sent_to_returned = []
    for _ in range(60):
        ref, actions = relay.ask(0)
        destination = named(actions, "FORWARD")[0][2]
        sent_to_returned.append(destination == "5")
        relay.answer(ref)
        relay.wait(5 * MS)
    assert relay.now - returned_at < SECOND
    assert sum(sent_to_returned) / len(sent_to_returned) < 0.2


# ---- rule 5: attempts at builds on trial stay within the cap


def count_exposed_attempts(relay: Relay, cap: float, free: float, length: int, steps: int, seed: int) -> int:
    """Play uneven traffic, check every span that ends or starts at an attempt, and count the attempts."""
    random_source = random.Random(seed)
    request_times: list[int] = []
    attempt_times: list[int] = []
    for _ in range(steps):
        ref, actions = relay.ask(random_source.randrange(3))
        request_times.append(relay.now)
        for _ in range(6):
            attempt_times += [relay.now for a in named(actions, "FORWARD") if int(a[2]) > 100]
            if not any(key[0] == ref for key in relay.open):
                break
            actions = relay.answer(ref, random_source.choice(["Ok", "Ok", "QueueFull", "Failed"]))
        relay.wait(
            random_source.choice([2, 5, 10, 300, 900]) * MS if random_source.random() < 0.3 else 4 * MS
        )
    for at in attempt_times:
        for low, high in ((at - length, at), (at, at + length)):
            attempts = sum(low <= t <= high for t in attempt_times)
            requests = sum(low <= t <= high for t in request_times)
            assert attempts <= free + cap * requests + 1e-9
    return len(attempt_times)


@pytest.mark.parametrize(("cap", "free"), [(0.05, 1), (0.2, 2), (0.5, 1), (1.0, 2)])
def test_attempts_on_trial_stay_within_free_plus_cap_in_every_span(cap, free):
    relay = Relay(setup(family_info__allowance=free))
    relay.fleet(3, 3)
    relay.news(cap=cap)
    assert count_exposed_attempts(relay, cap, free, 2 * SECOND, 500, 7) > 5


def test_a_build_that_the_platform_has_not_named_counts_as_in_stage_0():
    relay = Relay()
    relay.fleet(3, 3)
    relay.news(phase=2, stage=2, cap=1.0, build=1)
    assert count_exposed_attempts(relay, 0.2, 2, 2 * SECOND, 500, 8) > 5


def test_before_any_news_the_newest_of_two_builds_counts_as_on_trial():
    relay = Relay()
    relay.fleet(3, 3)
    assert count_exposed_attempts(relay, 0.2, 2, 2 * SECOND, 500, 9) > 5


def test_a_lower_cap_applies_at_once_and_a_cap_of_0_closes_the_build():
    relay = Relay()
    relay.fleet(3, 3)
    relay.news(cap=1.0, stage=2)
    assert any(int(a[2]) > 100 for a in named(relay.serve(60), "FORWARD"))
    relay.news(phase=1, cap=0.0, stage=2)
    assert not any(int(a[2]) > 100 for a in named(relay.serve(100), "FORWARD"))


def test_a_released_build_gets_all_requests():
    relay = Relay()
    relay.fleet(0, 3)
    relay.news(phase=2, stage=2, cap=1.0)
    assert len(named(relay.serve(50), "FORWARD")) == 50


def test_the_first_stages_are_closed_to_requests_that_are_not_safe():
    relay = Relay(setup(family_info__safe_only_stages=1))
    relay.fleet(2, 2)
    relay.news(cap=1.0)
    for cls in (1, 2):
        assert not any(int(a[2]) > 100 for a in named(relay.serve(60, cls=cls), "FORWARD"))
    assert any(int(a[2]) > 100 for a in named(relay.serve(60, cls=0), "FORWARD"))
    relay.news(cap=1.0, stage=1)
    assert any(int(a[2]) > 100 for a in named(relay.serve(60, cls=2), "FORWARD"))


def test_the_cap_may_hold_for_each_class_by_itself():
    relay = Relay(setup(family_info__cap_scope="each_class", family_info__allowance=1))
    relay.fleet(1, 4)
    relay.news(cap=0.2)
    relay.serve(200, cls=0)
    sends = named(relay.serve(5, cls=2), "FORWARD")
    assert sum(int(a[2]) > 100 for a in sends) <= 2


def test_a_key_stays_on_the_build_that_answered_after_the_client_had_left():
    """Guards against an earlier build for a key whose client left before the new one answered (review/10)."""
    relay = Relay(setup(family_info__forward_only=True))
    relay.fleet(1, 1)
    relay.news(cap=1.0, stage=2)
    answered_by_new = []
    for n in range(40):
        ref, actions = relay.ask(0, key=f"key-{n}", left=SECOND)
        at_new = [send[2] for send in named(actions, "FORWARD")] == ["101"]
        if at_new:
            relay.event("CLIENT_GONE", ref)
        relay.answer(ref, over=1)
        answered_by_new += [f"key-{n}"] * at_new
        relay.wait(100 * MS)
    assert len(answered_by_new) > 5
    for key in answered_by_new * 3:
        ref, actions = relay.ask(0, key=key)
        assert {send[2] for send in named(actions, "FORWARD")} <= {"101"}
        if named(actions, "FORWARD"):
            relay.answer(ref)
        relay.wait(100 * MS)


def test_a_key_stays_on_the_newest_build_that_served_it_until_that_is_rolled_back():
    relay = Relay(setup(family_info__forward_only=True))
    relay.fleet(1, 1)
    relay.news(cap=1.0, stage=2)
    servers: list[str] = []
    for _ in range(60):
        ref, actions = relay.ask(0, key="s-one")
        sends = named(actions, "FORWARD")
        if sends:
            servers.append(sends[0][2])
            relay.answer(ref)
        relay.wait(30 * MS)
    first_at_trial = servers.index("101")
    assert set(servers[first_at_trial:]) == {"101"}
    relay.news(phase=1, cap=0.0, stage=2)
    ref, actions = relay.ask(0, key="s-one")
    assert named(actions, "FORWARD")[0][2] == "1"
