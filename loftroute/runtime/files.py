"""Files behind a port: the real ones. The lab's faulty disk keeps the same two protocols.

Calls block; what may block for long (`sync`) is meant for the worker thread (`runtime/worker.py`).
"""

import contextlib
import errno
import fcntl
import os
from pathlib import Path
from typing import Protocol


class DirectoryLockedError(OSError):
    """Another process has the directory."""


class File(Protocol):
    """Bytes under a name. Offsets and sizes are in bytes; every call may raise `OSError`."""

    name: str

    def write(self, offset: int, data: bytes) -> None:
        """Write all of `data` or raise; after an error any part of it may be there."""

    def read(self, offset: int, size: int) -> bytes:
        """Up to `size` bytes; fewer only at the end of the file."""

    def size(self) -> int: ...
    def truncate(self, size: int) -> None: ...
    def sync(self) -> None:
        """Return once what was written is safe from a loss of power (fsync)."""

    def close(self) -> None: ...


class Directory(Protocol):
    """A flat folder. Names created, renamed or removed are safe only after `sync`."""

    path: str

    def lock(self) -> None:
        """Have the folder for this process alone, or raise `DirectoryLockedError`."""

    def names(self) -> list[str]: ...
    def create(self, name: str) -> File: ...
    def open(self, name: str) -> File: ...
    def rename(self, old: str, new: str) -> None: ...
    def remove(self, name: str) -> None: ...
    def sync(self) -> None: ...
    def close(self) -> None: ...


class RealFile:
    """A file of the operating system."""

    def __init__(self, name: str, fd: int) -> None:
        self.name, self._fd = name, fd

    def write(self, offset: int, data: bytes) -> None:
        done = os.pwrite(self._fd, data, offset)
        while done < len(data):  # a short write: the rest, or the error that cut it short
            more = os.pwrite(self._fd, memoryview(data)[done:], offset + done)
            if more == 0:
                raise OSError(errno.EIO, "nothing was written", self.name)
            done += more

    def read(self, offset: int, size: int) -> bytes:
        data = os.pread(self._fd, size, offset)
        if len(data) == size:
            return data
        parts, at = [data], len(data)
        while parts[-1] and at < size:
            parts.append(os.pread(self._fd, size - at, offset + at))
            at += len(parts[-1])
        return b"".join(parts)

    def size(self) -> int:
        return os.fstat(self._fd).st_size

    def truncate(self, size: int) -> None:
        os.ftruncate(self._fd, size)

    def sync(self) -> None:
        os.fsync(self._fd)

    def close(self) -> None:
        if self._fd >= 0:
            os.close(self._fd)
            self._fd = -1


class RealDirectory:
    """A folder of the operating system, held open so that a folder moved meanwhile stays the same."""

    def __init__(self, path: str | Path, create: bool = False, read_only: bool = False) -> None:
        self.path, self._lock = str(path), -1
        if create:
            Path(path).mkdir(mode=0o700, exist_ok=True)
        self._flags = os.O_RDONLY if read_only else os.O_RDWR
        self._fd = os.open(self.path, os.O_RDONLY | os.O_DIRECTORY)
        if os.fstat(self._fd).st_uid != os.geteuid():
            self.close()
            raise PermissionError(errno.EPERM, "the folder belongs to another user", self.path)
        if not read_only and not os.access(self.path, os.W_OK | os.X_OK):
            self.close()
            raise PermissionError(errno.EACCES, "the folder can't be written to", self.path)

    def lock(self) -> None:
        self._lock = os.open("LOCK", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600, dir_fd=self._fd)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as problem:
            holder = os.pread(self._lock, 20, 0).decode("ascii", "replace").strip()
            os.close(self._lock)
            self._lock = -1
            raise DirectoryLockedError(
                problem.errno, f"in use by process {holder or '?'}", self.path
            ) from None
        os.ftruncate(self._lock, 0)
        os.pwrite(self._lock, b"%d\n" % os.getpid(), 0)

    def names(self) -> list[str]:
        return sorted(name for name in os.listdir(self._fd) if name != "LOCK")

    def create(self, name: str) -> RealFile:
        flags = os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC
        return RealFile(name, os.open(name, flags, 0o600, dir_fd=self._fd))

    def open(self, name: str) -> RealFile:
        return RealFile(name, os.open(name, self._flags | os.O_CLOEXEC, dir_fd=self._fd))

    def rename(self, old: str, new: str) -> None:
        os.rename(old, new, src_dir_fd=self._fd, dst_dir_fd=self._fd)

    def remove(self, name: str) -> None:
        os.unlink(name, dir_fd=self._fd)

    def sync(self) -> None:
        os.fsync(self._fd)

    def close(self) -> None:
        for fd in (self._lock, self._fd):
            with contextlib.suppress(OSError):
                os.close(fd)
        self._lock = self._fd = -1
