"""Counters of the messages between entries, by message type."""

import msgspec


class Traffic(msgspec.Struct):
    """The number and size of the messages of one type in one direction."""

    messages: int = 0
    bytes: int = 0


class TrafficCounters:
    """The counters of one process, reported in its state dump."""

    def __init__(self) -> None:
        self.sent: dict[str, Traffic] = {}
        self.received: dict[str, Traffic] = {}
        self.dropped: dict[str, int] = {}

    def count_sent(self, name: str, size: int) -> None:
        """Count a message of `size` bytes that is about to be sent."""
        self.count(self.sent, name, size)

    def count_received(self, name: str, size: int) -> None:
        """Count a received message of `size` bytes."""
        self.count(self.received, name, size)

    @property
    def bytes_sent(self) -> int:
        """The size of all messages sent, before compression."""
        return sum(entry.bytes for entry in self.sent.values())

    def count_dropped(self, reason: str) -> None:
        """Count a message that was discarded, by the reason."""
        self.dropped[reason] = self.dropped.get(reason, 0) + 1

    def count(self, table: dict[str, Traffic], name: str, size: int) -> None:
        """Add one message to a table of counters."""
        entry = table.setdefault(name, Traffic())
        entry.messages += 1
        entry.bytes += size
