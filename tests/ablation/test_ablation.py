"""Tests of studies: their documents, checkouts, trials and reports."""

import subprocess
import tempfile
from pathlib import Path

import testtools

from sesameplank.ablation import Trial, draw_plot, load_study, make_table, run_trials
from sesameplank.exceptions import AblationError

ROOT = Path(__file__).resolve().parents[2]
STUDY = """
runner = "{python} runner.py {seed}"
seeds = [1, 2]

[[variants]]
name = "doubled"
why = "twice the figure"
changes = [{ file = "runner.py", old = "FACTOR = 1", new = "FACTOR = 2" }]
"""
RUNNER = """import json, sys
FACTOR = 1
print("some other line")
print(json.dumps({"worth": FACTOR * int(sys.argv[1])}))
"""


class StudyTestCase(testtools.TestCase):
    """Base class with a small repository and a folder for checkouts."""

    def setUp(self):
        super().setUp()
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.repository = self.folder / "repository"
        self.repository.mkdir()
        self.commit(RUNNER)

    def commit(self, runner: str) -> None:
        (self.repository / "runner.py").write_text(runner)
        name = ("-c", "user.name=a", "-c", "user.email=a@b.example")
        for command in (("init", "-q"), ("add", "."), (*name, "commit", "-qm", "x")):
            subprocess.run(["git", *command], cwd=self.repository, check=True)

    def load(self, text: str):
        path = self.folder / "study.toml"
        path.write_text(text)
        return load_study(path)

    def play(self, text: str = STUDY, timeout_s: float = 60.0) -> list[Trial]:
        study = self.load(text)
        played = run_trials(study, self.repository, self.folder, 2, timeout_s)
        return [trial for trials in played for trial in trials]


class TrialTests(StudyTestCase):
    """Variants are played in checkouts of their own."""

    def test_variant_is_compared_with_the_baseline_for_each_seed(self):
        trials = self.play()
        worth = [
            (trial.variant, trial.seed, trial.figures["worth"]) for trial in trials
        ]
        expected = [("baseline", 1, 1), ("baseline", 2, 2)]
        expected += [("doubled", 1, 2), ("doubled", 2, 4)]
        self.assertEqual(expected, worth)

    def test_checkouts_are_removed_and_the_repository_stays_as_it_is(self):
        self.play()
        self.assertEqual(RUNNER, (self.repository / "runner.py").read_text())
        listed = subprocess.run(
            ["git", "worktree", "list"],
            cwd=self.repository,
            capture_output=True,
            text=True,
        )
        self.assertEqual(1, len(listed.stdout.splitlines()))

    def test_failed_trial_keeps_its_error(self):
        for runner, message in (
            ("import sys; sys.exit('no such day')", "no such day"),
            ("print('nothing')", "no JSON object"),
            ("pass", "no JSON object"),
        ):
            self.commit(f"FACTOR = 1\n{runner}\n")
            for trial in self.play():
                self.assertIn(message, trial.error)
                self.assertEqual({}, trial.figures)

    def test_trial_that_does_not_end_is_stopped(self):
        self.commit("import time\nFACTOR = 1\ntime.sleep(600)\n")
        for trial in self.play(timeout_s=0.5):
            self.assertIn("did not end within 0.5 s", trial.error)

    def test_change_that_does_not_fit_is_refused(self):
        for old, message in (("FACTOR = 7", "occurs 0 times"), ("s", "occurs")):
            text = STUDY.replace("FACTOR = 1", old)
            error = self.assertRaises(AblationError, self.play, text)
            self.assertIn(message, str(error))
        text = STUDY.replace('file = "runner.py"', 'file = "none.py"')
        error = self.assertRaises(AblationError, self.play, text)
        self.assertIn("cannot be read", str(error))

    def test_runner_that_cannot_be_run_is_refused(self):
        text = STUDY.replace("{python}", "no-such-program")
        error = self.assertRaises(AblationError, self.play, text)
        self.assertIn("correct the runner", str(error))


class StudyTests(StudyTestCase):
    """Invalid studies are refused with a remedy."""

    CASES = (
        ("runner = 1", "is no study"),
        (STUDY.replace("seeds", "seed"), "is no study"),
        (STUDY.replace("[1, 2]", "[]"), "no runner or no seeds"),
        (STUDY.replace('"doubled"', '"baseline"'), "rename one"),
    )

    def test_table(self):
        for text, message in self.CASES:
            error = self.assertRaises(AblationError, self.load, text)
            self.assertIn(message, str(error))

    def test_missing_file(self):
        error = self.assertRaises(AblationError, load_study, self.folder / "none")
        self.assertIn("name a TOML file", str(error))

    def test_changes_of_the_study_of_mechanisms_fit_the_code(self):
        study = load_study(ROOT / "deploy" / "ablation.toml")
        for variant in study.variants:
            for change in variant.changes:
                text = (ROOT / change.file).read_text()
                self.assertEqual(1, text.count(change.old), (variant.name, change.old))


class ReportTests(testtools.TestCase):
    """Tables show differences with their spread, and what is missing."""

    TRIALS = (
        Trial("baseline", 1, {"worth": 0.5}),
        Trial("baseline", 2, {"worth": 0.7}),
        Trial("without", 1, {"worth": 0.4}),
        Trial("without", 2, {"worth": 0.7}),
        Trial("broken", 1, {}, "exit code 1"),
        Trial("broken", 2, {}, "exit code 1"),
    )

    def test_table(self):
        lines = make_table(self.TRIALS, ["worth", "other"]).splitlines()
        self.assertEqual("| variant | trials | worth | other |", lines[0])
        self.assertEqual("| baseline | 2 of 2 | 0.6000 | - |", lines[2])
        self.assertEqual(
            "| without | 2 of 2 | -0.0500 (-0.1000 to +0.0000) | - |", lines[3]
        )
        self.assertEqual("| broken | 0 of 2 | - | - |", lines[4])

    def test_plot_is_written(self):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "plot.png"
            draw_plot(self.TRIALS, "worth", path)
            self.assertGreater(path.stat().st_size, 0)
