"""Base class and helpers of tests that run forwarding processes with stand-ins."""

import os
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterable
from pathlib import Path
from typing import ClassVar

import gevent
import gevent.socket
import msgspec
import testtools

from sesameplank.forwarding.http_messages import Response, ResponseReader
from sesameplank.net import Address
from sesameplank.standins.fleet import reserve_block
from sesameplank.standins.front_store import StoreStandin
from sesameplank.standins.front_targets import FrontTarget

ROOT = Path(__file__).resolve().parents[2]
WAIT_S = 30.0
SHARDS = 4
SHARD_SERVICES = tuple(f"shard{number}" for number in range(SHARDS))
HOST = "orders.example"
METRICS_PORT = 9180


def make_config(version: int, **changes) -> dict:
    """Return a configuration with a gather route, a plain route and a booking route."""
    route = {"host": HOST, "timeout_ms": 3000, "attempts": 2, "priority": 1}
    routes = [
        {
            **route,
            "name": "gather",
            "prefix": "/all/",
            "type": "safe",
            "goal_ms": 600,
            "gather": list(SHARD_SERVICES),
            "top_k": 6,
            "min_share": 0.75,
        },
        {
            **route,
            "name": "plain",
            "prefix": "/one/",
            "type": "safe",
            "goal_ms": 600,
            "service": "single",
        },
        {
            **route,
            "name": "booking",
            "prefix": "/book/",
            "type": "unsafe",
            "goal_ms": 600,
            "service": "single",
        },
    ]
    services = [{"name": name, "max_conns": 40} for name in (*SHARD_SERVICES, "single")]
    limits = {
        "max_header_bytes": 4096,
        "max_body_bytes": 20000,
        "header_timeout_ms": 1000,
        "idle_timeout_ms": 5000,
    }
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": limits,
        **changes,
    }


class FrontProcess:
    """A forwarding process with its own settings file; a context manager.

    Callers connect to `caller_address`. `ready_address` serves the readiness check,
    and `directory_address` the directory of processes. `source` is the folder of the
    release that runs. It connects first to the processes with the numbers `seeds`.
    """

    def __init__(
        self,
        block: str,
        number: int,
        grace_s: float,
        *,
        module: str = "sesameplank.platform",
        store: str | None = None,
        retry_slack: int = 4000,
        source: Path = ROOT,
        seed_port: int = 8106,
        seeds: Iterable[int] = (1, 2),
    ) -> None:
        self.source = source
        self.module = module
        self.host = f"{block}.1.{number}"
        self.caller_address = Address(self.host, 8104)
        self.ready_address = Address(self.host, 8108)
        self.directory_address = Address(self.host, 8100)
        self.folder = tempfile.TemporaryDirectory()
        self.settings_path = Path(self.folder.name) / "node.conf"
        self.log_path = Path(self.folder.name) / "log"
        self.settings_path.write_text(
            f"node=front-{number}\nip={self.host}\nzone=dc-{number % 2}\n"
            f"listen.front={self.caller_address}\nlisten.ready={self.ready_address}\n"
            f"listen.directory={self.directory_address}\nlisten.control={self.host}:8106\n"
            f"port_range=7380,7395\n"
            f"seeds={','.join(f'{block}.1.{item}:{seed_port}' for item in seeds)}\n"
            f"platform.addr={store or block + '.200.1:8102'}\n"
            f"bounds.grace_s={grace_s}\nbounds.ttl_max_s=5\n"
            f"bounds.retry_ratio=0.2\nbounds.retry_slack={retry_slack}\n"
            "bounds.retry_window_s=10\nnew.field=1\n"
        )
        self.process: subprocess.Popen | None = None

    def __enter__(self) -> "FrontProcess":
        self.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.folder.cleanup()

    def start(self) -> None:
        """Start the process."""
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", self.module],
                cwd=self.source,
                env={**os.environ, "SESAMEPLANK_BOOT": str(self.settings_path)},
                stdout=log,
                stderr=log,
            )

    def get(self, address: Address, path: str) -> Response:
        """Send a GET request to an address of the process and return the response."""
        with RawConnection(address) as client:
            return client.request(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())

    def is_ready(self) -> bool:
        """Return whether the process answers its readiness check with 200."""
        try:
            return self.get(self.ready_address, "/readyz").status == 200
        except OSError:
            return False


class RawConnection:
    """A connection on which a test sends raw bytes; a context manager."""

    def __init__(self, address: Address) -> None:
        self.sock = gevent.socket.create_connection(tuple(address), 5.0)
        self.sock.settimeout(10.0)
        self.reader = ResponseReader(1_000_000, 1_000_000)

    def __enter__(self) -> "RawConnection":
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.sock.close()

    def request(self, data: bytes) -> Response:
        """Send bytes and return the next response."""
        self.sock.sendall(data)
        return self.read()

    def read(self) -> Response:
        """Return the next response.

        Raises ConnectionError if the process closes the connection first.
        """
        while not self.reader.complete:
            data = self.sock.recv(65_536)
            if not data:
                raise ConnectionError("connection closed before a response")
            self.reader.feed(data)
        return self.reader.complete.pop(0)

    def is_closed(self) -> bool:
        """Discard incoming data and return whether the process closes the connection.

        Returns False if no data arrives within the timeout of the socket.
        """
        try:
            while self.sock.recv(65_536):
                pass
        except TimeoutError:
            return False
        except OSError:
            return True
        return True


