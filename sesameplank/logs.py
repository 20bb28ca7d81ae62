"""Structured logs, with one line of key=value pairs for each event."""

import os
import sys
import time
from collections.abc import Callable

from .core.common.clock import Clock

UNQUOTED_CHARACTERS = frozenset("-_.:/,+")


def format_value(value: object) -> str:
    """Return the value as text.

    The text is quoted if it is empty or has characters other than letters, digits
    and UNQUOTED_CHARACTERS.
    """
    text = f"{value:.3f}" if isinstance(value, float) else str(value)
    if text and all(char.isalnum() or char in UNQUOTED_CHARACTERS for char in text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
    return f'"{escaped}"'


def format_event(event: str, **fields: object) -> str:
    """Return the line for an event, with the fields in the order of the arguments."""
    pairs = [f"event={format_value(event)}"]
    pairs += [f"{name}={format_value(value)}" for name, value in fields.items()]
    return " ".join(pairs)


def write_with_absl(line: str) -> None:
    """Log a line at level INFO."""
    from absl import logging  # Not loaded by processes that use LineWriter.

    logging.info("%s", line)


class LineWriter:
    """Writes lines to a file descriptor without blocking.

    A line that the descriptor does not accept completely is counted as dropped.
    Each later line states the count, until one is written completely.
    """

    def __init__(self, descriptor: int) -> None:
        os.set_blocking(descriptor, False)
        self.descriptor = descriptor
        self.dropped = 0

    def __call__(self, line: str) -> None:
        """Write a line, preceded by the Unix time in seconds."""
        text = f"time={time.time():.3f} {line}"
        if self.dropped:
            text += f" lines_dropped={self.dropped}"
        data = text.encode(errors="replace") + b"\n"
        try:
            written = os.write(self.descriptor, data)
        except OSError:  # The error cannot be logged anywhere else.
            written = 0
        self.dropped = 0 if written == len(data) else self.dropped + 1


class Output:
    """Holds the function that writes log lines, one instance per process."""

    def __init__(self) -> None:
        self.write: Callable[[str], None] = write_with_absl


output = Output()


def use_line_writer() -> None:
    """Write log lines directly to standard output, without a logging library."""
    output.write = LineWriter(sys.stdout.fileno())


def log_event(event: str, **fields: object) -> None:
    """Log an event with its fields."""
    output.write(format_event(event, **fields))


class LogLimiter:
    """A token bucket that bounds the rate of log lines and counts suppressed lines.

    `per_second` is the sustained rate in lines per second, and `burst` the size of
    the bucket in lines.
    """

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
        """Take a token for a line, unless the line must be suppressed.

        Return how many lines were suppressed since the last logged one, or None if
        this line must be suppressed too.
        """
        now = self.clock.now()
        refill = (now - self.updated_at) * self.per_second
        self.tokens = min(self.burst, self.tokens + refill)
        self.updated_at = now
        if self.tokens < 1.0:
            self.suppressed += 1
            return None
        self.tokens -= 1.0
        suppressed, self.suppressed = self.suppressed, 0
        return suppressed
