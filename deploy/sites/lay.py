"""Lays the complete variant of a site beside this file, from a kit and from what the variant changes.

    python3 deploy/sites/lay.py --kit FOLDER VARIANT [VARIANT ...]

`VARIANT.toml` holds what is other than in the kit's site: `site` names that, `[set]` gives figures by their
path (entries of a list of tables by their names), `[rename]` gives such entries other names, `[[class]]` and
`[[tenant]]` are added. Everything else is read from the kit. What is laid (`laid/VARIANT/`) is not for the
repository. A path that the site does not have ends it with status 2 and one line; nothing is written then.
"""

import argparse
import copy
import json
import shutil
import sys
import tomllib
from collections.abc import Iterator
from pathlib import Path
from typing import Any

HERE = Path(__file__).parent
BESIDE = ("real.json", "wire.json", "unlock.txt")


class Missing(Exception):
    """A key to be changed, or a file, is not there."""


def find(site: dict[str, Any], path: str) -> tuple[dict[str, Any], str]:
    """The table that holds the last key of a path, and that key."""
    *parents, last = path.split(".")
    place: Any = site
    for name in parents:
        if isinstance(place, list):
            place = next((entry for entry in place if entry.get("name") == name), None)
        else:
            place = place.get(name)
        if place is None:
            raise Missing(f"{path}: the site has no {name!r}")
    if isinstance(place, list):
        place = next((entry for entry in place if entry.get("name") == last), None)
        if place is not None:
            return place, "name"
    if not isinstance(place, dict) or last not in place:
        raise Missing(f"{path}: the site has no {last!r}")
    return place, last


def vary(site: dict[str, Any], changes: dict[str, Any]) -> dict[str, Any]:
    """The site with the changes."""
    result = copy.deepcopy(site)
    for path, value in changes.get("set", {}).items():
        place, key = find(result, path)
        place[key] = value
    places = [(find(result, path), name) for path, name in changes.get("rename", {}).items()]
    for (place, key), name in places:
        if key != "name":
            raise Missing(f"{name}: only what has a name gets another")
        place[key] = name
    for kind in ("class", "tenant"):
        result.setdefault(kind, []).extend(changes.get(kind, []))
    return result


def lines(table: dict[str, Any], path: str = "") -> Iterator[str]:
    """A table in the form that it was read from."""
    for key, value in table.items():
        if not isinstance(value, dict) and not _tables(value):
            yield f"{key} = {json.dumps(value, ensure_ascii=False)}"
    for key, value in table.items():
        name = f"{path}.{key}" if path else key
        if isinstance(value, dict):
            yield from ("", f"[{name}]", *lines(value, name))
        elif _tables(value):
            for entry in value:
                yield from ("", f"[[{name}]]", *lines(entry, name))


def _tables(value: Any) -> bool:
    return isinstance(value, list) and bool(value) and isinstance(value[0], dict)


def lay(kit: Path, variant: str, to: Path) -> Path:
    """Write the variant's files; the path of its site."""
    changes = tomllib.loads((HERE / f"{variant}.toml").read_text(encoding="utf-8"))
    source = kit / changes["site"]
    wanted = [source, *(source.parent / name for name in BESIDE)]
    for path in wanted:
        if not path.is_file():
            raise Missing(f"{path}: not in the kit")
    site = vary(tomllib.loads(source.read_text(encoding="utf-8")), changes)
    to.mkdir(parents=True, exist_ok=True)
    for path in wanted[1:]:
        shutil.copyfile(path, to / path.name)
    laid = to / f"{variant}.toml"
    laid.write_text("\n".join(lines(site)) + "\n", encoding="utf-8")
    return laid


def main(arguments: list[str]) -> int:
    parser = argparse.ArgumentParser(description="Lays variants of a site from a kit.")
    parser.add_argument("--kit", type=Path, required=True)
    parser.add_argument("variants", nargs="+")
    given = parser.parse_args(arguments)
    try:
        for variant in given.variants:
            print(lay(given.kit, variant, HERE / "laid" / variant))
    except (Missing, OSError, tomllib.TOMLDecodeError) as problem:
        print(f"lay: {problem}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
