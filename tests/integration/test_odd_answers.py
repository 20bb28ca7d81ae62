"""Tests of entries beside a target that reports odd numbers, over real processes."""

import gevent
import msgspec

from sesameplank.client import Client
from sesameplank.core.search.messages import SearchRequest
from sesameplank.exceptions import CallError
from sesameplank.standins.fleet import get_status
from sesameplank.standins.fleetmeter import get_state

from .fleets import FleetTestCase

DEADLINE_MS = 2_000
WATCHED_S = 2.5  # Several health polls of each target.
SEARCHES = 5
TARGET = "order-desk-00"
HUGE = 10**400


class OddAnswerTests(FleetTestCase):
    """Searches, metrics and tasks are whole beside one target with odd reports."""

    def report(self, **fields: object) -> None:
        """Let the target's health reports have other fields."""
        target = self.world.targets[TARGET]
        make_health = type(target).make_health
        target.make_health = lambda: msgspec.structs.replace(
            make_health(target), **fields
        )

    def make_odd_shards(self, **fields: int) -> tuple:
        """Return the shards of a report with other fields."""
        shards = self.world.targets[TARGET].make_health().shards
        return tuple(msgspec.structs.replace(item, **fields) for item in shards)

    def find_failures(self) -> list[str]:
        """Return what doesn't work at the entries."""
        failures = []
        for entry in self.fleet.entries:
            for path in ("/state", "/metrics"):
                if get_status(entry.address, path) != 200:
                    failures.append(f"{entry.vm.id} {path}")
            tasks = get_state(entry).get("tasks", {})
            failures += [name for name, task in tasks.items() if task["failures"]]
            with Client("order-desk", [entry.address]) as client:
                client.address_cache.get_addresses = lambda *_, at=entry: [at.address]
                failures += filter(None, (self.search(client) for _ in range(SEARCHES)))
        return failures

    def search(self, client: Client) -> str:
        """Return why a search failed, or an empty string."""
        try:
            answer = client.search(SearchRequest("order-desk"), DEADLINE_MS)
        except CallError as error:
            return str(error)
        return "" if answer.coverage.is_whole else "not whole"

    def test_health_reports_with_odd_numbers(self):
        self.start_fleet(2, "--health_interval_s=0.5")
        table = (
            {"limit_per_s": HUGE},
            {"shards": self.make_odd_shards(newest=HUGE)},
            {"shards": self.make_odd_shards(oldest=-HUGE)},
            {"load": HUGE},
        )
        seen = []
        for fields in table:
            self.report(**fields)
            gevent.sleep(WATCHED_S)
            failures = self.find_failures()
            if failures:
                seen.append((str(fields)[:60], failures[:3]))
        self.assertEqual([], seen)
