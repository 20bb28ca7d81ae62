"""Tests of ejection, probes and restoration, on constructed traces of calls."""

import testtools

from sesameplank.core.common.latency import LatencyStatistics
from sesameplank.core.common.outcomes import Failure, FailureReason, Ran
from sesameplank.core.search.counters import EjectionReason, PolicyCounters, ProbeResult
from sesameplank.core.search.ejection import (
    EJECT_AFTER_FAILED_CALLS,
    EJECT_AFTER_SLOW_CALLS,
    EJECT_AFTER_SLOW_S,
    FIRST_PROBE_DELAY_S,
    RESTORE_AFTER_GOOD_PROBES,
    Ejector,
    ReplicaSet,
)
from sesameplank.core.search.scoreboard import Scoreboard

RESET = Failure(FailureReason.RESET, Ran.UNKNOWN)
CANCELLED = Failure(FailureReason.CANCELLED, Ran.UNKNOWN)
FULL = Failure(FailureReason.QUEUE_FULL, Ran.NOT_RUN)


class EjectorTests(testtools.TestCase):
    """Persistently bad targets are ejected, and restored once probes are good."""

    def setUp(self):
        super().setUp()
        self.counters = PolicyCounters()
        self.scoreboard = Scoreboard(LatencyStatistics())
        self.ejector = Ejector(self.scoreboard, self.counters, 0.3)
        self.ejector.update_replicas(
            ReplicaSet("orders", (f"a{pair}", f"b{pair}")) for pair in range(5)
        )

    def record_calls(self, target: str, slowness: float, times: list[float]) -> bool:
        """Record calls of one slowness; return whether the target is ejected."""
        for now in times:
            self.scoreboard.get(target).slowness.add(slowness, now)
            self.ejector.note_latency(target, slowness, now)
        return self.ejector.is_ejected(target)

    def record_failures(
        self, target: str, failure: Failure, count: int = EJECT_AFTER_FAILED_CALLS
    ) -> bool:
        """Record failures, 1 s apart; return whether the target is ejected."""
        for number in range(count):
            self.ejector.note_failure(target, failure, float(number))
        return self.ejector.is_ejected(target)

    def test_slow_traces(self):
        spread = [EJECT_AFTER_SLOW_S * index for index in range(EJECT_AFTER_SLOW_CALLS)]
        table = [
            ("lasting", 10.0, spread, True),
            (
                "momentary",
                10.0,
                [0.15 * index for index in range(EJECT_AFTER_SLOW_CALLS)],
                False,
            ),
            ("too few calls", 10.0, spread[:-1], False),
            ("not slow enough", 2.0, spread, False),
        ]
        for index, (name, slowness, times, expected) in enumerate(table):
            self.assertEqual(
                expected, self.record_calls(f"a{index}", slowness, times), name
            )

    def test_fast_call_resets_the_count_of_slow_calls(self):
        self.record_calls("a0", 10.0, [0.0, 0.3])
        self.record_calls("a0", 1.0, [0.5])
        self.assertFalse(self.record_calls("a0", 10.0, [0.6, 0.9]))

    def test_target_is_not_ejected_if_the_other_replica_is_as_slow(self):
        times = [EJECT_AFTER_SLOW_S * index for index in range(EJECT_AFTER_SLOW_CALLS)]
        for now in times:
            self.scoreboard.get("b0").slowness.add(10.0, now)
        self.assertFalse(self.record_calls("a0", 10.0, times))

    def test_no_target_is_an_outlier_in_an_overload(self):
        times = [EJECT_AFTER_SLOW_S * index for index in range(EJECT_AFTER_SLOW_CALLS)]
        for now in times:
            for pair in range(1, 5):
                for side in "ab":
                    record = self.scoreboard.get(f"{side}{pair}")
                    record.slowness.add(10.0, now)
        self.assertFalse(self.record_calls("a0", 10.0, times))

    def test_failures_by_reason(self):
        table = [(RESET, True), (CANCELLED, False), (FULL, False)]
        for index, (failure, expected) in enumerate(table):
            self.assertEqual(expected, self.record_failures(f"a{index}", failure))

    def test_number_of_ejected_targets_is_limited(self):
        outcomes = [self.record_failures(f"a{pair}", RESET) for pair in range(5)]
        self.assertEqual([True, True, True, False, False], outcomes)
        kept = self.counters.ejections[EjectionReason.KEPT_BY_FLOOR]
        self.assertEqual(2, kept)

    def test_last_replica_of_a_shard_is_not_ejected(self):
        self.record_failures("a0", RESET)
        self.assertFalse(self.record_failures("b0", RESET))
        kept = self.counters.ejections[EjectionReason.KEPT_LAST_REPLICA]
        self.assertEqual(1, kept)

    def test_fraction_of_zero_ejects_nothing(self):
        self.ejector.max_fraction = 0.0
        self.assertFalse(self.record_failures("a0", RESET))

    def test_first_probe_is_delayed_and_only_one_runs_at_a_time(self):
        self.record_failures("a0", RESET)
        since = self.ejector.ejected["a0"].since
        due = since + FIRST_PROBE_DELAY_S
        taken = [self.ejector.take_probe("a0", now) for now in (since, due, due)]
        self.assertEqual([False, True, False], taken)

    def test_interval_between_bad_probes_grows(self):
        self.record_failures("a0", RESET)
        state = self.ejector.ejected["a0"]
        intervals_s = []
        for slowness in (10.0, None, 10.0, 10.0):
            now = state.next_probe_at
            self.ejector.take_probe("a0", now)
            self.ejector.note_probe("a0", slowness, now)
            intervals_s.append(state.next_probe_at - now)
        self.assertEqual([1.0, 2.0, 4.0, 4.0], intervals_s)
        self.assertEqual(1, self.counters.probes[ProbeResult.FAILED])

    def test_good_probes_restore_the_target_with_a_ramp(self):
        self.record_failures("a0", RESET)
        for _ in range(RESTORE_AFTER_GOOD_PROBES):
            now = self.ejector.ejected["a0"].next_probe_at
            self.assertTrue(self.ejector.take_probe("a0", now))
            self.ejector.note_probe("a0", 1.0, now)
        self.assertFalse(self.ejector.is_ejected("a0"))
        self.assertTrue(self.scoreboard.get("a0").get_weight(now) < 1.0)
        self.assertEqual(1, self.counters.returns)

    def test_state_of_a_removed_target_is_discarded(self):
        self.record_failures("a0", RESET)
        self.ejector.update_replicas([ReplicaSet("orders", ("c", "d"))])
        self.assertFalse(self.ejector.is_ejected("a0"))
