"""Stand-ins for units, discovery and the platform on free loopback ports, and a relay process between them.

They implement the protocol independently of the product's own code.
"""

import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
import tomllib
from collections.abc import Callable, Mapping
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any, Protocol
from urllib.parse import parse_qs, urlparse

from loftroute.lab.setup import SETUP, setup

ROOT = Path(__file__).parent.parent.parent
SECOND = 1_000_000_000  # nanoseconds


def eventually(condition: Callable[[], Any], timeout_s: float = 8.0) -> Any:
    """Poll `condition` until it returns a true value, and return that value.

    Raises `AssertionError` after `timeout_s` seconds.
    """
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        result = condition()
        if result:
            return result
        time.sleep(0.005)
    raise AssertionError("the condition did not become true in time")


# Ports below the ephemeral range, each used once per process. A port found by binding to port 0 and closing
# the socket could be handed out again, or be taken by an outgoing connection before its server starts.
PORTS = iter(20_000 + (os.getpid() * 61 + n) % 12_000 for n in range(12_000))


def free_port() -> int:
    """Return a free TCP and UDP port that no other call in this process returns."""
    for port in PORTS:
        with socket.socket() as stream, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagrams:
            try:
                stream.bind(("127.0.0.1", port))
                datagrams.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port
    raise AssertionError("no free port is left")


def read_command(file: Any) -> list[bytes] | None:
    """Read one command, an array of bulk strings; None at the end of the stream."""
    header = file.readline()
    if not header.startswith(b"*"):
        return None
    words = []
    for _ in range(int(header[1:])):
        size = int(file.readline()[1:])
        words.append(file.read(size + 2)[:-2])
    return words


def command(*words: str | bytes) -> bytes:
    """Encode a command as an array of bulk strings."""
    encoded = [word.encode() if isinstance(word, str) else word for word in words]
    return b"*%d\r\n" % len(encoded) + b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for word in encoded)


class Listed(Protocol):
    """What discovery lists: anything that listens at an `address`, HOST:PORT."""

    address: str


class Unit:
    """A unit that records the commands it receives.

    Attributes:
        behavior: `serve`, `busy`, `fail`, `garbage`, `hang` (never answers), `wait` (answers once `proceed`
            is set), `reset` (resets the connection) or `refuse` (does not listen).
        seen: Commands received.
        closed: Number of connections that the client closed.
        proceed: Event that a unit with behavior `wait` waits for, at most 10 s per command.
    """

    def __init__(self, behavior: str = "serve") -> None:
        self.behavior, self.seen, self.closed = behavior, [], 0
        self.proceed = threading.Event()
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        if behavior == "refuse":
            self._listener.close()
        else:
            threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            with contextlib.suppress(OSError):
                sock, _ = self._listener.accept()
                threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        with sock, sock.makefile("rb") as file, contextlib.suppress(OSError):
            while words := read_command(file):
                self.seen.append(words)
                if not self._answer(sock, words):
                    return
            self.closed += 1

    def _answer(self, sock: socket.socket, words: list[bytes]) -> bool:
        if self.behavior == "reset":
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            return False
        if self.behavior == "hang":
            return True
        if self.behavior == "wait":
            self.proceed.wait(10)
        value = b"value of " + words[1]
        answer = {"busy": b"-BUSY\r\n", "fail": b"-ERR failed\r\n", "garbage": b"?what\r\n"}.get(
            self.behavior, b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (len(value), value)
        )
        sock.sendall(answer)
        return True


class HttpStandIn:
    """A small HTTP/1.1 server; subclasses answer requests in `get` and `post`."""

    def __init__(self) -> None:
        outer = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_GET(self) -> None:
                outer.get(self)

            def do_POST(self) -> None:
                outer.post(self, json.loads(self.rfile.read(int(self.headers["Content-Length"]))))

            def log_message(self, *_: Any) -> None:
                pass

        class Server(ThreadingHTTPServer):
            daemon_threads = True

            def handle_error(self, request: Any, client_address: Any) -> None:
                """Ignore errors: the relay closes the connection to a server that does not answer."""

        self.server = Server(("127.0.0.1", 0), Handler)
        self.address = f"127.0.0.1:{self.server.server_address[1]}"
        threading.Thread(target=self.server.serve_forever, args=(0.05,), daemon=True).start()

    def get(self, handler: BaseHTTPRequestHandler) -> None:
        """Answer a GET request."""
        ...

    def post(self, handler: BaseHTTPRequestHandler, body: dict[str, Any]) -> None:
        """Answer a POST request with a JSON body."""
        ...

    def close(self) -> None:
        """Stop accepting connections."""
        self.server.shutdown()
        self.server.server_close()

    @staticmethod
    def answer(handler: BaseHTTPRequestHandler, status: int, document: Any) -> None:
        """Send a response with `document` as its body, as JSON unless it is bytes."""
        body = document if isinstance(document, bytes) else json.dumps(document).encode()
        handler.send_response(status)
        handler.send_header("Content-Length", str(len(body)))
        handler.end_headers()
        handler.wfile.write(body)


