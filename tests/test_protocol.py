"""The parsers: messages split at any byte, garbage, and the fast path compared with the general one."""

import json
import time
import tracemalloc

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from loftroute.decision import interface as i
from loftroute.lab.standins import command
from loftroute.protocol import IncompleteMessageError, ProtocolError, catalog, http1, jobs, pipeline, resp

MS = 1_000_000
NAMES = jobs.RequestNames(
    {"read": 0, "put": 1, "pay": 2}, {"acme": 0, "beta": 1}, (i.Effect.SAFE, i.Effect.KEYED, i.Effect.UNSAFE)
)
quick = settings(derandomize=True, max_examples=200, deadline=None)
texts = st.text("abcdefghij0123456789-_:/%", min_size=1, max_size=40)


def joined(pieces):
    """Return the pieces as one bytes object."""
    return b"".join(bytes(piece) for piece in pieces)


@quick
@given(st.lists(st.binary(max_size=60), min_size=1, max_size=6), st.binary(max_size=9))
def test_a_command_comes_back_as_written_and_every_shorter_part_wants_more(words, behind):
    raw = joined(resp.array(words))
    found, after = resp.parse_command(bytearray(raw + behind), 0, len(raw) + len(behind))
    assert [bytes(word) for word in found.arguments] == words and after == len(raw)
    assert bytes(found.raw) == raw and found.offsets[0] == raw.index(b"$")
    for end in range(len(raw)):
        with pytest.raises(IncompleteMessageError) as more:
            resp.parse_command(bytearray(raw), 0, end)
        assert end < more.value.total_bytes <= len(raw)


values = st.recursive(
    st.one_of(st.none(), st.binary(max_size=30), st.integers(-(10**9), 10**9)),
    lambda inner: st.lists(inner, max_size=4),
    max_leaves=8,
)


def encoded(value):
    if value is None:
        return b"$-1\r\n"
    if isinstance(value, bytes):
        return joined(resp.bulk_string(value))
    if isinstance(value, int):
        return b":%d\r\n" % value
    return b"*%d\r\n" % len(value) + b"".join(map(encoded, value))


def unwrapped(value):
    if isinstance(value, memoryview):
        return bytes(value)
    return [unwrapped(item) for item in value] if isinstance(value, list) else value


def depth(value):
    return 1 + max(map(depth, value), default=0) if isinstance(value, list) else 0


@quick
@given(values.filter(lambda value: depth(value) <= 3))
@example([b"", None, 0])
def test_a_value_comes_back_as_written_split_anywhere(value):
    raw = encoded(value)
    for parser in (resp.parse_value, resp.parse_reply):
        for end in range(len(raw)):
            with pytest.raises(IncompleteMessageError) as more:
                parser(bytearray(raw), 0, end)
            assert end < more.value.total_bytes <= len(raw)
    found, after = resp.parse_value(bytearray(raw), 0, len(raw))
    assert unwrapped(found) == value and after == len(raw)


@quick
@given(
    st.binary(max_size=120),
    st.sampled_from([b"", b"*", b"*3\r\n$", b"*4\r\n$5\r\nQ.ASK\r\n$", b"HTTP/1.1 200 "]),
)
def test_garbage_raises_nothing_but_the_parsers_own_errors(rest, head):
    data = bytearray(head + rest)
    for parser in (
        resp.parse_value,
        resp.parse_command,
        resp.parse_reply,
        http1.parse_head,
        http1.parse_chunk,
        http1.parse_response,
    ):
        try:
            parser(data, 0, len(data))
        except (IncompleteMessageError, ProtocolError):
            continue
    jobs.parse_usual_request(data, 0, len(data), NAMES)
    for reader in (catalog.Catalog({}, {}).read, pipeline.parse_change):
        with pytest.raises(ProtocolError):
            reader(b"\x00" + bytes(data))


