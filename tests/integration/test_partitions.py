"""Tests of membership over real processes: partitions, lost links and pauses."""

import signal

import gevent
import msgspec

from sesameplank.client import Client
from sesameplank.core.search.messages import SearchRequest
from sesameplank.standins.fleet import get_status
from sesameplank.standins.fleetmeter import get_state

from .fleets import FleetTestCase

DEADLINE_MS = 10_000


class PartitionTests(FleetTestCase):
    """Each side of a partition keeps serving, and views agree after it heals."""

    def search(self, entry):
        with Client("order-desk", [entry.address]) as client:
            return client.search(SearchRequest("order-desk"), DEADLINE_MS)

    def test_partition_and_heal(self):
        self.start_fleet(8)
        left, right = self.fleet.entries[:4], self.fleet.entries[4:]
        self.wait_for_views([self.fleet.entries])
        self.world.peer_proxies.partition(self.get_hosts(left), self.get_hosts(right))
        self.wait_for_views([left, right])
        for entry in (left[0], right[0]):
            self.assertTrue(self.search(entry).coverage.is_whole)
        self.world.peer_proxies.heal()
        self.wait_for_views([self.fleet.entries])

    def test_one_way_loss_between_two_entries_declares_none_dead(self):
        self.start_fleet(4)
        self.wait_for_views([self.fleet.entries])
        hosts = self.get_hosts(self.fleet.entries)
        self.world.peer_proxies.block_one_way(hosts[0], hosts[1])
        gevent.sleep(8.0)
        self.wait_for_views([self.fleet.entries])

    def test_paused_entry_refreshes_its_configuration_before_it_serves(self):
        self.start_fleet(4)
        self.wait_for_views([self.fleet.entries])
        paused, others = self.fleet.entries[1], self.fleet.entries[:1]
        others += self.fleet.entries[2:]
        self.resume_on_cleanup(paused)
        paused.signal(signal.SIGSTOP)
        self.wait_for_views([others])
        document = msgspec.json.encode(self.world.configuration)
        version = self.world.platform.publish_config(document)
        self.wait_for_version(others, version)
        paused.signal(signal.SIGCONT)
        answer = gevent.spawn(self.search, paused)
        self.wait_for(lambda: get_status(paused.address, "/readyz") == 200, "ready")
        answer.get(timeout=60)
        state = get_state(paused)
        self.assertEqual(version, state["config_version"])
        self.assertTrue(state["fleet"]["pauses"] >= 1)
        self.wait_for_views([self.fleet.entries])
