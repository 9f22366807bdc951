"""The simulator's text protocol: reading events, writing actions, and rejecting malformed input."""

import json
import os
import subprocess
import sys
from pathlib import Path

import pytest

from loftroute.bench import codec
from loftroute.decision import interface
from loftroute.module_settings import read_settings
from tests.harness import SECOND, Relay, setup

ROOT = Path(__file__).parent.parent


def run(text: str) -> subprocess.CompletedProcess[str]:
    """Run the adapter as a process on some input."""
    env = {**os.environ, "PYTHONPATH": str(ROOT)}
    return subprocess.run(
        [sys.executable, "-B", "-m", "loftroute.bench"],
        input=text,
        cwd=ROOT,
        env=env,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )


def read(line: str) -> interface.Event:
    """Read the event of a line."""
    return codec.parse(line.split(" "))


def test_the_values_of_events_are_read_in_the_protocol_s_order():
    ref = "47c260025d3a91c4"
    assert codec.parse(
        f"JOB_IN relay_3 {ref} s-k 2 1 12000000 240000000 7".split()
    ) == interface.RequestArrived(ref, "s-k", 2, 1, 12000000, 240000000, True, True)
    assert codec.parse(f"JOB_IN relay_3 {ref} - - 0 - 5 0".split()) == interface.RequestArrived(
        ref, None, 0, 0, None, 5, False, False
    )
    assert codec.parse(f"ANSWER relay_3 {ref} 0 5 Ok 18500000 1 0.5,3".split()) == interface.AttemptEnded(
        ref, 0, 5, interface.Outcome.OK, 18500000, True, (0.5, 3.0)
    )
    assert read("RELEASE_STATE relay_3 0 31 2 Ok 0.125 42 1") == interface.ReleaseNews(
        interface.Phase.TRIAL, 31, 2, interface.Outcome.OK, 0.125, 42, True
    )
    assert read("SCORECARD relay_3 42 4 125 0 180 215") == interface.Tally(42, 0, 4, 180, 125, 215)
    assert codec.parse(["DISPUTED", "relay_3", "7", "0", "24"]) == interface.AnswerDisputed(7, 0, 24)
    assert codec.parse(["HEALTH_RESULT", "relay_3", "TimedOut", "7", "24", "-"]) == interface.ProbeEnded(
        7, interface.Outcome.TIMEOUT, 24, None
    )
    assert codec.parse(["WHISPER", "relay_3", "1", "6869"]) == interface.PeerMessage(1, b"hi")
    assert codec.parse(f"FLOWING relay_3 {ref} 0 7 24".split()) == interface.StreamStarted(ref, 0, 7, 24)


def test_the_values_of_actions_are_written_in_the_protocol_s_order():
    ref = "47c260025d3a91c4"
    expected = {
        interface.Send(ref, 5, 80): f"FORWARD relay_1 {ref} 5 80",
        interface.Refuse(ref, 7): f"NOT_NOW relay_1 {ref} 7",
        interface.Fail(ref): f"FINISH_ERROR relay_1 {ref}",
        interface.Cancel(ref, 1): f"DROP_ATTEMPT relay_1 {ref} 1",
        interface.SetTimer(9, 3): "SET_ALARM relay_1 9 3",
        interface.Probe(5): "HEALTH_CHECK relay_1 5",
        interface.CloseIdle(5): "CLOSE_IDLE relay_1 5",
        interface.Tell(None, b"hi"): "NOTIFY relay_1 all 6869",
        interface.Watch(True): "LISTEN relay_1 1",
        interface.Fetch(): "SNAPSHOT relay_1",
        interface.Vote(2, 42, interface.Verdict.BACK): "BALLOT relay_1 2 42 3",
        interface.Log("two\nlines"): "JOURNAL_LINE relay_1 two lines",
    }
    assert {codec.render("relay_1", action) for action in expected} == set(expected.values())


def test_unknown_settings_are_skipped_and_absent_ones_have_defaults():
    parsed = read_settings({**setup(), "new_key": 1})
    assert parsed.release.control is interface.Control.SHARE and parsed.overload_multiple == 2.5
    defaults = read_settings({})
    assert defaults.instances == 1 and defaults.classes == () and defaults.start_capacity == 1.0
    assert (
        read_settings(setup(family_info__decided_by="automatic")).release.control is interface.Control.TIMER
    )
    assert read_settings(setup(family_info__replace_mode="replace")).release.in_place


