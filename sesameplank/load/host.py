"""The stand-ins of a run in a process of their own, with a control interface.

Orders are JSON posted to `/orders`; the ground truth is read as MessagePack at
`/truth`. Run by `Host`.
"""

import contextlib
import functools
import socket
import struct
import time

import gevent
import msgspec
from gevent.event import Event

from ..commands.base import Command, run_command
from ..conf.settings import Setting
from ..core.messages import TargetSearchAnswer
from ..ids import TargetId
from ..net import Address, QuietHandler, make_server
from ..standins.deployments import DEPLOYMENTS
from ..standins.platform import PlatformStandin
from ..standins.targets import TargetStandin
from ..standins.world import CONTROL_PORT, World
from . import orders
from .observations import (
    Change,
    CollectionTruth,
    GroundTruth,
    Run,
    TargetTruth,
)

LINGER_RESET = struct.pack("ii", 1, 0)


class CountingHandler(QuietHandler):
    """Count a connection of the application's target in and out."""

    def handle(self) -> None:
        """Serve the connection while it counts as open."""
        journal = self.server.application
        journal.enter(self.socket)
        try:
            super().handle()
        finally:
            journal.leave(self.socket)


class TargetJournal:
    """Wraps a stand-in target and writes down what it runs.

    `runs` holds one line for each search call that served a shard.
    """

    def __init__(self, standin: TargetStandin, limit: int) -> None:
        self.standin = standin
        self.truth = TargetTruth(standin.target_id, [], limit)
        self.sockets: set[socket.socket] = set()
        self.search = standin.handle_search
        standin.handle_search = self.handle_search

    def __call__(self, environ, start_response):
        """Answer one HTTP request."""
        return self.standin(environ, start_response)

    def enter(self, sock: socket.socket) -> None:
        """Count a connection in."""
        self.sockets.add(sock)
        self.truth.connections_peak = max(
            self.truth.connections_peak, len(self.sockets)
        )
        self.truth.over_limit += len(self.sockets) > self.truth.connections_limit

    def leave(self, sock: socket.socket) -> None:
        """Count a connection out."""
        self.sockets.discard(sock)

    def handle_search(self, payload: bytes) -> TargetSearchAnswer:
        """Serve a search call and write down the shards that it served."""
        begun_at = time.monotonic()
        answer = self.search(payload)
        served = sum(item.status.value == "ok" for item in answer.results)
        if served:
            self.truth.runs.append(
                Run(answer.request_id, begun_at, answer.snapshot, served)
            )
        return answer

    def drain(self) -> None:
        """Say from now on that the target is leaving."""
        self.standin.draining = True
        self.truth.leaving_since = time.monotonic()

    def reset_connections(self) -> None:
        """Reset every open connection."""
        for sock in list(self.sockets):
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
                sock.shutdown(socket.SHUT_RDWR)


class MeteredPlatform:
    """Wraps the platform and counts the bytes of its answers."""

    def __init__(self, platform: PlatformStandin) -> None:
        self.platform = platform
        self.answer_bytes = 0

    def __call__(self, environ, start_response):
        """Answer one HTTP request."""
        (body,) = self.platform(environ, start_response)
        self.answer_bytes += len(body)
        return [body]


