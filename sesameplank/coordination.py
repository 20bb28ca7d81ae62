"""Coordination of one entry with the others: start, recovery from pauses, shutdown."""

import random
import time
from collections.abc import Callable

import gevent
import msgspec

from .conf import Vm, VmState
from .core.common.clock import Clock
from .core.common.pauses import BootClock, EventAge, PauseDetector
from .core.membership.directory import leave_out_stale
from .core.membership.members import make_own_record
from .core.membership.membership import Membership
from .core.membership.readers import choose_readers
from .core.published.versions import AcceptedConfiguration, ConfigurationStore, VmStore
from .ids import DataCentre, EntryId
from .logs import log_event
from .loops import BackgroundLoops
from .net import Address
from .peers import PeerLinks
from .peers.document_relay import DocumentRelay
from .peers.membership import MembershipService
from .peers.relayed_documents import make_entry_documents
from .published.reader import PlatformReader
from .published.watch import ConfigurationWatch, ReadPolicy, VmWatch
from .serving import ServingGate, ServingState
from .view_check import ViewCheck

PAUSE_CHECK_INTERVAL_S = 0.1
START_CHECK_INTERVAL_S = 0.02
MIN_REFRESH_S = 0.2  # requests buffered during a pause are refused meanwhile


class CoordinationSettings(msgspec.Struct, frozen=True):
    """The settings of coordination.

    `start_spread_s` is the window in seconds over which processes that start together
    spread their first reads.
    """

    entry_id: EntryId
    data_centre: DataCentre
    address: Address
    peer_address: Address
    platform_address: Address
    start_spread_s: float


class ReaderElection:
    """Decides whether this entry reads the platform's service for its data centre."""

    def __init__(self, membership: Membership, vms: VmStore) -> None:
        self.membership = membership
        self.vms = vms
        self.decision_inputs: tuple[int, float] | None = None
        self.is_reader = False

    def is_elected(self) -> bool:
        """Return whether this entry is an elected reader.

        The result is computed again if the VM list or the membership changed.
        """
        state = (self.vms.version, self.membership.last_change_at)
        if state != self.decision_inputs and self.vms.current is not None:
            present = self.membership.get_present()
            readers = choose_readers(self.vms.current, present)
            self.is_reader = self.membership.own_id in readers
            self.decision_inputs = state
        return self.is_reader


