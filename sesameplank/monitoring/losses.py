"""What callers lost, computed from the logs of forwarding processes.

A request is worth 1. A complete answer within the latency objective loses nothing; an
answer with a share s of its shards loses 1 - s * s, and a late one loses a fixed share
besides. A refused or failed request loses all. Log lines are sampled, so a line counts
for the suppressed lines that the next one reports too.
"""

from collections.abc import Iterable
from enum import Enum
from itertools import pairwise

import msgspec

from .timeline import CONTEXT_EVENTS, LogLine

OUTCOME_EVENTS = frozenset({"request_answered", "request_refused"})
LATE_TOLERANCE_MS = 3  # Answers are sent right after the objective is reached.


class Loss(Enum):
    """Why a request lost some or all of its worth."""

    NONE = "none"
    PARTS = "missing parts"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"


class Outcome(msgspec.Struct, frozen=True):
    """The outcome of one request: its cause of loss and the share that it lost."""

    time: float
    route: str
    loss: Loss
    lost: float
    unused_ms: float


class LossRow(msgspec.Struct):
    """The sum over requests; `lost` maps each cause to the worth that it cost."""

    requests: int = 0
    lost: dict[Loss, float] = msgspec.field(default_factory=dict)
    unused_ms: float = 0.0
    in_time: int = 0

    def add(self, outcome: Outcome) -> None:
        """Add one request."""
        self.requests += 1
        self.lost[outcome.loss] = self.lost.get(outcome.loss, 0.0) + outcome.lost
        if outcome.loss in (Loss.NONE, Loss.PARTS):
            self.in_time += 1
            self.unused_ms += outcome.unused_ms

    @property
    def lost_share(self) -> float:
        """The share of the worth that was lost."""
        return sum(self.lost.values()) / max(1, self.requests)

    @property
    def mean_unused_ms(self) -> float:
        """The mean time that answers in time left unused before the objective."""
        return self.unused_ms / max(1, self.in_time)


class Start(msgspec.Struct, frozen=True):
    """The start of a process; times in seconds after it, None if they did not occur."""

    source: str
    time: float
    configured_s: float | None
    answered_s: float | None


def make_outcome(line: LogLine, late_share: float) -> Outcome:
    """Return the outcome that a log line of a request describes.

    `late_share` is the share of the worth that a late answer keeps.
    """
    fields = line.fields
    route = fields.get("route", "-")
    if line.event == "request_refused":
        is_promise = fields.get("status") in ("429", "503")
        loss = Loss.REFUSED if is_promise else Loss.FAILED
        return Outcome(line.time, route, loss, 1.0, 0.0)
    coverage = int(fields["parts"]) / max(1, int(fields["shards"]))
    worth = coverage * coverage
    unused_ms = float(fields["goal_ms"]) - float(fields["after_ms"])
    if unused_ms < -LATE_TOLERANCE_MS:
        return Outcome(line.time, route, Loss.LATE, 1.0 - late_share * worth, 0.0)
    loss = Loss.PARTS if worth < 1.0 else Loss.NONE
    return Outcome(line.time, route, loss, 1.0 - worth, max(0.0, unused_ms))


def read_outcomes(lines: Iterable[LogLine], late_share: float) -> list[Outcome]:
    """Return the outcomes of all requests in the lines of one process.

    A line that reports suppressed ones (`left_out`) counts for them too.
    """
    outcomes = []
    for line in lines:
        if line.event not in OUTCOME_EVENTS or line.fields.get("status") == "404":
            continue
        try:
            outcome = make_outcome(line, late_share)
            count = 1 + int(line.fields.get("left_out", 0))
        except (KeyError, ValueError):  # The line is truncated.
            continue
        outcomes += [outcome] * count
    return outcomes


def sum_by(outcomes: Iterable[Outcome], get_key) -> dict:
    """Return the sums of outcomes by the key that `get_key` returns."""
    rows: dict = {}
    for outcome in outcomes:
        rows.setdefault(get_key(outcome), LossRow()).add(outcome)
    return dict(sorted(rows.items()))


def find_context(lines: Iterable[LogLine], start: float, end: float) -> list[str]:
    """Return the names of the context events in a span, with their number."""
    counts: dict[str, int] = {}
    for line in lines:
        if line.event in CONTEXT_EVENTS and start <= line.time < end:
            counts[line.event] = counts.get(line.event, 0) + 1
    return [f"{event} x{count}" for event, count in sorted(counts.items())]


def find_starts(lines: list[LogLine]) -> list[Start]:
    """Return the starts of one process, from its lines in order of time."""
    starts = []
    begins = [n for n, line in enumerate(lines) if line.event == "started"]
    for begin, end in pairwise([*begins, len(lines)]):
        first = lines[begin]
        span = lines[begin:end]
        starts.append(
            Start(
                first.source,
                first.time,
                find_delay(span, "config_in_force"),
                find_delay(span, "request_answered"),
            )
        )
    return starts


def find_delay(span: list[LogLine], event: str) -> float | None:
    """Return the seconds from the first line to the first one with an event."""
    for line in span:
        if line.event == event:
            return line.time - span[0].time
    return None


def sum_counters(lines: Iterable[LogLine]) -> dict[str, float]:
    """Return the counters of one process, summed over its incarnations."""
    total: dict[str, float] = {}
    last: dict[str, float] = {}
    for line in lines:
        if line.event == "started":
            add_counters(total, last)
            last = {}
        elif line.event == "counts":
            last = read_counters(line)
    add_counters(total, last)
    return total


def find_growth(lines: Iterable[LogLine]) -> list[tuple[float, dict[str, float]]]:
    """Return the growth of one process's counters up to each time that it logged them.

    A process that starts counts from 0.
    """
    growth = []
    last: dict[str, float] = {}
    for line in lines:
        if line.event == "started":
            last = {}
        elif line.event == "counts":
            counters = read_counters(line)
            grown = {name: counters[name] - last.get(name, 0.0) for name in counters}
            growth.append((line.time, grown))
            last = counters
    return growth


def sum_growth(
    logs: Iterable[Iterable[LogLine]], start: float, span_s: float
) -> dict[int, dict[str, float]]:
    """Return the growth of counters over all processes by number of span.

    Spans are `span_s` seconds long, from the time `start` on. Growth belongs to the
    span in which it was logged.
    """
    spans: dict[int, dict[str, float]] = {}
    for log in logs:
        for time, grown in find_growth(log):
            add_counters(spans.setdefault(int((time - start) // span_s), {}), grown)
    return dict(sorted(spans.items()))


def add_counters(total: dict[str, float], counters: dict[str, float]) -> None:
    """Add counters to a total."""
    for name, value in counters.items():
        total[name] = total.get(name, 0.0) + value


def read_counters(line: LogLine) -> dict[str, float]:
    """Return the numeric fields of a line, except its time."""
    counters = {}
    for name, text in line.fields.items():
        if name not in ("time", "event"):
            try:
                counters[name] = float(text)
            except ValueError:
                continue
    return counters
