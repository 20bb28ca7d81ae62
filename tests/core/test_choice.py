"""Tests of the choice among replicas."""

import random

import testtools

from sesameplank.core.choice import LeastCostChooser
from sesameplank.core.clock import ManualClock
from sesameplank.core.counters import EjectionReason, PolicyCounters
from sesameplank.core.ejection import Ejector, ReplicaSet
from sesameplank.core.latency import LatencyStatistics
from sesameplank.core.scoreboard import RAMP_S, Scoreboard


class LeastCostChooserTests(testtools.TestCase):
    """The replica whose next call ends first is taken."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock(100.0)
        self.keys = 0
        self.scoreboard = Scoreboard(LatencyStatistics())
        self.ejector = Ejector(self.scoreboard, PolicyCounters(), 0.5)
        self.ejector.update_replicas([ReplicaSet("orders", ("a", "b"))])
        self.chooser = LeastCostChooser(
            self.scoreboard, self.ejector, self.clock, random.Random(1)
        )

    def send(self, target: str) -> None:
        """Count one more call in flight."""
        self.keys += 1
        self.scoreboard.note_sent(target, self.keys, "orders", 1, self.clock.now())

    def choose(self, already=None):
        return self.chooser.choose_replica(("a", "b"), already or {})

    def count_a(self, tries: int = 1_000) -> int:
        return sum(self.choose() == "a" for _ in range(tries))

    def test_fewer_calls_in_flight_win(self):
        self.send("a")
        self.assertEqual("b", self.choose())

    def test_overdue_call_weighs_more_than_several_fresh_ones(self):
        for _ in range(50):
            self.scoreboard.latencies.observe("orders", 1, 0.02)
        self.send("a")
        self.clock.advance(0.2)
        for _ in range(4):
            self.send("b")
        self.assertEqual("b", self.choose())

    def test_lower_slowness_wins(self):
        self.scoreboard.get("a").slowness.add(5.0, self.clock.now())
        self.assertEqual("b", self.choose())

    def test_call_already_made_is_joined(self):
        self.send("a")
        self.assertEqual("a", self.choose({"a": 1}))

    def test_ties_are_spread(self):
        self.assertTrue(400 < self.count_a() < 600)

    def test_ejected_target_is_avoided_even_when_joined(self):
        self.ejector.eject("a", EjectionReason.SLOW, 100.0)
        for already in ({}, {"a": 1}):
            self.assertEqual("b", self.choose(already))

    def test_slow_ejected_target_takes_what_overflows(self):
        self.ejector.eject("a", EjectionReason.SLOW, 100.0)
        for _ in range(5):
            self.send("b")
        self.assertEqual("a", self.choose())

    def test_failing_ejected_target_takes_no_overflow(self):
        self.ejector.eject("a", EjectionReason.FAILING, 100.0)
        for _ in range(50):
            self.send("b")
        self.assertEqual("b", self.choose())

    def test_ejected_target_is_the_last_resort(self):
        self.ejector.eject("a", EjectionReason.SLOW, 100.0)
        self.assertEqual("a", self.chooser.choose_replica(("a",), {}))

    def test_cold_target_gets_a_rising_share(self):
        self.scoreboard.get("a").start_ramp(100.0)
        shares = []
        for elapsed_s in (0.0, RAMP_S / 2, RAMP_S):
            self.clock.time_s = 100.0 + elapsed_s
            shares.append(self.count_a() / 1_000)
        self.assertTrue(0.0 < shares[0] < 0.1 < shares[1] < 0.4 < shares[2])

    def test_shedding_target_is_avoided_for_a_moment(self):
        self.scoreboard.note_shed("a", self.clock.now())
        self.assertEqual("b", self.choose())
