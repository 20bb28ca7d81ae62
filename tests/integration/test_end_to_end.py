"""End-to-end tests of searches and bookings through real processes."""

import testtools

from sesameplank.client import Client
from sesameplank.core.search.messages import Filter, Order, SearchRequest
from sesameplank.core.search.ranges import KEY_SPACE, KeyRange
from sesameplank.exceptions import CallError
from sesameplank.standins.deployments import VATUWAQA
from sesameplank.standins.fleet import Fleet, reserve_block
from sesameplank.standins.world import World

DEADLINE_MS = 10_000


class EndToEndTests(testtools.TestCase):
    """Answers are complete and of one snapshot, and bookings become visible."""

    def setUp(self):
        super().setUp()
        block = self.enterContext(reserve_block())
        self.world = self.enterContext(World(VATUWAQA, block, seed=3, entries=2))
        self.fleet = self.enterContext(
            Fleet(self.world.vms, self.world.platform_address)
        )
        self.client = self.enterContext(Client("order-desk", self.fleet.addresses))

    def test_answer_equals_a_naive_scan_of_its_snapshot(self):
        store = self.world.stores["order-desk"]
        request = SearchRequest(
            collection="order-desk",
            filters=(Filter("colour", "gold"),),
            order=Order("price"),
            limit=1_000,
        )
        for _ in range(10):
            answer = self.client.search(request, DEADLINE_MS)
            found = store.scan(
                KeyRange(0, KEY_SPACE), answer.snapshot, (), request.filters
            )
            self.assertTrue(answer.coverage.is_whole)
            self.assertEqual(
                sorted(found, key=lambda record: (record.fields["price"], record.key)),
                list(answer.hits),
            )

    def test_booking_runs_once_and_is_visible_to_later_searches(self):
        store = self.world.stores["order-desk"]
        key = next(
            key
            for key, item in store.records.items()
            if item.get_at(store.get_snapshot()).fields["stock"] > 10
        )
        booked = self.client.book("order-desk", key, 1, deadline_ms=DEADLINE_MS)
        answer = self.client.search(SearchRequest("order-desk"), DEADLINE_MS)
        self.assertTrue(answer.snapshot >= booked.snapshot)
        self.assertEqual({booked.idempotency_key: 1}, dict(store.run_counts))

    def test_unknown_caller_is_refused_as_not_run(self):
        with Client("nobody", self.fleet.addresses) as client:
            error = self.assertRaises(
                CallError, client.search, SearchRequest("order-desk"), DEADLINE_MS
            )
        self.assertEqual(("unknown-caller", "not_run"), (error.kind, error.ran))
