"""Keys that never return to an earlier build: exact while few, never forgotten and bounded while many."""

import tracemalloc

from hypothesis import given, settings
from hypothesis import strategies as st

from loftroute.decision.served_keys import BloomFilter, ServedKeys
from tests.harness import MS, Relay, named, setup


def served_keys(max_exact=8, max_filters=3, size_exponent=16):
    return ServedKeys(max_exact, max_filters, lambda: BloomFilter(size_exponent, 4))


@settings(derandomize=True, max_examples=100, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 40), st.integers(1, 3)), max_size=120))
def test_no_key_is_forgotten_however_many_come(answers):
    keys, newest = served_keys(), {}
    for key, build in answers:
        keys.record(f"key{key}", build)
        newest[key] = max(build, newest.get(key, 0))
    assert all(keys.min_build(f"key{key}") >= build for key, build in newest.items())
    assert len(keys) <= 8 and keys.min_build(None) == 0


def test_hardly_any_key_is_taken_for_another():
    keys = served_keys(size_exponent=20)
    for n in range(20_000):
        keys.record(f"key{n}", 2)
    assert all(keys.min_build(f"key{n}") == 2 for n in range(20_000))
    assert sum(keys.min_build(f"other{n}") > 0 for n in range(20_000)) < 200


def test_keys_of_the_lowest_build_are_forgotten():
    keys = served_keys(max_exact=2)
    for n in range(6):
        keys.record(f"old{n}", 1)
        keys.record(f"new{n}", 2)
    keys.forget_up_to(1)
    assert {keys.min_build(f"old{n}") for n in range(6)} == {0}
    assert {keys.min_build(f"new{n}") for n in range(6)} == {2}
    keys.clear()
    assert {keys.min_build(f"new{n}") for n in range(6)} == {0}


def test_ever_new_keys_leave_the_memory_bounded():
    """Guards against memory that grows with each new key while a release goes forward only."""
    keys = served_keys(max_exact=1000, size_exponent=20)
    tracemalloc.start()
    for n in range(30_000):
        keys.record(f"{n:064}", 1 + n % 2)
    before, _ = tracemalloc.get_traced_memory()
    for n in range(30_000, 60_000):
        keys.record(f"{n:064}", 1 + n % 2)
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert after - before < 100_000  # an entry for each key would take 6 MB
    assert len(keys) == 1000


def test_a_key_among_many_does_not_return_to_an_earlier_build():
    """Guards against forgetting the build of a key to save the memory."""
    relay = Relay(setup(family_info__forward_only=True))
    relay.instance.served_keys = served_keys(max_exact=50, size_exponent=20)
    relay.fleet(2, 2)
    relay.news(cap=1.0, stage=2)

    def servers_of(key):
        ref, actions = relay.ask(0, key=key)
        servers = [int(send[2]) for send in named(actions, "FORWARD")]
        if servers:
            relay.answer(ref)
        relay.wait(10 * MS)
        return servers

    by_new = [n for n in range(1000) if any(server > 100 for server in servers_of(f"key{n}"))]
    assert 100 < len(by_new) < 900 and len(relay.instance.served_keys) == 50
    for n in by_new[::4]:
        assert all(server > 100 for server in servers_of(f"key{n}"))
