"""A simulated deployment of stand-ins on the loopback addresses of one block.

A world may be spread over several processes. Each process runs the targets of
one group, and the first one also runs the platform. Both replicas of a shard are
always in the same group, so that they share the bookings of the shard.
"""

import contextlib
import random

import gevent
import msgspec

from ..conf import Configuration, Shard, Target, Vm
from ..core.common.clock import SystemClock
from ..ids import CollectionName, DataCentre, EntryId, ShardId, TargetId
from ..net import Address
from ..wsgi import make_server
from . import control
from .command_handler import CommandHandler
from .deployments import REPLICAS, Deployment, Service, make_configuration
from .platform import PlatformStandin
from .proxy import FaultProxy, ProxyGroup
from .records import make_records
from .servers import ConnectionLimitedServer
from .store import RecordStore
from .targets import ConnectionLimiter, Noise, TargetStandin

PLATFORM_PORT = 7000
CONTROL_PORT = 7001
ENTRY_PORT = 8080
PEER_PORT = 8081
PROXIED_PEER_PORT = 8082
PROXIED_TARGET_PORT = 7200
RECORDS_PER_COLLECTION = 2_000
DROP_AFTER_MOVE_S = 2.0  # The previous owners serve a moved shard for this time.


class WorldOptions(msgspec.Struct, frozen=True):
    """The size and the optional parts of a world.

    `group` is the index of the group in this process, out of `groups`.
    `started_at` is the time at which snapshot 1 begins, in seconds of the
    machine's monotonic clock; None means now. All groups of a world need the
    same value. `proxied_targets` and `proxied_peers` put fault proxies in front
    of the targets and of the entries' peer ports.
    """

    entries: int = 3
    group: int = 0
    groups: int = 1
    started_at: float | None = None
    proxied_targets: bool = False
    proxied_peers: bool = False
    noise: Noise | None = None