def test_each_kind_of_unit_answer_has_its_outcome():
    def read(raw):
        found, after = resp.parse_reply(bytearray(raw), 0, len(raw))
        assert after == len(raw)
        return jobs.parse_answer(found, ("inflight", "util"))

    plain = read(b"*3\r\n$2\r\nhi\r\n$-1\r\n$-1\r\n")
    assert (plain.outcome, bytes(plain.value), bytes(plain.framed)) == (i.Outcome.OK, b"hi", b"$2\r\nhi\r\n")
    loaded = read(b"*3\r\n$2\r\nhi\r\n$-1\r\n$20\r\nutil=0.5, inflight=3\r\n")
    assert (bytes(loaded.value), loaded.load) == (b"hi", (3.0, 0.5))
    assert read(b"-BUSY\r\n").outcome is i.Outcome.FULL
    assert read(b"-ERR failed\r\n").outcome is i.Outcome.ERROR
    for raw in (b"+OK\r\n", b"$2\r\nhi\r\n", b"*1\r\n$2\r\nhi\r\n"):
        with pytest.raises(ProtocolError):
            read(raw)


requests = st.tuples(
    st.sampled_from([("Q.ASK", "read"), ("Q.DO", "put"), ("Q.DO", "pay"), ("Q.ASK", "put")]),
    texts,
    st.sampled_from(["9b1f03aa5c7e2d41", "9B1F03AA5C7E2D41", "9b1f"]),
    st.sampled_from(["acme", "beta", "x"]),
    st.integers(0, 99999),
    st.lists(st.sampled_from(["k=5c0f", "r=1", "h=700", "r=0", "z=1", "h=x"]), max_size=3),
    st.one_of(st.none(), st.binary(max_size=40)),
)


@quick
@given(requests)
@example((("Q.DO", "pay"), "k", "9b1f03aa5c7e2d41", "acme", 480, ["k=5c0f", "h=700"], b"BODY"))
def test_both_parsers_of_requests_agree(parts):
    (verb, kind), key, name, owner, wait, extras, body = parts
    listed = ",".join([f"c={kind}", f"t={owner}", f"d={wait}", *extras])
    words = [part.encode() for part in (verb, key, name, listed)] + ([] if body is None else [body])
    raw = joined(resp.array(words))
    data = bytearray(raw + b"*1")
    fast = jobs.parse_usual_request(data, 0, len(data), NAMES)
    try:
        slow = jobs.parse_request(resp.parse_command(data, 0, len(data))[0], NAMES)
    except jobs.BadRequestError:
        assert fast is None
        return
    if fast:
        job, after = fast
        assert (
            after == len(raw)
            and job.arrival_event(5) == slow.arrival_event(5)
            and job.time_left == slow.time_left
        )
        assert joined(job.encode_attempt(7 * MS)) == joined(slow.encode_attempt(7 * MS))
    sent = joined(slow.encode_attempt(7 * MS))
    again = [bytes(word) for word in resp.parse_command(bytearray(sent), 0, len(sent))[0].arguments]
    assert again[:3] == words[:3] and again[4:] == words[4:]
    assert again[3].decode() == listed.replace(f"d={wait}", "d=7")
    assert all(jobs.parse_usual_request(data, 0, end, NAMES) is None for end in range(len(raw)))


def test_a_part_of_a_large_request_costs_hardly_more_to_look_at_than_a_small_one():
    """Guards against an expression that backtracks over all of a partly read request at each piece."""

    def shortest_s(data):
        def look():
            start = time.perf_counter()
            assert jobs.parse_usual_request(data, 0, len(data), NAMES) is None
            return time.perf_counter() - start

        return min(look() for _ in range(20))

    field = b"c=put,t=acme,d=6000,k="
    words = [b"Q.DO", b"k" * resp.VALUE_LIMIT, b"0" * 16, field + b"5" * (resp.VALUE_LIMIT - len(field))]
    whole = bytearray(joined(resp.array(words)))
    small = max(shortest_s(whole[:length]) for length in (500, 1000))
    for length in (20_000, 66_000, 100_000, 131_000):
        assert shortest_s(whole[:length]) < 10 * small, length


def test_a_request_too_long_for_the_fast_path_is_parsed_all_the_same():
    raw = joined(resp.array([b"Q.DO", b"k" * 3000, b"9b1f03aa5c7e2d41", b"c=put,t=acme,d=480,k=5c", b"BODY"]))
    assert jobs.parse_usual_request(raw, 0, len(raw), NAMES) is None
    command, after = resp.parse_command(raw, 0, len(raw))
    assert after == len(raw) and jobs.parse_request(command, NAMES).key == "k" * 3000


