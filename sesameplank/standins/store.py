"""The records behind the stand-in targets: every snapshot, and a booking ledger.

Snapshots are ticks of a shared clock, so that targets agree on them without a
word: snapshot N holds every change made before tick N. The store keeps all of
them, as the ground truth that answers are checked against.
"""

import random
from collections import defaultdict
from collections.abc import Iterable

import msgspec

from ..core.clock import Clock
from ..core.messages import BookingResult, Filter, Record
from ..core.ranges import KeyRange, get_position
from ..ids import CollectionName, IdempotencyKey, RecordKey, Snapshot

TICK_S = 0.25


class RunBooking(msgspec.Struct, frozen=True):
    """One run of a booking, as the ledger keeps it."""

    idempotency_key: IdempotencyKey
    collection: CollectionName
    record: RecordKey
    quantity: int
    result: BookingResult
    snapshot: Snapshot


class StoredRecord:
    """One record over time: the versions from oldest to newest."""

    def __init__(self, record: Record) -> None:
        self.position = get_position(record.key)
        self.versions: list[tuple[Snapshot, Record]] = [(Snapshot(1), record)]

    def get_at(self, snapshot: Snapshot) -> Record:
        """Return the record as the snapshot holds it."""
        for since, record in reversed(self.versions):
            if since <= snapshot:
                return record
        return self.versions[0][1]

    @property
    def newest(self) -> Record:
        """The record with all changes so far."""
        return self.versions[-1][1]


class Store:
    """All records of one collection, every snapshot of them, and the ledger."""

    def __init__(
        self,
        collection: CollectionName,
        records: Iterable[Record],
        clock: Clock,
        started_at: float,
        rng: random.Random,
    ) -> None:
        self.collection = collection
        self.clock = clock
        self.started_at = started_at
        self.rng = rng
        self.records = {record.key: StoredRecord(record) for record in records}
        self.by_range: dict[KeyRange, list[StoredRecord]] = {}
        self.ledger: list[RunBooking] = []
        self.runs: dict[IdempotencyKey, int] = defaultdict(int)

    def get_snapshot(self, lag_s: float = 0.0) -> Snapshot:
        """Return the newest snapshot that a replica with this lag holds."""
        age = self.clock.now() - self.started_at - lag_s
        return Snapshot(max(1, int(age / TICK_S) + 1))

    def change(self, key: RecordKey, **fields: str | int) -> Snapshot:
        """Change fields of a record; return the first snapshot that shows it."""
        stored = self.records[key]
        snapshot = Snapshot(self.get_snapshot() + 1)
        record = Record(key, {**stored.newest.fields, **fields})
        stored.versions.append((snapshot, record))
        return snapshot

    def change_some_stock(self, count: int) -> None:
        """Change the stock of a few random records, as trade does."""
        for key in self.rng.sample(sorted(self.records), count):
            self.change(key, stock=self.rng.randint(0, 500))

    def book(self, key: IdempotencyKey, record: RecordKey, quantity: int) -> RunBooking:
        """Run a booking once more and write it to the ledger; never deduplicates."""
        stored = self.records.get(record)
        held = stored.newest.fields["stock"] if stored else 0
        if held >= quantity:
            result = BookingResult.ACCEPTED
            snapshot = self.change(record, stock=held - quantity)
        else:
            result = BookingResult.DECLINED
            snapshot = Snapshot(self.get_snapshot() + 1)
        run = RunBooking(key, self.collection, record, quantity, result, snapshot)
        self.ledger.append(run)
        self.runs[key] += 1
        return run

    def get_range(self, key_range: KeyRange) -> list[StoredRecord]:
        """Return the records of a range, remembered for the next call."""
        found = self.by_range.get(key_range)
        if found is None:
            found = [
                stored
                for stored in self.records.values()
                if key_range.contains(stored.position)
            ]
            self.by_range[key_range] = found
        return found

    def scan(
        self,
        key_range: KeyRange,
        snapshot: Snapshot,
        terms: tuple[str, ...],
        filters: tuple[Filter, ...],
    ) -> list[Record]:
        """Return every matching record of a range as of a snapshot."""
        return [
            record
            for stored in self.get_range(key_range)
            if matches(record := stored.get_at(snapshot), terms, filters)
        ]


def matches(
    record: Record, terms: tuple[str, ...], filters: tuple[Filter, ...]
) -> bool:
    """Tell whether a record holds every term and passes every filter."""
    if filters and not all(
        record.fields.get(item.field) == item.equals for item in filters
    ):
        return False
    if not terms:
        return True
    words = set(record.fields.values())
    return all(term in words for term in terms)
