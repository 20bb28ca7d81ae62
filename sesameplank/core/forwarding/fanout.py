"""State machine of one forwarded request over one or many shards, without I/O.

The driver sends the calls that the methods return, reports answers and failures,
and calls `on_timer` when a hedge or retry is due. Only the first answer of each
shard counts. A call that is late is hedged, and a call that failed is retried, as
far as the route and the budget for extra load allow it. A request to a single
service is treated as a request over one shard.

A request takes about the same work at every shard. Whether a call is late is
therefore judged by the calls of the same request to other shards (its siblings):
a request that is slow at every shard is not hedged.

A request that is suspected to crash targets has one call in flight at a time until a
target answers it. The other shards are called then.
"""

from collections.abc import Callable, Container, Sequence
from functools import cached_property

import msgspec

from ...ids import AttemptId, ServiceName, TargetId
from ..common.outcomes import Ran
from ..published.target_table import TargetRecord
from .canaries import Canaries
from .extra_load import ExtraLoadBudget
from .fanout_calls import NEVER, Call, CallKind, FanoutPlan, ShardState
from .placement import Placement
from .sibling_latencies import SiblingLatencies
from .verdicts import Verdict

BUDGET_RECHECK_S = 0.03  # Delay before an exhausted budget is checked again.
HEDGE_RESERVE = 0.25  # Share of the budget that hedges leave for retries.
SCARCE_FILL = 0.5  # A budget that is less full than this is scarce.
# Share of the budget left by retries that are not needed for an answer within the
# latency objective.
OPTIONAL_RETRY_RESERVE = 0.6
# A noisy neighbour on the same VM makes work take up to 2.5 times as long.
LATE_FACTOR = 2.6
LATE_SLACK_S = 0.002
# Time reserved for a hedge, as a multiple of the median latency.
HEDGE_DURATION_FACTOR = 1.6
MIN_LATE_FACTOR = 1.3
BATCH_LATE_FACTOR = 4.0  # Requests differ in work, so their usual latency says less.

FindTargets = Callable[[ServiceName], Sequence[TargetRecord]]


