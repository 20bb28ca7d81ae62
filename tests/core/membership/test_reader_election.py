"""Tests of the election of readers of the configuration service."""

import testtools

from sesameplank.core.membership.peer_messages import Health, Member, Phase
from sesameplank.core.membership.reader_election import (
    MAX_VIEW_AGE_S,
    READERS,
    elect_readers,
    is_elected_reader,
)


def make_members(count: int, refused=()) -> list[Member]:
    """Return serving members `m0`, `m1`, ..., some of them refused by the service."""
    return [
        Member(
            f"m{n}", 1, 1, Phase.SERVING, Health.ALIVE, "", "", "dc", f"m{n}" in refused
        )
        for n in range(count)
    ]


class ReaderElectionTests(testtools.TestCase):
    """A few read; no process stays without updates."""

    def test_a_few_read_at_every_fleet_size(self):
        for count in (1, 2, 8, 83, 1_400):
            readers = elect_readers(make_members(count))
            self.assertEqual(min(READERS, count), len(readers))

    def test_readers_that_are_refused_are_replaced(self):
        readers = elect_readers(make_members(8))
        others = elect_readers(make_members(8, readers))
        self.assertEqual(READERS, len(others))
        self.assertEqual(set(), set(readers) & set(others))

    def test_some_still_read_when_all_are_refused(self):
        refused = {f"m{n}" for n in range(8)}
        self.assertEqual(READERS, len(elect_readers(make_members(8, refused))))

    def test_every_process_with_an_old_view_reads(self):
        members = make_members(8)
        idle = next(m.id for m in members if m.id not in elect_readers(members))
        self.assertFalse(is_elected_reader(idle, members, MAX_VIEW_AGE_S))
        self.assertTrue(is_elected_reader(idle, members, MAX_VIEW_AGE_S + 0.1))
        self.assertTrue(is_elected_reader(idle, members, None))
        self.assertTrue(is_elected_reader(idle, [], None))

    def test_starting_process_waits_for_its_contacts(self):
        for own, has_waited, expected in (
            ("m1", False, True),
            ("m9", False, False),
            ("m9", True, True),
        ):
            found = is_elected_reader(own, [], None, {"m1", "m2"}, has_waited)
            self.assertEqual(expected, found, (own, has_waited))
