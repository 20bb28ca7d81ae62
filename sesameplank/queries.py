"""Execution of queries: pinning of a snapshot, calls to targets, merging of results."""

import math
from collections.abc import Callable, Sequence

import gevent
import msgspec
from gevent.queue import Empty, SimpleQueue

from .callers.problems import ProblemKind, Refusal
from .core.common.clock import Clock
from .core.common.outcomes import Failure, FailureReason, Ran
from .core.published.versions import AcceptedConfiguration
from .core.quarantine.request_quarantine import RequestQuarantine, Standing
from .core.search.attempts import Attempt, AttemptKind
from .core.search.choice import ReplicaChooser
from .core.search.hedging import HedgePolicy
from .core.search.merge import count_total, merge_hits
from .core.search.messages import (
    Explanation,
    SearchAnswer,
    SearchRequest,
    ShardExplanation,
    ShardRequest,
    ShardStatus,
    TargetSearch,
    TargetSearchAnswer,
)
from .core.search.observer import CallObserver
from .core.search.plan import Plan
from .core.search.query import QueryState
from .core.search.snapshots import HeldSnapshots, SnapshotTracker
from .exceptions import CallerLeftError
from .ids import AttemptId, RequestId, TargetId
from .planning import GetNewestConfiguration, QueryPlanner
from .targets import Dispatcher
from .targets.fingerprints import find_search_fingerprint

RETURN_MARGIN_S = 0.002  # time to return the answer before the deadline
PROBE_TIMEOUT_S = 1.0
CANCEL_TIMEOUT_S = 0.1
CALLER_CHECK_INTERVAL_S = 0.1


class QueryResult(msgspec.Struct, frozen=True):
    """The answer to a query, and whether any call was sent to a target.

    `waited_s` is the time spent waiting for a snapshot or a shard map, in seconds.
    """

    answer: SearchAnswer
    was_sent: bool
    waited_s: float = 0.0


