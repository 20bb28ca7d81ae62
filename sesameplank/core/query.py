"""The state of one query over one plan, without input or output.

The driver starts a `QueryState`, sends the attempts it returns, and feeds back
answers, failures and the passing of time. A shard is counted once, from the
first good answer of the pinned snapshot; later answers are dropped.
"""

import heapq
from collections.abc import Iterable
from enum import Enum

from ..ids import AttemptId, ShardId, Snapshot, TargetId
from .attempts import Attempt, AttemptKind
from .choice import ReplicaChooser
from .coverage import Coverage, MissingRange, MissingReason
from .hedging import HedgePolicy
from .messages import ShardResult, ShardStatus, TargetSearchAnswer
from .outcomes import Failure, FailureReason
from .plan import Plan, PlannedShard
from .ranges import merge_ranges

MAX_EXTRA_ROUNDS = 4
ROUND_PAUSE_S = 0.01
HEDGE_PAUSE_S = 0.05
REFUSAL_REASONS = {
    ShardStatus.SNAPSHOT_MISSING: MissingReason.SNAPSHOT_GONE,
    ShardStatus.SHED: MissingReason.OVERLOADED,
    ShardStatus.NOT_OWNED: MissingReason.NOT_OWNED,
}


class ShardProgress:
    """What is known of one shard while its query runs."""

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
        self.missing = MissingReason.DEADLINE
        self.failures: set[MissingReason] = set()

    def get_untried(self) -> list[TargetId]:
        """Return the replicas that this round has not asked yet."""
        return [item for item in self.planned.replicas if item not in self.tried]

    def note_failure(self, reason: MissingReason) -> None:
        """Remember why an attempt brought nothing."""
        self.missing = reason
        self.failures.add(reason)

    def start_round(self) -> None:
        """Let every replica be asked once more."""
        self.rounds += 1
        self.tried.clear()
        self.failures.clear()


