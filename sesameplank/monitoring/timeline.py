"""The story of one request, from the logs of many VMs."""

import shlex
from collections.abc import Iterable, Iterator

import msgspec

BELIEF_EVENTS = frozenset(
    {
        "started",
        "leaving",
        "stopped",
        "reloaded",
        "reload_failed",
        "pause_noticed",
        "store_lost",
        "store_regained",
        "store_history_gone",
        "config_in_force",
        "config_refused",
        "target_entry_refused",
    }
)


class LogLine(msgspec.Struct, frozen=True):
    """One line of one process; `time` is Unix time in seconds."""

    time: float
    source: str
    text: str
    fields: dict[str, str]

    @property
    def event(self) -> str:
        """What the line is about."""
        return self.fields.get("event", "")


def parse_line(source: str, text: str) -> LogLine | None:
    """Return the line's fields, or None if it is none of ours."""
    try:
        words = shlex.split(text)
    except ValueError:  # A line cut short, or another program's.
        return None
    fields = dict(word.partition("=")[::2] for word in words if "=" in word)
    try:
        return LogLine(float(fields["time"]), source, text.rstrip("\n"), fields)
    except (KeyError, ValueError):
        return None


def parse_lines(source: str, texts: Iterable[str]) -> Iterator[LogLine]:
    """Yield the lines of one process that can be read."""
    for text in texts:
        line = parse_line(source, text)
        if line is not None:
            yield line


def find_timeline(
    lines: Iterable[LogLine], request_id: str, context_s: float
) -> list[LogLine]:
    """Return the lines of a request in order of time.

    Besides, what the processes that saw it came to believe in the `context_s`
    seconds before its last line.
    """
    known = list(lines)
    own = [line for line in known if line.fields.get("request") == request_id]
    if not own:
        return []
    sources = {line.source for line in own}
    last = max(line.time for line in own)
    first = min(line.time for line in own) - context_s
    beliefs = [
        line
        for line in known
        if line.source in sources
        and line.event in BELIEF_EVENTS
        and first <= line.time <= last
    ]
    return sorted([*own, *beliefs], key=lambda line: line.time)


def format_timeline(lines: Iterable[LogLine]) -> list[str]:
    """Return the lines as text, each behind the name of its process."""
    return [f"{line.source}: {line.text}" for line in lines]