class QueryRunner:
    """Runs queries on behalf of callers."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        snapshots: SnapshotTracker,
        chooser: ReplicaChooser,
        make_hedge_policy: Callable[[AcceptedConfiguration], HedgePolicy],
        clock: Clock,
        observer: CallObserver | None = None,
        get_newest_configuration: GetNewestConfiguration = lambda: None,
        sleep: Callable[[float], None] = gevent.sleep,
        filter_replicas: Callable[[Sequence[TargetId]], Sequence[TargetId]] = tuple,
        quarantine: RequestQuarantine | None = None,
    ) -> None:
        self.dispatcher = dispatcher
        self.snapshots = snapshots
        self.chooser = chooser
        self.make_hedge_policy = make_hedge_policy
        self.clock = clock
        self.observer = observer or CallObserver()
        self.get_newest_configuration = get_newest_configuration
        self.sleep = sleep
        self.filter_replicas = filter_replicas
        self.quarantine = quarantine or RequestQuarantine()

    def run(
        self,
        request_id: RequestId,
        request: SearchRequest,
        pinned: AcceptedConfiguration,
        deadline_at: float,
        has_caller_left: Callable[[], bool] = lambda: False,
    ) -> QueryResult:
        """Return the answer with the highest coverage found before the deadline.

        An answer comes from a single snapshot. The configuration stays pinned
        unless targets report that its shard map is outdated and a newer
        configuration is in force. The query is then planned again.
        `deadline_at` is in seconds of the process's clock. Raises CallerLeftError if
        `has_caller_left` returns True meanwhile, after which no call is sent.
        """
        execution = QueryExecution(
            self, request_id, request, pinned, deadline_at, has_caller_left
        )
        return execution.run()


class QueryExecution:
    """The execution of one query, over one plan or several plans in sequence."""

    def __init__(
        self,
        runner: QueryRunner,
        request_id: RequestId,
        request: SearchRequest,
        pinned: AcceptedConfiguration,
        deadline_at: float,
        has_caller_left: Callable[[], bool],
    ) -> None:
        self.has_caller_left = has_caller_left
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
            runner.get_newest_configuration,
            self.wait,
            request,
            pinned,
            self.stop_at,
            runner.filter_replicas,
        )
        self.calls = 0
        self.waited_s = 0.0
        self.slowest_s = 0.0
        self.cancelled: set[AttemptId] = set()
        self.fingerprint = find_search_fingerprint(request)

    def run(self) -> QueryResult:
        """Run plans until an answer is complete or no better plan is expected in time.

        Raise Refusal if no plan can be made or no target holds the snapshot.
        """
        best: QueryState | None = None
        self.check_quarantine()
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
        if self.planner.is_snapshot_unavailable(best):
            raise self.planner.make_refusal(math.inf)
        answer = self.make_answer(best)
        if answer.coverage.missing:
            self.observer.note_missing(answer.coverage.missing)
        return QueryResult(answer, self.calls > 0, self.waited_s)

    def check_quarantine(self) -> None:
        """Raise Refusal if such queries crash the targets that run them."""
        quarantine = self.runner.quarantine
        now = self.clock.now()
        if not quarantine.is_quarantined(self.fingerprint, now):
            return
        hold_s = quarantine.get_hold_s(self.fingerprint, now)
        raise Refusal(
            ProblemKind.TARGET_UNAVAILABLE,
            f"such queries crash the targets that run them ({self.fingerprint})",
            "change the query, or send it again after the stated time",
            ran=Ran.UNKNOWN if self.calls else Ran.NOT_RUN,
            retry_after_ms=int(hold_s * 1_000),
        )

    def note_failure(self, state: QueryState, failure: Failure) -> None:
        """Apply what a failed call shows of the query."""
        if failure.reason is FailureReason.CRASHED:
            state.note_crash(self.clock.now())
        self.note_suspicion(state)

    def note_suspicion(self, state: QueryState) -> None:
        """Apply what is known of targets that crashed under such queries."""
        self.check_quarantine()
        standing = self.runner.quarantine.get_standing(
            self.fingerprint, self.clock.now()
        )
        if standing is Standing.SUSPECT:
            state.is_suspect = True

    def wait(self, seconds: float) -> None:
        """Sleep for a time that the planner chose, and add it to `waited_s`."""
        started_at = self.clock.now()
        wait_until = started_at + seconds
        while (remaining_s := wait_until - self.clock.now()) > 0:
            self.runner.sleep(min(remaining_s, CALLER_CHECK_INTERVAL_S))
            self.check_caller()
        self.waited_s += self.clock.now() - started_at

    def check_caller(self) -> None:
        """Raise CallerLeftError if nobody waits for the answer any more."""
        if self.has_caller_left():
            raise CallerLeftError(f"the caller of {self.request_id} has left")

    def is_better(self, state: QueryState, best: QueryState) -> bool:
        """Return whether `state` covers at least as much as the earlier `best`."""
        return state.get_coverage().fraction >= best.get_coverage().fraction

    def run_plan(self, plan: Plan) -> QueryState:
        """Run one plan until it is done, a better plan is available or time is up."""
        state = QueryState(
            plan,
            self.runner.chooser,
            self.runner.make_hedge_policy(self.pinned),
            first_attempt_id=self.calls,
        )
        self.note_suspicion(state)
        events: SimpleQueue = SimpleQueue()
        greenlets: dict[int, gevent.Greenlet] = {}
        self.send_all(plan, state.start(self.clock.now()), events, greenlets)
        for probe in self.observer.take_probes(plan, self.clock.now()):
            gevent.spawn(self.send_probe, plan, probe)
        try:
            while not state.is_done and not self.planner.has_better_plan(state):
                self.check_caller()
                if not self.step(plan, state, events, greenlets):
                    break
        except CallerLeftError:
            self.cancel_all(state, greenlets)
            raise
        finally:
            gevent.killall(list(greenlets.values()), block=False)
        return state

    def step(self, plan, state: QueryState, events, greenlets) -> bool:
        """Wait for one outcome or timer, and send or cancel attempts accordingly.

        Return False without waiting if `stop_at` has passed.
        """
        now = self.clock.now()
        if now >= self.stop_at:
            return False
        timer = state.get_next_timer()
        wake_at = min(self.stop_at, now + CALLER_CHECK_INTERVAL_S)
        if timer is not None:
            wake_at = min(wake_at, timer)
        try:
            attempt, outcome = events.get(timeout=max(0.0, wake_at - now))
        except Empty:
            next_attempts = state.on_timer(self.clock.now())
        else:
            greenlets.pop(attempt.id, None)
            if isinstance(outcome, Failure):
                self.note_failure(state, outcome)
            next_attempts = self.record_outcome(plan, state, attempt, outcome)
        self.send_all(plan, next_attempts, events, greenlets)
        for redundant in state.pop_redundant_attempts():
            greenlet = greenlets.pop(redundant.id, None)
            if greenlet is not None:
                gevent.spawn(self.cancel, redundant, greenlet)
        return True

    def cancel_all(self, state: QueryState, greenlets) -> None:
        """Cancel the attempts that are in flight."""
        for attempt in list(state.attempts.values()):
            greenlet = greenlets.pop(attempt.id, None)
            if greenlet is not None:
                gevent.spawn(self.cancel, attempt, greenlet)

    def cancel(self, redundant: Attempt, greenlet: gevent.Greenlet) -> None:
        """Request that a target cancel a call, to free its slot and connection.

        The connection stays open if the call ends within CANCEL_TIMEOUT_S and
        before `stop_at`. Otherwise, it is closed.
        """
        self.cancelled.add(redundant.id)
        self.observer.note_cancelled(redundant, self.clock.now())
        deadline_at = min(self.stop_at, self.clock.now() + CANCEL_TIMEOUT_S)
        request_id = self.make_call_id(redundant)
        self.runner.dispatcher.cancel(redundant.target, request_id, deadline_at)
        greenlet.join(max(0.0, deadline_at - self.clock.now()))
        greenlet.kill(block=False)

    def record_outcome(
        self,
        plan: Plan,
        state: QueryState,
        attempt: Attempt,
        outcome: TargetSearchAnswer | Failure,
    ) -> list[Attempt]:
        """Record an outcome in the state and the snapshot tracker.

        Return the attempts to send next.
        """
        now = self.clock.now()
        self.slowest_s = max(self.slowest_s, now - attempt.sent_at)
        if isinstance(outcome, Failure):
            return state.on_failure(attempt.id, outcome, now)
        if any(result.status is ShardStatus.OK for result in outcome.results):
            self.runner.quarantine.note_answer(self.fingerprint, now)
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
        """Start one greenlet per attempt."""
        for attempt in attempts:
            self.calls += 1
            greenlets[attempt.id] = gevent.spawn(self.send, plan, attempt, events)

    def send(self, plan: Plan, attempt: Attempt, events: SimpleQueue) -> None:
        """Send one attempt and put its outcome on the queue of events.

        If the greenlet is killed during the call, the attempt counts as cancelled.
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
        """Notify the observer of an outcome, which is None if the call was killed."""
        now = self.clock.now()
        if outcome is None:
            self.observer.note_cancelled(attempt, now)
        elif isinstance(outcome, Failure):
            self.observer.note_failure(attempt, outcome, now)
        else:
            self.observer.note_answer(attempt, outcome, now)

    def send_probe(self, plan: Plan, probe: Attempt) -> None:
        """Send a probe and record its outcome, even if the query ends earlier."""
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
        """Return an id that is unique among the calls of the query."""
        if attempt.kind is AttemptKind.PROBE:
            return RequestId(f"{self.request_id}.probe.{attempt.target}")
        return RequestId(f"{self.request_id}.{attempt.id}")

    def get_shard_requests(
        self, plan: Plan, attempt: Attempt
    ) -> tuple[ShardRequest, ...]:
        """Return the shards of an attempt with their key ranges."""
        shard_ids = set(attempt.shards)
        return tuple(
            ShardRequest(shard.id, shard.range.start, shard.range.end)
            for shard in plan.shards
            if shard.id in shard_ids
        )

    def make_answer(self, state: QueryState) -> SearchAnswer:
        """Merge the results of one plan into the answer for the caller."""
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
        """Return how each shard of the plan was served, with times in milliseconds."""
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
                    missing=None if item.result else item.missing_reason.value,
                )
                for item in state.shards.values()
            ),
            plans=self.planner.plans,
            target_calls=self.calls,
            slowest_target_ms=self.slowest_s * 1_000,
            elapsed_ms=(self.clock.now() - self.started_at) * 1_000,
        )
