"""Tests of the follower with answers that are old, doubtful or bring nothing."""

from unittest.mock import Mock

import gevent

from sesameplank.core.published.document_version import DocumentVersion
from sesameplank.core.published.target_table import (
    TargetChanges,
)
from sesameplank.exceptions import (
    HistoryGoneError,
    PlatformError,
    UnreadableResponseError,
)
from sesameplank.published.follower import (
    Publication,
)

from .scripted_store import FollowerCase, make_record


class OlderAnswerTests(FollowerCase):
    """An answer that is older than what is known confirms nothing, and is told of."""

    def test_answer_older_than_the_known_list_does_not_confirm(self):
        for is_whole in (False, True):
            self.source.add(1, 9, "b", is_whole=is_whole)
            self.follower.run_round()
            self.assertAlmostEqual(1.0, self.configurations.age_s)
            self.assertEqual(["a"], self.get_targets())
        self.assertEqual(1, self.count_lines("store_lost"))
        self.assertEqual(2, self.follower.counts.answers_refused)
        self.source.add(1, 10, "a")
        self.follower.run_round()
        self.assertAlmostEqual(0.0, self.configurations.age_s)
        self.assertEqual(["read", "watch after 10", "read", "read"], self.source.calls)

    def test_newer_configuration_of_an_older_answer_is_taken(self):
        self.source.add(1, 9, "b", version=8)
        self.follower.run_round()
        self.assertEqual(8, self.configurations.version)
        self.assertAlmostEqual(1.0, self.configurations.age_s)

    def test_answer_that_a_peers_list_overtakes_is_no_fault(self):
        def overtake(after, wait_s):
            records = (make_record("a", 10), make_record("b", 12))
            self.table.apply(TargetChanges(12, records, (), True, 1), 0.0, False)
            return Publication(TargetChanges(11, era=1))

        self.source.watch = overtake
        self.follower.run_round()
        self.assertAlmostEqual(1.0, self.configurations.age_s)
        self.assertEqual(0, self.follower.counts.answers_refused)
        self.assertEqual(["a", "b"], self.get_targets())

    def test_failure_that_lasts_is_told_of_again(self):
        for _ in range(25):
            self.source.add(1, 9, "b")
            self.follower.run_round()
            self.clock.advance(1.0)
        self.assertEqual(1, self.count_lines("store_lost"))
        self.assertEqual(2, self.count_lines("store_still_lost"))
        self.assertIn("failures=21", self.lines[-1])
        self.assertIn("view_age_s=21.000", self.lines[-1])


class WrongEraTests(FollowerCase):
    """One answer with a wrong era doesn't end the reading of the right one."""

    def test_era_of_a_single_answer_is_not_believed(self):
        self.source.add(9, 11, "z", is_whole=False)
        self.follower.run_round()
        for _ in range(2):
            self.source.add(1, 12, "a", "b")
            self.follower.run_round()
        self.assertEqual(["a", "b"], self.get_targets())
        self.assertAlmostEqual(0.0, self.configurations.age_s)

    def test_era_of_a_single_complete_answer_is_not_believed(self):
        self.follower.request_full_read()
        self.source.add(9, 11, "z")
        self.follower.run_round()
        self.assertEqual(["a"], self.get_targets())
        for _ in range(2):
            self.source.add(1, 12, "a", "b")
            self.follower.run_round()
        self.assertEqual(["a", "b"], self.get_targets())

    def test_eras_that_rise_with_each_answer_are_not_read_without_a_pause(self):
        for era in range(20, 24):
            self.source.add(era, 11, "z")
            self.follower.run_round()
        self.assertEqual(["a"], self.get_targets())
        self.assertEqual(3, self.follower.counts.answers_refused)
        self.assertAlmostEqual(1.0, self.configurations.age_s)

    def test_era_that_is_named_no_longer(self):
        for _ in range(25):
            self.source.add(0, 12, "b")
            self.follower.run_round()
            self.clock.advance(1.0)
        self.assertEqual(["a"], self.get_targets())
        self.assertAlmostEqual(26.0, self.configurations.age_s)
        self.assertEqual(2, self.count_lines("store_still_lost"))

    def test_restore_that_a_peer_confirms_first_is_no_failure(self):
        for confirm in (lambda: self.table.note_era(2), lambda: None):
            self.source.add(2, 6, "b", version=8)
            self.follower.run_round()
            confirm()
        self.assertEqual(["b"], self.get_targets())
        self.assertAlmostEqual(0.0, self.configurations.age_s)
        self.assertEqual([], self.unavailable)
        self.assertEqual(0, self.count_lines("store_lost"))

    def test_answers_of_a_lower_era_stay_refused(self):
        for _ in range(2):
            self.source.add(2, 6, "b")
            self.follower.run_round()
        self.assertEqual(["b"], self.get_targets())
        for era in (0, 1):
            self.source.add(era, 99, "z")
            self.follower.run_round()
        self.assertEqual(["b"], self.get_targets())
        self.assertEqual(2, self.follower.counts.answers_refused)


