"""Simulates many instances of the decision module with units, a platform that counts votes, and traffic.

For tests of behaviour that is harmless in one instance but harmful in a whole fleet. Runs are determined by
their seed. All times are nanoseconds of simulated time.
"""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field, replace
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import Any

from loftroute.decision import interface as i
from loftroute.decision.policy import Balancer
from loftroute.lab.setup import MS, SECOND, setup
from loftroute.module_settings import read_settings

# Time until a vote is answered; least and greatest delay of lists and news.
VOTE_DELAY, LATE_NEWS = 100 * MS, (150 * MS, 600 * MS)


@dataclass
class Unit:
    """A machine with a queue per core.

    Attributes:
        slowdown: Factor by which a faulty unit is slower.
        error_share: Share of attempts that a faulty unit answers with an error.
        faulty_after: Time after its start from which the unit is faulty, ns.
        paused_until: Time until which the unit does no work.
        unreachable: Connections to the unit fail.
        speed: Speed of each core, relative to a machine of weight 1.
        is_full: The unit refuses every attempt at once as overloaded.
        free: Time at which each core becomes free.
    """

    entry: i.ServerEntry
    cores: int = 4
    slowdown: float = 1.0
    error_share: float = 0.0
    faulty_after: int = 0
    paused_until: int = 0
    unreachable: bool = False
    speed: float = 1.0
    is_full: bool = False
    free: list[int] = field(default_factory=list)

    def finish_time(self, now: int, work: float, cold: int, cold_share: float) -> int:
        """Start an attempt once a core is free, and return when it will be done."""
        self.free = self.free or [0] * self.cores
        core = min(range(self.cores), key=self.free.__getitem__)
        start = max(now, self.free[core], self.paused_until)
        age = min(max(start - self.entry.started, 0) / cold, 1.0) if self.entry.started else 1.0
        slowdown = self.slowdown if self.is_faulty(start) else 1.0
        effective_speed = self.speed * (cold_share + (1 - cold_share) * age)
        self.free[core] = start + int(work * slowdown / effective_speed)
        return self.free[core]

    def is_faulty(self, now: int) -> bool:
        """Return whether the unit is faulty."""
        return now >= self.entry.started + self.faulty_after


