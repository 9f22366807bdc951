"""A load generator on loopback sockets: sends requests at random times and measures each response time."""

import socket
import threading
import time
from dataclasses import dataclass, field
from itertools import count
from random import Random
from typing import BinaryIO

from loftroute.lab.standins import command

CONNECTIONS = 8
MAX_SPREAD_MS = 1.7  # largest p99 - p50 without the relay; equals the time that the relay may add
TIMEOUT = 10.0  # seconds, of connecting and of each answer
_ids = count(1)


@dataclass
class Load:
    """Response times of all requests, and how far the generator kept to its schedule.

    Attributes:
        times: Response times in milliseconds.
        failed: Requests whose answer held no value.
        late: Requests sent more than 2 ms after their scheduled time, because the generator was busy.
        seconds: Duration of the run.
        cpu: Processor seconds that this process used during the run.
    """

    times: list[float] = field(default_factory=list)
    failed: int = 0
    late: int = 0
    seconds: float = 0.0
    cpu: float = 0.0

    def quantile(self, share: float) -> float:
        """Return the response time in milliseconds at this quantile (0.5 is the median)."""
        ascending = sorted(self.times)
        return ascending[min(int(share * len(ascending)), len(ascending) - 1)]

    @property
    def is_unstable(self) -> bool:
        """Whether the response times vary too much for added milliseconds to be measured.

        Meant for requests sent to the unit directly, without a hop.
        """
        return self.quantile(0.99) - self.quantile(0.5) > MAX_SPREAD_MS

    @property
    def rate(self) -> float:
        """Requests answered each second."""
        return len(self.times) / self.seconds


def read_answer(file: BinaryIO) -> bool:
    """Read one answer of a relay or a unit (RESP) and return whether it holds a value."""
    line = file.readline()
    if line.startswith(b"*"):
        has_value = [read_answer(file) for _ in range(int(line[1:]))]
        return has_value[0]
    if line.startswith(b"$") and int(line[1:]) >= 0:
        return len(file.read(int(line[1:]) + 2)) > 2
    return False


def request() -> bytes:
    """Encode a read request with a new request id."""
    return command("Q.ASK", "key-1", f"{next(_ids):016x}", "c=read,t=acme,d=3000")


def run(port: int, requests_per_s: float, seconds: float, seed: int = 1) -> Load:
    """Send requests to a loopback port at random times (a Poisson process) and wait for all answers.

    Each request is sent on the next connection that is free.
    """
    random, load, lock = Random(seed), Load(), threading.Lock()
    schedule: list[float] = []  # seconds since the start, the latest first
    send_at = 0.0
    while (send_at := send_at + random.expovariate(requests_per_s)) < seconds:
        schedule.append(send_at)
    schedule.reverse()
    started, cpu_before = time.perf_counter(), time.process_time()

    def send_requests() -> None:
        with socket.create_connection(("127.0.0.1", port), TIMEOUT) as sock, sock.makefile("rb") as file:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            while True:
                with lock:
                    if not schedule:
                        return
                    scheduled = schedule.pop()
                time.sleep(max(started + scheduled - time.perf_counter(), 0))
                sent = time.perf_counter()
                sock.sendall(request())
                served = read_answer(file)
                elapsed = time.perf_counter() - sent
                with lock:
                    load.late += sent - started - scheduled > 0.002
                    load.failed += not served
                    load.times.append(elapsed * 1e3)

    threads = [threading.Thread(target=send_requests) for _ in range(CONNECTIONS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    load.seconds = time.perf_counter() - started
    load.cpu = time.process_time() - cpu_before
    return load
