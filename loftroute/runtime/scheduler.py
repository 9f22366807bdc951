"""A cooperative scheduler of greenlets on `select.poll`: tasks, timers and mailboxes.

The hub is the greenlet that calls `Scheduler.run`. A task parks until a message, an event on its socket or
its deadline wakes it. Wake-ups can be spurious, so a task has to check its condition again after each one.

All times are nanoseconds of the scheduler's clock.
"""

import select
import time
from collections import deque
from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any, Generic, Protocol, TypeVar

import greenlet

from loftroute.runtime.memory import MemoryAccount

MS = 1_000_000  # nanoseconds

READ, WRITE = select.POLLIN, select.POLLOUT
PEER_END = select.POLLRDHUP  # the peer has shut down its sending side; reported behind unread data too
ERROR_EVENTS = select.POLLHUP | select.POLLERR | select.POLLNVAL

Item = TypeVar("Item")


class TaskCancelledError(greenlet.GreenletExit):
    """Raised inside a task that was cancelled, at the place where it is parked."""


class TimeSource(Protocol):
    """A clock."""

    def now(self) -> int:
        """Return the current time in nanoseconds."""

    def wall_step(self) -> int:
        """Return by how much the machine's wall clock was stepped since creation, in nanoseconds."""


class Poller(Protocol):
    """The interface of `select.poll` objects."""

    def register(self, fd: int, mask: int) -> None:
        """Start to report the events in `mask` for a descriptor."""

    def modify(self, fd: int, mask: int) -> None:
        """Replace the mask of a registered descriptor."""

    def unregister(self, fd: int) -> None:
        """Stop reporting events for a descriptor."""

    def poll(self, timeout: float | None) -> list[tuple[int, int]]:
        """Return (descriptor, events) pairs; wait at most `timeout` milliseconds for the first."""


class PollTarget(Protocol):
    """Receives the events of one descriptor.

    Attributes:
        events: poll events that were reported and not handled yet; new ones are added with a bitwise or.
        task: the task to wake when events are reported.
    """

    events: int
    task: "Task | None"


class Timer:
    """A callback that is due at a certain time; `pending` until it has run or is cancelled."""

    __slots__ = ("callback", "pending")

    def __init__(self, call: Callable[[], None]) -> None:
        self.callback, self.pending = call, True

    def cancel(self) -> None:
        """Prevent the callback from running, if it has not run yet."""
        self.pending = False


class Task(greenlet.greenlet):
    """A greenlet that runs one function and parks in the scheduler while it waits.

    A task has at most one entry in the timer heap. Setting a later deadline leaves an earlier entry in place;
    when that entry comes due it is queued again for the current deadline. Waiting with a deadline that is
    rarely reached is therefore cheap.

    Attributes:
        queued: whether the task is in the queue of ready tasks.
        cancelled: whether the task ends when it next runs.
        deadline: when the parked task is woken at the latest; None without a deadline.
        armed_at: time of the task's entry in the timer heap; None without one.
    """

    def __init__(self, scheduler: "Scheduler", name: str, run: Callable[[], None]) -> None:
        super().__init__(self._body, scheduler.hub)
        self._scheduler, self.name, self._run = scheduler, name, run
        self.queued, self.cancelled = False, False
        self.deadline: int | None = None
        self.armed_at: int | None = None

    def _body(self) -> None:
        try:
            self._run()
        except greenlet.GreenletExit:
            pass
        except Exception as problem:  # the failure of one task must not end the others
            self._scheduler.report_failure(self.name, problem)
        finally:
            self._scheduler.tasks.discard(self)
            del self._run  # breaks the reference cycle, which would need the garbage collector


