"""Collect the log lines of one request from the logs of many VMs."""

from collections.abc import Iterator
from pathlib import Path

from ..conf.settings import Setting
from ..exceptions import SettingsError
from ..monitoring.timeline import LogLine, find_timeline, format_timeline, parse_lines
from .base import Command, run_command

EXIT_NOT_FOUND = 1


class StoryCommand(Command):
    """Print what all processes logged about one request, in order of time."""

    help = (
        "Prints the log lines about the request --request_id, in order of time, from\n"
        "log files, one for each VM: "
        "sesameplank-story --request_id=ID FILE_OR_FOLDER..."
    )
    settings = (
        Setting("request_id", "", "Id of the request, as its caller sent it."),
        Setting(
            "context_s",
            5.0,
            "Seconds before the request of which to show what processes believed.",
        ),
    )

    def handle(self, arguments: list[str], values: dict) -> int:
        """Print the lines about the request; return 1 if there is none."""
        if not values["request_id"] or not arguments:
            raise SettingsError(
                "name a request with --request_id, and the log files to read"
            )
        lines = [line for path in find_files(arguments) for line in read_lines(path)]
        timeline = find_timeline(lines, values["request_id"], values["context_s"])
        for text in format_timeline(timeline):
            print(text)
        return 0 if timeline else EXIT_NOT_FOUND


def find_files(arguments: list[str]) -> list[Path]:
    """Return the named files and the files directly in the named folders.

    Raises SettingsError if a path does not exist.
    """
    files: list[Path] = []
    for argument in arguments:
        path = Path(argument)
        if not path.exists():
            raise SettingsError(f"{path} does not exist; name the log files of the VMs")
        files += sorted(path.iterdir()) if path.is_dir() else [path]
    return [path for path in files if path.is_file()]


def read_lines(path: Path) -> Iterator[LogLine]:
    """Yield the parsed lines of a log file, whose name identifies the process."""
    with path.open(errors="replace") as file:
        yield from parse_lines(path.stem, file)


def main() -> None:
    """Run the binary."""
    run_command(StoryCommand())


if __name__ == "__main__":
    main()
