"""Numbers of zones and cells, the groups within which servers drop repeats of a keyed request.

Two servers have the same number only if the list names the same group for both. Numbers of names that the
settings do not have are hashes, so that they need no table and stay the same over lists and restarts.
"""

from loftroute.decision.interface import FIRST_PRIVATE_GROUP
from loftroute.digest import digest_64

FIRST_NAMED_GROUP = 1 << 62  # above all indices in the settings and all numbers of cells
_HASH_RANGE = 1 << 62


def named_group(name: str) -> int:
    """Return the number of a group that the settings do not name."""
    return FIRST_NAMED_GROUP + digest_64(name, b"group") % _HASH_RANGE


def private_group(server_name: str) -> int:
    """Return the number of the group of a server that is listed without one."""
    return FIRST_PRIVATE_GROUP + digest_64(server_name, b"server") % _HASH_RANGE
