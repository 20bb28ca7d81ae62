"""Tests of the story of one request from many logs."""

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
    """Return a line as a process writes it."""
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
THIRD = [make_line(20.0, "store_lost", reason="other"), 'half a line "\n', "\n"]


class FindStoryTests(testtools.TestCase):
    """Lines of a request, and what its processes believed."""

    def read(self):
        logs = {"a": FIRST, "b": SECOND, "c": THIRD}
        return [line for name, log in logs.items() for line in parse_lines(name, log)]

    def test_lines_come_in_order_of_time_with_beliefs_before_them(self):
        story = find_timeline(self.read(), "r1", 5.0)
        self.assertEqual(
            [
                (17.0, "a", "store_lost"),
                (19.5, "b", "request_refused"),
                (19.9, "b", "started"),
                (20.0, "a", "call_failed"),
                (21.0, "a", "request_refused"),
            ],
            [(line.time, line.source, line.event) for line in story],
        )

    def test_unknown_request_has_no_story(self):
        self.assertEqual([], find_timeline(self.read(), "r9", 5.0))

    def test_values_are_read_as_they_were_written(self):
        line = parse_line("a", FIRST[1])
        self.assertEqual('no answer: "late"', line.fields["reason"])

    def test_other_lines_are_left_out(self):
        for text in ("", "Traceback (most recent call last):", "event=x", 'a="'):
            self.assertIsNone(parse_line("a", text), text)


class StoryCommandTests(testtools.TestCase):
    """The command over files and folders."""

    def run_command(self, request_id: str, *arguments: str) -> tuple[int, list[str]]:
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            code = StoryCommand().handle(
                list(arguments), {"request_id": request_id, "context_s": 5.0}
            )
        return code, output.getvalue().splitlines()

    def test_files_and_folders(self):
        folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        for name, lines in (("a.log", FIRST), ("b.log", SECOND)):
            (folder / name).write_text("".join(lines))
        code, lines = self.run_command("r1", str(folder))
        self.assertEqual((0, 5), (code, len(lines)))
        self.assertTrue(lines[0].startswith("a: time=17.000 event=store_lost"))
        self.assertEqual((1, []), self.run_command("r9", str(folder / "a.log")))

    def test_bad_input_names_the_remedy(self):
        for request_id, arguments in (("", ["x"]), ("r1", []), ("r1", ["/not/there"])):
            error = self.assertRaises(
                SettingsError, self.run_command, request_id, *arguments
            )
            self.assertIn("name", str(error))
