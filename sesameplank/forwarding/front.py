"""The forwarding process of a VM: its components, start, operation and shutdown."""

import contextlib
import random
from collections.abc import Callable, Iterable

import msgspec

from ..conf import PublishedVms, Vm
from ..core.common.clock import Clock
from ..core.forwarding.batches import AggregatorChoice
from ..core.forwarding.down_targets import DownTargets
from ..core.forwarding.extra_load import ExtraLoadBounds, ExtraLoadBudget
from ..core.forwarding.placement import Placement
from ..core.forwarding.target_reach import (
    SILENCE_S,
    ProbedTarget,
    ReachState,
    TargetReach,
)
from ..core.limits.limit_parts import ActiveVmParts
from ..core.limits.target_limits import TargetLimits
from ..core.membership.directory import MAX_ADDRESSES, choose_active, leave_out_stale
from ..core.membership.members import make_own_record
from ..core.membership.membership import Membership
from ..core.membership.peer_messages import Member
from ..core.membership.reader_election import START_WINDOW_S, is_elected_reader
from ..core.membership.readers import draw_start_delay
from ..core.published.routes import RequestLimits, RoutingConfiguration
from ..core.published.target_table import TargetTable
from ..core.published.versions import AcceptedConfiguration, ConfigurationStore
from ..core.quarantine.request_quarantine import RequestQuarantine
from ..crash_guard import CrashGuard
from ..ids import DataCentre, EntryId, RequestId
from ..limit_log import LimitLog
from ..logs import log_event
from ..loops import BackgroundLoops
from ..net import Address
from ..peers import PeerLinks
from ..peers.document_relay import DocumentRelay
from ..peers.framed_transport import FramedTransport
from ..peers.incarnations import make_incarnation
from ..peers.membership import MembershipService
from ..peers.relayed_documents import make_front_documents
from ..published.follower import PublicationFollower, PublicationSource
from ..quarantine_log import QuarantineLog
from ..quarantine_notices import QuarantineNotices
from ..reach_probes import ReachProbes
from ..view_check import ViewCheck
from .answer_accounts import AnswerAccounts
from .batch_server import BatchServer
from .call_batches import CallBatches
from .caller_server import CallerServer
from .connection_shares import ConnectionShares
from .dialect import Dialect
from .forwarder import BATCH, Forwarder
from .front_report import make_gauges, make_state
from .housekeeping import HOUSEKEEPING_INTERVAL_S, Housekeeping
from .http_messages import Request
from .late_notices import LateNotices
from .limit_notices import LimitNotices
from .lookup_notices import LookupNotices
from .loop_delay import LoopDelay
from .replaced_targets import ReplacedTargets
from .shutdown import Shutdown
from .suspect_requests import SuspectRequests
from .target_availability import TargetAvailability
from .target_pools import PoolContext, TargetPools

RELAY_CONFIRMATION_INTERVAL_S = 0.5  # To announce that the view is still current.
# Over a few hops, this adds little to the seconds that an update may take.
RELAY_ANNOUNCEMENT_INTERVAL_S = 0.1


