"""Tests of marks on leaving targets."""

import msgspec
import testtools

from sesameplank.conf import TargetState
from sesameplank.core.clock import ManualClock
from sesameplank.core.leaving import MAX_HOLD_S, LeavingSource, LeavingTargets
from sesameplank.standins.deployments import VATUWAQA, make_configuration

TARGET = "order-desk-00"


class LeavingTargetsTests(testtools.TestCase):
    """A mark ends only when the target is known to be back."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.leaving = LeavingTargets(self.clock)
        self.news = []
        self.leaving.listeners.append(self.news.append)
        self.configuration = make_configuration(VATUWAQA, "127.20")

    def report(self, *reports: bool | None) -> bool:
        """Feed health reports, None for none; return whether it is leaving."""
        for is_draining in reports:
            if is_draining is None:
                self.leaving.on_unreachable(TARGET)
            else:
                self.leaving.on_health(TARGET, is_draining)
        return self.leaving.is_leaving(TARGET)

    def test_every_source_marks_and_tells_once(self):
        for source in LeavingSource:
            leaving = LeavingTargets(self.clock)
            news = []
            leaving.listeners.append(news.append)
            leaving.mark(TARGET, source)
            leaving.mark(TARGET, source)
            self.assertTrue(leaving.is_leaving(TARGET))
            self.assertEqual([TARGET], news)

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
            self.assertEqual(expected, self.report(*reports), reports)

    def test_mark_ends_after_the_hold_if_health_never_changed(self):
        self.leaving.mark(TARGET, LeavingSource.PEER)
        self.clock.advance(MAX_HOLD_S)
        self.assertFalse(self.report(False, False))

    def test_configuration_marks_until_it_says_serving(self):
        target = self.configuration.targets[TARGET]
        leaving = msgspec.structs.replace(target, state=TargetState.LEAVING)
        changed = msgspec.structs.replace(
            self.configuration, targets={**self.configuration.targets, TARGET: leaving}
        )
        self.leaving.on_configuration(self.configuration)
        self.leaving.on_configuration(changed)
        self.assertTrue(self.report(None, False, False, False))
        self.leaving.on_configuration(self.configuration)
        self.assertFalse(self.leaving.is_leaving(TARGET))

    def test_unchanged_configuration_keeps_a_mark_from_an_answer(self):
        self.leaving.on_configuration(self.configuration)
        self.leaving.mark(TARGET, LeavingSource.ANSWER)
        self.leaving.on_configuration(self.configuration)
        self.assertTrue(self.leaving.is_leaving(TARGET))

    def test_replicas_that_stay_are_chosen_and_all_if_none_stays(self):
        self.leaving.mark("a", LeavingSource.PEER)
        self.assertEqual(("b",), self.leaving.exclude_leaving(("a", "b")))
        self.assertEqual(("a",), self.leaving.exclude_leaving(("a",)))