class Coordination:
    """Membership, configuration and lifecycle of this process."""

    def __init__(
        self,
        settings: CoordinationSettings,
        links: PeerLinks,
        store: ConfigurationStore,
        gate: ServingGate,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.links = links
        self.store = store
        self.gate = gate
        self.clock = clock
        self.rng = rng
        self.vms = VmStore()
        self.membership = Membership(self.make_own_member(), rng, clock.now())
        self.document_relay = DocumentRelay(
            links,
            store,
            make_entry_documents(store, self.vms),
            lambda: self.membership.neighbours,
            clock,
            rng,
        )
        self.membership_service = MembershipService(
            self.membership,
            links,
            clock,
            self.document_relay.get_versions,
            self.document_relay.on_versions,
        )
        self.reader_election = ReaderElection(self.membership, self.vms)
        self.config_reader = PlatformReader(settings.platform_address)
        self.vm_reader = PlatformReader(settings.platform_address)
        policy = ReadPolicy(
            self.reader_election.is_elected,
            lambda: len(self.membership.get_present()),
            settings.start_spread_s,
        )
        self.vm_watch = VmWatch(self.vms, self.vm_reader, policy, clock, rng)
        self.config_watch = ConfigurationWatch(
            store, self.config_reader, policy, clock, rng
        )
        self.pause_detector = PauseDetector(BootClock())
        self.event_age = EventAge(BootClock())
        self.refresh_greenlet: gevent.Greenlet | None = None
        self.warm_up: Callable[[], None] = lambda: None
        gate.before_admission = self.check_pause
        self.vms.listeners.append(self.membership_service.on_published)
        self.vms.listeners.append(lambda vms: self.document_relay.notify())
        store.listeners.append(self.on_accepted)

    def make_own_member(self):
        """Return the membership record of this process."""
        settings = self.settings
        vm = Vm(
            settings.entry_id,
            str(settings.address),
            str(settings.peer_address),
            settings.data_centre,
        )
        return make_own_record(vm, self.links.incarnation)

    def on_accepted(self, accepted: AcceptedConfiguration) -> None:
        """Log a configuration that came into force, and announce it to peers."""
        delay_s = time.time() - accepted.published.published_at
        log_event("config_in_force", version=accepted.version, after_s=delay_s)
        self.document_relay.notify()

    def add_loops(self, loops: BackgroundLoops) -> None:
        """Add the loops of this component, which run as long as the process."""
        loops.add("membership", self.membership_service.run_round)
        loops.add("relay", self.document_relay.run_round)
        loops.add("pauses", self.watch_pauses)
        loops.add("vms", self.vm_watch.run_round)
        reading = loops.add("configuration", self.config_watch.run_round)
        self.view_check = ViewCheck(
            self.store,
            self.clock,
            reading,
            lambda: {"vms_version": self.vms.version},
            self.membership_service.set_view_stale,
        )
        loops.add("view", self.view_check.run_round)
        loops.add_once("start", self.become_ready)

    def become_ready(self) -> None:
        """Open the gate when this entry has a VM list and a configuration.

        Before that, a newer configuration is requested from peers. `warm_up` runs
        just before the gate opens.
        """
        while self.vms.current is None:
            gevent.sleep(START_CHECK_INTERVAL_S)
        answers = self.document_relay.catch_up(self.get_peers())
        while self.store.current is None:
            gevent.sleep(START_CHECK_INTERVAL_S)
        self.warm_up()
        log_event("ready", config_version=self.store.version, peers_asked=answers)
        self.gate.set_state(ServingState.OPEN)

    def get_peers(self) -> list[EntryId]:
        """Return the ids of all entries that may have newer documents."""
        listed = [vm.id for vm in self.vms.current.vms] if self.vms.current else []
        return sorted({*listed, *self.membership.get_present()})

    def watch_pauses(self) -> None:
        """Check for a pause of this process, and wait for PAUSE_CHECK_INTERVAL_S."""
        self.event_age.note_round()
        self.check_pause()
        gevent.sleep(PAUSE_CHECK_INTERVAL_S)

    def check_pause(self) -> None:
        """Refuse new requests and start a refresh if this process was paused.

        A process that is still starting ignores the pause.
        """
        pause_s = self.pause_detector.check()
        if not pause_s or self.gate.state is ServingState.STARTING:
            return
        log_event("pause_noticed", pause_s=pause_s)
        self.gate.set_state(ServingState.REFRESHING)
        self.membership_service.on_pause()
        if self.refresh_greenlet is None or self.refresh_greenlet.dead:
            self.refresh_greenlet = gevent.spawn(self.refresh)

    def refresh(self) -> None:
        """Request updates from peers, then open the gate again.

        Requests that waited in buffers during the pause are refused as not run,
        since their callers may have abandoned them long ago.
        """
        started_at = self.clock.now()
        try:
            answers = self.document_relay.catch_up(self.get_peers())
            gevent.sleep(max(0.0, MIN_REFRESH_S - (self.clock.now() - started_at)))
            log_event(
                "refreshed", peers_asked=answers, config_version=self.store.version
            )
        finally:
            if self.gate.state is ServingState.REFRESHING:
                self.gate.set_state(ServingState.OPEN)

    def get_addresses(self) -> list[str]:
        """Return the addresses of the entries that callers may use.

        An entry is left out if the VM list or the entry itself states that it is
        leaving, if peers confirmed that it is dead, or if it has lost its links to
        targets while others have not. One with a stale view is left out while enough
        others are current. An entry without any contact so far is included only if no
        entry is known to serve.
        """
        listed = {vm.id: vm for vm in self.vms.current.vms} if self.vms.current else {}
        live = [vm for vm in listed.values() if vm.state is VmState.LIVE]
        serving = [
            self.membership.members[entry]
            for entry in self.membership.get_serving_with_targets()
            if entry not in listed or listed[entry].state is VmState.LIVE
        ]
        addresses = [
            listed[member.id].address if member.id in listed else member.address
            for member in leave_out_stale(serving)
        ]
        return addresses or [vm.address for vm in live]

    def get_state(self) -> dict:
        """Return the part of the state dump that describes the fleet."""
        counters = self.links.counters
        return {
            "members": {
                member.id: {
                    "incarnation": member.incarnation,
                    "epoch": member.epoch,
                    "phase": member.phase.name.lower(),
                    "health": member.health.name.lower(),
                    "reaches_targets": member.reaches_targets,
                    "is_view_stale": member.is_view_stale,
                    "is_published": member.id in self.membership.published,
                }
                for member in self.membership.members.values()
            },
            "neighbours": self.membership.neighbours,
            "is_reader": self.reader_election.is_elected(),
            "connected": sorted(filter(self.links.is_connected, self.links.channels)),
            "sent": counters.sent,
            "received": counters.received,
            "dropped": counters.dropped,
            "vms_age_s": self.vms.confirmation.get_age_s(self.clock.now()),
            "read_failures": {
                watch.name: watch.failures
                for watch in (self.config_watch, self.vm_watch)
            },
            "platform_calls": self.config_reader.calls + self.vm_reader.calls,
            "pauses": self.pause_detector.pauses,
            "longest_pause_s": self.pause_detector.longest_s,
            "serving": self.gate.state,
            "in_flight": self.gate.in_flight,
        }
