"""Tests of the timeline of one request from many logs."""

import contextlib
import io
import tempfile
from pathlib import Path

import testtools

from sesameplank.commands.story import StoryCommand
from sesameplank.exceptions import SettingsError
from sesameplank.logs import format_event
from sesameplank.monitoring.timeline import find_timeline, parse_line, parse_lines


def make_line(time: float, event: str, **fields) -> str:
    """Return a log line in the format that processes write."""
    return f"time={time:.3f} {format_event(event, **fields)}\n"


FIRST = [
    make_line(10.0, "config_in_force", version=1),
    make_line(17.0, "store_lost", reason='no answer: "late"'),
    make_line(20.0, "call_failed", request="r1", target="t1"),
    make_line(20.5, "call_failed", request="r2", target="t1"),
    make_line(21.0, "request_refused", request="r1", status=502),
    make_line(22.0, "store_regained", revision=4),
]
SECOND = [
    make_line(19.5, "request_refused", request="r1", status=503),
    make_line(19.9, "started", vm="b"),
]
STOPPED = [
    make_line(1.0, "started", vm="d"),
    make_line(2.0, "leaving", after_ms=0),
    make_line(8.0, "stopped", after_ms=6000),
    make_line(9.0, "started", vm="d"),
    make_line(20.0, "leaving", after_ms=0),
    make_line(24.5, "stop_accepting", after_ms=4500),
    make_line(25.7, "left", after_ms=5700),
    make_line(25.7, "request_unanswered", request="r4", cause="process_ended"),
    make_line(25.7, "request_unanswered", request="r5", cause="process_ended"),
    make_line(25.7, "stopped", after_ms=5701),
    make_line(27.0, "started", vm="d"),
    make_line(28.0, "request_refused", request="r6", status=404),
    make_line(40.0, "leaving", after_ms=0),
]
THIRD = [make_line(20.0, "store_lost", reason="other"), 'half a line "\n', "\n"]


FINGERPRINT = "ab" * 16
CRASHED_HERE = [
    make_line(30.0, "request_refused", request="r7", fingerprint=FINGERPRINT),
    make_line(30.1, "request_refused", request="r8", fingerprint="cd" * 16),
]
CRASHED_ELSEWHERE = [
    make_line(3.0, "target_crashed", request="r0", fingerprint=FINGERPRINT),
    make_line(3.1, "request_quarantined", fingerprint=FINGERPRINT, targets=20),
    make_line(3.2, "request_suspected", fingerprint="cd" * 16),
    make_line(29.9, "request_answered", request="r0", fingerprint=FINGERPRINT),
]


