"""Tests that the demonstration works end to end."""

import json
import subprocess
import sys

import testtools

TIMEOUT_S = 120


class DemoTests(testtools.TestCase):
    """The demonstration succeeds right after its entries have started."""

    def test_every_answer_is_complete_and_of_one_snapshot(self):
        command = [sys.executable, "-m", "sesameplank.commands.demo", "--queries=20"]
        completed = subprocess.run(
            command, capture_output=True, text=True, timeout=TIMEOUT_S
        )
        self.assertEqual(0, completed.returncode, completed.stdout + completed.stderr)
        summary = json.loads(completed.stdout.splitlines()[-1])
        self.assertEqual(20, summary["whole_answers"])
        self.assertEqual(0, summary["snapshots_mixed"])