class Discovery(HttpStandIn):
    """Discovery with long polling: answers the changes since a version, waiting for one if there are none.

    Attributes:
        behavior: `serve`, `silent` (closes the connection without an answer after 1 s) or `garbage` (answers
            malformed JSON).
        answer_delay_s: By how much each answer is sent late.
        calls: Paths of the requests received.
    """

    def __init__(self) -> None:
        super().__init__()
        self.version, self.entries, self.calls = 1, {}, []
        self.behavior, self.answer_delay_s = "serve", 0.0
        self.changed = threading.Condition()

    def change(self, **entries: dict[str, Any]) -> None:
        """Update instances by id in a new version; fields that are not given keep their values."""
        with self.changed:
            self.version += 1
            for name, entry in entries.items():
                self.entries[name] = {**self.entries.get(name, {}), **entry, "at": self.version}
            self.changed.notify_all()

    def listing(self, since: int = -1) -> dict[str, Any]:
        """Return the instances changed after a version; all of them for a negative one."""
        entries = [
            {"instanceId": name, **{key: value for key, value in entry.items() if key != "at"}}
            for name, entry in self.entries.items()
            if entry["at"] > since
        ]
        return {"generation": self.version, "reset": since < 0, "instances": entries}

    def get(self, handler: BaseHTTPRequestHandler) -> None:
        """Answer a list or watch request as `behavior` says."""
        query = parse_qs(urlparse(handler.path).query)
        self.calls.append(handler.path)
        if self.behavior == "silent":
            time.sleep(1.0)
            handler.close_connection = True
            return
        if self.behavior == "garbage":
            return self.answer(handler, 200, b'{"generation": [}')
        since = int(query.get("index", ["-1"])[0])
        with self.changed:
            self.changed.wait_for(lambda: self.version > since, int(query.get("wait", ["0"])[0]) / 1000)
            listing = self.listing(since)
        time.sleep(self.answer_delay_s)
        self.answer(handler, 200, listing)


class Platform(HttpStandIn):
    """The platform: accepts votes and streams the state of the release.

    Attributes:
        state: State sent on streams and in answers to votes.
        votes: Bodies of the votes received.
        streams: Number of streams opened.
        status: HTTP status that votes are answered with.
        epoch: Incremented to end all open streams.
    """

    def __init__(self) -> None:
        super().__init__()
        self.state = {"release": 41, "tranche": 0, "mode": "Healthy", "exposure": 1.0, "old_ms": 60_000}
        self.votes, self.streams, self.status, self.epoch = [], 0, 200, 0

    def get(self, handler: BaseHTTPRequestHandler) -> None:
        """Stream the state at each change, and empty objects as heartbeats, until `epoch` changes."""
        self.streams += 1
        epoch = self.epoch
        handler.send_response(200)
        handler.send_header("Transfer-Encoding", "chunked")
        handler.end_headers()
        sent_state = None
        while self.epoch == epoch:
            line = b"{}\n"
            if sent_state != self.state:
                sent_state = dict(self.state)
                line = json.dumps({"type": "stage", "object": sent_state}).encode() + b"\n"
            with contextlib.suppress(OSError):
                half = len(line) // 2  # a line may arrive in two chunks
                for chunk in (line[:half], line[half:]):
                    handler.wfile.write(b"%x\r\n%b\r\n" % (len(chunk), chunk))
            time.sleep(0.05)
        handler.close_connection = True

    def post(self, handler: BaseHTTPRequestHandler, body: dict[str, Any]) -> None:
        """Record a vote and answer it with `status`."""
        self.votes.append(body)
        if self.status == 200:
            return self.answer(handler, 200, self.state)
        self.answer(handler, self.status, {"error": "throttled"})


class Client:
    """A blocking client connection to a relay; `port` is on loopback."""

    def __init__(self, port: int) -> None:
        self.sock = socket.create_connection(("127.0.0.1", port), timeout=10)
        self.file = self.sock.makefile("rb")

    def send(self, *words: str | bytes) -> None:
        """Send a command without reading an answer."""
        self.sock.sendall(command(*words))

    def read(self) -> bytes | None:
        """Read an answer: the value, or the line of an error; None at the end of the stream."""
        line = self.file.readline()
        if line.startswith(b"$"):
            return self.file.read(int(line[1:]) + 2)[:-2]
        return line.strip() or None

    def ask(self, *words: str | bytes) -> bytes | None:
        """Send a command and read its answer."""
        self.send(*words)
        return self.read()

    def close(self) -> None:
        """Close the connection."""
        self.file.close()
        self.sock.close()


