"""The file of shared keys. It is read again when it changes.

Each line is `NUMBER HEX`, a key number from 1 to 255 and the key. The first key authenticates what this side
sends; all of them are accepted. Empty lines and lines that begin with `#` are skipped.
"""

import os
import stat
from pathlib import Path

from loguru import logger

from loftroute.vrrp.envelope import Keys

MIN_KEY_BYTES = 16


class KeyFileError(ValueError):
    """A key file has a fault, or others may read it."""


def read_keys(path: str) -> Keys:
    """Read a key file.

    Raises `KeyFileError` if the file has a fault or its mode lets others read it, and `OSError` if it cannot
    be read.
    """
    if stat.S_IMODE(os.stat(path).st_mode) & 0o077:
        raise KeyFileError(f"{path}: others may read it; set mode 600")
    known: dict[int, bytes] = {}
    for line_number, line in enumerate(
        Path(path).read_text(encoding="ascii", errors="replace").splitlines(), 1
    ):
        words = line.split()
        if not words or words[0].startswith("#"):
            continue
        try:
            key_number, key = int(words[0]), bytes.fromhex(words[1])
        except (ValueError, IndexError):
            raise KeyFileError(f"{path}:{line_number}: expected NUMBER HEX") from None
        if not 1 <= key_number <= 255 or key_number in known or len(key) < MIN_KEY_BYTES:
            raise KeyFileError(
                f"{path}:{line_number}: number must be new, 1 to 255; key {MIN_KEY_BYTES} bytes or longer"
            )
        known[key_number] = key
    if not known:
        raise KeyFileError(f"{path}: no key in the file")
    return Keys(next(iter(known)), known)


class Keyring:
    """The keys of a key file, kept up to date.

    Attributes:
        keys: The keys that were last read without a fault.
    """

    def __init__(self, path: str) -> None:
        """Read the file; an empty path means no authentication. Raises as `read_keys` does."""
        self._path = path
        self.keys = read_keys(path) if path else Keys(0, {0: b""})
        self._loaded_signature = self._file_signature()

    def _file_signature(self) -> tuple[int, int]:
        """Return modification time (ns) and size of the file."""
        if not self._path:
            return 0, 0
        status = os.stat(self._path)
        return status.st_mtime_ns, status.st_size

    def refresh(self) -> bool:
        """Read the file again if it has changed, and return whether the keys were replaced.

        If the file has a fault, the old keys stay in use and the fault is logged.
        """
        try:
            signature = self._file_signature()
            if signature == self._loaded_signature:
                return False
            self._loaded_signature = signature
            self.keys = read_keys(self._path)
        except (OSError, ValueError) as problem:
            logger.error("keys: {}; the previous keys stay in use", problem)
            return False
        logger.info("keys: read again, sending with key {}", self.keys.sealing)
        return True