class FrontSettings(msgspec.Struct, frozen=True):
    """The settings of a forwarding process; times are in seconds.

    `vm` is the IP address of the VM, `peers` are the peer addresses of a few VMs
    to connect to first, and `capacity` is the capacity of the VM relative to that
    of the others.
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
    """The components of a forwarding process, as a context manager that runs them."""

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
        self.seed_ids = {EntryId(peer.host) for peer in settings.peers}
        self.limit_parts = ActiveVmParts(
            settings.vm, len({*self.seed_ids, settings.vm})
        )
        self.limits = TargetLimits(self.limit_parts)
        limit_log = LimitLog(clock, lambda: {"targets_revision": self.table.revision})
        limit_log.follow(self.limits)
        self.reach = TargetReach(rng, clock.now())
        self.quarantine = RequestQuarantine()
        self.down_targets = DownTargets()
        self.crash_guard = CrashGuard(
            clock,
            self.quarantine,
            self.reach,
            lambda target: self.table.find_ready(target) is not None,
            lambda: {"targets_revision": self.table.revision},
        )
        self.links = PeerLinks(
            settings.vm,
            make_incarnation(),
            settings.peer_address,
            clock,
            rng,
            FramedTransport(),
        )
        self.availability = TargetAvailability(
            self.links,
            clock,
            self.table,
            self.get_other_serving,
            lambda event: self.forwarder.count(event),
        )
        self.pools = TargetPools(
            PoolContext(
                clock,
                dialect,
                settings.vm,
                self.limits,
                self.reach,
                self.crash_guard,
                self.down_targets,
                self.availability,
            )
        )
        self.reach_probes = ReachProbes(
            self.reach,
            clock,
            settings.vm,
            self.get_probed_targets,
            self.pools.get_longest_wait_s,
            lambda: {"targets_revision": self.table.revision},
        )
        self.connection_shares = ConnectionShares(self.table, self.pools)
        self.forwarder = Forwarder(
            clock,
            dialect,
            self.table,
            self.placement,
            self.budget,
            self.connection_shares,
            self.limits,
            self.reach,
            self.crash_guard,
            self.down_targets,
            self.availability,
        )
        self.membership = Membership(self.make_own_member(), rng, clock.now())
        self.relay = DocumentRelay(
            self.links,
            self.store,
            make_front_documents(self.store, self.table, clock),
            lambda: self.membership.neighbours,
            clock,
            rng,
            confirmation_interval_s=RELAY_CONFIRMATION_INTERVAL_S,
            announcement_interval_s=RELAY_ANNOUNCEMENT_INTERVAL_S,
        )
        self.membership_service = MembershipService(
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
            self.is_elected_reader,
            self.membership_service.set_store_unavailable,
            lambda: self.loop_delay.get_stall_s(clock.now()),
        )
        self.lookups = LookupNotices(self.links, clock, self.get_other_active)
        self.caller_server = CallerServer(
            settings.caller_address,
            self.forwarder.serve,
            self.get_limits,
            clock.now,
            self.lookups.may_have_looked_up,
            AnswerAccounts(
                self.forwarder.log, self.forwarder.count, self.get_request_id
            ),
        )
        self.replaced_targets = ReplacedTargets(
            self.links, clock, self.table, self.pools, self.get_other_active
        )
        self.forwarder.replaced_targets = self.replaced_targets
        self.batch_server = BatchServer(
            self.links,
            clock,
            dialect,
            self.table,
            self.placement,
            self.connection_shares,
            self.replaced_targets,
            self.forwarder.count,
            lambda call: self.forwarder.count_transmitted(call, BATCH),
            self.reach,
            self.crash_guard,
            lambda: self.loop_delay.get_delay_s(clock.now()),
            self.forwarder.log,
        )
        self.aggregator_choice = AggregatorChoice(settings.vm, rng)
        self.forwarder.batches = CallBatches(
            self.links,
            settings.data_centre,
            clock,
            self.aggregator_choice,
            self.get_addressed,
            self.forwarder.count,
        )
        self.forwarder.late_notices = LateNotices(
            self.links, clock, rng, self.placement, self.get_other_active
        )
        self.limit_notices = LimitNotices(
            self.links,
            clock,
            rng,
            self.limits,
            self.limit_parts,
            self.table,
            self.get_other_active,
        )
        self.quarantine_notices = QuarantineNotices(
            self.links,
            clock,
            rng,
            self.quarantine,
            self.get_other_active,
            self.membership.get_present,
        )
        self.suspect_requests = SuspectRequests(
            clock,
            self.crash_guard,
            self.table,
            self.down_targets,
            self.pools,
            self.forwarder,
        )
        QuarantineLog(clock, self.quarantine, self.forwarder.count)
        self.reach_probes.listeners.append(self.on_reach_change)
        self.store.listeners.append(self.on_accepted)
        self.started_at = clock.now()
        self.first_read_at = self.started_at + draw_start_delay(START_WINDOW_S, rng)
        self.active: list[Member] = []
        self.active_state: tuple | None = None
        self.useful_vms: int | None = None
        self.heard_vms = 1
        self.loop_delay = LoopDelay(HOUSEKEEPING_INTERVAL_S)
        self.shutdown = Shutdown(
            clock,
            settings.stop_timeout_s,
            self.caller_server,
            self.forwarder,
            self.batch_server,
            self.membership_service,
            self.loop_delay,
        )
        self.loops = BackgroundLoops(clock)
        self.housekeeping = Housekeeping(self)
        self.add_loops()
        self.resources = contextlib.ExitStack()

    def add_loops(self) -> None:
        """Add the loops of this process."""
        self.loops.add("membership", self.membership_service.run_round)
        self.loops.add("relay", self.relay.run_round)
        reading = self.loops.add("store", self.follower.run_round)
        self.view_check = ViewCheck(
            self.store,
            self.clock,
            reading,
            self.get_target_versions,
            self.membership_service.set_view_stale,
        )
        self.loops.add("view", self.view_check.run_round)
        self.loops.add("links", self.links.close_idle)
        self.loops.add("pause_checks", self.housekeeping.watch_pauses)
        self.loops.add("housekeeping", self.housekeeping.run_round)

    def get_target_versions(self) -> dict[str, int]:
        """Return the version of the list of targets as fields of log lines."""
        return {
            "targets_era": self.table.era,
            "targets_revision": self.table.revision,
        }

    def make_own_member(self) -> Member:
        """Return the membership record of this process."""
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
            self.add_seed_peers(self.settings.peers)
            stack.enter_context(self.pools)
            stack.enter_context(self.loops)
            stack.enter_context(self.caller_server)
            self.resources = stack.pop_all()
        log_event("started", vm=self.settings.vm, zone=self.settings.data_centre)
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.resources.close()
        self.shutdown.log_step("stopped", **self.shutdown.get_totals())

    @property
    def is_ready(self) -> bool:
        """Return whether callers should be sent to this process."""
        return (
            not self.shutdown.is_requested
            and self.store.current is not None
            and self.table.revision > 0
        )

    def is_elected_reader(self, view_age_s: float | None) -> bool:
        """Return whether this process has to read the platform's store now.

        `view_age_s` is the time in seconds since its view was known to be current,
        or None if it never was.
        """
        return is_elected_reader(
            self.settings.vm,
            self.get_serving(),
            view_age_s,
            self.seed_ids,
            self.clock.now() >= self.first_read_at,
        )

    def get_serving(self) -> list[Member]:
        """Return the members that serve requests, including this process."""
        members = self.membership.members
        return [members[member_id] for member_id in self.membership.get_serving()]

    def get_other_serving(self) -> list[EntryId]:
        """Return the ids of the other VMs that serve, also those without links."""
        own = self.settings.vm
        return [item for item in self.membership.get_serving() if item != own]

    def get_limits(self) -> RequestLimits:
        """Return the request limits of the configuration in force, or defaults."""
        routing = self.forwarder.routing
        return routing.limits if routing else RequestLimits()

    def add_seed_peers(self, peers: Iterable[Address]) -> None:
        """Connect to the VMs named in the settings, which report the other VMs."""
        vms = tuple(
            Vm(
                EntryId(peer.host),
                str(Address(peer.host, self.settings.caller_address.port)),
                str(peer),
                DataCentre(""),
            )
            for peer in peers
        )
        self.membership_service.on_published(PublishedVms(1, vms))

    def on_accepted(self, accepted: AcceptedConfiguration) -> None:
        """Apply a configuration that has come into force, and notify the peers."""
        routing = accepted.configuration
        self.forwarder.set_routing(routing)
        log_event(
            "config_in_force", version=accepted.version, routes=len(routing.routes)
        )
        self.relay.notify()

    def get_probed_targets(self) -> list[ProbedTarget]:
        """Return the targets that requests may be sent to, for probes.

        Any program may list targets of other services, which need not exist.
        """
        routing = self.forwarder.routing
        return [
            ProbedTarget(service, record.address)
            for service in (routing.get_routed_services() if routing else ())
            for record in self.table.get_ready(service)
        ]

    def on_reach_change(self, state: ReachState) -> None:
        """Announce lost or regained links to targets, and use other ways for calls."""
        is_lost = state is ReachState.LOST
        self.membership_service.set_reaches_targets(not is_lost)
        self.placement.forgive()
        if is_lost:
            is_silent = self.clock.now() - self.reach.heard_at >= SILENCE_S
            self.pools.give_up(is_silent=is_silent)

    def get_gauges(self) -> dict[str, float]:
        """Return the current values of the gauges, for logs and metrics."""
        return make_gauges(self)

    def render_metrics(self) -> str:
        """Return counters, gauges and latencies in the Prometheus text format."""
        return self.forwarder.metrics.render(self.get_gauges())

    def get_state(self) -> dict:
        """Return the state of this process for a dump, as JSON-compatible values."""
        return make_state(self)

    @property
    def is_active(self) -> bool:
        """Whether callers are sent to this VM."""
        return any(member.id == self.settings.vm for member in self.get_active())

    def get_addresses(self) -> list[str]:
        """Return the addresses that callers should use."""
        return [member.address for member in self.get_addressed()][:MAX_ADDRESSES]

    def get_addressed(self) -> list[Member]:
        """Return the active members, without those whose view is stale."""
        return leave_out_stale(self.get_active())

    def get_active(self) -> list[Member]:
        """Return the members that callers are sent to while their view is current.

        VMs that have lost their links to targets are left out, unless all have. They
        are chosen again, and `useful_vms` and `heard_vms` are counted, only after the
        members, the configuration or the targets have changed.
        """
        state = (
            self.membership.last_change_at,
            self.store.version,
            self.table.version,
        )
        if state != self.active_state:
            self.active_state = state
            self.useful_vms = self.connection_shares.get_useful_fleet_size()
            self.heard_vms = len(self.membership.get_heard())
            members = self.membership.members
            able = [
                members[entry] for entry in self.membership.get_serving_with_targets()
            ]
            self.active = choose_active(able, self.count_replicas(), self.useful_vms)
        return self.active

    def get_other_active(self) -> list[EntryId]:
        """Return the ids of the other VMs that callers are sent to."""
        own = self.settings.vm
        return [member.id for member in self.get_active() if member.id != own]

    def count_replicas(self) -> dict[DataCentre, int]:
        """Return the number of ready targets of sharded services by data centre."""
        counts: dict[DataCentre, int] = {}
        for shard in self.connection_shares.shards:
            for record in self.table.get_ready(shard):
                counts[record.data_centre] = counts.get(record.data_centre, 0) + 1
        return counts

    def request_stop(self) -> None:
        """Start a graceful shutdown, which ends before the platform's stop timeout."""
        self.shutdown.request()

    def get_request_id(self, request: Request) -> RequestId | None:
        """Return the id that the caller sent with a request, or None."""
        return self.forwarder.dialect.read_request_metadata(request).request_id

    def wait(self) -> None:
        """Block until the shutdown is complete."""
        self.shutdown.wait()