class RefusedConfigurationTests(FollowerCase):
    """A confirmed view whose newest configuration is not used is told of."""

    def test_refusal_that_lasts_is_told_of_again(self):
        refused = Publication(TargetChanges(11, era=1), None, 0, 1, True)
        self.source.publications.append(refused)
        self.follower.run_round()
        for _ in range(25):
            self.source.add(1, 11, is_whole=False)
            self.follower.run_round()
            self.clock.advance(1.0)
        self.assertEqual(2, self.count_lines("config_still_refused"))
        self.assertIn("version_in_force=7", self.lines[-1])
        self.source.add(1, 12, version=9, is_whole=False)
        self.follower.run_round()
        for _ in range(25):
            self.source.add(1, 12, is_whole=False)
            self.follower.run_round()
            self.clock.advance(1.0)
        self.assertEqual(2, self.count_lines("config_still_refused"))
        self.assertEqual(1, self.follower.counts.configurations_refused)


class LateEraTests(FollowerCase):
    """A store that names no era at first is followed when it does."""

    FIRST_ERA = 0

    def test_era_that_appears_later(self):
        self.source.add(1, 11, "a", is_whole=False)
        self.source.add(1, 11, "a", "b")
        for _ in range(2):
            self.follower.run_round()
        self.assertEqual(["a", "b"], self.get_targets())
        self.assertEqual(DocumentVersion(1, 11), self.table.version)
        self.assertAlmostEqual(0.0, self.configurations.age_s)


class FruitlessCallTests(FollowerCase):
    """A store whose watches bring nothing is read all the same, and not too often."""

    MAX_CALLS_PER_S = 12

    def count_calls(self) -> int:
        """Return the number of calls in one second of real time."""
        start = len(self.source.calls)
        with gevent.Timeout(1.0, exception=False):
            while True:
                self.follower.run_round()
                gevent.sleep(0.001)
        return len(self.source.calls) - start

    def read(self) -> Publication:
        """Return the whole list with one change more."""
        self.source.calls.append("read")
        return Publication(TargetChanges(20, (make_record("b", 20),), (), True, 1))

    def test_watches_that_return_at_once_without_changes(self):
        def watch(after, wait_s):
            self.source.calls.append("watch")
            return Publication(TargetChanges(10, era=1))

        self.source.watch = watch
        self.assertLess(self.count_calls(), self.MAX_CALLS_PER_S)

    def test_watches_whose_history_is_always_gone(self):
        self.source.watch = Mock(side_effect=HistoryGoneError("gone"))
        self.source.read = self.read
        self.assertLess(self.count_calls(), self.MAX_CALLS_PER_S)
        self.assertEqual(["b"], self.get_targets())

    def test_watches_that_are_always_cut_short(self):
        self.source.watch = Mock(side_effect=UnreadableResponseError("cut"))
        self.source.read = self.read
        self.assertLess(self.count_calls(), self.MAX_CALLS_PER_S)
        self.assertEqual(["b"], self.get_targets())
        self.assertTrue(self.count_lines("store_lost") > 1)

    def test_watches_that_always_fail_do_not_hide_changes(self):
        self.source.watch = Mock(side_effect=PlatformError("no answer"))
        self.source.read = self.read
        for _ in range(3):
            self.follower.run_round()
        self.assertEqual(["b"], self.get_targets())

    def test_reads_that_always_fail_do_not_hide_changes(self):
        failure = PlatformError("busy")
        changes = TargetChanges(12, (make_record("b", 12),), (), False, 1)
        self.source.watch = Mock(side_effect=[failure] * 3 + [Publication(changes)])
        self.source.read = Mock(side_effect=failure)
        for _ in range(6):
            self.follower.run_round()
        self.assertEqual(["a", "b"], self.get_targets())
        self.assertEqual(2, self.source.read.call_count)
        self.assertAlmostEqual(0.0, self.configurations.age_s)

    def test_read_that_a_pause_calls_for_is_not_replaced_by_a_watch(self):
        self.source.watch = Mock(side_effect=PlatformError("busy"))
        self.source.read = Mock(side_effect=PlatformError("busy"))
        for _ in range(2):
            self.follower.run_round()
        self.follower.request_full_read()
        for _ in range(3):
            self.follower.run_round()
        self.assertEqual(
            (2, 3), (self.source.watch.call_count, self.source.read.call_count)
        )


class PauseTests(FollowerCase):
    """An answer that waited while this process stood still isn't taken for fresh."""

    PAUSE_S = 60.0

    def get_options(self) -> dict:
        """Return the delay of the event loop."""
        return {"get_stall_s": lambda: self.stall_s}

    def stand_still(self, after, wait_s):
        """Answer at once, and let the answer wait."""
        self.clock.advance(self.PAUSE_S)
        return Publication(TargetChanges(10, era=1))

    def test_pause_that_nothing_has_noticed_yet(self):
        self.stall_s = self.PAUSE_S
        self.source.watch = self.stand_still
        self.follower.run_round()
        self.assertTrue(self.configurations.age_s >= self.PAUSE_S)

    def test_pause_that_was_noticed_during_the_call(self):
        def watch(after, wait_s):
            self.follower.request_full_read()
            return self.stand_still(after, wait_s)

        self.source.watch = watch
        self.follower.run_round()
        self.assertTrue(self.configurations.age_s >= self.PAUSE_S)
        self.source.add(1, 12, "a", "b")
        self.follower.run_round()
        self.assertEqual(["read", "read"], self.source.calls)
        self.assertAlmostEqual(0.0, self.configurations.age_s)
