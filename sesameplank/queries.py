"""Runs queries: pins a snapshot, sends attempts, and merges one answer."""

import math
from collections.abc import Callable, Sequence

import gevent
import msgspec
from gevent.queue import Empty, SimpleQueue

from .callers.problems import Refusal
from .core.attempts import Attempt, AttemptKind
from .core.choice import ReplicaChooser
from .core.clock import Clock
from .core.hedging import HedgePolicy
from .core.merge import count_total, merge_hits
from .core.messages import (
    Explanation,
    SearchAnswer,
    SearchRequest,
    ShardExplanation,
    ShardRequest,
    TargetSearch,
    TargetSearchAnswer,
)
from .core.observer import CallObserver
from .core.outcomes import Failure
from .core.plan import Plan
from .core.query import QueryState
from .core.snapshots import HeldSnapshots, SnapshotTracker
from .core.versions import AcceptedConfiguration
from .ids import AttemptId, RequestId, TargetId
from .planning import GetNewest, QueryPlanner
from .targets import Dispatcher

RETURN_MARGIN_S = 0.002
PROBE_TIMEOUT_S = 1.0
CANCEL_TIMEOUT_S = 0.1


class QueryResult(msgspec.Struct, frozen=True):
    """The answer of a query and whether any target may have run part of it.

    `paused_s` is the time spent waiting for a snapshot or map, in seconds.
    """

    answer: SearchAnswer
    was_sent: bool
    paused_s: float = 0.0


