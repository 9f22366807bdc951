"""Which build has served a key, in bounded memory, for releases that only go forward.

The latest keys are kept as they are. Older ones are kept in a Bloom filter for each build (B. H. Bloom,
"Space/time trade-offs in hash coding with allowable errors", 1970). It never forgets a key, so no key returns
to an earlier build. A key that it takes for another one by mistake only has fewer servers than it could have.
"""

from collections.abc import Callable
from random import Random


class BloomFilter:
    """A set of keys of fixed size that may also contain keys that were never added."""

    __slots__ = ("_bits", "_hashes", "_size_exponent")

    def __init__(self, size_exponent: int, hashes: int) -> None:
        """Create a filter of two to the power of `size_exponent` bits, of which a key sets `hashes`."""
        self._size_exponent, self._hashes = size_exponent, hashes
        self._bits = bytearray(1 << (size_exponent - 3))

    def add(self, key: str) -> None:
        """Add a key."""
        for position in self._positions(key):
            self._bits[position >> 3] |= 1 << (position & 7)

    def __contains__(self, key: str) -> bool:
        return all(self._bits[position >> 3] >> (position & 7) & 1 for position in self._positions(key))

    def _positions(self, key: str) -> list[int]:
        hashed = Random(key).getrandbits(self._hashes * self._size_exponent)  # the same for each process
        mask = (1 << self._size_exponent) - 1
        return [hashed >> (n * self._size_exponent) & mask for n in range(self._hashes)]


class ServedKeys:
    """The newest build that served each key."""

    def __init__(self, max_exact: int, max_filters: int, new_filter: Callable[[], BloomFilter]) -> None:
        """Keep up to `max_exact` keys as they are, and older ones in filters for the newest builds."""
        self._max_exact, self._max_filters, self._new_filter = max_exact, max_filters, new_filter
        self._build_by_key: dict[str, int] = {}  # the latest recorded last
        self._filter_by_build: dict[int, BloomFilter] = {}

    def __len__(self) -> int:
        return len(self._build_by_key)

    def min_build(self, key: str | None) -> int:
        """Return the lowest build that may serve a key, 0 for any."""
        if key is None:
            return 0
        build = self._build_by_key.get(key, 0)
        filtered = (b for b, keys in self._filter_by_build.items() if b > build and key in keys)
        return max(filtered, default=build) if self._filter_by_build else build

    def record(self, key: str, build: int) -> None:
        """Note that a build has served a key."""
        self._build_by_key[key] = max(build, self._build_by_key.pop(key, 0))
        if len(self._build_by_key) > self._max_exact:
            oldest = next(iter(self._build_by_key))
            self._add_to_filter(oldest, self._build_by_key.pop(oldest))

    def _add_to_filter(self, key: str, build: int) -> None:
        keys = self._filter_by_build.get(build)
        if keys is None:
            keys = self._filter_by_build[build] = self._new_filter()
            if len(self._filter_by_build) > self._max_filters:
                del self._filter_by_build[min(self._filter_by_build)]
        keys.add(key)

    def forget_up_to(self, build: int) -> None:
        """Forget the keys that no build above `build` has served, once no earlier build has servers."""
        self._build_by_key = {key: b for key, b in self._build_by_key.items() if b > build}
        self._filter_by_build = {b: keys for b, keys in self._filter_by_build.items() if b > build}

    def clear(self) -> None:
        """Forget all keys."""
        self._build_by_key.clear()
        self._filter_by_build.clear()
