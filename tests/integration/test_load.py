"""Tests of short load runs of both variants, with a check of every answer."""

import testtools

from sesameplank.load.experiment import Experiment, Plan, Variant

DEADLINE_MS = 10_000
# The naive variant sends all calls to half of the targets and has no limit. At half
# load it may answer no request at all, and the run would check nothing.
LOAD_FACTOR = 0.05


class LoadTests(testtools.TestCase):
    """The tool sends load through real processes and checks every answer."""

    def test_answers_of_each_variant_match_the_ground_truth(self):
        for variant in Variant:
            plan = Plan(
                "vatuwaqa", "steady", variant, 2, 2.0, 2, DEADLINE_MS, LOAD_FACTOR
            )
            figures = Experiment(plan).run()
            violations = figures.violations
            self.assertTrue(figures.answered_whole > 0, variant)
            self.assertEqual(
                (0, 0, 0, 0),
                (
                    violations.mixed_snapshot,
                    violations.false_coverage,
                    violations.wrong_answer,
                    violations.doubled_booking,
                ),
                variant,
            )
