"""Runs the command line in a separate process, for the lab's tools and tests."""

import subprocess
import sys

from loftroute.lab.standins import ROOT

TIMEOUT_S = 30.0


def command(
    *words: str, env: dict[str, str] | None = None, timeout: float = TIMEOUT_S
) -> subprocess.CompletedProcess[str]:
    """Run `loftroute WORDS…` until it exits, and return its output and exit status.

    `env` replaces the environment of this process.
    Raises `subprocess.TimeoutExpired` after `timeout` seconds.
    """
    return subprocess.run(
        [sys.executable, "-B", "-m", "loftroute", *words],
        cwd=ROOT,
        env=env,
        capture_output=True,
        text=True,
        timeout=timeout,
    )
