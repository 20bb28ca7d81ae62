"""Structured logs: one line of key=value pairs for each event."""

import os
import sys
import time
from collections.abc import Callable

from .core.clock import Clock

UNQUOTED = frozenset("-_.:/,+")


def format_value(value: object) -> str:
    """Return the value as text, quoted when it holds spaces or signs."""
    text = f"{value:.3f}" if isinstance(value, float) else str(value)
    if text and all(char.isalnum() or char in UNQUOTED for char in text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
    return f'"{escaped}"'


def format_event(event: str, **fields: object) -> str:
    """Return the line for an event; fields keep the order they are given in."""
    pairs = [f"event={format_value(event)}"]
    pairs += [f"{name}={format_value(value)}" for name, value in fields.items()]
    return " ".join(pairs)


def write_by_absl(line: str) -> None:
    """Log a line at level INFO."""
    from absl import logging  # VMs that write lines themselves never load it.

    logging.info("%s", line)


class LineWriter:
    """Writes lines to a descriptor without ever waiting for its reader.

    A line that the descriptor does not take is dropped and counted; the count
    is written with the next line that goes through.
    """

    def __init__(self, descriptor: int) -> None:
        os.set_blocking(descriptor, False)
        self.descriptor = descriptor
        self.dropped = 0

    def __call__(self, line: str) -> None:
        """Write a line with the time of day."""
        text = f"time={time.time():.3f} {line}"
        if self.dropped:
            text += f" lines_dropped={self.dropped}"
        data = text.encode(errors="replace") + b"\n"
        try:
            written = os.write(self.descriptor, data)
        except OSError:  # Nobody reads; there is no other place to say so.
            written = 0
        self.dropped = 0 if written == len(data) else self.dropped + 1


class Output:
    """Where log lines go; one for the process."""

    def __init__(self) -> None:
        self.write: Callable[[str], None] = write_by_absl


output = Output()


def use_line_writer() -> None:
    """Write log lines to standard output at once, without a logging library."""
    output.write = LineWriter(sys.stdout.fileno())


def log_event(event: str, **fields: object) -> None:
    """Log an event at level INFO."""
    output.write(format_event(event, **fields))


class LogLimiter:
    """Bounds the rate of log lines and counts those that were left out."""

    def __init__(
        self, clock: Clock, per_second: float = 20.0, burst: float = 50.0
    ) -> None:
        self.clock = clock
        self.per_second = per_second
        self.burst = burst
        self.tokens = burst
        self.updated_at = clock.now()
        self.suppressed = 0

    def take(self) -> int | None:
        """Return how many lines were left out since the last, or None to leave out."""
        now = self.clock.now()
        earned = (now - self.updated_at) * self.per_second
        self.tokens = min(self.burst, self.tokens + earned)
        self.updated_at = now
        if self.tokens < 1.0:
            self.suppressed += 1
            return None
        self.tokens -= 1.0
        suppressed, self.suppressed = self.suppressed, 0
        return suppressed