class TimerKind(Enum):
    """What a timer of a query is for."""

    HEDGE = "hedge"
    RETRY = "retry"


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
        self.open_shards = set(self.shards)
        self.attempts: dict[AttemptId, Attempt] = {}
        self.timers: list[tuple[float, int, TimerKind, AttemptId | ShardId]] = []
        self.timer_count = 0
        self.next_attempt_id = first_attempt_id
        self.may_have_losers = False
        self.snapshot_missing = False
        self.map_outdated = False

    def start(self, now: float) -> list[Attempt]:
        """Return the first attempts, one for each target that is asked."""
        self.hedges.note_first(len(self.shards))
        return self.send(AttemptKind.FIRST, self.shards.values(), now)

    @property
    def is_done(self) -> bool:
        """Tell whether every shard is answered or given up."""
        return not self.open_shards

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
        served = 0
        for shard_id in attempt.shards:
            progress = self.shards[shard_id]
            progress.in_flight.discard(attempt_id)
            if progress.result is not None:
                continue
            result = results.get(shard_id)
            if result is not None and result.status is ShardStatus.OK:
                self.settle(progress, attempt, result, now)
                served += 1
            else:
                progress.note_failure(get_refusal_reason(result))
                retries.append(progress)
        if served and attempt.kind is AttemptKind.HEDGE:
            self.hedges.note_hedge_won()
        return self.retry(retries, now)

    def settle(
        self, progress: ShardProgress, attempt: Attempt, result: ShardResult, now: float
    ) -> None:
        """Count a shard from its first good answer."""
        progress.result = result
        progress.served_by = attempt.target
        progress.served_at = now
        self.open_shards.discard(progress.planned.id)

    def on_failure(
        self, attempt_id: AttemptId, failure: Failure, now: float
    ) -> list[Attempt]:
        """Take a failed attempt in and return the attempts that replace it."""
        attempt = self.attempts.pop(attempt_id, None)
        if attempt is None:
            return []
        return self.fail_attempt(attempt, get_failure_reason(failure), now)

    def fail_attempt(
        self, attempt: Attempt, reason: MissingReason, now: float
    ) -> list[Attempt]:
        """Give an attempt up and send its open shards elsewhere."""
        retries = []
        for shard_id in attempt.shards:
            progress = self.shards[shard_id]
            progress.in_flight.discard(attempt.id)
            if progress.result is None:
                progress.note_failure(reason)
                retries.append(progress)
        return self.retry(retries, now)

    def retry(self, shards: list[ShardProgress], now: float) -> list[Attempt]:
        """Send shards that nobody serves any more to untried replicas."""
        if not shards:
            return []
        again = []
        for progress in shards:
            if progress.in_flight:
                continue
            if not progress.get_untried():
                self.end_round(progress, now)
            elif self.hedges.take_retry(progress.missing):
                again.append(progress)
            else:
                progress.missing = MissingReason.RETRY_BUDGET
                self.schedule_round(progress, now)
        return self.send(AttemptKind.RETRY, again, now)

    def end_round(self, progress: ShardProgress, now: float) -> None:
        """Act on a shard that every replica failed to serve in this round."""
        if MissingReason.SNAPSHOT_GONE in progress.failures:
            self.snapshot_missing = True
        elif MissingReason.NOT_OWNED in progress.failures:
            self.map_outdated = True
        else:
            self.schedule_round(progress, now)
            return
        self.open_shards.discard(progress.planned.id)

    def schedule_round(self, progress: ShardProgress, now: float) -> None:
        """Ask the replicas again after a pause, or give the shard up."""
        if progress.rounds >= MAX_EXTRA_ROUNDS:
            self.open_shards.discard(progress.planned.id)
            return
        pause_s = ROUND_PAUSE_S * 2**progress.rounds
        self.add_timer(now + pause_s, TimerKind.RETRY, progress.planned.id)

    def add_timer(
        self, time: float, kind: TimerKind, subject: AttemptId | ShardId
    ) -> None:
        """Remember to act at a time, in seconds."""
        self.timer_count += 1
        heapq.heappush(self.timers, (time, self.timer_count, kind, subject))

    def get_next_timer(self) -> float | None:
        """Return when `on_timer` should run next, in seconds, or None.

        Hedge timers of attempts that have ended are dropped on the way, so the
        call costs little however many attempts there were.
        """
        while self.timers:
            time, _, kind, subject = self.timers[0]
            if kind is TimerKind.RETRY or subject in self.attempts:
                return time
            heapq.heappop(self.timers)
        return None

    def on_timer(self, now: float) -> list[Attempt]:
        """Return hedges for late attempts and retries whose pause is over."""
        hedges: list[ShardProgress] = []
        retries: list[ShardProgress] = []
        while (time := self.get_next_timer()) is not None and time <= now:
            _, _, kind, subject = heapq.heappop(self.timers)
            if kind is TimerKind.HEDGE:
                hedges += self.take_hedge(self.attempts[subject], now)
            elif (progress := self.shards[subject]).result is None:
                retries += self.take_round(progress, now)
        return [
            *self.send(AttemptKind.HEDGE, hedges, now),
            *self.send(AttemptKind.RETRY, retries, now),
        ]

    def take_round(self, progress: ShardProgress, now: float) -> list[ShardProgress]:
        """Return the shard if the budget allows a further round, else wait again."""
        cause = progress.missing
        progress.start_round()
        if self.hedges.take_retry(cause):
            return [progress]
        progress.missing = MissingReason.RETRY_BUDGET
        self.schedule_round(progress, now)
        return []

    def take_hedge(self, attempt: Attempt, now: float) -> list[ShardProgress]:
        """Return the shards of a late attempt that are sent a second time."""
        due = self.get_hedgeable(attempt)
        if not due:
            return []
        if not self.hedges.take_hedge(len(due)):
            self.add_timer(now + HEDGE_PAUSE_S, TimerKind.HEDGE, attempt.id)
            return []
        for progress in due:
            progress.hedged = True
        return due

    def get_hedgeable(self, attempt: Attempt) -> list[ShardProgress]:
        """Return the attempt's open shards that a hedge could still serve."""
        return [
            progress
            for shard_id in attempt.shards
            if (progress := self.shards[shard_id]).result is None
            and not progress.hedged
            and any(self.chooser.is_usable(item) for item in progress.get_untried())
        ]

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
        """Record one attempt, mark its shards and set the time of its hedge."""
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
            self.may_have_losers = True
        elif (hedge_at := self.hedges.get_hedge_time(attempt)) is not None:
            self.add_timer(hedge_at, TimerKind.HEDGE, attempt.id)
        return attempt

    def pop_losers(self) -> list[Attempt]:
        """Remove and return attempts whose shards are all answered by others.

        They are cancelled by the driver and do not count as failures.
        """
        if not self.may_have_losers:
            return []
        losers = [
            attempt
            for attempt in self.attempts.values()
            if all(self.shards[item].result is not None for item in attempt.shards)
        ]
        for attempt in losers:
            del self.attempts[attempt.id]
        return losers

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


def get_refusal_reason(result: ShardResult | None) -> MissingReason:
    """Return why a target did not serve a shard; no word of it means not owned."""
    if result is None:
        return MissingReason.NOT_OWNED
    return REFUSAL_REASONS[result.status]


def get_failure_reason(failure: Failure) -> MissingReason:
    """Return why a call brought nothing."""
    if failure.reason is FailureReason.TIMEOUT:
        return MissingReason.DEADLINE
    if failure.reason is FailureReason.QUEUE_FULL:
        return MissingReason.OVERLOADED
    return MissingReason.UNREACHABLE
