"""The state of one forwarded request over one or many shards, without I/O.

The driver sends the calls that the methods return and feeds back answers,
failures and time. Each shard is answered once; a second copy goes out when the
first is late, and a failed call is repeated while the route and the budget of
extra load allow it.

A request takes about the same work at every shard, so a call is late by the
times of its siblings: a request that is heavy as a whole is not hedged.
"""

import bisect
import math
from collections.abc import Callable, Sequence
from enum import Enum

import msgspec

from ..ids import AttemptId, ServiceName, TargetId
from .extra_load import ExtraLoadBudget
from .outcomes import Ran
from .placement import Placement
from .target_table import TargetRecord

RETRY_PAUSE_S = 0.01
MAX_RETRY_PAUSE_S = 0.08
BUDGET_PAUSE_S = 0.03
HEDGE_RESERVE = 0.25
SCARCE_FILL = 0.5
SPARE_RESERVE = 0.6
SIBLING_SHARE = 0.15
LATE_FACTOR = 2.6  # Work beside a noisy neighbour takes up to 2.5 times as long.
LATE_SLACK_S = 0.002
COPY_FACTOR = 1.6
MIN_LATE_FACTOR = 1.3
NEVER = float("inf")

FindTargets = Callable[[ServiceName], Sequence[TargetRecord]]


class CallKind(Enum):
    """Why a call is sent."""

    FIRST = "first"
    HEDGE = "hedge"
    RETRY = "retry"


class Verdict(Enum):
    """What has become of a request."""

    OPEN = "open"
    ANSWERED = "answered"
    HOPELESS = "hopeless"
    EXPIRED = "expired"


class FanoutPlan(msgspec.Struct, frozen=True):
    """What a request may cost and when it is due; times in seconds.

    `required` is the least number of shards that makes an answer. Before
    `objective_at` the request waits for every shard, after it for the required ones.
    """

    shards: tuple[ServiceName, ...]
    required: int
    idempotent: bool
    max_attempts: int
    objective_at: float
    deadline_at: float
    usual_call_s: float
    hedge_after_s: float | None


class Call(msgspec.Struct, frozen=True):
    """One call to one target for one shard."""

    id: AttemptId
    kind: CallKind
    shard: ServiceName
    target: TargetRecord
    sent_at: float


class ShardState:
    """What is known of one shard of a request."""

    def __init__(self, service: ServiceName) -> None:
        self.service = service
        self.calls: dict[AttemptId, Call] = {}
        self.tried: list[TargetId] = []
        self.runs: set[TargetId] = set()
        self.has_transmitted = False
        self.failures = 0
        self.is_answered = False
        self.is_given_up = False
        self.hedge_at = NEVER
        self.retry_at = NEVER

    @property
    def is_open(self) -> bool:
        """Tell whether the shard may still be answered."""
        return not self.is_answered and not self.is_given_up


