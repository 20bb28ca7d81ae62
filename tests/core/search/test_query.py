"""Tests of the state machine of one query."""

import testtools

from sesameplank.core.common.outcomes import Failure, FailureReason, Ran
from sesameplank.core.search.attempts import AttemptKind
from sesameplank.core.search.choice import FirstReplicaChooser
from sesameplank.core.search.coverage import MissingReason
from sesameplank.core.search.hedging import NoHedges
from sesameplank.core.search.messages import (
    ShardResult,
    ShardStatus,
    TargetSearchAnswer,
)
from sesameplank.core.search.plan import PlannedShard, make_plan
from sesameplank.core.search.query import QueryState
from sesameplank.core.search.ranges import KEY_SPACE, KeyRange

HALF = KEY_SPACE // 2


def make_state() -> QueryState:
    """Return a query over two shards, both with the replicas a and b."""
    shards = [
        PlannedShard("s0", KeyRange(0, HALF), ("a", "b")),
        PlannedShard("s1", KeyRange(HALF, KEY_SPACE), ("a", "b")),
    ]
    return QueryState(make_plan("orders", 7, shards), FirstReplicaChooser(), NoHedges())


def make_answer(*statuses: ShardStatus, snapshot: int = 7) -> TargetSearchAnswer:
    """Return an answer with one result per shard, in the order of the statuses."""
    results = tuple(
        ShardResult(f"s{index}", status, 1, 9, total=index + 1)
        for index, status in enumerate(statuses)
    )
    return TargetSearchAnswer("r", snapshot, results)


class QueryStateTests(testtools.TestCase):
    """A query counts each shard once and uses only results of its snapshot."""

    def test_one_call_carries_all_shards_of_a_target(self):
        attempts = make_state().start(0.0)
        self.assertEqual(
            [("a", ("s0", "s1"))], [(a.target, a.shards) for a in attempts]
        )

    def test_complete_answer_covers_the_key_space(self):
        state = make_state()
        (attempt,) = state.start(0.0)
        state.on_answer(attempt.id, make_answer(ShardStatus.OK, ShardStatus.OK), 1.0)
        self.assertTrue(state.is_done)
        self.assertTrue(state.get_coverage().is_whole)

    def test_answer_of_another_snapshot_is_not_merged(self):
        state = make_state()
        (attempt,) = state.start(0.0)
        answer = make_answer(ShardStatus.OK, ShardStatus.OK, snapshot=8)
        retries = state.on_answer(attempt.id, answer, 1.0)
        self.assertEqual([], state.get_results())
        self.assertEqual(["b"], [retry.target for retry in retries])

    def test_late_answer_is_not_counted_again(self):
        state = make_state()
        (attempt,) = state.start(0.0)
        failure = Failure(FailureReason.RESET, Ran.UNKNOWN)
        (retry,) = state.on_failure(attempt.id, failure, 1.0)
        complete = make_answer(ShardStatus.OK, ShardStatus.OK)
        state.on_answer(retry.id, complete, 2.0)
        state.on_answer(attempt.id, complete, 3.0)
        self.assertEqual(2, len(state.get_results()))

    def test_refusals_by_status(self):
        table = [
            (ShardStatus.SHED, MissingReason.OVERLOADED, False),
            (ShardStatus.NOT_OWNED, MissingReason.NOT_OWNED, True),
            (ShardStatus.SNAPSHOT_MISSING, MissingReason.SNAPSHOT_GONE, True),
        ]
        for status, reason, needs_new_plan in table:
            state = make_state()
            (attempt,) = state.start(0.0)
            (retry,) = state.on_answer(
                attempt.id, make_answer(ShardStatus.OK, status), 1.0
            )
            self.assertEqual((AttemptKind.RETRY, ("s1",)), (retry.kind, retry.shards))
            answer = TargetSearchAnswer("r", 7, (ShardResult("s1", status, 1, 9),))
            state.on_answer(retry.id, answer, 2.0)
            self.assertEqual([reason], [m.reason for m in state.get_coverage().missing])
            self.assertEqual(needs_new_plan, state.needs_new_plan)
