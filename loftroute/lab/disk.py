"""A disk in memory with injected faults: power loss, torn and reordered writes, I/O errors, a full disk and
syncs that return without syncing.

A file has its durable content and a list of writes not yet durable. A power loss keeps any subset of these
writes, cut at sectors, in any order. Of the unsynced changes to the folder it keeps a prefix, as a journaling
file system does. `Disk.crash` returns the disk as it is found after a power loss.
"""

import errno
import random
from collections.abc import Callable

SECTOR = 512  # bytes; a sector is written whole or not at all


class PowerLostError(Exception):
    """Raised by the call during which power is lost."""


class Inode:
    """The content of a file.

    Attributes:
        durable: Content that survives a power loss.
        visible: Content as the running system reads it.
        writes: Writes not yet durable: (offset, data), or the size that the file was truncated to.
        sync_failed: A sync failed. Data not durable at that time never becomes durable.
    """

    def __init__(self) -> None:
        self.durable = bytearray()
        self.visible = bytearray()
        self.writes: list[tuple[int, bytes] | int] = []
        self.sync_failed = False


class Disk:
    """A disk with one folder.

    Attributes:
        rng: Source of all random choices.
        capacity: Size in bytes.
        names: Files by name as the running system sees them.
        durable_names: Files by name as of the last sync of the folder.
        name_changes: Changes of names that are not yet durable: call, name, file.
        steps: Number of calls so far that change something.
        power_at: Step at which power is lost, None for never.
        fail: Called with the call and the file name before each step; a returned error is raised.
        ignores_syncs: Syncs return without making anything durable.
        log: All steps: call and file name.
    """

    def __init__(self, rng: random.Random, capacity: int = 1 << 40) -> None:
        self.rng, self.capacity = rng, capacity
        self.names: dict[str, Inode] = {}
        self.durable_names: dict[str, Inode] = {}
        self.name_changes: list[tuple[str, str, Inode | None]] = []
        self.steps = 0
        self.power_at: int | None = None
        self.fail: Callable[[str, str], OSError | None] = lambda call, name: None
        self.ignores_syncs = False
        self.log: list[tuple[str, str]] = []

    def step(self, call: str, name: str) -> None:
        """Count a call that changes something, and make it fail if so planned.

        Raises `PowerLostError`, or the `OSError` that `fail` returned.
        """
        self.steps += 1
        self.log.append((call, name))
        if self.power_at is not None and self.steps >= self.power_at:
            raise PowerLostError(f"{call} {name}")
        error = self.fail(call, name)
        if error:
            raise error

    def used(self) -> int:
        """Return the bytes used by all files."""
        return sum(len(inode.visible) for inode in self.names.values())

    def crash(self) -> "Disk":
        """Return a new disk with what remains after a power loss, chosen at random."""
        remaining = Disk(self.rng, self.capacity)
        names = dict(self.durable_names)
        for call, name, inode in self.name_changes[: self.rng.randint(0, len(self.name_changes))]:
            _apply_name_change(names, call, name, inode)
        copies: dict[int, Inode] = {}
        for name, inode in names.items():
            if id(inode) not in copies:
                copies[id(inode)] = inode_copy = Inode()
                inode_copy.durable = inode_copy.visible = self._after_power_loss(inode)
                inode_copy.visible = bytearray(inode_copy.durable)
            remaining.names[name] = copies[id(inode)]
        remaining.durable_names = dict(remaining.names)
        return remaining

    def killed(self) -> "Disk":
        """Return a new disk with what remains when only the process ends: everything written."""
        remaining = Disk(self.rng, self.capacity)
        remaining.names, remaining.durable_names, remaining.name_changes = (
            self.names,
            self.durable_names,
            self.name_changes,
        )
        return remaining

    def _after_power_loss(self, inode: Inode) -> bytearray:
        """Return the content of a file after a power loss."""
        content = bytearray(inode.durable)
        rng = self.rng
        write_mode = rng.random()
        for write in inode.writes:
            if isinstance(write, int):
                if rng.random() < 0.5:
                    del content[write:]
                continue
            offset, data = write
            if write_mode < 0.3:  # in order, up to a random byte
                data = data[: rng.randint(0, len(data))]
                _write_at(content, offset, data)
                if len(data) < len(write[1]):
                    break
                continue
            position = 0
            while position < len(data):
                end = min(len(data), position + SECTOR - (offset + position) % SECTOR)
                if write_mode > 0.9 or rng.random() < 0.5:
                    _write_at(content, offset + position, data[position:end])
                position = end
        return content


