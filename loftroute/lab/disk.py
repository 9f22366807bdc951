"""A disk in memory that fails by a plan: loss of power, torn and unordered writes, errors, full, lying syncs.

Contents are kept as what is safe and a list of writes that are not. A loss of power keeps any subset of the
latter, cut at sectors, in any order; of changes to the folder it keeps any prefix, as a journalled file
system does. After it the disk is opened anew through `Disk.restart`.
"""

import errno
import random
from collections.abc import Callable

SECTOR = 512


class PowerLost(Exception):
    """The machine stopped here."""


class Inode:
    """What a file holds: safely, and as the running system sees it."""

    def __init__(self) -> None:
        self.safe = bytearray()
        self.seen = bytearray()
        self.writes: list[
            tuple[int, bytes] | int
        ] = []  # not yet safe: (offset, data), or a size it was cut to
        self.spoilt = False  # a sync failed: what was not safe then never becomes so


class Disk:
    """One folder's worth of disk."""

    def __init__(self, rng: random.Random, capacity: int = 1 << 40) -> None:
        self.rng, self.capacity = rng, capacity
        self.names: dict[str, Inode] = {}
        self.safe_names: dict[str, Inode] = {}
        self.changes: list[tuple[str, str, Inode | None]] = []  # name changes that are not yet safe
        self.steps = 0
        self.power_at: int | None = None  # the step at which power is lost
        self.fail: Callable[[str, str], OSError | None] = lambda call, name: None
        self.lies = False  # syncs return without having made anything safe
        self.log: list[tuple[str, str]] = []

    def step(self, call: str, name: str) -> None:
        """Each call that changes something is a step, and can fail or be the last."""
        self.steps += 1
        self.log.append((call, name))
        if self.power_at is not None and self.steps >= self.power_at:
            raise PowerLost(f"{call} {name}")
        problem = self.fail(call, name)
        if problem:
            raise problem

    def used(self) -> int:
        return sum(len(inode.seen) for inode in self.names.values())

    def crash(self) -> "Disk":
        """What a loss of power leaves, as a disk to start from."""
        left = Disk(self.rng, self.capacity)
        names = dict(self.safe_names)
        for call, name, inode in self.changes[: self.rng.randint(0, len(self.changes))]:
            _change(names, call, name, inode)
        done: dict[int, Inode] = {}
        for name, inode in names.items():
            if id(inode) not in done:
                done[id(inode)] = kept = Inode()
                kept.safe = kept.seen = self._landed(inode)
                kept.seen = bytearray(kept.safe)
            left.names[name] = done[id(inode)]
        left.safe_names = dict(left.names)
        return left

    def killed(self) -> "Disk":
        """What the end of the process alone leaves: all that was written."""
        left = Disk(self.rng, self.capacity)
        left.names, left.safe_names, left.changes = self.names, self.safe_names, self.changes
        return left

    def _landed(self, inode: Inode) -> bytearray:
        content = bytearray(inode.safe)
        rng = self.rng
        way = rng.random()
        for write in inode.writes:
            if isinstance(write, int):
                if rng.random() < 0.5:
                    del content[write:]
                continue
            offset, data = write
            if way < 0.3:  # in order, up to some byte
                data = data[: rng.randint(0, len(data))]
                _put(content, offset, data)
                if len(data) < len(write[1]):
                    break
                continue
            at = 0
            while at < len(data):
                end = min(len(data), at + SECTOR - (offset + at) % SECTOR)
                if way > 0.9 or rng.random() < 0.5:
                    _put(content, offset + at, data[at:end])
                at = end
        return content


def _put(content: bytearray, offset: int, data: bytes) -> None:
    if len(content) < offset:
        content.extend(bytes(offset - len(content)))
    content[offset : offset + len(data)] = data


def _change(names: dict[str, Inode], call: str, name: str, inode: Inode | None) -> None:
    if call == "remove":
        names.pop(name, None)
    elif call == "rename":
        old, new = name.split("\0")
        if old in names:
            names[new] = names.pop(old)
    elif inode is not None:
        names[name] = inode


class DiskFile:
    """An open file; the name may go while it is open."""

    def __init__(self, disk: Disk, name: str, inode: Inode) -> None:
        self._disk, self.name, self._inode = disk, name, inode

    def write(self, offset: int, data: bytes) -> None:
        disk, inode = self._disk, self._inode
        part = None
        try:
            disk.step("write", self.name)
        except PowerLost:  # some of it was under way
            inode.writes.append((offset, data[: disk.rng.randint(0, len(data))]))
            raise
        except OSError as problem:
            part, data = problem, data[: disk.rng.randint(0, len(data))]
        room = disk.capacity - disk.used() + min(len(data), max(len(inode.seen) - offset, 0))
        if len(data) > room:
            part, data = OSError(errno.ENOSPC, "No space left on device"), data[: max(room, 0)]
        _put(inode.seen, offset, data)
        if data:
            inode.writes.append((offset, bytes(data)))
        if part:
            raise part

    def read(self, offset: int, size: int) -> bytes:
        return bytes(self._inode.seen[offset : offset + size])

    def size(self) -> int:
        return len(self._inode.seen)

    def truncate(self, size: int) -> None:
        self._disk.step("truncate", self.name)
        del self._inode.seen[size:]
        self._inode.writes.append(size)

    def sync(self) -> None:
        inode = self._inode
        try:
            self._disk.step("sync", self.name)
        except OSError:
            inode.spoilt = True  # the pages are marked clean all the same
            raise
        if self._disk.lies or inode.spoilt:
            return
        inode.safe, inode.writes = bytearray(inode.seen), []

    def close(self) -> None: ...


class DiskDirectory:
    """The folder of a disk in memory."""

    def __init__(self, disk: Disk, path: str = "disk") -> None:
        self.disk, self.path = disk, path

    def lock(self) -> None: ...

    def names(self) -> list[str]:
        return sorted(self.disk.names)

    def create(self, name: str) -> DiskFile:
        self.disk.step("create", name)
        inode = Inode()
        self.disk.names[name] = inode
        self.disk.changes.append(("create", name, inode))
        return DiskFile(self.disk, name, inode)

    def open(self, name: str) -> DiskFile:
        if name not in self.disk.names:
            raise FileNotFoundError(errno.ENOENT, "No such file", name)
        return DiskFile(self.disk, name, self.disk.names[name])

    def rename(self, old: str, new: str) -> None:
        self.disk.step("rename", f"{old} {new}")
        self.disk.names[new] = self.disk.names.pop(old)
        self.disk.changes.append(("rename", f"{old}\0{new}", None))

    def remove(self, name: str) -> None:
        self.disk.step("remove", name)
        if name not in self.disk.names:
            raise FileNotFoundError(errno.ENOENT, "No such file", name)
        del self.disk.names[name]
        self.disk.changes.append(("remove", name, None))

    def sync(self) -> None:
        self.disk.step("sync", ".")
        if not self.disk.lies:
            self.disk.safe_names, self.disk.changes = dict(self.disk.names), []

    def close(self) -> None: ...
