"""Tests of the decision which era of the store to believe."""

import testtools

from sesameplank.core.published.era_gate import EraGate, EraVerdict
from sesameplank.core.published.target_table import TargetChanges, TargetTable

CURRENT = EraVerdict.CURRENT
UNCONFIRMED = EraVerdict.UNCONFIRMED
REFUSED = EraVerdict.REFUSED


class EraGateTests(testtools.TestCase):
    """Each case lists the eras of successive answers and the verdicts on them."""

    def judge(self, gate: EraGate, eras) -> list[EraVerdict]:
        return [gate.judge(era) for era in eras]

    def test_process_that_knows_a_list_of_era_two(self):
        cases = (
            ("restored", (2, 3, 3, 2), [CURRENT, UNCONFIRMED, CURRENT, REFUSED]),
            ("one wrong", (9, 2, 2), [UNCONFIRMED, REFUSED, CURRENT]),
            ("wrong in turn", (9, 2, 9, 2), [UNCONFIRMED, REFUSED] * 2),
            ("rising", (7, 8, 9, 9), [UNCONFIRMED, REFUSED, REFUSED, CURRENT]),
            ("lower or unknown", (1, 0, 2), [REFUSED, REFUSED, CURRENT]),
            (
                "lower between",
                (9, 1, 9, 9),
                [UNCONFIRMED, REFUSED] + [UNCONFIRMED, CURRENT],
            ),
        )
        for name, eras, verdicts in cases:
            table = TargetTable()
            table.apply(TargetChanges(5, (), (), True, 2), 0.0, False)
            self.assertEqual(verdicts, self.judge(EraGate(table), eras), name)

    def test_process_that_has_only_heard_of_an_era(self):
        table = TargetTable()
        table.note_era(2)
        verdicts = self.judge(EraGate(table), (9, 2, 2, 1))
        self.assertEqual([UNCONFIRMED, REFUSED, CURRENT, REFUSED], verdicts)

    def test_process_that_knows_nothing(self):
        for eras, verdicts in (((0, 0), [CURRENT] * 2), ((4, 3), [CURRENT, REFUSED])):
            self.assertEqual(verdicts, self.judge(EraGate(TargetTable()), eras))

    def test_era_that_a_peer_confirms_between_two_answers_is_not_refused(self):
        for heard, eras, verdicts in (
            (3, (3, 3, 2), [CURRENT, CURRENT, REFUSED]),
            (4, (3, 4), [REFUSED, CURRENT]),
        ):
            table = TargetTable()
            table.apply(TargetChanges(5, (), (), True, 2), 0.0, False)
            gate = EraGate(table)
            self.assertIs(UNCONFIRMED, gate.judge(3))
            table.note_era(heard)
            self.assertEqual(verdicts, self.judge(gate, eras))
