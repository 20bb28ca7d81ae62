"""Tests of the relaying of documents from peer to peer."""

import random

import gevent
import msgspec
import testtools
from gevent.event import Event

from sesameplank.conf import PublishedConfiguration, PublishedVms, Vm
from sesameplank.core.common.clock import SystemClock
from sesameplank.core.membership.peer_messages import DocumentKind, Versions
from sesameplank.core.published.readings import Reading
from sesameplank.core.published.versions import ConfigurationStore, VmStore
from sesameplank.loops import BackgroundLoops
from sesameplank.net import Address
from sesameplank.peers import PeerLinks
from sesameplank.peers.document_relay import DocumentRelay
from sesameplank.peers.relayed_documents import make_entry_documents
from sesameplank.peers.websocket_transport import WebSocketTransport
from sesameplank.standins.deployments import VATUWAQA, make_configuration
from sesameplank.standins.fleet import reserve_block

WAIT_S = 30.0
HANG_LIMIT_S = 1.0  # Longer than a round without a hang.
VALID = msgspec.json.encode(make_configuration(VATUWAQA, "127.20"))


class DocumentRelayTests(testtools.TestCase):
    """A newer version reaches neighbours, and peers that request it."""

    def setUp(self):
        super().setUp()
        block = self.enterContext(reserve_block())
        clock = SystemClock()
        names = ("a", "b", "c")
        addresses = {
            name: Address(f"{block}.1.{number}", 8081)
            for number, name in enumerate(names, 1)
        }
        self.relays = {}
        for name in names:
            links = self.enterContext(
                PeerLinks(
                    name,
                    1,
                    addresses[name],
                    clock,
                    random.Random(1),
                    WebSocketTransport(),
                )
            )
            links.addresses.update(addresses)
            others = [item for item in names if item != name]
            store = ConfigurationStore(clock)
            self.relays[name] = DocumentRelay(
                links,
                store,
                make_entry_documents(store, VmStore()),
                lambda others=others: others,
                clock,
                random.Random(1),
            )

    def run_relays(self) -> None:
        loops = BackgroundLoops(SystemClock())
        for name, relay in self.relays.items():
            loops.add(name, relay.run_round)
        self.enterContext(loops)

    def publish(self, name: str, version: int, document: bytes = VALID) -> None:
        published = PublishedConfiguration(version, msgspec.Raw(document))
        self.relays[name].store.offer(published)

    def wait_for(self, condition) -> None:
        with gevent.Timeout(WAIT_S):
            while not condition():
                gevent.sleep(0.01)

    def test_published_version_reaches_every_entry(self):
        self.run_relays()
        self.publish("a", 7)
        self.relays["a"].notify()
        self.wait_for(lambda: {r.store.version for r in self.relays.values()} == {7})

    def test_version_whose_fetch_hung_is_fetched_after_the_next_heartbeat(self):
        relay = self.relays["b"]
        self.publish("a", 7)
        call, relay.links.call = relay.links.call, lambda *arguments: Event().wait()
        relay.on_versions("a", self.relays["a"].get_versions())
        loops = BackgroundLoops(SystemClock())
        task = loops.add("relay", relay.run_round, HANG_LIMIT_S)
        with loops:
            self.wait_for(lambda: task.failures)
            relay.links.call = call
            relay.on_versions("a", self.relays["a"].get_versions())
            self.wait_for(lambda: relay.store.version == 7)
        self.assertEqual(0, task.failures_in_a_row)

    def test_refused_version_and_reason_reach_every_entry(self):
        self.run_relays()
        self.publish("a", 7)
        self.publish("a", 8, b'{"deployment":"x"}')
        self.relays["a"].notify()
        self.wait_for(lambda: all(r.store.refused for r in self.relays.values()))
        reasons = {r.store.refused.reason for r in self.relays.values()}
        self.assertEqual(1, len(reasons))
        self.wait_for(lambda: {r.store.version for r in self.relays.values()} == {7})

    def test_catch_up_fetches_the_newest_version_of_the_peers(self):
        self.publish("a", 5)
        self.publish("b", 9)
        self.publish("c", 4)
        loops = BackgroundLoops(SystemClock())
        loops.add("c", self.relays["c"].run_round)
        self.enterContext(loops)
        self.assertEqual(2, self.relays["c"].catch_up(["a", "b", "c"]))
        self.wait_for(lambda: self.relays["c"].store.version == 9)

    def test_offer_of_a_version_that_the_peer_lacks_is_ignored(self):
        self.publish("a", 5)
        self.publish("b", 5)
        self.run_relays()
        self.relays["b"].on_versions("a", Versions(config=99))
        self.wait_for(lambda: not any(self.relays["b"].offered_versions.values()))
        self.assertEqual(5, self.relays["b"].store.version)

    def test_peer_confirmation_applies_to_the_same_version_only(self):
        self.publish("b", 5)
        for version, expected in ((4, False), (5, True)):
            self.relays["b"].on_versions(
                "a",
                Versions(version, config_age_ms=100, reading=Reading("a", 1, 1)),
            )
            self.assertEqual(expected, self.relays["b"].store.age_s is not None)

    def test_peer_confirmation_of_the_vm_list_applies_to_the_same_list_only(self):
        vms = self.relays["b"].documents[DocumentKind.VMS].vms
        vm = Vm("a", "10.0.0.1:80", "10.0.0.1:81", "dc")
        vms.offer(PublishedVms(5, (vm,)))
        for version, expected in ((4, -1), (6, -1), (5, 100)):
            versions = Versions(
                vms=version, vms_age_ms=100, vms_reading=Reading("a", 1, 1)
            )
            self.relays["b"].on_versions("a", versions)
            age_ms = self.relays["b"].get_versions().vms_age_ms
            self.assertAlmostEqual(expected, age_ms, delta=50)
