"""deploy/sites/lay.py: a variant is a site of the kit with what its file changes, or one clear line."""

import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
SITES = ROOT / "deploy" / "sites"
SITE = """
name = "here"
[net]
zones = ["a"]
[[tier]]
name = "servers"
[tier.conn]
idle_s = 30
[[tier.kind]]
name = "std"
cores = 4
[[class]]
name = "x"
share = [0.2, 0.5]
cancel = false
[[class]]
name = "y"
share = 1
[[tenant]]
name = "t"
"""
CHANGES = """
site = "sites/here.toml"
[set]
name = "there"
"net.zones" = ["ä", "b"]
"tier.servers.conn.idle_s" = 6
"tier.servers.kind.std.cores" = 8
"class.x.share" = 0.5
[rename]
"class.x" = "xy"
"tenant.t" = "u"
[[class]]
name = "z"
share = 1
"""


@pytest.fixture
def lay(tmp_path):
    """Runs a copy of the script beside a variant of the given text; status, what it said, what it laid."""
    kit, place = tmp_path / "kit" / "sites", tmp_path / "sites"
    kit.mkdir(parents=True)
    place.mkdir()
    (kit / "here.toml").write_text(SITE)
    for name in ("real.json", "wire.json", "unlock.txt"):
        (kit / name).write_text(name)
    script = place / "lay.py"
    script.write_text((SITES / "lay.py").read_text())

    def go(text):
        (place / "v.toml").write_text(text)
        done = subprocess.run(
            [sys.executable, "-B", str(script), "--kit", str(kit.parent), "v"],
            capture_output=True,
            text=True,
            timeout=30,
        )
        laid = place / "laid" / "v"
        return done.returncode, done.stderr, {path.name: path.read_text() for path in laid.glob("*")}

    return go


def test_a_variant_is_the_kits_site_with_its_changes_and_what_stands_beside_it(lay):
    status, said, laid = lay(CHANGES)
    assert status == 0 and said == ""
    assert {name: laid[name] for name in laid if name != "v.toml"} == {
        name: name for name in ("real.json", "wire.json", "unlock.txt")
    }
    assert tomllib.loads(laid["v.toml"]) == {
        "name": "there",
        "net": {"zones": ["ä", "b"]},
        "tier": [{"name": "servers", "conn": {"idle_s": 6}, "kind": [{"name": "std", "cores": 8}]}],
        "class": [
            {"name": "xy", "share": 0.5, "cancel": False},
            {"name": "y", "share": 1},
            {"name": "z", "share": 1},
        ],
        "tenant": [{"name": "u"}],
    }


@pytest.mark.parametrize(
    ("old", "new", "named"),
    [
        ('"class.x.share"', '"class.x.weight"', "class.x.weight"),
        ('"class.x.share"', '"class.q.share"', "'q'"),
        ('"net.zones"', '"nets.zones"', "'nets'"),
        ('"class.x" =', '"class.w" =', "class.w"),
        ('"tenant.t"', '"net.zones"', "name"),
        ("here.toml", "gone.toml", "gone.toml"),
        ("[set]", "[set", "line"),
    ],
)
def test_a_key_that_is_not_there_is_one_line_and_nothing_is_laid(lay, old, new, named):
    status, said, laid = lay(CHANGES.replace(old, new))
    assert status == 2 and laid == {}
    assert said.startswith("lay: ") and said.count("\n") == 1 and named in said


def test_the_variants_here_differ_in_what_the_program_must_not_assume():
    changes = {path.stem: tomllib.loads(path.read_text()) for path in SITES.glob("*.toml")}
    assert set(changes) == {"tight", "wide"}
    for one in changes.values():
        names = [*one["rename"].values(), *(entry["name"] for entry in one.get("class", ()))]
        assert any(a != b and b.startswith(a) for a in names for b in names)
    tight, wide = (changes[name]["set"] for name in ("tight", "wide"))
    assert tight["class.slice.window_ms"] < tight["class.slice.deadline_ms"]
    assert wide["class.slice.window_ms"] > wide["class.slice.deadline_ms"]


def test_nothing_in_the_program_reads_the_variants():
    deploy = (ROOT / "deploy" / "balancer.toml", ROOT / "deploy" / "build.sh")
    for path in (*(ROOT / "loftroute").rglob("*.py"), *deploy):
        assert "deploy/sites" not in path.read_text(), path
