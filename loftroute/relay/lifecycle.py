"""Builds the relay, runs it, logs its state, reloads its addresses and shuts it down gracefully."""

import gc
import os
import resource
import signal
import sys
from collections.abc import Mapping
from typing import Any, Protocol

from loguru import logger

from loftroute import config as configuration
from loftroute import invariants
from loftroute.config import Config
from loftroute.config_section import ConfigError
from loftroute.decision.policy import Balancer
from loftroute.protocol.catalog import Address
from loftroute.relay.changes import Changes
from loftroute.relay.clients import Clients
from loftroute.relay.discovery import Discovery
from loftroute.relay.module import Module
from loftroute.relay.request_log import RequestLog
from loftroute.relay.units import Units
from loftroute.relay.votes import Votes
from loftroute.runtime.clock import Clock
from loftroute.runtime.scheduler import MS, Scheduler, TimeSource, spawn_supervised

LOG_LEVEL_VARIABLE = "LOFTROUTE_LOG_LEVEL"  # environment variable; DEBUG enables the log of requests


class Subsystem(Protocol):
    """An optional component that is closed with the relay."""

    def figures(self) -> Mapping[str, object]:
        """Return the figures for the state line, by name."""
        ...

    def close(self) -> None:
        """Release its resources at the end of the shutdown."""
        ...


