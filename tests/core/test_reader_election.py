"""Tests of who reads the platform's service."""

import testtools

from sesameplank.core.peer_messages import Health, Member, Phase
from sesameplank.core.reader_election import (
    MAX_READERS,
    MAX_VIEW_AGE_S,
    START_GRACE_PERIOD_S,
    elect_readers,
    is_elected_reader,
)


def make_members(count: int, unavailable=()) -> list[Member]:
    """Return serving members `m0`, `m1`, ..., some of them turned away."""
    return [
        Member(
            f"m{n}",
            1,
            1,
            Phase.SERVING,
            Health.ALIVE,
            "",
            "",
            "dc",
            f"m{n}" in unavailable,
        )
        for n in range(count)
    ]


class ReaderElectionTests(testtools.TestCase):
    """A few read; nobody stays without news."""

    def test_a_few_read_whatever_the_size(self):
        for count in (1, 2, 8, 83, 1_400):
            readers = elect_readers(make_members(count))
            self.assertEqual(min(MAX_READERS, count), len(readers))

    def test_readers_that_are_turned_away_are_replaced(self):
        readers = elect_readers(make_members(8))
        others = elect_readers(make_members(8, readers))
        self.assertEqual(MAX_READERS, len(others))
        self.assertEqual(set(), set(readers) & set(others))

    def test_some_still_try_when_all_are_turned_away(self):
        unavailable = {f"m{n}" for n in range(8)}
        self.assertEqual(MAX_READERS, len(elect_readers(make_members(8, unavailable))))

    def test_an_old_view_is_a_duty_for_all(self):
        members = make_members(8)
        idle = next(m.id for m in members if m.id not in elect_readers(members))
        self.assertFalse(is_elected_reader(idle, members, MAX_VIEW_AGE_S))
        self.assertTrue(is_elected_reader(idle, members, MAX_VIEW_AGE_S + 0.1))
        self.assertTrue(is_elected_reader(idle, members, None))
        self.assertTrue(is_elected_reader(idle, [], None))

    def test_one_that_starts_first_lets_its_contacts_tell_it(self):
        for own, running_s, expected in (
            ("m1", 0.0, True),
            ("m9", 0.0, False),
            ("m9", START_GRACE_PERIOD_S, True),
        ):
            found = is_elected_reader(own, [], None, {"m1", "m2"}, running_s)
            self.assertEqual(expected, found, (own, running_s))
