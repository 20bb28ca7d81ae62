"""Tests of searches through real processes while snapshots and shards change."""

import socket

import gevent
import msgspec
import testtools
from gevent.pool import Group

from sesameplank.client import Client
from sesameplank.core.search.messages import Filter, Order, SearchAnswer, SearchRequest
from sesameplank.exceptions import CallError
from sesameplank.standins.deployments import VATUWAQA
from sesameplank.standins.fleet import Fleet, reserve_block
from sesameplank.standins.proxy import Direction, Faults
from sesameplank.standins.world import World, WorldOptions

from ..naive import find_difference

DEADLINE_MS = 10_000
WAIT_S = 60.0
NAME = "order-desk"  # The caller, the collection and the prefix of its target ids.
REQUEST = SearchRequest(
    NAME, filters=(Filter("colour", "gold"),), order=Order("stock"), limit=1_000
)


class ChangingWorldTestCase(testtools.TestCase):
    """Runs searches of several callers while the deployment changes."""

    def setUp(self):
        super().setUp()
        block = self.enterContext(reserve_block())
        options = WorldOptions(entries=2, proxied_targets=True)
        self.world = self.enterContext(World(VATUWAQA, block, 4, options=options))
        self.fleet = self.enterContext(
            Fleet(self.world.vms, self.world.platform_address)
        )
        self.answers: list[SearchAnswer] = []

    def run_searches(
        self, client: Client, count: int, deadline_ms: int = DEADLINE_MS
    ) -> None:
        """Run `count` searches, and check each answer against a naive scan.

        Errors are allowed only for overload, low coverage or lack of an answer.
        """
        store = self.world.stores[NAME]
        for _ in range(count):
            seen = client.seen.get(NAME)
            request = msgspec.structs.replace(REQUEST, at_least_snapshot=seen)
            try:
                answer = client.search(request, deadline_ms)
            except CallError as error:
                self.assertIn(error.kind, ("overloaded", "no-answer", "low-coverage"))
                continue
            self.assertEqual("", find_difference(store, request, answer))
            self.answers.append(answer)

    def search_during(self, change, callers: int = 4, count: int = 40) -> None:
        """Run `count` searches of each caller concurrently with a change."""
        clients = [
            self.enterContext(Client(NAME, self.fleet.addresses))
            for _ in range(callers)
        ]
        group = Group()
        searches = [group.spawn(self.run_searches, client, count) for client in clients]
        change()
        gevent.joinall(searches, timeout=WAIT_S, raise_error=True)
        self.assertTrue(all(item.ready() for item in searches))


class SnapshotTests(ChangingWorldTestCase):
    """Snapshots change while searches run."""

    def test_every_answer_is_of_one_snapshot_that_never_decreases(self):
        self.search_during(lambda: None)
        self.assertTrue(len({item.snapshot for item in self.answers}) > 1)
        self.assertTrue(all(item.coverage.is_whole for item in self.answers))

    def test_search_for_a_snapshot_beyond_its_deadline_is_refused(self):
        with Client(NAME, self.fleet.addresses) as client:
            self.run_searches(client, 10)
            future_request = msgspec.structs.replace(
                REQUEST, at_least_snapshot=self.answers[-1].snapshot + 100_000
            )
            error = self.assertRaises(
                CallError, client.search, future_request, DEADLINE_MS
            )
        self.assertEqual("snapshot-unavailable", error.kind)
        self.assertTrue(error.retry_after_s > DEADLINE_MS / 1_000)


class RepartitionTests(ChangingWorldTestCase):
    """Shards are split and moved while searches run."""

    def test_records_of_split_and_moved_shards_are_neither_doubled_nor_lost(self):
        def change() -> None:
            for shard in self.world.direct_configuration.collections[NAME].shards[:6]:
                self.world.split_shard(NAME, shard.id)
                target_ids = sorted(self.world.targets)
                others = [item for item in target_ids if item.startswith(NAME)][-2:]
                self.world.move_shard(NAME, f"{shard.id}b", tuple(others))
                gevent.sleep(0.1)

        self.search_during(change)
        with Client(NAME, self.fleet.addresses) as client:
            self.run_searches(client, 5)
        self.assertTrue(self.answers[-1].coverage.is_whole)
        self.assertEqual(
            self.world.platform.config.version, self.answers[-1].config_version
        )


class LateAnswerTests(ChangingWorldTestCase):
    """Answers of targets arrive late, out of order or truncated."""

    def set_faults(self, faults: Faults, every: int) -> None:
        """Inject faults at every `every`-th target of the collection."""
        names = sorted(item for item in self.world.targets if item.startswith(NAME))
        for target_id in names[::every]:
            self.world.target_proxies[target_id].set_faults(faults)

    def test_faults_of_answers(self):
        table = [
            ("late and out of order", Faults(delay_s=0.05, jitter_s=0.4), 2),
            ("stalled", Faults(stalled=(Direction.ANSWER,)), 4),
            ("reset in the middle", Faults(answer_reset_rate=0.3), 3),
        ]
        for name, faults, every in table:
            self.set_faults(faults, every)
            answered = len(self.answers)
            with Client(NAME, self.fleet.addresses) as client:
                self.run_searches(client, 15, deadline_ms=600)
            self.set_faults(Faults(), 1)
            self.assertTrue(len(self.answers) > answered, name)
        with Client(NAME, self.fleet.addresses) as client:
            self.run_searches(client, 5)
        self.assertTrue(self.answers[-1].coverage.is_whole)


class BadCallerTests(ChangingWorldTestCase):
    """Bad input to an entry affects no other request."""

    def test_searches_are_answered_while_other_callers_send_bad_input(self):
        payloads = [
            b"POST /v1/search HTTP/1.1\r\nContent-Length: 99999999999\r\n\r\n",
            b"POST /v1/search HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz",
            b"GET / HTTP/1.1\r\nX: " + b"x" * 60_000,
            b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03",
            b"POST /v1/search HTTP/1.1\r\nContent-Length: 50\r\n\r\n{",
        ]

        def change() -> None:
            for number in range(50):
                address = self.fleet.addresses[number % 2]
                with socket.create_connection(address, timeout=WAIT_S) as sock:
                    sock.sendall(payloads[number % len(payloads)])
                gevent.sleep(0.01)

        self.search_during(change)
        self.assertEqual(160, len(self.answers))
        self.assertTrue(all(item.coverage.is_whole for item in self.answers))
