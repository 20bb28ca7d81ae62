"""The entry process, which creates, connects and owns its components."""

import contextlib
import random
import secrets

import msgspec
from gevent.event import Event

from .bookings import (
    BookingRunner,
    BookingService,
    ForwardedBooking,
    ForwardedQuestion,
    PeerForwarder,
)
from .callers import CallersApp
from .callers.app import CallerContext
from .callers.problems import ProblemKind, Refusal
from .callers.server import CallersServer
from .conf import PublishedVms
from .coordination import Coordination, CoordinationSettings
from .core.bookings.bookings import BookingLimits, BookingRegistry
from .core.common.clock import SystemClock
from .core.common.entry_stop import make_entry_stop_schedule
from .core.common.outcomes import Ran
from .core.forwarding.target_reach import ReachState, TargetReach
from .core.limits.limit_parts import HomeParts
from .core.limits.target_limits import TargetLimits
from .core.membership.addresses import AddressAnswer, choose_addresses
from .core.membership.homes import ConnectionPlan
from .core.membership.peer_messages import RelayedCall
from .core.published.leaving import LeavingTargets
from .core.published.versions import AcceptedConfiguration, ConfigurationStore
from .core.quarantine.request_quarantine import RequestQuarantine
from .core.search.admission import AdmissionController, Permit, is_load_sample
from .core.search.counters import RefusalReason
from .core.search.messages import SearchAnswer, SearchRequest
from .core.search.policies import LoadPolicies
from .core.search.snapshots import SnapshotTracker
from .crash_guard import CrashGuard
from .draining import Drain
from .exceptions import StopReached
from .ids import DataCentre, EntryId, Incarnation, TargetId
from .limit_log import LimitLog
from .logs import log_event
from .loops import LONG_ROUND_LIMIT_S, BackgroundLoops
from .monitoring import DecisionLog, RequestLedger
from .monitoring.dump import make_dump
from .monitoring.metrics import EntryMetrics
from .net import Address
from .peers import PeerLinks
from .peers.incarnations import make_incarnation
from .peers.websocket_transport import WebSocketTransport
from .quarantine_log import QuarantineLog
from .quarantine_notices import QuarantineNotices
from .queries import QueryRunner
from .reach_probes import ReachProbes
from .serving import (
    GatedBookings,
    GatedRelay,
    ServingGate,
    ServingState,
    make_refusal,
    make_search_cut_off,
)
from .targets import DirectDispatcher
from .targets.health import HealthPoller
from .targets.relay import RelayDispatcher

WRITER_INCARNATION_BITS = 64  # Random, since the wall clock may be set back.


class EntrySettings(msgspec.Struct, frozen=True):
    """The validated settings of an entry; times in seconds."""

    entry_id: EntryId
    data_centre: DataCentre
    address: Address
    peer_address: Address
    platform_address: Address
    health_interval_s: float
    address_ttl_s: float
    seed: int
    start_spread_s: float = 1.0
    drain_timeout_s: float = 10.0
    connection_homes: int = 8
    connection_headroom: int = 4
    max_caller_connections: int = 1_000
    slow_request_s: float = 1.0


