"""A worker thread for calls that block, such as `fsync`. It signals the hub through a pipe when one ends."""

import contextlib
import os
import queue
import threading
from collections import deque
from collections.abc import Callable

import greenlet

from loftroute.runtime.scheduler import READ, Scheduler, Task


class Call:
    """A call that is run by the thread.

    Attributes:
        work: the function to call.
        task: the task that waits for the call.
        problem: the exception that the function raised, if any.
        done: whether the call has ended and the hub knows it.
    """

    __slots__ = ("done", "problem", "task", "work")

    def __init__(self, work: Callable[[], None], task: Task) -> None:
        self.work, self.task = work, task
        self.problem: Exception | None = None
        self.done = False


class Worker:
    """Runs calls one after another in a thread of its own. The thread never switches greenlets.

    Attributes:
        events: poll events of the pipe that were not handled yet.
        task: the task that reads the pipe.
    """

    def __init__(self, scheduler: Scheduler, bound: int = 64) -> None:
        """Start the thread; at most `bound` calls wait for it."""
        self._scheduler = scheduler
        self._calls: queue.SimpleQueue[Call | None] = queue.SimpleQueue()
        self._bound = bound
        self._ended_calls: deque[Call] = deque()
        self._read_fd, self._write_fd = os.pipe2(os.O_NONBLOCK | os.O_CLOEXEC)
        self.events = 0
        self.task: Task | None = scheduler.spawn("worker", self._read_pipe)
        scheduler.watch(self._read_fd, READ, self)
        self._thread = threading.Thread(target=self._run_calls, name="loftroute worker", daemon=True)
        self._thread.start()

    def run(self, work: Callable[[], None], until: int | None = None) -> Exception | None:
        """Run a function in the thread while the current task waits; return the exception it raised, or None.

        Returns `TimeoutError` if too many calls are waiting, or if the call has not ended at `until`
        (nanoseconds of the scheduler's clock). The call itself goes on then.
        """
        task = greenlet.getcurrent()
        call = Call(work, task)
        if self._calls.qsize() >= self._bound:
            return TimeoutError("the worker thread has too many calls waiting")
        self._calls.put(call)
        while not call.done:
            if until is not None and self._scheduler.clock.now() >= until:
                return TimeoutError("the call did not end in time")
            self._scheduler.park(until)
        return call.problem

    def stop(self) -> None:
        """End the thread after the calls that are queued."""
        self._calls.put(None)

    def _run_calls(self) -> None:
        while (call := self._calls.get()) is not None:
            try:
                call.work()
            except Exception as problem:
                call.problem = problem
            self._ended_calls.append(call)
            with contextlib.suppress(BlockingIOError):  # a full pipe wakes the hub anyway
                os.write(self._write_fd, b"x")

    def _read_pipe(self) -> None:
        while True:
            with contextlib.suppress(BlockingIOError):
                os.read(self._read_fd, 4096)
            while self._ended_calls:
                call = self._ended_calls.popleft()
                call.done = True
                self._scheduler.wake(call.task)
            self._scheduler.park()