def test_a_list_of_thousands_of_fields_is_refused_and_not_split():
    """Guards against bad clients whose lists of fields hold the relay up for milliseconds each (review/6)."""
    few = b"".join(b",x%d=" % n for n in range(jobs.FIELDS_LIMIT - 3))
    raw = command("Q.ASK", "key", "0" * 16, b"c=read,t=acme,d=5" + few)
    assert jobs.parse_request(resp.parse_command(raw, 0, len(raw))[0], NAMES).key == "key"
    raw = command("Q.ASK", "key", "0" * 16, b"c=nosuch,t=acme,d=5" + b",=" * 30_000)
    long_list, _ = resp.parse_command(raw, 0, len(raw))
    with pytest.raises(jobs.BadRequestError, match="too many fields"):
        jobs.parse_request(long_list, NAMES)


def test_a_load_report_of_thousands_of_fields_is_not_read():
    """Guards against bad units whose load reports hold the relay up for milliseconds each."""
    names, report = ("queue",), b"queue=1" + b",x=" * 20_000
    assert jobs.parse_answer([memoryview(b"V"), None, memoryview(b"queue=1")], names).load == (1.0,)
    assert jobs.parse_answer([memoryview(b"V"), None, memoryview(report)], names).load is None


def test_a_large_request_holds_nothing_but_slices_of_its_buffer():
    """Guards against copies of long keys and lists, which no bound on memory counts."""
    limit = resp.VALUE_LIMIT
    for key in (b"k" * limit, "\N{BRAIN}".encode() + b"k" * (limit - 4)):
        fields = b"c=put,t=acme,d=480,k=" + b"5" * 60_000
        raw = bytearray(joined(resp.array([b"Q.DO", key, b"9b1f03aa5c7e2d41", fields, b"BODY"])))
        tracemalloc.start()
        job = jobs.parse_request(resp.parse_command(raw, 0, len(raw))[0], NAMES)
        event, pieces = job.arrival_event(5), job.encode_attempt(480 * MS)
        held_bytes, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        assert held_bytes < 8192 and joined(pieces) == raw and job.key == key.decode()
        assert len(event.key) <= jobs.NAME_LIMIT


def test_the_decision_module_gets_equal_keys_for_equal_ones_only():
    def key_of(text):
        raw = joined(resp.array([b"Q.ASK", text, b"9b1f03aa5c7e2d41", b"c=read,t=acme,d=480"]))
        return jobs.parse_request(resp.parse_command(raw, 0, len(raw))[0], NAMES).arrival_event(5).key

    keys = [b"k" * length + end for length in (3, 62, 63, 64, 3000) for end in (b"a", b"b")]
    assert len({key_of(key) for key in keys}) == len(keys)
    for key in keys[:-2]:  # the others are too long for the fast path
        raw = joined(resp.array([b"Q.ASK", key, b"9b1f03aa5c7e2d41", b"c=read,t=acme,d=480"]))
        job, _ = jobs.parse_usual_request(raw, 0, len(raw), NAMES)
        assert job.arrival_event(5).key == key_of(key)
    assert [key_of(key) for key in keys[:6]] == [key.decode() for key in keys[:6]]


def test_the_usual_request_takes_the_fast_path():
    listed = b"c=put,t=acme,d=480,k=5c0f6e1a2b3d4c59,r=1,h=700"
    raw = joined(resp.array([b"Q.DO", b"7f3a", b"9b1f03aa5c7e2d41", listed, b"BODY"]))
    job, _ = jobs.parse_usual_request(raw, 0, len(raw), NAMES)
    assert job.arrival_event(5) == i.RequestArrived("9b1f03aa5c7e2d41", "7f3a", 0, 1, 700_000, 5, True, False)


chunks = st.lists(st.binary(min_size=1, max_size=30), max_size=4)


@quick
@given(chunks, st.booleans())
def test_a_response_comes_back_whole_split_anywhere(parts, chunked):
    body = b"".join(parts)
    if chunked:
        raw = (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            + b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts)
            + b"0\r\n\r\n"
        )
    else:
        raw = b"HTTP/1.1 429 no\r\ncontent-length: %d\r\n\r\n%b" % (len(body), body)
    for end in range(len(raw)):
        with pytest.raises(IncompleteMessageError) as more:
            http1.parse_response(bytearray(raw), 0, end)
        assert end < more.value.total_bytes <= len(raw)
    found, after = http1.parse_response(bytearray(raw), 0, len(raw))
    assert (found.status, found.body, after) == (200 if chunked else 429, body, len(raw))


