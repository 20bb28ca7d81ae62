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
    TargetPhase,
    TargetRecord,
    TargetTable,
)
from sesameplank.core.published.versions import ConfigurationStore
from sesameplank.exceptions import PlatformError, UnreadableResponseError
from sesameplank.ids import ConfigVersion
from sesameplank.loops import RoundOverdue
from sesameplank.published.follower import (
    Publication,
    PublicationFollower,
    PublicationSource,
)


def make_record(name: str, revision: int) -> TargetRecord:
    """Return the record of a ready target."""
    return TargetRecord(
        name, "orders", "10.0.0.1:80", "dc", 2, TargetPhase.READY, revision=revision
    )


def make_configuration(version: int) -> PublishedConfiguration:
    """Return a published configuration whose document is its version."""
    return PublishedConfiguration(
        ConfigVersion(version), msgspec.Raw(b"%d" % version), 0.0
    )


class ScriptedSource(PublicationSource):
    """Returns prepared publications and records the calls."""

    def __init__(self) -> None:
        self.publications: list[Publication] = []
        self.calls: list[str] = []

    def add(self, era, revision, *names, is_whole=True, version=None) -> None:
        """Add a publication that lists the named targets."""
        records = tuple(make_record(name, revision) for name in names)
        self.publications.append(
            Publication(
                TargetChanges(revision, records, (), is_whole, era),
                None if version is None else make_configuration(version),
            )
        )

    def read(self) -> Publication:
        """Return the next publication."""
        self.calls.append("read")
        return self.publications.pop(0)

    def watch(self, after: int, wait_s: float) -> Publication:
        """Return the next publication."""
        self.calls.append(f"watch after {after}")
        return self.publications.pop(0)


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
