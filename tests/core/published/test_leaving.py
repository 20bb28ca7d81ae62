"""Tests of marks on leaving targets."""

import msgspec
import testtools

from sesameplank.conf import TargetState
from sesameplank.core.common.clock import ManualClock
from sesameplank.core.published.leaving import MAX_HOLD_S, LeavingSource, LeavingTargets
from sesameplank.standins.deployments import VATUWAQA, make_configuration

TARGET = "order-desk-00"


class LeavingTargetsTests(testtools.TestCase):
    """A mark is not ended by health reports that may be outdated."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.leaving = LeavingTargets(self.clock)
        self.notified = []
        self.leaving.listeners.append(self.notified.append)
        self.configuration = make_configuration(VATUWAQA, "127.20")

    def apply_health_reports(self, *reports: bool | None) -> bool:
        """Apply health reports and return whether the target is leaving.

        None stands for a health check without an answer.
        """
        for is_draining in reports:
            if is_draining is None:
                self.leaving.on_unreachable(TARGET)
            else:
                self.leaving.on_health(TARGET, is_draining)
        return self.leaving.is_leaving(TARGET)

    def test_every_source_marks_and_notifies_once(self):
        for source in LeavingSource:
            leaving = LeavingTargets(self.clock)
            notified = []
            leaving.listeners.append(notified.append)
            leaving.mark(TARGET, source)
            leaving.mark(TARGET, source)
            self.assertTrue(leaving.is_leaving(TARGET))
            self.assertEqual([TARGET], notified)

    def test_health_reports_after_an_answer_that_said_draining(self):
        table = [
            ((False, False, False), True),
            ((True, False), True),
            ((True, False, False), False),
            ((None, False, False), False),
            ((True, False, True, False), True),
        ]
        for reports, expected in table:
            self.leaving.marks.clear()
            self.leaving.mark(TARGET, LeavingSource.ANSWER)
            self.assertEqual(expected, self.apply_health_reports(*reports), reports)

    def test_mark_ends_after_the_hold_time_if_health_never_changed(self):
        self.leaving.mark(TARGET, LeavingSource.PEER)
        self.clock.advance(MAX_HOLD_S)
        self.assertFalse(self.apply_health_reports(False, False))

    def test_mark_of_the_configuration_lasts_until_it_says_serving(self):
        target = self.configuration.targets[TARGET]
        leaving = msgspec.structs.replace(target, state=TargetState.LEAVING)
        changed = msgspec.structs.replace(
            self.configuration, targets={**self.configuration.targets, TARGET: leaving}
        )
        self.leaving.on_configuration(self.configuration)
        self.leaving.on_configuration(changed)
        self.assertTrue(self.apply_health_reports(None, False, False, False))
        self.leaving.on_configuration(self.configuration)
        self.assertFalse(self.leaving.is_leaving(TARGET))

    def test_unchanged_configuration_keeps_a_mark_from_an_answer(self):
        self.leaving.on_configuration(self.configuration)
        self.leaving.mark(TARGET, LeavingSource.ANSWER)
        self.leaving.on_configuration(self.configuration)
        self.assertTrue(self.leaving.is_leaving(TARGET))

    def test_leaving_replicas_are_excluded_unless_all_are_leaving(self):
        self.leaving.mark("a", LeavingSource.PEER)
        self.assertEqual(("b",), self.leaving.exclude_leaving(("a", "b")))
        self.assertEqual(("a",), self.leaving.exclude_leaving(("a",)))
