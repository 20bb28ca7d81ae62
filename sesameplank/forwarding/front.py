"""The process on a VM that forwards requests: its parts and the stages of its life."""

import contextlib
import random
import time
from collections.abc import Callable, Iterable

import gevent
import msgspec
from gevent.event import Event

from ..conf import PublishedVms, Vm
from ..core.clock import Clock
from ..core.directory import MAX_ADDRESSES, choose_active
from ..core.extra_load import ExtraLoadBounds, ExtraLoadBudget
from ..core.members import make_own_record
from ..core.membership import Membership
from ..core.pauses import BootClock, PauseDetector
from ..core.peer_messages import Member, Phase
from ..core.placement import Placement
from ..core.reader_election import is_elected_reader
from ..core.routes import RequestLimits, RoutingConfiguration
from ..core.target_table import TargetTable
from ..core.versions import AcceptedConfiguration, ConfigurationStore
from ..ids import DataCentre, EntryId
from ..logs import log_event
from ..net import Address
from ..peers import PeerLinks
from ..peers.document_relay import DocumentRelay
from ..peers.framed_transport import FramedTransport
from ..peers.incarnations import make_incarnation
from ..peers.membership import MembershipService
from ..peers.relayed_documents import make_front_documents
from ..published.follower import PublicationFollower, PublicationSource
from .caller_connections import CallerServer
from .connection_shares import ConnectionShares
from .dialect import Dialect
from .forwarder import Forwarder
from .target_connections import TargetPools

HOUSEKEEPING_S = 0.1
FLEET_MEMORY_S = 60.0
STOP_MARGIN_S = 1.5  # Time for the last requests to end.
STOP_CHECK_S = 0.02
LAST_ANSWER_MARGIN_S = 0.3
PULSE_S = 0.5
RELAY_GAP_S = 0.1  # A few hops of it are short beside the seconds to take effect.
WARM_TARGETS = 8  # Of each round of housekeeping, so that a start is no stampede.
COUNTS_INTERVAL_S = 10.0


class FrontSettings(msgspec.Struct, frozen=True):
    """What a process needs to know at its start; times in seconds.

    `vm` is the VM's IP number; `peers` are the peer addresses of a few VMs;
    `capacity` is what the VM can carry beside others.
    """

    vm: EntryId
    data_centre: DataCentre
    caller_address: Address
    peer_address: Address
    peers: tuple[Address, ...]
    capacity: int
    stop_timeout_s: float
    extra_load: ExtraLoadBounds


