"""Stand-ins written from the protocol page: units, discovery and the platform, on free loopback ports."""

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
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlparse

from loftroute.lab.setup import SETUP, setup

ROOT = Path(__file__).parent.parent.parent
SECOND = 1_000_000_000


def eventually(true: Callable[[], Any], within: float = 8.0) -> Any:
    """Wait for something to come true; an assertion where it does not."""
    until = time.monotonic() + within
    while time.monotonic() < until:
        found = true()
        if found:
            return found
        time.sleep(0.005)
    raise AssertionError("it did not come true in time")


# Below what the system gives to connections, each port once a process: one that was only looked at and let go
# could be handed out again, or be taken by a connection before its server starts.
PORTS = iter(20_000 + (os.getpid() * 61 + n) % 12_000 for n in range(12_000))


def free_port() -> int:
    """A port that no other call of this process gets, TCP and UDP."""
    for port in PORTS:
        with socket.socket() as stream, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagrams:
            try:
                stream.bind(("127.0.0.1", port))
                datagrams.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port
    raise AssertionError("no port is left")


def words_of(file: Any) -> list[bytes] | None:
    head = file.readline()
    if not head.startswith(b"*"):
        return None
    words = []
    for _ in range(int(head[1:])):
        size = int(file.readline()[1:])
        words.append(file.read(size + 2)[:-2])
    return words


def command(*words: str | bytes) -> bytes:
    raw = [w.encode() if isinstance(w, str) else w for w in words]
    return b"*%d\r\n" % len(raw) + b"".join(b"$%d\r\n%b\r\n" % (len(w), w) for w in raw)


class Unit:
    """Answers, is busy, fails, hangs, resets, or is not there, as `does` says; keeps what it was sent."""

    def __init__(self, does: str = "serve") -> None:
        self.does, self.seen, self.closed = does, [], 0
        self.go = threading.Event()
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        if does == "refuse":
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
            while words := words_of(file):
                self.seen.append(words)
                if not self._answer(sock, words):
                    return
            self.closed += 1

    def _answer(self, sock: socket.socket, words: list[bytes]) -> bool:
        if self.does == "reset":
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            return False
        if self.does == "hang":
            return True
        if self.does == "wait":
            self.go.wait(10)
        value = b"value of " + words[1]
        answer = {"busy": b"-BUSY\r\n", "fail": b"-ERR failed\r\n", "garbage": b"?what\r\n"}.get(
            self.does, b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (len(value), value)
        )
        sock.sendall(answer)
        return True


class Web:
    """A small HTTP server whose requests one method answers."""

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
                """The relay hangs up on a silent server: nothing to tell."""

        self.server = Server(("127.0.0.1", 0), Handler)
        self.address = f"127.0.0.1:{self.server.server_address[1]}"
        threading.Thread(target=self.server.serve_forever, args=(0.05,), daemon=True).start()

    def get(self, handler: BaseHTTPRequestHandler) -> None: ...
    def post(self, handler: BaseHTTPRequestHandler, body: dict[str, Any]) -> None: ...

    def shut(self) -> None:
        """Take no new connection."""
        self.server.shutdown()
        self.server.server_close()

    @staticmethod
    def answer(handler: BaseHTTPRequestHandler, status: int, document: Any) -> None:
        body = document if isinstance(document, bytes) else json.dumps(document).encode()
        handler.send_response(status)
        handler.send_header("Content-Length", str(len(body)))
        handler.end_headers()
        handler.wfile.write(body)


class Discovery(Web):
    """The watch: answers what changed since the version asked for, or waits; silent or garbled on demand."""

    def __init__(self) -> None:
        super().__init__()
        self.version, self.entries, self.calls = 1, {}, []
        self.does = "serve"
        self.changed = threading.Condition()

    def change(self, **entries: dict[str, Any]) -> None:
        with self.changed:
            self.version += 1
            for name, entry in entries.items():
                self.entries[name] = {**self.entries.get(name, {}), **entry, "at": self.version}
            self.changed.notify_all()

    def listing(self, since: int = -1) -> dict[str, Any]:
        raw = [
            {"instanceId": name, **{k: v for k, v in entry.items() if k != "at"}}
            for name, entry in self.entries.items()
            if entry["at"] > since
        ]
        return {"generation": self.version, "reset": since < 0, "instances": raw}

    def get(self, handler: BaseHTTPRequestHandler) -> None:
        query = parse_qs(urlparse(handler.path).query)
        self.calls.append(handler.path)
        if self.does == "silent":
            time.sleep(1.0)
            handler.close_connection = True
            return
        if self.does == "garbage":
            return self.answer(handler, 200, b'{"generation": [}')
        since = int(query.get("index", ["-1"])[0])
        with self.changed:
            self.changed.wait_for(lambda: self.version > since, int(query.get("wait", ["0"])[0]) / 1000)
            listing = self.listing(since)
        self.answer(handler, 200, listing)


