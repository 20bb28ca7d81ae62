"""The state that all forwarded requests share, and the admission of new ones."""

from ..core.common.clock import Clock
from ..core.common.stop_schedule import StopSchedule
from ..core.forwarding.call_times import CallTimes
from ..core.forwarding.down_targets import DownTargets
from ..core.forwarding.extra_load import ExtraLoadBudget
from ..core.forwarding.fanout_calls import Call, FanoutPlan
from ..core.forwarding.placement import Placement
from ..core.forwarding.queue_admission import QueueAdmission, get_allowed_waits
from ..core.forwarding.target_reach import TargetReach
from ..core.limits.limit_admission import LimitAdmission
from ..core.limits.target_limits import NEVER, TargetLimits
from ..core.published.routes import Route, RoutingConfiguration
from ..core.published.target_table import TargetRecord, TargetTable
from ..core.published.weighting import WeightedRoundRobin
from ..core.quarantine.request_quarantine import Standing
from ..crash_guard import CrashGuard
from ..ids import Fingerprint, RequestId, ServiceName
from .call_batches import CallBatches
from .connection_shares import ConnectionShares
from .dialect import Dialect, RequestMetadata
from .forwarded_request import ForwardedRequest
from .http_messages import Request
from .late_notices import LateNotices
from .metrics import FrontMetrics
from .replaced_targets import ReplacedTargets
from .request_fingerprints import find_fingerprint
from .request_handling import Reply, RequestContext
from .request_log import RequestLog
from .target_availability import TargetAvailability

BATCH = "batch"  # The origin of a call that is made for another VM.
STARTING_RETRY_AFTER_S = 0.3
LOST_RETRY_AFTER_S = 0.2
STOPPING_RETRY_AFTER_S = 0.0  # Another process can take the request at once.


