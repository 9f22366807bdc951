"""Hash functions that give the same result in every process and on every machine.

Sources: the finalizer of SplitMix64 (Steele, Lea and Flood, 2014); jump consistent hash
(Lamping and Veach, 2014, arXiv:1406.2294).
"""

_MASK = (1 << 64) - 1


def mix(value: int) -> int:
    """Return 64 evenly distributed bits for an integer (SplitMix64)."""
    value = (value + 0x9E3779B97F4A7C15) & _MASK
    value = ((value ^ (value >> 30)) * 0xBF58476D1CE4E5B9) & _MASK
    value = ((value ^ (value >> 27)) * 0x94D049BB133111EB) & _MASK
    return value ^ (value >> 31)


def jump_hash(key: int, buckets: int) -> int:
    """Return a bucket from 0 to `buckets` - 1 (jump consistent hash).

    When a bucket is added, only the keys that move to the new bucket change theirs.
    """
    bucket, next_bucket = -1, 0
    while next_bucket < buckets:
        bucket = next_bucket
        key = (key * 2862933555777941757 + 1) & _MASK
        next_bucket = int((bucket + 1) * ((1 << 31) / ((key >> 33) + 1)))
    return bucket
