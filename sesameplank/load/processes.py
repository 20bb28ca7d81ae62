"""The processes of a run other than the entries: stand-ins and generators."""

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
from ..standins import control
from ..standins.fleet import get_status
from ..standins.world import get_control_address

STANDIN_MODULE = "sesameplank.commands.standin"
GROUP_COUNT = 5
# Only the first group runs the proxies between entries.
FIRST_GROUP_COMMANDS = (
    control.PartitionEntries,
    control.LoseBetween,
    control.HealEntries,
)
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 10.0
CONTROL_TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.05
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


class ChildProcess:
    """A child process; a context manager that starts and stops it."""

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
        """The processor time used so far, in seconds."""
        return get_processor_s(self.process.pid)

    def make_error(self, message: str) -> LoadError:
        """Return an error with the message and the end of the process's log."""
        return LoadError(
            f"{message}; its log ends:\n{self.log_path.read_text()[-2000:]}"
        )


class StandinOptions(msgspec.Struct, frozen=True):
    """The options of the stand-in processes of a run.

    `block` is the block of loopback addresses of the run, such as "127.20".
    `noise` turns on random periods in which targets are slow. The field names are
    the names of the processes' command-line flags.
    """

    deployment: str
    block: str
    seed: int
    entries: int
    proxied_targets: bool = False
    proxied_peers: bool = False
    noise: bool = False


class Standins:
    """All stand-ins, divided among several processes; a context manager.

    Each process runs one group of the targets. The process of the first group
    also runs the platform and the proxies between entries.
    """

    def __init__(self, options: StandinOptions, directory: Path) -> None:
        self.options = options
        self.resources = contextlib.ExitStack()
        started_at = time.monotonic()
        self.groups = [
            ChildProcess(
                STANDIN_MODULE,
                make_standin_flags(options, group, started_at),
                directory / f"standins-{group}.log",
            )
            for group in range(GROUP_COUNT)
        ]

    def __enter__(self) -> "Standins":
        with contextlib.ExitStack() as stack:
            for group in self.groups:
                stack.enter_context(group)
            for number in range(GROUP_COUNT):
                self.wait_until_ready(number)
            self.resources = stack.pop_all()
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.resources.close()

    @property
    def processor_s(self) -> list[float]:
        """The processor time of each process so far, in seconds."""
        return [group.processor_s for group in self.groups]

    def wait_until_ready(self, number: int) -> None:
        """Wait until a group accepts requests, or raise LoadError."""
        group = self.groups[number]
        address = get_control_address(self.options.block, number)
        deadline = time.monotonic() + START_TIMEOUT_S
        while get_status(address, "/truth") != 200:
            if group.process.poll() is not None or time.monotonic() > deadline:
                raise group.make_error("the stand-ins did not start")
            gevent.sleep(POLL_INTERVAL_S)

    def send_command(self, command: control.Command) -> None:
        """Send a command to every group that it concerns, or raise LoadError."""
        group_count = 1 if isinstance(command, FIRST_GROUP_COMMANDS) else GROUP_COUNT
        for number in range(group_count):
            self.call(number, "POST", "/control", msgspec.json.encode(command))

    def read_truth(self) -> control.Truth:
        """Return the ground truth of all groups."""
        truths = [
            msgspec.json.decode(self.call(number, "GET", "/truth"), type=control.Truth)
            for number in range(GROUP_COUNT)
        ]
        return merge_truths(truths)

    def call(self, number: int, method: str, path: str, body: bytes = b"") -> bytes:
        """Call the control interface of a group, or raise LoadError."""
        address = get_control_address(self.options.block, number)
        client = HTTPClient(*address, concurrency=1, network_timeout=CONTROL_TIMEOUT_S)
        with contextlib.closing(client):
            response = client.request(method, path, body)
            payload = bytes(response.read())
        if response.status_code != 200:
            raise self.groups[number].make_error(f"stand-ins refused {method} {path}")
        return payload


def make_standin_flags(
    options: StandinOptions, group: int, started_at: float
) -> list[str]:
    """Return the command-line flags of one group's process."""
    flags = [
        f"--{name}={value}" for name, value in msgspec.structs.asdict(options).items()
    ]
    return [
        *flags,
        f"--group={group}",
        f"--groups={GROUP_COUNT}",
        f"--started_at={started_at}",
    ]


def merge_truths(truths: list[control.Truth]) -> control.Truth:
    """Return the combined ground truth; each record belongs to one group only."""
    names = truths[0].collections
    return control.Truth(
        collections={
            name: control.CollectionTruth(
                tuple(
                    item for truth in truths for item in truth.collections[name].changes
                ),
                tuple(
                    item for truth in truths for item in truth.collections[name].ledger
                ),
            )
            for name in names
        },
        targets={
            target: item for truth in truths for target, item in truth.targets.items()
        },
        platform_calls=truths[0].platform_calls,
        platform_peak_calls_per_s=truths[0].platform_peak_calls_per_s,
        published_versions=truths[0].published_versions,
    )


def get_machine_processor_s() -> float:
    """Return the processor time that the whole machine has used, in seconds."""
    fields = Path("/proc/stat").read_text().split("\n", 1)[0].split()[1:]
    user, nice, system, _, _, irq, softirq = (int(item) for item in fields[:7])
    return (user + nice + system + irq + softirq) / CLOCK_TICKS_PER_S


def get_processor_s(pid: int) -> float:
    """Return the processor time of a process in seconds, or 0 if it has ended."""
    try:
        text = Path(f"/proc/{pid}/stat").read_text()
    except OSError:
        return 0.0
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S