class QueryRunner:
    """Runs one query after another on behalf of callers."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        snapshots: SnapshotTracker,
        chooser: ReplicaChooser,
        make_hedges: Callable[[AcceptedConfiguration], HedgePolicy],
        clock: Clock,
        observer: CallObserver | None = None,
        get_newest: GetNewest = lambda: None,
        sleep: Callable[[float], None] = gevent.sleep,
        choose_replicas: Callable[[Sequence[TargetId]], Sequence[TargetId]] = tuple,
    ) -> None:
        self.dispatcher = dispatcher
        self.snapshots = snapshots
        self.chooser = chooser
        self.make_hedges = make_hedges
        self.clock = clock
        self.observer = observer or CallObserver()
        self.get_newest = get_newest
        self.sleep = sleep
        self.choose_replicas = choose_replicas

    def run(
        self,
        request_id: RequestId,
        request: SearchRequest,
        pinned: AcceptedConfiguration,
        deadline_at: float,
    ) -> QueryResult:
        """Return the best answer that one snapshot gives before the deadline.

        The configuration stays pinned, unless targets say that its shard map is
        outdated and a newer one is in force; the query is then planned anew.
        """
        execution = QueryExecution(self, request_id, request, pinned, deadline_at)
        return execution.run()


class QueryExecution:
    """One query while it runs, over one plan or several in turn."""

    def __init__(
        self,
        runner: QueryRunner,
        request_id: RequestId,
        request: SearchRequest,
        pinned: AcceptedConfiguration,
        deadline_at: float,
    ) -> None:
        self.runner = runner
        self.observer = runner.observer
        self.clock = runner.clock
        self.request_id = request_id
        self.request = request
        self.pinned = pinned
        self.started_at = self.clock.now()
        self.stop_at = deadline_at - RETURN_MARGIN_S
        self.planner = QueryPlanner(
            runner.snapshots,
            runner.clock,
            runner.get_newest,
            self.pause,
            request,
            pinned,
            self.stop_at,
            runner.choose_replicas,
        )
        self.calls = 0
        self.paused_s = 0.0
        self.slowest_s = 0.0
        self.cancelled: set[AttemptId] = set()

    def run(self) -> QueryResult:
        """Plan and run until an answer is whole or the deadline is near."""
        best: QueryState | None = None
        while True:
            try:
                plan = self.planner.next_plan()
            except Refusal:
                if best is None:
                    raise
                break
            state = self.run_plan(plan)
            if best is None or self.is_better(state, best):
                best = state
            if not self.planner.wait_for_better_plan(state):
                break
        if self.planner.is_snapshot_lacking(best):
            raise self.planner.make_refusal(math.inf)
        answer = self.make_answer(best)
        if answer.coverage.missing:
            self.observer.note_missing(answer.coverage.missing)
        return QueryResult(answer, self.calls > 0, self.paused_s)

    def pause(self, seconds: float) -> None:
        """Wait for a plan that can be served, and count the time."""
        started_at = self.clock.now()
        self.runner.sleep(seconds)
        self.paused_s += self.clock.now() - started_at

    def is_better(self, state: QueryState, best: QueryState) -> bool:
        """Tell whether the newer state covers at least as much."""
        return state.get_coverage().fraction >= best.get_coverage().fraction

    def run_plan(self, plan: Plan) -> QueryState:
        """Run one plan until it is done, outdated or out of time."""
        state = QueryState(
            plan,
            self.runner.chooser,
            self.runner.make_hedges(self.pinned),
            first_attempt_id=self.calls,
        )
        events: SimpleQueue = SimpleQueue()
        greenlets: dict[int, gevent.Greenlet] = {}
        self.send_all(plan, state.start(self.clock.now()), events, greenlets)
        for probe in self.observer.take_probes(plan, self.clock.now()):
            gevent.spawn(self.send_probe, plan, probe)
        try:
            while not state.is_done and not self.planner.has_better_plan(state):
                if not self.step(plan, state, events, greenlets):
                    break
        finally:
            gevent.killall(list(greenlets.values()), block=False)
        return state

    def step(self, plan, state: QueryState, events, greenlets) -> bool:
        """Wait for one event or timer and act on it; False past the deadline."""
        now = self.clock.now()
        if now >= self.stop_at:
            return False
        timer = state.get_next_timer()
        wake_at = self.stop_at if timer is None else min(self.stop_at, timer)
        try:
            attempt, outcome = events.get(timeout=max(0.0, wake_at - now))
        except Empty:
            more = state.on_timer(self.clock.now())
        else:
            greenlets.pop(attempt.id, None)
            more = self.take_outcome(plan, state, attempt, outcome)
        self.send_all(plan, more, events, greenlets)
        for loser in state.pop_redundant_attempts():
            greenlet = greenlets.pop(loser.id, None)
            if greenlet is not None:
                gevent.spawn(self.cancel, loser, greenlet)
        return True

    def cancel(self, loser: Attempt, greenlet: gevent.Greenlet) -> None:
        """Tell a target to drop a call, so that its slot and connection are free.

        The connection is kept when the target ends the call soon, and closed
        otherwise.
        """
        self.cancelled.add(loser.id)
        self.observer.note_cancelled(loser, self.clock.now())
        deadline_at = min(self.stop_at, self.clock.now() + CANCEL_TIMEOUT_S)
        request_id = self.make_call_id(loser)
        self.runner.dispatcher.cancel(loser.target, request_id, deadline_at)
        greenlet.join(max(0.0, deadline_at - self.clock.now()))
        greenlet.kill(block=False)

    def take_outcome(
        self,
        plan: Plan,
        state: QueryState,
        attempt: Attempt,
        outcome: TargetSearchAnswer | Failure,
    ) -> list[Attempt]:
        """Feed one outcome to the state and the snapshot tracker."""
        now = self.clock.now()
        self.slowest_s = max(self.slowest_s, now - attempt.sent_at)
        if isinstance(outcome, Failure):
            return state.on_failure(attempt.id, outcome, now)
        for result in outcome.results:
            self.runner.snapshots.observe(
                plan.collection,
                result.shard,
                attempt.target,
                HeldSnapshots(result.oldest, result.newest),
                attempt.sent_at,
            )
        return state.on_answer(attempt.id, outcome, now)

    def send_all(self, plan, attempts, events, greenlets) -> None:
        """Start one greenlet for each attempt."""
        for attempt in attempts:
            self.calls += 1
            greenlets[attempt.id] = gevent.spawn(self.send, plan, attempt, events)

    def send(self, plan: Plan, attempt: Attempt, events: SimpleQueue) -> None:
        """Carry one attempt out and report its outcome.

        A greenlet that is killed on the way was cancelled by its query.
        """
        self.observer.note_sent(attempt)
        outcome = None
        try:
            outcome = self.call(plan, attempt, self.stop_at)
        finally:
            self.observer.note_ended(attempt)
            if attempt.id not in self.cancelled:
                self.observe(attempt, outcome)
        events.put((attempt, outcome))

    def observe(
        self, attempt: Attempt, outcome: TargetSearchAnswer | Failure | None
    ) -> None:
        """Tell the observer what an attempt brought, None when it was cut off."""
        now = self.clock.now()
        if outcome is None:
            self.observer.note_cancelled(attempt, now)
        elif isinstance(outcome, Failure):
            self.observer.note_failure(attempt, outcome, now)
        else:
            self.observer.note_answer(attempt, outcome, now)

    def send_probe(self, plan: Plan, probe: Attempt) -> None:
        """Send a probe that outlives its query, and judge the target by it."""
        deadline_at = self.clock.now() + PROBE_TIMEOUT_S
        outcome = self.call(plan, probe, deadline_at)
        self.observer.note_probe(probe, outcome, self.clock.now())

    def call(
        self, plan: Plan, attempt: Attempt, deadline_at: float
    ) -> TargetSearchAnswer | Failure:
        """Call one target for the shards of an attempt."""
        remaining_ms = int((deadline_at - self.clock.now()) * 1_000)
        message = TargetSearch(
            request_id=self.make_call_id(attempt),
            collection=plan.collection,
            snapshot=plan.snapshot,
            deadline_ms=max(1, remaining_ms),
            shards=self.get_shard_requests(plan, attempt),
            terms=self.request.terms,
            filters=self.request.filters,
            order=self.request.order,
            limit=self.request.limit,
        )
        return self.runner.dispatcher.search(attempt.target, message, deadline_at)

    def make_call_id(self, attempt: Attempt) -> RequestId:
        """Return an id that tells the calls of a query apart."""
        if attempt.kind is AttemptKind.PROBE:
            return RequestId(f"{self.request_id}.probe.{attempt.target}")
        return RequestId(f"{self.request_id}.{attempt.id}")

    def get_shard_requests(
        self, plan: Plan, attempt: Attempt
    ) -> tuple[ShardRequest, ...]:
        """Return the shards of an attempt with their ranges."""
        wanted = set(attempt.shards)
        return tuple(
            ShardRequest(shard.id, shard.range.start, shard.range.end)
            for shard in plan.shards
            if shard.id in wanted
        )

    def make_answer(self, state: QueryState) -> SearchAnswer:
        """Merge what one plan brought into the caller's answer."""
        results = state.get_results()
        return SearchAnswer(
            request_id=self.request_id,
            collection=self.request.collection,
            snapshot=state.snapshot,
            config_version=state.plan.config_version,
            preset=state.plan.preset,
            total=count_total(results),
            hits=merge_hits(results, self.request.order, self.request.limit),
            coverage=state.get_coverage(),
            explanation=self.explain(state) if self.request.explain else None,
        )

    def explain(self, state: QueryState) -> Explanation:
        """Return how each shard of the plan was served."""
        return Explanation(
            shards=tuple(
                ShardExplanation(
                    shard=item.planned.id,
                    target=item.served_by,
                    attempts=item.attempts,
                    hedged=item.hedged,
                    elapsed_ms=((item.served_at or 0) - self.started_at) * 1_000
                    if item.served_at
                    else 0.0,
                    missing=None if item.result else item.missing.value,
                )
                for item in state.shards.values()
            ),
            plans=self.planner.plans,
            target_calls=self.calls,
            slowest_target_ms=self.slowest_s * 1_000,
            elapsed_ms=(self.clock.now() - self.started_at) * 1_000,
        )