class Fanout:
    """Decides what a request sends next, and when it is done."""

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
        self.waiting = dict(self.shards)
        self.answered = 0
        self.given_up = 0
        self.may_have_run = False
        self.ran_out_of_time = False
        self.transmitted_calls: set[AttemptId] = set()
        self.times_s: list[float] = []
        self.answered_calls: list[tuple[Call, float]] = []
        self.due_at = plan.deadline_at
        self.min_siblings = max(1, math.ceil(SIBLING_SHARE * len(plan.shards)))

    def start(self, now: float) -> list[Call]:
        """Return the first call of every shard."""
        calls = []
        for shard in self.shards.values():
            self.budget.note_request(shard.service, now)
            calls += self.send(shard, CallKind.FIRST, now)
        return calls

    def get_verdict(self, now: float) -> Verdict:
        """Return what has become of the request at this time."""
        total = len(self.shards)
        if self.answered == total:
            return Verdict.ANSWERED
        if total - self.given_up < self.plan.required:
            return Verdict.EXPIRED if self.ran_out_of_time else Verdict.HOPELESS
        if self.answered >= self.plan.required:
            settled = self.answered + self.given_up == total
            if settled or now >= self.plan.objective_at:
                return Verdict.ANSWERED
        if now >= self.plan.deadline_at:
            return Verdict.EXPIRED
        return Verdict.OPEN

    def get_next_timer(self) -> float:
        """Return when `on_timer` has to be called next, in seconds.

        Until something is due earlier, which `due_at` tells at once.
        """
        due = self.plan.deadline_at
        if self.answered >= self.plan.required:
            due = min(due, self.plan.objective_at)
        for shard in self.waiting.values():
            if shard.hedge_at < due:
                due = shard.hedge_at
            if shard.retry_at < due:
                due = shard.retry_at
        self.due_at = due
        return due

    def set_hedge(self, shard: ShardState, at: float) -> None:
        """Set when a shard's call is late."""
        shard.hedge_at = at
        self.due_at = min(self.due_at, at)

    def set_retry(self, shard: ShardState, at: float) -> None:
        """Set when a shard's next call is sent."""
        shard.retry_at = at
        self.due_at = min(self.due_at, at)

    def on_timer(self, now: float) -> list[Call]:
        """Return the hedges and retries that are due."""
        calls = []
        for shard in list(self.waiting.values()):
            if shard.retry_at <= now:
                shard.retry_at = NEVER
                calls += self.send(shard, CallKind.RETRY, now)
            elif shard.hedge_at <= now:
                shard.hedge_at = NEVER
                calls += self.hedge(shard, now)
        return calls

    def on_answer(self, call: Call, now: float) -> bool:
        """Take a good answer in; False if the shard was answered before."""
        shard = self.shards[call.shard]
        shard.calls.pop(call.id, None)
        self.may_have_run = True
        if not shard.is_open:
            return False
        shard.is_answered = True
        del self.waiting[shard.service]
        self.answered += 1
        if self.answered == self.plan.required:
            self.due_at = min(self.due_at, self.plan.objective_at)
        elapsed_s = now - call.sent_at
        self.answered_calls.append((call, elapsed_s))
        bisect.insort(self.times_s, elapsed_s)
        if len(self.shards) > 1 and self.answered % self.min_siblings == 0:
            self.watch_siblings()
        return True

    @property
    def typical_s(self) -> float | None:
        """The median time of the answered calls, None while they are few."""
        if len(self.times_s) < self.min_siblings:
            return None
        return self.times_s[len(self.times_s) // 2]

    def watch_siblings(self) -> None:
        """Set when the calls in flight are late by the answered ones."""
        typical_s = self.typical_s
        if typical_s is None or not self.plan.idempotent:
            return
        late_s = LATE_FACTOR * typical_s + LATE_SLACK_S
        for shard in self.waiting.values():
            if len(shard.calls) == 1:
                (call,) = shard.calls.values()
                last_s = self.plan.objective_at - call.sent_at - COPY_FACTOR * typical_s
                delay_s = max(MIN_LATE_FACTOR * typical_s, min(late_s, last_s))
                self.set_hedge(shard, call.sent_at + delay_s)

    def finish(self, now: float) -> None:
        """Teach the placement how fast the targets were beside each other."""
        typical_s = self.typical_s
        if typical_s is None or len(self.shards) == 1:
            return
        for call, elapsed_s in self.answered_calls:
            self.placement.note_relative_latency(
                call.target.id, elapsed_s / typical_s, now
            )
        for shard in self.shards.values():
            for call in shard.calls.values():
                relative_latency = (now - call.sent_at) / typical_s
                if relative_latency > MIN_LATE_FACTOR:
                    self.placement.note_relative_latency(
                        call.target.id, relative_latency, now
                    )

    def on_failure(self, call: Call, ran: Ran, now: float) -> list[Call]:
        """Take a failed call in and return the calls that follow it."""
        shard = self.shards[call.shard]
        shard.calls.pop(call.id, None)
        shard.failures += 1
        if ran is not Ran.NOT_RUN:
            self.may_have_run = True
            shard.runs.add(call.target.id)
        if not shard.is_open or shard.calls:
            return []
        if ran is not Ran.NOT_RUN and not self.plan.idempotent:
            self.give_up(shard)
            return []
        return self.send(shard, CallKind.RETRY, now)

    def note_transmitted(self, call: Call) -> None:
        """Note that the call's bytes left, so that any further one is extra."""
        self.shards[call.shard].has_transmitted = True
        self.transmitted_calls.add(call.id)

    def send(self, shard: ShardState, kind: CallKind, now: float) -> list[Call]:
        """Return a call to the best target of a shard, or plan one for later."""
        known = self.find_targets(shard.service)
        allowed = self.get_allowed(shard, known)
        if not allowed:
            self.give_up(shard)
            return []
        if kind is CallKind.RETRY and self.is_too_late(now):
            self.ran_out_of_time = True
            self.give_up(shard)
            return []
        fresh = [item for item in allowed if item.id not in shard.tried]
        if not fresh:
            shard.tried.clear()
            pause_s = RETRY_PAUSE_S * 2 ** min(shard.failures, 4)
            self.set_retry(shard, now + min(MAX_RETRY_PAUSE_S, pause_s))
            return []
        if shard.has_transmitted and not self.may_spend(shard, now):
            self.set_retry(shard, now + BUDGET_PAUSE_S)
            return []
        return [self.make_call(shard, kind, fresh, now)]

    def is_too_late(self, now: float) -> bool:
        """Tell whether a call sent now would end after the deadline.

        A call that is under way at the deadline may have run, and then it
        cannot be said that the request has not.
        """
        return now + self.plan.usual_call_s > self.plan.deadline_at

    def may_spend(self, shard: ShardState, now: float) -> bool:
        """Take a token for a retry, or return False.

        A scarce budget goes where it completes an answer in time: not to a
        request that has its required parts or has missed its objective, and
        not before it is known how many parts are missing.
        """
        is_needed = self.answered < self.plan.required and now < self.plan.objective_at
        if not is_needed:
            return self.budget.take(shard.service, now, SPARE_RESERVE)
        is_scarce = self.budget.get_fill(shard.service, now) < SCARCE_FILL
        if is_scarce and self.may_need_fewer_retries():
            return False
        return self.budget.take(shard.service, now)

    def may_need_fewer_retries(self) -> bool:
        """Tell whether calls in flight can make some of the retries needless."""
        in_flight = sum(bool(shard.calls) for shard in self.waiting.values())
        waiting = len(self.waiting) - in_flight
        needed = self.plan.required - self.answered - in_flight
        return in_flight > 0 and needed < waiting

    def get_allowed(
        self, shard: ShardState, known: Sequence[TargetRecord]
    ) -> Sequence[TargetRecord]:
        """Return the targets on which the route allows the shard to run."""
        if not shard.runs and not shard.calls:
            return known
        return [item for item in known if self.may_run(shard, item.id)]

    def may_run(self, shard: ShardState, target: TargetId) -> bool:
        """Tell whether the route allows the shard to run on one more target."""
        busy = shard.runs | {call.target.id for call in shard.calls.values()}
        return target in busy or len(busy) < self.plan.max_attempts

    def hedge(self, shard: ShardState, now: float) -> list[Call]:
        """Return a second copy of a late call, if one is worth sending."""
        if not shard.calls or not self.plan.idempotent:
            return []
        known = self.find_targets(shard.service)
        others = [
            item
            for item in known
            if item.id not in shard.tried
            and self.may_run(shard, item.id)
            and not self.placement.is_avoided(item.id, now)
        ]
        if not others:
            return []
        if not self.budget.take(shard.service, now, HEDGE_RESERVE):
            self.set_hedge(shard, now + BUDGET_PAUSE_S)
            return []
        return [self.make_call(shard, CallKind.HEDGE, others, now)]

    def make_call(
        self,
        shard: ShardState,
        kind: CallKind,
        candidates: Sequence[TargetRecord],
        now: float,
    ) -> Call:
        """Record one call to the best candidate."""
        target = self.placement.choose(candidates, self.plan.usual_call_s, now)
        attempt = AttemptId(next(self.placement.attempt_ids))
        call = Call(attempt, kind, shard.service, target, now)
        self.placement.note_sent(target.id, attempt, now)
        shard.calls[call.id] = call
        shard.tried.append(target.id)
        if kind is not CallKind.HEDGE:
            self.set_hedge(shard, self.get_hedge_time(now))
        return call

    def get_hedge_time(self, now: float) -> float:
        """Return when a call sent now is late, as far as is known."""
        if not self.plan.idempotent or self.plan.hedge_after_s is None:
            return NEVER
        if len(self.shards) == 1:
            return now + self.plan.hedge_after_s
        typical_s = self.typical_s
        return NEVER if typical_s is None else now + LATE_FACTOR * typical_s

    def give_up(self, shard: ShardState) -> None:
        """Note that nothing more can be done for a shard."""
        if shard.is_open and not shard.calls:
            shard.is_given_up = True
            del self.waiting[shard.service]
            self.given_up += 1

    @property
    def is_certainly_not_run(self) -> bool:
        """Tell whether surely no target runs, or ever will run, the request."""
        if self.may_have_run:
            return False
        return not any(
            call.id in self.transmitted_calls
            for shard in self.shards.values()
            for call in shard.calls.values()
        )
