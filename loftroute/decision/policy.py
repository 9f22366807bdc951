"""All decisions of one instance: routing, admission, ejection, retries and the release judge.

The policy keeps five rules:

1. Every request gets exactly one final answer, by its deadline.
2. No request that has an effect runs twice: unsafe requests are not repeated once they may have run, keyed
   ones only where the server still knows the idempotency key.
3. A draining server gets no new attempts.
4. A cold server (one that has just started) gets a bounded amount of work in any overload window.
5. A build on trial gets no more attempts than the stage's cap allows.

The release judge compares a build on trial with the baseline build, which is the newest build before it with
outcomes, by Algorithm 3 of Yu et al., "A Note on Online Change Point Detection" ("the Note"; docs/design.md).

All times are in nanoseconds. Work is nanoseconds on a warm server of weight 1, and a slowdown is latency
divided by work. The fleet is crowded while the queueing delay exceeds UNCROWDED_SHARE of the target latency.
The types of settings, events and actions are in loftroute/decision/interface.py, the state that is kept
between events in state.py.
"""

from bisect import bisect
from collections import deque
from collections.abc import Callable
from itertools import accumulate
from math import inf, log, sqrt
from random import Random

from loftroute.decision import interface
from loftroute.decision.interface import DedupScope, Effect, EndReason, Outcome, Phase, ServerState, Verdict
from loftroute.decision.served_keys import BloomFilter, ServedKeys
from loftroute.decision.state import (
    Attempt,
    InstanceState,
    OutcomeRecord,
    Request,
    SentVote,
    Server,
    WindowSum,
)

MS, SECOND = 1_000_000, 1_000_000_000  # in nanoseconds

# ---- release judge. Lengths are numbers of outcomes.

PREFIX_LENGTH = 64  # a stream starts with this many of the baseline build's last outcomes
# A stream is scanned once it has MIN_STREAM_LENGTH values, the prefix included; its threshold is set for a
# false alarm with FALSE_ALARM_PROBABILITY (the Note's alpha).
MIN_STREAM_LENGTH, FALSE_ALARM_PROBABILITY = 8, 0.05
MAX_WINDOW = 8192  # outcomes in the longest window; bounds the memory of a stream
# The scans, each with two threshold multipliers: while the baseline build answers beside the trial, and while
# it does not (inf: no alarm then). They look at all bad outcomes, at errors, at resets, and at answers with a
# greater slowdown than most of the prefix. The Note's own multiplier, 2^{3/2}, is not optimized, so that
# these are lower.
SCAN_MULTIPLIERS = {"bad": (2.0, 2.0), "errors": (1.22, 1.22), "resets": (1.22, 1.22), "slow": (2.4, inf)}
# ENOUGH_OUTCOMES: trial outcomes for a vote to advance. VOTE_RENEWAL_SHARE: a vote is renewed once less than
# this share of its lifetime is left.
ENOUGH_OUTCOMES, VOTE_RENEWAL_SHARE = 20, 0.3
# Without ENOUGH_OUTCOMES, an instance votes to advance this time after the bake time. VOTE_WAIT_UNSEEN is for
# one with fewer than MIN_STREAM_LENGTH trial outcomes, where several votes are needed to roll back.
VOTE_WAIT, VOTE_WAIT_UNSEEN = SECOND, 3 * SECOND
# MIN_BASELINE_OUTCOMES: outcomes of the baseline build needed to compare with it, which tells a fault of the
# trial from one of the whole fleet. OUTCOMES_KEPT: outcomes kept of each build. BASELINE_OUTCOME_AGE: older
# ones are compared only if too few are newer.
MIN_BASELINE_OUTCOMES, OUTCOMES_KEPT, BASELINE_OUTCOME_AGE = 8, 1024, 2 * SECOND

# ---- latency, time-outs, retries and ejection

# Smoothing factors: ANSWER_STEP for a server's answers, FAILURE_STEP for its failures and for the slowdown of
# a zone. ZONE_PRIOR_WEIGHT: number of answers that the slowdown of the server's zone counts as. WEIGHT_DECAY:
# factor on the number of samples, each housekeeping run. SLOW_MULTIPLE: a server beyond this multiple of the
# fleet's slowdown gets less traffic.
ANSWER_STEP, FAILURE_STEP, ZONE_PRIOR_WEIGHT, WEIGHT_DECAY, SLOW_MULTIPLE = 0.1, 0.15, 3.0, 0.98, 2.5
CROSS_ZONE_FACTOR = 1.15  # cost factor of servers in other zones where crossing zones has a price
# Time-out of an attempt that another one may follow: the greater of this share of the time to the target and
# this multiple of the expected latency.
ATTEMPT_TIMEOUT_SHARE, ATTEMPT_TIMEOUT_MULTIPLE = 0.45, 4.0
# The retry budget is a token bucket: tokens earned by each request, and its depth. Then the length of the
# first ejection, which doubles with each further one, and the longest.
RETRY_TOKENS_PER_REQUEST, MAX_RETRY_TOKENS, FIRST_EJECTION, MAX_EJECTION = 0.2, 20.0, SECOND, 8 * SECOND
# An error, a full queue or a failed connection counts as an answer this many times slower than usual.
FAILURE_MULTIPLE = 12.0
# A server counts as silent once an attempt has waited for longer than both this time and this multiple of the
# expected latency, with no other answer meanwhile.
SILENCE_LIMIT, SILENCE_MULTIPLE = 700 * MS, 6.0
# COLD_BUDGET_SHARE: share of the cold budget that is used. THROUGHPUT_STEP: smoothing factor of the measured
# throughput, each housekeeping run.
COLD_BUDGET_SHARE, THROUGHPUT_STEP = 0.8, 1 / 16

# ---- admission control and faults of the whole fleet

# CALM_RISE_TIME: time over which the calm residence time follows a rise. LONG_CROWDING: crowding that lasts
# longer is held against the build that it began with.
CALM_RISE_TIME, LONG_CROWDING = 60 * SECOND, 10 * SECOND
# Requests are given up once the queueing delay exceeds a share of the time to the target: MAX_QUEUEING_SHARE,
# or the lower one for retries by clients and for tenants over quota. Answers a second: MIN_ANSWER_RATE for
# using Little's law, HIGH_ANSWER_RATE for the quick way of routing.
MAX_QUEUEING_SHARE, LOW_PRIORITY_QUEUEING_SHARE, MIN_ANSWER_RATE, HIGH_ANSWER_RATE = 0.5, 0.3, 16, 500
# Failure rates at which a server counts as faulty and the fleet as lossy. UNCHANGED_LATENCY_RATIO: answers
# below this multiple of their long-term slowdown are as fast as usual.
FAULTY_SERVER_RATE, LOSSY_FLEET_RATE, UNCHANGED_LATENCY_RATIO = 0.15, 0.1, 1.5
# UNCROWDED_SHARE: up to this share of the target latency, a queueing delay is no crowding. MAX_TRIAL_SHARE:
# highest share of the attempts for builds on trial.
UNCROWDED_SHARE, MAX_TRIAL_SHARE = 0.2, 0.85

# ---- keys that never return to an earlier build

MAX_EXACT_KEYS = 8192  # kept as they are; older ones are kept in filters
KEY_FILTER_SIZE_EXPONENT, KEY_FILTER_HASHES = 22, 4  # 512 KiB; at 400,000 keys 1% are taken for others
MAX_KEY_FILTERS = 3  # one a build

# ---- spans, timers and groups of outcomes

# Finished work and placements are summed over these spans.
FINISHED_WORK_SPAN, PLACEMENT_SPAN = 2 * SECOND, 8 * SECOND
CONNECTION_LIFETIME = 10 * SECOND  # a connection stays open for this time after an answer
# Longest wait before discovery is asked again. What it has counts as known 6 s later at the latest; the rest
# is for the call itself.
MAX_WATCH_BACKOFF = 4500 * MS
# SWEEP_PERIOD: time until held requests are tried again. HOUSEKEEPING_PERIOD: time between two housekeeping
# runs. GIVE_UP_MARGIN: a request is given up this time before its limit. STALL_LIMIT: a housekeeping run that
# is later than this means that this instance itself was stalled.
SWEEP_PERIOD, HOUSEKEEPING_PERIOD, GIVE_UP_MARGIN, STALL_LIMIT = 20 * MS, 250 * MS, 30 * MS, 100 * MS

