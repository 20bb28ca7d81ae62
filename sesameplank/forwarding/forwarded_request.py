"""Forwarding of one request: calls to targets, their outcomes, and the reply."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
from gevent.event import Event

from ..core.common.outcomes import OWN_REASONS, Failure, FailureReason, Ran
from ..core.forwarding.fanout import Fanout
from ..core.forwarding.fanout_calls import Call, CallKind, FanoutPlan
from ..core.forwarding.fanout_plans import make_fanout_plan
from ..core.forwarding.gathered_parts import GatheredParts
from ..core.forwarding.placement import LoadReport
from ..core.forwarding.verdicts import Verdict
from ..core.published.routes import Route, RoutingConfiguration
from ..core.published.target_table import TargetRecord
from ..core.quarantine.request_quarantine import CrashRecord, Standing
from ..core.quarantine.sent_request import SentRequest
from ..ids import AttemptId, Fingerprint, ServiceName, TargetId
from .answer_accounts import CloseCause
from .dialect import RequestMetadata, find_failure
from .http_messages import Request, RequestEncoder, Response
from .request_batches import RequestBatches
from .request_handling import Reply, RequestContext
from .request_replies import Part, make_reply
from .target_connections import Exchange

if TYPE_CHECKING:
    from .forwarder import Forwarder

LATE_WAKE_S = 0.05
MAX_READ_S = 0.02


class ForwardedRequest:
    """One request in progress, with its calls and their outcomes."""

    def __init__(
        self,
        forwarder: Forwarder,
        routing: RoutingConfiguration,
        route: Route,
        request: Request,
        metadata: RequestMetadata,
        context: RequestContext,
        fingerprint: Fingerprint,
    ) -> None:
        self.forwarder = forwarder
        self.clock = forwarder.clock
        self.routing = routing
        self.route = route
        self.request = request
        self.metadata = metadata
        self.context = context
        self.parts = GatheredParts(route.top_k)
        self.answer_part: Part | None = None
        self.error_part: Part | None = None
        self.extra_calls = 0
        self.exchanges: dict[AttemptId, Exchange] = {}
        self.batches = RequestBatches(self)
        self.sent_request = SentRequest(metadata.request_id, fingerprint)
        self.encoder = RequestEncoder(
            request.method,
            request.target,
            forwarder.dialect.get_forwarded_headers(request),
            request.body,
        )
        self.wake = Event()
        self.wake_at = 0.0
        plan = make_fanout_plan(
            route,
            route.shards or (forwarder.rotation.choose(route),),
            received_at=context.received_at,
            transit_s=context.transit_s,
            caller_timeout_s=metadata.timeout_s,
            now=self.clock.now(),
            times=forwarder.times,
            budget=forwarder.budget,
        )
        self.limit_reserve = forwarder.limit_admission.draw_reserve(route)
        self.fanout = Fanout(
            plan, self.find_targets, forwarder.placement, forwarder.budget
        )
        context.on_disconnect = self.note_caller_left

    @property
    def plan(self) -> FanoutPlan:
        """The limits on the calls and the time of this request."""
        return self.fanout.plan

    def find_targets(self, service: ServiceName) -> list[TargetRecord]:
        """Return the targets that may get a call of this request."""
        return self.forwarder.find_targets(service, self.limit_reserve)

    def end_by(self, at: float) -> None:
        """Answer or refuse this request by a time, even if its caller waits longer."""
        self.fanout.end_by(at)
        self.wake.set()

    def note_caller_left(self) -> None:
        """Send no further calls, and withdraw those that no target has got.

        A call that a target has got is cancelled only if the request is idempotent.
        Otherwise it may be running, and its outcome is waited for. One that was
        transmitted, but that its target doesn't receive, is ended.
        """
        self.fanout.note_caller_left()
        for exchange in list(self.exchanges.values()):
            if exchange.is_transmitted:
                exchange.end_unless_received()
            else:
                self.withdraw(exchange)
        self.batches.withdraw_unsent()
        self.wake.set()

    def note_record(self, record: CrashRecord) -> None:
        """Record what is known of targets that crashed under such requests."""
        self.fanout.is_suspect = True
        self.fanout.needs_spare = self.forwarder.quarantine.is_strongly_suspected(
            self.sent_request.fingerprint
        )
        if record.get_standing(self.clock.now()) is Standing.QUARANTINED:
            self.note_quarantine()

    def note_quarantine(self) -> None:
        """End the request, since such requests crash targets."""
        self.fanout.is_quarantined = True
        self.wake.set()

    def run(self) -> Reply:
        """Forward the request, wait for its outcome and return the reply."""
        self.forwarder.count("requests")
        now = self.clock.now()
        if now >= self.plan.deadline_at:
            return self.forwarder.refuse_and_log(
                self.metadata, 504, "no time left before the deadline"
            )
        self.dispatch(self.fanout.start(now))
        verdict = self.wait()
        self.fanout.finish(self.clock.now(), self.batches.find_unobserved())
        self.abandon_all()
        elapsed_s = self.clock.now() - self.context.received_at
        self.forwarder.metrics.observe(self.route.name, elapsed_s)
        reply = make_reply(self, verdict)
        self.log_outcome(verdict, reply.status, elapsed_s)
        return reply

    def log_outcome(self, verdict: Verdict, status: int, elapsed_s: float) -> None:
        """Log the outcome of the request, with the values that decided it.

        A complete answer within the latency objective is logged as a success.
        """
        log = self.forwarder.log
        is_complete = self.fanout.answered == len(self.plan.shards)
        is_success = is_complete and self.clock.now() <= self.plan.objective_at
        note = log.note_success if is_success else log.note_failure
        is_answered = verdict is Verdict.ANSWERED
        close_cause = self.context.close_cause
        note(
            "request_answered" if is_answered else "request_refused",
            request=self.metadata.request_id,
            status=status,
            fingerprint=self.sent_request.fingerprint,
            route=self.route.name,
            version=self.routing.version,
            targets_revision=self.forwarder.table.revision,
            verdict=verdict.value,
            caller_left=close_cause is CloseCause.CALLER_LEFT,
            connection="open" if close_cause is None else close_cause.value,
            parts=self.fanout.answered,
            shards=len(self.plan.shards),
            required=self.plan.required,
            repeated=self.extra_calls,
            through=self.batches.list_vms(),
            not_run=self.fanout.is_certainly_not_run,
            after_ms=int(elapsed_s * 1_000),
            goal_ms=int((self.plan.objective_at - self.context.received_at) * 1_000),
        )

    def wait(self) -> Verdict:
        """Send hedges and retries as they fall due, until there is a verdict."""
        while True:
            now = self.clock.now()
            verdict = self.fanout.get_verdict(now)
            if verdict is not Verdict.OPEN:
                return verdict
            calls = self.fanout.on_timer(now)
            self.note_late_calls(now)
            if calls:
                self.dispatch(calls)
                continue
            self.wake.clear()
            self.wake_at = self.fanout.get_next_timer()
            if not self.wake.wait(max(0.0, self.wake_at - now)):
                self.read_waiting_answers()

    def read_waiting_answers(self) -> None:
        """Read the answers that have arrived if this process wakes late.

        After a suspension, timers run before the sockets are polled. The event loop is
        idle once it has handled what it found in them.
        """
        if self.clock.now() - self.wake_at > LATE_WAKE_S:
            with gevent.Timeout(MAX_READ_S, False):
                gevent.idle()

    def dispatch(self, calls: list[Call]) -> None:
        """Send calls in batches, or submit them to the pools of their targets."""
        for call in calls:
            self.count_call(call)
        for call in self.batches.send(calls):
            pool = self.forwarder.connection_shares.get_pool(call.target)
            exchange = Exchange(
                call,
                self.sent_request,
                lambda call=call: self.encode(call),
                self.note_transmitted,
                self.on_done,
                is_idempotent=self.route.idempotent,
                is_head=self.is_head,
                may_be_repeated=call.kind is CallKind.RETRY,
            )
            self.exchanges[call.id] = exchange
            pool.submit(exchange)

    @property
    def is_head(self) -> bool:
        """Whether the caller requested only the head of the response."""
        return self.request.method == b"HEAD"

    @property
    def is_merged(self) -> bool:
        """Whether the answers of several shards are merged into the reply."""
        return self.route.is_gather and not self.is_head

    def note_late_calls(self, now: float) -> None:
        """Record the targets of late calls, and notify other VMs about them.

        Nothing is known of the targets of a batch while its VM is silent.
        """
        for call in self.fanout.pop_late_calls():
            age_s = now - call.sent_at
            batch = self.batches.pending.get(call.id)
            if batch is not None and not batch.has_answered:
                self.forwarder.batches.note_late(batch)
                continue
            is_news = self.forwarder.placement.note_late(call.target.id, age_s, now)
            if is_news and self.forwarder.late_notices is not None:
                self.forwarder.late_notices.collect(call.target.id, age_s)

    def count_call(self, call: Call) -> None:
        """Count a call by its kind, and again if it goes to another data centre."""
        self.forwarder.count(f"calls_{call.kind.value}")
        if call.kind is not CallKind.FIRST:
            self.log_extra_call(call)
        if call.target.data_centre != self.forwarder.placement.data_centre:
            self.forwarder.count(f"remote_{call.kind.value}")

    def log_extra_call(self, call: Call) -> None:
        """Log a hedge or a retry, with the values that decided it."""
        self.extra_calls += 1
        now = self.clock.now()
        budget = self.forwarder.budget
        self.forwarder.log.note_call(
            "call_repeated",
            request=self.metadata.request_id,
            fingerprint=self.sent_request.fingerprint,
            shard=call.shard,
            target=call.target.id,
            kind=call.kind.value,
            after_ms=int((now - self.context.received_at) * 1_000),
            typical_ms=int(
                (self.fanout.latencies.median_s or self.plan.usual_call_s) * 1_000
            ),
            budget_left=budget.get_fill(call.shard, now),
        )

    def encode(self, call: Call) -> bytes:
        """Return a call as bytes, with the time remaining until the deadline."""
        remaining_s = self.plan.deadline_at - self.clock.now()
        headers = self.forwarder.dialect.make_call_headers(call.target.id, remaining_s)
        data = self.encoder.encode(headers)
        self.count_bytes(call, len(data))
        return data

    def note_transmitted(self, call: Call) -> None:
        """Record that a call is being transmitted."""
        self.forwarder.count_transmitted(call, call.kind.value)
        if self.context.is_disconnected:
            self.forwarder.count(f"calls_after_caller_left_{call.kind.value}")
        self.context.calls += 1
        self.fanout.note_transmitted(call)

    def count_bytes(self, call: Call, size: int) -> None:
        """Count bytes of a call that pass between data centres, by its kind."""
        if call.target.data_centre != self.forwarder.placement.data_centre:
            self.forwarder.count(f"remote_bytes_{call.kind.value}", size)

    def on_done(self, exchange: Exchange, outcome: Response | Failure) -> None:
        """Process the outcome of a call; wake `wait` if it has something to do."""
        call = exchange.call
        del self.exchanges[call.id]
        if isinstance(outcome, Failure):
            self.process_failure(call, outcome)
        else:
            self.process_response(call, outcome)
        self.wake_if_needed()

    def wake_if_needed(self) -> None:
        """Wake `wait` if there is a verdict, or a hedge or retry is due earlier."""
        is_decided = self.fanout.get_verdict(self.clock.now()) is not Verdict.OPEN
        if is_decided or self.fanout.due_at < self.wake_at:
            self.wake.set()

    def process_response(self, call: Call, response: Response) -> None:
        """Process a target's response, which may be a refusal or a failure."""
        now = self.clock.now()
        self.count_bytes(call, response.size)
        placement = self.forwarder.placement
        answer = self.forwarder.dialect.read_answer(response)
        if answer.load is not None:
            placement.note_report(call.target.id, answer.load, now)
        if answer.is_other_target:
            self.process_misdirected(call, answer.answered_by)
            return
        if answer.not_run:
            self.process_refusal(call, answer.load)
            return
        part = Part(answer, response)
        failure = find_failure(answer)
        is_relayed = failure is not None and failure.ran is Ran.ANSWERED
        if is_relayed:
            self.error_part = part
        may_relay = not self.route.is_gather and not self.route.idempotent
        if failure is not None and not (is_relayed and may_relay):
            self.process_failure(call, failure)
            return
        elapsed_s = placement.note_answer(call.target.id, call.id, now)
        if self.process_success(call, answer.load, elapsed_s):
            self.answer_part = part
            if self.route.is_gather:
                self.parts.add(call.shard, answer.signature, response.body)

    def process_success(
        self, call: Call, load: LoadReport | None, elapsed_s: float | None
    ) -> bool:
        """Record a successful call; return whether its shard had no answer yet.

        `elapsed_s` is the latency of the call in seconds, None if it is unknown.
        """
        now = self.clock.now()
        if elapsed_s is not None:
            self.forwarder.times.observe(self.route, elapsed_s)
            if load is not None:
                self.forwarder.admission.note_answer(call.shard, load, elapsed_s, now)
            if not self.route.is_gather:
                self.forwarder.placement.note_relative_latency(
                    call.target.id, elapsed_s / self.plan.usual_call_s, now
                )
        self.forwarder.crash_guard.note_answer(self.sent_request)
        if not self.fanout.on_answer(call, now, elapsed_s):
            return False
        self.abandon_other_calls(call.shard)
        return True

    def process_refusal(self, call: Call, load: LoadReport | None) -> None:
        """Process a call that its target did not run, and send the retry, if any."""
        now = self.clock.now()
        self.forwarder.placement.note_shed(call.target.id, call.id, now)
        if load is not None:
            self.forwarder.admission.note_refusal(call.shard, load, now)
        self.forwarder.count("shed")
        self.log_refused_call(call, now, is_other_target=False)
        self.dispatch(self.fanout.on_failure(call, Ran.NOT_RUN, now))

    def process_misdirected(self, call: Call, answered_by: TargetId | None) -> None:
        """Process a call that arrived at another target, and send the retry, if any."""
        now = self.clock.now()
        self.forwarder.placement.note_failure(call.target.id, call.id, now)
        replaced_targets = self.forwarder.replaced_targets
        replaced_targets.add(call.target)
        self.forwarder.count("misdirected")
        self.log_refused_call(call, now, is_other_target=True)
        service = replaced_targets.find_service(answered_by)
        self.dispatch(self.fanout.on_misdirected(call, service, now))

    def log_refused_call(
        self, call: Call, now: float, *, is_other_target: bool
    ) -> None:
        """Log a call that the target at its address did not run."""
        self.forwarder.log.note_call(
            "call_refused",
            request=self.metadata.request_id,
            target=call.target.id,
            address=call.target.address,
            shard=call.shard,
            kind=call.kind.value,
            other_target=is_other_target,
            after_ms=int((now - call.sent_at) * 1_000),
        )

    def process_failure(self, call: Call, failure: Failure) -> None:
        """Process a failed call, and send the retry, if any.

        Failures that have their reason in this process say nothing about the target.
        """
        now = self.clock.now()
        placement = self.forwarder.placement
        if failure.reason in OWN_REASONS:
            placement.note_withdrawn(call.target.id, call.id)
        else:
            placement.note_failure(
                call.target.id, call.id, now, is_scattered=failure.is_scattered
            )
        if failure.reason is FailureReason.CRASHED:
            self.fanout.note_crash(now)
        self.forwarder.count(f"call_{failure.reason.value}")
        self.forwarder.log.note_call(
            "call_failed",
            request=self.metadata.request_id,
            fingerprint=self.sent_request.fingerprint,
            target=call.target.id,
            shard=call.shard,
            kind=call.kind.value,
            reason=failure.reason.value,
            ran=failure.ran.value,
            after_ms=int((now - call.sent_at) * 1_000),
        )
        self.dispatch(self.fanout.on_failure(call, failure.ran, now))

    def abandon_other_calls(self, shard: ServiceName) -> None:
        """Cancel the remaining calls for a shard that has been answered."""
        for call in self.fanout.shards[shard].calls.values():
            exchange = self.exchanges.get(call.id)
            if exchange is not None:
                self.abandon(exchange)
            self.batches.withdraw(call)

    def withdraw(self, exchange: Exchange) -> None:
        """Take back a call that has not been transmitted, so it has not run."""
        call = exchange.call
        del self.exchanges[call.id]
        exchange.cancel()
        self.forwarder.placement.note_withdrawn(call.target.id, call.id)
        self.dispatch(self.fanout.on_failure(call, Ran.NOT_RUN, self.clock.now()))

    def abandon_all(self) -> None:
        """Cancel all calls that are in flight."""
        for exchange in list(self.exchanges.values()):
            self.abandon(exchange)
        self.batches.cancel()

    def abandon(self, exchange: Exchange) -> None:
        """Cancel a call whose answer is no longer needed."""
        call = exchange.call
        self.exchanges.pop(call.id, None)
        self.forwarder.placement.note_abandoned(
            call.target.id, call.id, self.clock.now()
        )
        exchange.cancel()
