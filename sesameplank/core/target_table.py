"""The list of running targets, as the platform publishes it, with its revisions.

A target may still be used, as a last resort, during a grace period after its entry
is removed from the list, or after it starts draining. Entries also expire while the
store that publishes the list is unavailable; they return soon after the store does.
"""

from enum import Enum

import msgspec

from ..ids import DataCentre, ServiceName, TargetId

REMOVAL_GRACE_S = 1.0
OUTAGE_GRACE_S = 2.3  # Used after an outage of the store that publishes the list.
MAX_TOMBSTONES = 2_000


class TargetPhase(Enum):
    """The phase that a target reports."""

    READY = "ready"
    DRAINING = "draining"


class TargetRecord(msgspec.Struct, frozen=True):
    """One entry of the list of targets.

    `slots` is the number of calls that the target runs at a time. `warm_up_ms` is
    the remaining time for which it is slow after its start, `started_ms` the Unix
    time of its start in milliseconds, 0 if unknown, and `revision` the revision of
    its entry.
    """

    id: TargetId
    service: ServiceName
    address: str
    data_centre: DataCentre
    slots: int
    phase: TargetPhase
    warm_up_ms: int = 0
    started_ms: int = 0
    revision: int = 0


class TargetChanges(msgspec.Struct, frozen=True):
    """Changes of the list up to a revision.

    `removed` holds the ids of removed targets with the revision of their removal. If
    `is_whole`, `records` is the complete list and replaces the earlier one.
    """

    revision: int
    records: tuple[TargetRecord, ...] = ()
    removed: tuple[tuple[TargetId, int], ...] = ()
    is_whole: bool = False


class TargetTable:
    """The newest list of targets that this process has received.

    `leaving` holds draining or removed targets that may be used as a last resort
    until the time in `use_until`. `tombstones` maps removed targets to the revision
    of their removal. Changes since a revision before `history_floor` are not known.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.records: dict[TargetId, TargetRecord] = {}
        self.tombstones: dict[TargetId, int] = {}
        self.history_floor = 0
        self.use_until: dict[TargetId, float] = {}
        self.leaving: dict[TargetId, TargetRecord] = {}
        self.by_service: dict[ServiceName, list[TargetRecord]] = {}

    def apply(
        self, changes: TargetChanges, now: float, source_was_unavailable: bool
    ) -> bool:
        """Apply changes and return whether they were newer than the table.

        `now` is in seconds. If `source_was_unavailable`, the store that publishes
        the list was unavailable recently, so an entry that is missing from the
        list may merely have expired there while its target still runs.
        """
        if changes.revision <= self.revision:
            return False
        grace_s = OUTAGE_GRACE_S if source_was_unavailable else REMOVAL_GRACE_S
        for record in changes.records:
            self.put(record, now)
        for target, revision in changes.removed:
            known = self.records.get(target)
            if known is not None and known.revision < revision:
                self.remove(target, revision, now + grace_s)
        if changes.is_whole:
            listed = {record.id for record in changes.records}
            for target in [item for item in self.records if item not in listed]:
                self.remove(target, changes.revision, now + grace_s)
            if not self.revision:  # Earlier removals are unknown.
                self.history_floor = changes.revision
        self.revision = changes.revision
        self.expire(now)
        self.index()
        return True

    def put(self, record: TargetRecord, now: float) -> None:
        """Store the record of a target unless a newer record or removal is known."""
        known = self.records.get(record.id)
        if known is not None and known.revision >= record.revision:
            return
        if self.tombstones.get(record.id, 0) >= record.revision:
            return
        self.tombstones.pop(record.id, None)
        self.use_until.pop(record.id, None)
        self.leaving.pop(record.id, None)
        if record.phase is TargetPhase.DRAINING:
            was_ready = known is not None and known.phase is TargetPhase.READY
            if was_ready:
                self.leaving[record.id] = record
                self.use_until[record.id] = now + REMOVAL_GRACE_S
        self.records[record.id] = record

    def remove(self, target: TargetId, revision: int, use_until: float) -> None:
        """Remove a target; if it was ready, it is a last resort until `use_until`."""
        record = self.records.pop(target)
        self.tombstones[target] = revision
        if len(self.tombstones) > MAX_TOMBSTONES:
            oldest = min(self.tombstones, key=self.tombstones.get)
            self.history_floor = max(self.history_floor, self.tombstones.pop(oldest))
        if record.phase is TargetPhase.READY:
            self.leaving[target] = record
            self.use_until[target] = use_until

    def discard(self, target: TargetId) -> None:
        """Discard a leaving target whose address another target has taken over."""
        self.leaving.pop(target, None)
        self.use_until.pop(target, None)
        self.index()

    def expire(self, now: float) -> None:
        """Discard the last-resort targets whose grace period has expired."""
        for target in [item for item, at in self.use_until.items() if at <= now]:
            del self.use_until[target]
            self.leaving.pop(target, None)

    def index(self) -> None:
        """Group the ready targets by service."""
        self.by_service = {}
        for record in self.records.values():
            if record.phase is TargetPhase.READY:
                self.by_service.setdefault(record.service, []).append(record)

    def get_ready(self, service: ServiceName) -> list[TargetRecord]:
        """Return the targets of a service that accept new calls."""
        return self.by_service.get(service, [])

    def get_last_resort(self, service: ServiceName, now: float) -> list[TargetRecord]:
        """Return draining or removed targets that may still accept calls."""
        return [
            record
            for target, record in self.leaving.items()
            if record.service == service and self.use_until[target] > now
        ]

    def is_listed(self, target: TargetId) -> bool:
        """Return whether the target is listed or may be used as a last resort."""
        return target in self.records or target in self.leaving

    def get_changes(self, after: int) -> TargetChanges | None:
        """Return the changes since revision `after`, or None if there are none.

        Return the complete list if not all changes since then are known.
        """
        if after >= self.revision:
            return None
        if after < self.history_floor:
            return TargetChanges(
                self.revision, tuple(self.records.values()), (), is_whole=True
            )
        return TargetChanges(
            self.revision,
            tuple(item for item in self.records.values() if item.revision > after),
            tuple(item for item in self.tombstones.items() if item[1] > after),
        )
