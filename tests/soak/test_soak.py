"""Short soaks of fixed seeds; longer ones are run by `python -m tests.soak`."""

import testtools

from .run import run_and_check

SECONDS = 5.0
FRONTS = 3
SEEDS = (11, 12)
RESTORE_SEED = 13
LINK_SEED = 14
REGRESSIONS: dict[int, str] = {
    107: "a reload signal terminated a process whose interpreter had just started",
    339: "one process stalled for a second; cause unknown, see KNOWN-RED.txt",
    348: "one process stalled for two seconds; see seed 339",
    349: "one process stalled for less than a second; see seed 339",
}
"""Seeds that have failed before, each with the failure or its cause."""


class SoakTests(testtools.TestCase):
    """Short soaks of fixed seeds find no violations.

    They leave out the timed checks, which can fail on a busy machine; the longer soaks
    include them.
    """

    def test_fixed_and_regression_seeds(self):
        for seed in (*SEEDS, *REGRESSIONS):
            with self.subTest(seed=seed):
                violations = run_and_check(seed, SECONDS, FRONTS, timed=False)
                self.assertEqual([], violations, f"seed {seed}")

    def test_store_that_returns_to_a_copy(self):
        violations = run_and_check(
            RESTORE_SEED, SECONDS, FRONTS, timed=False, restores=True
        )
        self.assertEqual([], violations)

    def test_lost_targets_limits_and_answers_without_end(self):
        violations = run_and_check(LINK_SEED, SECONDS, FRONTS, timed=False, links=True)
        self.assertEqual([], violations)
