"""The state machine of one virtual router (RFC 9568 section 6.4), without I/O.

`Router.handle` takes an event and the time and returns actions. Times are nanoseconds of a monotonic clock.
`Router.due` says when the caller has to hand in the next `TimerFired`. Names are those of the RFC.
"""

from dataclasses import dataclass
from enum import Enum

from loftroute.protocol.vrrp import OWNER_PRIORITY, STOPPING_PRIORITY, Address, Advertisement

CENTISECOND = 10_000_000  # nanoseconds


class State(Enum):
    """State of a virtual router (section 6.3). The values are shown to operators."""

    INITIALIZE = "Initialize"
    BACKUP = "Backup"
    ACTIVE = "Active"


@dataclass(frozen=True, slots=True)
class RouterSettings:
    """The parameters of a virtual router (section 6.1).

    Attributes:
        vrid: Virtual router identifier, 1 to 255.
        priority: Priority, 1 to 254, or 255 for the owner of the addresses.
        interval_cs: Advertisement_Interval in centiseconds.
        primary: Primary address, which advertisements are sent from.
        addresses: The virtual addresses.
        preempt: Preempt_Mode: whether to take over from an Active of lower priority.
        accept: Accept_Mode. Not used here.
    """

    vrid: int
    priority: int
    interval_cs: int
    primary: Address
    addresses: tuple[Address, ...]
    preempt: bool = True
    accept: bool = False

    @property
    def is_owner(self) -> bool:
        """Whether this router owns the virtual addresses."""
        return self.priority == OWNER_PRIORITY


@dataclass(frozen=True, slots=True)
class Startup:
    """The Startup event of the RFC."""


@dataclass(frozen=True, slots=True)
class Shutdown:
    """The Shutdown event of the RFC."""


@dataclass(frozen=True, slots=True)
class TimerFired:
    """The time `Router.due` has come. Ignored if it has not."""


@dataclass(frozen=True, slots=True)
class AdvertisementReceived:
    """An advertisement that passed all checks has arrived; `sender` is its primary address."""

    advertisement: Advertisement
    sender: Address


@dataclass(frozen=True, slots=True)
class PriorityChanged:
    """The effective priority has changed because of a tracked condition."""

    priority: int


Event = Startup | Shutdown | TimerFired | AdvertisementReceived | PriorityChanged


@dataclass(frozen=True, slots=True)
class SendAdvertisement:
    """Send an advertisement to all peers."""

    advertisement: Advertisement


@dataclass(frozen=True, slots=True)
class Announce:
    """Announce that this router holds the addresses (gratuitous ARP, unsolicited neighbour advertisement)."""

    addresses: tuple[Address, ...]


@dataclass(frozen=True, slots=True)
class Withdraw:
    """Stop answering for the addresses."""

    addresses: tuple[Address, ...]


@dataclass(frozen=True, slots=True)
class StateChanged:
    """The state has changed.

    Attributes:
        before: The previous state.
        after: The new state.
        reason: The event behind it; for a new Active, a value of vrrpv3StatisticsNewMasterReason (RFC 6527).
    """

    before: State
    after: State
    reason: str


Action = SendAdvertisement | Announce | Withdraw | StateChanged