class Platform(Web):
    """Takes votes with the status it is told to, and keeps streams of changes open until told to cut."""

    def __init__(self) -> None:
        super().__init__()
        self.state = {"release": 41, "tranche": 0, "mode": "Healthy", "exposure": 1.0, "old_ms": 60_000}
        self.votes, self.streams, self.status, self.epoch = [], 0, 200, 0

    def get(self, handler: BaseHTTPRequestHandler) -> None:
        self.streams += 1
        epoch = self.epoch
        handler.send_response(200)
        handler.send_header("Transfer-Encoding", "chunked")
        handler.end_headers()
        told = None
        while self.epoch == epoch:
            line = b"{}\n"
            if told != self.state:
                told = dict(self.state)
                line = json.dumps({"type": "stage", "object": told}).encode() + b"\n"
            with contextlib.suppress(OSError):
                half = len(line) // 2  # a line may come in two chunks
                for part in (line[:half], line[half:]):
                    handler.wfile.write(b"%x\r\n%b\r\n" % (len(part), part))
            time.sleep(0.05)
        handler.close_connection = True

    def post(self, handler: BaseHTTPRequestHandler, body: dict[str, Any]) -> None:
        self.votes.append(body)
        if self.status == 200:
            return self.answer(handler, 200, self.state)
        self.answer(handler, self.status, {"error": "throttled"})


class Client:
    """One client connection."""

    def __init__(self, port: int) -> None:
        self.sock = socket.create_connection(("127.0.0.1", port), timeout=10)
        self.file = self.sock.makefile("rb")

    def send(self, *words: str | bytes) -> None:
        self.sock.sendall(command(*words))

    def read(self) -> bytes | None:
        """An answer: the value, or the line of an error; None at the end."""
        line = self.file.readline()
        if line.startswith(b"$"):
            return self.file.read(int(line[1:]) + 2)[:-2]
        return line.strip() or None

    def ask(self, *words: str | bytes) -> bytes | None:
        self.send(*words)
        return self.read()

    def close(self) -> None:
        self.file.close()
        self.sock.close()


class Relay:
    """The program, started by the deploy file's `run`, between the stand-ins."""

    ids = iter(range(1, 1 << 30))

    def __init__(self, tmp: Path, units: dict[str, Unit], **changes: Any) -> None:
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
        self.sockets = changes.pop("sockets", 256)
        self.news = changes.pop("news", None)
        self.product = changes.pop("product", None)  # the text of the product's settings
        self.program = changes.pop("program", "loftroute")
        self.env = changes.pop("env", {})
        zones = changes.pop("unit_zones", {})
        for name, zone in zones.items():
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
        return {
            "name": "n0",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": self.discovery.address,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.sockets},
            "pipeline": {"address": self.platform.address, "news": self.news or self.platform.state},
            "known": self.discovery.listing(),
            "settings": self.settings,
        }

    def write(self, text: str | None = None) -> Path:
        path = self.tmp / "config.json"
        path.write_text(json.dumps(self.config()) if text is None else text)
        return path

    def reload(self, text: str | None = None) -> None:
        self.write(text)
        self.process.send_signal(signal.SIGHUP)

    def start(self) -> None:
        path = self.write()
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        if self.product is not None:
            settings = self.tmp / "product.textproto"
            settings.write_text(self.product)
            run = f"exec {sys.executable} -B -m {self.program} run --settings {settings}"
        self.log = open(self.tmp / "log", "ab")  # noqa: SIM115
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", run],
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
        return Client(self.port)

    @classmethod
    def id(cls) -> str:
        return f"{next(cls.ids):016x}"

    def read(self, client: Client, d: int = 3000, key: str = "k1") -> bytes | None:
        return client.ask("Q.ASK", key, self.id(), f"c=read,t=acme,d={d}")

    def pay(self, client: Client, d: int = 3000, name: str | None = None) -> bytes | None:
        return client.ask("Q.DO", "k1", name or self.id(), f"c=pay,t=acme,d={d}", "BODY")

    def put(self, client: Client, d: int = 3000, name: str | None = None) -> bytes | None:
        return client.ask("Q.DO", "k1", name or self.id(), f"c=put,t=acme,d={d},k=5c0f", "BODY")

    def text(self) -> str:
        return (self.tmp / "log").read_text()

    def kill(self) -> None:
        """End the process at once, and start it again as it was."""
        self.stop()
        self.start()

    def stop(self) -> None:
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
        self.process.wait(10)
        self.log.close()


__all__ = ["ROOT", "SECOND", "SETUP", "Client", "Relay", "Unit", "command", "eventually", "free_port"]
