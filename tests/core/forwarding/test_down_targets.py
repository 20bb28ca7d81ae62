"""Tests of targets that have refused a connection."""

import testtools

from sesameplank.core.forwarding.down_targets import DOWN_S, DownTargets
from sesameplank.core.published.target_table import TargetPhase, TargetRecord


def make_record(name: str, started_ms: int = 1) -> TargetRecord:
    """Return the record of an incarnation of a target."""
    return TargetRecord(
        name, "s", "10.0.0.1:80", "dc", 2, TargetPhase.READY, started_ms=started_ms
    )


class DownTargetsTests(testtools.TestCase):
    """A target that is down is left out for a moment, if another one is up."""

    def setUp(self):
        super().setUp()
        self.down = DownTargets()
        self.records = [make_record("a"), make_record("b")]

    def exclude(self, now: float) -> str:
        """Return the names of the targets that may be called."""
        return "".join(item.id for item in self.down.exclude(self.records, now))

    def test_target_is_left_out_for_a_moment(self):
        self.down.note_down(self.records[0], 10.0)
        self.assertEqual("b", self.exclude(10.0 + DOWN_S - 0.1))
        self.assertEqual("ab", self.exclude(10.0 + DOWN_S))

    def test_all_are_tried_if_none_is_up(self):
        for record in self.records:
            self.down.note_down(record, 10.0)
        self.assertEqual("ab", self.exclude(10.1))

    def test_news_is_as_old_as_it_is_told(self):
        self.down.note_down(self.records[0], 10.0, 1.5)
        self.assertEqual("ab", self.exclude(10.0 + DOWN_S - 1.5))
        self.down.note_down(self.records[0], 20.0, DOWN_S + 1.0)
        self.assertEqual("ab", self.exclude(20.0))

    def test_accepted_connection_and_next_incarnation_end_it(self):
        self.down.note_down(self.records[0], 10.0)
        self.down.release("a")
        self.assertEqual("ab", self.exclude(10.1))
        self.down.note_down(self.records[0], 10.0)
        self.records[0] = make_record("a", 2)
        self.assertEqual("ab", self.exclude(10.1))
