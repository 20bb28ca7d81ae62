"""Structured logs: one line of key=value pairs for each event."""

from absl import logging

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
