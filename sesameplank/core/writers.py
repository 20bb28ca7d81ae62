"""Writer ids, and the idempotency keys that begin with one.

An entry issues writer ids, and only that incarnation of that entry runs the
bookings whose keys begin with them. No two processes can then run one key.
Follows the writer id of idempotent producers (Apache Fluss, Apache Kafka),
issued by an entry in place of a server.
"""

import msgspec

from ..ids import EntryId, IdempotencyKey, Incarnation

SEPARATOR = "~"
MAX_KEY_LENGTH = 200


class WriterId(msgspec.Struct, frozen=True):
    """The issuing entry and its incarnation, with a number unique to both."""

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
        """The key as it travels in the header."""
        return IdempotencyKey(str(self))


def parse_key(text: IdempotencyKey) -> BookingKey | None:
    """Return the parts of a key, or None when it begins with no writer id."""
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
