"""Tests of metrics, state dump, logs and the settings check of a process."""

import os
import signal
import subprocess
import sys

import msgspec

from sesameplank.monitoring.timeline import LogLine, parse_lines
from sesameplank.net import Address
from sesameplank.standins.front_targets import TargetFaultMode

from ..docs.test_reference import get_names, read_sections
from .front_world import ROOT, FrontTestCase, RawConnection, make_request


class OperationsTests(FrontTestCase):
    """Metrics, state, logs and settings of one forwarding process."""

    def get_from_metrics_address(self, path: str):
        front = self.fronts[0]
        return front.get(Address(front.host, 9180), path)

    def run_command(self, *flags: str) -> subprocess.CompletedProcess:
        return subprocess.run(
            [sys.executable, "-m", "sesameplank.commands.front", *flags],
            cwd=ROOT,
            capture_output=True,
            text=True,
            env={**os.environ, "SESAMEPLANK_BOOT": str(self.fronts[0].settings_path)},
        )

    def test_metrics_count_and_time_requests(self):
        for number in range(3):
            self.request(make_request("/all/x", f"m{number}"))
        text = bytes(self.get_from_metrics_address("/metrics").body).decode()
        self.assertIn('events_total{event="requests"} 3', text)
        self.assertIn('latency_ms_count{route="gather"} 3', text)
        self.assertIn('events_total{event="requests_read"} 3', text)
        self.assertIn('events_total{event="answers_written"} 3', text)
        self.assertIn("sesameplank_front_requests_pending 0", text)
        self.assertIn("sesameplank_front_config_version 3", text)
        sent = sum(len(make_request("/all/x", f"m{number}")) for number in range(3))
        self.assertIn(f"sesameplank_front_caller_bytes_read {sent}", text)
        self.assertNotIn("sesameplank_front_caller_bytes_written 0", text)
        self.assertEqual(404, self.get_from_metrics_address("/other").status)

    def test_state_lists_members_and_targets(self):
        state = msgspec.json.decode(bytes(self.get_from_metrics_address("/state").body))
        self.assertTrue(state["is_ready"])
        self.assertEqual("single", state["targets"]["singlea"]["service"])
        self.assertIn(self.fronts[0].host, state["members"])

    def test_reference_lists_the_gauges(self):
        rows = read_sections("metrics.md")["Gauges of a forwarding process"]
        self.assertEqual(get_names(rows), list(self.get_state(0)["gauges"]))

    def test_signal_writes_the_state_to_the_log(self):
        front = self.fronts[0]
        front.process.send_signal(signal.SIGUSR1)
        self.wait_for(
            lambda: "event=state dump=" in front.log_path.read_text(), "a dump"
        )

    def test_refused_request_logs_its_failed_calls_and_outcome(self):
        for name in ("singlea", "singleb"):
            self.targets[name].fault_mode = TargetFaultMode.RESET
        self.assertEqual(
            502, self.request(make_request("/book/x", "st1", 900, "POST", b"1")).status
        )
        lines = [
            line
            for line in self.fronts[0].log_path.read_text().splitlines()
            if "request=st1" in line
        ]
        self.assertIn("event=call_failed", lines[0])
        self.assertIn("reason=reset", lines[0])
        self.assertIn("event=request_refused", lines[-1])
        self.assertIn("not_run=False", lines[-1])

    def test_check_flag_prints_valid_settings_and_fails_on_unreadable_ones(self):
        completed = self.run_command("--check")
        self.assertEqual(0, completed.returncode, completed.stderr)
        self.assertIn(
            f"caller_address={self.fronts[0].caller_address}", completed.stdout
        )
        failed = self.run_command("--check", "--settings_file=/nowhere")
        self.assertEqual(2, failed.returncode)
        self.assertIn("cannot be read", failed.stderr)

    def test_stop_logs_its_steps_in_order(self):
        front = self.fronts[0]
        self.request(make_request("/one/x", "before"))
        self.terminate(front)
        self.wait_for(lambda: self.get_stop_steps(), "the first step")
        self.assertEqual(200, self.request(make_request("/one/x", "during")).status)
        self.assertEqual(0, front.process.wait())
        steps = self.get_stop_steps()
        self.assertEqual(
            ["leaving", "stop_accepting", "left", "stopped"],
            [step.event for step in steps],
        )
        times_ms = [int(step.fields["after_ms"]) for step in steps]
        self.assertEqual(sorted(times_ms), times_ms)
        self.assertEqual("3000", steps[0].fields["stop_timeout_ms"])
        self.assertIn("loop_delay_ms", steps[0].fields)
        totals = ("read", "answered", "refused", "unanswered", "pending")
        for step in steps[2:]:
            self.assertEqual(
                ["1", "1", "0", "0", "0"], [step.fields[name] for name in totals]
            )

    def test_request_whose_caller_leaves_is_logged_with_its_calls(self):
        for name in ("singlea", "singleb"):
            self.targets[name].fault_mode = TargetFaultMode.SILENT
        with RawConnection(self.fronts[0].caller_address) as client:
            client.sock.sendall(make_request("/book/x", "gone", 900, "POST", b"1"))
            self.wait_for(lambda: self.get_runs("singlea", "singleb"), "the run")
        text = "event=request_unanswered request=gone stage=served cause=caller_left"
        self.wait_for(lambda: text in self.fronts[0].log_path.read_text(), "a line")
        lines = self.fronts[0].log_path.read_text().splitlines()
        (line,) = [line for line in lines if "request_unanswered" in line]
        self.assertIn(" stopping=False", line)
        self.assertIn(" calls=1", line)

    def get_stop_steps(self) -> list[LogLine]:
        lines = self.fronts[0].log_path.read_text().splitlines()
        steps = {"leaving", "stop_accepting", "left", "stopped"}
        return [line for line in parse_lines("", lines) if line.event in steps]
