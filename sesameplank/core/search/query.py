"""The state machine of one query over one plan; it does no input or output.

The driver starts a `QueryState`, sends the attempts that it returns, and passes
answers, failures and timer events back to it. The result of a shard is counted
once, from the first successful answer for the pinned snapshot; later answers are
discarded.
"""

import heapq
import math
from collections.abc import Iterable
from enum import Enum

from ...ids import AttemptId, ShardId, Snapshot, TargetId
from ..common.outcomes import Failure, FailureReason
from .attempts import Attempt, AttemptKind
from .choice import ReplicaChooser
from .coverage import Coverage, MissingRange, MissingReason
from .hedging import HedgePolicy
from .messages import ShardResult, ShardStatus, TargetSearchAnswer
from .plan import Plan, PlannedShard
from .ranges import merge_ranges

MAX_RETRY_ROUNDS = 4  # in addition to the first round
BASE_RETRY_DELAY_S = 0.01  # doubles with each round
CANARY_RECHECK_S = 0.02
CANARY_DELAY_S = 0.03  # After a crash, for its judgement.
HEDGE_RECHECK_DELAY_S = 0.05  # after the hedge budget refused a hedge
REFUSAL_REASONS = {
    ShardStatus.SNAPSHOT_MISSING: MissingReason.SNAPSHOT_GONE,
    ShardStatus.SHED: MissingReason.OVERLOADED,
    ShardStatus.NOT_OWNED: MissingReason.NOT_OWNED,
}


class ShardProgress:
    """The state of one shard while its query runs.

    `tried` and `failure_reasons` are the replicas called and the reasons for failures
    in the current round. `rounds` is the number of rounds after the first.
    `missing_reason` is the latest reason why the shard has no result.
    """

    def __init__(self, planned: PlannedShard) -> None:
        self.planned = planned
        self.result: ShardResult | None = None
        self.served_by: TargetId | None = None
        self.served_at: float | None = None
        self.in_flight: set[AttemptId] = set()
        self.tried: list[TargetId] = []
        self.attempts = 0
        self.rounds = 0
        self.hedged = False
        self.missing_reason = MissingReason.DEADLINE
        self.failure_reasons: set[MissingReason] = set()

    def get_untried(self) -> list[TargetId]:
        """Return the replicas that were not called yet in the current round."""
        return [item for item in self.planned.replicas if item not in self.tried]

    def note_failure(self, reason: MissingReason) -> None:
        """Record why an attempt returned no result for the shard."""
        self.missing_reason = reason
        self.failure_reasons.add(reason)

    def start_round(self) -> None:
        """Start a round in which every replica may be called once more."""
        self.rounds += 1
        self.tried.clear()
        self.failure_reasons.clear()


class TimerKind(Enum):
    """The action that a timer triggers."""

    HEDGE = "hedge"
    RETRY = "retry"
    CANARY = "canary"


