"""Decides by its version whether a list from discovery counts. No input or output.

Answers can overtake each other, and an agent can lag behind or start its numbering again.
"""

import enum

from loftroute.decision import interface as i


class ListStanding(enum.Enum):
    """What a list is worth beside the one that the relay has."""

    NEWER = "newer"  # or the same
    OVERTAKEN = "overtaken"  # newer than what was known when its call started, but no longer
    STALE = "stale"  # the agent lags behind what it has told before
    RENUMBERED = "renumbered"  # the agent has started its numbering again


class ListVersions:
    """The version of the relay's list, and for how long the agent's lists have been stale.

    Attributes:
        version: version of the list; None without a list.
        stale_lists: number of stale lists received.
        needs_full_list: whether the agent's lists have been stale for so long that its numbering may have
            started again, which only the full list can tell.
    """

    def __init__(self, version: int | None, stale_grace_ns: int) -> None:
        """Start with the version of a cached list; lists may be stale for `stale_grace_ns` nanoseconds."""
        self.version, self._stale_grace_ns = version, stale_grace_ns
        self.stale_lists = 0
        self.needs_full_list = False
        self._stale_since: int | None = None

    def forget_staleness(self) -> None:
        """Start anew with another agent."""
        self._stale_since, self.needs_full_list = None, False

    def judge(self, event: i.ServerList, known_at_start: int | None, now: int) -> ListStanding:
        """Return the standing of a list whose call started when the version `known_at_start` was known.

        Unless the list is stale or overtaken, its version becomes that of the relay's list.

        An agent may lag behind for a while. If its versions stay lower, its numbering has started again, and
        its full list is accepted; otherwise the relay would ignore all further changes.
        """
        standing = self._standing(event, known_at_start, now)
        if standing in (ListStanding.NEWER, ListStanding.RENUMBERED):
            self.version = event.version
            self.forget_staleness()
        return standing

    def _standing(self, event: i.ServerList, known_at_start: int | None, now: int) -> ListStanding:
        if self.version is None or event.version >= self.version:
            return ListStanding.NEWER
        if known_at_start is None or event.version >= known_at_start:
            return ListStanding.OVERTAKEN
        self.stale_lists += 1
        if self._stale_since is None:
            self._stale_since = now
        if now - self._stale_since < self._stale_grace_ns:
            return ListStanding.STALE
        if event.kind is i.ListKind.FULL:
            return ListStanding.RENUMBERED
        self.needs_full_list = True
        return ListStanding.STALE
