"""Replays the change log to compute what a query must find in a snapshot."""

import bisect
from collections.abc import Sequence

import msgspec

from ..core.search.merge import sort_records
from ..core.search.messages import Filter, Record, SearchRequest
from ..core.search.ranges import KeyRange, get_position
from ..ids import RecordKey, Snapshot
from ..standins.control import CollectionTruth


class RecordHistory:
    """The values of one record and the snapshots they start at, oldest first."""

    def __init__(self, key: RecordKey) -> None:
        self.position = get_position(key)
        self.snapshots: list[Snapshot] = []
        self.values: list[Record] = []

    def add(self, snapshot: Snapshot, record: Record) -> None:
        """Add the value that the record has from a snapshot on.

        Of several values for the same snapshot, the one added last counts.
        """
        index = bisect.bisect_right(self.snapshots, snapshot)
        self.snapshots.insert(index, snapshot)
        self.values.insert(index, record)

    def get_at(self, snapshot: Snapshot) -> Record | None:
        """Return the value in a snapshot, or None if the record did not exist yet."""
        index = bisect.bisect_right(self.snapshots, snapshot)
        return self.values[index - 1] if index else None


class ExpectedAnswer(msgspec.Struct, frozen=True):
    """What a query must find in one snapshot, over the covered key ranges."""

    total: int
    hits: tuple[Record, ...]


class Replay:
    """All values of one collection's records, to compute expected answers from."""

    def __init__(self, truth: CollectionTruth) -> None:
        self.histories: dict[RecordKey, RecordHistory] = {}
        for change in truth.changes:
            key = change.record.key
            if key not in self.histories:
                self.histories[key] = RecordHistory(key)
            self.histories[key].add(change.snapshot, change.record)
        self.candidates: dict[tuple, list[RecordHistory]] = {}

    def get_value(self, key: RecordKey, snapshot: Snapshot) -> Record | None:
        """Return a record's value in a snapshot, or None if it has none."""
        history = self.histories.get(key)
        return history.get_at(snapshot) if history else None

    def was_ever_stored(self, record: Record) -> bool:
        """Return whether the record had this value in any snapshot."""
        history = self.histories.get(record.key)
        return history is not None and record in history.values

    def get_expected(
        self, request: SearchRequest, snapshot: Snapshot, covered: Sequence[KeyRange]
    ) -> ExpectedAnswer:
        """Return what the request must find in the covered key ranges."""
        found = [
            record
            for history in self.get_candidates(request)
            if any(item.contains(history.position) for item in covered)
            and (record := history.get_at(snapshot)) is not None
            and is_match(record, request.terms, request.filters)
        ]
        hits = sort_records(found, request.order)[: request.limit]
        return ExpectedAnswer(len(found), tuple(hits))

    def get_candidates(self, request: SearchRequest) -> list[RecordHistory]:
        """Return the histories of the records that match in any snapshot."""
        key = (request.terms, request.filters)
        if key not in self.candidates:
            self.candidates[key] = [
                history
                for history in self.histories.values()
                if any(is_match(record, *key) for record in history.values)
            ]
        return self.candidates[key]


def is_match(
    record: Record, terms: tuple[str, ...], filters: tuple[Filter, ...]
) -> bool:
    """Return whether a record contains all terms and passes all filters."""
    values = record.fields.values()
    return all(term in values for term in terms) and all(
        record.fields.get(item.field) == item.equals for item in filters
    )
