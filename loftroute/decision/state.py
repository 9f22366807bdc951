"""State that the decision policy keeps: servers, requests, the release, and sums over sliding windows.

Nothing is decided here. All times are in nanoseconds; work is nanoseconds on a warm server of weight 1.
"""

from collections import defaultdict, deque
from dataclasses import dataclass, field

from loftroute.decision.interface import (
    Action,
    AttemptEnded,
    ClientGone,
    ListKind,
    Outcome,
    ReleaseNews,
    RequestClass,
    ServerEntry,
    ServerList,
    ServerState,
)
from loftroute.decision.served_keys import ServedKeys

UNLISTED_LIMIT = 4096  # servers that are no longer listed whose last start times are remembered

# An outcome as the release judge reads it: time of the outcome, 1 if bad (else 0), failure code (1 error,
# 2 reset, else 0), and slowdown (latency / work).
OutcomeRecord = tuple[int, int, int, float]


class WindowSum:
    """Sum of the amounts added within the last `length` nanoseconds, both ends included."""

    __slots__ = ("_items", "_total", "length")

    def __init__(self, length: int) -> None:
        self.length = length
        self._items: deque[tuple[int, float]] = deque()
        self._total = 0.0

    def add(self, now: int, amount: float) -> float:
        """Add an amount and return the sum."""
        items, oldest = self._items, now - self.length
        while items and items[0][0] < oldest:  # bounds the memory of a sum that is rarely read
            self._total -= items.popleft()[1]
        self._total = self._total + amount if items else amount
        items.append((now, amount))
        return self._total

    def total(self, now: int) -> float:
        """Return the sum."""
        items, oldest = self._items, now - self.length
        while items and items[0][0] < oldest:
            self._total -= items.popleft()[1]
        if not items:
            self._total = 0.0  # drops the rounding errors
        return self._total


@dataclass(slots=True)
class SmoothedValue:
    """Exponentially smoothed value, and the number of samples that it stands for, which may decay."""

    value: float = 1.0
    sample_count: float = 0.0

    def update(self, value: float, step: float) -> None:
        """Add a sample with smoothing factor `step`; the first samples are averaged with equal weight."""
        self.sample_count += 1.0
        self.value += max(step, 1.0 / self.sample_count) * (value - self.value)

    def estimate(self, prior: float, prior_weight: float) -> float:
        """Return the value shrunk towards a prior that counts as `prior_weight` samples."""
        return (self.sample_count * self.value + prior_weight * prior) / (self.sample_count + prior_weight)


@dataclass(slots=True)
class Attempt:
    """An attempt of a request at a server; `outcome` is None while it is outstanding.

    `key` is that of its request, which may be forgotten before the attempt ends.
    """

    entry: ServerEntry
    sent_at: int
    latency_counts: bool  # the server was warm and this instance had not just been stalled
    work: float  # estimated
    key: str | None = None
    outcome: Outcome | None = None
    silence_judged: bool = False  # the server's silence was already counted against its build


@dataclass(slots=True)
class Request:
    """A request without a final answer, with its estimated work; fields in `_at` are points in time (ns)."""

    id: str
    key: str | None
    cls: int  # index of its class
    request_class: RequestClass
    work: float
    arrived_at: int
    target_at: int
    deadline_at: int
    attempts: list[Attempt] = field(default_factory=list)


@dataclass(slots=True)
class Server:
    """What the instance knows of a server.

    Attributes:
        entry: its last entry in the list.
        sent_work: work sent to it within the overload window.
        finished_work: work that it has finished in the last seconds (`FINISHED_WORK_SPAN` of the policy).
        slowdown: latency of its answers relative to their work.
        expected_slowdown: the same, shrunk towards that of its zone and the fleet.
        started_at: start of its process (ns); 0 if unknown, then it counts as warm.
        capacity_share: lower bound on the share of its capacity that it has now; below 1 while it is cold.
        latency_weight: factor of its routing weight, near 0 for a server much slower than the fleet.
        listed: it is in the list and not gone.
        outstanding: attempts without an outcome, by request id and number of the attempt, oldest first.
        outstanding_work: sum of their work.
        last_heard_at: time of its last answer of any kind.
        failure_rate: smoothed share of its attempts that end in an error, reset or time-out.
        ejected_until: end of its ejection, kept after that until its next success; 0 if it is not ejected.
            Between the end and the success it gets one attempt at a time.
        consecutive_ejections: ejections since its last success; each doubles the length of the next one.
        unjudged_timeouts: time-outs since it was last heard, not yet counted against its build.
    """

    entry: ServerEntry
    sent_work: WindowSum
    finished_work: WindowSum
    slowdown: SmoothedValue
    expected_slowdown: float
    started_at: int
    capacity_share: float = 1.0
    latency_weight: float = 1.0
    listed: bool = True
    outstanding: dict[tuple[str, int], Attempt] = field(default_factory=dict)
    outstanding_work: float = 0.0
    last_heard_at: int = 0
    failure_rate: float = 0.0
    ejected_until: int = 0
    consecutive_ejections: int = 0
    unjudged_timeouts: int = 0

    def routing_weight(self) -> float:
        """Return its weight in random draws, by size, present capacity and latency."""
        return self.entry.weight * self.capacity_share * self.latency_weight

    def silent_for(self, now: int) -> int:
        """Return for how long attempts have been outstanding without any answer (ns)."""
        oldest = next(iter(self.outstanding.values()), None)
        return now - max(self.last_heard_at, oldest.sent_at) if oldest else 0


