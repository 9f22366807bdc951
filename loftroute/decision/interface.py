"""Types of the decision module: settings and events go in, actions come out.

All times are whole nanoseconds; points in time are on the clock of the caller, which gives `Balancer.handle`
the time of each event. No object of these types is changed after it was created. The dataclasses are not
frozen, since freezing makes creating one three times as expensive. Each protocol front end translates its
messages into these types.
"""

from dataclasses import dataclass, field
from enum import Enum, IntEnum


class Outcome(Enum):
    """How an attempt, a probe or a call to the platform ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"  # rejected before it ran: the queue is full
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"  # no connection, so that it cannot have run
    RESET = "reset"  # the connection broke: it may have run
    CANCELLED = "cancelled"
    MOOT = "moot"  # dropped before it was sent or acted on


class Effect(Enum):
    """Whether a request may run more than once."""

    SAFE = "safe"  # may run more than once without harm, at any server
    KEYED = "keyed"  # carries an idempotency key: servers that know the key drop a repeat
    UNSAFE = "unsafe"  # must not be repeated once it may have run


class DedupScope(Enum):
    """Which servers share idempotency keys and so drop repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Control(Enum):
    """What advances a release stage: any single vote, a number of valid votes (SHARE), or a timer."""

    ANY = "any"
    SHARE = "share"
    TIMER = "timer"


class Phase(IntEnum):
    """Phase of a release."""

    TRIAL = 0  # the new build takes a capped share of the traffic, stage by stage
    GOING_BACK = 1  # the new build is being rolled back
    RELEASED = 2
    WITHDRAWN = 3  # the rollback is complete


class Verdict(IntEnum):
    """What an instance votes on the current stage."""

    NONE = 0
    ON = 1  # advance to the next stage
    HOLD = 2  # stay in this stage
    BACK = 3  # roll the build back


class ServerState(Enum):
    """State of a server in the list of discovery."""

    READY = "ready"
    DRAINING = "draining"  # finishes its requests and takes no new ones
    GONE = "gone"


class ListKind(Enum):
    """What a server list holds."""

    DELTA = "delta"  # changed entries only
    FULL = "full"
    CACHED = "cached"  # a full list that may be out of date
    FAILED = "failed"  # discovery did not answer


@dataclass(slots=True, unsafe_hash=True)
class RequestClass:
    """Rules for one class of requests.

    Attributes:
        name: name of the class in the settings.
        effect: whether a request may be repeated.
        dedup_scope: servers that share the idempotency keys of this class.
        target_latency: an answer is on time within this time of the request's arrival (ns).
        deadline: time after which the request must have its final answer (ns).
        key_window: for how long servers remember an idempotency key (ns).
        value: what an answer on time is worth.
        late_value: what an answer between target and deadline is worth.
        stream: the answer is streamed.
        target_stretch: added to the target per nanosecond of work that the request hints at.
    """

    name: str
    target_latency: int
    deadline: int
    effect: Effect
    dedup_scope: DedupScope
    key_window: int
    value: float
    late_value: float
    stream: bool
    target_stretch: float


@dataclass(slots=True, unsafe_hash=True)
class Release:
    """How new builds are released.

    Attributes:
        control: what advances a stage.
        in_place: trial servers replace baseline servers instead of running beside them.
        stage_share: share of the servers that run the new build, by stage.
        stage_cap: share of the requests that may reach the new build, by stage.
        cap_per_class: the cap holds for each request class by itself.
        safe_only_stages: number of first stages in which only safe requests may reach the new build.
        forward_only: once a key was served by a build, no earlier build may serve it.
        free_attempts: attempts allowed beyond the cap in any window.
        exposure_window: span over which the cap is checked (ns).
        bake_time: least time in a stage before it may advance (ns).
        stage_duration: time in a stage under `Control.TIMER` (ns).
        vote_ttl: how long an accepted vote is valid (ns).
        call_timeout: how long to wait for the answer to a vote (ns).
        calls_per_s: votes a second that the platform accepts from all instances together.
        votes_to_advance: number of votes to advance, valid at the same time, that advance a stage.
        votes_to_roll_back: number of votes to roll back, valid at the same time, that roll the build back.
        push_period: how often the platform repeats its state (ns).
        tally_period: how often the platform sends tallies (ns).
        behind_price: price of a release that is behind schedule. Not used by the policy.
        harm_price: price of requests harmed by a bad build. Not used by the policy.
    """

    control: Control
    in_place: bool
    stage_share: tuple[float, ...]
    stage_cap: tuple[float, ...]
    cap_per_class: bool
    safe_only_stages: int
    forward_only: bool
    free_attempts: float
    exposure_window: int
    bake_time: int
    stage_duration: int
    vote_ttl: int
    call_timeout: int
    calls_per_s: float
    votes_to_advance: int
    votes_to_roll_back: int
    push_period: int
    tally_period: int
    behind_price: float
    harm_price: float


