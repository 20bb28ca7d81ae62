"""Tests of how old a process takes its view to be, by what its peers confirm.

The relays run in simulated time, on links with a given delay.
"""

import heapq
import itertools
import random

import msgspec
import testtools

from sesameplank.conf import PublishedConfiguration, PublishedVms, Vm
from sesameplank.core.common.clock import ManualClock
from sesameplank.core.membership.overlay import choose_neighbours
from sesameplank.core.membership.peer_messages import Announcement, Versions
from sesameplank.core.membership.reader_election import MAX_VIEW_AGE_S
from sesameplank.core.published.target_table import TargetTable
from sesameplank.core.published.versions import ConfigurationStore, VmStore
from sesameplank.forwarding.front import (
    RELAY_ANNOUNCEMENT_INTERVAL_S,
    RELAY_CONFIRMATION_INTERVAL_S,
)
from sesameplank.peers.document_relay import WAKE_INTERVAL_S, DocumentRelay
from sesameplank.peers.links import PeerContext
from sesameplank.peers.relayed_documents import (
    make_entry_documents,
    make_front_documents,
)
from sesameplank.published.watch import FALLBACK_AGE_S

STEP_S = 0.01
HEARTBEAT_INTERVAL_S = 1.0
READING_INTERVAL_S = 1.5
READING_S = 6.0
PUBLISHED = PublishedConfiguration(5, msgspec.Raw(b"5"))
PUBLISHED_VMS = PublishedVms(5, (Vm("vm0", "10.0.0.1:80", "10.0.0.1:81", "dc"),))
SIZES = (3, 7)
DELAYS_S = (0.2, 0.45, 1.0)


class SimulatedLinks:
    """The links of one relay; a message arrives after the delay of the network."""

    def __init__(self, network: "SimulatedNetwork", entry_id: str) -> None:
        self.network = network
        self.entry_id = entry_id
        self.incarnation = 1
        self.handlers = {}

    def register(self, message_type, handler) -> None:
        """Register the handler of a message type."""
        self.handlers[message_type] = handler

    def send(self, peer: str, message) -> bool:
        """Deliver a message later."""
        self.network.send(self.entry_id, peer, message)
        return True


class EarlierRelay(DocumentRelay):
    """The relay of a release that sends confirmations without their reading."""

    def get_versions(self) -> Versions:
        """Return the versions with the fields of that release only."""
        versions = super().get_versions()
        values = [getattr(versions, name) for name in Versions.__struct_fields__[:6]]
        return Versions(*values)

    def apply_confirmation(self, versions: Versions, *arguments) -> None:
        """Take a peer's age as of its arrival, whatever it stems from."""
        if versions.config_age_ms < 0 or versions.config != self.store.version:
            return
        self.store.confirm(versions.config_age_ms / 1_000)
        self.wake.set()


