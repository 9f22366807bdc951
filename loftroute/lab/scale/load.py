"""Load on real sockets: requests at their times over some connections, each timed until its answer."""

import socket
import threading
import time
from dataclasses import dataclass, field
from itertools import count
from random import Random
from typing import BinaryIO

from loftroute.lab.standins import command

CONNECTIONS = 8
STRAYS_MS = 1.7  # as much as the relay may add
TIMEOUT = 10.0  # seconds
_ids = count(1)


@dataclass
class Load:
    """The times of all requests in milliseconds, and how the generator itself fared."""

    times: list[float] = field(default_factory=list)
    failed: int = 0
    late: int = 0  # sent more than 2 ms after their time, since the generator was held up
    seconds: float = 0.0
    cpu: float = 0.0  # processor seconds of this process meanwhile

    def quantile(self, share: float) -> float:
        """Milliseconds within which this share of requests was answered."""
        found = sorted(self.times)
        return found[min(int(share * len(found)), len(found) - 1)]

    @property
    def strays(self) -> bool:
        """Whether the way there and back without a hop strays so far that added milliseconds mean nothing."""
        return self.quantile(0.99) - self.quantile(0.5) > STRAYS_MS

    @property
    def rate(self) -> float:
        return len(self.times) / self.seconds


def read_answer(file: BinaryIO) -> bool:
    """One answer, of a relay or of a unit itself; whether it holds a value."""
    line = file.readline()
    if line.startswith(b"*"):
        words = [read_answer(file) for _ in range(int(line[1:]))]
        return words[0]
    if line.startswith(b"$") and int(line[1:]) >= 0:
        return len(file.read(int(line[1:]) + 2)) > 2
    return False


def request() -> bytes:
    return command("Q.ASK", "key-1", f"{next(_ids):016x}", "c=read,t=acme,d=3000")


def run(port: int, requests_per_s: float, seconds: float, seed: int = 1) -> Load:
    """Requests at random times (Poisson) at this rate; each goes out on the next connection that is free."""
    random, load, lock = Random(seed), Load(), threading.Lock()
    due: list[float] = []
    at = 0.0
    while (at := at + random.expovariate(requests_per_s)) < seconds:
        due.append(at)
    due.reverse()
    begun, used = time.perf_counter(), time.process_time()

    def work() -> None:
        with socket.create_connection(("127.0.0.1", port), TIMEOUT) as sock, sock.makefile("rb") as file:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            while True:
                with lock:
                    if not due:
                        return
                    mine = due.pop()
                time.sleep(max(begun + mine - time.perf_counter(), 0))
                sent = time.perf_counter()
                sock.sendall(request())
                served = read_answer(file)
                took = time.perf_counter() - sent
                with lock:
                    load.late += sent - begun - mine > 0.002
                    load.failed += not served
                    load.times.append(took * 1e3)

    threads = [threading.Thread(target=work) for _ in range(CONNECTIONS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    load.seconds = time.perf_counter() - begun
    load.cpu = time.process_time() - used
    return load
