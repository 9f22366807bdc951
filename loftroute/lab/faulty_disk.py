"""Runs a relay on a disk whose syncs take longer, or whose writes and syncs fail for a while.

Usage: `python -m loftroute.lab.faulty_disk run --settings FILE`. Environment variables, 0 by default:

LOFTROUTE_SYNC_DELAY_MS: how much longer each `fsync` takes, in milliseconds
LOFTROUTE_DISK_FAILURE_SHARE: share of the calls of `pwrite` and `fsync` that fail, with ENOSPC or EIO
LOFTROUTE_DISK_FAILURE_FILE: they fail while this file exists
LOFTROUTE_DISK_SEED: seed of the choice of these calls
"""

import errno
import os
import random
import sys
import time
from collections.abc import Callable
from typing import Any


class FaultyDisk:
    """Replaces `os.fsync` and `os.pwrite` of this process.

    Attributes:
        sync_delay_s: How much longer each sync takes, in seconds.
        failure_share: Share of the calls that fail.
        failure_file: They fail while this file exists.
    """

    def __init__(self, sync_delay_s: float, failure_share: float, failure_file: str, seed: int) -> None:
        self.sync_delay_s, self.failure_share = sync_delay_s, failure_share
        self.failure_file = failure_file
        self._rng = random.Random(seed)

    def install(self) -> None:
        """Replace the functions."""
        os.fsync = self._faulty(os.fsync, self.sync_delay_s, (errno.EIO,))
        os.pwrite = self._faulty(os.pwrite, 0.0, (errno.EIO, errno.ENOSPC))

    def _faulty(
        self, call: Callable[..., Any], delay_s: float, errors: tuple[int, ...]
    ) -> Callable[..., Any]:
        def faulty_call(*arguments: Any) -> Any:
            time.sleep(delay_s)
            if self._fails_now():
                number = self._rng.choice(errors)
                raise OSError(number, os.strerror(number))
            return call(*arguments)

        return faulty_call

    def _fails_now(self) -> bool:
        return os.path.exists(self.failure_file) and self._rng.random() < self.failure_share


def _setting(name: str) -> float:
    return float(os.environ.get(f"LOFTROUTE_{name}", "0"))


if __name__ == "__main__":
    from loftroute.cli.main import main

    FaultyDisk(
        _setting("SYNC_DELAY_MS") / 1000,
        _setting("DISK_FAILURE_SHARE"),
        os.environ.get("LOFTROUTE_DISK_FAILURE_FILE", ""),
        int(_setting("DISK_SEED")),
    ).install()
    sys.exit(main())