class Fanout:
    """The decisions on one request: which calls to send next and when it is finished.

    `answered` and `abandoned` are numbers of shards. `is_suspect` says that a target
    crashed under such a request, `needs_spare` that it must not reach the last replica
    of a shard, `is_withheld` that every shard has only one, and `is_quarantined` that
    no further call is to be sent. Nor is one after the caller has left
    (`has_caller_left`).
    """

    def __init__(
        self,
        plan: FanoutPlan,
        find_targets: FindTargets,
        placement: Placement,
        budget: ExtraLoadBudget,
    ) -> None:
        self.plan = plan
        self.find_targets = find_targets
        self.placement = placement
        self.budget = budget
        self.shards = {name: ShardState(name) for name in plan.shards}
        self.open_shards = dict(self.shards)
        self.answered = 0
        self.abandoned = 0
        self.may_have_run = False
        self.ran_out_of_time = False
        self.is_suspect = False
        self.needs_spare = False
        self.is_withheld = False
        self.is_quarantined = False
        self.has_caller_left = False
        self.transmitted_calls: set[AttemptId] = set()
        self.latencies = SiblingLatencies(len(plan.shards))
        self.late_calls: list[Call] = []
        self.due_at = plan.deadline_at

    def start(self, now: float) -> list[Call]:
        """Return the first call to every shard, or one call of a suspect request."""
        calls = []
        shards = list(self.shards.values())
        if self.is_suspect:
            self.placement.rng.shuffle(shards)
        for shard in shards:
            self.budget.note_request(shard.service, now)
            calls += self.prepare_call(shard, CallKind.FIRST, now)
        return calls

    def get_verdict(self, now: float) -> Verdict:
        """Return the verdict on the request at time `now`."""
        total = len(self.shards)
        if self.answered == total:
            return Verdict.ANSWERED
        if self.is_quarantined:
            return Verdict.QUARANTINED
        if self.is_withheld:
            return Verdict.WITHHELD
        if self.has_caller_left and self.may_end_early:
            return Verdict.CALLER_LEFT
        if total - self.abandoned < self.plan.required:
            return Verdict.EXPIRED if self.ran_out_of_time else Verdict.HOPELESS
        if self.answered >= self.plan.required:
            settled = self.answered + self.abandoned == total
            until = min(self.plan.objective_at, self.plan.deadline_at)
            if settled or now >= until:
                return Verdict.ANSWERED
        if now >= self.plan.deadline_at:
            return Verdict.EXPIRED
        return Verdict.OPEN

    @property
    def may_end_early(self) -> bool:
        """Whether no call is in flight that has to be left to its target.

        A request that is not idempotent may be running at the target that has it.
        """
        if self.plan.idempotent:
            return True
        return not any(shard.calls for shard in self.shards.values())

    def note_caller_left(self) -> None:
        """Send no further calls, since nobody waits for the answer any more."""
        self.has_caller_left = True

    def end_by(self, at: float) -> None:
        """Move the latency objective and the deadline to a time if they are later."""
        self.plan = msgspec.structs.replace(
            self.plan,
            objective_at=min(self.plan.objective_at, at),
            deadline_at=min(self.plan.deadline_at, at),
        )
        self.due_at = min(self.due_at, at)

    def get_next_timer(self) -> float:
        """Return the time at which `on_timer` has to be called next, in seconds.

        Also set `due_at` to this time. An event that makes an earlier call of
        `on_timer` necessary, such as a failure that is to be retried, lowers `due_at`.
        """
        due = self.plan.deadline_at
        if self.answered >= self.plan.required:
            due = min(due, self.plan.objective_at)
        for shard in self.open_shards.values():
            if shard.hedge_at < due:
                due = shard.hedge_at
            if shard.retry_at < due:
                due = shard.retry_at
        self.due_at = due
        return due

    def schedule_hedge(self, shard: ShardState, at: float) -> None:
        """Schedule the hedge of a shard's call."""
        shard.hedge_at = at
        self.due_at = min(self.due_at, at)

    def schedule_retry(self, shard: ShardState, at: float) -> None:
        """Schedule the retry of a shard's call."""
        shard.retry_at = at
        self.due_at = min(self.due_at, at)

    def on_timer(self, now: float) -> list[Call]:
        """Return the calls of the hedges and retries that are due."""
        calls = []
        for shard in list(self.open_shards.values()):
            if shard.retry_at <= now:
                shard.retry_at = NEVER
                is_first = not shard.tried_targets and not shard.failures
                kind = CallKind.FIRST if is_first else CallKind.RETRY
                calls += self.prepare_call(shard, kind, now)
            elif shard.hedge_at <= now:
                shard.hedge_at = NEVER
                calls += self.prepare_hedge(shard, now)
        return calls

    def on_answer(self, call: Call, now: float, elapsed_s: float | None = None) -> bool:
        """Record a successful answer.

        `elapsed_s` is the latency of the call, if it differs from the time since the
        call was sent. Return False if the shard needs no answer any more.
        """
        shard = self.shards[call.shard]
        shard.calls.pop(call.id, None)
        self.may_have_run = True
        if not shard.is_open:
            return False
        shard.is_answered = True
        del self.open_shards[shard.service]
        self.answered += 1
        if self.is_suspect and self.answered == 1:
            self.canaries.release(now)
        if self.answered == self.plan.required:
            self.due_at = min(self.due_at, self.plan.objective_at)
        if elapsed_s is None:
            elapsed_s = now - call.sent_at
        self.latencies.add(call, elapsed_s)
        if len(self.shards) > 1 and self.answered % self.latencies.min_count == 0:
            self.schedule_sibling_hedges()
        return True

    @cached_property
    def canaries(self) -> Canaries:
        """The rules for a suspect request, which few requests need."""
        return Canaries(self)

    def schedule_sibling_hedges(self) -> None:
        """Schedule hedges of the calls in flight by the latency of answered ones.

        A call is late after LATE_FACTOR times their median plus LATE_SLACK_S. It is
        late earlier if its hedge could otherwise not be answered before the latency
        objective, but never before MIN_LATE_FACTOR times the median.
        """
        median_s = self.latencies.median_s
        if median_s is None or not self.plan.idempotent:
            return
        late_s = LATE_FACTOR * median_s + LATE_SLACK_S
        for shard in self.open_shards.values():
            if len(shard.calls) == 1:
                (call,) = shard.calls.values()
                latest_delay_s = (
                    self.plan.objective_at
                    - call.sent_at
                    - HEDGE_DURATION_FACTOR * median_s
                )
                delay_s = max(MIN_LATE_FACTOR * median_s, min(late_s, latest_delay_s))
                self.schedule_hedge(shard, call.sent_at + delay_s)

    def finish(self, now: float, unobserved: Container[AttemptId] = ()) -> None:
        """Report the relative latency of the request's calls to the placement.

        Failed and `unobserved` calls are not reported, and a call that is still in
        flight only if its time so far is clearly above the median. A single-shard
        request reports nothing because its call has no siblings.
        """
        median_s = self.latencies.median_s
        if median_s is None or len(self.shards) == 1:
            return
        for call, elapsed_s in self.latencies.calls:
            self.placement.note_relative_latency(
                call.target.id, elapsed_s / median_s, now
            )
        for shard in self.shards.values():
            for call in shard.calls.values():
                relative_latency = (now - call.sent_at) / median_s
                if relative_latency > MIN_LATE_FACTOR and call.id not in unobserved:
                    self.placement.note_relative_latency(
                        call.target.id, relative_latency, now
                    )

    def on_failure(self, call: Call, ran: Ran, now: float) -> list[Call]:
        """Record a failed call and return the retry, if one is sent at once."""
        shard = self.shards[call.shard]
        shard.calls.pop(call.id, None)
        shard.failures += 1
        if ran is not Ran.NOT_RUN:
            self.may_have_run = True
            shard.may_have_run_on.add(call.target.id)
        if not shard.is_open or shard.calls:
            return []
        if ran is not Ran.NOT_RUN and not self.plan.idempotent:
            self.abandon(shard)
            return []
        return self.prepare_call(shard, CallKind.RETRY, now)

    def note_crash(self, now: float) -> None:
        """Record that a target crashed under a call."""
        self.is_suspect = True
        self.canaries.note_crash(now)

    def on_misdirected(
        self, call: Call, service: ServiceName | None, now: float
    ) -> list[Call]:
        """Record a call that arrived at another target, which refused it.

        `service` is the service of that target, None if it is unknown. The call is
        extra load there, instead of at its shard. Return the retry, if one is sent at
        once.
        """
        self.shards[call.shard].arrived_calls.discard(call.id)
        self.budget.note_misdirected(service, now)
        return self.on_failure(call, Ran.NOT_RUN, now)

    def note_transmitted(self, call: Call) -> None:
        """Record that a call was transmitted: further calls are extra load."""
        self.shards[call.shard].arrived_calls.add(call.id)
        self.transmitted_calls.add(call.id)

    def on_limited(self, call: Call, now: float) -> list[Call]:
        """Record a call that another VM didn't send, as its target's limit is used up.

        The shard is not called there again. Return the retry, if one is sent at once.
        """
        shard = self.shards[call.shard]
        shard.limited_targets.add(call.target.id)
        shard.arrived_calls.discard(call.id)
        return self.on_failure(call, Ran.NOT_RUN, now)

    def on_returned(self, call: Call, ran: Ran, now: float) -> list[Call]:
        """Record a call that another VM returns because it doesn't make it.

        If it wasn't sent to its target, it is neither extra load nor the target's
        failure, and after an earlier failure the retry waits: all other VMs may return
        what they get. Return the retry, if one is sent at once.
        """
        shard = self.shards[call.shard]
        if ran is not Ran.NOT_RUN:
            return self.on_failure(call, ran, now)
        shard.arrived_calls.discard(call.id)
        if call.target.id in shard.tried_targets:
            shard.tried_targets.remove(call.target.id)
        if not shard.failures:
            return self.on_failure(call, ran, now)
        shard.calls.pop(call.id, None)
        shard.failures += 1
        if shard.is_open and not shard.calls:
            self.schedule_retry(shard, now + shard.backoff_s)
        return []

    def note_batched(self, calls: Sequence[Call]) -> None:
        """Record that another VM makes these calls.

        If it is silent and no other call shows how long the request takes, the calls
        are late after BATCH_LATE_FACTOR times the usual latency.
        """
        for call in calls:
            self.note_transmitted(call)
            shard = self.shards[call.shard]
            if self.plan.idempotent and shard.hedge_at == NEVER:
                late_s = BATCH_LATE_FACTOR * self.plan.usual_call_s
                self.schedule_hedge(shard, call.sent_at + late_s)

    def prepare_call(self, shard: ShardState, kind: CallKind, now: float) -> list[Call]:
        """Return a call to the best target of a shard, or schedule a retry.

        The list holds at most one call. Return no call and abandon the shard if no
        target is allowed, or if there is too little time left for a retry.
        """
        if not self.may_call:
            self.abandon(shard)
            return []
        if self.is_suspect and not self.answered and self.canaries.hold(shard, now):
            return []
        targets = self.find_targets(shard.service)
        allowed = self.get_allowed_targets(shard, targets)
        if not allowed:
            self.abandon(shard)
            return []
        if kind is CallKind.RETRY and self.is_too_late(now):
            self.ran_out_of_time = True
            self.abandon(shard)
            return []
        untried = [item for item in allowed if item.id not in shard.tried_targets]
        if not untried:
            shard.tried_targets.clear()
            self.schedule_retry(shard, now + shard.backoff_s)
            return []
        if shard.arrived_calls and not self.take_retry_token(shard, now):
            self.schedule_retry(shard, now + BUDGET_RECHECK_S)
            return []
        return [self.make_call(shard, kind, untried, now)]

    @property
    def may_call(self) -> bool:
        """Whether any further call may be sent."""
        return not self.is_quarantined and not self.has_caller_left

    def is_too_late(self, now: float) -> bool:
        """Return whether a call sent now is expected to end after the deadline.

        A call that is in flight at the deadline may have run, so the caller could
        no longer be assured that the request has not run.
        """
        return now + self.plan.usual_call_s > self.plan.deadline_at

    def take_retry_token(self, shard: ShardState, now: float) -> bool:
        """Take a token for a retry from the budget, or return False.

        Retries that can complete an answer in time take precedence. A request that
        already has the required answers or has missed its latency objective therefore
        leaves a reserve in the budget. The other requests get no token from a scarce
        budget as long as calls in flight may still make some of the retries
        unnecessary.
        """
        is_needed = self.answered < self.plan.required and now < self.plan.objective_at
        if not is_needed:
            return self.budget.take(shard.service, now, OPTIONAL_RETRY_RESERVE)
        is_scarce = self.budget.get_fill(shard.service, now) < SCARCE_FILL
        if is_scarce and self.may_need_fewer_retries():
            return False
        return self.budget.take(shard.service, now)

    def may_need_fewer_retries(self) -> bool:
        """Return whether calls in flight may make some of the retries unnecessary."""
        in_flight = sum(bool(shard.calls) for shard in self.open_shards.values())
        without_call = len(self.open_shards) - in_flight
        needed = self.plan.required - self.answered - in_flight
        return in_flight > 0 and needed < without_call

    def get_allowed_targets(
        self, shard: ShardState, targets: Sequence[TargetRecord]
    ) -> Sequence[TargetRecord]:
        """Return the targets on which the route allows a call to the shard to run."""
        if shard.limited_targets:
            limited = shard.limited_targets
            targets = [item for item in targets if item.id not in limited]
        if not shard.may_have_run_on and not shard.calls:
            return targets
        return [item for item in targets if self.may_run(shard, item.id)]

    def may_run(self, shard: ShardState, target: TargetId) -> bool:
        """Return whether the route allows a call to the shard to run on a target."""
        used = shard.may_have_run_on | {call.target.id for call in shard.calls.values()}
        return target in used or len(used) < self.plan.max_attempts

    def pop_late_calls(self) -> list[Call]:
        """Return the calls in flight that were found late since the last time."""
        late_calls, self.late_calls = self.late_calls, []
        return late_calls

    def prepare_hedge(self, shard: ShardState, now: float) -> list[Call]:
        """Return the hedge of a late call, in a list of at most one call.

        Return no call if none is in flight, the request is not idempotent, or no
        other target is suitable. If the budget is exhausted, schedule the hedge for
        later.
        """
        if not shard.calls or not self.plan.idempotent:
            return []
        if not self.may_call or (self.is_suspect and not self.answered):
            return []
        self.late_calls += shard.calls.values()
        targets = self.find_targets(shard.service)
        others = [
            item
            for item in targets
            if item.id not in shard.tried_targets
            and self.may_run(shard, item.id)
            and not self.placement.is_avoided(item.id, now)
        ]
        if not others:
            return []
        if not self.budget.take(shard.service, now, HEDGE_RESERVE):
            self.schedule_hedge(shard, now + BUDGET_RECHECK_S)
            return []
        return [self.make_call(shard, CallKind.HEDGE, others, now)]

    def make_call(
        self,
        shard: ShardState,
        kind: CallKind,
        candidates: Sequence[TargetRecord],
        now: float,
    ) -> Call:
        """Record and return a call to the best candidate."""
        target = self.placement.choose(candidates, self.plan.usual_call_s, now)
        attempt = AttemptId(next(self.placement.attempt_ids))
        call = Call(attempt, kind, shard.service, target, now)
        self.placement.note_sent(target.id, attempt, now)
        shard.calls[call.id] = call
        shard.tried_targets.append(target.id)
        if kind is not CallKind.HEDGE:
            self.schedule_hedge(shard, self.get_hedge_time(now))
        return call

    def get_hedge_time(self, now: float) -> float:
        """Return the time from which a call sent now is late.

        Return NEVER if the call is not hedged or too few siblings have answered.
        """
        if not self.plan.idempotent or self.plan.hedge_after_s is None:
            return NEVER
        if len(self.shards) == 1:
            return now + self.plan.hedge_after_s
        median_s = self.latencies.median_s
        return NEVER if median_s is None else now + LATE_FACTOR * median_s

    def abandon(self, shard: ShardState) -> None:
        """Abandon a shard, unless a call to it is still in flight."""
        if shard.is_open and not shard.calls:
            shard.is_abandoned = True
            del self.open_shards[shard.service]
            self.abandoned += 1

    @property
    def is_certainly_not_run(self) -> bool:
        """Whether it is certain that no target ran or will run the request."""
        if self.may_have_run:
            return False
        return not any(
            call.id in self.transmitted_calls
            for shard in self.shards.values()
            for call in shard.calls.values()
        )
