"""Structured logs: one line of key=value pairs for each event."""

from absl import logging

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


def log_event(event: str, **fields: object) -> None:
    """Log an event at level INFO."""
    logging.info("%s", format_event(event, **fields))


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