class SimulatedNetwork:
    """Relays with the same configuration, the first of which reads the store.

    `earlier` relays run the earlier release. With `is_front` the relays are those of
    forwarding processes, else those of entries, which confirm by heartbeats alone.
    """

    def __init__(self, size: int, delay_s: float, earlier=(), is_front=True) -> None:
        self.clock = ManualClock()
        self.delay_s = delay_s
        self.is_front = is_front
        self.order = itertools.count()
        self.pending: list[tuple] = []
        self.announcements: list[float] = []
        self.names = [f"vm{number}" for number in range(size)]
        self.relays = {
            name: self.make_relay(
                name, EarlierRelay if number in earlier else DocumentRelay
            )
            for number, name in enumerate(self.names)
        }
        self.due_at = dict.fromkeys(self.names, 0.0)
        self.resting_until = dict.fromkeys(self.names, 0.0)

    def make_relay(self, name: str, relay_type: type[DocumentRelay]) -> DocumentRelay:
        """Return a relay that has the configuration."""
        store = ConfigurationStore(self.clock, bytes)
        store.offer(PUBLISHED)
        neighbours = choose_neighbours(name, self.names)
        arguments = (lambda: neighbours, self.clock, random.Random(1))
        links = SimulatedLinks(self, name)
        if not self.is_front:
            vms = VmStore()
            vms.offer(PUBLISHED_VMS)
            documents = make_entry_documents(store, vms)
            return relay_type(links, store, documents, *arguments)
        return relay_type(
            links,
            store,
            make_front_documents(store, TargetTable(), self.clock),
            *arguments,
            RELAY_CONFIRMATION_INTERVAL_S,
            RELAY_ANNOUNCEMENT_INTERVAL_S,
        )

    def send(self, sender: str, peer: str, message) -> None:
        """Deliver a message to a peer after the delay."""
        self.announcements.append(self.clock.now())
        self.post(sender, peer, message)

    def post(self, sender: str, peer: str, message) -> None:
        """Queue a message, or its copy in a heartbeat."""
        arrives_at = self.clock.now() + self.delay_s
        heapq.heappush(
            self.pending, (arrives_at, next(self.order), sender, peer, message)
        )

    def run(self, seconds: float, readers: tuple[str, ...] = ()) -> None:
        """Let time pass, while the readers read the store again and again."""
        end_at = self.clock.now() + seconds
        next_reading_at = next_heartbeat_at = self.clock.now()
        while self.clock.now() < end_at:
            now = self.clock.now()
            if now >= next_reading_at:
                next_reading_at += READING_INTERVAL_S
                self.read(readers)
            if now >= next_heartbeat_at:
                next_heartbeat_at += HEARTBEAT_INTERVAL_S
                self.send_heartbeats()
            self.deliver()
            for name in self.names:
                self.run_relay(name)
            self.clock.advance(STEP_S)

    def read(self, readers: tuple[str, ...]) -> None:
        """Let the readers hear from the store that their view is current."""
        for name in readers:
            self.relays[name].store.confirm()
            self.relays[name].get_vms_confirmation().note(self.clock.now())
            self.relays[name].notify()

    def send_heartbeats(self) -> None:
        """Send the versions of each relay to its neighbours, as heartbeats do."""
        for name, relay in self.relays.items():
            for peer in relay.get_neighbours():
                self.post(name, peer, Announcement(relay.get_versions()))

    def deliver(self) -> None:
        """Pass the messages that have arrived to their handlers."""
        while self.pending and self.pending[0][0] <= self.clock.now():
            *_, sender, peer, message = heapq.heappop(self.pending)
            handler = self.relays[peer].links.handlers[type(message)]
            handler(message, PeerContext(sender, 1, 0.0, float("inf")))

    def run_relay(self, name: str) -> None:
        """Announce if the loop of the relay is due, or woken and not resting."""
        now = self.clock.now()
        relay = self.relays[name]
        if now < self.resting_until[name]:
            return
        if now < self.due_at[name] and not relay.wake.is_set():
            return
        relay.wake.clear()
        relay.announce()
        self.resting_until[name] = now + relay.announcement_interval_s
        self.due_at[name] = self.resting_until[name] + WAKE_INTERVAL_S

    def get_vms_ages_s(self) -> list[float]:
        """Return how old each relay takes its VM list to be."""
        now = self.clock.now()
        confirmations = [relay.get_vms_confirmation() for relay in self.relays.values()]
        return [confirmation.get_age_s(now) for confirmation in confirmations]

    def get_ages_s(self, numbers: list[int] | None = None) -> list[float]:
        """Return how old each relay, or some of them, takes its view to be."""
        chosen = self.names if numbers is None else [self.names[n] for n in numbers]
        return [self.relays[name].store.age_s for name in chosen]


class RelayedConfirmationTests(testtools.TestCase):
    """Guards against processes that renew each other's confirmation without end."""

    def test_ages_grow_once_readings_end(self):
        silent_s = 10.0
        for size in SIZES:
            for delay_s in DELAYS_S:
                with self.subTest(size=size, delay_s=delay_s):
                    network = SimulatedNetwork(size, delay_s)
                    network.run(READING_S, ("vm0",))
                    self.assertLess(max(network.get_ages_s()), MAX_VIEW_AGE_S)
                    network.run(silent_s)
                    hops_s = 3 * delay_s
                    self.assertGreater(min(network.get_ages_s()), silent_s - hops_s)

    def test_ages_grow_beside_processes_of_an_earlier_release(self):
        silent_s = 10.0
        for size in SIZES:
            for delay_s in DELAYS_S:
                for earlier in ((0, 1), (1, 2)):
                    with self.subTest(size=size, delay_s=delay_s, earlier=earlier):
                        network = SimulatedNetwork(size, delay_s, earlier)
                        network.run(READING_S, ("vm0", "vm2"))
                        network.run(silent_s)
                        current = [n for n in range(size) if n not in earlier]
                        self.assertGreater(
                            min(network.get_ages_s(current)), silent_s - 3 * delay_s
                        )

    def test_reading_is_relayed_once_by_each_process(self):
        for size in SIZES:
            for delay_s in DELAYS_S:
                with self.subTest(size=size, delay_s=delay_s):
                    network = SimulatedNetwork(size, delay_s)
                    network.run(STEP_S, ("vm0",))
                    network.run(10.0)
                    neighbours = sum(
                        len(relay.get_neighbours()) for relay in network.relays.values()
                    )
                    first = 2 * neighbours  # The versions at the start, the reading.
                    self.assertLessEqual(len(network.announcements), first)

    def test_entries_read_the_service_in_time_once_readings_end(self):
        silent_s = FALLBACK_AGE_S + 3.0
        for size in SIZES:
            for delay_s in DELAYS_S:
                with self.subTest(size=size, delay_s=delay_s):
                    network = SimulatedNetwork(size, delay_s, is_front=False)
                    network.run(READING_S, ("vm0",))
                    network.run(silent_s)
                    self.assertGreater(min(network.get_ages_s()), FALLBACK_AGE_S)
                    self.assertGreater(min(network.get_vms_ages_s()), FALLBACK_AGE_S)
