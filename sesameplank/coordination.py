"""How one entry acts with the others: starting, waking up, and leaving."""

import random
import time
from collections.abc import Callable

import gevent
import msgspec

from .conf import Vm, VmState
from .core.clock import Clock
from .core.members import make_own_record
from .core.membership import Membership
from .core.pauses import BootClock, PauseDetector
from .core.peer_messages import Phase
from .core.readers import choose_readers
from .core.versions import AcceptedConfiguration, ConfigurationStore, VmStore
from .ids import DataCentre, EntryId
from .logs import log_event
from .net import Address
from .peers import PeerLinks
from .peers.document_relay import DocumentRelay
from .peers.membership import MembershipService
from .peers.relayed_documents import make_entry_documents
from .published.reader import PlatformReader
from .published.watch import ConfigurationWatch, ReadPolicy, VmWatch
from .serving import ServingGate, ServingState

PAUSE_CHECK_S = 0.1
START_CHECK_S = 0.02
ANNOUNCE_MARGIN_S = 0.5
LAST_WORDS_S = 0.2
REFRESH_MIN_S = 0.2


class CoordinationSettings(msgspec.Struct, frozen=True):
    """The settings of coordination; times in seconds.

    `start_spread_s` spreads the first reads of processes that start together;
    `drain_timeout_s` bounds how long a stop waits for requests in flight.
    """

    entry_id: EntryId
    data_centre: DataCentre
    address: Address
    peer_address: Address
    platform_address: Address
    address_ttl_s: float
    start_spread_s: float
    drain_timeout_s: float


class ReaderRole:
    """Tells whether this entry reads the platform for its data centre."""

    def __init__(self, membership: Membership, vms: VmStore) -> None:
        self.membership = membership
        self.vms = vms
        self.decided_for: tuple[int, float] | None = None
        self.is_reader = False

    def check(self) -> bool:
        """Return the role, decided anew when the list or the view changed."""
        state = (self.vms.version, self.membership.last_change_at)
        if state != self.decided_for and self.vms.current is not None:
            present = self.membership.get_present()
            readers = choose_readers(self.vms.current, present)
            self.is_reader = self.membership.own_id in readers
            self.decided_for = state
        return self.is_reader