# HARD_FAILURES: errors and resets. BAD_OUTCOMES: those and time-outs; failure rates count these.
# PENALIZED_OUTCOMES: these raise a server's slowdown. FAILURE_CODES: failure code by kind of scan; a code is
# the position in HARD_FAILURES plus 1. Tuples, since `in` finds an enum member in a tuple by identity,
# without hashing it.
JUDGED_PHASES, NEVER_RAN = (Phase.TRIAL, Phase.RELEASED), (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT)
HARD_FAILURES, FAILURE_CODES = (Outcome.ERROR, Outcome.RESET), {"errors": 1, "resets": 2}
BAD_OUTCOMES, PENALIZED_OUTCOMES = (
    (*HARD_FAILURES, Outcome.TIMEOUT),
    (*HARD_FAILURES, Outcome.FULL, Outcome.CONNECT_FAILED),
)
SWEEP_TOKEN, HOUSEKEEPING_TOKEN, WATCH_TOKEN = 1, 2, 3


def first_possible_run(request: Request) -> Attempt | None:
    """Return the first attempt of a request that may have run or may still run, None if there is none."""
    return next((a for a in request.attempts if a.outcome not in NEVER_RAN), None)


def chernoff_nats(count: float, expected: float) -> float:
    """Return the evidence, in nats, of `count` rare events where `expected` are usual (Chernoff's bound).

    The probability of as many is at most exp(-nats); 0 if there are no more than expected.
    """
    return count * log(count / expected) - count + expected if count > expected else 0.0


