"""Tests of the stand-in targets and their ground truth."""

import contextlib

import msgspec
import testtools
from geventhttpclient import HTTPClient

from sesameplank.conf import PublishedConfiguration, PublishedVms, decode_configuration
from sesameplank.core.search.messages import (
    ShardRequest,
    TargetSearch,
    TargetSearchAnswer,
)
from sesameplank.net import Address, open_connection
from sesameplank.standins import control
from sesameplank.standins.deployments import VATUWAQA
from sesameplank.standins.fleet import reserve_block
from sesameplank.standins.proxy import Faults
from sesameplank.standins.world import World, WorldOptions

TIMEOUT_S = 30.0
COLLECTION = "order-desk"
SHARD = "order-desk-s00"


def read_to_end(sock) -> bytes:
    """Return all bytes until the connection ends, or raise TimeoutError."""
    received = b""
    while chunk := sock.recv(1_000):
        received += chunk
    return received


class WorldTests(testtools.TestCase):
    """Targets serve the shards that they own and report the ground truth."""

    def setUp(self):
        super().setUp()
        block = self.enterContext(reserve_block())
        options = WorldOptions(entries=2, proxied_targets=True, proxied_peers=True)
        self.world = self.enterContext(World(VATUWAQA, block, 3, options=options))

    def send(self, address, method, path, message=None) -> bytes:
        """Send a message over HTTP and return the body of the answer."""
        body = msgspec.json.encode(message) if message is not None else b""
        client = HTTPClient(address.host, address.port, network_timeout=TIMEOUT_S)
        with contextlib.closing(client):
            return bytes(client.request(method, path, body).read())

    def send_command(self, command) -> None:
        """Send a control command over HTTP."""
        self.send(self.world.control_address, "POST", "/control", command)

    def get_configuration(self):
        """Return the published configuration."""
        body = self.send(self.world.platform_address, "GET", "/config?after=0")
        published = msgspec.json.decode(body, type=PublishedConfiguration)
        return decode_configuration(published.document)

    def search(self, target: str, shards) -> list[str]:
        """Search shards on a target and return the status of each."""
        address = Address.parse(self.get_configuration().targets[target].address)
        store = self.world.stores[COLLECTION]
        message = TargetSearch(
            "r1",
            COLLECTION,
            max(1, store.get_snapshot() - 2),
            60_000,
            tuple(ShardRequest(item.id, item.start, item.end) for item in shards),
        )
        body = self.send(address, "POST", "/search", message)
        answer = msgspec.json.decode(body, type=TargetSearchAnswer)
        return [result.status.value for result in answer.results]

    def test_target_serves_only_the_shards_it_owns(self):
        shards = self.world.direct_configuration.collections[COLLECTION].shards
        self.assertEqual(
            ["ok", "not_owned"], self.search("order-desk-00", [shards[0], shards[2]])
        )

    def test_halves_of_a_split_shard_are_served(self):
        self.send_command(control.SplitShard(COLLECTION, SHARD))
        shards = self.get_configuration().collections[COLLECTION].shards
        halves = [item for item in shards if item.id.startswith(SHARD)]
        self.assertEqual(["ok", "ok"], self.search("order-desk-00", halves))

    def test_moved_shard_is_served_by_its_new_targets(self):
        new = ("order-desk-02", "order-desk-03")
        self.send_command(control.MoveShard(COLLECTION, SHARD, new))
        shard = self.get_configuration().collections[COLLECTION].shards[0]
        self.assertEqual(new, shard.replicas)
        self.assertEqual(["ok"], self.search("order-desk-02", [shard]))
        self.world.apply_published_shards(COLLECTION)
        self.assertEqual(["not_owned"], self.search("order-desk-00", [shard]))

    def test_connections_over_the_limit_are_refused_and_counted(self):
        target = self.world.direct_configuration.targets["order-desk-00"]
        address = Address.parse(target.address)
        socks = [
            open_connection(address, TIMEOUT_S) for _ in range(target.connections + 1)
        ]
        self.assertEqual(b"", socks[-1].recv(1))
        for sock in socks:
            sock.close()
        truth = self.get_truth().targets["order-desk-00"]
        self.assertEqual(1, truth.connections_over_limit)

    def get_truth(self) -> control.Truth:
        """Return the ground truth that the control interface reports."""
        body = self.send(self.world.control_address, "GET", "/truth")
        return msgspec.json.decode(body, type=control.Truth)

    def test_stopped_target_refuses_connections_until_it_is_started(self):
        self.send_command(control.StopTargets(("order-desk-00",)))
        address = Address.parse(
            self.world.direct_configuration.targets["order-desk-00"].address
        )
        self.assertRaises(ConnectionRefusedError, open_connection, address, TIMEOUT_S)
        self.send_command(control.StartTargets(("order-desk-00",)))
        shard = self.world.direct_configuration.collections[COLLECTION].shards[0]
        self.assertEqual(["ok"], self.search("order-desk-00", [shard]))

    def test_stopping_a_target_breaks_its_connections(self):
        address = Address.parse(
            self.world.direct_configuration.targets["order-desk-00"].address
        )
        sock = open_connection(address, TIMEOUT_S)
        self.addCleanup(sock.close)
        sock.sendall(b"GET /health HTTP/1.1\r\nHost: x\r\n\r\n")
        self.assertTrue(sock.recv(1_000).startswith(b"HTTP/1.1 200"))
        self.send_command(control.StopTargets(("order-desk-00",)))
        read_to_end(sock)
        self.assertRaises(ConnectionRefusedError, open_connection, address, TIMEOUT_S)

    def test_target_faults_affect_only_the_listed_targets(self):
        self.send_command(
            control.SetTargetFaults(Faults(refuse=True), ("order-desk-00",))
        )
        shard = self.world.direct_configuration.collections[COLLECTION].shards[0]
        address = Address.parse(
            self.get_configuration().targets["order-desk-00"].address
        )
        sock = open_connection(address, TIMEOUT_S)
        self.addCleanup(sock.close)
        self.assertRaises(ConnectionResetError, sock.recv, 1)
        self.assertEqual(["ok"], self.search("order-desk-01", [shard]))

    def test_frozen_platform_serves_the_old_version(self):
        self.send_command(control.SetPlatform(frozen_version=1))
        self.send_command(control.SplitShard(COLLECTION, SHARD))
        self.assertEqual(
            20, len(self.get_configuration().collections[COLLECTION].shards)
        )
        self.send_command(control.SetPlatform())
        self.assertEqual(
            21, len(self.get_configuration().collections[COLLECTION].shards)
        )

    def test_vm_list_has_the_addresses_of_the_peer_proxies(self):
        self.send_command(control.SetVms(leaving=("entry-01",)))
        body = self.send(self.world.platform_address, "GET", "/vms?after=0")
        vms = msgspec.json.decode(body, type=PublishedVms).vms
        self.assertEqual(["live", "leaving"], [vm.state.value for vm in vms])
        self.assertEqual(["8082", "8082"], [vm.peer_address[-4:] for vm in vms])

    def test_ground_truth_includes_bookings(self):
        store = self.world.stores[COLLECTION]
        run = store.book("k1", "r000001", 10_000)
        truth = self.get_truth().collections[COLLECTION]
        self.assertEqual((run,), truth.ledger)
        self.assertEqual("declined", run.result.value)


class GroupTests(testtools.TestCase):
    """Stores with the same seed and start hold the same records."""

    def test_groups_hold_the_same_records(self):
        block = self.enterContext(reserve_block())
        worlds = [
            World(
                VATUWAQA,
                block,
                3,
                options=WorldOptions(group=group, groups=2, started_at=1.0),
            )
            for group in range(2)
        ]
        stores = [world.stores[COLLECTION] for world in worlds]
        for store in stores:
            store.generate_changes(500)
        self.assertEqual(
            [item.get_at(400) for item in stores[0].records.values()],
            [item.get_at(400) for item in stores[1].records.values()],
        )
