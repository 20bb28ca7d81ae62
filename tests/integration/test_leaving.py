"""Tests of entries and targets that are leaving, over real processes."""

import signal

import gevent

from sesameplank.client import Client
from sesameplank.core.search.messages import SearchRequest
from sesameplank.exceptions import CallError
from sesameplank.standins.fleetmeter import get_state

from .fleets import FleetTestCase

DEADLINE_MS = 10_000
CALLERS = 4
DRAINED_TARGET = "order-desk-00"


class LeavingTests(FleetTestCase):
    """A leaving entry or target finishes its work and gets no new work."""

    def start_callers(self) -> None:
        """Start callers that search without pause until the test ends.

        `self.answers` counts their answers, and `self.errors` collects their errors.
        """
        self.errors = []
        self.answers = 0
        callers = [gevent.spawn(self.search_repeatedly) for _ in range(CALLERS)]
        self.addCleanup(gevent.killall, callers)

    def search_repeatedly(self) -> None:
        with Client("order-desk", self.fleet.addresses) as client:
            while True:
                self.search(client)

    def search(self, client: Client) -> None:
        try:
            client.search(SearchRequest("order-desk"), DEADLINE_MS)
            self.answers += 1
        except CallError as error:
            self.errors.append((error.kind, error.ran, str(error)))

    def wait_for_answers(self, count: int) -> None:
        expected = self.answers + count
        self.wait_for(lambda: self.answers >= expected, f"{count} more answers")

    def test_rolling_restart_fails_no_search(self):
        self.start_fleet(3, "--address_ttl_s=1")
        self.start_callers()
        for entry in self.fleet.entries:
            self.wait_for_answers(20)
            entry.signal(signal.SIGTERM)
            self.assertEqual(0, entry.wait(60))
            self.assertIn("event=left finished=True", entry.log_path.read_text())
            entry.start()
            entry.wait_until_ready()
        self.wait_for_answers(20)
        self.assertEqual([], self.errors)

    def test_every_entry_omits_a_leaving_entry_from_addresses(self):
        self.start_fleet(3)
        self.wait_for_views([self.fleet.entries])
        leaving, *others = self.fleet.entries
        leaving.signal(signal.SIGTERM)
        for entry in self.fleet.entries:
            self.wait_for(
                lambda entry=entry: (
                    get_state(entry)["fleet"]["members"][leaving.vm.id]["phase"]
                    != "serving"
                ),
                f"{entry.vm.id} knows that {leaving.vm.id} is leaving",
            )
        for entry in others:
            with Client("order-desk", [entry.address]) as client:
                for _ in range(5):
                    addresses = client.address_cache.get_addresses()
                    self.assertNotIn(leaving.address, addresses)
        self.assertEqual(0, leaving.wait(60))

    def test_drained_target_gets_no_new_work_at_any_entry(self):
        self.start_fleet(3)
        self.start_callers()
        self.wait_for_answers(20)
        target = self.world.targets[DRAINED_TARGET]
        target.drain()
        for entry in self.fleet.entries:
            self.wait_for(
                lambda entry=entry: (
                    DRAINED_TARGET in get_state(entry)["leaving_targets"]
                ),
                f"{entry.vm.id} knows that {DRAINED_TARGET} is leaving",
            )
        self.wait_for(lambda: not target.running + target.waiting, "work is finished")
        runs = target.truth.shard_runs
        self.wait_for_answers(60)
        self.assertEqual(runs, target.truth.shard_runs)
        self.assertEqual([], self.errors)

    def test_entries_that_are_not_homes_relay_searches_and_bookings(self):
        self.start_fleet(6, "--connection_homes=2", "--connection_headroom=2")
        store = self.world.stores["order-desk"]
        record = next(
            key
            for key, item in store.records.items()
            if item.get_at(store.get_snapshot()).fields["stock"] > 10
        )
        for entry in self.fleet.entries:
            with Client("order-desk", [entry.address]) as client:
                client.address_cache.get_addresses = lambda *_, at=entry: [at.address]
                answer = client.search(SearchRequest("order-desk"), DEADLINE_MS)
                self.assertTrue(answer.coverage.is_whole)
                booked = client.book("order-desk", record, 1, None, DEADLINE_MS)
                self.assertEqual("accepted", booked.result.value)
            self.assertTrue(get_state(entry)["relayed_calls"] > 0)

    def test_connections_stay_within_the_limit_of_each_target(self):
        self.start_fleet(8)
        self.start_callers()
        self.wait_for_answers(20)
        paused, restarted = self.fleet.entries[:2]
        self.resume_on_cleanup(paused)
        paused.signal(signal.SIGSTOP)
        restarted.kill()
        restarted.start()
        restarted.wait_until_ready()
        self.wait_for_answers(20)
        exceeded = {
            name: item.truth.connections_over_limit
            for name, item in self.world.targets.items()
            if item.truth.connections_over_limit
        }
        self.assertEqual({}, exceeded)
