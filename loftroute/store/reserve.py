"""Disk space that only compaction and checkpoints may use, so that a full disk can be recovered from."""

import contextlib
import errno

from loftroute.runtime.files import Directory, File

RESERVE_FILE = "RESERVE"
NO_SPACE = (errno.ENOSPC, errno.EDQUOT)
FILL_BYTES = 1 << 20  # written at a time


class Reserve:
    """A file that holds disk space and is given up when background work needs it."""

    def __init__(self, directory: Directory, size: int) -> None:
        """`size` in bytes; 0 keeps none."""
        self._directory, self._size = directory, size
        self._held = False

    def acquire(self) -> None:
        """Hold the space; where the disk has not enough, nothing is held and no error is raised."""
        if not self._size:
            return
        with contextlib.suppress(OSError):
            if RESERVE_FILE not in self._directory.names():
                self._fill()
            self._held = True

    def _fill(self) -> None:
        file = self._directory.create(RESERVE_FILE)
        try:
            for offset in range(0, self._size, FILL_BYTES):
                file.write(offset, bytes(min(FILL_BYTES, self._size - offset)))
        finally:
            file.close()

    def restore(self) -> None:
        """Hold the space again once the disk has enough; a part of it is not kept."""
        if self._held:
            return
        self.acquire()
        if not self._held:
            with contextlib.suppress(OSError):
                self._directory.remove(RESERVE_FILE)

    def write(self, file: File, offset: int, raw: bytes) -> None:
        """Write for background work, which frees space: on a full disk the reserve is given up for it."""
        try:
            file.write(offset, raw)
        except OSError as problem:
            if problem.errno not in NO_SPACE or not self._held:
                raise
            self._directory.remove(RESERVE_FILE)
            self._held = False
            file.write(offset, raw)
