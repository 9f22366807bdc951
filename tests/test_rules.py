"""The five rules, at their edges, as one instance keeps them alone."""

import random

import pytest

from tests.harness import MS, SECOND, Relay, named, setup

ENDS = ("NOT_NOW", "FINISH_ERROR")


# ---- 1: no request is lost


def test_every_request_ends_once_and_nothing_is_sent_after():
    draw = random.Random(3)
    relay = Relay()
    relay.fleet(5, 2)
    relay.news()
    ended: dict[str, int] = {}
    live: list[str] = []

    def note(actions: list[list[str]]) -> None:
        for name, ref, *_ in [a for a in actions if a[0] in ("FORWARD", *ENDS)]:
            assert ref not in ended, "sent or ended again after its end"
            if name in ENDS:
                ended[ref] = relay.now

    due: dict[str, int] = {}
    for _ in range(600):
        cls = draw.randrange(3)
        ref, actions = relay.ask(cls, left=2 * SECOND)
        due[ref] = relay.now + 2 * SECOND
        live.append(ref)
        note(actions)
        for old in [r for r in live if r not in ended and any(k[0] == r for k in relay.open)]:
            if draw.random() < 0.5:
                how = draw.choice(["Ok", "Ok", "Failed", "QueueFull", "TimedOut", "ConnectError"])
                actions = relay.answer(old, how)
                if how == "Ok":
                    assert not [a for a in actions if a[0] in ENDS]
                    ended[old] = relay.now
                note(actions)
        note(relay.wait(20 * MS))
    for ref in [r for r in live if r not in ended]:
        relay.now = due[ref] if relay.now < due[ref] else relay.now
        while any(k[0] == ref for k in relay.open):
            note(relay.answer(ref, "TimedOut"))
    note(relay.wait(3 * SECOND))
    assert set(ended) == set(live)


@pytest.mark.parametrize("cls", [0, 1, 2])
def test_the_deadline_s_own_time_out_is_answered_in_the_same_batch(cls):
    relay = Relay()
    relay.fleet(3)
    ref, _ = relay.ask(cls, left=SECOND)
    relay.now += SECOND
    assert [a[0] for a in relay.answer(ref, "TimedOut") if a[0] in ENDS] != []


def test_with_no_server_a_request_is_held_then_ended_before_its_deadline():
    relay = Relay()
    ref, actions = relay.ask(2, left=700 * MS)
    assert not [a for a in actions if a[0] in ENDS]
    ends = [a for a in relay.wait(700 * MS) if a[0] in ENDS]
    assert ends == [["NOT_NOW", ref, ends[0][2]]]


def test_a_held_request_goes_out_once_a_server_is_listed():
    relay = Relay()
    ref, _ = relay.ask()
    relay.fleet(1)
    assert [a[1] for a in named(relay.wait(100 * MS), "FORWARD")] == [ref]


# ---- 2: no effect twice


@pytest.mark.parametrize("how", ["Failed", "TimedOut", "ResetByPeer", "Canceled"])
def test_unsafe_work_that_may_have_run_is_failed_and_never_sent_or_refused(how):
    relay = Relay()
    relay.fleet(4)
    ref, _ = relay.ask(2)
    actions = relay.answer(ref, how)
    assert ["FINISH_ERROR", ref] in actions
    assert not named(actions, "FORWARD") and not named(actions, "NOT_NOW")


@pytest.mark.parametrize("how", ["QueueFull", "ConnectError", "Ignored"])
def test_unsafe_work_that_never_ran_may_go_elsewhere(how):
    relay = Relay()
    relay.fleet(4)
    ref, first = relay.ask(2)
    again = named(relay.answer(ref, how), "FORWARD")
    assert again and again[0][2] != named(first, "FORWARD")[0][2]


def test_unsafe_work_gets_all_the_time_that_is_left():
    relay = Relay()
    relay.fleet(4)
    _, actions = relay.ask(2, left=3 * SECOND)
    assert int(named(actions, "FORWARD")[0][3]) == 3 * SECOND


def test_keyed_work_stays_in_its_zone_and_its_window():
    relay = Relay()
    relay.servers(*(f"{n // 3} 1 healthy 0 1 {n} 0 0" for n in range(1, 5)))
    for _ in range(40):
        ref, first = relay.ask(1)
        zone = int(named(first, "FORWARD")[0][2]) > 2
        for again in named(relay.answer(ref, "Failed"), "FORWARD"):
            assert (int(again[2]) > 2) == zone
            relay.answer(ref, "Ok")
        relay.wait(50 * MS)


