"""Tests of how a process tells that its links to all targets are lost."""

import random

import testtools

from sesameplank.core.forwarding.target_reach import (
    LOST_PROBE_S,
    PROBED_TARGETS,
    REGAINED_TARGETS,
    ProbedTarget,
    ProbeOutcome,
    ReachState,
    TargetReach,
)

TARGETS = [
    ProbedTarget(f"s{number % 4}", f"10.0.0.{number}:80") for number in range(20)
]


class TargetReachTests(testtools.TestCase):
    """Only probes of several targets that all fail show that the links are lost."""

    def setUp(self):
        super().setUp()
        self.reach = TargetReach(random.Random(1), 0.0)

    def probe(
        self, now: float, reached: int, failure: ProbeOutcome = ProbeOutcome.FAILED
    ) -> int:
        """Play a round of probes; return the size of the sample."""
        size = len(self.reach.choose_sample(TARGETS, now))
        reached = min(reached, size)
        outcomes = [ProbeOutcome.REACHED] * reached + [failure] * (size - reached)
        self.reach.note_probes(outcomes, now)
        return size

    def is_due(self, now: float) -> bool:
        return self.reach.is_probe_due(now, is_active=True)

    def lose(self, now: float) -> None:
        """Lose the links."""
        self.reach.heard_at = now - 1.0
        self.reach.note_suspicion()
        self.probe(now + 0.1, 0)

    def test_process_that_hears_of_targets_does_not_probe(self):
        for step in range(50):
            self.reach.note_heard(step * 0.1)
            self.assertFalse(self.is_due(step * 0.1))

    def test_idle_process_probes_one_target_and_more_if_that_fails(self):
        self.assertTrue(self.is_due(2.0))
        self.assertEqual(1, self.probe(2.0, 0))
        self.assertIs(ReachState.REACHED, self.reach.state)
        self.assertTrue(self.is_due(2.8))
        self.assertEqual(PROBED_TARGETS, self.probe(2.8, 0))
        self.assertIs(ReachState.LOST, self.reach.state)

    def test_process_that_callers_are_not_sent_to_probes_only_on_suspicion(self):
        self.assertFalse(self.reach.is_probe_due(9.0, is_active=False))
        self.reach.note_suspicion()
        self.assertTrue(self.reach.is_probe_due(9.0, is_active=False))

    def test_targets_that_are_down_do_not_lose_the_links(self):
        for reached in range(1, PROBED_TARGETS + 1):
            self.reach.note_suspicion()
            self.probe(reached * 5.0, reached)
            self.assertIs(ReachState.REACHED, self.reach.state, reached)

    def test_overloaded_targets_that_answer_do_not_lose_the_links(self):
        for failure, is_lost in (
            (ProbeOutcome.FAILED, False),
            (ProbeOutcome.REFUSED, True),
        ):
            self.reach.note_suspicion()
            self.reach.note_heard(4.9)
            self.probe(5.0, 0, failure)
            self.assertEqual(is_lost, self.reach.is_lost, failure)

    def test_sample_is_of_several_services(self):
        self.reach.note_suspicion()
        sample = self.reach.choose_sample(TARGETS, 5.0)
        self.assertEqual(4, len({item.service for item in sample}))

    def test_links_are_regained_by_a_round_that_reaches_enough(self):
        for reached in range(PROBED_TARGETS + 1):
            self.lose(reached * 10.0)
            now = reached * 10.0 + 0.2 + LOST_PROBE_S
            self.assertTrue(self.is_due(now))
            self.probe(now, reached)
            self.assertEqual(reached < REGAINED_TARGETS, self.reach.is_lost, reached)

    def test_what_was_not_heard_during_a_pause_does_not_count(self):
        self.reach.note_suspicion()
        self.reach.note_pause(9.0)
        self.assertFalse(self.is_due(9.1))

    def test_without_targets_nothing_is_concluded(self):
        self.reach.note_suspicion()
        self.reach.choose_sample([], 1.0)
        self.assertFalse(self.reach.note_probes([], 1.1))
        self.assertFalse(self.reach.is_lost)