class Platform:
    """The platform: accepts votes within its rate limit, and advances stages or rolls the build back.

    Attributes:
        calls: Calls left in the token bucket, as of `refilled_at`.
        state: State of the release.
        stage_since: When the state changed last.
        votes: Last vote of each relay: time at which it expires, verdict.
        accepted: Votes accepted by second.
        refused: Votes refused by the rate limit.
    """

    def __init__(self, settings: dict[str, Any], build: int = 1) -> None:
        self.release_settings = settings["family_info"]
        self.calls, self.refilled_at = 2 * self.release_settings["calls_per_s"], 0
        self.state = i.ReleaseNews(i.Phase.RELEASED, 0, 0, i.Outcome.OK, 1.0, build, False)
        self.stage_since = 0
        self.votes: dict[int, tuple[int, i.Verdict]] = {}
        self.accepted: Counter[int] = Counter()
        self.refused = 0

    def release_news(self, now: int, reply: bool = False, status: i.Outcome = i.Outcome.OK) -> i.ReleaseNews:
        """Return the state as it is sent to a relay."""
        return replace(self.state, age=now - self.stage_since, is_reply=reply, status=status)

    def change(self, now: int, phase: i.Phase, stage: int, build: int | None = None) -> None:
        """Enter a phase and stage, of a new build if one is given; votes are dropped."""
        cap = self.release_settings["stage_cap"][stage] if phase in (i.Phase.TRIAL, i.Phase.RELEASED) else 0.0
        build = self.state.build if build is None else build
        self.state, self.stage_since = (
            replace(self.state, phase=phase, stage=stage, cap=cap, build=build),
            now,
        )
        self.votes.clear()

    def vote(self, now: int, relay: int, vote: i.Vote) -> i.Outcome:
        """Record a vote and return its status: OK, FULL if over the rate limit, MOOT if outdated."""
        allowance = self.release_settings["calls_per_s"]
        self.calls = min(2 * allowance, self.calls + allowance * (now - self.refilled_at) / SECOND)
        self.refilled_at = now
        if self.calls < 1:
            self.refused += 1
            return i.Outcome.FULL
        self.calls -= 1
        is_stale_vote = vote.verdict is i.Verdict.ON and vote.stage != self.state.stage
        if is_stale_vote or vote.build != self.state.build:
            return i.Outcome.MOOT
        self.accepted[now // SECOND] += 1
        self.votes[relay] = now + self.release_settings["ballot_ttl"], vote.verdict
        return i.Outcome.OK

    def valid_votes(self, now: int, verdict: i.Verdict) -> int:
        """Return the number of unexpired votes for a verdict."""
        return sum(expiry > now and vote_verdict is verdict for expiry, vote_verdict in self.votes.values())

    def tally(self, now: int, all_up_since: int) -> bool:
        """Count the votes, change the state if they suffice, and return whether it changed."""
        state = self.state
        if state.phase in (i.Phase.TRIAL, i.Phase.RELEASED) and (
            self.valid_votes(now, i.Verdict.BACK) >= self.release_settings["to_abort"]
        ):
            self.change(now, i.Phase.GOING_BACK, state.stage)
            return True
        dwell_over = now >= max(self.stage_since, all_up_since) + self.release_settings["min_dwell"]
        has_votes = self.valid_votes(now, i.Verdict.ON) >= self.release_settings["ayes_needed"]
        if state.phase is not i.Phase.TRIAL or not (dwell_over and has_votes):
            return False
        last = state.stage + 1 == len(self.release_settings["stage_cap"])
        self.change(now, i.Phase.RELEASED if last else i.Phase.TRIAL, state.stage + (not last))
        return True


class Fleet:
    """Relays over one set of units, with one clock and one platform.

    Attributes:
        now: Simulated time.
        rate: Requests per second of the whole fleet.
        work: Mean work of a request, ns of a core of speed 1.
        cold, cold_share: Cold time and initial share of capacity that the units really have.
        final_answers: Final answers of each request; more than one is a fault.
        attempts: Attempts by unit and second.
        on_arrival: Called with the unit and the work of each attempt that reaches a unit.
        generations: Number of restarts of each relay; events of an earlier generation are dropped.
        weights: Share of the traffic that each relay gets, relative to the others.
        hint_sigma: Sigma of the lognormal factor between a request's hint and its work.
        unit_options: Arguments for the units of the build that is rolled out.
        work_by_request: Work of each request.
        stage_changes: Time, phase and stage of each change of the release.
    """

    def __init__(
        self,
        instances: int,
        units: int,
        seed: int = 1,
        rate: float = 0.0,
        work: int = 100 * MS,
        hint_sigma: float = 0.0,
        build: int = 1,
        **changes: Any,
    ) -> None:
        raw_settings = setup(instances=instances, **changes)
        self.settings, self.random = read_settings(raw_settings), Random(seed)
        self.cold, self.cold_share = (
            self.settings.cold_duration,
            self.settings.start_capacity,
        )
        self.now, self.rate, self.work = 10 * SECOND, rate, work
        self.platform = Platform(raw_settings, build)
        self.units = {n: Unit(self._entry(n, build, 0)) for n in range(1, units + 1)}
        self.final_answers: dict[str, list[str]] = defaultdict(list)
        self.attempts: Counter[tuple[int, int]] = Counter()
        self.on_arrival: Callable[[Unit, int], None] = lambda unit, work: None
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._order, self._ids = count(), count(1)
        self.relays = [
            Balancer(replace(self.settings, instance_index=n, zone=n % 2), seed * 1000 + n)
            for n in range(instances)
        ]
        self.generations = [0] * instances
        self.weights = [1.0] * instances
        self.unit_count, self.hint_sigma, self.startup_ns = units, hint_sigma, 0
        self.unit_options: dict[str, Any] = {}
        self.work_by_request: dict[str, int] = {}
        self.stage_changes: list[tuple[int, i.Phase, int]] = []
        for n in range(instances):
            self.start(n)
        if rate:
            self.schedule(self.now, self._request)
        self.schedule(self.now, self._tally_votes)

    @staticmethod
    def _entry(number: int, build: int, started: int) -> i.ServerEntry:
        return i.ServerEntry(number, number % 2, 0, 0, build, i.ServerState.READY, started, 1.0)

    # ---- time

    def schedule(self, when: int, call: Callable[[], None]) -> None:
        """Call a function at a simulated time."""
        heappush(self._events, (when, next(self._order), call))

    def run(self, duration_ns: int) -> None:
        """Run the simulation for a time in ns."""
        end = self.now + duration_ns
        while self._events and self._events[0][0] <= end:
            when, _, call = heappop(self._events)
            self.now = max(self.now, when)
            call()
        self.now = end

    # ---- lists and news

    def entries(self) -> tuple[i.ServerEntry, ...]:
        """Return the list entries of all units."""
        return tuple(unit.entry for unit in self.units.values())

    def start(self, n: int, known: tuple[i.ServerEntry, ...] | None = None, restart: bool = False) -> None:
        """Start a relay with a list of units, all of them by default.

        With `restart` it loses its state, and its open requests end as "lost".
        """
        if restart:
            for request in self.relays[n].requests:
                self.final_answers[request] = self.final_answers[request] or ["lost"]
            self.generations[n] += 1
            self.relays[n] = Balancer(self.relays[n].settings, self.random.randrange(1 << 32))
        self.deliver(n, i.Started())
        self.deliver(n, i.ServerList(i.ListKind.CACHED, 1, self.entries() if known is None else known))
        self.deliver(n, self.platform.release_news(self.now))

    def announce_units(self, *changed: i.ServerEntry, delay_range: tuple[int, int] = LATE_NEWS) -> None:
        """Send changed list entries to all relays, each after a random delay."""
        self._for_all(lambda n: self.deliver(n, i.ServerList(i.ListKind.DELTA, 2, changed)), delay_range)

    def announce_weights(self, weights: Mapping[int, float]) -> None:
        """List units with other weights; their speed is unchanged."""
        for server, weight in weights.items():
            unit = self.units[server]
            unit.entry = replace(unit.entry, weight=weight)
        self.announce_units(*(self.units[server].entry for server in weights))

    def announce_release(self) -> None:
        """Send the state of the release to all relays, each after a random delay."""
        self._for_all(lambda n: self.deliver(n, self.platform.release_news(self.now)), LATE_NEWS)

    def _for_all(self, announce: Callable[[int], None], delay_range: tuple[int, int]) -> None:
        for n in range(len(self.relays)):
            self.schedule(self.now + self.random.randint(*delay_range), lambda n=n: announce(n))

    def start_trial(self, build: int, added: int, **unit_options: Any) -> None:
        """Start the first stage of a build on `added` new units."""
        self.platform.change(self.now, i.Phase.TRIAL, 0, build)
        self.announce_release()
        self.add(build, added, **unit_options)

    def roll_out(self, build: int, startup_ns: int = 2 * SECOND, **unit_options: Any) -> None:
        """Roll a build out in stages, each on its share of the units; once released it replaces the other.

        The units of a stage start `startup_ns` after it begins.
        """
        self.unit_options, self.startup_ns = unit_options, startup_ns
        self.platform.change(self.now, i.Phase.TRIAL, 0, build)
        self._stage_changed()

    def _stage_changed(self) -> None:
        """Start the units of a new stage, or drain those of the build that was replaced or rolled back."""
        state = self.platform.state
        self.stage_changes.append((self.now, state.phase, state.stage))
        self.announce_release()
        if state.phase is i.Phase.TRIAL and self.unit_options:
            self.schedule(self.now + self.startup_ns, lambda: self._start_stage_units(state))
        elif state.phase is not i.Phase.TRIAL:
            is_rolled_back = state.phase is i.Phase.GOING_BACK
            staying = [
                unit for unit in self.units.values() if (unit.entry.build == state.build) != is_rolled_back
            ]
            if not staying:  # the units of the earlier build are gone: start new ones
                self.add(state.build - 1, self.unit_count)
            self.drain(
                unit for unit in self.units.values() if (unit.entry.build == state.build) == is_rolled_back
            )

    def _start_stage_units(self, announced: i.ReleaseNews) -> None:
        state = self.platform.state
        if (state.phase, state.build) == (announced.phase, announced.build):
            share = self.platform.release_settings["stage_share"][announced.stage]
            running = sum(unit.entry.build == announced.build for unit in self.units.values())
            self.add(announced.build, round(share * self.unit_count) - running, **self.unit_options)

    def add(self, build: int, added: int, **unit_options: Any) -> None:
        """Start and list new units of a build."""
        first = max(self.units) + 1
        new_units = {
            n: Unit(self._entry(n, build, self.now), **unit_options) for n in range(first, first + added)
        }
        self.units |= new_units
        self.announce_units(*(unit.entry for unit in new_units.values()))

    def stop_units(self, units: Iterable[Unit]) -> None:
        """Stop units: connections to them fail, and they are removed from the list."""
        units = list(units)
        for unit in units:
            unit.unreachable = True
            unit.entry = replace(unit.entry, state=i.ServerState.GONE)
        self.announce_units(*(unit.entry for unit in units))

    def restart_units(self, units: Iterable[Unit]) -> None:
        """Restart stopped units: they are idle, cold and listed as ready."""
        units = list(units)
        for unit in units:
            unit.unreachable, unit.free = False, []
            unit.entry = replace(unit.entry, state=i.ServerState.READY, started=self.now)
        self.announce_units(*(unit.entry for unit in units))

    def drain(self, units: Iterable[Unit]) -> None:
        """List units as draining; eight seconds later they are removed from the list."""
        leaving = list(units)
        for unit in leaving:
            unit.entry = replace(unit.entry, state=i.ServerState.DRAINING)
        self.announce_units(*(unit.entry for unit in leaving))
        self.schedule(self.now + 8 * SECOND, lambda: self._remove(leaving))

    def _remove(self, leaving: list[Unit]) -> None:
        for unit in leaving:
            unit.entry = replace(unit.entry, state=i.ServerState.GONE)
        self.announce_units(*(unit.entry for unit in leaving))

    def _tally_votes(self) -> None:
        if self.platform.tally(self.now, self._all_running_since()):
            self._stage_changed()
        self.schedule(self.now + 50 * MS, self._tally_votes)

    def _all_running_since(self) -> int:
        """Return since when all units of the stage run; now, while some have not started."""
        state, required = self.platform.state, 0
        if state.phase is i.Phase.TRIAL and self.unit_options:
            required = round(self.platform.release_settings["stage_share"][state.stage] * self.unit_count)
        running = [unit.entry.started for unit in self.units.values() if unit.entry.build == state.build]
        return max(running, default=0) if len(running) >= required else self.now

    # ---- requests

    def stop_traffic(self) -> None:
        """Send no more requests; open ones continue."""
        self.rate = 0.0

    def _request(self) -> None:
        if not self.rate:
            return
        n = self.random.choices(range(len(self.relays)), self.weights)[0]
        self.send_request(n)
        self.schedule(self.now + int(self.random.expovariate(self.rate) * SECOND), self._request)

    def send_request(self, n: int, class_index: int = 0) -> str:
        """Send a request of a class to relay n and return its id."""
        request, request_class = f"{next(self._ids):016x}", self.settings.classes[class_index]
        self.final_answers[request]
        work = self.work_by_request[request] = int(self.work * self.random.uniform(0.5, 1.5))
        hint = int(work * self.random.lognormvariate(0.0, self.hint_sigma)) if self.hint_sigma else work
        self.deliver(
            n, i.RequestArrived(request, None, 0, class_index, hint, request_class.deadline, False, False)
        )
        return request

    def deliver(self, n: int, event: i.Event) -> None:
        """Deliver an event to relay n and carry out its actions: `_NAME` handles the action class Name."""
        for action in self.relays[n].handle(self.now, event):
            getattr(self, f"_{type(action).__name__.lower()}", lambda *_: None)(n, action)

    def _deliver_later(self, n: int, when: int, event: i.Event) -> None:
        generation = self.generations[n]
        self.schedule(when, lambda: self.deliver(n, event) if self.generations[n] == generation else None)

    def _settimer(self, n: int, action: i.SetTimer) -> None:
        self._deliver_later(n, action.at, i.TimerFired(action.token))

    def _refuse(self, n: int, action: i.Refuse) -> None:
        self.final_answers[action.request].append("refused")

    def _fail(self, n: int, action: i.Fail) -> None:
        self.final_answers[action.request].append("failed")

    def _vote(self, n: int, action: i.Vote) -> None:
        status = self.platform.vote(self.now, n, action)
        self._deliver_later(n, self.now + VOTE_DELAY, self.platform.release_news(self.now, True, status))

    def _send(self, n: int, action: i.Send) -> None:
        unit, request = self.units[action.server], self.relays[n].requests[action.request]
        number, work = len(request.attempts) - 1, self.work_by_request[action.request]
        self.attempts[action.server, self.now // SECOND] += 1
        if not unit.unreachable:
            self.on_arrival(unit, work)
        end, outcome = self._attempt_end(unit, work)
        if outcome is i.Outcome.OK and self.random.random() < unit.error_share and unit.is_faulty(self.now):
            outcome = i.Outcome.ERROR
        if end - self.now > action.timeout:
            end, outcome = self.now + action.timeout, i.Outcome.TIMEOUT
        generation, duration_ns = self.generations[n], end - self.now
        self.schedule(end, lambda: self._end_attempt(n, generation, action, number, outcome, duration_ns))

    def _attempt_end(self, unit: Unit, work: int) -> tuple[int, i.Outcome]:
        """Return when an attempt ends at a unit, and its outcome as far as the unit's state determines it."""
        if unit.unreachable:
            return self.now + MS, i.Outcome.CONNECT_FAILED
        if unit.is_full:
            return self.now + MS, i.Outcome.FULL
        return unit.finish_time(self.now, work, self.cold, self.cold_share) + MS, i.Outcome.OK

    def _end_attempt(
        self, n: int, generation: int, action: i.Send, number: int, outcome: i.Outcome, duration_ns: int
    ) -> None:
        if self.generations[n] != generation:
            return
        is_answered = bool(self.final_answers[action.request])
        if outcome is i.Outcome.OK and not is_answered:
            self.final_answers[action.request].append("served")
            is_answered = True
        self.deliver(
            n, i.AttemptEnded(action.request, number, action.server, outcome, duration_ns, is_answered, None)
        )

    # ---- totals

    def ending_counts(self) -> Counter[str]:
        """Return the number of requests by first final answer; "open" are those without one."""
        return Counter(answers[0] if answers else "open" for answers in self.final_answers.values())
