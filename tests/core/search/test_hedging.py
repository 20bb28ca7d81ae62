"""Tests of hedges and of the budgets that bound them."""

import random

import testtools

from sesameplank.core.common.latency import LatencyStatistics
from sesameplank.core.common.outcomes import Failure, FailureReason, Ran
from sesameplank.core.search.attempts import AttemptKind
from sesameplank.core.search.budgets import TokenBudget
from sesameplank.core.search.choice import FirstReplicaChooser
from sesameplank.core.search.counters import HedgeResult, PolicyCounters, RetryResult
from sesameplank.core.search.coverage import MissingReason
from sesameplank.core.search.hedging import AdaptiveHedges
from sesameplank.core.search.messages import (
    ShardResult,
    ShardStatus,
    TargetSearchAnswer,
)
from sesameplank.core.search.plan import PlannedShard, make_plan
from sesameplank.core.search.query import QueryState
from sesameplank.core.search.ranges import KEY_SPACE, KeyRange

RESET = Failure(FailureReason.RESET, Ran.UNKNOWN)
HALF = KEY_SPACE // 2
USUAL_S = 0.02


def make_answer(*shards: str) -> TargetSearchAnswer:
    """Return an answer with a successful result for each shard."""
    results = tuple(ShardResult(item, ShardStatus.OK, 1, 9) for item in shards)
    return TargetSearchAnswer("r", 7, results)


class TokenBudgetTests(testtools.TestCase):
    """Extra load stays within the fraction of ordinary load plus one burst."""

    def test_random_trace_stays_within_the_budget(self):
        rng = random.Random(5)
        budget = TokenBudget(0.04, burst=20.0)
        earned = taken = 0
        for _ in range(5_000):
            count = rng.randint(1, 20)
            budget.earn(count)
            earned += count
            wanted = rng.randint(0, 4)
            taken += wanted if budget.take(wanted) else 0
            self.assertTrue(taken <= 20.0 + 0.04 * earned)
        self.assertTrue(taken > 0.03 * earned)

    def test_budget_starts_empty(self):
        self.assertFalse(TokenBudget(0.5, burst=20.0).take())

    def test_fraction_of_zero_gives_nothing(self):
        self.assertFalse(TokenBudget(0.0, burst=20.0).take())


class HedgeTests(testtools.TestCase):
    """A late read is hedged on another target, within a budget."""

    def setUp(self):
        super().setUp()
        self.counters = PolicyCounters()
        self.latencies = LatencyStatistics()
        for index in range(100):
            self.latencies.observe("orders", 2, USUAL_S + index * 1e-4)
        self.hedge_budget = TokenBudget(0.5, 2.0, tokens=2.0)
        self.retry_budget = TokenBudget(0.5, 2.0, tokens=2.0)

    def start(self, replicas=("a", "b")):
        """Start a query over two shards; return its state and first attempt."""
        shards = [
            PlannedShard("s0", KeyRange(0, HALF), replicas),
            PlannedShard("s1", KeyRange(HALF, KEY_SPACE), replicas),
        ]
        policy = AdaptiveHedges(
            0.95, self.latencies, self.hedge_budget, self.retry_budget, self.counters
        )
        plan = make_plan("orders", 7, shards)
        state = QueryState(plan, FirstReplicaChooser(), policy)
        (attempt,) = state.start(0.0)
        return state, attempt

    def test_hedge_is_due_at_the_quantile_for_its_number_of_shards(self):
        state, _ = self.start()
        expected = self.latencies.get_quantile("orders", 2, 0.95)
        self.assertEqual(expected, state.get_next_timer())
        self.assertEqual([], state.on_timer(expected / 2))

    def test_hedge_goes_to_another_target_with_all_open_shards(self):
        state, _ = self.start()
        (hedge,) = state.on_timer(state.get_next_timer())
        self.assertEqual(
            (AttemptKind.HEDGE, "b", ("s0", "s1")),
            (hedge.kind, hedge.target, hedge.shards),
        )

    def test_attempt_answered_by_its_hedge_is_cancelled_without_failure(self):
        state, first = self.start()
        (hedge,) = state.on_timer(state.get_next_timer())
        state.on_answer(hedge.id, make_answer("s0", "s1"), 0.05)
        self.assertEqual([first], state.pop_redundant_attempts())
        self.assertEqual([], state.pop_redundant_attempts())
        self.assertTrue(state.is_done)
        self.assertEqual(1, self.counters.hedges[HedgeResult.WON])
        self.assertEqual({}, dict(self.counters.retries))

    def test_hedge_refused_by_budget_is_not_sent_but_counted(self):
        self.hedge_budget.tokens = 0.0
        self.hedge_budget.fraction = 0.01
        state, _ = self.start()
        self.assertEqual([], state.on_timer(state.get_next_timer()))
        self.assertEqual(1, self.counters.hedges[HedgeResult.BUDGET])

    def test_no_hedge_without_another_replica(self):
        state, _ = self.start(replicas=("a",))
        self.assertEqual([], state.on_timer(1.0))

    def test_no_hedge_while_latency_is_unknown(self):
        self.latencies = LatencyStatistics()
        state, _ = self.start()
        self.assertIsNone(state.get_next_timer())

    def test_timer_of_an_ended_attempt_is_removed(self):
        state, attempt = self.start()
        state.on_answer(attempt.id, make_answer("s0", "s1"), 0.01)
        self.assertIsNone(state.get_next_timer())

    def test_failed_attempt_is_not_retried_while_its_hedge_runs(self):
        state, first = self.start()
        state.on_timer(state.get_next_timer())
        self.assertEqual([], state.on_failure(first.id, RESET, 0.05))
        self.assertFalse(state.is_done)

    def test_retry_refused_by_budget_is_sent_after_a_delay(self):
        state, first = self.start()
        self.retry_budget.tokens = 0.0
        self.assertEqual([], state.on_failure(first.id, RESET, 0.05))
        missing = {item.reason for item in state.get_coverage().missing}
        self.assertEqual({MissingReason.RETRY_BUDGET}, missing)
        self.assertEqual(2, self.counters.retries[RetryResult.BUDGET])
        self.retry_budget.tokens = 2.0
        (retry,) = state.on_timer(state.get_next_timer())
        self.assertEqual((AttemptKind.RETRY, ("s0", "s1")), (retry.kind, retry.shards))

    def test_shard_without_live_replica_is_abandoned_with_its_reason(self):
        self.retry_budget = TokenBudget(0.5, 1_000.0, tokens=1_000.0)
        state, first = self.start()
        open_attempts = state.on_failure(first.id, RESET, 0.0)
        now = 0.0
        while not state.is_done:
            for attempt in open_attempts:
                open_attempts = state.on_failure(attempt.id, RESET, now)
            if not open_attempts:
                now = state.get_next_timer() or now
                open_attempts = state.on_timer(now)
        self.assertTrue(now < 1.0)
        missing = {item.reason for item in state.get_coverage().missing}
        self.assertEqual({MissingReason.UNREACHABLE}, missing)
