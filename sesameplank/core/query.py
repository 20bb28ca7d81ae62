"""The state of one query over one plan, without input or output.

The driver starts a `QueryState`, sends the attempts it returns, and feeds back
answers, failures and the passing of time. A shard is counted once, from the
first good answer of the pinned snapshot; later answers are dropped.
"""

from collections.abc import Iterable
from enum import Enum

import msgspec

from ..ids import AttemptId, ShardId, Snapshot, TargetId
from .choice import ReplicaChooser
from .coverage import Coverage, MissingRange, MissingReason
from .hedging import HedgePolicy
from .messages import ShardResult, ShardStatus, TargetSearchAnswer
from .outcomes import Failure, FailureReason
from .plan import Plan, PlannedShard
from .ranges import merge_ranges


class AttemptKind(Enum):
    """Why an attempt was sent."""

    FIRST = "first"
    RETRY = "retry"
    HEDGE = "hedge"


class Attempt(msgspec.Struct, frozen=True):
    """One call to one target for some shards of the plan."""

    id: AttemptId
    kind: AttemptKind
    target: TargetId
    shards: tuple[ShardId, ...]
    sent_at: float


class ShardProgress:
    """What is known of one shard while its query runs."""

    def __init__(self, planned: PlannedShard) -> None:
        self.planned = planned
        self.result: ShardResult | None = None
        self.served_by: TargetId | None = None
        self.served_at: float | None = None
        self.in_flight: set[AttemptId] = set()
        self.tried: list[TargetId] = []
        self.hedged = False
        self.missing = MissingReason.DEADLINE

    @property
    def is_settled(self) -> bool:
        """Tell whether no more can be learned of the shard."""
        return self.result is not None or not self.in_flight

    def get_untried(self) -> list[TargetId]:
        """Return the replicas that the query has not asked yet."""
        return [item for item in self.planned.replicas if item not in self.tried]