ENTRY = {
    "instanceId": "s-1",
    "hostPort": "10.1.0.18:6379",
    "zone": "b",
    "machineType": "m2",
    "cell": 3,
    "lifecycle": "DRAINING",
    "weight": 1.5,
    "startedAtMs": 1700,
    "release": 41,
}


def test_a_list_is_read_and_a_name_keeps_its_number():
    known = catalog.Catalog({"a": 0, "b": 1}, {"m1": 0, "m2": 1})
    first = known.read_document({"generation": 7, "reset": True, "instances": [ENTRY]}, cached=True)
    assert first.event.kind is i.ListKind.CACHED and first.event.version == 7
    (entry,) = first.event.entries
    assert (entry.zone, entry.machine_type, entry.cell, entry.build, entry.weight) == (1, 1, 3, 41, 1.5)
    assert entry.state is i.ServerState.DRAINING and entry.started == 1700 * MS
    moved = {**ENTRY, "hostPort": "10.1.0.19:6379", "release": 42, "startedAtMs": 0}
    body = json.dumps({"generation": 8, "reset": False, "instances": [{**moved, "instanceId": "s-2"}, moved]})
    second = known.read(body.encode())
    assert second.event.kind is i.ListKind.DELTA
    assert second.event.entries[1].server == entry.server != second.event.entries[0].server
    assert str(second.addresses[entry.server]) == "10.1.0.19:6379" and second.event.entries[1].started == 0


def read_entries(*changes, zones=("a", "b")):
    """Read a list of units with these changes to `ENTRY`, in a catalog of its own; None removes a field."""
    known = catalog.Catalog({name: number for number, name in enumerate(zones)}, {})
    listed = [{**ENTRY, "instanceId": f"s-{number}", **change} for number, change in enumerate(changes)]
    instances = [{key: held for key, held in unit.items() if held is not None} for unit in listed]
    return known.read_document({"generation": 1, "reset": True, "instances": instances}).event.entries


@pytest.mark.parametrize("count", [1, 3, 300])
def test_each_zone_that_the_settings_do_not_name_is_a_group_of_its_own(count):
    """Guards against a keyed request that is repeated in another of these zones, or in none."""
    named = [{"zone": f"hall {number}"} for number in range(count)]
    entries = read_entries(*named, *named, {"zone": "a"}, {"zone": None}, {"zone": ""}, {"zone": None})
    zones = [entry.zone for entry in entries]
    assert zones[:count] == zones[count : 2 * count] and zones[2 * count] == 0
    assert len(set(zones)) == count + 4
    again = read_entries(*reversed(named), zones=("b", "a", "c"))
    assert [entry.zone for entry in reversed(again)] == zones[:count]


def test_a_unit_without_a_cell_shares_its_cell_with_no_other():
    cells = [entry.cell for entry in read_entries({"cell": None}, {"cell": 0}, {"cell": None}, {"cell": 0})]
    assert cells[1] == cells[3] == 0 and len(set(cells)) == 3


def test_the_zone_of_units_without_one_can_be_named_in_the_settings():
    assert [entry.zone for entry in read_entries({"zone": ""}, {"zone": None}, zones=("a", ""))] == [1, 1]


@pytest.mark.parametrize(
    "change",
    [
        {"instanceId": 7},
        {"zone": 7},
        {"zone": ["a"]},
        {"zone": "a" * 257},
        {"hostPort": "nowhere"},
        {"lifecycle": "LOST"},
        {"release": -1},
        {"weight": "big"},
        {"release": None},
        {"release": "41"},
        {"release": True},
        {"release": 41.5},
        {"weight": 0},
        {"weight": 1e400},
        {"startedAtMs": -1},
        {"cell": "3"},
        {"hostPort": 6379},
        {"lifecycle": ["SERVING"]},
        {"instanceId": ""},
    ],
)
def test_an_invalid_list_is_refused(change):
    listing = {"generation": 7, "reset": True, "instances": [{**ENTRY, **change}]}
    with pytest.raises(ProtocolError):
        catalog.Catalog({}, {}).read(json.dumps(listing).encode())


def test_an_invalid_list_assigns_no_numbers_and_ids_are_unique():
    known = catalog.Catalog({}, {})
    for more in ({**ENTRY, "instanceId": "s-2", "release": "x"}, ENTRY):
        with pytest.raises(ProtocolError):
            known.read_document({"generation": 7, "reset": True, "instances": [ENTRY, more]})
    assert not known.server_numbers
    for version in ("8", 8.5, -1, None, True):
        with pytest.raises(ProtocolError):
            known.read_document({"generation": version, "reset": False, "instances": [ENTRY]})