def test_an_empty_batch_gets_an_empty_reply_and_the_end_of_input_is_clean():
    process = run("SYNC 5\nOVER_TO_YOU\n")
    assert (process.returncode, process.stdout, process.stderr) == (0, "FINISHED\n", "")


@pytest.mark.parametrize(
    ("lines", "named"),
    [
        ("HELLO 5\n", "SYNC"),
        ("SYNC 5\nJOB_IN relay_1\nOVER_TO_YOU\n", "relay_1"),
        ("SYNC 5\nWAKEUP relay_9 1\nOVER_TO_YOU\n", "never booted"),
        ("SYNC 5\nBOOT relay_1 1 {bad\nOVER_TO_YOU\n", "BOOT"),
        ("SYNC 5\nLEDGER 0 1\nOVER_TO_YOU\n", "LEDGER"),
        ("SYNC 5\nBOOT relay_1 1 {}\nNONSENSE relay_1 4\nOVER_TO_YOU\n", "NONSENSE"),
        ("SYNC 5\nBOOT relay_1 1 {}\nWAKEUP relay_1 x\nOVER_TO_YOU\n", "WAKEUP"),
        ("SYNC 5\nBOOT relay_1 1 {}\nMEMBERS relay_1 replace 1 3\nOVER_TO_YOU\n", "MEMBERS"),
        ("SYNC 5\n", "OVER_TO_YOU"),
    ],
)
def test_malformed_input_ends_the_process_with_one_line_that_names_the_fault(lines, named):
    process = run(lines)
    assert process.returncode != 0
    assert process.stderr.count("\n") == 1 and named in process.stderr
    assert process.stdout == ""


def test_a_list_number_refers_to_the_list_stored_before_the_event():
    relay = Relay()
    relay.batch(
        "LEDGER 0 1",
        "ENTRY 0 1 healthy 0 1 5 0 0",
        "MEMBERS relay_0 replace 1 0",
        "LEDGER 0 1",
        "ENTRY 0 1 healthy 0 1 6 0 0",
        "MEMBERS relay_0 replace 2 0",
    )
    _, actions = relay.ask()
    assert actions[0][2] == "6"


def test_a_kill_drops_the_instance_and_it_can_start_again_in_the_same_batch():
    relay = Relay()
    relay.fleet(2)
    ref, _ = relay.ask()
    relay.batch(
        "KILL relay_0",
        f"BOOT relay_0 9 {json.dumps(setup())}",
        "LEDGER 1 1",
        "ENTRY 0 1 healthy 0 1 7 0 0",
        "MEMBERS relay_0 restored 1 1",
    )
    assert relay.event("ANSWER", ref, 0, 1, "Ok", 5, 1, "-") == []
    assert relay.ask()[1][0][2] == "7"


def test_the_same_events_give_the_same_actions_whatever_else_the_process_hosts():
    def play(others: int) -> list[list[str]]:
        relay = Relay(seed=5)
        for n in range(1, others + 1):
            relay.batch(
                f"BOOT relay_{n} {n} {json.dumps(setup())}",
                "LEDGER 3 1",
                "ENTRY 0 1 healthy 0 1 9 0 0",
                f"MEMBERS relay_{n} replace 1 3",
            )
        relay.fleet(6, 2)
        relay.news()
        return relay.serve(60)

    assert play(0) == play(3)


def test_late_repeated_and_unknown_events_are_ignored():
    relay = Relay()
    relay.fleet(3)
    ref, _ = relay.ask()
    relay.answer(ref)
    for outcome in ("Ok", "Failed", "TimedOut"):
        assert are_only_timers_and_log_lines(relay.event("ANSWER", ref, 0, 1, outcome, 5, 1, "-"))
    assert are_only_timers_and_log_lines(relay.event("CLIENT_GONE", "f" * 16))
    assert are_only_timers_and_log_lines(relay.event("DISPUTED", 4040, 0, SECOND))
    assert are_only_timers_and_log_lines(relay.event("WAKEUP", 999))


def are_only_timers_and_log_lines(actions: list[list[str]]) -> bool:
    return all(action[0] in ("SET_ALARM", "JOURNAL_LINE") for action in actions)


def test_every_request_of_a_huge_batch_is_answered():
    relay = Relay()
    relay.fleet(8)
    lines = [f"JOB_IN relay_0 {n:016x} - - 0 50000000 {SECOND} 1" for n in range(1, 3001)]
    actions = relay.batch(*lines)
    assert len({a[1] for a in actions if a[0] in ("FORWARD", "NOT_NOW")}) == 3000