class World:
    """The platform and the targets of one deployment; a context manager.

    `block` is the first two octets of the IPv4 addresses, such as "127.20".
    `entries` is ignored if `options` is given.

    `direct_configuration` has the addresses of the targets themselves, and
    `configuration`, which is published, those of their proxies if there are any.
    `vms` and `published_vms` differ likewise in the peer addresses of the entries.
    """

    def __init__(
        self,
        deployment: Deployment,
        block: str,
        seed: int,
        entries: int = 3,
        options: WorldOptions | None = None,
    ) -> None:
        self.deployment = deployment
        self.block = block
        self.options = options or WorldOptions(entries=entries)
        self.seed = seed
        self.rng = random.Random(f"{seed}-{self.options.group}")
        self.clock = SystemClock()
        self.platform = PlatformStandin()
        self.direct_configuration: Configuration = make_configuration(deployment, block)
        self.configuration = self.make_published_configuration(
            self.direct_configuration
        )
        self.stores = self.make_stores()
        self.targets: dict[TargetId, TargetStandin] = {}
        self.servers: dict[TargetId, ConnectionLimitedServer] = {}
        self.target_proxies: dict[TargetId, FaultProxy] = {}
        self.vms = tuple(self.make_vm(item) for item in range(self.options.entries))
        self.published_vms = self.vms
        self.peer_proxies = ProxyGroup({})
        self.resources = contextlib.ExitStack()

    @property
    def platform_address(self) -> Address:
        """The address on which the platform listens."""
        return Address(f"{self.block}.0.1", PLATFORM_PORT)

    @property
    def control_address(self) -> Address:
        """The address on which this group serves commands and its ground truth."""
        return get_control_address(self.block, self.options.group)

    def make_stores(self) -> dict[CollectionName, RecordStore]:
        """Return a store with the records of each collection."""
        started_at = self.options.started_at
        return {
            service.collection: RecordStore(
                service.collection,
                make_records(RECORDS_PER_COLLECTION, self.seed + number),
                self.clock,
                self.clock.now() if started_at is None else started_at,
                self.seed + number,
            )
            for number, service in enumerate(self.deployment.services)
        }

    def make_published_configuration(
        self, configuration: Configuration
    ) -> Configuration:
        """Return a configuration with the addresses of the target proxies, if any."""
        if not self.options.proxied_targets:
            return configuration
        return msgspec.structs.replace(
            configuration,
            targets={
                target_id: msgspec.structs.replace(
                    target, address=str(get_proxy_address(target, PROXIED_TARGET_PORT))
                )
                for target_id, target in configuration.targets.items()
            },
        )

    def make_vm(self, number: int) -> Vm:
        """Return one entry VM with its own peer address, not that of a proxy."""
        host = f"{self.block}.1.{1 + number}"
        centres = self.deployment.data_centres
        return Vm(
            EntryId(f"entry-{number:02d}"),
            str(Address(host, ENTRY_PORT)),
            str(Address(host, PEER_PORT)),
            DataCentre(centres[number % len(centres)]),
        )

    def get_host(self, entry: EntryId) -> str:
        """Return the IP address of an entry VM."""
        vm = next(vm for vm in self.vms if vm.id == entry)
        return Address.parse(vm.address).host

    def __enter__(self) -> "World":
        with contextlib.ExitStack() as stack:
            self.resources = stack
            self.start_targets()
            self.serve(self.control_address, ControlApp(self))
            if self.options.group == 0:
                self.start_platform()
            self.resources = stack.pop_all()
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.resources.close()

    def serve(self, address: Address, app) -> None:
        """Serve a WSGI application until the world is closed."""
        server = make_server(address, app)
        server.start()
        self.resources.callback(server.stop, timeout=0.1)

    def start_platform(self) -> None:
        """Start the platform, and publish the configuration and the VM list.

        If there are proxies in front of the entries' peer ports, they are started
        before the VM list is published, which has their addresses.
        """
        self.serve(self.platform_address, self.platform)
        if self.options.proxied_peers:
            self.peer_proxies = self.resources.enter_context(self.make_peer_proxies())
            self.published_vms = tuple(
                msgspec.structs.replace(
                    vm,
                    peer_address=str(
                        self.peer_proxies.proxies[self.get_host(vm.id)].listen
                    ),
                )
                for vm in self.vms
            )
        self.publish(self.direct_configuration)
        self.platform.publish_vms(self.published_vms)

    def make_peer_proxies(self) -> ProxyGroup:
        """Return a group with a proxy in front of each entry's peer port."""
        proxies = {}
        for vm in self.vms:
            upstream = Address.parse(vm.peer_address)
            listen = Address(upstream.host, PROXIED_PEER_PORT)
            proxies[upstream.host] = FaultProxy(listen, upstream, self.rng)
        return ProxyGroup(proxies)

    def start_targets(self) -> None:
        """Start every target of this group."""
        for service in self.deployment.services:
            for index, target_id in enumerate(self.get_target_ids(service)):
                if index // REPLICAS % self.options.groups == self.options.group:
                    self.add_target(service, target_id)

    def get_target_ids(self, service: Service) -> list[TargetId]:
        """Return the IDs of the targets of a service, ordered by their index.

        Targets 0 and 1, 2 and 3, and so on are the pairs of `make_collection`.
        """
        prefix = f"{service.collection}-"
        return [
            item
            for item in self.direct_configuration.targets
            if item.startswith(prefix)
        ]

    def add_target(self, service: Service, target_id: TargetId) -> None:
        """Create and start one target, with a proxy if targets are proxied."""
        target = self.direct_configuration.targets[target_id]
        self.targets[target_id] = TargetStandin(
            target_id,
            self.stores[service.collection],
            self.direct_configuration.collections[service.collection],
            target.slots,
            random.Random(self.rng.random()),
            self.clock,
            self.options.noise,
        )
        self.start_server(target_id)
        self.resources.callback(self.stop_server, target_id)
        if self.options.proxied_targets:
            proxy = FaultProxy(
                get_proxy_address(target, PROXIED_TARGET_PORT),
                Address.parse(target.address),
                self.rng,
            )
            self.target_proxies[target_id] = self.resources.enter_context(proxy)

    def start_server(self, target_id: TargetId) -> None:
        """Start to accept connections to a target."""
        target = self.direct_configuration.targets[target_id]
        service = self.get_service(target_id)
        limiter = ConnectionLimiter(
            self.targets[target_id], target.connections, service.open_ms / 1_000
        )
        address = Address.parse(target.address)
        server = ConnectionLimitedServer(address, self.targets[target_id], limiter)
        server.start()
        self.servers[target_id] = server

    def get_service(self, target_id: TargetId) -> Service:
        """Return the service that a target belongs to."""
        return next(
            service
            for service in self.deployment.services
            if target_id.startswith(f"{service.collection}-")
        )

    def stop_server(self, target_id: TargetId) -> None:
        """Stop accepting connections to a target and break the open ones."""
        server = self.servers.pop(target_id, None)
        if server is not None:
            server.stop(timeout=0)
            server.break_connections()

    def publish(self, configuration: Configuration) -> None:
        """Publish a configuration, given with the addresses of the targets themselves.

        Only the first group publishes; the others just store the configuration.
        """
        self.direct_configuration = configuration
        self.configuration = self.make_published_configuration(configuration)
        if self.options.group == 0:
            self.platform.publish_config(msgspec.json.encode(self.configuration))

    def publish_shards(
        self, collection: CollectionName, shards: tuple[Shard, ...]
    ) -> None:
        """Publish a new shard map of a collection."""
        changed = msgspec.structs.replace(
            self.direct_configuration.collections[collection], shards=shards
        )
        self.publish(
            msgspec.structs.replace(
                self.direct_configuration,
                collections={
                    **self.direct_configuration.collections,
                    collection: changed,
                },
            )
        )

    def split_shard(self, collection: CollectionName, shard_id: ShardId) -> None:
        """Split a shard into two halves on the same replicas."""
        shards = []
        for shard in self.direct_configuration.collections[collection].shards:
            if shard.id != shard_id:
                shards.append(shard)
                continue
            middle = (shard.start + shard.end) // 2
            shards += [
                Shard(ShardId(f"{shard.id}a"), shard.start, middle, shard.replicas),
                Shard(ShardId(f"{shard.id}b"), middle, shard.end, shard.replicas),
            ]
        self.publish_shards(collection, tuple(shards))
        self.apply_published_shards(collection)

    def move_shard(
        self,
        collection: CollectionName,
        shard_id: ShardId,
        replicas: tuple[TargetId, ...],
    ) -> None:
        """Move a shard to other targets, which are in the same group.

        The new owners serve the shard at once; the previous owners drop it after
        DROP_AFTER_MOVE_S.
        """
        shards = tuple(
            msgspec.structs.replace(shard, replicas=replicas)
            if shard.id == shard_id
            else shard
            for shard in self.direct_configuration.collections[collection].shards
        )
        previous = self.direct_configuration.collections[collection]
        for target_id in replicas:
            if target_id in self.targets:
                self.targets[target_id].set_shards(
                    msgspec.structs.replace(previous, shards=shards)
                )
        self.publish_shards(collection, shards)
        gevent.spawn_later(DROP_AFTER_MOVE_S, self.apply_published_shards, collection)

    def apply_published_shards(self, collection: CollectionName) -> None:
        """Make every target own exactly the shards of the published shard map."""
        for target in self.targets.values():
            if target.store.collection == collection:
                target.set_shards(self.direct_configuration.collections[collection])

    def get_truth(self) -> control.Truth:
        """Return the ground truth of this process."""
        collections = {}
        for name, store in self.stores.items():
            ranges = {
                item
                for target in self.targets.values()
                if target.store is store
                for item in target.owned
            }
            collections[name] = control.CollectionTruth(
                store.get_changes(sorted(ranges)), tuple(store.ledger)
            )
        return control.Truth(
            collections,
            {target_id: item.truth for target_id, item in self.targets.items()},
            self.platform.calls,
            self.platform.peak_calls_per_s,
            tuple(self.platform.published_versions),
        )


class ControlApp:
    """Applies commands by POST /control and serves the ground truth by GET /truth."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.handler = CommandHandler(world)

    def __call__(self, environ, start_response):
        """Respond to one HTTP request."""
        if environ["PATH_INFO"] == "/truth":
            body = msgspec.json.encode(self.world.get_truth())
        else:
            payload = environ["wsgi.input"].read(int(environ["CONTENT_LENGTH"]))
            self.handler.apply(msgspec.json.decode(payload, type=control.Command))
            body = b"{}"
        start_response("200 OK", [("Content-Length", str(len(body)))])
        return [body]


def get_control_address(block: str, group: int) -> Address:
    """Return the address on which a group of a world serves commands."""
    return Address(f"{block}.0.{10 + group}", CONTROL_PORT)


def get_proxy_address(target: Target, port: int) -> Address:
    """Return the address of the proxy in front of a target."""
    return Address(Address.parse(target.address).host, port)
