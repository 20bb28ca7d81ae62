"""Tests of the choice among replicas."""

import random

import testtools

from sesameplank.core.common.clock import ManualClock
from sesameplank.core.common.latency import LatencyStatistics
from sesameplank.core.search.choice import LeastCostChooser
from sesameplank.core.search.counters import EjectionReason, PolicyCounters
from sesameplank.core.search.ejection import Ejector, ReplicaSet
from sesameplank.core.search.scoreboard import RAMP_DURATION_S, Scoreboard


class LeastCostChooserTests(testtools.TestCase):
    """The replica whose next call should end first is chosen."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock(100.0)
        self.call_count = 0
        self.scoreboard = Scoreboard(LatencyStatistics())
        self.ejector = Ejector(self.scoreboard, PolicyCounters(), 0.5)
        self.ejector.update_replicas([ReplicaSet("orders", ("a", "b"))])
        self.chooser = LeastCostChooser(
            self.scoreboard, self.ejector, self.clock, random.Random(1)
        )

    def send(self, target: str) -> None:
        """Record one more call in flight to the target."""
        self.call_count += 1
        self.scoreboard.note_sent(
            target, self.call_count, "orders", 1, self.clock.now()
        )

    def choose(self, already_chosen=None):
        return self.chooser.choose_replica(("a", "b"), already_chosen or {})

    def count_choices_of_a(self, tries: int = 1_000) -> int:
        return sum(self.choose() == "a" for _ in range(tries))

    def test_replica_with_fewer_calls_in_flight_is_chosen(self):
        self.send("a")
        self.assertEqual("b", self.choose())

    def test_overdue_call_costs_more_than_several_recent_ones(self):
        for _ in range(50):
            self.scoreboard.latencies.observe("orders", 1, 0.02)
        self.send("a")
        self.clock.advance(0.2)
        for _ in range(4):
            self.send("b")
        self.assertEqual("b", self.choose())

    def test_replica_with_lower_slowness_is_chosen(self):
        self.scoreboard.get("a").slowness.add(5.0, self.clock.now())
        self.assertEqual("b", self.choose())

    def test_replica_already_chosen_for_another_shard_is_chosen(self):
        self.send("a")
        self.assertEqual("a", self.choose({"a": 1}))

    def test_ties_are_broken_at_random(self):
        self.assertTrue(400 < self.count_choices_of_a() < 600)

    def test_ejected_target_is_avoided_even_if_already_chosen(self):
        self.ejector.eject("a", EjectionReason.SLOW, 100.0)
        for already_chosen in ({}, {"a": 1}):
            self.assertEqual("b", self.choose(already_chosen))

    def test_slow_ejected_target_is_chosen_on_overflow(self):
        self.ejector.eject("a", EjectionReason.SLOW, 100.0)
        for _ in range(5):
            self.send("b")
        self.assertEqual("a", self.choose())

    def test_failing_ejected_target_is_not_chosen_on_overflow(self):
        self.ejector.eject("a", EjectionReason.FAILING, 100.0)
        for _ in range(50):
            self.send("b")
        self.assertEqual("b", self.choose())

    def test_ejected_target_is_chosen_if_it_is_the_only_replica(self):
        self.ejector.eject("a", EjectionReason.SLOW, 100.0)
        self.assertEqual("a", self.chooser.choose_replica(("a",), {}))

    def test_ramping_target_gets_a_rising_share(self):
        self.scoreboard.get("a").start_ramp(100.0)
        shares = []
        for elapsed_s in (0.0, RAMP_DURATION_S / 2, RAMP_DURATION_S):
            self.clock.time_s = 100.0 + elapsed_s
            shares.append(self.count_choices_of_a() / 1_000)
        self.assertTrue(0.0 < shares[0] < 0.1 < shares[1] < 0.4 < shares[2])

    def test_target_that_shed_a_call_is_avoided_briefly(self):
        self.scoreboard.note_shed("a", self.clock.now())
        self.assertEqual("b", self.choose())