class Entry:
    """One entry process; a context manager that starts and stops its components."""

    def __init__(self, settings: EntrySettings) -> None:
        self.settings = settings
        self.clock = SystemClock()
        self.started_at = self.clock.now()
        self.decisions = DecisionLog(self.clock)
        self.ledger = RequestLedger(self.clock, self.decisions, settings.slow_request_s)
        self.rng = random.Random(settings.seed or secrets.randbits(64))
        self.incarnation = make_incarnation()
        self.links = PeerLinks(
            settings.entry_id,
            self.incarnation,
            settings.peer_address,
            self.clock,
            self.rng,
            WebSocketTransport(),
        )
        self.store = ConfigurationStore(self.clock)
        self.snapshots = SnapshotTracker(self.clock)
        self.gate = ServingGate(self.clock)
        self.coordination = self.make_coordination()
        self.connection_plan = ConnectionPlan(
            settings.entry_id,
            settings.connection_homes,
            settings.connection_headroom,
        )
        self.leaving_targets = LeavingTargets(self.clock)
        self.limits = TargetLimits(HomeParts(self.connection_plan))
        limit_log = LimitLog(self.clock, lambda: {"config_version": self.store.version})
        limit_log.follow(self.limits)
        self.reach = TargetReach(self.rng, self.clock.now())
        self.quarantine = RequestQuarantine()
        self.crash_guard = CrashGuard(
            self.clock,
            self.quarantine,
            self.reach,
            self.is_in_use,
            lambda: {"config_version": self.store.version},
        )
        self.direct_dispatcher = DirectDispatcher(
            self.clock,
            self.connection_plan,
            self.leaving_targets,
            self.limits,
            self.reach,
            self.crash_guard,
        )
        self.quarantine_notices = QuarantineNotices(
            self.links,
            self.clock,
            self.rng,
            self.quarantine,
            self.get_other_entries,
            self.get_other_entries,
        )
        QuarantineLog(
            self.clock,
            self.quarantine,
            lambda event: self.decisions.note("quarantine", event),
        )
        self.reach_probes = ReachProbes(
            self.reach,
            self.clock,
            None,
            self.direct_dispatcher.get_probed_targets,
            self.direct_dispatcher.get_longest_wait_s,
            lambda: {"config_version": self.store.version},
        )
        self.reach_probes.listeners.append(self.on_reach_change)
        self.dispatcher = RelayDispatcher(
            self.direct_dispatcher,
            self.connection_plan,
            self.links,
            self.clock,
            lambda: self.coordination.membership.neighbours,
        )
        self.poller = HealthPoller(
            self.dispatcher, self.snapshots, self.clock, settings.health_interval_s
        )
        self.policies = LoadPolicies(self.clock, self.rng, self.limits)
        self.policies.ejector.listener = lambda target, reason: self.decisions.note(
            "ejection", reason, target
        )
        self.queries = QueryRunner(
            self.dispatcher,
            self.snapshots,
            self.policies.chooser,
            self.policies.make_hedge_policy,
            self.clock,
            self.policies,
            lambda: self.store.current,
            filter_replicas=self.leaving_targets.exclude_leaving,
            quarantine=self.quarantine,
        )
        self.admission = AdmissionController(
            self.clock, self.rng, self.policies.counters
        )
        self.bookings = BookingService(
            BookingRegistry(
                settings.entry_id,
                Incarnation(secrets.randbits(WRITER_INCARNATION_BITS)),
                BookingLimits(),
            ),
            BookingRunner(self.dispatcher, self.store, self.clock),
            PeerForwarder(self.links),
            self.clock,
        )
        self.gated_bookings = GatedBookings(self.bookings, self.gate)
        self.links.register(
            ForwardedBooking, self.gated_bookings.handle_forwarded_booking
        )
        self.links.register(ForwardedQuestion, self.bookings.handle_forwarded)
        gated_relay = GatedRelay(self.dispatcher, self.gate)
        self.links.register(RelayedCall, gated_relay.serve)
        self.store.listeners.append(self.apply_configuration)
        self.coordination.vms.listeners.append(self.apply_vms)
        self.coordination.warm_up = self.direct_dispatcher.wait_until_warm
        self.stop_requested = Event()
        self.metrics = EntryMetrics(self)
        self.server = CallersServer(
            settings.address,
            self.make_app(),
            settings.max_caller_connections,
            self.clock,
        )
        self.resources = contextlib.ExitStack()
        self.loops = BackgroundLoops(self.clock)
        self.add_loops()

    def __enter__(self) -> "Entry":
        with contextlib.ExitStack() as stack:
            stack.enter_context(self.direct_dispatcher)
            stack.enter_context(self.links)
            self.server.start()
            stack.callback(self.server.stop)
            stack.enter_context(self.loops)
            self.resources = stack.pop_all()
        log_event("entry_started", entry=self.settings.entry_id)
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.resources.close()
        log_event("entry_stopped", entry=self.settings.entry_id)

    def add_loops(self) -> None:
        """Add the loops that update the configuration, VM list and target health."""
        self.coordination.add_loops(self.loops)
        self.loops.add(
            "health",
            self.poller.run_round,
            LONG_ROUND_LIMIT_S + self.settings.health_interval_s,
        )
        self.loops.add(
            "connections", self.direct_dispatcher.run_round, LONG_ROUND_LIMIT_S
        )
        self.loops.add("reach", self.reach_probes.run_round)
        self.loops.add("quarantine", self.quarantine_notices.run_round)
        self.loops.add("links", self.links.close_idle)

    def make_coordination(self) -> Coordination:
        """Return the component that coordinates this entry with the others."""
        settings = self.settings
        return Coordination(
            CoordinationSettings(
                settings.entry_id,
                settings.data_centre,
                settings.address,
                settings.peer_address,
                settings.platform_address,
                settings.start_spread_s,
            ),
            self.links,
            self.store,
            self.gate,
            self.clock,
            self.rng,
        )

    def make_app(self) -> CallersApp:
        """Return the WSGI application of the callers' interface."""
        return CallersApp(
            self.settings.entry_id,
            self.store,
            self.clock,
            self.search,
            self.gated_bookings,
            {
                "/v1/addresses": self.get_addresses,
                "/healthz": self.get_health,
                "/readyz": self.get_readiness,
                "/state": lambda environ: make_dump(self),
                "/metrics": lambda environ: self.metrics.render(),
            },
            self.ledger,
            self.gate.get_latest_deadline,
        )

    def apply_configuration(self, accepted: AcceptedConfiguration) -> None:
        """Apply a newly accepted configuration."""
        self.leaving_targets.on_configuration(accepted.configuration)
        self.direct_dispatcher.update_targets(accepted.configuration)
        self.snapshots.drop_stale()
        self.decisions.note(
            "configuration_accepted",
            accepted.configuration.preset.value,
            f"version {accepted.version}",
        )
        self.policies.apply(accepted)

    def on_reach_change(self, state: ReachState) -> None:
        """Announce lost or regained links to targets."""
        is_reached = state is ReachState.REACHED
        self.coordination.membership_service.set_reaches_targets(is_reached)

    def apply_vms(self, vms: PublishedVms) -> None:
        """Plan the connections to targets again, for a newer VM list."""
        self.connection_plan.update([vm.id for vm in vms.vms], self.clock.now())
        self.direct_dispatcher.update_pools()

    def is_in_use(self, target: TargetId) -> bool:
        """Return whether a target is to get new calls."""
        current = self.store.current
        is_listed = current is not None and target in current.configuration.targets
        return is_listed and not self.leaving_targets.is_leaving(target)

    def get_other_entries(self) -> list[EntryId]:
        """Return the ids of the other entries that are running."""
        present = self.coordination.membership.get_present()
        return [item for item in present if item != self.settings.entry_id]

    def search(self, call: CallerContext, request: SearchRequest) -> SearchAnswer:
        """Answer a caller's query, or raise Refusal."""
        try:
            with self.gate.admit():
                return self.run_search(call, request)
        except StopReached:
            raise make_search_cut_off() from None

    def run_search(self, call: CallerContext, request: SearchRequest) -> SearchAnswer:
        """Answer an admitted query, or raise Refusal."""
        if request.collection not in call.pinned.configuration.collections:
            raise Refusal(
                ProblemKind.UNKNOWN_COLLECTION,
                f"the collection {request.collection!r} is not in the configuration",
                "use a published collection's name",
            )
        with self.admit(call, request) as permit:
            result = self.queries.run(
                call.request_id,
                request,
                call.pinned,
                call.deadline_at,
                call.has_left,
            )
            permit.is_load_sample = is_load_sample(result.answer.coverage)
            permit.waited_s = result.waited_s
        coverage = result.answer.coverage.fraction
        if coverage < request.min_coverage:
            raise Refusal(
                ProblemKind.LOW_COVERAGE,
                f"the answer covers {coverage:.4f}, below {request.min_coverage}",
                "ask again, with a longer deadline or a lower min_coverage",
                ran=Ran.UNKNOWN if result.was_sent else Ran.NOT_RUN,
                retry_after_ms=100,
            )
        return result.answer

    def admit(self, call: CallerContext, request: SearchRequest) -> Permit:
        """Return a permit to run a query, or raise Refusal on overload."""
        configuration = call.pinned.configuration
        admitted = self.admission.admit(
            request.collection,
            configuration.callers[call.caller].priority,
            call.deadline_at,
            configuration.policy,
        )
        if isinstance(admitted, Permit):
            return admitted
        is_late = admitted.reason is RefusalReason.DEADLINE
        if is_late and call.deadline_at >= self.gate.get_latest_deadline():
            raise make_refusal(ServingState.CLOSED)
        raise Refusal(
            ProblemKind.OVERLOADED,
            f"the collection {request.collection!r} is overloaded "
            f"({admitted.reason.value})",
            "ask again after the stated time",
            retry_after_ms=admitted.retry_after_ms,
        )

    def get_addresses(self, environ: dict) -> AddressAnswer:
        """Return addresses of entries for a caller, and how long to cache them."""
        live = self.coordination.get_addresses()
        addresses = choose_addresses(live or [str(self.settings.address)], self.rng)
        return AddressAnswer(addresses, int(self.settings.address_ttl_s * 1_000))

    def get_health(self, environ: dict) -> dict:
        """Return the liveness status, which is constant."""
        return {"status": "running"}

    def get_readiness(self, environ: dict) -> dict:
        """Return the readiness status, or raise Refusal if the entry cannot serve."""
        if self.gate.state is not ServingState.OPEN:
            raise make_refusal(self.gate.state)
        return {"status": "ready"}

    def request_stop(self) -> None:
        """Request a graceful shutdown; a second request has no effect.

        The process may have been suspended or busy since the signal was sent.
        """
        if self.gate.stop is not None:
            return
        now = self.clock.now()
        self.gate.stop = make_entry_stop_schedule(
            now - self.coordination.event_age.get_max_age_s(),
            self.settings.address_ttl_s,
            self.settings.drain_timeout_s,
            now,
        )
        self.decisions.note("stop", "requested")
        self.stop_requested.set()

    def wait(self) -> None:
        """Wait for a shutdown request, then drain the entry."""
        self.stop_requested.wait()
        self.bookings.issues_writers = False
        Drain(
            self.gate.stop,
            self.gate,
            self.server,
            self.coordination.membership_service,
            self.clock,
        ).run()
