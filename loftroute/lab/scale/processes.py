"""Child processes of a run: started, observed through /proc (Linux), and ended by their process ids."""

import contextlib
import json
import os
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from types import TracebackType
from typing import Any

from loftroute.lab import standins

READY_WITHIN = 10.0  # seconds
KEEP_ALIVE_INTERVAL = 1.0  # seconds between two keep-alive lines of the platform
MEGABYTE = 1 << 20


def cpu_seconds(process: int) -> float:
    """Return the processor time, in seconds, of the main thread of a process.

    Read from schedstat, which counts nanoseconds.
    """
    return int(Path(f"/proc/{process}/schedstat").read_text().split()[0]) / 1e9


def resident_megabytes(process: int) -> float:
    """Return the resident memory of a process in megabytes of 2**20 bytes."""
    pages = int(Path(f"/proc/{process}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / MEGABYTE


def descriptors(process: int) -> int:
    """Return the number of open file descriptors of a process."""
    return len(os.listdir(f"/proc/{process}/fd"))


def machine_megabytes() -> float:
    """Return the physical memory of the machine in megabytes of 2**20 bytes."""
    return os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE") / MEGABYTE


class Server:
    """A child process that runs a module of this package as a server on a loopback port.

    The module takes the port as its first argument. A context manager that kills the process at its end.
    """

    def __init__(self, module: str, *arguments: object) -> None:
        self.port = standins.free_port()
        self.address = f"127.0.0.1:{self.port}"
        command = [sys.executable, "-B", "-m", f"loftroute.lab.scale.{module}", str(self.port)]
        self.process = subprocess.Popen([*command, *map(str, arguments)], cwd=standins.ROOT)
        standins.eventually(self._listens, READY_WITHIN)

    def _listens(self) -> bool:
        with contextlib.suppress(OSError):
            socket.create_connection(("127.0.0.1", self.port), timeout=1).close()
            return True
        return False

    def __enter__(self) -> "Server":
        return self

    def __exit__(
        self, kind: type[BaseException] | None, value: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.process.kill()
        self.process.wait(10)


class Platform(standins.Platform):
    """A platform that sends one keep-alive line each second, like the platform of the hollow relays."""

    def get(self, handler: Any) -> None:
        """Stream the release state and then keep-alive lines until the platform is shut."""
        self.streams += 1
        handler.send_response(200)
        handler.send_header("Transfer-Encoding", "chunked")
        handler.end_headers()
        line = self.state_line()
        while self.epoch == 0:
            with contextlib.suppress(OSError):
                handler.wfile.write(b"%x\r\n%b\r\n" % (len(line), line))
            line = b"{}\n"
            time.sleep(KEEP_ALIVE_INTERVAL)
        handler.close_connection = True

    def state_line(self) -> bytes:
        """Encode the line that reports the release state."""
        return json.dumps({"type": "stage", "object": self.state}).encode() + b"\n"


# The real relay is configured as one instance of a large fleet, which determines its subset of the units.
FLEET_SIZE, INSTANCE_INDEX = 520, 17


class MeasuredRelay(standins.Relay):
    """A real relay in a child process, which discovery gives many units that share one real address.

    Attributes:
        answers: Number of answers that discovery has sent.
        answered_bytes: Bytes of these answers, heads included.
    """

    def __init__(
        self,
        units: int,
        unit_address: str,
        gather_ns: int | None = None,
        trace: Path | None = None,
        **changes: Any,
    ) -> None:
        self._folder = tempfile.TemporaryDirectory()
        self._gather_ns, self._trace = gather_ns, trace
        self.answers = self.answered_bytes = 0
        address = RemoteUnit(unit_address)
        units_by_name: Any = {f"unit-{number:05d}": address for number in range(units)}
        super().__init__(
            Path(self._folder.name),
            units_by_name,
            sockets=1024,
            instances=FLEET_SIZE,
            self_index=INSTANCE_INDEX,
            **changes,
        )

    def start(self) -> None:
        """Start the relay and wait until it is ready."""
        self.platform.close()
        self.platform = Platform()

        def count_and_answer(handler: Any, status: int, document: Any) -> None:
            """Send head and body in one write; a second write would wait for the peer's delayed ACK."""
            body = json.dumps(document).encode()
            head = b"HTTP/1.1 %d OK\r\nContent-Length: %d\r\n\r\n" % (status, len(body))
            self.answers += 1
            self.answered_bytes += len(head) + len(body)
            handler.wfile.write(head + body)

        self.discovery.answer = count_and_answer  # type: ignore[method-assign]
        path, environment = self.write(), dict(os.environ)
        environment["RELAY_CONFIG"] = str(path)
        environment["RELAY_DISCOVERY"] = self.discovery.address
        self.log = open(self.tmp / "log", "ab")  # noqa: SIM115
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", self._command(environment)],
            cwd=standins.ROOT,
            env=environment,
            stdout=self.log,
            stderr=self.log,
        )
        standins.eventually(self._ready, READY_WITHIN)

    def _command(self, environment: dict[str, str]) -> str:
        """Return the shell command that starts the relay.

        This is the command of deploy/balancer.toml, unless the poll interval is changed or steps are traced.
        """
        if self._gather_ns is None and self._trace is None:
            deploy = tomllib.loads((standins.ROOT / "deploy" / "balancer.toml").read_text())
            return str(deploy["run"])
        if self._gather_ns is not None:
            environment["SCALE_GATHER_NS"] = str(self._gather_ns)
        if self._trace is not None:
            environment["SCALE_TRACE"] = str(self._trace)
        return f"exec {sys.executable} -B -O -m loftroute.lab.scale.traced_relay"

    @property
    def pid(self) -> int:
        """Process id of the relay."""
        return self.process.pid

    def end(self) -> None:
        """Stop the relay, then its stand-ins.

        The relay gets SIGTERM where it has to write its trace, else SIGKILL.
        """
        if self._trace:
            self.process.terminate()
            with contextlib.suppress(subprocess.TimeoutExpired):
                self.process.wait(10)
        self.stop()
        self.platform.epoch += 1
        self.platform.close()
        self.discovery.close()
        self._folder.cleanup()


class RemoteUnit:
    """The address of a unit that runs in another process."""

    def __init__(self, address: str) -> None:
        self.address = address
