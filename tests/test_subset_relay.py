"""A relay whose list is too long for its connections: module, units and connections use the subset."""

from loguru import logger

from loftroute.decision import interface as i
from tests.stepped import ask, got, served_at, value

UNITS, RELAYS = 500, 100


def send_list(stepped, states=None, units=UNITS, generation=2, is_full=True, **more):
    """Have the relay handle a list of many units, which share the addresses of the test's few units.

    A full list has `units` units; a delta (`is_full` false) has the units of `states`, which maps numbers to
    lifecycle states. Further arguments replace fields of each instance.
    """
    addresses = [unit.address for unit in stepped.units.values()]
    numbers = range(units) if is_full else states
    instances = [
        {
            "instanceId": f"m{n}",
            "hostPort": addresses[n % len(addresses)],
            "zone": "ab"[n % 2],
            "machineType": "m",
            "cell": 0,
            "lifecycle": (states or {}).get(n, "SERVING"),
            "weight": 1.0,
            "startedAtMs": 0,
            "release": 41,
            **more,
        }
        for n in numbers
    ]
    document = {"generation": generation, "reset": is_full, "instances": instances}
    stepped.relay.module.handle_listing(stepped.relay.config.catalog.read_document(document))
    stepped.turn(2)


def names_by_number(stepped):
    """Return the unit names by the numbers that the relay gave them."""
    catalog = stepped.relay.config.catalog
    return {number: name for name, number in catalog.server_numbers.items()}


def listed_units(stepped):
    """Return the units that the module knows; the relay's units must be the same."""
    known = {unit for unit, server in stepped.relay.balancer.servers.items() if server.listed}
    assert known == set(stepped.relay.units.units)
    return known


def start_with_large_list(world, **more):
    """Start a relay and send it a list that needs a subset."""
    stepped = world(units=2, instances=RELAYS, self_index=17, **more)
    send_list(stepped)
    return stepped


def test_a_list_beyond_the_connections_is_followed_by_a_subset_of_its_units(world):
    lines = []
    sink = logger.add(lambda line: lines.append(str(line)), level="INFO", format="{message}")
    stepped = start_with_large_list(world)
    logger.remove(sink)
    members = listed_units(stepped)
    assert 50 <= len(members) <= 80
    taken = [line for line in lines if line.startswith("subset: taken")]
    assert len(taken) == 1 and f"of {UNITS} units, each used by 13 of {RELAYS} relays" in taken[0]
    assert stepped.relay.module.members.figures()["subset taken"] == 1
    client = stepped.client()
    client.sendall(ask("k"))
    served_at(stepped, b"Q.ASK")
    stepped.until(lambda: got(client) == value(b"V"))


def test_a_relay_that_got_the_list_in_another_order_chooses_the_same_units(world):
    stepped, other = start_with_large_list(world), world(units=2, instances=RELAYS, self_index=17)
    send_list(other, dict.fromkeys(range(400, 500), "SERVING"), is_full=False)
    send_list(other, generation=3)
    assert {names_by_number(stepped)[unit] for unit in listed_units(stepped)} == {
        names_by_number(other)[unit] for unit in listed_units(other)
    }


def test_drains_and_removals_take_effect_at_once_inside_and_outside_the_subset(world):
    stepped = start_with_large_list(world)
    inside = {int(names_by_number(stepped)[unit][1:]): unit for unit in listed_units(stepped)}
    member, outside = min(inside), min(set(range(UNITS)) - inside.keys())
    send_list(stepped, {member: "DRAINING", outside: "DRAINING"}, is_full=False, generation=3)
    assert stepped.relay.balancer.servers[inside[member]].entry.state is i.ServerState.DRAINING
    assert stepped.relay.units.units[inside[member]].entry.state is i.ServerState.DRAINING
    assert f"m{outside}" not in {names_by_number(stepped)[unit] for unit in listed_units(stepped)}
    send_list(stepped, {member: "DELETED", outside: "DELETED"}, is_full=False, generation=4)
    assert inside[member] not in listed_units(stepped)
    send_list(stepped, {outside: "SERVING"}, is_full=False, generation=5)
    assert len(listed_units(stepped)) >= 50


