"""The list of running targets, as the platform publishes it, with its revisions.

A target may still be used, as a last resort, during a grace period after its entry
is removed from the list, or after it starts draining. Entries also expire while the
store that publishes the list is unavailable; they return soon after the store does.

A store that is restored from a copy loses its latest writes and assigns their
revisions again. Each restore begins an era, and a list of a later era replaces any
list of an earlier one. An entry that the copy lacks may still be written again, and a
target that the copy shows as ready may already have left.
"""

import math
from enum import Enum

import msgspec

from ...ids import DataCentre, ServiceName, TargetId
from .document_version import DocumentVersion

REMOVAL_GRACE_S = 1.0
OUTAGE_GRACE_S = 2.3  # Used after an outage of the store that publishes the list.
# Time for a target that had left the list, and that a restored store lists again, to
# write its entry or for the entry to expire.
RESTORED_HOLD_S = 5.0
# Time until a target is tried again although another one answered at its address.
REPLACED_HOLD_S = 10.0
MAX_TOMBSTONES = 2_000
MAX_GAPS = 16


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
    """Changes of the list up to a revision of an era.

    `removed` holds the ids of removed targets with the revision of their removal. If
    `is_whole`, `records` is the complete list and replaces the earlier one.
    """

    revision: int
    records: tuple[TargetRecord, ...] = ()
    removed: tuple[tuple[TargetId, int], ...] = ()
    is_whole: bool = False
    era: int = 0

    @property
    def version(self) -> DocumentVersion:
        """The era and the revision."""
        return DocumentVersion(self.era, self.revision)