class Coordination:
    """Membership, configuration and the stages of this process's life."""

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
        self.membership = Membership(self.make_own(), rng, clock.now())
        self.relay = DocumentRelay(
            links,
            store,
            make_entry_documents(store, self.vms),
            lambda: self.membership.neighbours,
            clock,
            rng,
        )
        self.service = MembershipService(
            self.membership,
            links,
            clock,
            self.relay.get_versions,
            self.relay.on_versions,
        )
        self.role = ReaderRole(self.membership, self.vms)
        self.config_reader = PlatformReader(settings.platform_address)
        self.vm_reader = PlatformReader(settings.platform_address)
        self.pauses = PauseDetector(BootClock())
        self.refreshing: gevent.Greenlet | None = None
        self.prepare: Callable[[], None] = lambda: None
        gate.before_admission = self.check_pause
        self.vms.listeners.append(self.service.on_published)
        self.vms.listeners.append(lambda vms: self.relay.notify())
        store.listeners.append(self.on_accepted)

    def make_own(self):
        """Return the record of this process."""
        settings = self.settings
        vm = Vm(
            settings.entry_id,
            str(settings.address),
            str(settings.peer_address),
            settings.data_centre,
        )
        return make_own_record(vm, self.links.incarnation)

    def on_accepted(self, accepted: AcceptedConfiguration) -> None:
        """Let the relay announce a configuration that came into force."""
        delay_s = time.time() - accepted.published.published_at
        log_event("config_in_force", version=accepted.version, after_s=delay_s)
        self.relay.notify()

    def start(self) -> list[gevent.Greenlet]:
        """Start the loops and return them."""
        policy = ReadPolicy(
            self.role.check,
            lambda: len(self.membership.get_present()),
            self.settings.start_spread_s,
        )
        loops = (
            self.service.run,
            self.relay.run,
            self.watch_pauses,
            VmWatch(self.vms, self.vm_reader, policy, self.clock, self.rng).run,
            ConfigurationWatch(
                self.store, self.config_reader, policy, self.clock, self.rng
            ).run,
            self.become_ready,
        )
        return [gevent.spawn(loop) for loop in loops]

    def become_ready(self) -> None:
        """Open the gate once peers were asked for a newer configuration.

        `prepare` runs last, with the configuration in force.
        """
        while self.vms.current is None:
            gevent.sleep(START_CHECK_S)
        answers = self.relay.catch_up(self.get_peers())
        while self.store.current is None:
            gevent.sleep(START_CHECK_S)
        self.prepare()
        log_event("ready", config_version=self.store.version, peers_asked=answers)
        self.gate.set_state(ServingState.OPEN)

    def get_peers(self) -> list[EntryId]:
        """Return the entries that may hold something newer."""
        listed = [vm.id for vm in self.vms.current.vms] if self.vms.current else []
        return sorted({*listed, *self.membership.get_present()})

    def watch_pauses(self) -> None:
        """Check often whether this process was stopped, until killed."""
        while True:
            self.check_pause()
            gevent.sleep(PAUSE_CHECK_S)

    def check_pause(self) -> None:
        """Close the gate for a refresh if this process was stopped."""
        pause_s = self.pauses.check()
        if not pause_s or self.gate.state is ServingState.STARTING:
            return
        log_event("pause_noticed", pause_s=pause_s)
        self.gate.set_state(ServingState.REFRESHING)
        self.service.on_pause()
        if self.refreshing is None or self.refreshing.dead:
            self.refreshing = gevent.spawn(self.refresh)

    def refresh(self) -> None:
        """Ask peers what has changed, and open the gate again.

        What waited in buffers meanwhile is refused as not run, since its
        callers may have given up on it long ago.
        """
        started_at = self.clock.now()
        answers = self.relay.catch_up(self.get_peers())
        gevent.sleep(max(0.0, REFRESH_MIN_S - (self.clock.now() - started_at)))
        log_event("refreshed", peers_asked=answers, config_version=self.store.version)
        if self.gate.state is ServingState.REFRESHING:
            self.gate.set_state(ServingState.OPEN)

    def get_addresses(self) -> list[str]:
        """Return the addresses that callers may be given.

        An entry is left out if the list or the entry itself says that it is
        leaving, or if peers confirmed it dead. One that was never heard is
        given only when no entry is known to serve.
        """
        listed = {vm.id: vm for vm in self.vms.current.vms} if self.vms.current else {}
        serving = []
        for entry in self.membership.get_serving():
            vm = listed.get(entry)
            if vm is None:
                serving.append(self.membership.members[entry].address)
            elif vm.state is VmState.LIVE:
                serving.append(vm.address)
        return serving or [
            vm.address for vm in listed.values() if vm.state is VmState.LIVE
        ]

    def leave(self) -> None:
        """Announce, serve until cached addresses ran out, then finish.

        Takes at most `address_ttl_s` + `drain_timeout_s` and about a second.
        """
        log_event("leaving", in_flight=self.gate.in_flight)
        self.service.leave(Phase.LEAVING)
        gevent.sleep(self.settings.address_ttl_s + ANNOUNCE_MARGIN_S)
        self.gate.set_state(ServingState.CLOSED)
        finished = self.gate.idle.wait(self.settings.drain_timeout_s)
        self.service.leave(Phase.LEFT)
        gevent.sleep(LAST_WORDS_S)
        log_event("left", finished=finished, refused=self.gate.refused)

    def get_state(self) -> dict:
        """Return the part of the state dump that is about the fleet."""
        counters = self.links.counters
        return {
            "members": {
                member.id: {
                    "incarnation": member.incarnation,
                    "epoch": member.epoch,
                    "phase": member.phase.name.lower(),
                    "health": member.health.name.lower(),
                    "is_published": member.id in self.membership.published,
                }
                for member in self.membership.members.values()
            },
            "neighbours": self.membership.neighbours,
            "is_reader": self.role.check(),
            "connected": sorted(filter(self.links.is_connected, self.links.channels)),
            "sent": counters.sent,
            "received": counters.received,
            "dropped": counters.dropped,
            "platform_calls": self.config_reader.calls + self.vm_reader.calls,
            "pauses": self.pauses.pauses,
            "longest_pause_s": self.pauses.longest_s,
            "serving": self.gate.state,
            "in_flight": self.gate.in_flight,
        }