class Front:
    """Wires the parts; a context manager that starts and ends them."""

    def __init__(
        self,
        settings: FrontSettings,
        source: PublicationSource,
        decode: Callable[[bytes], RoutingConfiguration],
        dialect: Dialect,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.rng = rng
        self.table = TargetTable()
        self.store = ConfigurationStore(clock, decode)
        self.placement = Placement(settings.data_centre, rng)
        self.budget = ExtraLoadBudget(settings.extra_load, clock.now())
        self.pools = TargetPools(clock, dialect, settings.vm)
        self.connections = ConnectionShares(self.table, self.pools)
        self.forwarder = Forwarder(
            clock, dialect, self.table, self.placement, self.budget, self.connections
        )
        self.links = PeerLinks(
            settings.vm,
            make_incarnation(),
            settings.peer_address,
            clock,
            rng,
            FramedTransport(),
        )
        self.membership = Membership(self.make_own(), rng, clock.now())
        self.relay = DocumentRelay(
            self.links,
            self.store,
            make_front_documents(self.store, self.table, clock),
            lambda: self.membership.neighbours,
            clock,
            rng,
            confirmation_interval_s=PULSE_S,
            announcement_interval_s=RELAY_GAP_S,
        )
        self.service = MembershipService(
            self.membership,
            self.links,
            clock,
            self.relay.get_versions,
            self.relay.on_versions,
        )
        self.follower = PublicationFollower(
            source,
            self.store,
            self.table,
            clock,
            rng,
            self.relay.notify,
            self.has_reading_duty,
            self.service.set_store_unavailable,
        )
        self.callers = CallerServer(
            settings.caller_address,
            self.forwarder.serve,
            self.get_limits,
            clock.now,
        )
        self.store.listeners.append(self.on_accepted)
        self.pauses = PauseDetector(BootClock())
        self.fleet_sizes: list[tuple[float, int]] = []
        self.revision = 0
        self.started_at = self.logged_at = clock.now()
        self.contacts = {EntryId(peer.host) for peer in settings.peers}
        self.active: list[Member] = []
        self.active_for: tuple | None = None
        self.is_stopping = False
        self.stopped = Event()
        self.resources = contextlib.ExitStack()

    def make_own(self) -> Member:
        """Return the record of this process."""
        settings = self.settings
        vm = Vm(
            settings.vm,
            str(settings.caller_address),
            str(settings.peer_address),
            settings.data_centre,
        )
        return make_own_record(vm, self.links.incarnation, settings.capacity)

    def __enter__(self) -> "Front":
        with contextlib.ExitStack() as stack:
            stack.enter_context(self.links)
            self.learn_peers(self.settings.peers)
            loops = (
                self.service.run,
                self.relay.run,
                self.follower.run,
                self.keep_house,
            )
            for loop in loops:
                stack.callback(gevent.spawn(loop).kill)
            stack.enter_context(self.callers)
            self.resources = stack.pop_all()
        log_event("started", vm=self.settings.vm, zone=self.settings.data_centre)
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.resources.close()
        log_event("stopped", in_flight=self.callers.in_flight)

    @property
    def is_ready(self) -> bool:
        """Tell whether callers should be sent here."""
        return (
            not self.is_stopping
            and self.store.current is not None
            and self.table.revision > 0
        )

    def has_reading_duty(self, view_age_s: float | None) -> bool:
        """Tell whether this process has to read the platform's store now."""
        return is_elected_reader(
            self.settings.vm,
            self.get_serving(),
            view_age_s,
            self.contacts,
            self.clock.now() - self.started_at,
        )

    def get_serving(self) -> list[Member]:
        """Return the members that serve, this one included."""
        members = self.membership.members
        return [members[entry] for entry in self.membership.get_serving()]

    def get_limits(self) -> RequestLimits:
        """Return the limits of the configuration in force."""
        routing = self.forwarder.routing
        return routing.limits if routing else RequestLimits()

    def learn_peers(self, peers: Iterable[Address]) -> None:
        """Dial the VMs that the settings name; they tell of the others."""
        vms = tuple(
            Vm(
                EntryId(peer.host),
                str(Address(peer.host, self.settings.caller_address.port)),
                str(peer),
                DataCentre(""),
            )
            for peer in peers
        )
        self.service.on_published(PublishedVms(1, vms))

    def on_accepted(self, accepted: AcceptedConfiguration) -> None:
        """Serve by a configuration that came into force."""
        routing = accepted.configuration
        self.forwarder.set_routing(routing)
        log_event(
            "config_in_force", version=accepted.version, routes=len(routing.routes)
        )
        self.relay.notify()

    def keep_house(self) -> None:
        """Follow what changes slowly, until killed."""
        while True:
            self.check_pause()
            self.follow_table()
            self.forwarder.set_fleet_size(self.get_fleet_size())
            if any(member.id == self.settings.vm for member in self.get_active()):
                self.connections.warm(WARM_TARGETS)
            self.log_counts()
            gevent.sleep(HOUSEKEEPING_S)

    def check_pause(self) -> None:
        """Learn anew what may have changed if this process was stopped."""
        pause_s = self.pauses.check()
        if not pause_s:
            return
        log_event("pause_noticed", pause_s=pause_s)
        self.service.on_pause()
        self.follower.read_again()
        gevent.spawn(self.relay.catch_up, self.membership.get_present())

    def follow_table(self) -> None:
        """Forget targets that are gone and open connections to new ones."""
        now = self.clock.now()
        self.table.expire(now)
        if self.revision == self.table.revision:
            return
        self.revision = self.table.revision
        self.pools.keep_only(self.table.is_listed)
        self.placement.keep_only([*self.table.records, *self.table.leaving])

    def log_counts(self) -> None:
        """Log every few seconds what was counted since the start."""
        now = self.clock.now()
        if now - self.logged_at < COUNTS_INTERVAL_S:
            return
        self.logged_at = now
        log_event("counts", **self.get_gauges(), **self.forwarder.metrics.counts)

    def get_gauges(self) -> dict[str, float]:
        """Return what holds at this moment, for logs and metrics."""
        age_s = self.store.age_s
        return {
            "fleet_size": self.connections.fleet_size,
            "config_version": self.store.version,
            "config_age_s": -1.0 if age_s is None else age_s,
            "targets_revision": self.table.revision,
            "targets": len(self.table.records),
            "in_flight": self.callers.in_flight,
            "connections_opened": self.pools.opened,
            "copies_refused": self.budget.refused,
        }

    def render_metrics(self) -> str:
        """Return counters, gauges and latencies as scrapers read them."""
        return self.forwarder.metrics.render(self.get_gauges())

    def get_state(self) -> dict:
        """Return what this process believes, for a dump."""
        now = self.clock.now()
        return {
            "vm": self.settings.vm,
            "is_ready": self.is_ready,
            "is_stopping": self.is_stopping,
            "gauges": self.get_gauges(),
            "members": {
                member.id: {
                    "address": member.address,
                    "data_centre": member.data_centre,
                    "phase": member.phase.name.lower(),
                    "health": member.health.name.lower(),
                }
                for member in self.membership.members.values()
            },
            "targets": {
                record.id: {
                    "service": record.service,
                    "address": record.address,
                    "phase": record.phase.value,
                    "in_flight": len(self.placement.get(record.id).in_flight),
                    "slowness": self.placement.get(record.id).slowness.get(now),
                    "is_avoided": self.placement.is_avoided(record.id, now),
                }
                for record in self.table.records.values()
            },
        }

    def get_fleet_size(self) -> int:
        """Return the most VMs that callers were sent to at a time of late.

        Without a configuration, callers were sent to all, but none was served.
        """
        now = self.clock.now()
        size = len(self.get_active())
        if self.store.current is None:
            return size
        if not self.fleet_sizes or self.fleet_sizes[-1][1] != size:
            self.fleet_sizes.append((now, size))
        oldest = now - FLEET_MEMORY_S
        self.fleet_sizes = [
            item
            for number, item in enumerate(self.fleet_sizes)
            if item[0] >= oldest or number == len(self.fleet_sizes) - 1
        ]
        return max(size for _, size in self.fleet_sizes)

    def get_addresses(self) -> list[str]:
        """Return the addresses that callers should use."""
        return [member.address for member in self.get_active()][:MAX_ADDRESSES]

    def get_active(self) -> list[Member]:
        """Return the members that callers are sent to, chosen anew after changes."""
        state = (
            self.membership.last_change_at,
            self.store.version,
            self.table.revision,
        )
        if state != self.active_for:
            self.active_for = state
            self.active = choose_active(
                self.get_serving(),
                self.count_replicas(),
                self.connections.get_useful_fleet(),
            )
        return self.active

    def count_replicas(self) -> dict[DataCentre, int]:
        """Return how many targets of sharded services each data centre holds."""
        counts: dict[DataCentre, int] = {}
        for shard in self.connections.shards:
            for record in self.table.get_ready(shard):
                counts[record.data_centre] = counts.get(record.data_centre, 0) + 1
        return counts

    def request_stop(self) -> None:
        """Leave the fleet and end before the platform kills this process."""
        if not self.is_stopping:
            self.is_stopping = True
            gevent.spawn(self.stop)

    def stop(self) -> None:
        """Serve on while callers still know this address, then finish."""
        stop_at = time.monotonic() + self.settings.stop_timeout_s
        log_event("leaving", in_flight=self.callers.in_flight)
        self.callers.is_stopping = True
        self.service.leave(Phase.LEAVING)
        gevent.sleep(max(0.0, stop_at - STOP_MARGIN_S - time.monotonic()))
        self.callers.stop_accepting()
        last_at = stop_at - LAST_ANSWER_MARGIN_S
        self.callers.close_idle()
        while self.callers.connections and time.monotonic() < last_at:
            gevent.sleep(STOP_CHECK_S)
            self.callers.close_idle()
        self.service.leave(Phase.LEFT)
        gevent.sleep(STOP_CHECK_S)
        self.stopped.set()

    def wait(self) -> None:
        """Wait until the process has left the fleet."""
        self.stopped.wait()
