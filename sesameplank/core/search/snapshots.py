"""Choice of the one index snapshot that a query is pinned to.

A replica may hold newer or older snapshots than those recorded for it. If it lacks
the pinned snapshot, it refuses the call, and the query is planned again.
"""

from collections import deque
from collections.abc import Iterable, Sequence

import msgspec

from ...ids import CollectionName, ShardId, Snapshot, TargetId
from ..common.clock import Clock, SystemClock

# The oldest quarter of the snapshots that a replica holds may be dropped soon.
SAFETY_MARGIN_DIVISOR = 4
STALE_AFTER_S = 5.0
ANSWER_PRECEDENCE_S = 1.0
MAX_RATE_SAMPLES = 16
MIN_RATE_SAMPLES = 4

ShardReplicas = Sequence[tuple[ShardId, Sequence[TargetId]]]
ReplicaKey = tuple[CollectionName, ShardId, TargetId]


class HeldSnapshots(msgspec.Struct, frozen=True):
    """The range of snapshots that a replica last reported; both ends inclusive."""

    oldest: Snapshot
    newest: Snapshot

    def holds(self, snapshot: Snapshot) -> bool:
        """Return whether the snapshot lies between `oldest` and `newest`."""
        return self.oldest <= snapshot <= self.newest

    @property
    def oldest_safe(self) -> Snapshot:
        """The oldest snapshot that the replica is not about to drop."""
        return Snapshot(
            self.oldest + (self.newest - self.oldest) // SAFETY_MARGIN_DIVISOR
        )


class KnownReplica(msgspec.Struct):
    """The snapshots that a replica last reported; times in seconds.

    `search_sent_at` is when the latest answered search was sent, 0 for none.
    `answered_at` is when its answer was recorded.
    """

    held: HeldSnapshots
    seen_at: float
    search_sent_at: float = 0.0
    answered_at: float = float("-inf")


class SnapshotRate:
    """The rate at which new snapshots of a collection appear."""

    def __init__(self) -> None:
        self.samples: deque[tuple[float, Snapshot]] = deque(maxlen=MAX_RATE_SAMPLES)

    def note(self, newest: Snapshot, now: float) -> None:
        """Record when a newest snapshot was first seen, in seconds."""
        if not self.samples or newest > self.samples[-1][1]:
            self.samples.append((now, newest))

    @property
    def seconds_per_snapshot(self) -> float | None:
        """The mean seconds between snapshots, or None with too few samples."""
        if len(self.samples) < MIN_RATE_SAMPLES:
            return None
        (first_at, first), (last_at, last) = self.samples[0], self.samples[-1]
        return (last_at - first_at) / (last - first)


class SnapshotTracker:
    """Tracks which replica holds which snapshots, from answers and health reports.

    A search answer replaces the recorded range, even with older snapshots, unless
    the answer to a search that was sent later has been recorded. A health report
    may lag, so it is ignored for ANSWER_PRECEDENCE_S seconds after an answer.
    """

    def __init__(self, clock: Clock | None = None) -> None:
        self.clock = clock or SystemClock()
        self.known: dict[ReplicaKey, KnownReplica] = {}
        self.rates: dict[CollectionName, SnapshotRate] = {}

    def observe(
        self,
        collection: CollectionName,
        shard: ShardId,
        target: TargetId,
        held: HeldSnapshots,
        search_sent_at: float | None = None,
    ) -> None:
        """Record the snapshots that a replica reports.

        `search_sent_at` is when the search was sent, in seconds, or None for a
        health report. A restarted replica may hold fewer snapshots than before.
        """
        now = self.clock.now()
        key = (collection, shard, target)
        known = self.known.get(key)
        if known is None:
            known = self.known[key] = KnownReplica(held, now)
        if search_sent_at is not None:
            if search_sent_at < known.search_sent_at:
                return
            known.search_sent_at = search_sent_at
            known.answered_at = now
        elif now - known.answered_at < ANSWER_PRECEDENCE_S:
            return
        known.held = held
        known.seen_at = now
        rate = self.rates.get(collection)
        if rate is None:
            rate = self.rates[collection] = SnapshotRate()
        rate.note(held.newest, now)

    def drop_stale(self) -> None:
        """Evict the replicas without a report in the last STALE_AFTER_S seconds."""
        oldest = self.clock.now() - STALE_AFTER_S
        self.known = {
            key: known for key, known in self.known.items() if known.seen_at >= oldest
        }

    def remove_target(self, target: TargetId) -> None:
        """Remove all records of a target."""
        self.known = {
            key: known for key, known in self.known.items() if key[2] != target
        }

    def get_held(
        self, collection: CollectionName, shard: ShardId, target: TargetId
    ) -> HeldSnapshots | None:
        """Return the snapshots that a replica reported recently, or None."""
        known = self.known.get((collection, shard, target))
        if known is None or self.clock.now() - known.seen_at > STALE_AFTER_S:
            return None
        return known.held

    def get_held_by_shard(
        self, collection: CollectionName, shards: ShardReplicas
    ) -> list[list[HeldSnapshots]]:
        """Return what the replicas of each shard hold.

        The list leaves out shards without a recent report of any replica.
        """
        found = []
        known = self.known
        fresh_from = self.clock.now() - STALE_AFTER_S
        for shard, targets in shards:
            held = [
                replica.held
                for target in targets
                if (replica := known.get((collection, shard, target))) is not None
                and replica.seen_at >= fresh_from
            ]
            if held:
                found.append(held)
        return found

    def choose(
        self, collection: CollectionName, shards: ShardReplicas, at_least: Snapshot
    ) -> Snapshot | None:
        """Return the snapshot that a query should be pinned to.

        The newest snapshot that two replicas of every shard hold is preferred,
        since a hedge or a retry can then be served, unless it is much older than
        the newest one that a single replica of every shard holds. If no snapshot
        is held for every shard, the result is the one that the most shards can
        serve. It is never older than `at_least`. Return None if no replica is
        known and `at_least` is 0.
        """
        held = self.get_held_by_shard(collection, shards)
        if not held:
            return at_least or None
        single = find_common_snapshot(held, replicas=1)
        paired = find_common_snapshot(held, replicas=2)
        if paired is not None and paired >= max(
            at_least, (single or 0) - get_allowed_lag(held)
        ):
            return paired
        if single is not None and single >= at_least:
            return single
        return max(find_most_available_snapshot(held, at_least), at_least)

    def is_held(
        self, collection: CollectionName, shards: ShardReplicas, snapshot: Snapshot
    ) -> bool:
        """Return whether a replica of every known shard holds the snapshot."""
        held = self.get_held_by_shard(collection, shards)
        return count_shards_holding(held, snapshot) == len(held)

    def get_ready_time(
        self,
        collection: CollectionName,
        shard: tuple[ShardId, Sequence[TargetId]],
        snapshot: Snapshot,
    ) -> float | None:
        """Return when a replica of the shard should hold the snapshot, in seconds.

        A time in the past means that a replica holds it, infinity that all
        replicas have dropped it, and None that the time cannot be predicted.
        """
        times = [
            self.get_replica_ready_time(collection, shard[0], target, snapshot)
            for target in shard[1]
        ]
        earliest = min((time for time in times if time is not None), default=None)
        if earliest == float("inf") and None in times:
            return None
        return earliest

    def get_replica_ready_time(
        self,
        collection: CollectionName,
        shard: ShardId,
        target: TargetId,
        snapshot: Snapshot,
    ) -> float | None:
        """Return the same as `get_ready_time` for a single replica."""
        held = self.get_held(collection, shard, target)
        if held is None:
            return None
        known = self.known[(collection, shard, target)]
        seen_at = known.seen_at
        if snapshot <= held.newest:
            return seen_at if snapshot >= held.oldest else float("inf")
        if known.answered_at < seen_at:
            # A health report lags by an unknown time, so a prediction based on
            # it would be too late.
            return None
        rate = self.rates.get(collection)
        seconds_per_snapshot = rate.seconds_per_snapshot if rate else None
        if seconds_per_snapshot is None:
            return None
        return seen_at + (snapshot - held.newest) * seconds_per_snapshot


