"""Disk space that is reserved for compaction and checkpoints, so that a full disk can be recovered from."""

import contextlib
import errno

from loftroute.runtime.files import Directory, File

RESERVE_FILE = "RESERVE"
NO_SPACE = (errno.ENOSPC, errno.EDQUOT)  # errors of a full disk or an exhausted quota
FILL_BYTES = 1 << 20  # written at a time


class Reserve:
    """A file that occupies disk space until background work needs it."""

    def __init__(self, directory: Directory, size: int) -> None:
        """`size` is in bytes; 0 reserves nothing."""
        self._directory, self._size = directory, size
        self._held = False

    def acquire(self) -> None:
        """Reserve the space. If the disk is too full, nothing is reserved and no error is raised."""
        if not self._size:
            return
        with contextlib.suppress(OSError):
            if RESERVE_FILE not in self._directory.names():
                self._fill()
            self._held = True

    def _fill(self) -> None:
        """Write the file in full; raises `OSError`."""
        file = self._directory.create(RESERVE_FILE)
        try:
            for offset in range(0, self._size, FILL_BYTES):
                file.write(offset, bytes(min(FILL_BYTES, self._size - offset)))
        finally:
            file.close()

    def restore(self) -> None:
        """Reserve the space again if it was used up and the disk has room for all of it."""
        if self._held:
            return
        self.acquire()
        if not self._held:
            with contextlib.suppress(OSError):
                self._directory.remove(RESERVE_FILE)

    def write(self, file: File, offset: int, raw: bytes) -> None:
        """Write for background work, which will free space. On a full disk the reserve is released first.

        Raises:
            OSError: Writing failed, also with the reserve released.
        """
        try:
            file.write(offset, raw)
        except OSError as problem:
            if problem.errno not in NO_SPACE or not self._held:
                raise
            self._directory.remove(RESERVE_FILE)
            self._held = False
            file.write(offset, raw)
