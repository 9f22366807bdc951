"""A pytest plugin for KNOWN-RED.txt: tests and scripts that fail because of a known, unfixed fault.

A line is `TEST: COMMAND (SEED): what was seen (issue N)`. TEST is the node id of a test, or the path of a
shell script, COMMAND runs it, and SEED begins with "seed" or "no seed". The file can be missing.

A listed test runs as a strict expected failure: its failure is printed with its line and doesn't fail the
run. A listed script is not run; its line is printed with each run.

The run fails if a listed test passes, or if a line is malformed or names neither a test nor a script.
"""

import ast
import re
from collections.abc import Iterable
from pathlib import Path

import pytest

FILE = "KNOWN-RED.txt"
LINE = re.compile(
    r"(?P<test>tests/\w+\.py::\w+(?:\[.+?\])?|(?:[\w-]+/)+[\w-]+\.sh): "
    r"(?P<command>\S.*?) \((?:no )?seed[^()]*\): (?P<seen>\S.*) \(issue \d+\)"
)


def read(root: Path) -> dict[str, str]:
    """Return the line of each listed test or script; raise `pytest.UsageError` if the list is invalid."""
    path = root / FILE
    lines = path.read_text(encoding="utf-8").splitlines() if path.exists() else []
    line_by_test: dict[str, str] = {}
    for line in filter(str.strip, lines):
        match = LINE.fullmatch(line.strip())
        if match is None:
            raise pytest.UsageError(f"{FILE}: not 'TEST: COMMAND (SEED): what was seen (issue N)': {line!r}")
        if match["test"] in line_by_test or not _exists(root, match["test"]):
            raise pytest.UsageError(f"{FILE}: no such test or script, or listed twice: {match['test']}")
        line_by_test[match["test"]] = line.strip()
    return line_by_test


def _is_script(name: str) -> bool:
    """Return whether a name in the list is the path of a script; tests have the path of a Python file."""
    return name.endswith(".sh")


def _exists(root: Path, test: str) -> bool:
    """Return whether the script exists, or a file defines the test, even if it isn't collected."""
    if _is_script(test):
        return (root / test).is_file()
    file, name = test.split("::")
    path = root / file
    if not path.is_file():
        return False
    body = ast.parse(path.read_text(encoding="utf-8")).body
    return name.split("[")[0] in (
        statement.name for statement in body if isinstance(statement, ast.FunctionDef)
    )


def pytest_configure(config: pytest.Config) -> None:
    """Read the list."""
    config.stash[LISTED] = read(config.rootpath)


LISTED = pytest.StashKey[dict[str, str]]()


@pytest.hookimpl(tryfirst=True)  # before other plugins deselect tests
def pytest_collection_modifyitems(config: pytest.Config, items: Iterable[pytest.Item]) -> None:
    """Mark the listed tests as expected failures.

    Raises `pytest.UsageError` for a line with parameters that no collected test has.
    """
    listed, items = config.stash[LISTED], list(items)
    for test, line in listed.items():
        same_function = [item for item in items if item.nodeid.split("[")[0] == test.split("[")[0]]
        matching = [item for item in same_function if test in (item.nodeid, item.nodeid.split("[")[0])]
        if same_function and not matching:
            raise pytest.UsageError(f"{FILE}: no such test: {test}")
        for item in matching:
            item.add_marker(pytest.mark.xfail(reason=line, strict=True))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    """Print the line of each listed test that failed, and of each listed script."""
    for name, line in config.stash[LISTED].items():
        if _is_script(name):
            terminalreporter.write_line(f"known red, not run: {line}")
    listed = set(config.stash[LISTED].values())
    for report in terminalreporter.stats.get("xfailed", ()):
        if report.wasxfail in listed:
            terminalreporter.write_line(f"known red: {report.wasxfail}")
