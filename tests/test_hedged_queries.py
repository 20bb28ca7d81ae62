"""Tests of hedges, cancellations and probes during a query."""

import random

import gevent
import msgspec
import testtools
from gevent.event import Event

from sesameplank.conf import Configuration, decode_configuration
from sesameplank.conf.documents import PresetName, PublishedConfiguration
from sesameplank.core.common.clock import SystemClock
from sesameplank.core.published.versions import AcceptedConfiguration
from sesameplank.core.search.counters import HedgeResult
from sesameplank.core.search.ejection import EjectedTarget, EjectionReason
from sesameplank.core.search.messages import (
    SearchRequest,
    ShardResult,
    ShardStatus,
    TargetSearch,
    TargetSearchAnswer,
)
from sesameplank.core.search.policies import LoadPolicies
from sesameplank.core.search.ranges import KEY_SPACE
from sesameplank.core.search.snapshots import SnapshotTracker
from sesameplank.queries import QueryRunner
from sesameplank.targets import Dispatcher

WAIT_S = 30.0


class HoldingDispatcher(Dispatcher):
    """Answers at once, but holds calls to `held_targets` until they are cancelled.

    A cancelled call is answered with `ShardStatus.SHED`.
    """

    def __init__(self, held_targets: set[str]) -> None:
        self.held_targets = held_targets
        self.calls: list[tuple[str, TargetSearch]] = []
        self.cancelled: dict[str, Event] = {}
        self.cancel_seen = Event()

    def search(self, target, message, deadline_at):
        self.calls.append((target, message))
        status = ShardStatus.OK
        if target in self.held_targets:
            self.cancelled.setdefault(message.request_id, Event()).wait(WAIT_S)
            status = ShardStatus.SHED
        return TargetSearchAnswer(
            message.request_id,
            message.snapshot,
            tuple(ShardResult(item.shard, status, 1, 9) for item in message.shards),
        )

    def cancel(self, target, request_id, deadline_at):
        self.cancelled[request_id].set()
        self.cancel_seen.set()

    def book(self, target, message, deadline_at, answer_by):
        raise NotImplementedError


def make_pinned() -> AcceptedConfiguration:
    """Return an accepted configuration with one shard on the targets a and b."""
    document = {
        "deployment": "test",
        "preset": PresetName.ORDINARY.value,
        "targets": {
            "a": {"address": "127.0.0.1:1", "data_centre": "x"},
            "b": {"address": "127.0.0.1:2", "data_centre": "x"},
        },
        "collections": {
            "orders": {
                "shards": [
                    {"id": "s", "start": 0, "end": KEY_SPACE, "replicas": ["a", "b"]}
                ]
            }
        },
        "callers": {"desk": {}},
    }
    raw = msgspec.Raw(msgspec.json.encode(document))
    configuration: Configuration = decode_configuration(raw)
    return AcceptedConfiguration(1, configuration, PublishedConfiguration(1, raw), 0.0)


class HedgedQueryTests(testtools.TestCase):
    """A query hedges and cancels a slow call, and probes an ejected target."""

    def setUp(self):
        super().setUp()
        self.clock = SystemClock()
        self.policies = LoadPolicies(self.clock, random.Random(1))
        self.pinned = make_pinned()
        self.policies.apply(self.pinned)
        self.policies.hedge_budget.tokens = 5.0
        for _ in range(50):
            self.policies.latencies.observe("orders", 1, 0.005)

    def run_query(self, dispatcher: Dispatcher):
        """Run one query and return its answer."""
        runner = QueryRunner(
            dispatcher,
            SnapshotTracker(),
            self.policies.chooser,
            self.policies.make_hedge_policy,
            self.clock,
            self.policies,
        )
        deadline_at = self.clock.now() + WAIT_S
        request = SearchRequest("orders", at_least_snapshot=3)
        return runner.run("r", request, self.pinned, deadline_at).answer

    def test_hedge_wins_and_the_slow_call_is_cancelled(self):
        self.policies.scoreboard.note_sent("b", 0, "orders", 1, self.clock.now())
        dispatcher = HoldingDispatcher({"a"})
        answer = self.run_query(dispatcher)
        self.assertTrue(dispatcher.cancel_seen.wait(WAIT_S))
        self.assertTrue(answer.coverage.is_whole)
        self.assertEqual(["a", "b"], [target for target, _ in dispatcher.calls])
        self.assertEqual(1, self.policies.counters.hedges[HedgeResult.WON])

    def test_cancelled_call_counts_neither_as_failure_nor_as_shed(self):
        self.policies.scoreboard.note_sent("b", 0, "orders", 1, self.clock.now())
        dispatcher = HoldingDispatcher({"a"})
        self.run_query(dispatcher)
        with gevent.Timeout(WAIT_S):
            while self.policies.scoreboard.get("a").in_flight:
                gevent.sleep(0.001)
        counts = self.policies.ejector.bad_call_counts["a"]
        self.assertEqual(0, counts.failed_calls)
        self.assertEqual({}, dict(self.policies.counters.retries))

    def test_ejected_target_is_probed_concurrently_with_the_query(self):
        self.policies.ejector.ejected["a"] = EjectedTarget(EjectionReason.SLOW, 0, 0)
        dispatcher = HoldingDispatcher(set())
        answer = self.run_query(dispatcher)
        with gevent.Timeout(WAIT_S):
            while not self.policies.counters.probes:
                gevent.sleep(0.001)
        self.assertTrue(answer.coverage.is_whole)
        self.assertEqual({"a", "b"}, {target for target, _ in dispatcher.calls})
