"""Tests of the follower of the platform's store, with a scripted store."""

import random
from unittest.mock import Mock

import msgspec
import testtools

from sesameplank.conf import PublishedConfiguration
from sesameplank.core.common.clock import ManualClock
from sesameplank.core.published.document_version import DocumentVersion
from sesameplank.core.published.target_table import (
    TargetChanges,
    TargetTable,
)
from sesameplank.core.published.versions import ConfigurationStore, OfferResult
from sesameplank.exceptions import (
    PlatformError,
    UnreadableResponseError,
)
from sesameplank.loops import RoundOverdue
from sesameplank.published.follower import (
    PublicationFollower,
)

from .scripted_store import ScriptedSource, make_record


class UnexpectedErrorTests(testtools.TestCase):
    """An error that nothing expects neither ends the reading nor hides a change."""

    def setUp(self):
        super().setUp()
        self.source = ScriptedSource()
        self.table = TargetTable()
        self.configurations = ConfigurationStore(ManualClock(), bytes)
        self.follower = PublicationFollower(
            self.source,
            self.configurations,
            self.table,
            ManualClock(),
            random.Random(1),
            lambda: None,
            lambda age_s: True,
            lambda is_unavailable: None,
        )
        self.source.add(1, 10, "a", version=7)
        self.follower.run_round()

    def test_changes_that_cannot_be_read_whole_are_read_again_in_pages(self):
        self.source.watch = Mock(side_effect=UnreadableResponseError("too large"))
        self.follower.run_round()
        self.source.add(1, 12, "a", "b")
        self.follower.run_round()
        self.assertEqual(["read", "read"], self.source.calls)
        self.assertEqual({"a", "b"}, set(self.table.records))

    def test_everything_is_read_again_after_a_round_that_was_ended(self):
        self.source.watch = Mock(side_effect=RoundOverdue("store", 60.0))
        self.assertRaises(RoundOverdue, self.follower.run_round)
        self.source.add(1, 12, "a", "b")
        self.follower.run_round()
        self.assertEqual(["read", "read"], self.source.calls)
        self.assertEqual({"a", "b"}, set(self.table.records))

    def test_next_round_reads_everything_again(self):
        apply, self.table.apply = self.table.apply, fail
        self.source.add(1, 12, "b", is_whole=False, version=8)
        self.assertRaises(OverflowError, self.follower.run_round)
        self.assertEqual(8, self.configurations.version)
        self.table.apply = apply
        self.source.add(1, 12, "a", "b")
        self.follower.run_round()
        self.assertEqual(["read", "watch after 10", "read"], self.source.calls)
        self.assertEqual({"a", "b"}, set(self.table.records))


class ContradictingStoreTests(testtools.TestCase):
    """Other content under the version in force is told, as it is read only once."""

    def test_contradiction_is_counted_and_the_first_content_stays(self):
        clock = ManualClock()
        source = ScriptedSource()
        configurations = ConfigurationStore(clock, bytes)
        follower = PublicationFollower(
            source,
            configurations,
            TargetTable(),
            clock,
            random.Random(1),
            lambda: None,
            lambda age_s: True,
            lambda is_unavailable: None,
        )
        source.add(1, 10, "a", version=7)
        follower.run_round()
        source.add(1, 11, "a", version=7)
        other = msgspec.Raw(b'"other"')
        publication = source.publications.pop()
        source.publications.append(
            msgspec.structs.replace(
                publication, configuration=PublishedConfiguration(7, other, 0.0)
            )
        )
        follower.run_round()
        self.assertEqual(1, configurations.ignored[OfferResult.CONFLICT])
        self.assertEqual(b"7", configurations.current.configuration)


def fail(*arguments) -> None:
    """Raise an error that no caller expects."""
    raise OverflowError("too large")


class RestoredStoreTests(testtools.TestCase):
    """The follower of a store that may be restored from a copy."""

    def setUp(self):
        super().setUp()
        clock = ManualClock()
        self.source = ScriptedSource()
        self.table = TargetTable()
        self.configurations = ConfigurationStore(clock, bytes)
        self.follower = PublicationFollower(
            self.source,
            self.configurations,
            self.table,
            clock,
            random.Random(1),
            lambda: None,
            lambda age_s: True,
            lambda is_unavailable: None,
        )
        self.source.add(1, 10, "a", version=7)
        self.follower.step()

    def get_targets(self) -> list[str]:
        return sorted(self.table.records)

    def test_watch_of_a_later_era_is_replaced_by_a_complete_read(self):
        self.source.add(2, 12, "c", is_whole=False)
        self.follower.step()
        self.assertEqual(["a"], self.get_targets())
        self.source.add(2, 6, "b", version=5)
        self.follower.step()
        self.assertEqual(["b"], self.get_targets())
        self.assertEqual(["read", "watch after 10", "read"], self.source.calls)
        self.assertEqual(DocumentVersion(2, 6), self.table.version)
        self.source.add(2, 8, "c", is_whole=False)
        self.follower.step()
        self.assertEqual("watch after 6", self.source.calls[-1])

    def test_accepted_configuration_never_reverts(self):
        self.source.add(2, 12, is_whole=False, version=5)
        self.source.add(2, 6, "b", version=5)
        for _ in range(2):
            self.follower.step()
            self.assertEqual(7, self.configurations.version)

    def test_response_that_could_move_the_list_back_is_not_used(self):
        cases = (("earlier era", 1), ("missing or unreadable era", 0))
        self.table.note_era(2)
        for name, era in cases:
            self.source.add(era, 99, "z", version=9)
            self.assertRaises(PlatformError, self.follower.step)
            self.assertEqual(["a"], self.get_targets(), name)
            self.assertEqual(7, self.configurations.version, name)

    def test_watch_after_a_list_from_a_peer_of_a_later_era_is_a_complete_read(self):
        peers_list = TargetChanges(6, (make_record("b", 6),), (), True, 2)
        self.table.apply(peers_list, 0.0, True)
        self.source.add(2, 14, "c", is_whole=False)
        self.follower.step()
        self.assertEqual(["b"], self.get_targets())
        self.source.add(2, 14, "b", "c")
        self.follower.step()
        self.assertEqual(["b", "c"], self.get_targets())
