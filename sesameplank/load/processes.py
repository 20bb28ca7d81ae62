"""The processes of a run besides the entries: stand-in host and generators."""

import contextlib
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import gevent
import msgspec
from geventhttpclient import HTTPClient

from ..exceptions import LoadError
from ..ids import TargetId
from ..net import Address
from ..standins.fleet import get_status
from ..standins.world import CONTROL_PORT
from .observations import GroundTruth, TargetTruth
from .orders import StandinOrder

START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 10.0
CONTROL_TIMEOUT_S = 60.0
POLL_S = 0.05
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


class ChildProcess:
    """A process that this one started; a context manager that ends it."""

    def __init__(self, module: str, flags: list[str], log_path: Path) -> None:
        self.command = [sys.executable, "-m", module, *flags]
        self.log_path = log_path
        self.process: subprocess.Popen | None = None

    def __enter__(self) -> "ChildProcess":
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                self.command, stdout=log, stderr=log, stdin=subprocess.DEVNULL
            )
        return self

    def __exit__(self, *exc_info: object) -> None:
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGTERM)
            with contextlib.suppress(subprocess.TimeoutExpired):
                self.process.wait(STOP_TIMEOUT_S)
        if self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    @property
    def processor_s(self) -> float:
        """The processor seconds used so far."""
        return get_processor_s(self.process.pid)

    def fail(self, what: str) -> LoadError:
        """Return an error with the process's log."""
        return LoadError(f"{what}; its log says:\n{self.log_path.read_text()[-2000:]}")


class Host(ChildProcess):
    """The process of the stand-ins, and the orders to it."""

    def __init__(
        self, deployment: str, block: str, seed: int, entries: int, log_path: Path
    ) -> None:
        flags = [
            f"--deployment={deployment}",
            f"--block={block}",
            f"--seed={seed}",
            f"--entries={entries}",
        ]
        super().__init__("sesameplank.load.host", flags, log_path)
        self.address = Address(f"{block}.0.2", CONTROL_PORT)

    def wait_until_ready(self) -> None:
        """Return when the stand-ins listen, or raise LoadError."""
        deadline = time.monotonic() + START_TIMEOUT_S
        while get_status(self.address, "/truth") != 200:
            if self.process.poll() is not None or time.monotonic() > deadline:
                raise self.fail("the stand-ins did not start")
            gevent.sleep(POLL_S)

    def order(self, order: StandinOrder) -> None:
        """Give one order and wait until it is carried out."""
        self.call("POST", "/orders", msgspec.json.encode(order))

    def read_truth(self) -> GroundTruth:
        """Return all that the stand-ins know."""
        return msgspec.msgpack.decode(self.call("GET", "/truth"), type=GroundTruth)

    def read_targets(self) -> dict[TargetId, TargetTruth]:
        """Return what each target knows."""
        return {item.target: item for item in self.read_truth().targets}

    def call(self, method: str, path: str, body: bytes = b"") -> bytes:
        """Call the control interface, or raise LoadError."""
        client = HTTPClient(
            self.address.host,
            self.address.port,
            concurrency=1,
            network_timeout=CONTROL_TIMEOUT_S,
        )
        with contextlib.closing(client):
            response = client.request(method, path, body)
            payload = bytes(response.read())
        if response.status_code != 200:
            raise self.fail(f"the stand-ins refused {method} {path}")
        return payload


def get_processor_s(pid: int) -> float:
    """Return the processor seconds of a running process, 0 when it has ended."""
    try:
        text = Path(f"/proc/{pid}/stat").read_text()
    except OSError:
        return 0.0
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S
