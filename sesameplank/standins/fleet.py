"""Starts and stops entry processes for tests and experiments."""

import contextlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator, Sequence
from pathlib import Path

import gevent
from geventhttpclient import HTTPClient

from ..conf import Vm
from ..net import Address

ENTRY_MODULE = "sesameplank.commands.entry"
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.05
# The second octets of the address blocks, which are 127.20 to 127.249.
FIRST_BLOCK = 20
BLOCK_END = 250
LOCK_PORT = 6999  # A run reserves a block by listening on this port.


class EntryProcess:
    """An entry in a process of its own, which logs to a file."""

    def __init__(
        self,
        vm: Vm,
        platform_address: Address,
        log_path: Path,
        flags: Sequence[str],
        module: str = ENTRY_MODULE,
    ) -> None:
        self.vm = vm
        self.address = Address.parse(vm.address)
        self.log_path = log_path
        self.command = [
            sys.executable,
            "-m",
            module,
            f"--entry_id={vm.id}",
            f"--data_centre={vm.data_centre}",
            f"--address={vm.address}",
            f"--peer_address={vm.peer_address}",
            f"--platform_address={platform_address}",
            *flags,
        ]
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process without waiting until it is ready."""
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                self.command, stdout=log, stderr=log, stdin=subprocess.DEVNULL
            )

    def wait_until_ready(self, timeout_s: float = START_TIMEOUT_S) -> None:
        """Wait until the entry reports that it is ready.

        Raises TimeoutError after `timeout_s` seconds, or once the process has ended.
        """
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            if get_status(self.address, "/readyz") == 200:
                return
            if self.process and self.process.poll() is not None:
                break
            gevent.sleep(POLL_INTERVAL_S)
        raise TimeoutError(f"{self.vm.id} is not ready:\n{self.log_path.read_text()}")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)

    def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Wait for the process to end and return its exit code.

        Raises TimeoutError after `timeout_s` seconds.
        """
        deadline = time.monotonic() + timeout_s
        while self.process.poll() is None:
            if time.monotonic() > deadline:
                raise TimeoutError(f"{self.vm.id} did not stop in {timeout_s} s")
            gevent.sleep(POLL_INTERVAL_S)
        return self.process.returncode

    def kill(self) -> None:
        """Kill the process if it is still running."""
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Fleet:
    """Several entry processes; a context manager that starts and kills them."""

    def __init__(
        self,
        vms: Sequence[Vm],
        platform_address: Address,
        flags: Sequence[str] = (),
        module: str = ENTRY_MODULE,
    ) -> None:
        self.resources = contextlib.ExitStack()
        directory = Path(self.resources.enter_context(tempfile.TemporaryDirectory()))
        self.entries = [
            EntryProcess(
                vm, platform_address, directory / f"{vm.id}.log", flags, module
            )
            for vm in vms
        ]

    def __enter__(self) -> "Fleet":
        with contextlib.ExitStack() as stack:
            for entry in self.entries:
                stack.callback(entry.kill)
                entry.start()
            for entry in self.entries:
                entry.wait_until_ready()
            stack.pop_all()
        return self

    def __exit__(self, *exc_info: object) -> None:
        for entry in self.entries:
            entry.kill()
        self.resources.close()

    @property
    def addresses(self) -> list[Address]:
        """The addresses on which the entries serve callers."""
        return [entry.address for entry in self.entries]


def get_status(address: Address, path: str) -> int:
    """Return the HTTP status of a GET request, or 0 if there is no answer."""
    client = HTTPClient(address.host, address.port, concurrency=1)
    try:
        response = client.get(path)
        response.read()
        return response.status_code
    except Exception:  # Any failure counts as no answer.
        return 0
    finally:
        client.close()


@contextlib.contextmanager
def reserve_block() -> Iterator[str]:
    """Reserve a block of loopback addresses that no concurrent run uses.

    Yields the first two octets of the block, such as "127.20".
    Raises RuntimeError if all blocks are in use.
    """
    for number in range(FIRST_BLOCK, BLOCK_END):
        block = f"127.{number}"
        with socket.socket() as lock:
            try:
                lock.bind((f"{block}.255.1", LOCK_PORT))
            except OSError:
                continue
            lock.listen(1)
            yield block
            return
    raise RuntimeError("every loopback block is in use; end other runs first")