class TargetTable:
    """The newest list of targets that this process has received.

    `leaving` holds draining or removed targets that may be used as a last resort until
    the time in `use_until`. `tombstones` maps removed targets to the revision of their
    removal, and `removed_records` to their last record, if known. Those without one,
    `never_listed`, are forgotten first. Changes since a revision before
    `history_floor`, or inside one of the `gaps`, are not known.
    `held_until` holds the listed targets that get no calls until a time, because they
    had left before the store was restored, or because another target has taken over
    their address. `announced` holds the targets that have said in their answers that
    they leave, with the start of that incarnation. `known_era` is the highest era that
    this process has heard of.
    """

    def __init__(self) -> None:
        self.era = 0
        self.known_era = 0
        self.revision = 0
        self.records: dict[TargetId, TargetRecord] = {}
        self.tombstones: dict[TargetId, int] = {}
        self.removed_records: dict[TargetId, TargetRecord] = {}
        self.never_listed: dict[TargetId, None] = {}
        self.history_floor = 0
        self.gaps: list[tuple[int, int]] = []
        self.held_until: dict[TargetId, float] = {}
        self.use_until: dict[TargetId, float] = {}
        self.leaving: dict[TargetId, TargetRecord] = {}
        self.announced: dict[TargetId, int] = {}
        self.by_service: dict[ServiceName, list[TargetRecord]] = {}

    @property
    def version(self) -> DocumentVersion:
        """The era and the revision of the list."""
        return DocumentVersion(self.era, self.revision)

    def note_era(self, era: int) -> None:
        """Record that the store has reached an era; lists of lower ones are refused."""
        self.known_era = max(self.known_era, era)

    def apply(
        self, changes: TargetChanges, now: float, source_was_unavailable: bool
    ) -> bool:
        """Apply changes and return whether they were newer than the table.

        `now` is in seconds. If `source_was_unavailable`, the store that publishes
        the list was unavailable recently, so an entry that is missing from the
        list may merely have expired there while its target still runs. The first
        list of an era has to be a complete one.
        """
        if changes.version <= self.version or changes.era < self.known_era:
            return False
        is_restored = changes.era > self.era
        if is_restored and not changes.is_whole:
            return False
        held_until = self.begin_era(changes, now) if is_restored else {}
        was_unavailable = source_was_unavailable or is_restored
        grace_s = OUTAGE_GRACE_S if was_unavailable else REMOVAL_GRACE_S
        for record in changes.records:
            self.put(record, now)
        for target, revision in changes.removed:
            known = self.records.get(target)
            if known is None or known.revision < revision:
                self.remove(target, revision, now + grace_s)
        if changes.is_whole:
            listed = {record.id for record in changes.records}
            for target in [item for item in self.records if item not in listed]:
                self.remove(target, changes.revision, now + grace_s)
            self.note_gap(changes.revision)
        self.held_until.update(held_until)
        self.revision = changes.revision
        self.expire(now)
        self.index()
        return True

    def begin_era(self, changes: TargetChanges, now: float) -> dict[TargetId, float]:
        """Prepare the table for the first complete list of a later era.

        The revisions of the earlier era are dropped, so that each entry of the list
        replaces the known one. A target that was draining or removed, and that the
        list shows as ready, is held: one that was draining or has started again
        until its entry changes, one that was only removed for RESTORED_HOLD_S,
        because its entry may have lapsed. Return the times at which holds end.
        """
        held: dict[TargetId, float] = {}
        for record in changes.records:
            if record.phase is not TargetPhase.READY:
                continue
            hold_s = self.get_hold_s(record, now)
            if hold_s > 0.0:
                held[record.id] = now + hold_s
        self.records = {
            target: msgspec.structs.replace(self.get_latest(record), revision=0)
            for target, record in self.records.items()
        }
        self.held_until.clear()
        listed = {record.id for record in changes.records}
        self.tombstones = {
            target: changes.revision
            for target in self.tombstones
            if target not in listed
        }
        self.never_listed = {
            target: None for target in self.never_listed if target not in listed
        }
        self.gaps.clear()
        self.history_floor = changes.revision
        self.era = changes.era
        self.note_era(changes.era)
        self.revision = 0
        return held

    def get_hold_s(self, restored: TargetRecord, now: float) -> float:
        """Return for how many seconds a restored entry gets no calls, 0 if it may."""
        known = self.records.get(restored.id) or self.removed_records.get(restored.id)
        if known is None:
            return RESTORED_HOLD_S if restored.id in self.tombstones else 0.0
        if known.started_ms < restored.started_ms:
            return 0.0
        was_replaced = known.started_ms > restored.started_ms
        if was_replaced or known.phase is TargetPhase.DRAINING:
            return math.inf
        if restored.id in self.removed_records:
            return RESTORED_HOLD_S
        return max(0.0, self.held_until.get(restored.id, now) - now)

    def get_latest(self, record: TargetRecord) -> TargetRecord:
        """Return a record as draining if the target was before the last restore."""
        if self.held_until.get(record.id) != math.inf:
            return record
        return msgspec.structs.replace(record, phase=TargetPhase.DRAINING)

    def note_gap(self, revision: int) -> None:
        """Record that a complete list skipped the changes up to a revision.

        Entries that were added and removed in between are unknown, so a peer that
        has a list from in between needs the complete one too.
        """
        if not self.revision:
            self.history_floor = revision
            return
        self.gaps.append((self.revision, revision))
        if len(self.gaps) > MAX_GAPS:
            self.history_floor = max(self.history_floor, self.gaps.pop(0)[1])

    def put(self, record: TargetRecord, now: float) -> None:
        """Store the record of a target unless a newer record or removal is known."""
        known = self.records.get(record.id)
        if known is not None and known.revision >= record.revision:
            return
        if self.tombstones.get(record.id, 0) >= record.revision:
            return
        self.forget_removal(record.id)
        if not self.has_announced(record):
            self.use_until.pop(record.id, None)
            self.leaving.pop(record.id, None)
            self.announced.pop(record.id, None)
        was_held = known is not None and self.release(record.id)
        if record.phase is TargetPhase.DRAINING:
            was_ready = known is not None and known.phase is TargetPhase.READY
            if was_ready and not was_held and not self.has_announced(record):
                self.leaving[record.id] = record
                self.use_until[record.id] = now + REMOVAL_GRACE_S
        self.records[record.id] = record

    def release(self, target: TargetId) -> bool:
        """End the hold of a target, and return whether there was one."""
        return self.held_until.pop(target, None) is not None

    def remove(self, target: TargetId, revision: int, use_until: float) -> None:
        """Remove a target; if it was ready, it is a last resort until `use_until`.

        The removal of a target that is not listed is recorded for peers that list it.
        """
        record = self.records.pop(target, None)
        revision = max(revision, self.tombstones.pop(target, 0))
        self.tombstones[target] = revision  # The last one again, as the newest.
        self.never_listed.pop(target, None)
        if record is not None:
            self.removed_records[target] = self.get_latest(record)
        elif target not in self.removed_records:
            self.never_listed[target] = None
        was_held = self.release(target)
        if len(self.tombstones) > MAX_TOMBSTONES:
            self.forget_oldest_removal()
        if record is None or was_held or self.has_announced(record):
            return
        if record.phase is TargetPhase.READY:
            self.leaving[target] = record
            self.use_until[target] = use_until

    def forget_oldest_removal(self) -> None:
        """Forget a removal, so that peers with an older list need the complete one.

        Any program may write and remove entries that name no target. They must not
        displace targets that have left, which a restored store may list again.
        """
        oldest = next(iter(self.never_listed or self.tombstones))
        self.history_floor = max(self.history_floor, self.tombstones[oldest])
        self.forget_removal(oldest)

    def forget_removal(self, target: TargetId) -> None:
        """Forget the removal of a target, if one is known."""
        self.tombstones.pop(target, None)
        self.removed_records.pop(target, None)
        self.never_listed.pop(target, None)

    def note_replaced(self, target: TargetId, address: str, now: float) -> bool:
        """Record that another target has answered at the address of a target.

        The list may show a lost target for long, for example while the store is
        unavailable. It gets no calls until its entry changes, for REPLACED_HOLD_S
        at most. Return False if this was known already, or if the target has another
        address now.
        """
        record = self.records.get(target) or self.leaving.get(target)
        if record is None or record.address != address:
            return False
        is_news = self.leaving.pop(target, None) is not None
        self.use_until.pop(target, None)
        if self.find_ready(target) is not None:
            is_news = True
            self.held_until[target] = now + REPLACED_HOLD_S
            self.index()
        return is_news

    def note_announced(self, target: TargetId, started_ms: int, now: float) -> bool:
        """Record that an incarnation of a target has said that it leaves.

        The list shows that later, if at all; no entry of that incarnation undoes it.
        The target is a last resort for REMOVAL_GRACE_S. Return whether it is news.
        """
        record = self.records.get(target) or self.leaving.get(target)
        if record is None or record.started_ms != started_ms:
            return False
        if self.announced.get(target) == started_ms:
            return False
        if len(self.announced) >= MAX_TOMBSTONES:
            self.announced.pop(next(iter(self.announced)))
        is_news = self.find_ready(target) is not None
        self.announced[target] = started_ms
        if is_news:
            self.leaving[target] = record
            self.use_until[target] = now + REMOVAL_GRACE_S
            self.index()
        return is_news

    def has_announced(self, record: TargetRecord) -> bool:
        """Return whether an incarnation of a target has said that it leaves."""
        return self.announced.get(record.id) == record.started_ms

    def may_call(self, record: TargetRecord, now: float) -> bool:
        """Return whether a target may get calls, if only as a last resort."""
        is_ready = self.find_ready(record.id) is not None
        return is_ready or self.use_until.get(record.id, 0.0) > now

    def expire(self, now: float) -> None:
        """End the holds and the grace periods of last-resort targets that are over."""
        for target in [item for item, at in self.use_until.items() if at <= now]:
            del self.use_until[target]
            self.leaving.pop(target, None)
        ended_holds = [item for item, at in self.held_until.items() if at <= now]
        for target in ended_holds:
            self.release(target)
        if ended_holds:
            self.index()

    def index(self) -> None:
        """Group the ready targets that may get calls by service."""
        self.by_service = {}
        for record in self.records.values():
            is_held = record.id in self.held_until or self.has_announced(record)
            if record.phase is TargetPhase.READY and not is_held:
                self.by_service.setdefault(record.service, []).append(record)

    def get_ready(self, service: ServiceName) -> list[TargetRecord]:
        """Return the targets of a service that accept new calls."""
        return self.by_service.get(service, [])

    def find_ready(self, target: TargetId) -> TargetRecord | None:
        """Return a target if it accepts new calls, else None."""
        record = self.records.get(target)
        if record is None or target in self.held_until or self.has_announced(record):
            return None
        return record if record.phase is TargetPhase.READY else None

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

    def get_changes(self, after: DocumentVersion) -> TargetChanges | None:
        """Return the changes since a version, or None if there are none.

        Return the complete list if not all changes since then are known.
        """
        if after >= self.version:
            return None
        if not self.has_history(after):
            return TargetChanges(
                self.revision,
                tuple(self.records.values()),
                (),
                is_whole=True,
                era=self.era,
            )
        number = after.number
        return TargetChanges(
            self.revision,
            tuple(item for item in self.records.values() if item.revision > number),
            tuple(item for item in self.tombstones.items() if item[1] > number),
            era=self.era,
        )

    def has_history(self, after: DocumentVersion) -> bool:
        """Return whether all changes since a version are known."""
        if after.era != self.era or after.number < self.history_floor:
            return False
        return not any(start < after.number < end for start, end in self.gaps)