class QueryState:
    """Decides what a query sends next, and when it is done."""

    def __init__(
        self,
        plan: Plan,
        chooser: ReplicaChooser,
        hedges: HedgePolicy,
        first_attempt_id: int = 0,
    ) -> None:
        self.plan = plan
        self.chooser = chooser
        self.hedges = hedges
        self.shards = {shard.id: ShardProgress(shard) for shard in plan.shards}
        self.attempts: dict[AttemptId, Attempt] = {}
        self.next_attempt_id = first_attempt_id
        self.snapshot_missing = False
        self.map_outdated = False

    def start(self, now: float) -> list[Attempt]:
        """Return the first attempts, one for each target that is asked."""
        return self.send(AttemptKind.FIRST, self.shards.values(), now)

    @property
    def is_done(self) -> bool:
        """Tell whether every shard is answered or given up."""
        return all(shard.is_settled for shard in self.shards.values())

    @property
    def needs_new_plan(self) -> bool:
        """Tell whether only a plan of another snapshot or map can be whole."""
        return self.snapshot_missing or self.map_outdated

    def on_answer(
        self, attempt_id: AttemptId, answer: TargetSearchAnswer, now: float
    ) -> list[Attempt]:
        """Take an answer in and return the attempts that it calls for."""
        attempt = self.attempts.pop(attempt_id, None)
        if attempt is None:
            return []
        if answer.snapshot != self.plan.snapshot:
            return self.fail_attempt(attempt, MissingReason.UNREACHABLE, now)
        results = {result.shard: result for result in answer.results}
        retries = []
        for shard_id in attempt.shards:
            progress = self.shards[shard_id]
            progress.in_flight.discard(attempt_id)
            if progress.result is not None:
                continue
            result = results.get(shard_id)
            if result is not None and result.status is ShardStatus.OK:
                progress.result = result
                progress.served_by = attempt.target
                progress.served_at = now
            else:
                self.note_refusal(progress, result)
                retries.append(progress)
        return self.retry(retries, now)

    def note_refusal(self, progress: ShardProgress, result: ShardResult | None) -> None:
        """Remember why a target did not serve a shard."""
        status = ShardStatus.NOT_OWNED if result is None else result.status
        if status is ShardStatus.SNAPSHOT_MISSING:
            progress.missing = MissingReason.SNAPSHOT_GONE
        elif status is ShardStatus.SHED:
            progress.missing = MissingReason.OVERLOADED
        else:
            progress.missing = MissingReason.NOT_OWNED

    def on_failure(
        self, attempt_id: AttemptId, failure: Failure, now: float
    ) -> list[Attempt]:
        """Take a failed attempt in and return the attempts that replace it."""
        attempt = self.attempts.pop(attempt_id, None)
        if attempt is None:
            return []
        if failure.reason is FailureReason.TIMEOUT:
            return self.fail_attempt(attempt, MissingReason.DEADLINE, now)
        return self.fail_attempt(attempt, MissingReason.UNREACHABLE, now)

    def fail_attempt(
        self, attempt: Attempt, reason: MissingReason, now: float
    ) -> list[Attempt]:
        """Give an attempt up and send its open shards elsewhere."""
        retries = []
        for shard_id in attempt.shards:
            progress = self.shards[shard_id]
            progress.in_flight.discard(attempt.id)
            if progress.result is None:
                progress.missing = reason
                retries.append(progress)
        return self.retry(retries, now)

    def retry(self, shards: Iterable[ShardProgress], now: float) -> list[Attempt]:
        """Send shards that nobody serves any more to untried replicas."""
        again = []
        for progress in shards:
            if progress.in_flight:
                continue
            if not progress.get_untried():
                self.note_exhausted(progress)
            elif self.hedges.take_retry():
                again.append(progress)
        return self.send(AttemptKind.RETRY, again, now)

    def note_exhausted(self, progress: ShardProgress) -> None:
        """Ask for a new plan where every replica refused for a lasting reason."""
        if progress.missing is MissingReason.SNAPSHOT_GONE:
            self.snapshot_missing = True
        elif progress.missing is MissingReason.NOT_OWNED:
            self.map_outdated = True

    def get_next_timer(self) -> float | None:
        """Return when `on_timer` should run next, in seconds, or None."""
        times = [
            hedge_at
            for attempt in self.attempts.values()
            if attempt.kind is not AttemptKind.HEDGE
            and self.get_hedgeable(attempt)
            and (hedge_at := self.hedges.get_hedge_time(attempt)) is not None
        ]
        return min(times, default=None)

    def get_hedgeable(self, attempt: Attempt) -> list[ShardProgress]:
        """Return the attempt's open shards that a hedge could still serve."""
        return [
            progress
            for shard_id in attempt.shards
            if (progress := self.shards[shard_id]).result is None
            and not progress.hedged
            and progress.get_untried()
        ]

    def on_timer(self, now: float) -> list[Attempt]:
        """Return hedges for the attempts that have waited too long."""
        due = []
        for attempt in list(self.attempts.values()):
            if attempt.kind is AttemptKind.HEDGE:
                continue
            hedge_at = self.hedges.get_hedge_time(attempt)
            if hedge_at is None or hedge_at > now:
                continue
            for progress in self.get_hedgeable(attempt):
                progress.hedged = True
                if self.hedges.take_hedge():
                    due.append(progress)
        return self.send(AttemptKind.HEDGE, due, now)

    def send(
        self, kind: AttemptKind, shards: Iterable[ShardProgress], now: float
    ) -> list[Attempt]:
        """Group shards by the replica chosen for each and record the attempts."""
        by_target: dict[TargetId, list[ShardId]] = {}
        counts: dict[TargetId, int] = {}
        for progress in shards:
            candidates = progress.get_untried()
            if not candidates:
                continue
            target = self.chooser.choose_replica(candidates, counts)
            counts[target] = counts.get(target, 0) + 1
            by_target.setdefault(target, []).append(progress.planned.id)
        return [
            self.add_attempt(kind, target, shard_ids, now)
            for target, shard_ids in by_target.items()
        ]

    def add_attempt(
        self, kind: AttemptKind, target: TargetId, shard_ids: list[ShardId], now: float
    ) -> Attempt:
        """Record one attempt and mark its shards."""
        attempt = Attempt(
            AttemptId(self.next_attempt_id), kind, target, tuple(shard_ids), now
        )
        self.next_attempt_id += 1
        self.attempts[attempt.id] = attempt
        for shard_id in shard_ids:
            progress = self.shards[shard_id]
            progress.in_flight.add(attempt.id)
            progress.tried.append(target)
        return attempt

    def get_losers(self) -> list[Attempt]:
        """Return attempts in flight whose shards are all answered by others."""
        return [
            attempt
            for attempt in self.attempts.values()
            if all(self.shards[item].result is not None for item in attempt.shards)
        ]

    def get_coverage(self) -> Coverage:
        """Return what the answers so far cover, and why the rest is missing."""
        covered = merge_ranges(
            item.planned.range for item in self.shards.values() if item.result
        )
        missing = tuple(
            MissingRange(item.planned.range.start, item.planned.range.end, item.missing)
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
