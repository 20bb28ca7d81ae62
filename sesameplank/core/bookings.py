"""What an entry remembers of the bookings that it runs: at most once a key.

All keys of a writer are record together, and forgotten together. While
they are record, a key that is absent has certainly not run; afterwards
nothing is known of any of them, and none is run.
"""

from collections import OrderedDict
from enum import Enum

import msgspec

from ..ids import ConfigVersion, EntryId, Incarnation, Snapshot
from .messages import BookingResult
from .outcomes import Ran
from .writers import BookingKey, WriterId


class BookingLimits(msgspec.Struct, frozen=True):
    """Bounds of what is record; times in seconds since a writer was issued.

    New keys are taken until `open_s`; the keys are record until `keep_s`.
    """

    writers: int = 2_000
    keys: int = 50_000
    open_s: float = 300.0
    keep_s: float = 900.0


class KeyState(Enum):
    """What is known of a record key."""

    RUNNING = "running"
    ANSWERED = "answered"
    UNKNOWN = "unknown"
    CLOSED = "closed"


class Verdict(Enum):
    """What is to be done with a booking that arrived."""

    RUN = "run"
    JOIN = "join"
    ANSWERED = "answered"
    UNKNOWN = "unknown"
    KEY_CLOSED = "key_closed"
    CONFLICT = "conflict"
    FULL = "full"
    WRITER_CLOSED = "writer_closed"
    WRITER_FORGOTTEN = "writer_forgotten"
    NEVER_ISSUED = "never_issued"
    OTHER_ISSUER = "other_issuer"


class BookingOutcome(msgspec.Struct, frozen=True):
    """What a booking that ran came to."""

    result: BookingResult
    snapshot: Snapshot
    config_version: ConfigVersion


class KeyRecord:
    """One key: what was asked under it, and what became of it."""

    __slots__ = ("fingerprint", "outcome", "state")

    def __init__(self, fingerprint: bytes, state: KeyState) -> None:
        self.fingerprint = fingerprint
        self.state = state
        self.outcome: BookingOutcome | None = None


class Writer:
    """One issued writer id and every key that was run under it."""

    __slots__ = ("issued_at", "keys", "running")

    def __init__(self, issued_at: float) -> None:
        self.issued_at = issued_at
        self.keys: dict[str, KeyRecord] = {}
        self.running = 0


class Decision(msgspec.Struct, frozen=True):
    """A verdict, and the record key that it is about."""

    verdict: Verdict
    record: KeyRecord | None = None


class KeyStatus(msgspec.Struct, frozen=True):
    """The truth about a key as far as it is known.

    The verdict is what a booking under it would get; the state is None when
    the key is not record.
    """

    verdict: Verdict
    state: KeyState | None = None
    outcome: BookingOutcome | None = None


class BookingRegistry:
    """Decides whether a booking may run. Times are seconds of one clock."""

    def __init__(
        self, entry: EntryId, incarnation: Incarnation, limits: BookingLimits
    ) -> None:
        self.entry = entry
        self.incarnation = incarnation
        self.limits = limits
        self.writers: OrderedDict[int, Writer] = OrderedDict()
        self.issued = 0
        self.key_count = 0

    def issue(self, now: float) -> WriterId | None:
        """Return a new writer id, or None at the bound."""
        self.evict_expired(now)
        if len(self.writers) >= self.limits.writers:
            return None
        self.issued += 1
        self.writers[self.issued] = Writer(now)
        return WriterId(self.entry, self.incarnation, self.issued)

    def evict_expired(self, now: float) -> None:
        """Forget the writers that are past their time, unless one still runs."""
        for number, writer in list(self.writers.items()):
            if now < writer.issued_at + self.limits.keep_s:
                break
            if not writer.running:
                del self.writers[number]
                self.key_count -= len(writer.keys)

    def get_eviction_wait_s(self, now: float) -> float:
        """Return the seconds until the oldest writer may be forgotten."""
        for writer in self.writers.values():
            return max(0.0, writer.issued_at + self.limits.keep_s - now)
        return 0.0

    def find(self, key: BookingKey, now: float) -> Writer | Verdict:
        """Return the writer of a key, or the verdict that there is none here."""
        writer_id = key.writer
        if (writer_id.entry, writer_id.incarnation) != (self.entry, self.incarnation):
            return Verdict.OTHER_ISSUER
        if not 1 <= writer_id.number <= self.issued:
            return Verdict.NEVER_ISSUED
        self.evict_expired(now)
        return self.writers.get(writer_id.number, Verdict.WRITER_FORGOTTEN)

    def begin(self, key: BookingKey, fingerprint: bytes, now: float) -> Decision:
        """Decide on an arrived booking; after RUN, `finish` must follow."""
        writer = self.find(key, now)
        if isinstance(writer, Verdict):
            return Decision(writer)
        record = writer.keys.get(key.name)
        if record is not None:
            return Decision(judge(record, fingerprint), record)
        if now >= writer.issued_at + self.limits.open_s:
            return Decision(Verdict.WRITER_CLOSED)
        if self.key_count >= self.limits.keys:
            return Decision(Verdict.FULL)
        record = KeyRecord(fingerprint, KeyState.RUNNING)
        self.add_key(writer, key, record)
        writer.running += 1
        return Decision(Verdict.RUN, record)

    def add_key(self, writer: Writer, key: BookingKey, record: KeyRecord) -> None:
        """Add a key to a writer."""
        writer.keys[key.name] = record
        self.key_count += 1

    def finish(self, key: BookingKey, ran: Ran, outcome: BookingOutcome | None) -> None:
        """Take in what became of a booking that was told to run.

        A booking that certainly did not run leaves its key as new.
        """
        writer = self.writers[key.writer.number]
        record = writer.keys[key.name]
        writer.running -= 1
        if ran is Ran.NOT_RUN:
            del writer.keys[key.name]
            self.key_count -= 1
            return
        record.outcome = outcome
        record.state = KeyState.ANSWERED if ran is Ran.ANSWERED else KeyState.UNKNOWN

    def look_up(self, key: BookingKey, now: float) -> KeyStatus:
        """Return what is known of a key; state None when it was never seen."""
        writer = self.find(key, now)
        if isinstance(writer, Verdict):
            return KeyStatus(writer)
        record = writer.keys.get(key.name)
        if record is None:
            is_open = now < writer.issued_at + self.limits.open_s
            return KeyStatus(Verdict.RUN if is_open else Verdict.WRITER_CLOSED)
        verdict = judge(record, record.fingerprint)
        return KeyStatus(verdict, record.state, record.outcome)

    def close_key(self, key: BookingKey, now: float) -> KeyStatus:
        """Close a key that has not run, so that it never will; return its truth."""
        writer = self.find(key, now)
        if isinstance(writer, Verdict):
            return KeyStatus(writer)
        if key.name not in writer.keys:
            if self.key_count >= self.limits.keys:
                return KeyStatus(Verdict.FULL)
            self.add_key(writer, key, KeyRecord(b"", KeyState.CLOSED))
        return self.look_up(key, now)


VERDICTS = {
    KeyState.RUNNING: Verdict.JOIN,
    KeyState.ANSWERED: Verdict.ANSWERED,
    KeyState.UNKNOWN: Verdict.UNKNOWN,
    KeyState.CLOSED: Verdict.KEY_CLOSED,
}


def judge(record: KeyRecord, fingerprint: bytes) -> Verdict:
    """Return the verdict on a key that is record."""
    if record.state is KeyState.CLOSED:
        return Verdict.KEY_CLOSED
    if record.fingerprint != fingerprint:
        return Verdict.CONFLICT
    return VERDICTS[record.state]
