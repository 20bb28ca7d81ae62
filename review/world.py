"""Shared parts of the review's cases: addresses, searchers, clients and processes.

A case runs the program of the deploy file as separate processes. The store is the
project's own stand-in; searchers and clients are those of this module. Everything
listens on loopback addresses of a block that no other run uses.
"""

import contextlib
import itertools
import os
import random
import shlex
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from collections import deque
from collections.abc import Iterator
from pathlib import Path

import gevent
import gevent.event
import gevent.socket
from gevent.server import StreamServer

from sesameplank.forwarding.http_messages import (
    MessageError,
    Request,
    RequestReader,
    Response,
    ResponseReader,
)
from sesameplank.net import Address
from sesameplank.standins.front_store import StoreStandin

ROOT = Path(__file__).resolve().parents[1]
HOST = "desk.example"
ZONES = ("zone-a", "zone-b", "zone-c")
START_TIMEOUT_S = 30.0
MAX_BYTES = 4 * 1024 * 1024
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2

request_numbers = itertools.count(1)


@contextlib.contextmanager
def reserve_block() -> Iterator[str]:
    """Yield the first two octets of a block of free loopback addresses."""
    numbers = list(range(20, 250))
    random.shuffle(numbers)
    for number in numbers:
        with socket.socket() as lock:
            try:
                lock.bind((f"127.{number}.255.1", 6999))
            except OSError:
                continue
            lock.listen(1)
            yield f"127.{number}"
            return
    raise RuntimeError("no block of loopback addresses is free")


class Record:
    """The record of a case: what was sent, answered and run, with times in seconds."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w", buffering=1_048_576)
        self.started_at = time.monotonic()

    def note(self, event: str, **fields: object) -> None:
        """Write one line."""
        values = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{time.monotonic() - self.started_at:9.3f} {event} {values}\n")

    def conclude(self, text: str) -> None:
        """Write a line of the result, and print it."""
        self.note("RESULT", text=text)
        self.file.flush()
        print(text)


class Searcher:
    """A searcher that follows the users' pages.

    It runs `slots` requests at a time, queues `queue` more and refuses the rest.
    `runs` holds the id and the time of each request that it began to run, and
    `arrivals` those of all
    requests that were meant for it, with the host that they came from.
    """

    def __init__(
        self,
        record: Record,
        name: str,
        service: str,
        address: Address,
        *,
        slots: int = 2,
        queue: int = 12,
        work_s: float = 0.02,
    ) -> None:
        self.record = record
        self.name = name
        self.service = service
        self.address = address
        self.slots = slots
        self.queue = queue
        self.work_s = work_s
        self.is_leaving = False
        self.notes_arrivals = False
        self.extra_share = 0.0
        self.extras = 0
        self.rng = random.Random()
        self.running = 0
        self.cut_hosts: set[str] = set()
        self.sockets: dict[gevent.socket.socket, str] = {}
        self.waiting: deque[gevent.event.Event] = deque()
        self.runs: list[tuple[str, float]] = []
        self.arrivals: list[tuple[str, float, str]] = []
        self.server = StreamServer(tuple(address), self.handle)

    def __enter__(self) -> "Searcher":
        self.server.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.server.stop(timeout=0)

    def make_entry(self, state: str = "ready", seq: int = 1, zone: str = "") -> dict:
        """Return the entry that this searcher writes to the store."""
        return {
            "service": self.service,
            "addr": str(self.address),
            "zone": zone or ZONES[0],
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "cold_left_ms": 0,
            "seq": seq,
            "born": 1_790_000_000_000,
        }

    def handle(self, sock: gevent.socket.socket, source: tuple) -> None:
        """Serve one connection, one request at a time."""
        if source[0] in self.cut_hosts:
            reset(sock)
            return
        self.sockets[sock] = source[0]
        reader = RequestReader(MAX_BYTES, MAX_BYTES)
        extra = b""
        try:
            while data := sock.recv(65_536):
                reader.feed(data)
                while reader.complete:
                    request = reader.complete.pop(0)
                    if extra:
                        self.send_extra(sock, extra)
                        extra = b""
                    answer = self.answer(request, source[0])
                    sock.sendall(answer)
                    if self.rng.random() < self.extra_share:
                        extra = answer
        except (OSError, MessageError):
            return
        finally:
            del self.sockets[sock]
            sock.close()

    def cut(self, host: str) -> None:
        """Reset all connections of a host, open and new ones, until `restore`."""
        self.cut_hosts.add(host)
        for sock, other in list(self.sockets.items()):
            if other == host:
                reset(sock)

    def restore(self, host: str) -> None:
        """Accept the connections of a host again."""
        self.cut_hosts.discard(host)

    def send_extra(self, sock: gevent.socket.socket, answer: bytes) -> None:
        """Send an earlier answer again, where the next answer is expected."""
        self.extras += 1
        lines = answer.split(b"\r\n")
        owner = lines[1].partition(b": ")[2].decode()
        status = lines[0].split()[1].decode()
        self.record.note("extra_answer", server=self.name, id=owner, status=status)
        sock.sendall(answer)

    def answer(self, request: Request, host: str) -> bytes:
        """Run or refuse a request, and return the answer."""
        if request.path == "/healthz":
            return self.encode(503 if self.is_leaving else 200, [])
        request_id = request.get(b"x-request-id")
        if request_id is None:
            return self.encode(400, [("X-Not-Executed", "1")])
        echo = [("X-Request-Id", request_id)]
        if request.get(b"x-expect-instance") not in (None, self.name):
            return self.encode(421, [*echo, ("X-Not-Executed", "1")])
        self.arrivals.append((request_id, time.monotonic(), host))
        if self.notes_arrivals:
            self.record.note("arrived", server=self.name, id=request_id, host=host)
        if self.running >= self.slots:
            if len(self.waiting) >= self.queue:
                self.record.note("refused", server=self.name, id=request_id)
                return self.encode(503, [*echo, ("X-Not-Executed", "1")])
            turn = gevent.event.Event()
            self.waiting.append(turn)
            turn.wait()
        else:
            self.running += 1
        self.runs.append((request_id, time.monotonic()))
        self.record.note(
            "run",
            server=self.name,
            id=request_id,
            method=request.method.decode(),
            path=request.path,
        )
        gevent.sleep(self.work_s)
        if self.waiting:
            self.waiting.popleft().set()
        else:
            self.running -= 1
        stamp = f"{self.name}.{request_id}.{len(self.runs)}"
        body = f"{self.service} {request_id}".encode()
        return self.encode(200, [*echo, ("X-Server-Stamp", stamp)], body)

    def encode(self, status: int, headers: list, body: bytes = b"") -> bytes:
        """Return an answer as bytes, with the headers that all answers have."""
        load = f"{self.running},{len(self.waiting)},{self.slots}"
        headers = [*headers, ("X-Instance-Id", self.name), ("X-Server-Load", load)]
        if self.is_leaving:
            headers.append(("Server-Leaving", "1"))
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers)
        head = f"HTTP/1.1 {status} S\r\n{lines}Content-Length: {len(body)}\r\n\r\n"
        return head.encode() + body


def reset(sock: gevent.socket.socket) -> None:
    """Close a connection with a TCP reset."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