def _write_at(content: bytearray, offset: int, data: bytes) -> None:
    """Write `data` at an offset; a gap before it is filled with zeros."""
    if len(content) < offset:
        content.extend(bytes(offset - len(content)))
    content[offset : offset + len(data)] = data


def _apply_name_change(names: dict[str, Inode], call: str, name: str, inode: Inode | None) -> None:
    """Apply a create, rename or remove to `names`; a rename has both names in `name`, separated by NUL."""
    if call == "remove":
        names.pop(name, None)
    elif call == "rename":
        old, new = name.split("\0")
        if old in names:
            names[new] = names.pop(old)
    elif inode is not None:
        names[name] = inode


class DiskFile:
    """An open file; it stays usable after its name is removed."""

    def __init__(self, disk: Disk, name: str, inode: Inode) -> None:
        self._disk, self.name, self._inode = disk, name, inode

    def write(self, offset: int, data: bytes) -> None:
        """Write at an offset. If it fails, a random part of the data is written.

        Raises `OSError`, with ENOSPC if the disk is full, or `PowerLostError`.
        """
        disk, inode = self._disk, self._inode
        failure = None
        try:
            disk.step("write", self.name)
        except PowerLostError:  # part of the data may reach the disk
            inode.writes.append((offset, data[: disk.rng.randint(0, len(data))]))
            raise
        except OSError as error:
            failure, data = error, data[: disk.rng.randint(0, len(data))]
        free_bytes = disk.capacity - disk.used() + min(len(data), max(len(inode.visible) - offset, 0))
        if len(data) > free_bytes:
            failure, data = OSError(errno.ENOSPC, "No space left on device"), data[: max(free_bytes, 0)]
        _write_at(inode.visible, offset, data)
        if data:
            inode.writes.append((offset, bytes(data)))
        if failure:
            raise failure

    def read(self, offset: int, size: int) -> bytes:
        """Return up to `size` bytes from an offset."""
        return bytes(self._inode.visible[offset : offset + size])

    def size(self) -> int:
        """Return the size in bytes."""
        return len(self._inode.visible)

    def truncate(self, size: int) -> None:
        """Cut the file to a size in bytes; raises `OSError` or `PowerLostError`."""
        self._disk.step("truncate", self.name)
        del self._inode.visible[size:]
        self._inode.writes.append(size)

    def sync(self) -> None:
        """Make the content durable; raises `OSError` or `PowerLostError`."""
        inode = self._inode
        try:
            self._disk.step("sync", self.name)
        except OSError:
            inode.sync_failed = True  # as Linux does, the pages count as clean although they were not written
            raise
        if self._disk.ignores_syncs or inode.sync_failed:
            return
        inode.durable, inode.writes = bytearray(inode.visible), []

    def close(self) -> None:
        """Do nothing: the disk keeps no state for open files."""
        ...


class DiskDirectory:
    """The folder of a disk in memory, with the interface of the store's directory.

    All methods that change it raise `OSError` or `PowerLostError`.
    """

    def __init__(self, disk: Disk, path: str = "disk") -> None:
        self.disk, self.path = disk, path

    def lock(self) -> None:
        """Do nothing: the folder has only one user."""
        ...

    def names(self) -> list[str]:
        """Return the names of all files, sorted."""
        return sorted(self.disk.names)

    def create(self, name: str) -> DiskFile:
        """Create an empty file."""
        self.disk.step("create", name)
        inode = Inode()
        self.disk.names[name] = inode
        self.disk.name_changes.append(("create", name, inode))
        return DiskFile(self.disk, name, inode)

    def open(self, name: str) -> DiskFile:
        """Open a file; raises `FileNotFoundError`."""
        if name not in self.disk.names:
            raise FileNotFoundError(errno.ENOENT, "No such file", name)
        return DiskFile(self.disk, name, self.disk.names[name])

    def rename(self, old: str, new: str) -> None:
        """Rename a file, replacing any file of the new name."""
        self.disk.step("rename", f"{old} {new}")
        self.disk.names[new] = self.disk.names.pop(old)
        self.disk.name_changes.append(("rename", f"{old}\0{new}", None))

    def remove(self, name: str) -> None:
        """Remove a file; raises `FileNotFoundError`."""
        self.disk.step("remove", name)
        if name not in self.disk.names:
            raise FileNotFoundError(errno.ENOENT, "No such file", name)
        del self.disk.names[name]
        self.disk.name_changes.append(("remove", name, None))

    def sync(self) -> None:
        """Make all changes of names durable."""
        self.disk.step("sync", ".")
        if not self.disk.ignores_syncs:
            self.disk.durable_names, self.disk.name_changes = dict(self.disk.names), []

    def close(self) -> None:
        """Do nothing."""
        ...
