"""The records behind the stand-in targets: every snapshot, and a booking ledger.

Snapshots are ticks of a shared clock, so that targets agree on them without
communication: snapshot N holds every change made before tick N. Random stock
changes depend on nothing but the seed and the tick, and are generated ahead of
time, so that stores in several processes hold the same records. The store
retains every snapshot, as the ground truth that answers are checked against.
"""

import bisect
import random
from collections import defaultdict
from collections.abc import Iterable

import msgspec

from ..core.common.clock import Clock
from ..core.search.messages import BookingResult, Filter, Record
from ..core.search.ranges import KeyRange, get_position
from ..ids import CollectionName, IdempotencyKey, RecordKey, Snapshot

TICK_S = 0.25  # The interval between two snapshots.
CHANGES_PER_TICK = 5
TICKS_AHEAD = 40  # Ticks of changes that are generated in advance.
MAX_STOCK = 500


class ExecutedBooking(msgspec.Struct, frozen=True):
    """One execution of a booking, as an entry of the ledger."""

    idempotency_key: IdempotencyKey
    collection: CollectionName
    record: RecordKey
    quantity: int
    result: BookingResult
    snapshot: Snapshot


class StoredRecord:
    """One record with its versions, from the oldest to the newest."""

    def __init__(self, record: Record) -> None:
        self.position = get_position(record.key)
        self.versions: list[tuple[Snapshot, Record]] = [(Snapshot(1), record)]

    def get_at(self, snapshot: Snapshot) -> Record:
        """Return the version of the record in a snapshot."""
        for since, record in reversed(self.versions):
            if since <= snapshot:
                return record
        return self.versions[0][1]

    def add_version(self, snapshot: Snapshot, record: Record) -> None:
        """Add a version that holds from a snapshot until the next version."""
        bisect.insort_right(
            self.versions, (snapshot, record), key=lambda version: version[0]
        )


class Change(msgspec.Struct, frozen=True):
    """One version of a record and its first snapshot, as in the ground truth."""

    snapshot: Snapshot
    record: Record


class RecordStore:
    """All records of one collection, every snapshot of them, and the ledger.

    `started_at` is the time at which snapshot 1 begins, in seconds of the clock.
    Stores with the same records, seed and start differ in nothing but the effect
    of bookings. `run_counts` holds the number of executions of each booking.
    """

    def __init__(
        self,
        collection: CollectionName,
        records: Iterable[Record],
        clock: Clock,
        started_at: float,
        seed: int,
    ) -> None:
        self.collection = collection
        self.clock = clock
        self.started_at = started_at
        self.seed = seed
        self.records = {record.key: StoredRecord(record) for record in records}
        self.keys = sorted(self.records)
        self.records_by_range: dict[KeyRange, list[StoredRecord]] = {}
        self.ledger: list[ExecutedBooking] = []
        self.run_counts: dict[IdempotencyKey, int] = defaultdict(int)
        self.generated_until = Snapshot(1)

    def get_snapshot(self, lag_s: float = 0.0) -> Snapshot:
        """Return the newest snapshot of a replica with a replication lag in seconds.

        Generates further changes if needed.
        """
        age = self.clock.now() - self.started_at - lag_s
        snapshot = Snapshot(max(1, int(age / TICK_S) + 1))
        if snapshot + TICKS_AHEAD // 2 > self.generated_until:
            self.generate_changes(Snapshot(snapshot + TICKS_AHEAD))
        return snapshot

    def generate_changes(self, until: Snapshot) -> None:
        """Generate the random stock changes of every snapshot up to `until`."""
        for snapshot in range(self.generated_until + 1, until + 1):
            rng = random.Random(f"{self.seed}-{snapshot}")
            for key in rng.sample(self.keys, min(CHANGES_PER_TICK, len(self.keys))):
                self.set_stock(key, Snapshot(snapshot), rng.randint(0, MAX_STOCK))
        self.generated_until = max(self.generated_until, until)

    def set_stock(self, key: RecordKey, snapshot: Snapshot, stock: int) -> None:
        """Set the stock of a record from a snapshot on."""
        stored = self.records[key]
        fields = {**stored.get_at(snapshot).fields, "stock": stock}
        stored.add_version(snapshot, Record(key, fields))

    def book(
        self, key: IdempotencyKey, record: RecordKey, quantity: int
    ) -> ExecutedBooking:
        """Execute a booking and add it to the ledger, without deduplication by key.

        The booking takes effect in the next snapshot. A record that does not exist
        counts as out of stock.
        """
        snapshot = Snapshot(self.get_snapshot() + 1)
        stored = self.records.get(record)
        stock = stored.get_at(snapshot).fields["stock"] if stored else 0
        if stock >= quantity:
            result = BookingResult.ACCEPTED
            self.set_stock(record, snapshot, stock - quantity)
        else:
            result = BookingResult.DECLINED
        run = ExecutedBooking(key, self.collection, record, quantity, result, snapshot)
        self.ledger.append(run)
        self.run_counts[key] += 1
        return run

    def get_changes(self, ranges: Iterable[KeyRange]) -> tuple[Change, ...]:
        """Return all versions of the records in the ranges."""
        return tuple(
            Change(snapshot, record)
            for key_range in ranges
            for stored in self.get_records(key_range)
            for snapshot, record in stored.versions
        )

    def get_records(self, key_range: KeyRange) -> list[StoredRecord]:
        """Return the records of a range, from a cache after the first call."""
        found = self.records_by_range.get(key_range)
        if found is None:
            found = [
                stored
                for stored in self.records.values()
                if key_range.contains(stored.position)
            ]
            self.records_by_range[key_range] = found
        return found

    def scan(
        self,
        key_range: KeyRange,
        snapshot: Snapshot,
        terms: tuple[str, ...],
        filters: tuple[Filter, ...],
    ) -> list[Record]:
        """Return the matching records of a range in a snapshot."""
        return [
            record
            for stored in self.get_records(key_range)
            if matches(record := stored.get_at(snapshot), terms, filters)
        ]


def matches(
    record: Record, terms: tuple[str, ...], filters: tuple[Filter, ...]
) -> bool:
    """Return whether a record contains all terms and matches all filters."""
    if filters and not all(
        record.fields.get(item.field) == item.equals for item in filters
    ):
        return False
    if not terms:
        return True
    words = set(record.fields.values())
    return all(term in words for term in terms)
