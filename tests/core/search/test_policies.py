"""Tests of the state and counters of the policies of one process."""

import random

import msgspec
import testtools

from sesameplank.conf import PresetName
from sesameplank.core.common.clock import ManualClock
from sesameplank.core.common.outcomes import Failure, FailureReason, Ran
from sesameplank.core.published.versions import AcceptedConfiguration
from sesameplank.core.search.attempts import Attempt, AttemptKind
from sesameplank.core.search.counters import EjectionReason, ProbeResult
from sesameplank.core.search.coverage import MissingRange, MissingReason
from sesameplank.core.search.messages import (
    ShardResult,
    ShardStatus,
    TargetSearchAnswer,
)
from sesameplank.core.search.plan import PlannedShard, make_plan
from sesameplank.core.search.policies import LoadPolicies
from sesameplank.standins.deployments import VATUWAQA, make_configuration

CONFIGURATION = make_configuration(VATUWAQA, "127.9")
COLLECTION = "order-desk"
TARGET = "order-desk-00"
RESET = Failure(FailureReason.RESET, Ran.UNKNOWN)


def accept(configuration) -> AcceptedConfiguration:
    """Return the configuration as version 1, accepted at time 0."""
    return AcceptedConfiguration(1, configuration, None, 0.0)


def make_attempt(sent_at: float, kind=AttemptKind.FIRST) -> Attempt:
    """Return an attempt for two shards of the target."""
    return Attempt(0, kind, COLLECTION, TARGET, ("s0", "s1"), sent_at)


def make_answer(status: ShardStatus) -> TargetSearchAnswer:
    """Return an answer with one status for both shards."""
    results = tuple(ShardResult(item, status, 1, 9) for item in ("s0", "s1"))
    return TargetSearchAnswer("r", 7, results)


class LoadPoliciesTests(testtools.TestCase):
    """Measurements survive configuration changes; every decision is counted."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock(100.0)
        self.policies = LoadPolicies(self.clock, random.Random(1))
        self.policies.apply(accept(CONFIGURATION))
        for _ in range(50):
            self.policies.latencies.observe(COLLECTION, 2, 0.02)

    def get_record(self):
        """Return the record of the target."""
        return self.policies.scoreboard.get(TARGET)

    def test_change_of_preset_retains_records_and_tokens(self):
        self.policies.note_sent(make_attempt(100.0))
        self.policies.hedge_budget.tokens = 7.0
        self.policies.ejector.eject(TARGET, EjectionReason.SLOW, 100.0)
        peak = msgspec.structs.replace(CONFIGURATION, preset=PresetName.PEAK)
        self.policies.apply(accept(peak))
        self.assertEqual(peak.policy.hedge_budget, self.policies.hedge_budget.fraction)
        self.assertEqual(7.0, self.policies.hedge_budget.tokens)
        self.assertEqual(1, self.get_record().in_flight)
        self.assertTrue(self.policies.ejector.is_ejected(TARGET))

    def test_only_targets_added_later_ramp_up(self):
        self.assertEqual(1.0, self.get_record().get_weight(100.0))
        added = {**CONFIGURATION.targets, "late": CONFIGURATION.targets[TARGET]}
        grown = msgspec.structs.replace(CONFIGURATION, targets=added)
        self.policies.apply(accept(grown))
        weight = self.policies.scoreboard.get("late").get_weight(100.0)
        self.assertTrue(weight < 0.2)

    def test_refusals_do_not_count_as_fast_answers(self):
        table = [
            (ShardStatus.SNAPSHOT_MISSING, 1.0),
            (ShardStatus.NOT_OWNED, 1.0),
            (ShardStatus.SHED, 2.2),
        ]
        for status, slowness in table:
            attempt = make_attempt(100.0)
            self.policies.note_answer(attempt, make_answer(status), 100.001)
            seen = self.get_record().slowness.get(100.001)
            self.assertAlmostEqual(slowness, seen, msg=status)

    def test_cancelled_call_raises_slowness_but_never_lowers_it(self):
        for elapsed_s, slowness in [(0.001, 1.0), (0.2, 3.7)]:
            self.policies.note_cancelled(make_attempt(100.0), 100.0 + elapsed_s)
            seen = self.get_record().slowness.get(100.0 + elapsed_s)
            self.assertAlmostEqual(slowness, seen)

    def test_failing_target_is_probed_and_probes_are_counted(self):
        for _ in range(3):
            self.policies.note_failure(make_attempt(100.0), RESET, 100.0)
        shard = CONFIGURATION.collections[COLLECTION].shards[0]
        planned = PlannedShard(shard.id, shard.range, shard.replicas)
        plan = make_plan(COLLECTION, 7, [planned])
        self.assertEqual([], self.policies.take_probes(plan, 100.1))
        (probe,) = self.policies.take_probes(plan, 101.0)
        self.assertEqual(
            (AttemptKind.PROBE, TARGET, 1),
            (probe.kind, probe.target, len(probe.shards)),
        )
        self.policies.note_probe(probe, RESET, 101.1)
        self.assertEqual(1, self.policies.counters.probes[ProbeResult.FAILED])

    def test_missing_ranges_are_counted_by_reason(self):
        missing = [MissingRange(0, 5, MissingReason.DEADLINE)] * 2
        self.policies.note_missing(missing)
        self.assertEqual(
            {MissingReason.DEADLINE: 2}, dict(self.policies.counters.missing)
        )

    def test_counters_are_encoded_with_reasons_as_keys(self):
        self.policies.counters.ejections[EjectionReason.SLOW] += 1
        encoded = msgspec.json.encode(self.policies.counters)
        self.assertEqual({"slow": 1}, msgspec.json.decode(encoded)["ejections"])
