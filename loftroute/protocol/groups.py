"""Numbers of zones and cells, the groups within which servers drop repeats of a keyed request.

Two servers have the same number only if the list names the same group for both. Numbers of names that the
settings do not have are hashes, so that they need no table and stay the same over lists and restarts.
"""

import hashlib

from loftroute.decision.interface import FIRST_PRIVATE_GROUP

FIRST_NAMED_GROUP = 1 << 62  # above all indices in the settings and all numbers of cells
_HASH_RANGE = 1 << 62


def named_group(name: str) -> int:
    """Return the number of a group that the settings do not name."""
    return FIRST_NAMED_GROUP + _hash(b"group", name)


def private_group(server_name: str) -> int:
    """Return the number of the group of a server that is listed without one."""
    return FIRST_PRIVATE_GROUP + _hash(b"server", server_name)


def _hash(purpose: bytes, name: str) -> int:
    encoded_name = name.encode("utf-8", "surrogatepass")
    digest = hashlib.blake2b(encoded_name, digest_size=8, person=purpose).digest()
    return int.from_bytes(digest) % _HASH_RANGE