class QueryState:
    """Decides which calls a query sends next, and when the query is done.

    If `is_suspect`, targets crashed under such queries. One call is then in flight at a
    time until a target answers. A shard is open until it has a result or is abandoned.
    In one round each replica of a shard is called at most once.
    """

    def __init__(
        self,
        plan: Plan,
        chooser: ReplicaChooser,
        hedge_policy: HedgePolicy,
        first_attempt_id: int = 0,
    ) -> None:
        self.plan = plan
        self.chooser = chooser
        self.hedge_policy = hedge_policy
        self.shards = {shard.id: ShardProgress(shard) for shard in plan.shards}
        self.open_shards = set(self.shards)
        self.attempts: dict[AttemptId, Attempt] = {}
        self.timers: list[tuple[float, int, TimerKind, AttemptId | ShardId]] = []
        self.timer_count = 0
        self.next_attempt_id = first_attempt_id
        self.may_have_redundant_attempts = False
        self.snapshot_missing = False
        self.map_outdated = False
        self.is_suspect = False
        self.is_answered = False
        self.quiet_until = -math.inf

    def start(self, now: float) -> list[Attempt]:
        """Return the first attempts, one for each target that is called."""
        self.hedge_policy.note_first_shards(len(self.shards))
        return self.make_attempts(AttemptKind.FIRST, self.shards.values(), now)

    @property
    def is_done(self) -> bool:
        """Return whether every shard has a result or is abandoned."""
        return not self.open_shards

    @property
    def needs_new_plan(self) -> bool:
        """Return whether a complete answer needs another snapshot or shard map."""
        return self.snapshot_missing or self.map_outdated

    def on_answer(
        self, attempt_id: AttemptId, answer: TargetSearchAnswer, now: float
    ) -> list[Attempt]:
        """Record an answer and return retries for the shards that it lacks.

        An answer for another snapshot than the plan's counts as a failure.
        """
        attempt = self.attempts.pop(attempt_id, None)
        if attempt is None:
            return []
        if answer.snapshot != self.plan.snapshot:
            return self.fail_attempt(attempt, MissingReason.UNREACHABLE, now)
        results = {result.shard: result for result in answer.results}
        retries = []
        served_count = 0
        for shard_id in attempt.shards:
            progress = self.shards[shard_id]
            progress.in_flight.discard(attempt_id)
            if progress.result is not None:
                continue
            result = results.get(shard_id)
            if result is not None and result.status is ShardStatus.OK:
                self.is_answered = True
                self.record_result(progress, attempt, result, now)
                served_count += 1
            else:
                progress.note_failure(get_refusal_reason(result))
                retries.append(progress)
        if served_count and attempt.kind is AttemptKind.HEDGE:
            self.hedge_policy.note_hedge_won()
        return self.retry(retries, now)

    def record_result(
        self, progress: ShardProgress, attempt: Attempt, result: ShardResult, now: float
    ) -> None:
        """Store the first successful result of a shard and close the shard."""
        progress.result = result
        progress.served_by = attempt.target
        progress.served_at = now
        self.open_shards.discard(progress.planned.id)

    def on_failure(
        self, attempt_id: AttemptId, failure: Failure, now: float
    ) -> list[Attempt]:
        """Record a failed attempt and return the attempts that replace it."""
        attempt = self.attempts.pop(attempt_id, None)
        if attempt is None:
            return []
        return self.fail_attempt(attempt, get_failure_reason(failure), now)

    def fail_attempt(
        self, attempt: Attempt, reason: MissingReason, now: float
    ) -> list[Attempt]:
        """Record a failed attempt and retry its open shards on other replicas."""
        retries = []
        for shard_id in attempt.shards:
            progress = self.shards[shard_id]
            progress.in_flight.discard(attempt.id)
            if progress.result is None:
                progress.note_failure(reason)
                retries.append(progress)
        return self.retry(retries, now)

    def retry(self, shards: list[ShardProgress], now: float) -> list[Attempt]:
        """Return retries on untried replicas for shards without a call in flight.

        The round of a shard ends if it has no untried replica. If the retry budget
        refuses, the shard waits for its next round.
        """
        if not shards:
            return []
        retryable = []
        for progress in shards:
            if progress.in_flight:
                continue
            if not progress.get_untried():
                self.end_round(progress, now)
            elif self.hedge_policy.take_retry(progress.missing_reason):
                retryable.append(progress)
            else:
                progress.missing_reason = MissingReason.RETRY_BUDGET
                self.schedule_round(progress, now)
        return self.make_attempts(AttemptKind.RETRY, retryable, now)

    def end_round(self, progress: ShardProgress, now: float) -> None:
        """Schedule the next round of a shard that no replica served, or abandon it.

        The shard is abandoned if it needs another snapshot or shard map, since no
        further call of this plan could serve it.
        """
        if MissingReason.SNAPSHOT_GONE in progress.failure_reasons:
            self.snapshot_missing = True
        elif MissingReason.NOT_OWNED in progress.failure_reasons:
            self.map_outdated = True
        else:
            self.schedule_round(progress, now)
            return
        self.open_shards.discard(progress.planned.id)

    def schedule_round(self, progress: ShardProgress, now: float) -> None:
        """Schedule the next round after exponential backoff, or abandon the shard."""
        if progress.rounds >= MAX_RETRY_ROUNDS:
            self.open_shards.discard(progress.planned.id)
            return
        delay_s = BASE_RETRY_DELAY_S * 2**progress.rounds
        self.add_timer(now + delay_s, TimerKind.RETRY, progress.planned.id)

    def add_timer(
        self, time: float, kind: TimerKind, subject: AttemptId | ShardId
    ) -> None:
        """Schedule an action at `time`, in seconds of the clock."""
        self.timer_count += 1
        heapq.heappush(self.timers, (time, self.timer_count, kind, subject))

    def get_next_timer(self) -> float | None:
        """Return when `on_timer` should run next, in seconds, or None.

        Hedge timers of attempts that have ended are removed once they reach the head
        of the heap, so that no call searches all timers.
        """
        while self.timers:
            time, _, kind, subject = self.timers[0]
            if kind is not TimerKind.HEDGE or subject in self.attempts:
                return time
            heapq.heappop(self.timers)
        return None

    def on_timer(self, now: float) -> list[Attempt]:
        """Return hedges for late attempts, and retries whose delay is over."""
        hedges: list[ShardProgress] = []
        retries: list[ShardProgress] = []
        held: list[ShardProgress] = []
        while (time := self.get_next_timer()) is not None and time <= now:
            _, _, kind, subject = heapq.heappop(self.timers)
            if kind is TimerKind.HEDGE:
                hedges += self.start_hedge(self.attempts[subject], now)
            elif kind is TimerKind.CANARY:
                held += self.get_held(self.shards[subject])
            elif (progress := self.shards[subject]).result is None:
                retries += self.start_retry_round(progress, now)
        return [
            *self.make_attempts(AttemptKind.HEDGE, hedges, now),
            *self.make_attempts(AttemptKind.RETRY, retries, now),
            *self.make_attempts(AttemptKind.FIRST, held, now),
        ]

    def get_held(self, progress: ShardProgress) -> list[ShardProgress]:
        """Return a shard whose call was held, if it is still needed."""
        is_needed = progress.result is None and not progress.in_flight
        return [progress] if is_needed else []

    def start_retry_round(
        self, progress: ShardProgress, now: float
    ) -> list[ShardProgress]:
        """Return the shard if the retry budget allows a round, else reschedule it."""
        cause = progress.missing_reason
        progress.start_round()
        if self.hedge_policy.take_retry(cause):
            return [progress]
        progress.missing_reason = MissingReason.RETRY_BUDGET
        self.schedule_round(progress, now)
        return []

    def start_hedge(self, attempt: Attempt, now: float) -> list[ShardProgress]:
        """Mark the shards of a late attempt that can be hedged, and return them.

        If the hedge budget refuses, the timer is set again.
        """
        hedgeable = self.get_hedgeable_shards(attempt)
        if not hedgeable or (self.is_suspect and not self.is_answered):
            return []
        if not self.hedge_policy.take_hedge(len(hedgeable)):
            self.add_timer(now + HEDGE_RECHECK_DELAY_S, TimerKind.HEDGE, attempt.id)
            return []
        for progress in hedgeable:
            progress.hedged = True
        return hedgeable

    def get_hedgeable_shards(self, attempt: Attempt) -> list[ShardProgress]:
        """Return the attempt's open shards that a hedge could still serve."""
        return [
            progress
            for shard_id in attempt.shards
            if (progress := self.shards[shard_id]).result is None
            and not progress.hedged
            and any(
                self.chooser.can_receive_hedge(item) for item in progress.get_untried()
            )
        ]

    def make_attempts(
        self, kind: AttemptKind, shards: Iterable[ShardProgress], now: float
    ) -> list[Attempt]:
        """Choose a replica for each shard; return one recorded attempt per target."""
        by_target: dict[TargetId, list[ShardId]] = {}
        counts: dict[TargetId, int] = {}
        for progress in shards:
            candidates = progress.get_untried()
            if not candidates:
                continue
            if self.must_hold(by_target, now):
                recheck_at = now + CANARY_RECHECK_S
                self.add_timer(recheck_at, TimerKind.CANARY, progress.planned.id)
                continue
            target = self.chooser.choose_replica(candidates, counts)
            counts[target] = counts.get(target, 0) + 1
            by_target.setdefault(target, []).append(progress.planned.id)
        return [
            self.add_attempt(kind, target, shard_ids, now)
            for target, shard_ids in by_target.items()
        ]

    def note_crash(self, now: float) -> None:
        """Record that a target crashed under a call; the next one waits a little."""
        self.is_suspect = True
        self.quiet_until = now + CANARY_DELAY_S

    def must_hold(self, chosen: dict[TargetId, list[ShardId]], now: float) -> bool:
        """Return whether a further call has to wait for the outcome of another one."""
        if not self.is_suspect or self.is_answered:
            return False
        return now < self.quiet_until or bool(self.attempts or chosen)

    def add_attempt(
        self, kind: AttemptKind, target: TargetId, shard_ids: list[ShardId], now: float
    ) -> Attempt:
        """Record one attempt, update its shards and schedule its hedge."""
        attempt = Attempt(
            AttemptId(self.next_attempt_id),
            kind,
            self.plan.collection,
            target,
            tuple(shard_ids),
            now,
        )
        self.next_attempt_id += 1
        self.attempts[attempt.id] = attempt
        for shard_id in shard_ids:
            progress = self.shards[shard_id]
            progress.in_flight.add(attempt.id)
            progress.tried.append(target)
            progress.attempts += 1
        if kind is AttemptKind.HEDGE:
            self.may_have_redundant_attempts = True
        elif (hedge_at := self.hedge_policy.get_hedge_time(attempt)) is not None:
            self.add_timer(hedge_at, TimerKind.HEDGE, attempt.id)
        return attempt

    def pop_redundant_attempts(self) -> list[Attempt]:
        """Remove and return attempts whose shards all have results already.

        The driver cancels these attempts; they do not count as failures.
        """
        if not self.may_have_redundant_attempts:
            return []
        redundant = [
            attempt
            for attempt in self.attempts.values()
            if all(self.shards[item].result is not None for item in attempt.shards)
        ]
        for attempt in redundant:
            del self.attempts[attempt.id]
        return redundant

    def get_coverage(self) -> Coverage:
        """Return the ranges covered so far, and the missing ones with the reason."""
        covered = merge_ranges(
            item.planned.range for item in self.shards.values() if item.result
        )
        missing = tuple(
            MissingRange(
                item.planned.range.start, item.planned.range.end, item.missing_reason
            )
            for item in self.shards.values()
            if item.result is None
        )
        return Coverage(covered, missing)

    def get_results(self) -> list[ShardResult]:
        """Return the one result of each answered shard."""
        return [item.result for item in self.shards.values() if item.result]

    @property
    def snapshot(self) -> Snapshot:
        """The snapshot that every attempt is pinned to."""
        return self.plan.snapshot


def get_refusal_reason(result: ShardResult | None) -> MissingReason:
    """Return why a target did not serve a shard; None counts as not owned."""
    if result is None:
        return MissingReason.NOT_OWNED
    return REFUSAL_REASONS[result.status]


def get_failure_reason(failure: Failure) -> MissingReason:
    """Return why the shards of a failed call are missing."""
    if failure.reason is FailureReason.TIMEOUT:
        return MissingReason.DEADLINE
    if failure.reason is FailureReason.QUEUE_FULL:
        return MissingReason.OVERLOADED
    return MissingReason.UNREACHABLE
