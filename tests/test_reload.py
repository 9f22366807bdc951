"""New configurations with SIGHUP, with the program as the deploy file starts it."""

import signal

from loftroute.lab.standins import Discovery, Platform, Unit, eventually


def test_after_sighup_list_changes_and_votes_come_from_the_new_addresses(relay):
    old, new = Unit(), Unit()
    it = relay({"u1": old})
    client = it.client()
    assert it.read(client) == b"value of k1"
    first, discovery, platform = (it.discovery, it.platform), Discovery(), Platform()
    discovery.version = first[0].version + 1
    discovery.entries = {"u1": {**first[0].entries["u1"], "hostPort": new.address, "at": 0}}
    platform.state = {**platform.state, "release": 42, "tranche": 1}
    it.discovery, it.platform = discovery, platform
    for web in first:
        web.shut()
    it.reload()
    eventually(lambda: discovery.calls and platform.streams)
    assert "index" not in discovery.calls[0]  # the whole list, since another agent answers there
    eventually(lambda: it.read(client) == b"value of k1" and new.seen)
    first[1].epoch += 1
    it.process.send_signal(signal.SIGTERM)
    client.close()
    assert it.process.wait(10) == 0


def test_a_list_older_than_what_is_known_is_not_followed(relay):
    unit, stray = Unit(), Unit()
    it = relay({"u1": unit})
    it.discovery.change(u1={"weight": 1.0})
    it.discovery.change(u1={"weight": 1.0})
    eventually(lambda: any("index=3" in call for call in it.discovery.calls))
    discovery = Discovery()
    discovery.entries = {"u1": {**it.discovery.entries["u1"], "hostPort": stray.address, "at": 0}}
    it.discovery = discovery
    it.reload()
    eventually(lambda: any("index=3" in call for call in discovery.calls))
    client = it.client()
    assert [it.read(client) for _ in range(10)] == [b"value of k1"] * 10
    assert len(unit.seen) == 10 and not stray.seen


def test_a_file_with_a_fault_changes_nothing_and_several_sighups_are_survived(relay):
    it = relay({"u1": Unit()})
    client = it.client()
    for text in ("{", '{"name": "n0"}', "[" * 5000):
        it.reload(text)
    eventually(lambda: "the old configuration stays" in it.text())
    calls = len(it.discovery.calls)
    eventually(lambda: len(it.discovery.calls) > calls + 1)
    assert it.read(client) == b"value of k1"
    it.reload()
    eventually(lambda: "reload: discovery" in it.text())
    it.process.send_signal(signal.SIGTERM)
    it.process.send_signal(signal.SIGHUP)  # also while ending
    client.close()
    assert it.process.wait(10) == 0