class Front:
    """One process of the program of the deploy file, with its settings file."""

    def __init__(self, world: "World", number: int) -> None:
        self.world = world
        self.number = number
        self.ip = f"{world.block}.1.{number}"
        self.caller_address = Address(self.ip, 8104)
        self.process: subprocess.Popen | None = None
        self.log_path = Path(world.folder) / f"front-{number}.log"
        self.settings_path = Path(world.folder) / f"front-{number}.conf"
        self.settings_path.write_text(self.make_settings())

    def make_settings(self) -> str:
        """Return the settings file."""
        block, ip = self.world.block, self.ip
        seeds = ",".join(f"{block}.1.{n}:8106" for n in range(1, 4))
        zones = "".join(f"zones.{zone}=region-a\n" for zone in ZONES)
        return (
            f"node=front-{self.number}\nrole=front\nclass=front\n"
            f"serves=front,control,directory\nip={ip}\n"
            f"zone={ZONES[self.number % len(ZONES)]}\nregion=region-a\n{zones}"
            f"listen.front={ip}:8104\nlisten.ready={ip}:8108\n"
            f"listen.control={ip}:8106\nlisten.directory={ip}:8100\n"
            f"port_range=7380,7395\nseeds={seeds}\nbootstrap=true\n"
            "limits.cpu_share=0.537\nlimits.cores=2\nlimits.memory_mb=300\n"
            "limits.max_fds=4100\nlimits.link_mbps=1000.0\nlimits.disk_mb=0\n"
            "discovery=platform\nentry=directory\nheartbeat_interval_ms=1200\n"
            "contracts=base,drain,config,cost,retry,recover,scatter,platform\n"
            "bounds.stable_window_ms=4000\nbounds.drain_ms=3000\nbounds.grace_s=6\n"
            "bounds.propagation_ms=3000\nbounds.retry_ratio=0.2\n"
            "bounds.retry_window_s=10\nbounds.retry_slack=56\nbounds.recovery_s=12\n"
            f"bounds.ttl_max_s=5\nplatform.addr={block}.200.1:8102\n"
            "platform.form=read\nplatform.reads_per_s=2000\nplatform.history_s=20\n"
            "platform.value_bytes=1048576\n"
        )

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["front"]
        kept = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        env = {
            **kept,
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            **role.get("env", {}),
            "SESAMEPLANK_BOOT": str(self.settings_path),
        }
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                shlex.split(role["run"]), cwd=ROOT, env=env, stdout=log, stderr=log
            )
        self.world.record.note("front_started", front=self.ip, pid=self.process.pid)

    def kill(self) -> None:
        """Kill the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()

    def is_ready(self) -> bool:
        """Return whether the process answers its readiness check with 200."""
        try:
            with Client(Address(self.ip, 8108)) as client:
                head = b"GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n"
                return client.exchange(head, 1.0).status == 200
        except OSError:
            return False


class Client:
    """A connection of a client."""

    def __init__(self, address: Address) -> None:
        self.sock = gevent.socket.create_connection(tuple(address), 1.0)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.reader = ResponseReader(MAX_BYTES, MAX_BYTES)

    def __enter__(self) -> "Client":
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.sock.close()

    def exchange(self, data: bytes, timeout_s: float) -> Response:
        """Send a request and return its answer, or raise OSError without one."""
        until = time.monotonic() + timeout_s
        self.sock.settimeout(timeout_s)
        self.sock.sendall(data)
        while not self.reader.complete:
            self.sock.settimeout(max(0.001, until - time.monotonic()))
            received = self.sock.recv(65_536)
            if not received:
                self.reader.finish()
                if not self.reader.complete:
                    raise ConnectionError("closed without an answer")
                break
            self.reader.feed(received)
            if self.reader.is_corrupt:
                raise ConnectionError("bytes that are no answer")
        return self.reader.complete.pop(0)


def make_request(
    path: str,
    request_id: str,
    deadline_ms: int,
    *,
    method: str = "GET",
    body: bytes = b"",
    headers: str = "",
) -> bytes:
    """Return a client's request as bytes."""
    length = f"Content-Length: {len(body)}\r\n" if body else ""
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {request_id}\r\n"
        f"X-Deadline-Ms: {deadline_ms}\r\n{headers}{length}\r\n"
    )
    return head.encode() + body


