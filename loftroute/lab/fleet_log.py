"""Summarizes the logs of a fleet: outcomes of each build, votes, alarms and servers set aside.

    python -m loftroute.lab.fleet_log FOLDER

The folder holds one file per relay (`*.log`). Lines that match no pattern are skipped.
"""

import re
import sys
from collections import Counter, defaultdict
from collections.abc import Iterable
from pathlib import Path

from loftroute.lab.tables import Table

LEAVES = re.compile(r"module: build (\d+) leaves stage (\d+): (.*), (\d+) of the earlier")
COUNT = re.compile(r"(\d+) (\w+) of (\d+)")
ALARM = re.compile(r"module: build (\d+): alarm, \d+ (\w+) of \d+")
VOTE = re.compile(r"vote (\w+) on build (\d+) stage (\d+): (\w+)")
SET_ASIDE = re.compile(r"module: server \d+ set aside")
KINDS = ("bad", "errors", "resets", "slow")


class FleetLog:
    """Sums over the log lines of all relays.

    Attributes:
        relays: Number of logs read.
        stages: By build and stage, the outcomes that each relay had counted when the stage ended: by kind,
            the number of this kind and the total.
        seconds: By second, counts of alarms, votes and servers set aside.
    """

    def __init__(self) -> None:
        self.relays = 0
        self.stages: defaultdict[tuple[int, int], list[dict[str, tuple[int, int]]]] = defaultdict(list)
        self.seconds: defaultdict[int, Counter[str]] = defaultdict(Counter)

    def read(self, lines: Iterable[str]) -> None:
        """Read the log of one relay; each line begins with the seconds since the relay started."""
        self.relays += 1
        for line in lines:
            second, _, text = line.partition(" ")
            if second.replace(".", "", 1).isdigit():
                self._read_line(int(float(second)), text)

    def _read_line(self, second: int, text: str) -> None:
        if match := LEAVES.search(text):
            outcomes = {kind: (int(count), int(total)) for count, kind, total in COUNT.findall(match[3])}
            if set(KINDS) <= set(outcomes):
                self.stages[int(match[1]), int(match[2])].append(outcomes)
        elif match := ALARM.search(text):
            self.seconds[second][f"alarm {match[1]}"] += 1
        elif match := VOTE.search(text):
            self.seconds[second][f"{match[1]} {match[2]} {match[4]}"] += 1
        elif SET_ASIDE.search(text):
            self.seconds[second]["set aside"] += 1

    def evidence(self) -> Table:
        """Return, by build and stage, the mean outcomes counted by a relay when the stage ended."""
        table = Table(f"Outcomes of a build a relay, in the mean over {self.relays} relays")
        for (build, stage), reports in sorted(self.stages.items()):

            def mean(kind: str, part: int, reports: list[dict[str, tuple[int, int]]] = reports) -> float:
                return sum(outcomes[kind][part] for outcomes in reports) / len(reports)

            table.add(
                build=build,
                stage=stage,
                relays=len(reports),
                **{kind: f"{mean(kind, 0):.1f} of {mean(kind, 1):.1f}" for kind in KINDS},
            )
        return table

    def course(self) -> Table:
        """Return, by second, the alarms, votes by verdict, build and answer, and servers set aside."""
        table = Table("By second, over all relays")
        columns = sorted({name for counts in self.seconds.values() for name in counts})
        for second in sorted(self.seconds):
            table.add(
                second=second, **{name.replace(" ", "_"): self.seconds[second][name] for name in columns}
            )
        return table


def read_folder(folder: Path) -> FleetLog:
    """Read all `*.log` files of a folder."""
    fleet_log = FleetLog()
    for path in sorted(folder.glob("*.log")):
        fleet_log.read(path.read_text(errors="replace").splitlines())
    return fleet_log


def main(arguments: list[str]) -> int:
    """Print the tables of a folder and return the exit status: 1 without logs, 2 for wrong usage."""
    if len(arguments) != 1 or not Path(arguments[0]).is_dir():
        print(
            "usage: python -m loftroute.lab.fleet_log FOLDER (with one .log file per relay)", file=sys.stderr
        )
        return 2
    fleet_log = read_folder(Path(arguments[0]))
    if not fleet_log.relays:
        print(f"fleet_log: no .log file in {arguments[0]}", file=sys.stderr)
        return 1
    print(fleet_log.evidence().text())
    print(fleet_log.course().text())
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
