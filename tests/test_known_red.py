"""KNOWN-RED.txt: what is listed may fail, and nothing else gets by."""

import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
TESTS = """
import pytest

def test_red():
    assert 1 == 2

def test_green():
    pass

@pytest.mark.parametrize("n", [1, 2])
def test_one_of_two(n):
    assert n == 1
"""
RED = "tests/test_it.py::test_red: two is not one yet (issue 7)"
HALF = "tests/test_it.py::test_one_of_two[2]: two is not one here either (issue 7)"


@pytest.fixture
def run(tmp_path):
    (tmp_path / "tests").mkdir()
    (tmp_path / "tests" / "test_it.py").write_text(TESTS)
    (tmp_path / "pytest.ini").write_text("[pytest]\n")

    def go(*lines, workers="0"):
        if lines:
            (tmp_path / "KNOWN-RED.txt").write_text("\n".join(lines) + "\n")
        command = [
            sys.executable,
            "-B",
            "-m",
            "pytest",
            "-q",
            "-p",
            "tests.known_red",
            "-p",
            "no:cacheprovider",
            "-n",
            workers,
            "--rootdir",
            str(tmp_path),
            str(tmp_path / "tests"),
        ]
        done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=60)
        return done.returncode, done.stdout + done.stderr

    return go


@pytest.mark.parametrize("workers", ["0", "2"])
def test_listed_tests_run_and_their_failures_are_printed_and_fail_nothing(run, workers):
    status, said = run(RED, HALF, workers=workers)
    assert status == 0 and "2 passed, 2 xfailed" in said
    assert f"known red: {RED}" in said and f"known red: {HALF}" in said


def test_without_the_file_all_is_as_ever(run):
    status, said = run()
    assert status == 1 and "2 failed, 2 passed" in said


@pytest.mark.parametrize("workers", ["0", "2"])
def test_a_listed_test_that_passes_fails_the_run(run, workers):
    status, said = run(RED, HALF, "tests/test_it.py::test_green: was red once (issue 7)", workers=workers)
    assert status == 1 and "1 failed" in said and "XPASS(strict)" in said


@pytest.mark.parametrize(
    "line",
    [
        "tests/test_it.py::test_gone: nobody knows it (issue 7)",
        "tests/test_gone.py::test_red: nobody knows it (issue 7)",
        "tests/test_it.py::test_one_of_two[3]: no such case (issue 7)",
        "tests/test_it.py::test_red",
        "tests/test_it.py::test_red:  (issue 7)",
        "tests/test_it.py::test_red: a cause",
        "tests/test_it.py::test_red: a cause (issue)",
        "it is red",
        RED,
    ],
)
def test_a_line_that_names_no_test_or_lacks_a_part_fails_the_run(run, line):
    status, said = run(RED, HALF, line)
    assert status not in (0, 5) and "KNOWN-RED.txt: " in said


def test_a_fourth_line_fails_the_run(run):
    more = [f"tests/test_it.py::{name}: a cause (issue 7)" for name in ("test_green", "test_one_of_two[1]")]
    status, said = run(RED, HALF, *more)
    assert status not in (0, 5) and "3 at the most" in said