def test_keyed_work_of_one_cell_is_not_repeated_in_another():
    settings = setup()
    settings["services"][1]["group"] = "cell"
    relay = Relay(settings)
    relay.servers("0 1 healthy 0 1 1 0 0", "0 1 healthy 0 1 2 0 1")
    for _ in range(20):
        ref, first = relay.ask(1)
        for again in named(relay.answer(ref, "Failed"), "FORWARD"):
            assert again[2] == named(first, "FORWARD")[0][2]
            relay.answer(ref, "Ok")
        relay.wait(50 * MS)


def test_keyed_work_past_its_window_is_failed_and_not_refused():
    settings = setup()
    settings["services"][1] |= {"aim": 4 * SECOND, "window": 300 * MS}
    relay = Relay(settings)
    relay.fleet(4)
    ref, _ = relay.ask(1, left=4 * SECOND)
    relay.wait(400 * MS)
    actions = relay.answer(ref, "Failed") + relay.wait(4 * SECOND)
    assert not named(actions, "FORWARD") and not named(actions, "NOT_NOW")
    assert named(actions, "FINISH_ERROR") == [["FINISH_ERROR", ref]]


def test_never_two_attempts_out_together():
    relay = Relay()
    relay.fleet(4)
    ref, _ = relay.ask(0)
    assert not named(relay.wait(500 * MS), "FORWARD")
    assert len(named(relay.answer(ref, "TimedOut", over=0), "FORWARD")) <= 1


# ---- 3: drains


@pytest.mark.parametrize("state", ["cordoned", "deregistered"])
def test_nothing_goes_to_a_server_from_the_batch_on_that_says_it_leaves(state):
    relay = Relay()
    relay.fleet(2)
    relay.servers(f"0 1 {state} 0 1 1 0 0", kind="update")
    assert {a[2] for a in named(relay.serve(40), "FORWARD")} == {"2"}


def test_a_server_that_a_whole_list_leaves_out_is_gone():
    relay = Relay()
    relay.fleet(2)
    relay.servers("0 1 healthy 0 1 2 0 0")
    assert {a[2] for a in named(relay.serve(40), "FORWARD")} == {"2"}


# ---- 4: cold servers


def test_an_overload_does_not_push_over_a_cold_server():
    """In any window of the stated length the work sent to it stays within this instance's part."""
    relay = Relay()
    relay.fleet(4)
    relay.serve(150)
    start = relay.now
    relay.servers(f"0 1 healthy {start} 1 9 0 0", kind="update")
    sent: list[int] = []
    done = 0
    for _ in range(400):  # 200 a second, of which the warm servers finish only a part
        _, actions = relay.ask(0)
        sent += [relay.now for a in named(actions, "FORWARD") if a[2] == "9"]
        if relay.count % 4 == 0:
            for old, _number in list(relay.open)[:1]:
                done += 1
                relay.answer(old)
        relay.wait(5 * MS)
    busiest = max(sum(1 for t in sent if at <= t < at + SECOND) for at in sent)
    assert busiest * 50 <= 2.5 * 1000 * 2  # multiple x what a warm server finishes for this instance, doubled
    assert busiest < 30


def test_a_server_back_from_silence_counts_as_cold_before_the_list_says_so():
    relay = Relay()
    relay.fleet(5)
    relay.serve(100)
    lost: list[str] = []
    for _ in range(500):
        ref, actions = relay.ask(0)
        where = named(actions, "FORWARD")
        if where and where[0][2] == "5":
            lost.append(ref)
        elif where:
            relay.answer(ref)
        relay.wait(20 * MS)
    assert lost
    back = relay.now
    for ref in [r for r in lost if any(k[0] == r for k in relay.open)]:
        relay.answer(ref)
    share = []
    for _ in range(60):
        ref, actions = relay.ask(0)
        where = named(actions, "FORWARD")[0][2]
        share.append(where == "5")
        relay.answer(ref)
        relay.wait(5 * MS)
    assert relay.now - back < SECOND
    assert sum(share) / len(share) < 0.2


# ---- 5: exposure


