"""Platforms whose news and answers to votes come late, in pieces or never (issue 60)."""

import pytest

from loftroute.config import ControlAddresses
from loftroute.decision import interface as i
from loftroute.decision.state import SentVote
from tests.stepped import SECOND
from tests.stepped_platform import SteppedPlatform, state

SILENCE_S = 2.5  # a stream without data for this long is followed by another


@pytest.fixture
def start(world):
    """Return a function that starts a relay with a platform that it knows."""
    platforms = []

    def make(**attributes):
        relay = world(units=2)
        platform = SteppedPlatform(relay)
        platforms.append(platform)
        for name, value in attributes.items():
            setattr(platform, name, value)
        relay.relay._attach_platform(platform.address)
        return relay, platform

    yield make
    for platform in platforms:
        platform.close()


def stage(relay) -> int | None:
    """Return the stage that the decision module knows; None without news."""
    news = relay.relay.balancer.release_state
    return news.stage if news else None


def told_after(relay, platform, at_most_s: float) -> float:
    """Return after how many seconds the platform's stage is known; fail beyond `at_most_s`."""
    started_at = relay.clock.now()
    while stage(relay) != platform.state["tranche"]:
        platform.run(20)
        elapsed = (relay.clock.now() - started_at) / SECOND
        assert elapsed <= at_most_s, f"stage {platform.state['tranche']} not known after {elapsed:.2f} s"
    return (relay.clock.now() - started_at) / SECOND


@pytest.mark.parametrize("delay_s", [0.7, 2.0, 2.6, 4.0, 8.0])
def test_a_platform_that_tells_everything_late_is_heard(start, delay_s):
    """Guards against closing each stream before its first word: a lower cap would never be known."""
    relay, platform = start(delay_ns=int(delay_s * SECOND))
    told_after(relay, platform, delay_s + 0.2)
    for number in (1, 2, 3):
        platform.run(3000)
        platform.change(tranche=number, exposure=0.2 + number / 5)
        told_after(relay, platform, delay_s + 0.2)
    assert len(platform.peers) == 1  # the streams beside the one that is heard are closed
    assert len(platform.streams) <= 1 + delay_s / SILENCE_S


@pytest.mark.parametrize("spread_s", [0.9, 3.0, 6.0])
def test_news_that_come_in_pieces_are_heard(start, spread_s):
    """Guards against closing a stream whose line has begun to come."""
    relay, platform = start(spread_ns=int(spread_s * SECOND))
    told_after(relay, platform, spread_s + 0.2)
    platform.run(5000)
    platform.change(tranche=1)
    told_after(relay, platform, 2 * spread_s + 0.2)  # a line that has begun comes first


@pytest.mark.parametrize("silent_s", [1.0, 4.0, 20.0])
def test_a_platform_that_was_silent_and_forgot_its_streams_is_heard(start, silent_s):
    """Guards against waiting for an old stream only, which may never bring anything again."""
    relay, platform = start()
    platform.run(2000)
    platform.silent = True
    platform.run(silent_s * 1000)
    assert len(platform.peers) <= 4
    assert len(platform.streams) <= 2 + silent_s / SILENCE_S
    platform.silent = False
    platform.change(tranche=1)
    told_after(relay, platform, SILENCE_S + 0.5)
    platform.run(100)
    assert len(platform.peers) == 1


def test_an_old_stream_never_takes_back_what_a_newer_one_has_told(start):
    """Guards against older news after newer news: pushed news is always taken over."""
    relay, platform = start()
    platform.run(1000)
    platform.delay_ns = 4 * SECOND
    platform.change(tranche=1)  # comes 4 s late on the first stream, and all that follows on it
    platform.delay_ns = 0
    platform.change(tranche=2)
    told_after(relay, platform, SILENCE_S + 0.2)  # on a second stream
    for _ in range(300):
        platform.run(20)
        assert stage(relay) == 2
    assert len(platform.peers) == 1


def test_a_stream_that_is_heard_again_closes_the_newer_ones(start):
    """Guards against the first state of a newer stream, made earlier but later to arrive."""
    relay, platform = start()
    platform.run(1000)
    (first,) = platform.peers
    first.is_forgotten = True
    platform.delay_ns = 5 * SECOND  # the next stream's first state: stage 0
    platform.run(3000)
    assert len(platform.peers) == 2
    platform.delay_ns, first.is_forgotten = 0, False
    first.queue.clear()
    platform.change(tranche=1)
    told_after(relay, platform, 0.2)
    for _ in range(300):
        platform.run(20)
        assert stage(relay) == 1


def test_the_old_platform_is_heard_until_the_new_one_is(start):
    """Guards against a gap in the news after a reload, also if the new platform is slow."""
    relay, platform = start()
    platform.run(1000)
    other = SteppedPlatform(relay)
    other.state, other.delay_ns = state(3, 0.8), 4 * SECOND
    relay.relay._apply_addresses(ControlAddresses(relay.relay.discovery._address, other.address))

    def run(ms):
        for _ in range(int(ms / 20)):
            platform.run(20)
            other.turn()

    run(1000)
    platform.change(tranche=1)
    run(200)
    assert stage(relay) == 1
    run(4000)
    assert stage(relay) == 3 and len(other.peers) == 1
    run(100)
    assert not platform.peers
    other.close()


def test_the_late_answer_to_a_vote_still_tells_the_state(start):
    """Guards against closing each vote's connection before its answer, the only news of a silent stream."""
    relay, platform = start()
    platform.run(500)
    for peer in platform.peers:
        peer.is_forgotten = True
    platform.delay_ns = int(1.7 * SECOND)  # the settings wait for one second
    platform.state = state(1, 0.5)
    relay.relay.votes.mailbox.put(i.Vote(0, 42, i.Verdict.ON))
    platform.run(1200)
    assert relay.relay.votes.failures == 1 and stage(relay) == 0
    platform.run(700)
    assert stage(relay) == 1
    assert relay.relay.votes.late_answers == 1


def test_a_late_answer_settles_no_vote_and_is_dropped_once_another_vote_is_sent(start):
    """Guards against the answer to one vote being taken for that to the next."""
    relay, platform = start()
    platform.run(500)
    votes, balancer = relay.relay.votes, relay.relay.balancer
    platform.delay_ns = 3 * SECOND
    votes.mailbox.put(i.Vote(0, 42, i.Verdict.ON))
    platform.run(1200)
    votes.mailbox.put(i.Vote(0, 42, i.Verdict.BACK))
    platform.run(2500)  # the answer to the first one would have come
    assert votes.late_answers == 0
    balancer.last_vote = SentVote(0, 42, i.Verdict.BACK, relay.clock.now())  # as if a third were on its way
    platform.run(2000)
    assert votes.late_answers == 1 and len(platform.votes) == 2
    assert balancer.last_vote.pending and not balancer.last_vote.valid_until


def test_votes_that_follow_each_other_leave_no_connection_open(start):
    """Guards against waiting for the answers of earlier votes as well."""
    relay, platform = start()
    platform.run(500)
    platform.delay_ns = 60 * SECOND
    for _ in range(4):
        relay.relay.votes.mailbox.put(i.Vote(0, 42, i.Verdict.ON))
    platform.run(4200)
    assert len(platform.votes) == 4
    assert len(platform.peers) <= 4 + 1  # streams of changes, and the last vote
    platform.run(31_000)
    assert relay.relay.votes.late_answers == 0
    assert len(platform.peers) <= 4
