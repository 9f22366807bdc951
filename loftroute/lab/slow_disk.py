"""Runs a relay on a disk whose syncs take longer.

Usage: `python -m loftroute.lab.slow_disk run --settings FILE`. The environment variable
LOFTROUTE_SYNC_DELAY_MS holds the time in milliseconds that each `fsync` takes beyond the real one.
"""

import os
import sys
import time


def delay_syncs(delay_s: float) -> None:
    """Make each `os.fsync` of this process take `delay_s` seconds longer."""
    sync = os.fsync

    def delayed_sync(descriptor: int) -> None:
        time.sleep(delay_s)
        sync(descriptor)

    os.fsync = delayed_sync  # type: ignore[assignment]


if __name__ == "__main__":
    from loftroute.cli.main import main

    delay_syncs(int(os.environ["LOFTROUTE_SYNC_DELAY_MS"]) / 1000)
    sys.exit(main())