def find_common_snapshot(
    held: list[list[HeldSnapshots]], replicas: int
) -> Snapshot | None:
    """Return the newest snapshot that enough replicas of every shard hold safely.

    Enough means `replicas`, or all replicas of a shard that has fewer. Safely means
    that a replica is not about to drop the snapshot. The candidate starts at the
    lowest upper bound of the shards, which is usually the result. Each pass lowers it
    to the newest snapshot that a shard allows, until every shard allows it. Return
    None if there is no such snapshot.
    """
    snapshot = min(get_upper_bound(shard, replicas) for shard in held)
    is_settled = False
    while not is_settled:
        is_settled = True
        for shard in held:
            allowed = find_newest_snapshot(shard, snapshot, min(replicas, len(shard)))
            if allowed is None:
                return None
            if allowed < snapshot:
                snapshot = allowed
                is_settled = False
    return snapshot


def get_upper_bound(shard: list[HeldSnapshots], replicas: int) -> Snapshot:
    """Return the newest snapshot that enough replicas have reached."""
    if len(shard) == 1:
        return shard[0].newest
    return sorted([item.newest for item in shard])[-min(replicas, len(shard))]


def find_newest_snapshot(
    shard: list[HeldSnapshots], at_most: Snapshot, replicas: int
) -> Snapshot | None:
    """Return the newest snapshot up to `at_most` that enough replicas hold safely."""
    holders = 0
    for item in shard:
        if item.newest >= at_most >= item.oldest_safe:
            holders += 1
            if holders >= replicas:
                return at_most
    for candidate in sorted({item.newest for item in shard}, reverse=True):
        if candidate >= at_most:
            continue
        holders = sum(item.oldest_safe <= candidate <= item.newest for item in shard)
        if holders >= replicas:
            return candidate
    return None


def find_most_available_snapshot(
    held: list[list[HeldSnapshots]], at_least: Snapshot
) -> Snapshot:
    """Return the snapshot that the most shards can serve; the newest on a tie."""
    candidates = {item.newest for shard in held for item in shard} | {at_least}
    return max(
        (item for item in candidates if item >= at_least),
        key=lambda snapshot: (count_shards_holding(held, snapshot), snapshot),
    )


def count_shards_holding(held: list[list[HeldSnapshots]], snapshot: Snapshot) -> int:
    """Return the number of shards with a replica that holds the snapshot."""
    return sum(any(item.holds(snapshot) for item in shard) for shard in held)


def get_allowed_lag(held: list[list[HeldSnapshots]]) -> int:
    """Return how many snapshots older the choice may be if two replicas hold it."""
    narrowest = min(item.newest - item.oldest for shard in held for item in shard)
    return max(1, narrowest // SAFETY_MARGIN_DIVISOR)


def list_replicas(shards: Iterable) -> list[tuple[ShardId, Sequence[TargetId]]]:
    """Return the id and the replicas of each published or planned shard."""
    return [(shard.id, shard.replicas) for shard in shards]