class Router:
    """One virtual router.

    Attributes:
        settings: The configured parameters.
        state: The current state.
        priority: The effective priority, lower than the configured one while a tracked condition fails.
        active_interval_cs: Active_Adver_Interval in centiseconds, learnt from the Active.
        due: When Adver_Timer or Active_Down_Timer fires, in nanoseconds; None if no timer runs.
        active_address: Primary address of the current Active, if known.
        active_heard_at: When the last advertisement of the Active arrived, in nanoseconds.
    """

    def __init__(self, settings: RouterSettings) -> None:
        """Create a router in state Initialize."""
        self.settings = settings
        self.state = State.INITIALIZE
        self.priority = settings.priority
        self.active_interval_cs = settings.interval_cs
        self.due: int | None = None
        self.active_address: Address | None = None
        self.active_heard_at: int | None = None

    # ---- section 6.1

    @property
    def skew_time(self) -> int:
        """Skew_Time in nanoseconds: less than one interval, and longer for a lower priority."""
        return (256 - self.priority) * self.active_interval_cs * CENTISECOND // 256

    @property
    def active_down_interval(self) -> int:
        """Active_Down_Interval in nanoseconds."""
        return 3 * self.active_interval_cs * CENTISECOND + self.skew_time

    def handle(self, now: int, event: Event) -> list[Action]:
        """Handle an event and return the actions. An event that does not apply to the state is ignored.

        `now` is in nanoseconds.
        """
        if isinstance(event, PriorityChanged):
            self.priority = event.priority
            return []
        if isinstance(event, Startup):
            return self._startup(now) if self.state is State.INITIALIZE else []
        if self.state is State.BACKUP:
            return self._as_backup(now, event)
        if self.state is State.ACTIVE:
            return self._as_active(now, event)
        return []

    def _startup(self, now: int) -> list[Action]:
        """Handle Startup in state Initialize (section 6.4.1)."""
        if self.settings.is_owner and self.priority == OWNER_PRIORITY:
            return self._become_active(now, "priority")
        self.active_interval_cs = self.settings.interval_cs
        self.due = now + self.active_down_interval
        return [self._change_state(State.BACKUP, "startup")]

    def _as_backup(self, now: int, event: Event) -> list[Action]:
        """Handle an event in state Backup (section 6.4.2)."""
        if isinstance(event, Shutdown):
            self.due = None
            return [self._change_state(State.INITIALIZE, "shutdown")]
        if isinstance(event, TimerFired):
            if self.due is None or now < self.due:
                return []
            return self._become_active(now, "active no response")
        if isinstance(event, AdvertisementReceived):
            advertisement = event.advertisement
            if advertisement.priority == STOPPING_PRIORITY:
                self.due = now + self.skew_time
            elif not self.settings.preempt or advertisement.priority >= self.priority:
                self.active_address, self.active_heard_at = event.sender, now
                self.active_interval_cs = advertisement.interval
                self.due = now + self.active_down_interval
        return []

    def _as_active(self, now: int, event: Event) -> list[Action]:
        """Handle an event in state Active (section 6.4.3)."""
        if isinstance(event, Shutdown):
            self.due = None
            return [
                SendAdvertisement(self._advertisement(STOPPING_PRIORITY)),
                Withdraw(self.settings.addresses),
                self._change_state(State.INITIALIZE, "shutdown"),
            ]
        if isinstance(event, TimerFired):
            if self.due is None or now < self.due:
                return []
            self.due = now + self.settings.interval_cs * CENTISECOND
            return [SendAdvertisement(self._advertisement())]
        if isinstance(event, AdvertisementReceived):
            return self._handle_other_active(now, event)
        return []

    def _handle_other_active(self, now: int, event: AdvertisementReceived) -> list[Action]:
        """Handle an advertisement of another Active; the greater priority, then the greater address, wins."""
        advertisement = event.advertisement
        if advertisement.priority == STOPPING_PRIORITY:
            self.due = now + self.settings.interval_cs * CENTISECOND
            return [SendAdvertisement(self._advertisement())]
        is_other_preferred = advertisement.priority > self.priority or (
            advertisement.priority == self.priority and int(event.sender) > int(self.settings.primary)
        )
        if not is_other_preferred:
            # Section 6.4.3: discard it and advertise at once, so that the other router steps back.
            self.due = now + self.settings.interval_cs * CENTISECOND
            return [SendAdvertisement(self._advertisement())]
        self.active_address, self.active_heard_at = event.sender, now
        self.active_interval_cs = advertisement.interval
        self.due = now + self.active_down_interval
        return [Withdraw(self.settings.addresses), self._change_state(State.BACKUP, "other active")]

    def _become_active(self, now: int, reason: str) -> list[Action]:
        """Advertise, announce the addresses and change to Active."""
        self.active_address = self.settings.primary
        self.due = now + self.settings.interval_cs * CENTISECOND
        return [
            SendAdvertisement(self._advertisement()),
            Announce(self.settings.addresses),
            self._change_state(State.ACTIVE, reason),
        ]

    def _advertisement(self, priority: int | None = None) -> Advertisement:
        return Advertisement(
            self.settings.vrid,
            self.priority if priority is None else priority,
            self.settings.interval_cs,
            self.settings.addresses,
        )

    def _change_state(self, after: State, reason: str) -> StateChanged:
        change, self.state = StateChanged(self.state, after, reason), after
        return change


def check_advertisement(advertisement: Advertisement, settings: RouterSettings) -> str | None:
    """Check an advertisement against the router's settings (section 7.1).

    Return the name of the error, or None. A different interval is no error, since the interval is learnt from
    the Active. Different addresses are no error either; the caller counts them.
    """
    if advertisement.vrid != settings.vrid:
        return "vrid error"
    if settings.is_owner and advertisement.priority == OWNER_PRIORITY:
        return "two owners"
    return None
