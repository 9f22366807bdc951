"""The logs of a whole fleet as tables: what the relays saw of each build, voted, and set aside.

    python -m loftroute.lab.fleet_log FOLDER

The folder holds one file a relay (`*.log`). Unknown lines are skipped: logs hold other things too.
"""

import re
import sys
from collections import Counter, defaultdict
from collections.abc import Iterable
from pathlib import Path

from loftroute.lab.tables import Table

LEAVES = re.compile(r"module: build (\d+) leaves stage (\d+): (.*), (\d+) of the earlier")
READ = re.compile(r"(\d+) (\w+) of (\d+)")
ALARM = re.compile(r"module: build (\d+): alarm, \d+ (\w+) of \d+")
VOTE = re.compile(r"vote (\w+) on build (\d+) stage (\d+): (\w+)")
ASIDE = re.compile(r"module: server \d+ set aside")
KINDS = ("bad", "errors", "resets", "slow")


class FleetLog:
    """Sums over all relays' lines."""

    def __init__(self) -> None:
        self.relays = 0
        self.stages: defaultdict[tuple[int, int], list[dict[str, tuple[int, int]]]] = defaultdict(list)
        self.seconds: defaultdict[int, Counter[str]] = defaultdict(Counter)

    def read(self, lines: Iterable[str]) -> None:
        """One relay's log; each line begins with the seconds since the relay's start."""
        self.relays += 1
        for line in lines:
            second, _, text = line.partition(" ")
            if second.replace(".", "", 1).isdigit():
                self._line(int(float(second)), text)

    def _line(self, second: int, text: str) -> None:
        if found := LEAVES.search(text):
            read = {kind: (int(k), int(of)) for k, kind, of in READ.findall(found[3])}
            if set(KINDS) <= set(read):
                self.stages[int(found[1]), int(found[2])].append(read)
        elif found := ALARM.search(text):
            self.seconds[second][f"alarm {found[1]}"] += 1
        elif found := VOTE.search(text):
            self.seconds[second][f"{found[1]} {found[2]} {found[4]}"] += 1
        elif ASIDE.search(text):
            self.seconds[second]["set aside"] += 1

    def evidence(self) -> Table:
        """What one relay had seen of a build when a stage ended, in the mean: so many of so many outcomes."""
        table = Table(f"Outcomes of a build a relay, in the mean over {self.relays} relays")
        for (build, stage), found in sorted(self.stages.items()):

            def mean(kind: str, part: int, found: list[dict[str, tuple[int, int]]] = found) -> float:
                return sum(read[kind][part] for read in found) / len(found)

            table.add(
                build=build,
                stage=stage,
                relays=len(found),
                **{kind: f"{mean(kind, 0):.1f} of {mean(kind, 1):.1f}" for kind in KINDS},
            )
        return table

    def course(self) -> Table:
        """Alarms, votes by verdict, build and answer, and units set aside, by second."""
        table = Table("By second, over all relays")
        names = sorted({name for counted in self.seconds.values() for name in counted})
        for second in sorted(self.seconds):
            table.add(second=second, **{name.replace(" ", "_"): self.seconds[second][name] for name in names})
        return table


def read_folder(folder: Path) -> FleetLog:
    fleet = FleetLog()
    for path in sorted(folder.glob("*.log")):
        fleet.read(path.read_text(errors="replace").splitlines())
    return fleet


def main(arguments: list[str]) -> int:
    if len(arguments) != 1 or not Path(arguments[0]).is_dir():
        print("usage: python -m loftroute.lab.fleet_log FOLDER (with one .log file a relay)", file=sys.stderr)
        return 2
    fleet = read_folder(Path(arguments[0]))
    if not fleet.relays:
        print(f"fleet_log: no .log file in {arguments[0]}", file=sys.stderr)
        return 1
    print(fleet.evidence().text())
    print(fleet.course().text())
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