def exposure(relay: Relay, cap: float, free: float, length: int, steps: int, seed: int) -> int:
    """Plays uneven traffic and checks every span that ends or starts at an attempt."""
    draw = random.Random(seed)
    taken: list[int] = []
    tried: list[int] = []
    for _ in range(steps):
        ref, actions = relay.ask(draw.randrange(3))
        taken.append(relay.now)
        for _ in range(6):
            tried += [relay.now for a in named(actions, "FORWARD") if int(a[2]) > 100]
            if not any(k[0] == ref for k in relay.open):
                break
            actions = relay.answer(ref, draw.choice(["Ok", "Ok", "QueueFull", "Failed"]))
        relay.wait(draw.choice([2, 5, 10, 300, 900]) * MS if draw.random() < 0.3 else 4 * MS)
    for at in tried:
        for low, high in ((at - length, at), (at, at + length)):
            attempts = sum(low <= t <= high for t in tried)
            requests = sum(low <= t <= high for t in taken)
            assert attempts <= free + cap * requests + 1e-9
    return len(tried)


@pytest.mark.parametrize(("cap", "free"), [(0.05, 1), (0.2, 2), (0.5, 1), (1.0, 2)])
def test_attempts_on_trial_stay_within_free_plus_cap_in_every_span(cap, free):
    relay = Relay(setup(family_info__allowance=free))
    relay.fleet(3, 3)
    relay.news(cap=cap)
    assert exposure(relay, cap, free, 2 * SECOND, 500, 7) > 5


def test_a_build_not_yet_named_counts_as_in_stage_0():
    relay = Relay()
    relay.fleet(3, 3)
    relay.news(phase=2, stage=2, cap=1.0, build=1)
    assert exposure(relay, 0.2, 2, 2 * SECOND, 500, 8) > 5


def test_before_any_news_the_newest_of_two_builds_counts_as_on_trial():
    relay = Relay()
    relay.fleet(3, 3)
    assert exposure(relay, 0.2, 2, 2 * SECOND, 500, 9) > 5


def test_a_lower_cap_binds_at_once_and_0_shuts_the_build():
    relay = Relay()
    relay.fleet(3, 3)
    relay.news(cap=1.0, stage=2)
    assert any(int(a[2]) > 100 for a in named(relay.serve(60), "FORWARD"))
    relay.news(phase=1, cap=0.0, stage=2)
    assert not any(int(a[2]) > 100 for a in named(relay.serve(100), "FORWARD"))


def test_a_released_build_is_open_to_all():
    relay = Relay()
    relay.fleet(0, 3)
    relay.news(phase=2, stage=2, cap=1.0)
    assert len(named(relay.serve(50), "FORWARD")) == 50


def test_guarded_stages_are_closed_to_what_is_not_safe():
    relay = Relay(setup(family_info__safe_only_stages=1))
    relay.fleet(2, 2)
    relay.news(cap=1.0)
    for cls in (1, 2):
        assert not any(int(a[2]) > 100 for a in named(relay.serve(60, cls=cls), "FORWARD"))
    assert any(int(a[2]) > 100 for a in named(relay.serve(60, cls=0), "FORWARD"))
    relay.news(cap=1.0, stage=1)
    assert any(int(a[2]) > 100 for a in named(relay.serve(60, cls=2), "FORWARD"))


def test_the_cap_may_count_each_class_by_itself():
    relay = Relay(setup(family_info__cap_scope="each_class", family_info__allowance=1))
    relay.fleet(1, 4)
    relay.news(cap=0.2)
    relay.serve(200, cls=0)
    seen = named(relay.serve(5, cls=2), "FORWARD")
    assert sum(int(a[2]) > 100 for a in seen) <= 2


def test_keys_only_go_forward_until_the_build_goes_back():
    relay = Relay(setup(family_info__forward_only=True))
    relay.fleet(1, 1)
    relay.news(cap=1.0, stage=2)
    where: list[str] = []
    for _ in range(60):
        ref, actions = relay.ask(0, key="s-one")
        sends = named(actions, "FORWARD")
        if sends:
            where.append(sends[0][2])
            relay.answer(ref)
        relay.wait(30 * MS)
    first_new = where.index("101")
    assert set(where[first_new:]) == {"101"}
    relay.news(phase=1, cap=0.0, stage=2)
    ref, actions = relay.ask(0, key="s-one")
    assert named(actions, "FORWARD")[0][2] == "1"
