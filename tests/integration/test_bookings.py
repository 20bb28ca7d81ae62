"""Tests that each booking runs at most once, through real processes and faults."""

import signal

import gevent
import msgspec
import testtools

from sesameplank.client import Client
from sesameplank.core.common.outcomes import Ran
from sesameplank.core.search.messages import BookingState, SearchRequest
from sesameplank.core.search.ranges import get_position
from sesameplank.exceptions import CallError
from sesameplank.standins.fleet import get_status
from sesameplank.standins.proxy import Direction, Faults

from .faulty_tier import COLLECTION, FaultyTier

ENTRIES = 3
LONG_DEADLINE_MS = 20_000
SHORT_DEADLINE_MS = 500
LOOK_UP_DEADLINE_MS = 5_000
CUTS = (0, 5, 9, 15, 17, 40, 70)  # Bytes of an answer's head.
REFUSE = Faults(refuse=True)
RESET_REQUEST = Faults(reset_at_byte=60)
LOSE_ANSWER = Faults(answer_reset_rate=1.0)
STALL_ANSWER = Faults(stalled=(Direction.ANSWER,))


class BookingTests(testtools.TestCase):
    """A booking runs at most once, and callers receive its true outcome."""

    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        cls.tier = cls.enterClassContext(FaultyTier(ENTRIES, seed=5))

    def setUp(self):
        super().setUp()
        self.addCleanup(self.tier.heal)
        self.client = self.make_client(range(ENTRIES))
        self.record = self.tier.records[0]

    def make_client(self, entries):
        """Return a client that knows only the given entries."""
        seeds = [self.tier.addresses[number] for number in entries]
        client = self.enterContext(Client("order-desk", seeds))
        client.address_cache.addresses = seeds
        client.address_cache.addresses_expire_at = float("inf")
        return client

    def make_key(self, entry=0):
        """Return a new idempotency key that the given entry issued."""
        return self.make_client([entry]).make_key(LONG_DEADLINE_MS)

    def book(self, key, entries=(0, 1, 2), deadline_ms=LONG_DEADLINE_MS, quantity=1):
        """Book through the given entries."""
        client = self.make_client(entries)
        return client.book(COLLECTION, self.record, quantity, key, deadline_ms)

    def assert_booking_fails(self, *arguments, **options):
        """Book, check that the booking fails, and return the error."""
        return self.assertRaises(CallError, self.book, *arguments, **options)

    def look_up(self, key, entry=0):
        """Return the status that an entry reports for a key."""
        return self.make_client([entry]).look_up_booking(key, LOOK_UP_DEADLINE_MS)

    def get_shard(self):
        """Return the shard that holds the record."""
        collection = self.tier.world.direct_configuration.collections[COLLECTION]
        return collection.get_shard(get_position(self.record))

    def get_replicas(self):
        """Return the targets that hold the record."""
        return self.get_shard().replicas

    def get_runs(self, key):
        """Return how often a key ran, according to the ledger."""
        return self.tier.count_runs()[key]

    def check_ran_once(self, key):
        self.assertEqual(1, self.get_runs(key))

    def restart(self, entry):
        """Restart an entry that was killed, and wait until it is ready."""
        entry.start()
        entry.wait_until_ready()

    def test_booking_succeeds_through_another_entry_if_its_connection_breaks(self):
        for faults in (REFUSE, RESET_REQUEST, LOSE_ANSWER):
            key = self.make_key(entry=0)
            self.tier.caller_proxies[0].set_faults(faults)
            answer = self.book(key)
            self.tier.caller_proxies[0].set_faults(Faults())
            self.assertEqual((key, 1), (answer.idempotency_key, self.get_runs(key)))

    def test_concurrent_bookings_under_one_key_at_all_entries_run_once(self):
        key = self.make_key()
        calls = [gevent.spawn(self.book, key, [n % 3]) for n in range(12)]
        answers = {(c.get().result, c.get().snapshot) for c in calls}
        self.assertEqual(1, len(answers))
        self.check_ran_once(key)

    def test_outcome_stays_unknown_if_the_answer_of_the_target_is_lost(self):
        key = self.make_key()
        for target in self.get_replicas():
            self.tier.target_proxies[target].set_faults(LOSE_ANSWER)
        errors = [self.assert_booking_fails(key, [n]) for n in range(3)]
        self.assertEqual(["unknown"] * 3, [error.ran for error in errors])
        self.check_ran_once(key)
        self.assertIs(BookingState.UNKNOWN, self.look_up(key, 1).state)

    def test_outcome_stays_unknown_if_the_answer_ends_in_its_head(self):
        for cut_at in CUTS:
            key = self.make_key()
            for target in self.get_replicas():
                faults = Faults(close_in_answer_at_byte=cut_at)
                self.tier.target_proxies[target].set_faults(faults)
            error = self.assert_booking_fails(key, [cut_at % ENTRIES])
            self.tier.heal()
            self.assertEqual(("unknown", 1), (error.ran, self.get_runs(key)), cut_at)

    def test_answer_after_the_deadline_is_returned_to_a_later_attempt(self):
        key = self.make_key()
        for target in self.get_replicas():
            self.tier.target_proxies[target].set_faults(STALL_ANSWER)
        self.assertEqual(
            "unknown", self.assert_booking_fails(key, deadline_ms=SHORT_DEADLINE_MS).ran
        )
        self.assertIs(BookingState.RUNNING, self.look_up(key).state)
        for target in self.get_replicas():
            self.tier.target_proxies[target].set_faults(Faults())
        self.assertEqual(key, self.book(key, [1]).idempotency_key)
        self.check_ran_once(key)

    def test_key_of_a_killed_entry_is_unknown_and_never_runs_again(self):
        key = self.make_key()
        self.book(key)
        entry = self.tier.fleet.entries[0]
        entry.kill()
        error = self.assert_booking_fails(key, [1], deadline_ms=SHORT_DEADLINE_MS)
        self.assertEqual("unknown", error.ran)
        self.restart(entry)
        for number in range(3):
            error = self.assert_booking_fails(
                key, [number], deadline_ms=LOOK_UP_DEADLINE_MS
            )
            self.assertEqual("unknown", error.ran)
        self.check_ran_once(key)

    def test_caller_of_a_killed_issuer_books_under_a_new_key(self):
        client = self.enterContext(Client("order-desk", self.tier.fleet.addresses))
        client.address_cache.addresses = self.tier.fleet.addresses
        client.address_cache.addresses_expire_at = float("inf")
        client.make_key(LONG_DEADLINE_MS)
        issuer = next(iter(client.bookings.issuers.values()))
        entry = self.tier.fleet.entries[self.tier.fleet.addresses.index(issuer)]
        entry.kill()
        self.addCleanup(self.restart, entry)
        answer = client.book(COLLECTION, self.record, 1, None, LONG_DEADLINE_MS)
        self.assertNotIn(f"~{entry.vm.id}~", f"~{answer.idempotency_key}")
        self.check_ran_once(answer.idempotency_key)

    def test_request_that_expired_in_a_paused_entry_is_not_run(self):
        key = self.make_key()
        entry = self.tier.fleet.entries[0]
        entry.signal(signal.SIGSTOP)
        self.addCleanup(entry.signal, signal.SIGCONT)
        error = self.assert_booking_fails(key, [0], deadline_ms=SHORT_DEADLINE_MS)
        self.assertEqual("unknown", error.ran)
        gevent.sleep(2 * SHORT_DEADLINE_MS / 1_000)
        entry.signal(signal.SIGCONT)
        self.assertIs(BookingState.NEW, self.look_up(key).state)
        self.assertEqual(0, self.get_runs(key))
        self.book(key, [1])
        self.check_ran_once(key)

    def test_paused_issuer_runs_a_relayed_booking_at_most_once(self):
        key = self.make_key()
        self.book(self.make_key(), [1])
        entry = self.tier.fleet.entries[0]
        entry.signal(signal.SIGSTOP)
        self.addCleanup(entry.signal, signal.SIGCONT)
        errors = [
            self.assert_booking_fails(key, [n], deadline_ms=SHORT_DEADLINE_MS)
            for n in (1, 2)
        ]
        self.assertEqual(["unknown"] * 2, [error.ran for error in errors])
        entry.signal(signal.SIGCONT)
        self.book(key, [1])
        self.assertEqual(1, self.get_runs(key))

    def test_key_across_a_partition_is_unknown_and_runs_once(self):
        key = self.make_key()
        self.book(key, [0])
        for proxy in self.tier.peer_proxies:
            proxy.set_faults(REFUSE)
            proxy.reset_all()
        self.assertEqual(
            "unknown", self.assert_booking_fails(key, [1], SHORT_DEADLINE_MS).ran
        )
        self.check_ran_once(key)

    def test_booking_is_retried_at_the_target_that_still_owns_the_shard(self):
        first, _ = self.get_replicas()
        self.revoke_shards(first)
        self.check_ran_once(self.book(self.make_key()).idempotency_key)

    def test_booking_waits_for_the_new_location_of_a_moved_shard(self):
        for target in self.get_replicas():
            self.revoke_shards(target)
        refused = self.assert_booking_fails(None, deadline_ms=SHORT_DEADLINE_MS)
        self.assertEqual("not_run", refused.ran)
        call = gevent.spawn(self.book, self.make_key())
        gevent.sleep(SHORT_DEADLINE_MS / 1_000)
        world = self.tier.world
        shard = self.get_shard()
        others = next(
            item.replicas
            for item in world.direct_configuration.collections[COLLECTION].shards
            if item.replicas != shard.replicas
        )
        world.move_shard(COLLECTION, shard.id, others)
        self.check_ran_once(call.get().idempotency_key)

    def revoke_shards(self, target):
        """Remove all shards from a target that is still published as their owner."""
        collection = msgspec.structs.replace(
            self.tier.world.direct_configuration.collections[COLLECTION], shards=()
        )
        self.tier.world.targets[target].set_shards(collection)
        self.addCleanup(self.tier.world.apply_published_shards, COLLECTION)

    def test_key_without_a_writer_id_is_refused_as_not_run(self):
        error = self.assert_booking_fails("order-17")
        self.assertEqual(("writer-required", "not_run"), (error.kind, error.ran))

    def test_same_key_for_another_booking_conflicts(self):
        key = self.make_key()
        self.book(key)
        error = self.assert_booking_fails(key, [1], quantity=2)
        self.assertEqual(("key-conflict", "not_run"), (error.kind, error.ran))
        self.check_ran_once(key)

    def test_closed_key_never_runs(self):
        key = self.make_key()
        status = self.make_client([1]).close_booking(key, LOOK_UP_DEADLINE_MS)
        self.assertIs(Ran.NOT_RUN, status.ran)
        error = self.assert_booking_fails(key)
        self.assertEqual(("key-closed", "not_run"), (error.kind, error.ran))
        self.assertEqual(0, self.get_runs(key))

    def test_search_after_a_booking_contains_it(self):
        answer = self.client.book(COLLECTION, self.record, 1, None, LONG_DEADLINE_MS)
        found = self.client.search(SearchRequest(COLLECTION), LONG_DEADLINE_MS)
        self.assertTrue(found.snapshot >= answer.snapshot)

    def test_look_up_returns_the_answer_at_every_entry(self):
        key = self.make_key()
        self.assertIs(BookingState.NEW, self.look_up(key).state)
        answer = self.book(key)
        for entry in range(3):
            status = self.look_up(key, entry)
            self.assertEqual(
                (answer.result, answer.snapshot),
                (status.booking.result, status.booking.snapshot),
            )

    def test_entry_is_ready_behind_its_proxy(self):
        for address in self.tier.addresses:
            self.assertEqual(200, get_status(address, "/readyz"))
