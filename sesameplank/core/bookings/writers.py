"""Writer ids, and the idempotency keys that begin with a writer id.

An entry issues writer ids. Only the issuing incarnation of the entry runs the
bookings whose keys begin with them, so that no two processes can run the same
key. The design follows the writer ids of idempotent producers in Apache Fluss
and Apache Kafka, except that an entry issues the ids instead of a server.
"""

import msgspec

from ...ids import EntryId, IdempotencyKey, Incarnation

SEPARATOR = "~"
MAX_KEY_LENGTH = 200


class WriterId(msgspec.Struct, frozen=True):
    """The issuing entry, its incarnation, and a number unique within these."""

    entry: EntryId
    incarnation: Incarnation
    number: int

    def __str__(self) -> str:
        return SEPARATOR.join((self.entry, f"{self.incarnation:x}", str(self.number)))


class BookingKey(msgspec.Struct, frozen=True):
    """An idempotency key: a writer id and a name that the caller chose."""

    writer: WriterId
    name: str

    def __str__(self) -> str:
        return f"{self.writer}{SEPARATOR}{self.name}"

    @property
    def text(self) -> IdempotencyKey:
        """The key as it is sent in the request header."""
        return IdempotencyKey(str(self))


def parse_key(text: IdempotencyKey) -> BookingKey | None:
    """Return the parsed key, or None if it does not begin with a writer id.

    Only the canonical spelling of a writer id is accepted, so that two different
    texts never stand for the same key.
    """
    parts = text.split(SEPARATOR, 3)
    if len(parts) != 4 or not all(parts):
        return None
    entry, incarnation, number, name = parts
    try:
        writer = WriterId(
            EntryId(entry), Incarnation(int(incarnation, 16)), int(number)
        )
    except ValueError:
        return None
    key = BookingKey(writer, name)
    return key if str(key) == text else None