class Scan:
    """Change-point scan of one kind of outcome: the Note's Algorithm 3 on a stream of 0/1 values.

    The stream starts with a prefix of the baseline build's outcomes and goes on with those of the build on
    trial. After each value, the latest windows of length 1, 2, 4, ... are compared with the whole stream, by
    means of cumulative sums; the threshold grows with the logarithm of the stream's length. The test is
    one-sided: only an excess of failures counts.

    Errors and resets are rare, so that their scans test the number in a window by Chernoff's bound against
    the baseline build's rate; the others use the Note's CUSUM statistic with a sub-Gaussian variance proxy.

    Attributes:
        alarm: the build on trial fails more than the baseline build.
        doubtful: after the last value, a statistic is above a quarter of its bound.
        trial_count: trial outcomes scanned.
        failures: position in the stream and server of each 1 of the build on trial.
    """

    def __init__(
        self, kind: str, baseline: list[OutcomeRecord], votes_to_roll_back: int = 1, instances: int = 1
    ) -> None:
        self.kind, self.failure_code, prefix = kind, FAILURE_CODES.get(kind, 0), baseline[-PREFIX_LENGTH:]
        # If several votes are needed to roll a build back, each voter needs only its part of the evidence.
        # `choice_nats` is the further evidence needed since any of the instances may be the voters (a union
        # bound, divided among the voters).
        self.votes_to_roll_back, self.choice_nats = (
            votes_to_roll_back,
            1 + log(max(instances / votes_to_roll_back, 1.0)),
        )
        self.baseline_multiplier, self.no_baseline_multiplier = SCAN_MULTIPLIERS[kind]
        # An answer is slow if its slowdown exceeds that of seven eighths of the prefix.
        self.slow_threshold = sorted(o[3] for o in prefix)[len(prefix) * 7 // 8] if prefix else inf
        self.cumulative_sums = [0, *accumulate(map(self.value_of, prefix))]
        self.length, self.trial_count, self.alarm, self.doubtful = len(prefix), 0, False, False
        # Position of the last 1 in the stream, counted from 1; 0 if there is none.
        self.last_failure = next((n for n in range(len(prefix), 0, -1) if self.value_of(prefix[n - 1])), 0)
        self.failures: deque[tuple[int, int]] = deque(maxlen=MAX_WINDOW)
        self.baseline_rate = (sum(map(self.value_of, baseline)) + 0.5) / (len(baseline) + 4)  # smoothed
        # The least sub-Gaussian sigma of 0/1 values with mean p (Kearns and Saul, "Large Deviation Methods
        # for Approximate Probabilistic Inference", 1998); p is the prefix's mean, smoothed.
        p = min((self.cumulative_sums[-1] + 1.0) / (len(prefix) + 4.0), 0.45)
        self.sigma = 1.0 if self.failure_code else sqrt((1 - 2 * p) / (2 * log((1 - p) / p)))

    def value_of(self, outcome: OutcomeRecord) -> int:
        """Return 1 if this scan counts the outcome as a failure, else 0.

        The items of an outcome are 0 time (ns), 1 bad, 2 failure code, 3 slowdown.
        """
        return int(
            outcome[3] > self.slow_threshold
            if self.kind == "slow"
            else outcome[2] == self.failure_code
            if self.failure_code
            else outcome[1]
        )

    def add(self, value: int, server: int, baseline_answers: bool, baseline_view: Callable) -> None:
        """Scan the next outcome of the build on trial.

        Args:
            value: 1 for a failure, else 0.
            server: the server that it came from.
            baseline_answers: the baseline build answers now and can be compared with.
            baseline_view: called with this scan; returns how many servers must fail for an alarm, and the
                values of the baseline build's recent outcomes.
        """
        sums = self.cumulative_sums
        sums.append(sums[-1] + value)
        if len(sums) > 4 * MAX_WINDOW:
            del sums[: -2 * MAX_WINDOW - 1]
        self.trial_count, self.length, self.doubtful, stream_length = (
            self.trial_count + 1,
            self.length + 1,
            False,
            self.length + 1,
        )
        if value:
            self.last_failure = stream_length
            self.failures.append((stream_length, server))
        if stream_length < MIN_STREAM_LENGTH or not self.last_failure:
            return
        # Evidence needed by an instance whose single vote decides.
        nats = log(stream_length / FALSE_ALARM_PROBABILITY)
        nats = min(nats, nats / self.votes_to_roll_back + self.choice_nats)
        bound = (
            nats
            * ((self.baseline_multiplier if baseline_answers else self.no_baseline_multiplier) * self.sigma)
            ** 2
        )
        # Windows that are too short to hold the last failure are skipped. The statistic of rare failures does
        # not compare two parts of the stream, so that its window may also span all of it.
        for exponent in range(
            (stream_length - self.last_failure).bit_length(),
            min(stream_length, 2 * MAX_WINDOW).bit_length() - (not self.failure_code),
        ):
            count = sums[-1] - sums[-1 - (window := 1 << exponent)]  # failures in the window, at least 1
            # Failures in the window beyond its part of all failures.
            excess = max(count - window / stream_length * sums[-1], 0.0)
            statistic = (
                chernoff_nats(count, self.baseline_rate * window)
                if self.failure_code
                else stream_length / ((stream_length - window) * window) * excess**2
            )
            # The CUSUM statistic and its bound are squares, so that a quarter of the bound is half of the
            # threshold. For errors and resets it is a quarter of the evidence needed.
            if statistic > bound / 4:
                self.doubtful = True
                self.alarm |= statistic > bound and self._exceeds_baseline(
                    count, window, baseline_view, bound
                )

    def _exceeds_baseline(self, count: int, window: int, baseline_view: Callable, bound: float) -> bool:
        """Return whether the failures in a window are the build's fault.

        There must be at least three, from enough servers, since one faulty server is no fault of the build.
        They must also exceed those of the baseline build, if it has enough recent outcomes, since a fault of
        the whole fleet is no fault of the build.
        """
        servers_needed, baseline_values = baseline_view(self)
        # As many latest outcomes of the baseline build as the window has, so that a short disturbance is in
        # both.
        compared_count = min(len(baseline_values), max(window, MIN_BASELINE_OUTCOMES))
        # A short window alone may hold too few failing servers: look back over at least two prefix lengths.
        failing = [
            server
            for position, server in self.failures
            if position > self.length - max(window, 2 * PREFIX_LENGTH)
        ]
        recent_baseline_rate, widespread = (
            sum(baseline_values[-compared_count:]) / max(compared_count, 1),
            len(set(failing)) >= servers_needed and len(failing) >= 3,
        )
        # Slowness must be twice as frequent as in the baseline build: a long window detects any small
        # difference.
        excess = (count / window - recent_baseline_rate) ** 2 * (
            count / window > recent_baseline_rate * (1 + (self.kind == "slow"))
        )
        difference = (
            chernoff_nats(
                count, (recent_baseline_rate * compared_count + 0.5) / (compared_count + 1) * window
            )
            if self.failure_code
            else window * compared_count / (window + compared_count) * excess
        )
        return widespread and (compared_count < MIN_BASELINE_OUTCOMES or difference > bound / 4)


class Balancer(InstanceState):
    """The decision policy of one instance: takes events, returns actions. Its state is in `InstanceState`.

    Handles the events in `handlers` and ignores `StreamStarted`, `ProbeEnded`, `PeerMessage` and `Tally`.
    Returns only `Send`, `Refuse`, `Fail`, `SetTimer`, `Watch`, `Vote` and `Log`.

    Attributes:
        settings, release: settings of the instance, and those of releases.
        random: the only source of randomness.
        retry_tokens: tokens left in the retry budget.
        cross_zone_factor: cost factor of a server in another zone.
        usual_latency: smoothed latency (ns) of answers by request class.
        give_up_margin: time (ns) before a limit at which a request is given up, by request class.
        usual_time_left: time (ns) that requests have left on arrival, smoothed near its upper end, by request
            class.
        residence_time: smoothed time (ns) that an attempt spends at the servers, by Little's law.
        calm_residence_time: the residence time without crowding (ns).
        recent_answers: successful answers in the last second.
        recent_timeouts: attempts timed out in the last two seconds that are likely still in a server's queue.
        recent_placements: requests and retries that looked for a server within PLACEMENT_SPAN, each counted
            once.
        tenant_arrivals: requests in the last two seconds, by tenant.
        votes_to_roll_back: votes that roll a build back together, 1 if any single vote does.
        scans: a scan of each kind for the build on trial.
        handlers: handler of each type of event.
    """

    def __init__(self, settings: interface.Settings, seed: int) -> None:
        super().__init__()
        self.served_keys = ServedKeys(
            MAX_EXACT_KEYS, MAX_KEY_FILTERS, lambda: BloomFilter(KEY_FILTER_SIZE_EXPONENT, KEY_FILTER_HASHES)
        )
        self.settings, self.release, self.random = settings, settings.release, Random(seed)
        self.retry_tokens, self.cross_zone_factor = (
            MAX_RETRY_TOKENS / 2,
            CROSS_ZONE_FACTOR if settings.cross_zone_price > 0 else 1.0,
        )
        self.usual_latency = [c.target_latency / 5.0 for c in settings.classes]
        # Short targets get a shorter margin.
        self.give_up_margin = [min(GIVE_UP_MARGIN, c.target_latency // 8) for c in settings.classes]
        self.usual_time_left = [0.0 for _ in settings.classes]
        self.residence_time = self.calm_residence_time = sum(self.usual_latency[:1])
        self.recent_answers, self.recent_timeouts = WindowSum(SECOND), WindowSum(2 * SECOND)
        self.recent_placements = WindowSum(PLACEMENT_SPAN)
        self.tenant_arrivals = [WindowSum(2 * SECOND) for _ in settings.quotas]
        self.votes_to_roll_back = (
            max(self.release.votes_to_roll_back, 1) if self.release.control is interface.Control.SHARE else 1
        )
        self.scans = self._new_scans([])
        self._rebuild_pools()
        self.handlers = {
            interface.Started: self._on_started,
            interface.TimerFired: self._on_timer,
            interface.ServerList: self._on_server_list,
        }
        self.handlers |= {
            interface.RequestArrived: self._on_request,
            interface.AttemptEnded: self._on_attempt_ended,
            interface.ClientGone: self.forget_request,
        }
        self.handlers |= {
            interface.ReleaseNews: self._on_release_news,
            interface.AnswerDisputed: self._on_answer_disputed,
        }

    def handle(self, now: int, event: interface.Event) -> list[interface.Action]:
        """Handle one event at a time (ns) and return the actions, in order.

        Events with the same time arrived together. If a housekeeping run is long overdue, this instance
        itself was stalled and now gets at once what arrived meanwhile.
        """
        if now > self.now:
            self.own_stall = (
                now - self.next_housekeeping_at
                if self.next_housekeeping_at and now - self.next_housekeeping_at > STALL_LIMIT
                else 0
            )
            self.resumed_at = now if self.own_stall else self.resumed_at
        self.now, self.actions = now, []
        self._emit = self.actions.append
        self.handlers.get(type(event), lambda _: None)(event)
        return self.actions

    # ---- start, timers and the server list

    def _on_started(self, _: interface.Started) -> None:
        """Start the housekeeping timer, and watch discovery if the instance has to ask for its list."""
        self.started_at = self.load_sampled_at = self.last_uncrowded_at = self.now
        self._on_timer(interface.TimerFired(HOUSEKEEPING_TOKEN))
        if self.settings.ask_discovery:
            self._emit(interface.Watch(True))

    def _on_timer(self, event: interface.TimerFired) -> None:
        """Do the housekeeping, ask discovery again, or try to place the held requests."""
        if event.token == HOUSEKEEPING_TOKEN:
            self.next_housekeeping_at = self.now + HOUSEKEEPING_PERIOD
            self._emit(interface.SetTimer(self.next_housekeeping_at, HOUSEKEEPING_TOKEN))
            if not self.own_stall:  # after a stall of this instance, unread answers look like silent servers
                self._eject_silent_servers()
            self._refresh_fleet_view()
            self._measure_throughput()
            self._send_vote()
        elif event.token == WATCH_TOKEN:
            self._emit(interface.Watch(True))
        elif event.token == SWEEP_TOKEN:
            self.sweep_scheduled, stuck_classes = False, set()
            for request in [self.requests[name] for name in self.held_requests]:
                # If one new request finds no server, others of its class will not either: a long queue is not
                # tried in full. Requests near their target are, so that they are given up in time.
                late = self.now >= request.target_at - self.give_up_margin[request.cls]
                if request.attempts or request.cls not in stuck_classes or late:
                    self._place(request)
                    stuck_classes |= {request.cls} if request.id in self.held_requests else set()
            self._schedule_sweep()

    def _on_server_list(self, event: interface.ServerList) -> None:
        """Apply a list; after a failure ask again, later each time, since discovery may be overloaded."""
        if event.kind is interface.ListKind.FAILED:
            self.watch_failures = min(self.watch_failures + 1, 4)
            backoff = SECOND // 4 << self.watch_failures
            jitter_range = min(1.0, MAX_WATCH_BACKOFF / backoff - 0.5)
            backoff = int(backoff * (0.5 + jitter_range * self.random.random()))
            return self._emit(interface.SetTimer(self.now + backoff, WATCH_TOKEN))
        self.watch_failures = 0
        self.apply_list(event, self.settings.overload_window, FINISHED_WORK_SPAN)
        self._refresh_fleet_view()

    def _refresh_fleet_view(self) -> None:
        """Update the view of the fleet that all requests use until the next housekeeping run or list.

        It is computed here, so that no request has to scan the fleet.

        An attempt that is outstanding for much longer than expected counts as lost, not as waiting. The
        trial's share of the attempts is its capacity divided by the number of servers after the release, so
        that each trial server gets the load that it will have then. Without `in_place`, that number is the
        number of servers that are not on trial.
        """
        self.healthy = [
            s for s in self.servers.values() if s.listed and not s.ejected_until and s.latency_weight > 0.5
        ]
        outstanding = [(a, self.now - a.sent_at) for s in self.healthy for a in s.outstanding.values()]
        waiting_ages = [
            age
            for a, age in outstanding
            if age <= max(SILENCE_LIMIT, SILENCE_MULTIPLE * self.fleet_slowdown * a.work)
        ]
        self.lost_attempts = len(outstanding) - len(waiting_ages)
        self.mean_waiting_age = sum(waiting_ages) / len(waiting_ages) if len(waiting_ages) >= 3 else 0.0
        self.ready = [s for s in self.servers.values() if s.listed and s.entry.state is ServerState.READY]
        self.builds = sorted({s.entry.build for s in self.ready})
        for server in self.ready:
            server.capacity_share = self._capacity_share(server)
        self._update_latency_weights()
        self._rebuild_pools()
        (baseline, _), (trial, _), _ = self.pools
        places = len(self.ready if self.release.in_place else baseline)
        self.trial_share = min(
            sum(s.capacity_share * s.latency_weight for s in trial) / max(places, 1), MAX_TRIAL_SHARE
        )

    def _rebuild_pools(self) -> None:
        """Update the builds on trial, and the pools of servers that attempts are routed to."""
        self.trial_builds, self.healthy_outstanding = (
            [b for b in self.builds if self._is_on_trial(b)],
            [s.outstanding for s in self.healthy],
        )
        sides = [
            [s for s in self.ready if (s.entry.build in self.trial_builds) == on_trial]
            for on_trial in (False, True)
        ]
        self.pools = [(pool, self._cumulative_weights(pool)) for pool in (*sides, self.ready)]

    def _cumulative_weights(self, servers: list[Server]) -> list[float]:
        """Return running sums of the routing weights, for weighted random draws."""
        return list(accumulate(s.routing_weight() for s in servers))

    # ---- the rules that bound where a request may go

    def _is_on_trial(self, build: int) -> bool:
        """Return whether a build is on trial.

        A build is on trial if it is newer than the platform's build, or if it is that build and has not been
        released; this includes a build that is rolled back. Before any news from the platform, every build
        but the lowest is on trial.
        """
        if (news := self.release_state) is None:
            return build > min(self.builds, default=build)
        return build > news.build or (build == news.build and news.phase != Phase.RELEASED)

    def _exposure_cap(self, build: int) -> float:
        """Return the share of the requests that may reach a build on trial.

        A build that the platform has not named yet has the cap of the first stage.
        """
        return (
            self.release_state.cap
            if self.release_state and build == self.release_state.build
            else next(iter(self.release.stage_cap), 0)
        )

    def _may_expose(self, build: int, cls: int) -> bool:
        """Return whether rule 5 allows an attempt of this class at a build on trial now.

        In the first stages only safe requests may go there, and each attempt takes a token.
        """
        stage = news.stage if (news := self.release_state) and news.build == build else 0
        class_allowed = (
            stage >= self.release.safe_only_stages or self.settings.classes[cls].effect is Effect.SAFE
        )
        return (
            class_allowed
            and self._exposure_cap(build) > 0
            and self.exposure_tokens.get((build, cls * self.release.cap_per_class), 0) >= 1
        )

    def _capacity_share(self, server: Server) -> float:
        """Return the least share of its capacity that a server has now; it rises evenly while it is cold."""
        age = (
            min(max(self.now - server.started_at, 0) / max(self.settings.cold_duration, 1), 1.0)
            if server.started_at
            else 1.0
        )
        return self.settings.start_capacity + (1 - self.settings.start_capacity) * age

    def _measure_throughput(self) -> None:
        """Update the work per time that a warm server of weight 1 finishes for this instance.

        It is a mean over the servers, since in thin traffic most finish nothing. It never exceeds the
        servers' capacity, and the figures of all instances add up to what the servers finish for all.
        """
        serving = [s for s in self.ready if self._in_rotation(s) and not self._is_avoided(s)]
        warm = [s for s in serving if s.capacity_share >= 1.0]
        # Without a warm server: what cold ones finish, over the capacity that they have at the least.
        measured = warm or serving
        capacity = sum(s.capacity_share * s.entry.weight for s in measured)
        span = max(min(self.now - self.started_at, FINISHED_WORK_SPAN), HOUSEKEEPING_PERIOD)
        sample = (
            sum(s.finished_work.total(self.now) for s in measured) / span / capacity if capacity > 0 else 0.0
        )
        step = THROUGHPUT_STEP if self.now - self.started_at > FINISHED_WORK_SPAN else 1.0
        if warm or sample > self.throughput:  # cold servers alone may raise the last figure, not lower it
            self.throughput += step * (sample - self.throughput)

    def _cold_budget_left(self, server: Server) -> float:
        """Return the work that this instance may still send to a cold server now, negative after too much.

        Rule 4: each instance uses its part of the budget, by the throughput that it measures. The part is at
        least that of a server with one core (one ns of work per ns), whatever the server's weight, divided
        among all instances: so cold servers get work before any throughput is known.
        """
        part = max(COLD_BUDGET_SHARE * self.throughput * server.entry.weight, 1.0 / self.settings.instances)
        return (
            self.settings.overload_multiple * part * server.capacity_share * self.settings.overload_window
            - server.sent_work.total(self.now)
        )

    def _is_avoided(self, server: Server) -> bool:
        """Return whether the server's build is to be rolled back, or may have no attempt at all."""
        build = server.entry.build
        return (self.alarm and build == self.release_state.build) or (
            build in self.trial_builds and not self._exposure_cap(build)
        )

    def _cold_draw_chances(
        self, servers: list[Server], request: Request, draw_share: float
    ) -> dict[int, float]:
        """Return the limited probability of drawing a cold server, by position, if its budget has no room.

        That is for each cold server whose remaining budget is less than the work of this request. The
        probability is the part of the remaining budget that is due for the time since the last draw. So all
        instances together send the budget on average at any moment, however the requests reach them. A server
        that its routing weight draws less often anyway is not limited. `draw_share` is the share of all
        requests that draw among these servers.
        """
        cold = [position for position, server in enumerate(servers) if server.capacity_share < 1.0]
        if not cold:
            return {}
        if request.id in self.held_requests:
            span, self.last_cold_draw_at = self.now - self.last_cold_draw_at, self.now
        else:
            # The mean time between requests. If all servers are cold, requests that are held go first.
            mean_gap = min(self.now - self.started_at, PLACEMENT_SPAN) / max(
                self.recent_placements.total(self.now), 1.0
            )
            span = 0 if self.held_requests and len(cold) == len(servers) else mean_gap
        window_share, probability_left, chances = (
            span / draw_share / max(self.settings.overload_window, 1),
            1.0,
            {},
        )
        # The budget left of each cold server, in requests of the same work as this one.
        room = {
            position: max(self._cold_budget_left(servers[position]) / max(request.work, 1.0), 0.0)
            for position in cold
        }
        probabilities = {position: window_share * room[position] for position in cold if room[position] < 1.0}
        weight_left = sum(weights := [s.routing_weight() for s in servers])
        for position in sorted(
            probabilities, key=lambda position: probabilities[position] / max(weights[position], 1e-9)
        ):
            if probabilities[position] * weight_left < weights[position] * probability_left:
                chances[position], weight_left, probability_left = (
                    probabilities[position],
                    weight_left - weights[position],
                    probability_left - probabilities[position],
                )
        return chances

    def _lowest_allowed_build(self, request: Request) -> int:
        """Return the newest build that has served the request's key while it binds, else 0."""
        judged = self.release_state is not None and self.release_state.phase in JUDGED_PHASES
        return self.served_keys.min_build(request.key) if judged else 0

    def _allowed_servers(self, request: Request) -> list[Server]:
        """Return the servers at which rules 2, 3 and 5 allow an attempt of this request now.

        Unsafe requests that may have run do not get here: see `_on_attempt_ended`.

        With `forward_only`, a key never returns to an earlier build, unless its build is rolled back. A
        repeat of a keyed request goes to servers that share the idempotency key.
        """
        first = first_possible_run(request)
        lowest = self._lowest_allowed_build(request)
        builds = [b for b in self.builds if b >= lowest]
        builds = [b for b in builds if b not in self.trial_builds or self._may_expose(b, request.cls)]
        servers = [s for s in self.ready if s.entry.build in builds]
        if (
            first is None
            or request.request_class.effect is not Effect.KEYED
            or request.request_class.dedup_scope is DedupScope.ALL
        ):
            return servers
        if request.request_class.dedup_scope is DedupScope.ZONE:
            return [s for s in servers if s.entry.zone == first.entry.zone]
        return [s for s in servers if s.entry.cell == first.entry.cell]

    # ---- admission

    def _on_request(self, event: interface.RequestArrived) -> None:
        """Admit a request and place it, or give it up at once.

        Each request earns tokens for exposure and for retries. A request that cannot be on time is given up
        if a late answer is worth nothing. Tenants over their quota (with a fifth and three requests to spare)
        and retries of clients have low priority: they are given up at a smaller queueing delay.
        """
        cls, request_class = event.cls, self.settings.classes[event.cls]
        for build in self.trial_builds:
            # A bucket as deep as the free attempts keeps the cap in any window. All classes share one bucket,
            # that of index 0, unless the cap is per class.
            key = build, cls * self.release.cap_per_class
            self.exposure_tokens[key] = min(
                self.exposure_tokens.get(key, 0.0) + self._exposure_cap(build), self.release.free_attempts
            )
        self.retry_tokens = min(self.retry_tokens + RETRY_TOKENS_PER_REQUEST, MAX_RETRY_TOKENS)
        # Without a hint, the usual latency of the class stands in for the work.
        work = float(event.work_hint or self.usual_latency[cls])
        target_latency, over_quota = (
            min(
                request_class.target_latency + int(request_class.target_stretch * work),
                request_class.deadline,
                event.time_left,
            ),
            False,
        )
        if event.tenant < len(self.tenant_arrivals):
            window, quota = self.tenant_arrivals[event.tenant], self.settings.quotas[event.tenant]
            over_quota = (
                window.add(self.now, 1.0) > 1.2 * quota / self.settings.instances * window.length / SECOND + 3
            )
        # A request that arrived during a stall of this instance has waited since. The wait is estimated as
        # the usual time left minus its own. The usual time left follows increases faster than decreases.
        usual_time_left = self.usual_time_left[cls] = self.usual_time_left[cls] or event.time_left
        age = int(min(max(usual_time_left - event.time_left, 0), self.own_stall))
        self.usual_time_left[cls] += (0.1 if event.time_left > usual_time_left else 0.005) * (
            event.time_left - usual_time_left
        )
        request = self.requests[event.request] = Request(
            event.request,
            event.key,
            cls,
            request_class,
            work,
            self.now - age,
            self.now - age + target_latency,
            self.now + event.time_left,
        )
        too_late = self.now + self.give_up_margin[cls] > request.target_at and not request_class.late_value
        if too_late:
            self._give_up(request, EndReason.NO_TIME)
        elif self._is_overloaded(request, over_quota or event.is_retry):
            self._give_up(request, EndReason.OVERLOAD)
        else:
            self._place(request)

    def _is_overloaded(self, request: Request, low_priority: bool) -> bool:
        """Return whether to give up a request because of overload (load shedding).

        See docs/design.md, Admission.

        By Little's law an attempt stays at the servers for (outstanding attempts) / (answers a second). The
        queueing delay is this residence time minus its calm level. The calm level falls with each request, by
        1% of the difference, and rises over CALM_RISE_TIME. While nothing is answered, the mean age of the
        outstanding attempts counts too.

        Nothing is given up right after a stall of this instance, in the first two seconds of this instance,
        with few requests in the fleet, or if answers get lost while the others are as fast as usual: a lost
        answer delays no other request.
        """
        if self._follows_stall():
            return False
        outstanding = (
            sum(map(len, self.healthy_outstanding))
            - self.lost_attempts
            + self.recent_timeouts.total(self.now)
        )
        answer_rate = self.recent_answers.total(self.now)
        if answer_rate >= MIN_ANSWER_RATE:
            self.residence_time += 0.1 * (
                min(outstanding / answer_rate, 10.0) * self.recent_answers.length - self.residence_time
            )
        rise = min((self.now - self.load_sampled_at) / CALM_RISE_TIME, 1.0)
        self.calm_residence_time += (0.01 if self.residence_time < self.calm_residence_time else rise) * (
            self.residence_time - self.calm_residence_time
        )
        self.load_sampled_at = self.now
        self.queueing_delay = (
            self.residence_time if answer_rate else max(self.residence_time, self.mean_waiting_age)
        ) - self.calm_residence_time
        self.last_uncrowded_at = (
            self.now
            if self.queueing_delay < UNCROWDED_SHARE * request.request_class.target_latency
            else self.last_uncrowded_at
        )
        limit = (LOW_PRIORITY_QUEUEING_SHARE if low_priority else MAX_QUEUEING_SHARE) * (
            request.target_at - self.now
        )
        lossy = (
            self.fleet_failure_rate > LOSSY_FLEET_RATE
            and self.answer_slowdown < UNCHANGED_LATENCY_RATIO * self.long_term_slowdown
        )
        settled = (
            outstanding * self.settings.instances > len(self.healthy)
            and self.now - self.started_at > 2 * SECOND
        )
        return self.queueing_delay > limit and not lossy and settled

    def _follows_stall(self) -> bool:
        """Return whether this instance was stalled within the last half second.

        Requests then arrived in one burst, which says nothing about load or about the servers' latency.
        """
        return 0 < self.resumed_at > self.now - SECOND // 2

    # ---- routing

    def _update_latency_weights(self) -> None:
        """Lower the routing weight of servers that are much slower than the first quartile of the fleet.

        A server with few answers is estimated from those of its zone and of the fleet as well. Past answers
        lose weight with time, so that a server which has recovered is tried again.
        """
        for slowdown in (*self.zone_slowdowns.values(), *(s.slowdown for s in self.ready)):
            slowdown.sample_count *= WEIGHT_DECAY
        for server in self.ready:
            server.expected_slowdown = server.slowdown.estimate(
                self.zone_slowdowns[server.entry.zone].estimate(self.fleet_slowdown, 1.0), ZONE_PRIOR_WEIGHT
            )
        ascending = sorted(s.expected_slowdown for s in self.ready) or [self.fleet_slowdown]
        self.fleet_slowdown += 0.1 * (ascending[len(ascending) // 4] - self.fleet_slowdown)
        self.long_term_slowdown += 0.02 * (self.answer_slowdown - self.long_term_slowdown)
        for server in self.ready:
            server.latency_weight = (
                min(1.0, SLOW_MULTIPLE * self.fleet_slowdown / max(server.expected_slowdown, 1e-9)) ** 4
            )

    def _select(self, servers: list[Server], request: Request, draw_share: float) -> Server | None:
        """Return a cold server by its limited chance, else one of the other servers, else None."""
        chances = self._cold_draw_chances(servers, request, draw_share)
        draw = self.random.random() if chances else 0.0
        for position, chance in chances.items():
            draw -= chance
            if draw < 0.0:
                return servers[position]
        others = [s for n, s in enumerate(servers) if n not in chances] if chances else servers
        return self._choose_of_two(others, request)

    def _choose_of_two(
        self, servers: list[Server], request: Request, sums: list[float] = ()
    ) -> Server | None:
        """Draw two servers by routing weight and return the better one (power of two choices).

        The better one has less outstanding work relative to its learnt speed. Given the cumulative weights
        `sums` of a whole pool, servers that accept no first attempt are drawn again; None if eight draws do
        not give two servers.
        """

        def cost(candidate: Server) -> float:
            expected_latency = (
                (candidate.outstanding_work + request.work)
                * candidate.expected_slowdown
                / (candidate.capacity_share * candidate.entry.weight)
            )
            return (
                expected_latency * self.cross_zone_factor
                if candidate.entry.zone != self.settings.zone
                else expected_latency
            )

        candidates, last, weights = [], len(servers) - 1, sums or self._cumulative_weights(servers)
        for _ in range(8 if sums else 2 * bool(servers)):
            server = servers[bisect(weights, self.random.random() * weights[-1], 0, last)]
            if not sums or self._accepts_first_attempt(server, request):
                candidates.append(server)
            if len(candidates) == 2:
                return min(candidates, key=cost)

    def _in_rotation(self, server: Server) -> bool:
        """Return whether a server may get an attempt.

        It may if it is not ejected, or if its ejection has run out and it has no attempt outstanding.
        """
        return not server.ejected_until or (self.now >= server.ejected_until and not server.outstanding)

    def _accepts_first_attempt(self, server: Server, request: Request) -> bool:
        """Return whether one server may get a first attempt, by the checks that `_place` makes on lists."""
        on_trial, has_room = (
            server.entry.build in self.trial_builds,
            server.capacity_share >= 1.0 or self._cold_budget_left(server) >= request.work,
        )
        exposure_allowed = not self._is_avoided(server) and (
            not on_trial or self._may_expose(server.entry.build, request.cls)
        )
        return exposure_allowed and has_room and self._in_rotation(server)

    def _key_known_until(self, request: Request) -> float:
        """Return until when servers surely know the idempotency key of a request that may have run.

        The key's window counts from the first attempt that may have run; infinity if there is no such bound.
        """
        first_keyed_run = request.request_class.effect is Effect.KEYED and first_possible_run(request)
        return (
            first_keyed_run.sent_at + request.request_class.key_window - self.settings.clock_granularity
            if first_keyed_run
            else inf
        )

    def _place(self, request: Request) -> None:
        """Send a request to a server, hold it while one may still become available, or give it up.

        Preferences, each applied only if it leaves a server: in rotation; not tried by this request yet;
        after a failed connection, with a connection that is open; of a build that is not avoided (a build
        that is voted back gets nothing while others can serve, even if these are cold and few). Attempts,
        retries included, are split between builds on trial and the others, unless the fleet is crowded.
        """
        ends_at = min(request.deadline_at - self.give_up_margin[request.cls], self._key_known_until(request))
        if self.now >= ends_at or len(request.attempts) >= self.settings.max_attempts:
            return self._give_up(request, EndReason.NO_TIME)
        if request.id not in self.held_requests:
            self.recent_placements.add(self.now, 1.0)
        draw_trial, crowded = (
            self.random.random() < self.trial_share,
            self.queueing_delay > UNCROWDED_SHARE * request.request_class.target_latency,
        )
        # At a high rate of answers, scanning the fleet for each request would cost too much.
        if (
            not request.attempts
            and self.recent_answers.total(self.now) >= HIGH_ANSWER_RATE
            and not (self.builds and self._lowest_allowed_build(request) > self.builds[0])
        ):
            # Pools: 0 not on trial, 1 on trial, 2 all.
            servers, sums = self.pools[2 if crowded else draw_trial]
            if servers and (server := self._choose_of_two(servers, request, sums)):
                return self._send(request, server)
        tried, allowed = {a.entry.server for a in request.attempts}, self._allowed_servers(request)
        usable = [s for s in allowed if self._in_rotation(s)] or allowed
        usable = [s for s in usable if s.entry.server not in tried] or usable
        if any(a.outcome is Outcome.CONNECT_FAILED for a in request.attempts):
            usable = [s for s in usable if s.last_heard_at > self.now - CONNECTION_LIFETIME] or usable
        preferred = [s for s in usable if not self._is_avoided(s)] or usable
        side = [s for s in preferred if (s.entry.build in self.trial_builds) == draw_trial]
        split = not crowded and 0 < len(side) < len(preferred)
        drawn, draw_share = (
            (side, self.trial_share if draw_trial else 1 - self.trial_share) if split else (preferred, 1.0)
        )
        warm = [s for s in preferred if s.capacity_share >= 1.0] or [
            s for s in usable if s.capacity_share >= 1.0
        ]
        if server := self._select(drawn, request, draw_share) or self._choose_of_two(warm, request):
            return self._send(request, server)
        if self.now >= request.target_at - self.give_up_margin[request.cls]:
            return self._give_up(request, EndReason.NO_SERVER)
        # The first held request starts the time that the next cold draw covers.
        self.last_cold_draw_at = self.last_cold_draw_at if self.held_requests else self.now
        self.held_requests[request.id] = None
        self._schedule_sweep()

    def _schedule_sweep(self) -> None:
        """Set the timer that tries the held requests again, if there are any."""
        if self.held_requests and not self.sweep_scheduled:
            self.sweep_scheduled = True
            self._emit(interface.SetTimer(self.now + SWEEP_PERIOD, SWEEP_TOKEN))

    def _send(self, request: Request, server: Server) -> None:
        """Send an attempt to a server, and take its exposure token if the server's build is on trial.

        Connecting or queueing may take until after the idempotency key's window. So the attempt carries the
        time by which its last byte must be sent.
        """
        self.held_requests.pop(request.id, None)
        entry = server.entry
        latency_counts = server.capacity_share >= 1.0 and not self._follows_stall()
        attempt = Attempt(entry, self.now, latency_counts, request.work, request.key)
        send_within = (
            0 if (known_until := self._key_known_until(request)) == inf else int(known_until) - self.now
        )
        server.outstanding[request.id, len(request.attempts)] = attempt
        server.outstanding_work += request.work
        server.sent_work.add(self.now, request.work)
        request.attempts.append(attempt)
        if entry.build in self.trial_builds:
            self.exposure_tokens[entry.build, request.cls * self.release.cap_per_class] -= 1.0
        self._emit(
            interface.Send(request.id, entry.server, self._attempt_timeout(request, server), send_within)
        )

    def _attempt_timeout(self, request: Request, server: Server) -> int:
        """Return the time-out of an attempt (ns): all the time left, unless a retry could still be on time.

        No retry follows the third attempt, an empty retry budget or an unsafe request. None is planned either
        while the fleet is crowded, or where the time-out would leave less than 0.3 of the time to the target.
        """
        time_left, to_target = request.deadline_at - self.now, request.target_at - self.now
        is_last = len(request.attempts) >= min(self.settings.max_attempts, 3) or self.retry_tokens < 1.0
        if (
            is_last
            or request.request_class.effect is Effect.UNSAFE
            or self.queueing_delay > LOW_PRIORITY_QUEUEING_SHARE * to_target
        ):
            return time_left
        timeout = max(
            ATTEMPT_TIMEOUT_SHARE * to_target,
            ATTEMPT_TIMEOUT_MULTIPLE * request.work * max(server.expected_slowdown, self.fleet_slowdown),
        )
        return int(timeout) if timeout < 0.7 * to_target else time_left

    def _give_up(self, request: Request, reason: EndReason) -> None:
        """Give the final answer now: a refusal if the client may safely retry, else a failure.

        A retry is safe if no attempt can have run, if the request is safe, or if all servers will still know
        its idempotency key when the client comes back.
        """
        self.held_requests.pop(request.id, None)
        del self.requests[request.id]
        retry_after = min(max(SECOND // 4, int(self.queueing_delay)), self.settings.max_retry_after)
        effect, known_everywhere = (
            request.request_class.effect,
            request.request_class.dedup_scope is DedupScope.ALL,
        )
        key_known = (
            effect is Effect.KEYED
            and known_everywhere
            and self.now + retry_after < self._key_known_until(request)
        )
        if not first_possible_run(request) or effect is Effect.SAFE or key_known:
            told_retry_after = retry_after if self.settings.retry_after else 0
            self._emit(interface.Refuse(request.id, told_retry_after, reason))
        else:
            self._emit(interface.Fail(request.id, reason))

    def _on_attempt_ended(self, event: interface.AttemptEnded) -> None:
        """Learn from the outcome of an attempt, then retry the request or give it up if it is still open.

        A request is retried or given up only while it has no final answer and no other attempt outstanding.
        It is given up after its target, if it is unsafe and may have run, or if the retry budget is empty.
        A retry takes a token of that budget, except after a failed connection: that attempt reached no server
        and added no load.
        """
        server = self.servers.get(event.server)
        attempt = server.outstanding.pop((event.request, event.attempt), None) if server else None
        request = self.requests.get(event.request)
        if server and attempt:
            server.outstanding_work = (
                max(0.0, server.outstanding_work - attempt.work) if server.outstanding else 0.0
            )
            attempt.outcome = event.outcome
            self._record_outcome(server, attempt, event, request)
        if event.request_closed:
            self.forget_request(event)
        elif request and not any(a.outcome is None for a in request.attempts):
            may_retry = event.outcome in NEVER_RAN or request.request_class.effect is not Effect.UNSAFE
            cost = float(event.outcome is not Outcome.CONNECT_FAILED)
            if not may_retry or self.retry_tokens < cost or self.now >= request.target_at:
                return self._give_up(request, EndReason.NOT_RETRIED)
            self.retry_tokens -= cost
            self._place(request)

    def _record_outcome(
        self, server: Server, attempt: Attempt, event: interface.AttemptEnded, request: Request | None
    ):
        """Learn latency and failure rates from an outcome, and pass it to the release judge.

        After a stall of this instance, or if an error or reset follows an earlier one of the same request,
        the outcome says nothing about the server: it changes no slowdown or failure rate and is not judged.
        The sums of answers, work and time-outs, and the end of an ejection, are still recorded.
        """
        outcome, latency, hard_failure = event.outcome, event.latency, event.outcome in HARD_FAILURES
        if outcome not in (Outcome.TIMEOUT, Outcome.CANCELLED, Outcome.MOOT, Outcome.CONNECT_FAILED):
            # The server was heard. After a long silence it may have restarted: it counts as cold from now on,
            # before the list says so.
            if server.consecutive_ejections and self.now - server.last_heard_at > 4 * SECOND:
                server.started_at, server.capacity_share = (
                    max(server.started_at, self.now),
                    self.settings.start_capacity,
                )
            for _ in range(server.unjudged_timeouts):  # it was slow and not silent: its time-outs count now
                self._judge_outcome(attempt, 1, 0, inf)
            server.last_heard_at, server.unjudged_timeouts = self.now, 0
        slowdown = min(latency / max(attempt.work, 1.0), 30.0)
        # A server that has answered nothing for this long has lost the attempt, rather than queued it.
        server_silent = self.now - max(server.last_heard_at, attempt.sent_at) >= SILENCE_LIMIT
        still_queued = outcome is Outcome.TIMEOUT and server.latency_weight > 0.5 and not server_silent
        if still_queued:
            self.recent_timeouts.add(self.now, 1.0)
        # At a low rate of answers Little's law is not used, and the latency itself is the residence time.
        if (
            request
            and (outcome is Outcome.OK or still_queued)
            and self.recent_answers.total(self.now) < MIN_ANSWER_RATE
        ):
            self.residence_time += 0.1 * (
                min(latency, 2 * request.request_class.target_latency) - self.residence_time
            )
        if outcome is Outcome.OK:
            server.finished_work.add(self.now, attempt.work)
            self.recent_answers.add(self.now, 1.0)
            server.ejected_until = server.consecutive_ejections = 0
            if attempt.key is not None and self.release.forward_only:
                self.served_keys.record(attempt.key, attempt.entry.build)
        if self.own_stall or (
            hard_failure and request and any(a.outcome in HARD_FAILURES for a in request.attempts[:-1])
        ):
            return
        # Failures that all servers have alike do not count against one of them.
        stands_out = server.failure_rate >= self.fleet_failure_rate + min(
            self.fleet_failure_rate, FAULTY_SERVER_RATE
        )
        if outcome is Outcome.OK or (outcome is Outcome.TIMEOUT and slowdown > server.expected_slowdown):
            server.slowdown.update(slowdown, ANSWER_STEP if outcome is Outcome.OK else FAILURE_STEP)
            self.zone_slowdowns[server.entry.zone].update(slowdown, FAILURE_STEP)
        elif (
            outcome in PENALIZED_OUTCOMES
            and (stands_out or not hard_failure)
            and not self._is_on_trial(attempt.entry.build)  # else it is for the release judge
        ):
            server.slowdown.update(FAILURE_MULTIPLE * self.answer_slowdown, FAILURE_STEP)
        if outcome is Outcome.OK and request:
            self.usual_latency[request.cls] += 0.02 * (latency - self.usual_latency[request.cls])
            self.answer_slowdown += 0.02 * (
                min(slowdown, SLOW_MULTIPLE * self.answer_slowdown) - self.answer_slowdown
            )
        if outcome in (Outcome.OK, *BAD_OUTCOMES):
            server.failure_rate += 0.1 * ((outcome in BAD_OUTCOMES) - server.failure_rate)
            self.fleet_failure_rate += 0.01 * ((outcome in BAD_OUTCOMES) - self.fleet_failure_rate)
            late = request is not None and latency > request.target_at - request.arrived_at
            # If one vote rolls a build back, the silence of a server must not blame the build: its time-outs
            # count once the server is heard again. If several votes are needed, a time-out counts now, unless
            # it was counted when the server was ejected.
            if (
                outcome is Outcome.TIMEOUT
                and server.last_heard_at <= attempt.sent_at
                and self.votes_to_roll_back < 2
            ):
                server.unjudged_timeouts += not server.ejected_until
            elif not attempt.silence_judged:
                self._judge_outcome(
                    attempt,
                    int(outcome in BAD_OUTCOMES or late),
                    hard_failure and HARD_FAILURES.index(outcome) + 1,
                    slowdown,
                )

    def _eject_silent_servers(self) -> None:
        """Eject servers that answer nothing while attempts are outstanding: hung, stopped or cut off.

        If several votes are needed to roll a build back, the silence is an outcome for the release judge as
        well, since an instance that sends a server only one attempt would never judge its silence otherwise.
        """
        for server in self.servers.values():
            oldest = next(iter(server.outstanding.values()), None)
            if not (server.listed and oldest) or server.ejected_until:
                continue
            if server.silent_for(self.now) > max(
                SILENCE_LIMIT, SILENCE_MULTIPLE * self.fleet_slowdown * oldest.work
            ):
                if self.votes_to_roll_back > 1 and not oldest.silence_judged:
                    self._judge_outcome(oldest, 1, 0, (self.now - oldest.sent_at) / max(oldest.work, 1.0))
                    oldest.silence_judged = True
                server.unjudged_timeouts, ejection = (
                    0,
                    min(FIRST_EJECTION << min(server.consecutive_ejections, 5), MAX_EJECTION),
                )
                server.ejected_until, server.consecutive_ejections = (
                    self.now + ejection,
                    server.consecutive_ejections + 1,
                )
                self._emit(
                    interface.Log(f"server {server.entry.server} set aside {ejection // MS} ms, no answer")
                )

    # ---- release judge

    def _new_scans(self, baseline: list[OutcomeRecord]) -> list[Scan]:
        """Return a scan of each kind that starts with outcomes of the baseline build."""
        return [
            Scan(kind, baseline, self.votes_to_roll_back, self.settings.instances)
            for kind in SCAN_MULTIPLIERS
        ]

    def _judge_outcome(self, attempt: Attempt, bad: int, failure_code: int, slowdown: float) -> None:
        """Keep an outcome for comparison, and scan it if its build is on trial or newly released.

        Args:
            attempt: the attempt, for its server, its build and whether the server was warm.
            bad: 1 for a failed or late answer, else 0.
            failure_code: 1 for an error, 2 for a reset, else 0.
            slowdown: latency relative to the work.

        On an alarm the instance wants to roll back, and draws at once whether to send that vote. Neither a
        cold server nor crowding explains an error, so that errors and resets always count. Lateness counts
        only for warm servers without crowding, and slowness for warm servers, since it is compared with that
        of the baseline build under the same load.
        """
        news, build, record = (
            self.release_state,
            attempt.entry.build,
            (self.now, bad, failure_code, slowdown),
        )
        if attempt.latency_counts and not (news and build == news.build and news.phase not in JUDGED_PHASES):
            self.outcomes_by_build.setdefault(build, deque(maxlen=OUTCOMES_KEPT)).append(record)
        baseline = self.baseline_outcomes(build)
        if not news or build != news.build or news.phase not in JUDGED_PHASES or self.alarm or not baseline:
            return
        # Crowding that began with the build and lasts is held against it, even if the baseline build suffers
        # too: a build may slow down all servers.
        long_crowded = (
            self.last_uncrowded_at >= self.build_started_at
            and self.now - self.last_uncrowded_at > LONG_CROWDING
        )
        # Outcomes of the baseline build are compared if they are recent. After the release that build goes
        # away, so that none are. If it has only a few a second, outcomes since the trial's start count as
        # well.
        baseline_since = self.now - BASELINE_OUTCOME_AGE * (news.phase == Phase.TRIAL)
        if news.phase == Phase.TRIAL and len(baseline) >= MIN_BASELINE_OUTCOMES:
            baseline_since = min(
                baseline_since, max(baseline[-MIN_BASELINE_OUTCOMES][0] - 1, self.build_started_at)
            )
        baseline_answers = (
            not long_crowded
            and len(baseline) >= MIN_BASELINE_OUTCOMES
            and baseline[-MIN_BASELINE_OUTCOMES][0] > baseline_since
        )
        # The target of the first class stands for all classes.
        lateness_counts = (
            long_crowded or self.queueing_delay < UNCROWDED_SHARE * self.settings.classes[0].target_latency
        )

        def baseline_view(scan: Scan) -> tuple[int, list[int]]:
            """Return how many trial servers must fail, and the recent values of the baseline build.

            More are needed while servers of the baseline build are faulty too. Servers that this instance
            cannot have met yet do not count.
            """
            trial_servers = sum(s.entry.build == build and s.capacity_share >= 1.0 for s in self.ready)
            trial_servers = min(trial_servers, scan.trial_count)
            faulty_baseline = any(
                s.failure_rate > FAULTY_SERVER_RATE for s in self.ready if s.entry.build < build
            )
            servers_needed = (
                max(3, 1 + trial_servers // 2)
                if faulty_baseline
                else min(trial_servers, 2 + trial_servers // 6)
            )
            return servers_needed, [
                scan.value_of(o) for o in baseline if o[0] > baseline_since and not long_crowded
            ]

        for scan in self.scans:
            if scan.failure_code or (attempt.latency_counts and (lateness_counts or scan.kind == "slow")):
                scan.add(scan.value_of(record), attempt.entry.server, baseline_answers, baseline_view)
            if scan.alarm and not self.alarm:
                self.alarm = True
                self._emit(
                    interface.Log(
                        f"build {build}: alarm, {len(scan.failures)} {scan.kind} of {scan.trial_count}"
                    )
                )
                self._send_vote()

    def _on_answer_disputed(self, event: interface.AnswerDisputed) -> None:
        """Judge a wrong answer as an error of a warm server."""
        if server := self.servers.get(event.server):
            self._judge_outcome(Attempt(server.entry, self.now, True, 0.0), 1, 1, 0.0)

    def _on_release_news(self, news: interface.ReleaseNews) -> None:
        """Take over the state of the release, and start new scans when build, stage or phase changes.

        A reply that failed, or that is older than what is known, settles the pending vote and changes nothing
        else; a late reply settles none, since another vote may be pending by now. Pushed news is always taken
        over. An alarm lasts until the next build. The scan of slowness goes on from stage to stage, since
        with each stage the baseline build has less load and so answers faster. The outcomes of a build that
        is rolled back are dropped, since the next build must not be compared with them.
        """
        if news.is_reply and not news.is_late and self.last_vote:
            self.last_vote.apply_reply(news.status is Outcome.OK, self.release.vote_ttl)
        previous = self.release_state
        if news.status is not Outcome.OK or (
            news.is_reply and previous and news.progress() < previous.progress()
        ):
            return
        self.release_state = news
        self._rebuild_pools()
        if previous is None or (previous.build, previous.stage, previous.phase) != (
            news.build,
            news.stage,
            news.phase,
        ):
            self.stage_started_at = self.now - news.age
            if previous and previous.phase in JUDGED_PHASES:
                counts = ", ".join(
                    f"{len(scan.failures)} {scan.kind} of {scan.trial_count}" for scan in self.scans
                )
                baseline_count = len(self.baseline_outcomes(previous.build))
                self._emit(
                    interface.Log(
                        f"build {previous.build} leaves stage {previous.stage}: {counts}, "
                        f"{baseline_count} of the earlier"
                    )
                )
            new_scans = self._new_scans(list(self.baseline_outcomes(news.build)))
            if previous and previous.build == news.build:
                new_scans = [
                    old if old.kind == "slow" else new for old, new in zip(self.scans, new_scans, strict=True)
                ]
            else:
                self.build_started_at, self.alarm = self.stage_started_at, False
            self.scans = new_scans
            if news.phase in (Phase.GOING_BACK, Phase.WITHDRAWN):
                self.served_keys.clear()
                self.outcomes_by_build.pop(news.build, None)

    def _wanted_verdict(self) -> Verdict:
        """Return the verdict wanted now.

        BACK after an alarm; HOLD, only under `Control.TIMER`, while a scan is doubtful; ON once the stage has
        run long enough without a doubt; else NONE.

        A vote to advance needs the bake time since the stage and its servers started, and then enough
        outcomes or a wait. Where several votes are needed to roll back, an instance with fewer than
        MIN_STREAM_LENGTH trial outcomes waits longer, so that those with more vote first: 40% of a large
        fleet, which may be enough to advance, would otherwise vote without any outcome.
        """
        if (news := self.release_state) is None or news.phase not in JUDGED_PHASES:
            return Verdict.NONE
        if self.alarm:
            return Verdict.BACK
        doubtful = any(scan.doubtful for scan in self.scans)
        if news.phase == Phase.RELEASED or self.release.control is interface.Control.TIMER:
            return Verdict.HOLD if news.phase == Phase.TRIAL and doubtful else Verdict.NONE
        trial_servers = [s for s in self.servers.values() if s.listed and s.entry.build == news.build]
        if all(s.ejected_until for s in trial_servers):
            return Verdict.NONE
        # The time since the end of the bake time, negative before.
        time_baked = (
            self.now
            - max(self.stage_started_at, *(s.started_at for s in trial_servers))
            - self.release.bake_time
        )
        wait = (
            VOTE_WAIT
            if self.scans[0].trial_count >= MIN_STREAM_LENGTH or self.votes_to_roll_back < 2
            else VOTE_WAIT_UNSEEN
        )
        # The first scan, "bad", counts only the outcomes in which lateness may be judged.
        ready = time_baked >= 0 and (
            self.scans[0].trial_count >= ENOUGH_OUTCOMES
            or min(time_baked, self.now - self.resumed_at) >= wait
        )
        return Verdict.ON if ready and not doubtful else Verdict.NONE

    def _send_vote(self) -> None:
        """Send the wanted vote, and repeat it until the platform accepts it.

        At most once a second the instance draws whether to send, with a probability that keeps all instances
        together within `calls_per_s`. It rises with time, since fewer instances are estimated to be still
        without an accepted vote: with a constant probability, at most a third of a large fleet's votes would
        ever be valid together. A vote without a reply is not sent again before the call times out. A valid
        vote is renewed before it expires, and HOLD is withdrawn by a vote NONE once no scan is doubtful.
        """
        news, vote, wanted = self.release_state, self.last_vote, self._wanted_verdict()
        if vote and vote.pending and self.now - vote.sent_at <= self.release.call_timeout + SECOND:
            return
        is_valid = vote and self.now < vote.valid_until and vote.verdict != Verdict.NONE
        if wanted is Verdict.NONE and not (is_valid and vote.verdict == Verdict.HOLD):
            self.vote_wanted_since = 0
            return
        self.vote_wanted_since = self.vote_wanted_since or self.now
        unchanged = is_valid and (vote.stage, vote.build, vote.verdict) == (news.stage, news.build, wanted)
        lasts = unchanged and vote.valid_until - self.now > VOTE_RENEWAL_SHARE * self.release.vote_ttl
        if lasts or self.now - self.last_vote_draw_at < SECOND:
            return
        self.last_vote_draw_at, calls_per_s = self.now, self.release.calls_per_s
        # Valid votes of others by now, if the platform got as many calls as it accepts.
        others = calls_per_s * min(self.now - self.vote_wanted_since, self.release.vote_ttl) / SECOND
        # In the first second the platform accepts twice as many.
        burst = 1 + (self.now - self.vote_wanted_since < SECOND)
        if self.random.random() * max(self.settings.instances - others, 1.0) < burst * calls_per_s:
            self.last_vote = SentVote(news.stage, news.build, wanted, self.now)
            self._emit(interface.Vote(news.stage, news.build, wanted))