class FindTimelineTests(testtools.TestCase):
    """A timeline has the lines of a request and their context."""

    def read_lines(self):
        logs = {"a": FIRST, "b": SECOND, "c": THIRD}
        return [line for name, log in logs.items() for line in parse_lines(name, log)]

    def test_crashes_under_requests_of_the_same_fingerprint_belong_to_it(self):
        logs = {"a": CRASHED_HERE, "b": CRASHED_ELSEWHERE}
        lines = [line for name, log in logs.items() for line in parse_lines(name, log)]
        timeline = find_timeline(lines, "r7", 5.0)
        self.assertEqual(
            ["target_crashed", "request_quarantined", "request_refused"],
            [line.event for line in timeline],
        )

    def test_lines_are_in_order_of_time_with_their_context(self):
        timeline = find_timeline(self.read_lines(), "r1", 5.0)
        self.assertEqual(
            [
                (17.0, "a", "store_lost"),
                (19.5, "b", "request_refused"),
                (19.9, "b", "started"),
                (20.0, "a", "call_failed"),
                (21.0, "a", "request_refused"),
            ],
            [(line.time, line.source, line.event) for line in timeline],
        )

    def test_lines_of_entries_name_the_request_in_another_field(self):
        log = [make_line(20.0, "request_refused", request_id="r1", status=503)]
        timeline = find_timeline(parse_lines("entry", log), "r1", 5.0)
        self.assertEqual(["request_refused"], [line.event for line in timeline])

    def test_conditions_that_still_last_belong_to_the_context(self):
        log = [
            make_line(1.0, "target_limit_named", target="t0", per_s=9.0),
            make_line(2.0, "started", vm="e"),
            make_line(3.0, "target_limit_named", target="t1", per_s=2.0),
            make_line(3.0, "target_limit_named", target="t2", per_s=2.0),
            make_line(4.0, "targets_lost", age_ms=700),
            make_line(5.0, "targets_regained", age_ms=0),
            make_line(6.0, "target_limit_changed", target="t1", per_s=1.0),
            make_line(7.0, "target_limit_lifted", target="t2", per_s=2.0),
            make_line(20.0, "request_refused", request="r9", status=503),
        ]
        timeline = find_timeline(parse_lines("e", log), "r9", 5.0)
        self.assertEqual([6.0, 20.0], [line.time for line in timeline])

    def test_lost_links_and_limits_are_context(self):
        events = ["targets_lost", "targets_regained", "target_limit_named"]
        log = [make_line(18.0, event, target="t1") for event in events]
        log.append(make_line(20.0, "request_refused", request="r9", status=503))
        timeline = find_timeline(parse_lines("e", log), "r9", 5.0)
        self.assertEqual(events, [line.event for line in timeline[:-1]])

    def find_events(self, request_id: str, context_s: float = 1.0) -> list[str]:
        lines = parse_lines("d", STOPPED)
        timeline = find_timeline(lines, request_id, context_s)
        return [line.event for line in timeline]

    def test_lost_answer_is_shown_between_the_steps_of_its_stop(self):
        self.assertEqual(
            ["leaving", "stop_accepting", "left", "request_unanswered", "stopped"],
            self.find_events("r4"),
        )

    def test_steps_of_other_stops_are_left_out(self):
        self.assertEqual(["started", "request_refused"], self.find_events("r6"))

    def test_unknown_request_has_an_empty_timeline(self):
        self.assertEqual([], find_timeline(self.read_lines(), "r9", 5.0))

    def test_quoted_values_are_unquoted(self):
        line = parse_line("a", FIRST[1])
        self.assertEqual('no answer: "late"', line.fields["reason"])

    def test_lines_of_other_programs_are_ignored(self):
        for text in ("", "Traceback (most recent call last):", "event=x", 'a="'):
            self.assertIsNone(parse_line("a", text), text)


class StoryCommandTests(testtools.TestCase):
    """The command reads files and directories."""

    def run_command(self, request_id: str, *arguments: str) -> tuple[int, list[str]]:
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            code = StoryCommand().handle(
                list(arguments), {"request_id": request_id, "context_s": 5.0}
            )
        return code, output.getvalue().splitlines()

    def test_logs_are_read_from_files_and_directories(self):
        directory = Path(self.enterContext(tempfile.TemporaryDirectory()))
        for name, lines in (("a.log", FIRST), ("b.log", SECOND)):
            (directory / name).write_text("".join(lines))
        code, lines = self.run_command("r1", str(directory))
        self.assertEqual((0, 5), (code, len(lines)))
        self.assertTrue(lines[0].startswith("a: time=17.000 event=store_lost"))
        self.assertEqual((1, []), self.run_command("r9", str(directory / "a.log")))

    def test_lost_answer_is_printed_with_its_stop(self):
        path = Path(self.enterContext(tempfile.TemporaryDirectory())) / "d.log"
        path.write_text("".join(STOPPED))
        code, lines = self.run_command("r5", str(path))
        self.assertEqual((0, 5), (code, len(lines)))
        self.assertEqual("d: time=20.000 event=leaving after_ms=0", lines[0])
        self.assertIn("request=r5 cause=process_ended", lines[3])

    def test_error_on_bad_input_names_the_remedy(self):
        for request_id, arguments in (("", ["x"]), ("r1", []), ("r1", ["/not/there"])):
            error = self.assertRaises(
                SettingsError, self.run_command, request_id, *arguments
            )
            self.assertIn("name", str(error))
