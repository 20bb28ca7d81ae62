"""A whole deployment of stand-ins in one process, on addresses of one block."""

import contextlib
import random

import gevent
import msgspec

from ..conf import Configuration, Vm
from ..core.clock import SystemClock
from ..ids import CollectionName, DataCentre, EntryId, TargetId
from ..net import Address, make_server
from .deployments import Deployment, make_configuration
from .platform import PlatformStandin
from .records import make_records
from .store import TICK_S, Store
from .targets import TargetStandin

PLATFORM_PORT = 7000
CONTROL_PORT = 7001
ENTRY_PORT = 8080
PEER_PORT = 8081
RECORDS_PER_COLLECTION = 2_000
CHANGES_PER_TICK = 5


class World:
    """Platform and targets of one deployment; a context manager."""

    def __init__(
        self, deployment: Deployment, block: str, seed: int, entries: int
    ) -> None:
        self.deployment = deployment
        self.block = block
        self.rng = random.Random(seed)
        self.clock = SystemClock()
        self.platform = PlatformStandin()
        self.configuration: Configuration = make_configuration(deployment, block)
        started_at = self.clock.now()
        self.stores: dict[CollectionName, Store] = {
            service.collection: Store(
                service.collection,
                make_records(RECORDS_PER_COLLECTION, seed + number),
                self.clock,
                started_at,
                random.Random(seed + number),
            )
            for number, service in enumerate(deployment.services)
        }
        self.targets: dict[TargetId, TargetStandin] = {}
        self.vms = tuple(self.make_vm(number) for number in range(entries))
        self.resources = contextlib.ExitStack()

    @property
    def platform_address(self) -> Address:
        """Where the platform listens."""
        return Address(f"{self.block}.0.1", PLATFORM_PORT)

    def make_vm(self, number: int) -> Vm:
        """Return the list's line for one entry VM."""
        host = f"{self.block}.1.{1 + number}"
        centres = self.deployment.data_centres
        return Vm(
            EntryId(f"entry-{number:02d}"),
            str(Address(host, ENTRY_PORT)),
            str(Address(host, PEER_PORT)),
            DataCentre(centres[number % len(centres)]),
        )

    def __enter__(self) -> "World":
        with contextlib.ExitStack() as stack:
            self.serve(stack, self.platform_address, self.platform)
            for name, collection in self.configuration.collections.items():
                for target_id, target in self.configuration.targets.items():
                    if not any(
                        target_id in item.replicas for item in collection.shards
                    ):
                        continue
                    standin = TargetStandin(
                        target_id,
                        self.stores[name],
                        collection,
                        target.slots,
                        random.Random(self.rng.random()),
                    )
                    self.targets[target_id] = standin
                    self.serve(stack, Address.parse(target.address), standin)
            self.platform.publish_config(msgspec.json.encode(self.configuration))
            self.platform.publish_vms(self.vms)
            ticker = gevent.spawn(self.run_ticks)
            stack.callback(ticker.kill)
            self.resources = stack.pop_all()
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.resources.close()

    def serve(self, stack: contextlib.ExitStack, address: Address, app) -> None:
        """Serve an application until the stack closes."""
        server = make_server(address, app)
        server.start()
        stack.callback(server.stop, timeout=0.1)

    def run_ticks(self) -> None:
        """Change some stock in every collection at each tick."""
        while True:
            gevent.sleep(TICK_S)
            for store in self.stores.values():
                store.change_some_stock(CHANGES_PER_TICK)