def make_id() -> str:
    """Return the id of a new client attempt."""
    return f"{random.getrandbits(32):08x}{next(request_numbers):08x}"


def make_route(name: str, prefix: str, service: str, **changes: object) -> dict:
    """Return a route of the configuration."""
    return {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "type": "safe",
        "timeout_ms": 3000,
        "goal_ms": 500,
        "attempts": 2,
        "priority": 1,
        "service": service,
        **changes,
    }


def make_config(version: int, routes: list[dict], **limits: int) -> dict:
    """Return a configuration with these routes and their services."""
    names = {route["service"] for route in routes}
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": name, "health_path": "/healthz", "max_conns": 110}
            for name in sorted(names)
        ],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 262_144,
            "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000,
            **limits,
        },
    }


class World:
    """The store, the searchers and the processes of one case; a context manager."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder)
        self.resources = contextlib.ExitStack()
        self.searchers: dict[str, Searcher] = {}
        self.fronts: list[Front] = []

    def __enter__(self) -> "World":
        # A script that is stopped from outside ends its processes too.
        gevent.signal_handler(signal.SIGTERM, sys.exit, COULD_NOT_RUN)
        enter = self.resources.enter_context
        self.block = enter(reserve_block())
        self.folder = enter(tempfile.TemporaryDirectory())
        address = Address(f"{self.block}.200.1", 8102)
        self.store = enter(StoreStandin(address, time.monotonic))
        return self

    def __exit__(self, *exc_info: object) -> None:
        for front in self.fronts:
            front.kill()
        self.resources.close()

    def add_searcher(self, name: str, service: str, **options: object) -> Searcher:
        """Start a searcher and write its entry."""
        address = Address(f"{self.block}.2.{len(self.searchers) + 1}", 8080)
        searcher = Searcher(self.record, name, service, address, **options)
        self.searchers[name] = self.resources.enter_context(searcher)
        self.store.put_target(name, searcher.make_entry())
        return searcher

    def put_config(self, document: dict) -> float:
        """Write a configuration, and return the time of the acknowledgement."""
        self.store.put_config(document)
        self.record.note("config_acknowledged", version=document["version"])
        return time.monotonic()

    def start_fronts(self, count: int) -> None:
        """Start processes, and wait until all are ready."""
        self.fronts = [Front(self, number) for number in range(1, count + 1)]
        for front in self.fronts:
            front.start()
        until = time.monotonic() + START_TIMEOUT_S
        while not all(front.is_ready() for front in self.fronts):
            if time.monotonic() > until:
                raise RuntimeError("the processes did not become ready")
            gevent.sleep(0.1)
        self.record.note("fronts_ready")


def is_trouble_on() -> bool:
    """Return whether the case injects its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"