class Scheduler:
    """Runs tasks, timers and polling in a loop on one thread.

    Attributes:
        clock: source of all times.
        hub: the greenlet that runs the loop.
        tasks: all tasks that have not ended.
        failures: number of exceptions that tasks and timers raised.
        turns: number of loop iterations.
        lag: how much later than possible the current iteration polled the sockets.
        worst_lag: the largest `lag` so far.
        polled_at: when the sockets were last polled.
        message_memory: counts the read buffers of all streams.
    """

    def __init__(
        self,
        clock: TimeSource,
        on_failure: Callable[[str, Exception], None],
        poller: Poller | None = None,
        max_wait: int = 50 * MS,
        gather: int = 0,
        pause: Callable[[float], None] = time.sleep,
    ) -> None:
        """Create a scheduler whose hub is the current greenlet.

        `on_failure` is called with the name of a task, or "timer", and the exception that it raised.
        `max_wait` is the longest wait for events, `gather` the shortest time between two iterations, which
        `pause` sleeps out (seconds).
        """
        self.clock, self._on_failure = clock, on_failure
        self.message_memory = MemoryAccount()
        self._poller: Poller = poller or select.poll()
        self._max_wait, self._min_interval, self._pause = max_wait, gather, pause
        self.hub = greenlet.getcurrent()
        self.tasks: set[Task] = set()
        self._ready: deque[Task] = deque()
        self._ready_next_turn: dict[Task, None] = {}  # in order
        self._timers: list[tuple[int, int, Timer | Task]] = []
        self._sequence = 0
        self._watched: dict[int, PollTarget] = {}
        self._running = False
        self.failures = self.turns = 0
        self.lag = self.worst_lag = 0
        self.polled_at = clock.now()

    # ---- tasks

    def spawn(self, name: str, run: Callable[[], None]) -> Task:
        """Create a task that runs for the first time in this iteration."""
        task = Task(self, name, run)
        self.tasks.add(task)
        self.wake(task)
        return task

    def wake(self, task: Task) -> None:
        """Queue a task to run in this iteration; has no effect on a task that is queued already."""
        if not task.queued:
            task.queued = True
            self._ready.append(task)

    def wake_next_turn(self, task: Task) -> None:
        """Queue a task to run in the next iteration, after those whose sockets have events."""
        self._ready_next_turn[task] = None

    def cancel(self, task: Task) -> None:
        """End a task by raising `TaskCancelledError` where it is parked."""
        task.cancelled = True
        self.wake(task)

    def park(self, deadline: int | None = None) -> None:
        """Suspend the current task until it is woken or the deadline is reached."""
        if deadline is None:
            self.hub.switch()
            return
        task = greenlet.getcurrent()
        self.set_deadline(task, deadline)
        self.hub.switch()
        task.deadline = None

    def set_deadline(self, task: Task, deadline: int) -> None:
        """Set the deadline of a task, or replace that of a parked task."""
        task.deadline = deadline
        if task.armed_at is None or deadline < task.armed_at:
            self._arm(task, deadline)

    def sleep(self, length: int) -> None:
        """Suspend the current task for `length` nanoseconds, whatever wakes it before."""
        until = self.clock.now() + length
        while self.clock.now() < until:
            self.park(until)

    def report_failure(self, name: str, problem: Exception) -> None:
        """Count an exception that a task or timer raised and pass it to `on_failure`."""
        self.failures += 1
        self._on_failure(name, problem)

    # ---- timers

    def call_at(self, when: int, call: Callable[[], None]) -> Timer:
        """Call a function in the hub at the given time; it must not park."""
        timer = Timer(call)
        self._sequence += 1
        heappush(self._timers, (when, self._sequence, timer))
        return timer

    def _arm(self, task: Task, when: int) -> None:
        task.armed_at = when
        self._sequence += 1
        heappush(self._timers, (when, self._sequence, task))

    def _run_due_timers(self, now: int) -> None:
        timers = self._timers
        while timers and timers[0][0] <= now:
            when, _, entry = heappop(timers)
            if isinstance(entry, Timer):
                self._fire(entry)
            elif entry.armed_at == when:  # a different time means that this entry is stale
                self._handle_task_timer(entry, now)

    def _handle_task_timer(self, task: Task, now: int) -> None:
        """Wake a task whose deadline is reached, or queue its timer entry again for a later deadline."""
        task.armed_at = None
        if task.deadline is None or task.dead:
            return
        if task.deadline <= now:
            self.wake(task)
        else:
            self._arm(task, task.deadline)

    def _fire(self, timer: Timer) -> None:
        if not timer.pending:
            return
        timer.pending = False
        try:
            timer.callback()
        except Exception as problem:
            self.report_failure("timer", problem)

    # ---- sockets

    def watch(self, fd: int, mask: int, watched: PollTarget) -> None:
        """Report the events in `mask` of a descriptor to a target, in place of an earlier mask and target."""
        if fd in self._watched:
            self._poller.modify(fd, mask)
        else:
            self._poller.register(fd, mask)
        self._watched[fd] = watched

    def unwatch(self, fd: int) -> None:
        """Stop reporting events of a descriptor; has no effect on one that is not watched."""
        if self._watched.pop(fd, None):
            self._poller.unregister(fd)

    # ---- the loop

    def run(self) -> None:
        """Run iterations until `stop` is called."""
        self._running, ended = True, self.clock.now()
        while self._running:
            ended = self.turn(ended)

    def stop(self) -> None:
        """Make `run` return at the end of the current iteration."""
        self._running = False

    def turn(self, ended: int) -> int:
        """Run one iteration: poll the sockets, run the due timers, then run all ready tasks.

        `ended` is when the previous iteration polled; the return value is when this one did. An iteration
        does not begin sooner than the minimum interval after the previous one, because polling all sockets
        costs the same for one message as for ten.
        """
        begun = self.clock.now()
        if begun - ended < self._min_interval:
            self._pause((self._min_interval - begun + ended) / 1e9)
            begun = self.clock.now()
        latest = begun if self._ready or self._ready_next_turn else begun + self._max_wait
        if self._timers and self._timers[0][0] < latest:
            latest = max(begun, self._timers[0][0])
        events = self._poller.poll(-(-(latest - begun) // MS))
        now = self.polled_at = self.clock.now()
        # What is read now arrived after the previous poll, or after the time when this wait should have
        # ended.
        self.lag = max(0, begun - ended - self._min_interval) + max(0, now - latest)
        self.worst_lag = max(self.worst_lag, self.lag)
        self.turns += 1
        for fd, event in events:
            watched = self._watched.get(fd)
            if watched is not None:
                watched.events |= event
                if watched.task is not None:
                    self.wake(watched.task)
        for task in self._ready_next_turn:
            self.wake(task)
        self._ready_next_turn.clear()
        self._run_due_timers(now)
        self._run_ready()
        return now

    def _run_ready(self) -> None:
        """Run the ready tasks, and those that they wake, in a limited number of passes before the next
        poll.
        """
        ready = self._ready
        for _ in range(16):
            if not ready:
                return
            for _ in range(len(ready)):
                task = ready.popleft()
                task.queued = False
                if task.cancelled:
                    self._end(task)
                elif not task.dead:
                    task.switch()

    def _end(self, task: Task) -> None:
        if task:
            task.throw(TaskCancelledError)
        elif not task.dead:
            self.tasks.discard(task)  # it was never started


class Mailbox(Generic[Item]):
    """A bounded queue of messages for one task; messages beyond the bound are dropped and counted.

    Attributes:
        items: the queued messages, oldest first.
        owner: the task that is woken by a message.
        dropped: number of messages that were dropped.
    """

    __slots__ = ("_bound", "_scheduler", "dropped", "items", "owner")

    def __init__(self, scheduler: Scheduler, bound: int) -> None:
        self._scheduler, self._bound = scheduler, bound
        self.items: deque[Item] = deque()
        self.owner: Task | None = None
        self.dropped = 0

    def __len__(self) -> int:
        return len(self.items)

    def put(self, item: Item) -> bool:
        """Queue a message and wake the owner; return False if the mailbox is full."""
        if len(self.items) >= self._bound:
            self.dropped += 1
            return False
        self.items.append(item)
        if self.owner is not None:
            self._scheduler.wake(self.owner)
        return True


def spawn_supervised(scheduler: Scheduler, name: str, run: Callable[[], None], pause: int = 100 * MS) -> Task:
    """Start a task that is restarted after `pause` nanoseconds whenever it raises an exception.

    Each exception is reported as a failure of the scheduler. The task ends when `run` returns.
    """

    def run_with_restarts() -> None:
        while True:
            try:
                return run()
            except Exception as problem:
                scheduler.report_failure(name, problem)
            scheduler.sleep(pause)

    return scheduler.spawn(name, run_with_restarts)


def spawn_actor(scheduler: Scheduler, name: str, mailbox: Mailbox[Any], run: Callable[[], None]) -> Task:
    """Start a supervised task that is woken by its mailbox."""
    mailbox.owner = spawn_supervised(scheduler, name, run)
    return mailbox.owner
