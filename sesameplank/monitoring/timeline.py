"""The timeline of one request, collected from the logs of many VMs."""

import shlex
from collections.abc import Iterable, Iterator

import msgspec

# Forwarding processes write the first field, entries the second.
REQUEST_FIELDS = ("request", "request_id")
STOP_EVENTS = ("leaving", "stop_accepting", "left", "stopped")
# What each of these events begins lasts until an event of the same condition ends it.
CONDITIONS = {
    "store_lost": ("store", True),
    "store_regained": ("store", False),
    "view_stale": ("view", True),
    "view_current": ("view", False),
    "targets_lost": ("targets", True),
    "targets_regained": ("targets", False),
    "target_limit_named": ("limit", True),
    "target_limit_changed": ("limit", True),
    "target_limit_lifted": ("limit", False),
    "target_limit_expired": ("limit", False),
}
CONTEXT_EVENTS = frozenset(
    {
        *STOP_EVENTS,
        *CONDITIONS,
        "started",
        "reloaded",
        "reload_failed",
        "pause_noticed",
        "store_history_gone",
        "store_restored",
        "config_in_force",
        "config_refused",
        "target_entry_refused",
        "target_limit_unreadable",
        "target_leaving",
        "target_paused",
    }
)
# What became known of all requests with the same fingerprint, at any process.
QUARANTINE_EVENTS = frozenset(
    {
        "target_crashed",
        "request_suspected",
        "request_quarantined",
        "request_cleared",
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
        """The name of the event, or an empty string."""
        return self.fields.get("event", "")

    def is_about(self, request_id: str) -> bool:
        """Return whether the line is about a request."""
        return any(self.fields.get(name) == request_id for name in REQUEST_FIELDS)


def parse_line(source: str, text: str) -> LogLine | None:
    """Return the parsed line, or None if it is malformed or has no time."""
    try:
        words = shlex.split(text)
    except ValueError:  # The line is truncated or comes from another program.
        return None
    fields = dict(word.partition("=")[::2] for word in words if "=" in word)
    try:
        return LogLine(float(fields["time"]), source, text.rstrip("\n"), fields)
    except (KeyError, ValueError):
        return None


def parse_lines(source: str, texts: Iterable[str]) -> Iterator[LogLine]:
    """Yield the lines of one process that can be parsed."""
    for text in texts:
        line = parse_line(source, text)
        if line is not None:
            yield line


def find_timeline(
    lines: Iterable[LogLine], request_id: str, context_s: float
) -> list[LogLine]:
    """Return the lines of a request in order of time, with their context.

    The context consists of the lines with CONTEXT_EVENTS from the processes that logged
    the request. It starts `context_s` seconds before the first line of the request and
    ends with the last one. Older lines belong to it if they began a condition that
    still lasted. What any process found out about requests with the same fingerprint
    belongs to it, however old. If a process was stopping at its last line about the
    request, all steps of that stop belong to the context.
    """
    all_lines = list(lines)
    request_lines = [line for line in all_lines if line.is_about(request_id)]
    if not request_lines:
        return []
    fingerprints = {line.fields.get("fingerprint") for line in request_lines} - {None}
    last_lines = {line.source: line for line in request_lines}
    last = max(line.time for line in request_lines)
    first = min(line.time for line in request_lines) - context_s
    stops = [
        step for line in last_lines.values() for step in find_stop(all_lines, line)
    ]
    lasting = find_lasting(all_lines, first)
    kept = {id(line) for line in stops}
    kept |= {id(line) for line in lasting if line.source in last_lines}
    timeline = [
        line
        for line in all_lines
        if line.is_about(request_id)
        or id(line) in kept
        or line.event in QUARANTINE_EVENTS
        and line.fields.get("fingerprint") in fingerprints
        or line.source in last_lines
        and line.event in CONTEXT_EVENTS
        and first <= line.time <= last
    ]
    return sorted(timeline, key=lambda line: line.time)


def find_lasting(lines: Iterable[LogLine], time: float) -> list[LogLine]:
    """Return the lines that began a condition which lasted at a time.

    A process that starts knows of none.
    """
    begun: dict[tuple[str, str, str], LogLine] = {}
    for line in lines:
        if line.time >= time:
            continue
        if line.event == "started":
            begun = {key: item for key, item in begun.items() if key[0] != line.source}
        if line.event in CONDITIONS:
            condition, is_beginning = CONDITIONS[line.event]
            key = (line.source, condition, line.fields.get("target", ""))
            if is_beginning:
                begun[key] = line
            else:
                begun.pop(key, None)
    return list(begun.values())


def find_stop(lines: Iterable[LogLine], during: LogLine) -> list[LogLine]:
    """Return the steps of the stop in which a process wrote a line, or nothing.

    A stop begins with `leaving` and ends before the next `started`.
    """
    steps: list[LogLine] = []
    for line in lines:
        if line.source != during.source:
            continue
        is_restart = line.event == "started"
        if is_restart and line.time > during.time:
            break
        if is_restart:
            steps.clear()
        elif line.event in STOP_EVENTS:
            steps.append(line)
    is_stopping = steps and steps[0].time <= during.time
    return steps if is_stopping else []


def format_timeline(lines: Iterable[LogLine]) -> list[str]:
    """Return the lines as text, each prefixed with the name of its process."""
    return [f"{line.source}: {line.text}" for line in lines]
