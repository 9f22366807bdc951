"""The command line as a process of its own, for trials and tests."""

import subprocess
import sys

from loftroute.lab.standins import ROOT

TIMEOUT = 30.0  # seconds


def command(
    *words: str, env: dict[str, str] | None = None, timeout: float = TIMEOUT
) -> subprocess.CompletedProcess[str]:
    """Run `loftroute WORDS…` to its end. `env` replaces this process's environment.

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