class JournalWorld(World):
    """A world whose targets keep journals and obey orders."""

    def __init__(self, *args, **kwargs) -> None:
        super().__init__(*args, **kwargs)
        self.journals: dict[TargetId, TargetJournal] = {}
        self.servers = {}
        self.metered = MeteredPlatform(self.platform)

    def serve(self, stack: contextlib.ExitStack, address: Address, app) -> None:
        """Serve an application until the stack closes, with a journal if a target."""
        if not isinstance(app, TargetStandin):
            app = self.metered if app is self.platform else app
            super().serve(stack, address, app)
            return
        limit = self.configuration.targets[app.target_id].connections
        self.journals[app.target_id] = TargetJournal(app, limit)
        self.listen(app.target_id)
        stack.callback(lambda: self.servers[app.target_id].stop(timeout=0.1))

    def listen(self, target: TargetId) -> None:
        """Start the server of one target."""
        address = Address.parse(self.configuration.targets[target].address)
        server = make_server(address, self.journals[target])
        server.handler_class = CountingHandler
        server.start()
        self.servers[target] = server

    @functools.singledispatchmethod
    def obey(self, order: orders.StandinOrder) -> None:
        """Carry out one order."""
        raise NotImplementedError(f"no rule for {order}")

    @obey.register
    def slow(self, order: orders.SlowTargets) -> None:
        """Slow targets down, or restore them."""
        for target in order.targets:
            self.journals[target].standin.slow_factor = order.factor

    @obey.register
    def kill(self, order: orders.KillTargets) -> None:
        """Kill targets."""
        for target in order.targets:
            self.servers[target].stop(timeout=0)
            self.journals[target].reset_connections()

    @obey.register
    def restore(self, order: orders.RestoreTargets) -> None:
        """Let targets listen again."""
        for target in order.targets:
            self.listen(target)

    @obey.register
    def drain(self, order: orders.DrainTargets) -> None:
        """Let targets leave."""
        for target in order.targets:
            self.journals[target].drain()

    @obey.register
    def publish(self, order: orders.PublishConfiguration) -> None:
        """Publish a configuration."""
        self.platform.publish_config(msgspec.json.encode(order.configuration))

    @obey.register
    def list_vms(self, order: orders.PublishVms) -> None:
        """Publish a VM list."""
        self.platform.publish_vms(order.vms)

    @obey.register
    def set_down(self, order: orders.SetPlatformDown) -> None:
        """Stop or resume answering for the platform."""
        self.platform.down = order.down

    def get_truth(self) -> GroundTruth:
        """Return all that the stand-ins know."""
        return GroundTruth(
            [
                CollectionTruth(
                    name,
                    [
                        Change(since, record)
                        for stored in store.records.values()
                        for since, record in stored.versions
                    ],
                    store.ledger,
                )
                for name, store in self.stores.items()
            ],
            [journal.truth for journal in self.journals.values()],
            self.metered.answer_bytes,
        )


class ControlApp:
    """Takes orders and hands out the ground truth."""

    def __init__(self, world: JournalWorld) -> None:
        self.world = world

    def __call__(self, environ, start_response):
        """Answer one HTTP request."""
        if environ["PATH_INFO"] == "/truth":
            body = msgspec.msgpack.encode(self.world.get_truth())
        else:
            length = int(environ["CONTENT_LENGTH"])
            payload = environ["wsgi.input"].read(length)
            self.world.obey(msgspec.json.decode(payload, type=orders.AnyStandinOrder))
            body = b""
        start_response("200 OK", [("Content-Length", str(len(body)))])
        return [body]


class HostCommand(Command):
    """Serve the stand-ins of one run until told to stop."""

    help = "Serves the stand-ins of a run; started by sesameplank-load."
    settings = (
        Setting("deployment", "vatuwaqa", "vatuwaqa or chaiyaphum."),
        Setting("block", "127.10", "First two numbers of the loopback addresses."),
        Setting("seed", 1, "Seed of records and service times."),
        Setting("entries", 8, "Entry VMs in the published list."),
    )

    def handle(self, arguments: list[str], values: dict) -> int:
        """Serve until SIGTERM."""
        stopping = Event()
        gevent.signal_handler(15, stopping.set)
        deployment = DEPLOYMENTS[values["deployment"]]
        world = JournalWorld(
            deployment, values["block"], values["seed"], values["entries"]
        )
        address = Address(f"{values['block']}.0.2", CONTROL_PORT)
        with world, contextlib.ExitStack() as stack:
            world.serve(stack, address, ControlApp(world))
            print("ready", flush=True)
            stopping.wait()
        return 0


def main() -> None:
    """Run the process."""
    run_command(HostCommand())


if __name__ == "__main__":
    main()