class Relay:
    """One relay with all its actors.

    Attributes:
        is_ending: a shutdown has been requested.
        reloads: number of reloads that have been applied.
        subsystems: optional components of the product, such as the store and the pair.
    """

    def __init__(self, config: Config, clock: TimeSource | None = None) -> None:
        self.config = config
        self.scheduler = Scheduler(
            clock or Clock(), self._log_failure, gather=config.transport.min_poll_interval_ns
        )
        self.units = Units(
            self.scheduler, config.transport, config.budget.unit_connections, config.settings.report_fields
        )
        self.balancer = Balancer(config.settings, config.seed)
        self.module = Module(config, self.scheduler, self.balancer, self.units)
        self.clients = Clients(config, self.scheduler, self.module)
        self.discovery = Discovery(config, self.scheduler, self.module)
        self.changes: Changes | None = None
        self.votes: Votes | None = None
        self.is_ending = self._reload_requested = False
        self.reloads = 0
        self.subsystems: list[Subsystem] = []
        if is_debug_logged():
            self.module.request_log = RequestLog()

    def start(self) -> None:
        """Start all actors; they run once the scheduler does."""
        self._lifecycle_task = spawn_supervised(self.scheduler, "lifecycle", self._supervise)
        self._reload_task = spawn_supervised(self.scheduler, "reload", self._reload)
        self._start_actors()

    def run(self) -> None:
        """Start the relay, install the signal handlers and run until the shutdown is complete."""
        self.start()
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._on_terminate)
        signal.signal(signal.SIGHUP, self._on_reload)
        gc.collect()
        gc.freeze()  # permanent objects are excluded from later collections
        gc.set_threshold(50_000, 20, 100)
        logger.info("{} listens on {}", self.config.name, self.config.listen)
        self.scheduler.run()

    def _start_actors(self) -> None:
        """Start the actors; the module first gets the cached list and then the initial release news."""
        config, module = self.config, self.module
        module.on_watch = self.discovery.mailbox.put
        if config.cached_list:
            module.handle_listing(config.cached_list)
        if config.initial_news:
            module.handle_news(config.initial_news)
        module.start()
        self.discovery.start()
        if config.control.platform:
            self._attach_platform(config.control.platform)

    def _attach_platform(self, platform: Address) -> None:
        """Start the actors that talk to the platform."""
        self.changes = Changes(self.config, self.scheduler, self.module, platform)
        self.votes = Votes(self.config, self.scheduler, self.module, platform)
        self.module.on_vote = self.votes.mailbox.put
        self.changes.start()
        self.votes.start()

    def _log_failure(self, task: str, problem: Exception) -> None:
        logger.opt(exception=problem).error("task {} failed", task)

    def _on_terminate(self, *_: object) -> None:
        self.is_ending = True
        self.scheduler.wake(self._lifecycle_task)

    def _on_reload(self, *_: object) -> None:
        self._reload_requested = True
        self.scheduler.wake(self._reload_task)

    def _reload(self) -> None:
        """Reload the addresses at each SIGHUP, also during a shutdown; an invalid file changes nothing."""
        while True:
            if not self._reload_requested:
                self.scheduler.park()
                continue
            self._reload_requested = False
            try:
                self._apply_addresses(configuration.reload())
            except ConfigError as problem:
                logger.error("reload: {}; the old configuration stays", problem)

    def _apply_addresses(self, control: configuration.ControlAddresses) -> None:
        """Use new control addresses; the list, open requests and learnt state are kept."""
        self.reloads += 1
        logger.info("reload: discovery {}, platform {}", control.discovery, control.platform)
        self.discovery.move(control.discovery)
        if control.platform and self.changes and self.votes:
            self.changes.move(control.platform)
            self.votes.move(control.platform)
        elif control.platform:
            self._attach_platform(control.platform)

    def _supervise(self) -> None:
        """Log the state line periodically until a shutdown is requested, then shut down."""
        clock, interval = self.scheduler.clock, self.config.transport.report_interval_ns
        report_at = clock.now() + interval
        while not self.is_ending:
            self.scheduler.park(clock.now() + 1000 * MS)
            if clock.now() >= report_at:
                report_at += interval
                self.report()
        self._shut_down()

    def _shut_down(self) -> None:
        """Shut down gracefully.

        Connections are accepted until none arrives for a while. Then clients are closed once they are idle.
        Requests still open shortly before the platform may send SIGKILL are answered, and their answers get
        a moment to be sent.
        """
        clock, transport = self.scheduler.clock, self.config.transport
        requested_at = clock.now()
        kill_after = (
            min(self.config.longest_deadline_ns, transport.kill_deadline_cap_ns) + transport.kill_delay_ns
        )
        end_by = requested_at + kill_after - transport.kill_reserve_ns
        self.module.set_shutdown_deadline(end_by)
        logger.info(
            "graceful shutdown: {} requests open, {} clients",
            len(self.module.open_requests),
            len(self.clients.connections),
        )
        while clock.now() < min(requested_at + transport.max_drain_ns, end_by):
            quiet = clock.now() - max(self.clients.last_accept, requested_at) >= transport.drain_quiet_ns
            if quiet and clock.now() >= requested_at + transport.min_drain_ns:
                break
            self.scheduler.sleep(20 * MS)
        self.clients.close()
        self._wait_for_clients(end_by)
        self.module.answer_open_requests()
        self._wait_for_clients(clock.now() + transport.kill_reserve_ns // 2)
        self.report()
        for subsystem in reversed(self.subsystems):
            subsystem.close()
        self.scheduler.stop()

    def _wait_for_clients(self, deadline: int) -> None:
        """Wait until all client connections are closed, at most until the deadline."""
        while self.clients.connections and self.scheduler.clock.now() < deadline:
            self.scheduler.sleep(10 * MS)

    def report(self) -> None:
        """Log the state line with the figures of all components."""
        usage = resource.getrusage(resource.RUSAGE_SELF)
        scheduler = self.scheduler
        figures: dict[str, Any] = {
            "open": len(self.module.open_requests),
            "attempts out": self.units.attempts_out(),
            **self.balancer.state_counts(),
            "clients": len(self.clients.connections),
            "units": self.units.open_connections,
            "dials": self.units.dials,
            "lag ms": round(scheduler.worst_lag / MS, 1),
            "memory MB": _resident_memory_mb(),
            "most": usage.ru_maxrss // 1024,
            "messages KB": scheduler.message_memory.used_bytes >> 10,
            "most messages KB": scheduler.message_memory.take_peak() >> 10,
            **self.clients.memory_figures(),
            **{f"closed: {reason.value}": count for reason, count in self.clients.closes.items()},
            "cpu s": round(usage.ru_utime + usage.ru_stime, 1),
            "task failures": scheduler.failures,
            "bad requests": self.clients.bad_requests,
            "malformed": self.clients.malformed,
            "skipped commands": self.clients.message_budget.commands_skipped,
            "half commands": self.clients.half_commands,
            "closed unread": self.clients.closed_unread,
            "cut off": self.clients.slow_readers_closed,
            "thinned out": self.clients.idle_clients_closed,
            "spoilt answers": self.units.malformed,
            "unasked answers": self.units.unsolicited,
            "crowded": self.units.crowded + self.clients.crowded,
            "lists": self.discovery.lists,
            "old lists": self.discovery.versions.stale_lists,
            "late lists": self.discovery.late_lists,
            "list calls": self.discovery.calls,
            "list calls open": self.discovery.open_calls,
            "reloads": self.reloads,
            "turns": scheduler.turns,
            "discovery failures": self.discovery.failures,
            "changes failures": self.changes.failures if self.changes else 0,
            "late vote answers": self.votes.late_answers if self.votes else 0,
            "dropped messages": self.module.mailbox.dropped,
            "requests": self.module.requests,
            "served": self.module.served,
            **self.module.members.figures(),
            **self.module.counters,
            **invariants.violations,
        }
        for subsystem in self.subsystems:
            figures.update(subsystem.figures())
        scheduler.worst_lag = 0
        logger.info("state: {}", ", ".join(f"{name} {value}" for name, value in figures.items()))


def _resident_memory_mb() -> int:
    """Return the resident memory in megabytes; 0 if the system does not provide it."""
    try:
        with open("/proc/self/statm", encoding="ascii") as file:
            return int(file.read().split()[1]) * resource.getpagesize() >> 20
    except (OSError, ValueError, IndexError):
        return 0


def is_debug_logged() -> bool:
    """Return whether the environment asks for the debug log of requests."""
    return os.environ.get(LOG_LEVEL_VARIABLE) == "DEBUG"


def log_to_stderr(level: str = "INFO", json: bool = False) -> None:
    """Log to standard error, one record per line, optionally as JSON; the environment's DEBUG goes first."""
    logger.remove()
    level = "DEBUG" if is_debug_logged() else level
    if json:
        logger.add(
            sys.stderr, format="{message}", level=level, serialize=True, backtrace=False, diagnose=False
        )
        return
    logger.add(
        sys.stderr,
        format="{time:HH:mm:ss.SSS} {level} {message}",
        level=level,
        backtrace=False,
        diagnose=False,
    )