@dataclass(slots=True)
class SentVote:
    """The vote that was sent last; it is pending until the platform answers."""

    stage: int
    build: int
    verdict: int  # a value of Verdict
    sent_at: int
    pending: bool = True
    valid_until: int = 0  # the vote is valid until this time (ns)

    def apply_reply(self, accepted: bool, vote_ttl: int) -> None:
        """Apply the platform's answer; an accepted vote is valid for `vote_ttl` ns from when it was sent."""
        if self.pending and accepted:
            self.valid_until = self.sent_at + vote_ttl
        self.pending = False


@dataclass(eq=False)
class InstanceState:
    """What an instance knows; empty at its start.

    Attributes:
        now: time of the event that is being handled.
        started_at: start of the instance.
        actions: actions of the event that is being handled.
        servers: servers that are listed or have attempts outstanding or recent work, by number.
        departed_starts: last start times of departed servers that are no longer kept.
        healthy: listed servers that are neither ejected nor much slower than the fleet.
        ready: servers that discovery lists as ready.
        builds: builds of the ready servers, ascending.
        trial_builds: those of them that are on trial.
        pools: ready servers with their cumulative routing weights: 0 of builds that are not on trial, 1 of
            builds on trial, 2 all.
        healthy_outstanding: the outstanding attempts of each healthy server.
        throughput: work per time (ns per ns) that a warm server of weight 1 finishes for this instance.
        last_cold_draw_at: when a held request last took part in a draw among cold servers, or when the first
            request was held.
        lost_attempts: outstanding attempts at healthy servers that have waited so much longer than expected
            that they count as lost.
        mean_waiting_age: mean age (ns) of the other outstanding attempts, 0 if there are fewer than three.
        trial_share: target share of the attempts for builds on trial.
        requests: requests without a final answer, by id.
        held_requests: ids of those that wait for a server, in order of arrival.
        sweep_scheduled: a timer is set that tries the held requests again.
        watch_failures: failures of discovery in a row.
        fleet_slowdown: smoothed first quartile of the servers' expected slowdowns (latency / work).
        fleet_failure_rate: smoothed share of all attempts that end in an error, reset or time-out.
        answer_slowdown: smoothed slowdown of successful answers.
        long_term_slowdown: the same, smoothed over a long time.
        zone_slowdowns: slowdown by zone.
        queueing_delay: time (ns) that requests spend waiting at servers, by Little's law.
        load_sampled_at: when that was last computed.
        release_state: the last state of the release, None before the first.
        stage_started_at: start of the present stage or phase.
        build_started_at: start of the stage in which this instance first heard of the present build.
        last_uncrowded_at: when the fleet was last not crowded (see policy.py).
        exposure_tokens: token buckets for attempts at builds on trial, by build and index of the request
            class (0 for all classes if the cap is not per class).
        served_keys: the newest build that served a key; only this and newer ones may serve it again.
        lowest_build: the lowest build of any server.
        outcomes_by_build: last outcomes of each build.
        alarm: a scan found the present build worse than its baseline build.
        last_vote: the vote that was sent last.
        last_vote_draw_at: when the instance last drew whether to send its vote.
        vote_wanted_since: since when it has had a vote to send, 0 if it has none.
        next_housekeeping_at: when the next housekeeping run is due.
        own_stall: how long this instance itself was stalled before the present event, 0 if it was not.
        resumed_at: end of its last stall.
    """

    now: int = 0
    started_at: int = 0
    actions: list[Action] = field(default_factory=list)
    servers: dict[int, Server] = field(default_factory=dict)
    departed_starts: dict[int, int] = field(default_factory=dict)
    healthy: list[Server] = field(default_factory=list)
    ready: list[Server] = field(default_factory=list)
    builds: list[int] = field(default_factory=list)
    trial_builds: list[int] = field(default_factory=list)
    pools: list[tuple[list[Server], list[float]]] = field(default_factory=list)
    healthy_outstanding: list[dict[tuple[str, int], Attempt]] = field(default_factory=list)
    throughput: float = 0.0
    last_cold_draw_at: int = 0
    lost_attempts: int = 0
    mean_waiting_age: float = 0.0
    trial_share: float = 0.0
    requests: dict[str, Request] = field(default_factory=dict)
    held_requests: dict[str, None] = field(default_factory=dict)
    sweep_scheduled: bool = False
    watch_failures: int = 0
    fleet_slowdown: float = 1.0
    fleet_failure_rate: float = 0.0
    answer_slowdown: float = 1.0
    long_term_slowdown: float = 1.0
    zone_slowdowns: defaultdict[int, SmoothedValue] = field(
        default_factory=lambda: defaultdict(SmoothedValue)
    )
    queueing_delay: float = 0.0
    load_sampled_at: int = 0
    release_state: ReleaseNews | None = None
    stage_started_at: int = 0
    build_started_at: int = 0
    last_uncrowded_at: int = 0
    exposure_tokens: dict[tuple[int, int], float] = field(default_factory=dict)
    served_keys: ServedKeys = field(init=False)
    lowest_build: int = 0
    outcomes_by_build: dict[int, deque[OutcomeRecord]] = field(default_factory=dict)
    alarm: bool = False
    last_vote: SentVote | None = None
    last_vote_draw_at: int = 0
    vote_wanted_since: int = 0
    next_housekeeping_at: int = 0
    own_stall: int = 0
    resumed_at: int = 0

    def baseline_outcomes(self, build: int) -> deque[OutcomeRecord] | tuple[()]:
        """Return the outcomes of a build's baseline build: the newest build before it that has any here."""
        return self.outcomes_by_build.get(
            max((b for b in self.outcomes_by_build if b < build), default=-1), ()
        )

    def state_counts(self) -> dict[str, int]:
        """Return figures for the relay's state line, to compare with what the relay itself counts.

        "believed out" are outstanding attempts, "set aside" servers ejected and without a success since, and
        "seldom" servers with a latency weight below 0.5.
        """
        listed = [server for server in self.servers.values() if server.listed]
        return {
            "believed out": sum(len(server.outstanding) for server in self.servers.values()),
            "servers": len(listed),
            "set aside": sum(server.ejected_until > 0 for server in listed),
            "seldom": sum(server.latency_weight < 0.5 for server in listed),
        }

    def forget_request(self, event: ClientGone | AttemptEnded) -> None:
        """Drop a request that has its final answer or whose client is gone."""
        self.requests.pop(event.request, None)
        self.held_requests.pop(event.request, None)

    def apply_list(self, event: ServerList, sent_span: int, finished_span: int) -> None:
        """Apply a list; sent and finished work of new servers is summed over these spans (ns)."""
        departed = {number for number, server in self.servers.items() if not server.listed}
        for server in self.servers.values():
            server.listed &= event.kind is ListKind.DELTA
        for entry in event.entries:
            known_server = self.servers.get(entry.server)
            started_at = self._new_start(known_server, entry, entry.server in departed)
            if started_at is not None:
                restarted = Server(
                    entry,
                    WindowSum(sent_span),
                    WindowSum(finished_span),
                    SmoothedValue(),
                    self.fleet_slowdown,
                    started_at,
                )
                if known_server:
                    restarted.outstanding, restarted.outstanding_work, restarted.sent_work = (
                        known_server.outstanding,
                        known_server.outstanding_work,
                        known_server.sent_work,
                    )
                self.servers[entry.server] = known_server = restarted
            known_server.entry, known_server.listed = entry, entry.state is not ServerState.GONE
        self._forget_departed()

    def _new_start(self, known: Server | None, entry: ServerEntry, departed: bool) -> int | None:
        """Return the start time of an entry's process, or None if that process is known already.

        A start in the future counts as now, or the server would stay cold until then. A server that departed
        and returns with an earlier start has restarted with its clock set back. If it had not departed, an
        earlier start only means that the list is out of date.
        """
        last_start = known.entry.started if known else self.departed_starts.pop(entry.server, 0)
        if (departed or known is None) and entry.started < last_start:
            return self.now
        if known is None or entry.build != known.entry.build or entry.started > last_start:
            return min(entry.started, self.now)
        return None

    def _forget_departed(self) -> None:
        """Drop servers, builds and keys that no decision depends on, so that memory stays bounded."""
        for number, server in list(self.servers.items()):
            if not (server.listed or server.outstanding or server.sent_work.total(self.now)):
                del self.servers[number]
                self.departed_starts[number] = server.entry.started
        while len(self.departed_starts) > UNLISTED_LIMIT:
            del self.departed_starts[next(iter(self.departed_starts))]
        zones = {server.entry.zone for server in self.servers.values()}
        for zone in self.zone_slowdowns.keys() - zones:
            del self.zone_slowdowns[zone]
        builds = {server.entry.build for server in self.servers.values()}
        # Two builds without servers are kept: one may be the baseline build of the next build.
        for build in sorted(self.outcomes_by_build.keys() - builds)[:-2]:
            del self.outcomes_by_build[build]
        self.exposure_tokens = {
            key: tokens for key, tokens in self.exposure_tokens.items() if key[0] in builds
        }
        lowest = min(builds, default=0)
        if lowest > self.lowest_build:
            self.lowest_build = lowest
            self.served_keys.forget_up_to(lowest)