def test_an_open_attempt_gets_its_answer_after_its_unit_has_left_the_subset(world):
    stepped = start_with_large_list(world)
    client = stepped.client()
    client.sendall(ask("kept"))
    stepped.until(lambda: any(b"kept" in unit.look() for unit in stepped.units.values()))
    used_unit = next(unit for unit, server in stepped.relay.balancer.servers.items() if server.outstanding)
    pool = stepped.relay.module.members._pool
    for action in pool.resize(18, RELAYS):  # another subset of the same list
        stepped.relay.module.members._handle_action(action)
    stepped.turn(2)
    assert used_unit not in listed_units(stepped)
    served_at(stepped, b"kept")
    stepped.until(lambda: got(client) == value(b"V"))


def test_a_member_that_moves_to_another_address_is_followed_though_its_entry_is_the_same(world):
    stepped = start_with_large_list(world)
    unit = min(listed_units(stepped))
    number = int(names_by_number(stepped)[unit][1:])
    before = stepped.relay.units.units[unit].address
    new_address = next(other.address for other in stepped.units.values() if other.address != str(before))
    send_list(stepped, {number: "SERVING"}, is_full=False, generation=3, hostPort=new_address)
    assert str(stepped.relay.units.units[unit].address) == new_address


def test_a_unit_that_joins_is_dialled_at_its_latest_address(world):
    stepped = start_with_large_list(world)
    new_address = stepped.units["u0"].address
    send_list(
        stepped, dict.fromkeys(range(UNITS), "SERVING"), is_full=False, generation=3, hostPort=new_address
    )
    send_list(stepped, {3: "SERVING"}, is_full=False, generation=4, hostPort=new_address)
    members = stepped.relay.module.members
    for action in members._pool.resize(18, RELAYS):
        members._handle_action(action)
    assert {str(unit.address) for unit in stepped.relay.units.units.values()} == {new_address}


def test_the_subset_is_widened_when_no_member_accepts_a_connection(world):
    stepped = start_with_large_list(world)
    before = listed_units(stepped)
    for unit in stepped.units.values():
        unit.listener.close()
        unit.look = lambda reading=True: b""
    client = stepped.client()
    for n in range(12):
        client.sendall(ask(f"k{n}"))
        stepped.turn(6)
        stepped.step(50)
    assert stepped.relay.module.members.figures()["subset widened"] >= 1
    assert before < listed_units(stepped) and len(listed_units(stepped)) > 1.5 * len(before)


def test_a_list_over_the_maximum_changes_nothing_and_is_logged_in_one_line(world):
    stepped = start_with_large_list(world)
    before = listed_units(stepped)
    lines = []
    sink = logger.add(lambda line: lines.append(str(line)), level="ERROR", format="{message}")
    pool = stepped.relay.module.members._pool
    pool._registry._max_units = 400
    send_list(stepped, generation=3)
    logger.remove(sink)
    assert listed_units(stepped) == before and lines == [
        "subset: a list of 500 units, at most 400 are kept; the list stays as it was\n"
    ]


def test_a_short_list_is_used_in_full_and_shows_no_figures(world):
    stepped = world(units=2, instances=RELAYS, self_index=17)
    send_list(stepped, units=300)
    assert len(listed_units(stepped)) == 300 and stepped.relay.module.members.figures() == {}
    send_list(stepped, units=UNITS, generation=3)
    assert len(listed_units(stepped)) <= 80
    send_list(stepped, units=300, generation=4)
    assert len(listed_units(stepped)) == 300


def test_a_failed_discovery_call_and_the_next_list_are_reported_without_changes(world):
    stepped = start_with_large_list(world, discovery="ask")
    failures = []
    for _ in range(3):
        stepped.relay.discovery._report_failure(ConnectionError("no"))
        stepped.turn(2)
        failures.append(stepped.relay.balancer.watch_failures)
    send_list(stepped, {}, is_full=False, generation=3)
    assert failures == [1, 2, 3] and stepped.relay.balancer.watch_failures == 0


def test_a_change_outside_the_subset_does_not_reach_the_module(world):
    stepped = start_with_large_list(world)
    inside = {int(names_by_number(stepped)[unit][1:]) for unit in listed_units(stepped)}
    handled = []
    original_handle = stepped.relay.module._handle
    stepped.relay.module._handle = lambda now, event: (handled.append(event), original_handle(now, event))
    outside = sorted(set(range(UNITS)) - inside)
    send_list(stepped, {outside[0]: "SERVING"}, is_full=False, generation=3, weight=2.0)
    assert not [event for event in handled if isinstance(event, i.ServerList)]
    send_list(stepped, {min(inside): "SERVING"}, is_full=False, generation=4, weight=2.0)
    assert len([event for event in handled if isinstance(event, i.ServerList)]) == 1