class Relay:
    """A relay process between stand-ins, started by the `run` command of the deploy file.

    Keyword arguments other than those taken here (`builds`, `sockets`, `limits`, `news`, `product`,
    `program`, `env`, `unit_zones`, `instances`) change the settings, see `setup`. With `product`, the text of
    the product settings, the module `program` is run instead of the deploy file's command.
    """

    ids = iter(range(1, 1 << 30))

    def __init__(self, tmp: Path, units: Mapping[str, Listed], **changes: Any) -> None:
        self.tmp, self.units, self.port = tmp, units, free_port()
        self.discovery, self.platform = Discovery(), Platform()
        builds = changes.pop("builds", {})
        for name, unit in units.items():
            self.discovery.entries[name] = {
                "hostPort": unit.address,
                "zone": "a",
                "machineType": "m",
                "cell": 0,
                "lifecycle": "SERVING",
                "weight": 1.0,
                "startedAtMs": 0,
                "release": builds.get(name, 41),
                "at": 0,
            }
        self.limits = {"cores": 1.0, "memory_mb": 192, "sockets": changes.pop("sockets", 256)}
        self.limits.update(changes.pop("limits", {}))
        self.news = changes.pop("news", None)
        self.product = changes.pop("product", None)
        self.program = changes.pop("program", "loftroute")
        self.env = changes.pop("env", {})
        unit_zones = changes.pop("unit_zones", {})
        for name, zone in unit_zones.items():
            self.discovery.entries[name]["zone"] = zone
        self.settings = setup(
            instances=changes.pop("instances", 1),
            zones=["a", "b"],
            host_types=["m"],
            parties=[{"name": "acme", "allowance_per_s": 1000.0}],
            **changes,
        )
        self.start()

    def config(self) -> dict[str, Any]:
        """Return the relay's configuration."""
        return {
            "name": "n0",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": self.discovery.address,
            "seed": "8c1f30d27a5be964",
            "limits": self.limits,
            "pipeline": {"address": self.platform.address, "news": self.news or self.platform.state},
            "known": self.discovery.listing(),
            "settings": self.settings,
        }

    def write(self, text: str | None = None) -> Path:
        """Write the configuration, or `text` in its place, and return the path of the file."""
        path = self.tmp / "config.json"
        path.write_text(json.dumps(self.config()) if text is None else text)
        return path

    def reload(self, text: str | None = None) -> None:
        """Write the configuration and have the relay reload it."""
        self.write(text)
        self.process.send_signal(signal.SIGHUP)

    def start(self) -> None:
        """Start the process and wait until it answers PING.

        Raises `AssertionError` if it does not in time.
        """
        path = self.write()
        command_line = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        if self.product is not None:
            settings = self.tmp / "product.textproto"
            settings.write_text(self.product)
            command_line = f"exec {sys.executable} -B -m {self.program} run --settings {settings}"
        self.log = open(self.tmp / "log", "ab")  # noqa: SIM115
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", command_line],
            cwd=ROOT,
            env={
                **os.environ,
                "RELAY_CONFIG": str(path),
                "RELAY_DISCOVERY": self.discovery.address,
                **self.env,
            },
            stdout=self.log,
            stderr=self.log,
        )
        eventually(self._ready)

    def _ready(self) -> bool:
        with contextlib.suppress(OSError):
            client = Client(self.port)
            answer = client.ask("PING")
            client.close()
            return answer == b"+PONG"
        return False

    def client(self) -> Client:
        """Open a client connection to the relay."""
        return Client(self.port)

    @classmethod
    def id(cls) -> str:
        """Return a new request id: 16 hexadecimal digits."""
        return f"{next(cls.ids):016x}"

    def read(self, client: Client, deadline_ms: int = 3000, key: str = "k1") -> bytes | None:
        """Send a safe request of class `read` and return its answer; the deadline is in milliseconds."""
        return client.ask("Q.ASK", key, self.id(), f"c=read,t=acme,d={deadline_ms}")

    def pay(self, client: Client, deadline_ms: int = 3000, name: str | None = None) -> bytes | None:
        """Send an unsafe request of class `pay`; `name` is its id, a new one by default."""
        return client.ask("Q.DO", "k1", name or self.id(), f"c=pay,t=acme,d={deadline_ms}", "BODY")

    def put(self, client: Client, deadline_ms: int = 3000, name: str | None = None) -> bytes | None:
        """Send a keyed request of class `put` with an idempotency key; `name` is its id."""
        return client.ask("Q.DO", "k1", name or self.id(), f"c=put,t=acme,d={deadline_ms},k=5c0f", "BODY")

    def text(self) -> str:
        """Return the log of all processes started so far."""
        return (self.tmp / "log").read_text()

    def kill_and_restart(self) -> None:
        """Kill the process with SIGKILL and start it again with the same settings."""
        self.stop()
        self.start()

    def stop(self) -> None:
        """Kill the process if it still runs, and close its log."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
        self.process.wait(10)
        self.log.close()


__all__ = ["ROOT", "SECOND", "SETUP", "Client", "Relay", "Unit", "command", "eventually", "free_port"]