def test_a_fleet_that_leaves_the_list_for_a_while_comes_back_with_its_numbers():
    """Guards against units that count as new, and so as cold, after a list without any."""
    known = catalog.Catalog({}, {})
    fleet = [{**ENTRY, "instanceId": f"s-{n}"} for n in range(3 * catalog.UNLISTED_LIMIT)]
    documents = [{"generation": n, "reset": True, "instances": fleet if n != 1 else []} for n in range(3)]
    before, _, after = [known.read_document(document).event.entries for document in documents]
    assert after == before


@pytest.mark.parametrize("reset", [True, False])
def test_unlisted_ids_are_forgotten_and_no_number_is_assigned_twice(reset):
    known, seen = catalog.Catalog({}, {}), set()
    for n in range(4 * catalog.UNLISTED_LIMIT):
        listed = [{**ENTRY, "instanceId": f"s-{n}"}]
        if not reset and n:
            listed.append({**ENTRY, "instanceId": f"s-{n - 1}", "lifecycle": "DELETED"})
        found = known.read_document({"generation": n, "reset": reset, "instances": listed})
        seen.add(found.event.entries[0].server)
    assert len(seen) == 4 * catalog.UNLISTED_LIMIT and len(known.server_numbers) <= catalog.UNLISTED_LIMIT + 2


def test_an_invalid_load_report_is_ignored_and_the_answer_is_kept():
    for report in (b"cpu=nan", b"cpu=inf", b"cpu=-1", b"cpu", b"\xff", b"cpu=1e999"):
        raw = b"*3\r\n$1\r\nA\r\n$-1\r\n$%d\r\n%b\r\n" % (len(report), report)
        found = jobs.parse_answer(resp.parse_reply(bytearray(raw), 0, len(raw))[0], ("cpu",))
        assert found.outcome is i.Outcome.OK and found.load is None and bytes(found.value) == b"A"


@quick
@given(st.binary(max_size=80), st.integers(0, 30))
def test_no_value_of_a_corrupt_answer_exceeds_its_framing(noise, at):
    whole = b"*3\r\n$5\r\nVALUE\r\n$-1\r\n$-1\r\n"
    raw = bytearray(whole[:at] + noise)
    try:
        value, after = resp.parse_reply(raw, 0, len(raw))
        found = jobs.parse_answer(value, ())
    except (IncompleteMessageError, ProtocolError):
        return
    assert after <= len(raw)
    if found.outcome is i.Outcome.OK:
        assert bytes(raw).startswith(b"*3\r\n$%d\r\n%b\r\n" % (len(found.value), bytes(found.value)))


STATE = {"release": 42, "tranche": 1, "mode": "Aborting", "exposure": 0.28, "old_ms": 310}


def test_messages_of_the_platform():
    wanted = i.ReleaseNews(i.Phase.GOING_BACK, 310 * MS, 1, i.Outcome.OK, 0.28, 42, True)
    assert pipeline.parse_vote_answer(200, json.dumps(STATE).encode()) == wanted
    assert pipeline.parse_change(json.dumps({"type": "stage", "object": STATE}).encode()).is_reply is False
    assert pipeline.parse_change(b"{}") is None
    for status, outcome in ((429, i.Outcome.FULL), (409, i.Outcome.MOOT), (500, i.Outcome.ERROR)):
        assert pipeline.parse_vote_answer(status, b"") == pipeline.uncounted_vote(outcome)
    assert json.loads(pipeline.vote_body(i.Vote(1, 42, i.Verdict.ON))) == {
        "release": 42,
        "tranche": 1,
        "ruling": "on",
    }
    for bad in (
        b"[]",
        b'{"type":"stage"}',
        b'{"type":"stage","object":{"release":NaN}}',
        b'{"typo":"stage"}',
        *(
            json.dumps({"type": "stage", "object": {**STATE, **change}}).encode()
            for change in (
                {"release": "42"},
                {"tranche": None},
                {"exposure": True},
                {"mode": "Gone"},
                {"old_ms": -1},
            )
        ),
    ):
        with pytest.raises(ProtocolError):
            pipeline.parse_change(bad)