@dataclass(slots=True, unsafe_hash=True)
class Settings:
    """Settings of one instance.

    Attributes:
        instance_index: number of this instance, from 0.
        instances: number of instances that share the traffic.
        zone: zone of this instance.
        clock_granularity: granularity of time at the servers (ns); a key's window may end this much early.
        classes: request classes, by their index.
        quotas: requests a second that each tenant may send to all instances together.
        release: how new builds are released.
        over_quota_value: worth of an answer beyond the quota, as a share of a normal one.
        ask_discovery: the instance must ask discovery for its list with `Watch`.
        ask_discovery_within: time within which discovery must be asked (ns).
        drain_grace: time that a draining server is given (ns).
        cold_duration: time from a server's start until it has its full capacity (ns).
        start_capacity: share of its capacity that a server has at its start.
        overload_window: span over which the work sent to a cold server is bounded (ns).
        overload_multiple: work that a cold server bears in that span, as a multiple of what its present
            capacity finishes.
        max_attempts: attempts of one request at the most.
        max_retry_after: longest time that a refusal may tell a client to wait (ns).
        retry_after: refusals tell clients when to retry.
        cancel: attempts may be cancelled.
        probes: servers may be probed.
        second_copies: a request may have two attempts outstanding.
        report_fields: names of the figures in load reports.
        reports: channel of the load reports, "none" without one. Not used by the policy.
        weights: source of the server weights, "none" without one. Not used by the policy.
        probe_price: price of a probe. Not used by the policy.
        cross_zone_price: price of an attempt in another zone; the policy uses only whether it is above 0.
    """

    instance_index: int
    instances: int
    zone: int
    clock_granularity: int
    classes: tuple[RequestClass, ...]
    quotas: tuple[float, ...]
    over_quota_value: float
    release: Release
    ask_discovery: bool
    ask_discovery_within: int
    drain_grace: int
    cold_duration: int
    start_capacity: float
    overload_window: int
    overload_multiple: float
    max_attempts: int
    max_retry_after: int
    retry_after: bool
    cancel: bool
    probes: bool
    second_copies: bool
    report_fields: tuple[str, ...]
    reports: str
    weights: str
    probe_price: float
    cross_zone_price: float


# Zones and cells from this number on are those of servers listed without one: no other server is in them.
FIRST_PRIVATE_GROUP = 1 << 63


@dataclass(slots=True, unsafe_hash=True)
class ServerEntry:
    """A server as discovery lists it; `started` is the start of its process (ns), 0 if unknown."""

    server: int
    zone: int  # index in the settings, or a number made from its name, see protocol/groups.py
    cell: int
    machine_type: int  # index of the machine type
    build: int
    state: ServerState
    started: int
    weight: float  # capacity relative to a server of weight 1


@dataclass(slots=True, unsafe_hash=True)
class Started:
    """The instance has just started with empty memory."""


@dataclass(slots=True, unsafe_hash=True)
class ServerList:
    """A list of servers from discovery."""

    kind: ListKind
    version: int
    entries: tuple[ServerEntry, ...]


@dataclass(slots=True, unsafe_hash=True)
class RequestArrived:
    """A request that needs one final answer: an attempt that succeeds, `Refuse` or `Fail`.

    Attributes:
        request: unique id of the request.
        key: routing and idempotency key, None without one.
        tenant: index of the tenant in `Settings.quotas`.
        cls: index of the request class in `Settings.classes`.
        work_hint: expected work (ns of a server of weight 1), None without a hint.
        time_left: time until the client gives up (ns).
        is_retry: the client has sent this request before.
        write: the request is marked as a write. Not used by the policy: repeats depend on `Effect`.
    """

    request: str
    key: str | None
    tenant: int
    cls: int
    work_hint: int | None
    time_left: int
    is_retry: bool
    write: bool


@dataclass(slots=True, unsafe_hash=True)
class StreamStarted:
    """The first part of a streamed answer arrived, `latency` ns after the attempt was sent."""

    request: str
    attempt: int
    server: int
    latency: int


@dataclass(slots=True, unsafe_hash=True)
class AttemptEnded:
    """An attempt ended.

    Attributes:
        attempt: number of the attempt within its request, from 0.
        latency: time since the attempt was sent (ns).
        request_closed: the request has its final answer, so that no further attempt is wanted.
        load: load report of the server in the order of `Settings.report_fields`, None without one.
    """

    request: str
    attempt: int
    server: int
    outcome: Outcome
    latency: int
    request_closed: bool
    load: tuple[float, ...] | None


@dataclass(slots=True, unsafe_hash=True)
class ClientGone:
    """The client of a request has disconnected or its request is closed."""

    request: str


@dataclass(slots=True, unsafe_hash=True)
class TimerFired:
    """A timer set by `SetTimer` is due."""

    token: int


