"""Readings of the platform's service, by which peers confirm a view to each other.

A confirmation that peers relay names the reading that it stems from. Each process
applies a reading once, so that no confirmation goes round, whatever the delays.
"""

import msgspec

from ...ids import EntryId, Incarnation

FORGET_AFTER_S = 60.0  # Copies that arrive later are too old to matter.
MAX_READERS = 1_000


class Reading(msgspec.Struct, frozen=True, array_like=True):
    """One call to the service by one process; `number` counts those of a process.

    Fields are encoded by position: add new fields at the end, with a default.
    """

    reader: EntryId
    incarnation: Incarnation
    number: int

    @property
    def order(self) -> tuple[Incarnation, int]:
        """The rank of this reading among those of the same reader."""
        return self.incarnation, self.number


class HeardReading(msgspec.Struct, frozen=True):
    """The newest reading of a reader, and when it was heard of, in seconds."""

    reading: Reading
    heard_at: float


class HeardReadings:
    """The newest reading of each other process that this one has heard of.

    Readers that were not heard of for FORGET_AFTER_S are forgotten; so is an
    incarnation that seems newer than the present one since a clock was set back. Beyond
    MAX_READERS, other readers are not believed.
    """

    def __init__(self, own_id: EntryId, own_incarnation: Incarnation) -> None:
        self.own_id = own_id
        self.own_incarnation = own_incarnation
        self.newest: dict[EntryId, HeardReading] = {}

    def note(self, reading: Reading, now: float) -> bool:
        """Record a reading, and return whether it is news to this process."""
        if (reading.reader, reading.incarnation) == (self.own_id, self.own_incarnation):
            return False
        self.forget_old(now)
        known = self.newest.get(reading.reader)
        if known is None and len(self.newest) >= MAX_READERS:
            return False
        if known is not None and reading.order <= known.reading.order:
            return False
        self.newest[reading.reader] = HeardReading(reading, now)
        return True

    def forget_old(self, now: float) -> None:
        """Forget the readers without news for FORGET_AFTER_S."""
        for reader in [
            reader
            for reader, heard in self.newest.items()
            if now - heard.heard_at > FORGET_AFTER_S
        ]:
            del self.newest[reader]
