"""Tests of ejection, probes and return, on hand-made traces."""

import testtools

from sesameplank.core.counters import EjectionReason, PolicyCounters, ProbeResult
from sesameplank.core.ejection import (
    FAILED_CALLS,
    FIRST_PROBE_AFTER_S,
    GOOD_PROBES,
    SLOW_CALLS,
    SLOW_SPAN_S,
    Ejector,
    ReplicaSet,
)
from sesameplank.core.latency import LatencyStatistics
from sesameplank.core.outcomes import Failure, FailureReason, Ran
from sesameplank.core.scoreboard import Scoreboard

RESET = Failure(FailureReason.RESET, Ran.UNKNOWN)
CANCELLED = Failure(FailureReason.CANCELLED, Ran.UNKNOWN)
FULL = Failure(FailureReason.QUEUE_FULL, Ran.NOT_RUN)


class EjectorTests(testtools.TestCase):
    """Lastingly bad targets leave, and come back when they are good again."""

    def setUp(self):
        super().setUp()
        self.counters = PolicyCounters()
        self.scoreboard = Scoreboard(LatencyStatistics())
        self.ejector = Ejector(self.scoreboard, self.counters, 0.3)
        self.ejector.update_replicas(
            ReplicaSet("orders", (f"a{pair}", f"b{pair}")) for pair in range(5)
        )

    def feed(self, target: str, slowness: float, times: list[float]) -> bool:
        """Feed calls of one slowness and tell whether the target is out."""
        for now in times:
            self.scoreboard.get(target).slowness.add(slowness, now)
            self.ejector.note_latency(target, slowness, now)
        return self.ejector.contains(target)

    def fail(self, target: str, failure: Failure, count: int = FAILED_CALLS) -> bool:
        """Feed failures and tell whether the target is out."""
        for number in range(count):
            self.ejector.note_failure(target, failure, float(number))
        return self.ejector.contains(target)

    def test_slow_traces(self):
        spread = [SLOW_SPAN_S * index for index in range(SLOW_CALLS)]
        table = [
            ("lasting", 10.0, spread, True),
            ("momentary", 10.0, [0.15 * index for index in range(SLOW_CALLS)], False),
            ("too few calls", 10.0, spread[:-1], False),
            ("not slow enough", 2.0, spread, False),
        ]
        for index, (name, slowness, times, expected) in enumerate(table):
            self.assertEqual(expected, self.feed(f"a{index}", slowness, times), name)

    def test_quick_call_clears_a_suspicion(self):
        self.feed("a0", 10.0, [0.0, 0.3])
        self.feed("a0", 1.0, [0.5])
        self.assertFalse(self.feed("a0", 10.0, [0.6, 0.9]))

    def test_target_stays_when_its_partner_is_as_slow(self):
        times = [SLOW_SPAN_S * index for index in range(SLOW_CALLS)]
        for now in times:
            self.scoreboard.get("b0").slowness.add(10.0, now)
        self.assertFalse(self.feed("a0", 10.0, times))

    def test_nobody_is_an_outlier_in_an_overload(self):
        times = [SLOW_SPAN_S * index for index in range(SLOW_CALLS)]
        for now in times:
            for pair in range(1, 5):
                for side in "ab":
                    record = self.scoreboard.get(f"{side}{pair}")
                    record.slowness.add(10.0, now)
        self.assertFalse(self.feed("a0", 10.0, times))

    def test_failures_by_reason(self):
        table = [(RESET, True), (CANCELLED, False), (FULL, False)]
        for index, (failure, expected) in enumerate(table):
            self.assertEqual(expected, self.fail(f"a{index}", failure))

    def test_floor_keeps_most_targets(self):
        outcomes = [self.fail(f"a{pair}", RESET) for pair in range(5)]
        self.assertEqual([True, True, True, False, False], outcomes)
        kept = self.counters.ejections[EjectionReason.KEPT_BY_FLOOR]
        self.assertEqual(2, kept)

    def test_last_replica_of_a_shard_stays(self):
        self.fail("a0", RESET)
        self.assertFalse(self.fail("b0", RESET))
        kept = self.counters.ejections[EjectionReason.KEPT_LAST_REPLICA]
        self.assertEqual(1, kept)

    def test_fraction_of_zero_ejects_nothing(self):
        self.ejector.max_fraction = 0.0
        self.assertFalse(self.fail("a0", RESET))

    def test_probe_waits_and_runs_once_at_a_time(self):
        self.fail("a0", RESET)
        since = self.ejector.ejected["a0"].since
        due = since + FIRST_PROBE_AFTER_S
        taken = [self.ejector.take_probe("a0", now) for now in (since, due, due)]
        self.assertEqual([False, True, False], taken)

    def test_bad_probes_come_at_growing_intervals(self):
        self.fail("a0", RESET)
        state = self.ejector.ejected["a0"]
        waits = []
        for slowness in (10.0, None, 10.0, 10.0):
            now = state.next_probe_at
            self.ejector.take_probe("a0", now)
            self.ejector.note_probe("a0", slowness, now)
            waits.append(state.next_probe_at - now)
        self.assertEqual([1.0, 2.0, 4.0, 4.0], waits)
        self.assertEqual(1, self.counters.probes[ProbeResult.FAILED])

    def test_good_probes_bring_the_target_back_with_a_ramp(self):
        self.fail("a0", RESET)
        for _ in range(GOOD_PROBES):
            now = self.ejector.ejected["a0"].next_probe_at
            self.assertTrue(self.ejector.take_probe("a0", now))
            self.ejector.note_probe("a0", 1.0, now)
        self.assertFalse(self.ejector.contains("a0"))
        self.assertTrue(self.scoreboard.get("a0").get_weight(now) < 1.0)
        self.assertEqual(1, self.counters.returns)

    def test_removed_target_is_forgotten(self):
        self.fail("a0", RESET)
        self.ejector.update_replicas([ReplicaSet("orders", ("c", "d"))])
        self.assertFalse(self.ejector.contains("a0"))