class Forwarder:
    """Forwards requests, and holds the state that all of them share."""

    def __init__(
        self,
        clock: Clock,
        dialect: Dialect,
        table: TargetTable,
        placement: Placement,
        budget: ExtraLoadBudget,
        connection_shares: ConnectionShares,
        limits: TargetLimits,
        reach: TargetReach,
        crash_guard: CrashGuard,
        down_targets: DownTargets,
        availability: TargetAvailability,
    ) -> None:
        self.clock = clock
        self.dialect = dialect
        self.table = table
        self.placement = placement
        self.budget = budget
        self.connection_shares = connection_shares
        self.limits = limits
        self.reach = reach
        self.crash_guard = crash_guard
        self.down_targets = down_targets
        self.availability = availability
        self.quarantine = crash_guard.quarantine
        self.times = CallTimes()
        self.rotation = WeightedRoundRobin()
        self.routing: RoutingConfiguration | None = None
        self.metrics = FrontMetrics()
        self.log = RequestLog(clock)
        self.admission = QueueAdmission(placement.rng)
        self.limit_admission = LimitAdmission(limits, table.get_ready, placement.rng)
        self.allowed_waits: dict[str, float] = {}
        self.batches: CallBatches | None = None
        self.late_notices: LateNotices | None = None
        self.replaced_targets: ReplacedTargets | None = None
        self.in_progress: set[ForwardedRequest] = set()
        self.stop: StopSchedule | None = None

    def begin_stop(self, stop: StopSchedule) -> None:
        """Bound the time of all requests, those in progress included, by a stop."""
        self.stop = stop
        for forwarded in self.in_progress:
            forwarded.end_by(stop.answer_by)

    def set_routing(self, routing: RoutingConfiguration) -> None:
        """Use a new routing configuration for all further requests."""
        self.routing = routing
        self.rotation.keep_only(routing.routes)
        self.connection_shares.set_routing(routing)
        self.allowed_waits = get_allowed_waits(routing.routes)
        self.admission.keep_only(
            service for route in routing.routes for service in route.service_names
        )
        self.limit_admission.set_routes(routing.routes)

    def count(self, event: str, number: int = 1) -> None:
        """Increase the counter of an event in the metrics."""
        self.metrics.count(event, number)

    def count_transmitted(self, call: Call, origin: str) -> None:
        """Count a call that is transmitted, and again if its target is limited.

        `origin` is the kind of a call for a caller's request, or "batch".
        """
        self.count(
            "batch_calls_transmitted" if origin == BATCH else "calls_transmitted"
        )
        if self.limits.is_limited(call.target.id):
            self.count(f"limited_calls_{origin}")

    def serve(self, request: Request, context: RequestContext) -> Reply:
        """Forward a caller's request, or refuse it, and return the reply."""
        metadata = self.dialect.read_request_metadata(request)
        if self.routing is None:
            return self.refuse_and_log(
                metadata, 503, "no configuration", STARTING_RETRY_AFTER_S
            )
        route = self.routing.find_route(request.get(b"host") or "", request.path)
        if route is None:
            self.count("no_route")
            return self.refuse_and_log(metadata, 404, "no route")
        if metadata.request_id is None:
            return self.refuse_and_log(metadata, 400, "no request id")
        if metadata.error is not None:
            return self.refuse_and_log(metadata, 400, metadata.error)
        if not self.can_finish(route):
            return self.refuse_and_log(
                metadata, 503, "stopping", STOPPING_RETRY_AFTER_S
            )
        if not self.has_way_to_targets():
            return self.refuse_and_log(
                metadata, 503, "no links to targets", LOST_RETRY_AFTER_S
            )
        fingerprint = find_fingerprint(request)
        standing = self.quarantine.get_standing(fingerprint, self.clock.now())
        if standing is Standing.QUARANTINED:
            return self.refuse_quarantined(metadata, fingerprint)
        forwarded = ForwardedRequest(
            self, self.routing, route, request, metadata, context, fingerprint
        )
        if standing is Standing.SUSPECT:
            forwarded.note_record(self.quarantine.records[fingerprint])
        retry_after_s = self.get_retry_after_s(forwarded.plan, route)
        if retry_after_s is not None:
            return self.refuse_and_log(
                metadata, 503, "target queues are too long", retry_after_s
            )
        retry_after_s = self.get_pause_retry_s(forwarded.plan)
        if retry_after_s is not None:
            self.count("refused_paused")
            return self.refuse_and_log(
                metadata, 503, "targets want no requests", retry_after_s
            )
        retry_after_s = self.get_limit_retry_s(forwarded)
        if retry_after_s is not None:
            self.count("refused_limited")
            return self.refuse_and_log(
                metadata, 503, "the limits of targets are used up", retry_after_s
            )
        return self.run(forwarded)

    def refuse_quarantined(
        self, metadata: RequestMetadata, fingerprint: Fingerprint
    ) -> Reply:
        """Refuse a request that crashes targets, until its quarantine ends."""
        self.count("refused_quarantined")
        now = self.clock.now()
        return self.refuse_and_log(
            metadata,
            503,
            "such requests crash targets",
            self.quarantine.get_hold_s(fingerprint, now),
            fingerprint=fingerprint,
            **self.quarantine.describe(fingerprint, now),
        )

    def has_way_to_targets(self) -> bool:
        """Return whether calls can be sent, by this VM or through others."""
        if not self.reach.is_lost or self.batches is None:
            return True
        self.count("requests_without_links")
        return bool(self.batches.get_linked_deputies())

    def can_finish(self, route: Route) -> bool:
        """Return whether a new request can end before this process does."""
        if self.stop is None:
            return True
        completion_s = self.times.get_completion_s(route)
        return self.stop.can_finish(self.clock.now(), completion_s, route.idempotent)

    def run(self, forwarded: ForwardedRequest) -> Reply:
        """Run an admitted request, which a stop may end early."""
        if self.stop is not None:
            forwarded.end_by(self.stop.answer_by)
        self.in_progress.add(forwarded)
        try:
            return forwarded.run()
        finally:
            self.in_progress.discard(forwarded)

    def get_retry_after_s(self, plan: FanoutPlan, route: Route) -> float | None:
        """Return the delay before a retry in seconds, or None to admit a request."""
        return self.admission.find_retry_s(
            plan.shards,
            plan.required,
            self.allowed_waits[route.name],
            self.clock.now(),
        )

    def get_pause_retry_s(self, plan: FanoutPlan) -> float | None:
        """Return the time until enough targets want requests, or None if they do."""
        if not self.availability.pauses.holds:
            return None
        waits = sorted(
            self.availability.get_wait_s(self.table.get_ready(service))
            for service in plan.shards
        )
        return waits[plan.required - 1] or None

    def get_limit_retry_s(self, forwarded: ForwardedRequest) -> float | None:
        """Return the time until targets have room in seconds, or None to admit."""
        if self.reach.is_lost:
            return None
        plan = forwarded.plan
        return self.limit_admission.find_retry_s(
            plan.shards, plan.required, forwarded.limit_reserve, self.clock.now()
        )

    def refuse_and_log(
        self,
        metadata: RequestMetadata,
        status: int,
        reason: str,
        retry_after_s: float | None = None,
        **fields: object,
    ) -> Reply:
        """Refuse a request before any call is sent for it, and log the reason."""
        self.log.note_failure(
            "request_refused",
            request=metadata.request_id,
            status=status,
            reason=reason,
            version=self.routing.version if self.routing else 0,
            **fields,
        )
        return self.refuse(metadata.request_id, status, retry_after_s)

    def refuse(
        self,
        request_id: RequestId | None,
        status: int,
        retry_after_s: float | None = None,
    ) -> Reply:
        """Count a refused or failed request and return a reply without a body."""
        self.count(f"refused_{status}")
        headers = self.dialect.make_refusal_headers(request_id, retry_after_s)
        return Reply(status, headers)

    def find_targets(
        self, service: ServiceName, limit_reserve: float = 0.0
    ) -> list[TargetRecord]:
        """Return the targets that may get a call, the preferred ones first.

        Those that want no requests are left out, and those that are down, unless all
        are. Targets that are draining or were removed recently follow as a last resort
        if every ready target failed recently, or if none is ready. Targets whose rate
        limit leaves no room are left out, unless other VMs send the calls. If this VM
        has no part of any limit, targets are returned that others have parts of.
        `limit_reserve` is the share of the saved room that the request leaves to
        others.
        """
        now = self.clock.now()
        ready = self.availability.pauses.exclude(self.table.get_ready(service), now)
        ready = self.down_targets.exclude(ready, now)
        targets = ready
        if all(self.placement.is_avoided(item.id, now) for item in ready):
            last_resort = self.table.get_last_resort(service, now)
            targets = [*ready, *self.availability.pauses.exclude(last_resort, now)]
        if not self.limits.limits or self.reach.is_lost:
            return targets
        waits = {
            item.id: self.limits.get_wait_s(item.id, now, limit_reserve)
            for item in targets
        }
        with_room = [item for item in targets if not waits[item.id]]
        return with_room or [
            item
            for item in targets
            if waits[item.id] == NEVER and self.limits.get_holders(item.id, now)
        ]