def make_request(
    path: str, request_id="r1", deadline_ms=2500, method="GET", body=b"", extra=""
) -> bytes:
    """Return an encoded request of a caller."""
    length = f"Content-Length: {len(body)}\r\n" if body else ""
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {request_id}\r\n"
        f"X-Deadline-Ms: {deadline_ms}\r\n{length}{extra}\r\n"
    )
    return head.encode() + body


class FrontTestCase(testtools.TestCase):
    """Starts the store, two replicas of each service, and forwarding processes."""

    front_count = 1
    grace_s = 3.0
    retry_slack = 4000
    peer_settings: ClassVar[dict[str, object]] = {}

    def setUp(self):
        super().setUp()
        self.block = self.enterContext(reserve_block())
        self.prepare()
        self.store = self.enterContext(
            StoreStandin(Address(f"{self.block}.200.1", 8102), time.monotonic)
        )
        self.targets: dict[str, FrontTarget] = {}
        self.target_count = 0
        for service in (*SHARD_SERVICES, "single"):
            for replica in "ab":
                self.add_target(f"{service}{replica}", service)
        self.store.put("servers/forged", b"\x00 nothing")
        self.store.put("servers/other", b'{"service":5,"addr":"x"}')
        self.store.put_config(make_config(3))
        self.fronts = [
            self.enterContext(
                FrontProcess(
                    self.block,
                    number,
                    self.grace_s,
                    module=self.get_module(number),
                    retry_slack=self.retry_slack,
                    source=self.get_source(number),
                    **self.peer_settings,
                )
            )
            for number in range(1, self.front_count + 1)
        ]
        for front in self.fronts:
            self.wait_for(front.is_ready, "ready")
        self.addOnException(self.attach_logs)

    def prepare(self) -> None:
        """Prepare what has to be there before the processes start."""
        return

    def get_source(self, number: int) -> Path:
        """Return the folder of the release that a process runs."""
        return ROOT

    def get_module(self, number: int) -> str:
        """Return the module that a process runs."""
        return "sesameplank.platform"

    def attach_logs(self, exc_info) -> None:
        """Attach the end of each process's log to the result of a failed test."""
        for front in self.fronts:
            text = front.log_path.read_text()
            self.addDetail(front.host, testtools.content.text_content(text[-4000:]))

    def add_target(self, name: str, service: str) -> FrontTarget:
        """Start a target and register it in the store."""
        self.target_count += 1
        address = Address(f"{self.block}.2.{self.target_count}", 8080)
        body = b"".join(b"%s-%010d" % (name[-5:].encode(), n) for n in range(3))
        target = self.enterContext(FrontTarget(name, address, body))
        self.targets[name] = target
        self.list_target(name, service)
        return target

    def add_route(self, version: int) -> None:
        """Publish a version that adds a route, to a service with a new target."""
        service = f"added{version}"
        self.add_target(f"{service}a", service)
        document = make_config(version)
        added = {**document["routes"][1], "name": service, "prefix": f"/{service}/"}
        document["routes"].append({**added, "service": service})
        self.store.put_config(document)

    def list_target(self, name: str, service: str, state="ready", seq=1) -> None:
        """Write the item of a target to the store."""
        self.store.put_target(
            name,
            {
                "service": service,
                "addr": str(self.targets[name].address),
                "zone": "dc-0",
                "version": "v1",
                "slots": 2,
                "state": state,
                "cold_left_ms": 0,
                "seq": seq,
                "born": 1,
            },
        )

    def wait_for(self, condition, description: str) -> None:
        """Return once the condition holds, or fail after `WAIT_S` seconds."""
        with gevent.Timeout(
            WAIT_S, AssertionError(f"timed out waiting for: {description}")
        ):
            while not condition():
                gevent.sleep(0.02)

    def get_state(self, front: int) -> dict:
        """Return the state dump of a process."""
        address = Address(self.fronts[front].host, METRICS_PORT)
        body = self.fronts[front].get(address, "/state").body
        return msgspec.json.decode(bytes(body))

    def wait_for_state(self, front: int, condition) -> None:
        """Return once the condition holds for the state of a process."""
        self.wait_for(lambda: condition(self.get_state(front)), f"state of {front}")

    def wait_for_members(self) -> None:
        """Return once each process knows all others."""
        for front in range(self.front_count):
            self.wait_for_state(
                front, lambda state: len(state["members"]) >= self.front_count
            )

    def request(self, data: bytes, front: int = 0) -> Response:
        """Send a request to a process on a new connection and return the response."""
        with RawConnection(self.fronts[front].caller_address) as client:
            return client.request(data)

    def get_runs(self, *names: str) -> int:
        """Return how many requests ran at the named targets."""
        return sum(len(self.targets[name].executed_ids) for name in names)

    def terminate(self, front: FrontProcess) -> None:
        """Send SIGTERM to a process."""
        front.process.send_signal(signal.SIGTERM)
