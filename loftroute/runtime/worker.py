"""A thread for calls that block (`fsync`); the hub hears of their end through a descriptor."""

import contextlib
import os
import queue
import threading
from collections import deque
from collections.abc import Callable

import greenlet

from loftroute.runtime.scheduler import READ, Scheduler, Task


class Call:
    """One call given to the thread; `problem` holds the error that ended it, `done` that it has ended."""

    __slots__ = ("done", "problem", "task", "work")

    def __init__(self, work: Callable[[], None], task: Task) -> None:
        self.work, self.task = work, task
        self.problem: Exception | None = None
        self.done = False


class Worker:
    """Runs calls one after another, off the hub's thread. No greenlet is switched to from the thread."""

    def __init__(self, scheduler: Scheduler, bound: int = 64) -> None:
        self._scheduler = scheduler
        self._calls: queue.SimpleQueue[Call | None] = queue.SimpleQueue()
        self._bound = bound
        self._ended: deque[Call] = deque()
        self._told, self._tell = os.pipe2(os.O_NONBLOCK | os.O_CLOEXEC)
        self.events = 0
        self.task: Task | None = scheduler.spawn("worker", self._listen)
        scheduler.watch(self._told, READ, self)
        self._thread = threading.Thread(target=self._work, name="loftroute worker", daemon=True)
        self._thread.start()

    def run(self, work: Callable[[], None], until: int | None = None) -> Exception | None:
        """Have the thread make a call while this greenlet waits; the error that ended it, or None.

        `until` (nanoseconds of the scheduler's clock) ends the wait, not the call: `TimeoutError` then.
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
        self._calls.put(None)

    def _work(self) -> None:
        while (call := self._calls.get()) is not None:
            try:
                call.work()
            except Exception as problem:
                call.problem = problem
            self._ended.append(call)
            with contextlib.suppress(BlockingIOError):  # the pipe is full of news: the hub looks anyway
                os.write(self._tell, b"x")

    def _listen(self) -> None:
        while True:
            with contextlib.suppress(BlockingIOError):
                os.read(self._told, 4096)
            while self._ended:
                call = self._ended.popleft()
                call.done = True
                self._scheduler.wake(call.task)
            self._scheduler.park()
