"""The registry of the bookings that an entry runs, at most once per key.

All keys of a writer are stored and evicted together. While a writer is stored, a
key without a record has certainly not run. After the eviction of the writer,
nothing is known about any of its keys, and the entry runs none of them.
"""

from collections import OrderedDict
from enum import Enum

import msgspec

from ...ids import ConfigVersion, EntryId, Incarnation, Snapshot
from ..common.outcomes import Ran
from ..search.messages import BookingResult
from .writers import BookingKey, WriterId


class BookingLimits(msgspec.Struct, frozen=True):
    """Limits of a registry; times are in seconds since a writer id was issued.

    `writers` and `keys` are the maximum numbers of stored writers and keys. New
    keys of a writer are accepted until `open_s`. Its keys are stored until
    `keep_s`.
    """

    writers: int = 2_000
    keys: int = 50_000
    open_s: float = 300.0
    keep_s: float = 900.0


class KeyState(Enum):
    """The state of a stored key.

    UNKNOWN means that the booking may or may not have run, CLOSED that it has not
    run and never will.
    """

    RUNNING = "running"
    ANSWERED = "answered"
    UNKNOWN = "unknown"
    CLOSED = "closed"


class Verdict(Enum):
    """The decision on a booking that arrived."""

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
    """The outcome of a booking that ran."""

    result: BookingResult
    snapshot: Snapshot
    config_version: ConfigVersion


class KeyRecord:
    """A key's request fingerprint, its state, and the outcome if it is known."""

    __slots__ = ("fingerprint", "outcome", "state")

    def __init__(self, fingerprint: bytes, state: KeyState) -> None:
        self.fingerprint = fingerprint
        self.state = state
        self.outcome: BookingOutcome | None = None


class Writer:
    """The records of a writer's keys, and the number of its running bookings."""

    __slots__ = ("issued_at", "keys", "running")

    def __init__(self, issued_at: float) -> None:
        self.issued_at = issued_at
        self.keys: dict[str, KeyRecord] = {}
        self.running = 0


class Decision(msgspec.Struct, frozen=True):
    """A verdict, and the record of the key if there is one."""

    verdict: Verdict
    record: KeyRecord | None = None


class KeyStatus(msgspec.Struct, frozen=True):
    """The known state of a key.

    `verdict` is the verdict that a booking with this key would get now. `state`
    is None if the registry has no record of the key.
    """

    verdict: Verdict
    state: KeyState | None = None
    outcome: BookingOutcome | None = None


class BookingRegistry:
    """Decides whether a booking may run.

    Every `now` is in seconds and comes from the same clock.
    """

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
        """Return a new writer id, or None if the limit of writers is reached."""
        self.evict_expired(now)
        if len(self.writers) >= self.limits.writers:
            return None
        self.issued += 1
        self.writers[self.issued] = Writer(now)
        return WriterId(self.entry, self.incarnation, self.issued)

    def evict_expired(self, now: float) -> None:
        """Evict writers older than `keep_s`, except those with a running booking."""
        for number, writer in list(self.writers.items()):
            if now < writer.issued_at + self.limits.keep_s:
                break
            if not writer.running:
                del self.writers[number]
                self.key_count -= len(writer.keys)

    def get_eviction_wait_s(self, now: float) -> float:
        """Return the seconds until the oldest writer may be evicted, or 0."""
        for writer in self.writers.values():
            return max(0.0, writer.issued_at + self.limits.keep_s - now)
        return 0.0

    def find_writer(self, key: BookingKey, now: float) -> Writer | Verdict:
        """Return the writer of a key, or the verdict if this entry has none."""
        writer_id = key.writer
        if (writer_id.entry, writer_id.incarnation) != (self.entry, self.incarnation):
            return Verdict.OTHER_ISSUER
        if not 1 <= writer_id.number <= self.issued:
            return Verdict.NEVER_ISSUED
        self.evict_expired(now)
        return self.writers.get(writer_id.number, Verdict.WRITER_FORGOTTEN)

    def begin(self, key: BookingKey, fingerprint: bytes, now: float) -> Decision:
        """Decide on a booking that arrived.

        After the verdict RUN, the caller must run the booking and call `finish`.
        """
        writer = self.find_writer(key, now)
        if isinstance(writer, Verdict):
            return Decision(writer)
        record = writer.keys.get(key.name)
        if record is not None:
            return Decision(get_verdict(record, fingerprint), record)
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
        """Record the end of a booking that got the verdict RUN.

        If the booking certainly did not run, the key's record is removed and the
        key may be used again.
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
        """Return the status of a key; its state is None if there is no record."""
        writer = self.find_writer(key, now)
        if isinstance(writer, Verdict):
            return KeyStatus(writer)
        record = writer.keys.get(key.name)
        if record is None:
            is_open = now < writer.issued_at + self.limits.open_s
            return KeyStatus(Verdict.RUN if is_open else Verdict.WRITER_CLOSED)
        verdict = get_verdict(record, record.fingerprint)
        return KeyStatus(verdict, record.state, record.outcome)

    def close_key(self, key: BookingKey, now: float) -> KeyStatus:
        """Close a key that has no record, so that it never runs; return its status."""
        writer = self.find_writer(key, now)
        if isinstance(writer, Verdict):
            return KeyStatus(writer)
        if key.name not in writer.keys:
            if self.key_count >= self.limits.keys:
                return KeyStatus(Verdict.FULL)
            self.add_key(writer, key, KeyRecord(b"", KeyState.CLOSED))
        return self.look_up(key, now)


VERDICTS_BY_STATE = {
    KeyState.RUNNING: Verdict.JOIN,
    KeyState.ANSWERED: Verdict.ANSWERED,
    KeyState.UNKNOWN: Verdict.UNKNOWN,
    KeyState.CLOSED: Verdict.KEY_CLOSED,
}


def get_verdict(record: KeyRecord, fingerprint: bytes) -> Verdict:
    """Return the verdict on a booking whose key has a record."""
    if record.state is KeyState.CLOSED:
        return Verdict.KEY_CLOSED
    if record.fingerprint != fingerprint:
        return Verdict.CONFLICT
    return VERDICTS_BY_STATE[record.state]