@dataclass(slots=True, unsafe_hash=True)
class ProbeEnded:
    """A probe of a server ended after `latency` ns."""

    server: int
    outcome: Outcome
    latency: int
    load: tuple[float, ...] | None


@dataclass(slots=True, unsafe_hash=True)
class PeerMessage:
    """A message from another instance."""

    sender: int
    data: bytes


@dataclass(slots=True, unsafe_hash=True)
class ReleaseNews:
    """State of the release on the platform.

    Attributes:
        phase: a value of `Phase`.
        age: time since the platform entered this phase and stage (ns).
        status: how the call that sent the vote ended, if `is_reply`; else OK.
        cap: share of the requests that may reach the build now.
        build: the build that is on trial, released or rolled back.
        is_reply: this answers a vote of this instance.
        is_late: this reply came after its vote had timed out, and settles none.
    """

    phase: int
    age: int
    stage: int
    status: Outcome
    cap: float
    build: int
    is_reply: bool
    is_late: bool = False

    def progress(self) -> tuple[int, int, int]:
        """Return a tuple that orders states: the later one is greater.

        A released build may still be rolled back, so that RELEASED comes before GOING_BACK. The stage counts
        only during a trial (phase 0).
        """
        order = (Phase.TRIAL, Phase.RELEASED, Phase.GOING_BACK, Phase.WITHDRAWN)
        return self.build, order.index(self.phase), 0 if self.phase else self.stage


@dataclass(slots=True, unsafe_hash=True)
class Tally:
    """Failures of a build's requests as the platform counts them. Not used by the policy.

    Attributes:
        cls: index of the request class.
        failed: number of sampled requests that failed.
        sampled: number of sampled requests.
        age: age of the tally (ns).
        latency: latency as the platform reports it (ns).
    """

    build: int
    cls: int
    failed: int
    sampled: int
    age: int
    latency: int


@dataclass(slots=True, unsafe_hash=True)
class AnswerDisputed:
    """A client has reported a wrong answer of this server, given `age` ns ago."""

    server: int
    cls: int
    age: int


Event = (
    Started
    | ServerList
    | RequestArrived
    | StreamStarted
    | AttemptEnded
    | ClientGone
    | TimerFired
    | ProbeEnded
    | PeerMessage
    | ReleaseNews
    | Tally
    | AnswerDisputed
)


class EndReason(Enum):
    """Why the decision module refused a request or let it fail, for logs and counters."""

    OVERLOAD = "overload"  # shed at its arrival
    NO_TIME = "no time"  # its time, or its number of attempts, is used up
    NO_SERVER = "no server"  # no server could take it in time
    NOT_RETRIED = "not retried"  # an attempt ended, and no further one is allowed or worthwhile
    UNKNOWN = "unknown"


@dataclass(slots=True, unsafe_hash=True)
class Send:
    """Send an attempt to a server.

    Attributes:
        timeout: time until the attempt ends with `Outcome.TIMEOUT` (ns).
        send_within: time until its last byte must be sent (ns); 0 if only the timeout bounds it.
    """

    request: str
    server: int
    timeout: int
    send_within: int = 0


@dataclass(slots=True, unsafe_hash=True)
class Refuse:
    """Refuse a request; the client may retry after `retry_after` ns, 0 to give no time."""

    request: str
    retry_after: int
    reason: EndReason = field(default=EndReason.UNKNOWN, compare=False)


@dataclass(slots=True, unsafe_hash=True)
class Fail:
    """Answer a request with an error; the client must not assume that it did not run."""

    request: str
    reason: EndReason = field(default=EndReason.UNKNOWN, compare=False)


@dataclass(slots=True, unsafe_hash=True)
class Cancel:
    """Cancel an attempt."""

    request: str
    attempt: int


@dataclass(slots=True, unsafe_hash=True)
class SetTimer:
    """Deliver `TimerFired` with this token at time `at` (ns, on the clock of the events)."""

    at: int
    token: int


@dataclass(slots=True, unsafe_hash=True)
class Probe:
    """Probe a server."""

    server: int


@dataclass(slots=True, unsafe_hash=True)
class CloseIdle:
    """Close idle connections to a server."""

    server: int


@dataclass(slots=True, unsafe_hash=True)
class Tell:
    """Send a message to one instance, or to all (None)."""

    peer: int | None
    data: bytes


@dataclass(slots=True, unsafe_hash=True)
class Watch:
    """Start or stop watching discovery for changes."""

    enabled: bool


@dataclass(slots=True, unsafe_hash=True)
class Fetch:
    """Ask discovery once for the full list."""


@dataclass(slots=True, unsafe_hash=True)
class Vote:
    """Vote on a build in a stage."""

    stage: int
    build: int
    verdict: Verdict


@dataclass(slots=True, unsafe_hash=True)
class Log:
    """Write a line to the log."""

    text: str


Action = Send | Refuse | Fail | Cancel | SetTimer | Probe | CloseIdle | Tell | Watch | Fetch | Vote | Log
