"""The plugin for KNOWN-RED.txt: listed tests may fail, and every other failure or mistake fails the run."""

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
RED = "tests/test_it.py::test_red: pytest tests/test_it.py (no seed): two is not one yet (issue 7)"
HALF = "tests/test_it.py::test_one_of_two[2]: pytest -k two (seed 1f): two is not one here either (issue 7)"


@pytest.fixture
def run(tmp_path):
    """Return a function that runs pytest on `TESTS` with the given lines in KNOWN-RED.txt."""
    (tmp_path / "tests").mkdir()
    (tmp_path / "pytest.ini").write_text("[pytest]\n")

    def run_pytest(*lines, workers="0", more_tests=""):
        (tmp_path / "tests" / "test_it.py").write_text(TESTS + more_tests)
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
        process = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=60)
        return process.returncode, process.stdout + process.stderr

    return run_pytest


@pytest.mark.parametrize("workers", ["0", "2"])
def test_failures_of_listed_tests_are_printed_and_do_not_fail_the_run(run, workers):
    status, output = run(RED, HALF, workers=workers)
    assert status == 0 and "2 passed, 2 xfailed" in output
    assert f"known red: {RED}" in output and f"known red: {HALF}" in output


def test_without_the_file_failures_fail_the_run(run):
    status, output = run()
    assert status == 1 and "2 failed, 2 passed" in output


@pytest.mark.parametrize("workers", ["0", "2"])
def test_a_listed_test_that_passes_fails_the_run(run, workers):
    status, output = run(
        RED, HALF, "tests/test_it.py::test_green: pytest (no seed): was red once (issue 7)", workers=workers
    )
    assert status == 1 and "1 failed" in output and "XPASS(strict)" in output


@pytest.mark.parametrize(
    "line",
    [
        "tests/test_it.py::test_gone: pytest (no seed): nobody knows it (issue 7)",
        "tests/test_gone.py::test_red: pytest (no seed): nobody knows it (issue 7)",
        "tests/test_it.py::test_one_of_two[3]: pytest (no seed): no such case (issue 7)",
        "tests/test_it.py::test_green",
        "tests/test_it.py::test_green: pytest (no seed):  (issue 7)",
        "tests/test_it.py::test_green: pytest (no seed): a cause",
        "tests/test_it.py::test_green: pytest (no seed): a cause (issue)",
        "tests/test_it.py::test_green: a cause without a command (issue 7)",
        "tests/test_it.py::test_green: pytest: a command without its seed (issue 7)",
        "tests/test_it.py::test_green: (seed 3): no command (issue 7)",
        "it is red",
        RED,
        "review/0/run.sh: review/0/run.sh (no seed): there is no such script (issue 7)",
        "cases/run.sh: cases/run.sh: a script's command without its seed (issue 7)",
        "cases/run.sh: cases/run.sh (no seed): a script without an issue",
        "cases/run.sh",
        "cases: cases/run.sh (no seed): a folder (issue 7)",
        "cases/case.py: cases/case.py (no seed): neither a test nor a shell script (issue 7)",
        "../run.sh: ../run.sh (no seed): a script outside of the project (issue 7)",
    ],
)
def test_a_malformed_line_or_one_without_a_test_fails_the_run(run, scripts, line):
    status, output = run(RED, HALF, line)
    assert status not in (0, 5) and "KNOWN-RED.txt: " in output


@pytest.fixture
def scripts(tmp_path):
    """Create a script, a Python file, and a script outside of the project."""
    (tmp_path / "cases").mkdir()
    for path in (tmp_path / "cases" / "run.sh", tmp_path / "cases" / "case.py", tmp_path.parent / "run.sh"):
        path.write_text("exit 1\n")


@pytest.mark.parametrize("workers", ["0", "2"])
def test_a_listed_script_is_printed_and_not_run(run, scripts, workers):
    line = "cases/run.sh: cases/run.sh (no seed of its own): it ends with 1 (issue 7)"
    status, output = run(RED, HALF, line, workers=workers)
    assert status == 0 and "2 passed, 2 xfailed" in output
    assert output.count(f"known red, not run: {line}") == 1


def test_a_script_listed_twice_fails_the_run(run, scripts):
    line = "cases/run.sh: cases/run.sh (no seed): it ends with 1 (issue 7)"
    status, output = run(RED, HALF, line, line)
    assert status not in (0, 5) and "KNOWN-RED.txt: " in output


def test_any_number_of_failing_tests_can_be_listed(run):
    more = [f"tests/test_it.py::test_red_{n}: pytest (no seed): a cause (issue 7)" for n in range(5)]
    tests = "".join(f"\n\ndef test_red_{n}():\n    assert 1 == 2\n" for n in range(5))
    status, output = run(RED, HALF, *more, more_tests=tests)
    assert status == 0 and "2 passed, 7 xfailed" in output and output.count("known red: ") == 7


def test_one_failing_test_that_is_not_listed_fails_the_run_beside_listed_ones(run):
    status, output = run(RED, HALF, more_tests="\n\ndef test_red_too():\n    assert 1 == 2\n")
    assert status == 1 and "1 failed, 2 passed, 2 xfailed" in output
