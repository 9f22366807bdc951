"""One hollow relay in simulated time: the real decision module and list parser, without sockets.

The processor time of each call of the module is measured and summed by the kind of the call. Simulated times
are in nanoseconds.
"""

import json
import time
from collections import Counter
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import Any

from loftroute.decision import interface as i
from loftroute.decision.policy import Balancer
from loftroute.lab.scale import workload
from loftroute.lab.setup import MS, SECOND
from loftroute.module_settings import read_settings
from loftroute.protocol.catalog import Catalog
from loftroute.transport import Transport

RESPONSE_TIME = 20 * MS
START_TIME = 100 * SECOND


class SingleRelay:
    """A relay that receives requests at a constant rate; units answer every attempt after 20 ms.

    Attributes:
        gap: Time between two requests.
        entries: Discovery's list, one entry for each unit.
        cpu: Processor time in nanoseconds by kind of call.
        calls: Number of calls by kind.
        last_used: By server number, when its connection was last used.
        dials: Requests that had to open a connection.
        outcomes: Number of actions by class name.
    """

    def __init__(
        self,
        units: int,
        requests_per_s: float,
        seed: int = 1,
        relays: int = 520,
        services: int = 3,
        tenants: int = 0,
    ) -> None:
        self.raw = workload.raw_settings(relays, services, tenants)
        self.settings = read_settings(self.raw)
        self.random = Random(seed)
        self.balancer = Balancer(self.settings, seed)
        self.catalog = Catalog({workload.zone_name(zone): zone for zone in range(workload.ZONES)}, {"m": 0})
        self.now, self.gap = START_TIME, int(SECOND / requests_per_s)
        self.entries = [workload.entry(number, number % workload.ZONES) for number in range(units)]
        self.version = 1
        self.cpu: Counter[str] = Counter()
        self.calls: Counter[str] = Counter()
        self.last_used: dict[int, int] = {}
        self.dials = 0
        self.outcomes: Counter[str] = Counter()
        self._timers: list[tuple[int, int, i.Event]] = []
        self._order, self._request_numbers = count(), count(1)
        self._attempts: Counter[str] = Counter()
        self._handle("start", i.Started())
        self.whole_list()
        self._handle("news", workload.released())

    # ---- discovery

    def whole_list(self) -> int:
        """Parse and apply the whole list; return the size of its document in bytes."""
        body = json.dumps(workload.document(self.entries, self.version, True)).encode()
        self._read("whole list", body)
        return len(body)

    def change_one(self) -> int:
        """Parse and apply a change of one unit; return the size of its document in bytes."""
        self.version += 1
        number = self.random.randrange(len(self.entries))
        changed = dict(self.entries[number], startedAtMs=self.now // MS - 60_000)
        self.entries[number] = changed
        body = json.dumps(workload.document([changed], self.version, False)).encode()
        self._read("change", body)
        return len(body)

    def _read(self, kind: str, body: bytes) -> None:
        started_ns = time.thread_time_ns()
        listing = self.catalog.read(body)
        self.cpu[kind] += time.thread_time_ns() - started_ns
        self._handle(kind, listing.event)
        self.calls[kind] += 1

    # ---- clock and requests

    def run(self, requests: int) -> None:
        """Let this many requests arrive, and execute the timers and answers that fall due meanwhile."""
        for _ in range(requests):
            self._advance_to(self.now + self.gap)
            self._send_request()

    def idle(self, length: int) -> None:
        """Advance the clock by `length` without new requests."""
        self._advance_to(self.now + length)

    def _advance_to(self, end_time: int) -> None:
        while self._timers and self._timers[0][0] <= end_time:
            when, _, event = heappop(self._timers)
            self.now = max(self.now, when)
            kind = "tick" if isinstance(event, i.TimerFired) else "request"
            self._handle(kind, event)
            self.calls[kind] += kind == "tick"
        self.now = end_time

    def _send_request(self) -> None:
        name = f"{next(self._request_numbers):016x}"
        tenants, rule = len(self.settings.quotas), self.settings.classes[0]
        tenant = self.random.randrange(tenants) if tenants else 0
        class_index = self.random.randrange(0, len(self.settings.classes), 3)  # every third service is safe
        event = i.RequestArrived(name, None, tenant, class_index, RESPONSE_TIME, rule.deadline, False, False)
        self.calls["request"] += 1
        self._handle("request", event)

    def _handle(self, kind: str, event: i.Event) -> None:
        started_ns = time.thread_time_ns()
        actions = self.balancer.handle(self.now, event)
        self.cpu[kind] += time.thread_time_ns() - started_ns
        for action in actions:
            self._act(action)

    def _act(self, action: i.Action) -> None:
        if isinstance(action, i.SetTimer):
            self._schedule(action.at, i.TimerFired(action.token))
        elif isinstance(action, i.Send):
            self._send(action)
        elif isinstance(action, i.Refuse | i.Fail):
            self.outcomes[type(action).__name__] += 1

    def _send(self, action: i.Send) -> None:
        number = self._attempts[action.request]
        self._attempts[action.request] += 1
        idle_ns = self.now - self.last_used.get(action.server, 0)
        self.dials += idle_ns > Transport().idle_timeout_ns
        self.last_used[action.server] = self.now
        self.outcomes["Send"] += 1
        ended = i.AttemptEnded(action.request, number, action.server, i.Outcome.OK, RESPONSE_TIME, True, None)
        self._schedule(self.now + RESPONSE_TIME, ended)

    def _schedule(self, when: int, event: i.Event) -> None:
        heappush(self._timers, (when, next(self._order), event))

    # ---- figures

    def reset_figures(self) -> None:
        """Set all counters to zero; the state of the relay stays."""
        self.cpu.clear()
        self.calls.clear()
        self.outcomes.clear()
        self.dials = 0

    def cpu_per_call(self, kind: str) -> float:
        """Return the mean processor time, in seconds, of a call of this kind."""
        return self.cpu[kind] / 1e9 / max(self.calls[kind], 1)

    def connections(self) -> int:
        """Return the number of open connections.

        Assumes one connection for each unit, which is closed after the relay's idle timeout.
        """
        return sum(self.now - used_at <= Transport().idle_timeout_ns for used_at in self.last_used.values())


def settings_seconds(services: int, tenants: int) -> tuple[float, int]:
    """Parse settings of this size; return the processor time in seconds and the size of the text in bytes."""
    text = json.dumps(workload.raw_settings(520, services, tenants))
    started_ns = time.thread_time_ns()
    raw: Any = json.loads(text)
    read_settings(raw)
    return (time.thread_time_ns() - started_ns) / 1e9, len(text)
