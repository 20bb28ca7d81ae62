"""Choice of the one index snapshot that a query is pinned to.

What is remembered of a replica may be out of date in either direction; a
replica that lacks a pinned snapshot says so, and the query is planned again.
"""

from collections import deque
from collections.abc import Iterable, Sequence

import msgspec

from ..ids import CollectionName, ShardId, Snapshot, TargetId
from .clock import Clock, SystemClock

SAFE_FRACTION = 4
STALE_S = 5.0
ANSWER_TRUST_S = 1.0
PROGRESS_POINTS = 16
MIN_PROGRESS_POINTS = 4

ShardReplicas = Sequence[tuple[ShardId, Sequence[TargetId]]]
ReplicaKey = tuple[CollectionName, ShardId, TargetId]


class HeldSnapshots(msgspec.Struct, frozen=True):
    """The snapshots that one replica was last seen to hold, both inclusive."""

    oldest: Snapshot
    newest: Snapshot

    def holds(self, snapshot: Snapshot) -> bool:
        """Tell whether the snapshot lies between oldest and newest."""
        return self.oldest <= snapshot <= self.newest

    @property
    def oldest_safe(self) -> Snapshot:
        """The oldest snapshot that is not about to be dropped."""
        return Snapshot(self.oldest + (self.newest - self.oldest) // SAFE_FRACTION)


class KnownReplica(msgspec.Struct):
    """What a replica was last seen to hold; times in seconds.

    `asked_at` is when the last answered search was sent, 0 for none.
    """

    held: HeldSnapshots
    seen_at: float
    asked_at: float = 0.0
    answered_at: float = float("-inf")


class Progress:
    """How fast the newest snapshot of a collection rises."""

    def __init__(self) -> None:
        self.points: deque[tuple[float, Snapshot]] = deque(maxlen=PROGRESS_POINTS)

    def note(self, newest: Snapshot, now: float) -> None:
        """Remember when a snapshot was seen first."""
        if not self.points or newest > self.points[-1][1]:
            self.points.append((now, newest))

    @property
    def seconds_each(self) -> float | None:
        """The seconds from one snapshot to the next, or None if not known."""
        if len(self.points) < MIN_PROGRESS_POINTS:
            return None
        (first_at, first), (last_at, last) = self.points[0], self.points[-1]
        return (last_at - first_at) / (last - first)


class SnapshotTracker:
    """Remembers which replica holds which snapshots, from answers and health.

    A search answer is believed in both directions, in the order in which the
    searches were sent. A health report may lag: it counts only while no search
    was answered for ANSWER_TRUST_S seconds.
    """

    def __init__(self, clock: Clock | None = None) -> None:
        self.clock = clock or SystemClock()
        self.known: dict[ReplicaKey, KnownReplica] = {}
        self.progress: dict[CollectionName, Progress] = {}

    def observe(
        self,
        collection: CollectionName,
        shard: ShardId,
        target: TargetId,
        held: HeldSnapshots,
        asked_at: float | None = None,
    ) -> None:
        """Record what a replica said it holds.

        `asked_at` is when the search was sent, in seconds, None for a health
        report. A restarted replica may hold less than before.
        """
        now = self.clock.now()
        key = (collection, shard, target)
        known = self.known.get(key)
        if known is None:
            known = self.known[key] = KnownReplica(held, now)
        if asked_at is not None:
            if asked_at < known.asked_at:
                return
            known.asked_at = asked_at
            known.answered_at = now
        elif now - known.answered_at < ANSWER_TRUST_S:
            return
        known.held = held
        known.seen_at = now
        progress = self.progress.get(collection)
        if progress is None:
            progress = self.progress[collection] = Progress()
        progress.note(held.newest, now)

    def drop_stale(self) -> None:
        """Forget the replicas of which nothing was heard for STALE_S seconds."""
        oldest = self.clock.now() - STALE_S
        self.known = {
            key: known for key, known in self.known.items() if known.seen_at >= oldest
        }

    def forget_target(self, target: TargetId) -> None:
        """Drop all that is known of a target."""
        self.known = {
            key: known for key, known in self.known.items() if key[2] != target
        }

    def get_held(
        self, collection: CollectionName, shard: ShardId, target: TargetId
    ) -> HeldSnapshots | None:
        """Return what the replica was lately seen to hold, or None."""
        known = self.known.get((collection, shard, target))
        if known is None or self.clock.now() - known.seen_at > STALE_S:
            return None
        return known.held

    def get_shards_held(
        self, collection: CollectionName, shards: ShardReplicas
    ) -> list[list[HeldSnapshots]]:
        """Return what the replicas of each shard hold; unknown shards are left out."""
        found = []
        known = self.known
        fresh_from = self.clock.now() - STALE_S
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
        """Return the newest snapshot that serves the query best.

        One that two replicas of every shard hold is preferred, since a hedge
        or a retry can then be served, unless it is much older than the newest
        that one replica of every shard holds. Where there is none, the one that
        most shards can serve is taken. The result is never below `at_least`;
        None means that nothing is known at all.
        """
        held = self.get_shards_held(collection, shards)
        if not held:
            return at_least or None
        single = find_common(held, replicas=1)
        paired = find_common(held, replicas=2)
        if paired is not None and paired >= max(at_least, (single or 0) - slack(held)):
            return paired
        if single is not None and single >= at_least:
            return single
        return max(find_most_served(held, at_least), at_least)

    def is_held(
        self, collection: CollectionName, shards: ShardReplicas, snapshot: Snapshot
    ) -> bool:
        """Tell whether a replica of every known shard holds the snapshot."""
        held = self.get_shards_held(collection, shards)
        return count_holding(held, snapshot) == len(held)

    def get_ready_time(
        self,
        collection: CollectionName,
        shard: tuple[ShardId, Sequence[TargetId]],
        snapshot: Snapshot,
    ) -> float | None:
        """Return when a replica of the shard should hold the snapshot, in seconds.

        A time in the past means that one holds it; infinity that all have
        dropped it; None that it can't be foreseen.
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
        """Return when one replica should hold the snapshot, as `get_ready_time`."""
        held = self.get_held(collection, shard, target)
        if held is None:
            return None
        known = self.known[(collection, shard, target)]
        seen_at = known.seen_at
        if snapshot <= held.newest:
            return seen_at if snapshot >= held.oldest else float("inf")
        if known.answered_at < seen_at:
            # A health report lags by a time that nobody states, so that what
            # is foreseen from it would come too late.
            return None
        progress = self.progress.get(collection)
        seconds_each = progress.seconds_each if progress else None
        if seconds_each is None:
            return None
        return seen_at + (snapshot - held.newest) * seconds_each


def find_common(held: list[list[HeldSnapshots]], replicas: int) -> Snapshot | None:
    """Return the newest snapshot that enough replicas of every shard hold safely.

    Enough is `replicas`, or all of a shard that has fewer. No snapshot can be
    above the lowest bound by `newest` alone, which mostly is the result. Each
    pass lowers it to the newest that the shard allows, until every shard allows it.
    """
    snapshot = min(get_bound(shard, replicas) for shard in held)
    is_settled = False
    while not is_settled:
        is_settled = True
        for shard in held:
            allowed = find_newest(shard, snapshot, min(replicas, len(shard)))
            if allowed is None:
                return None
            if allowed < snapshot:
                snapshot = allowed
                is_settled = False
    return snapshot


def get_bound(shard: list[HeldSnapshots], replicas: int) -> Snapshot:
    """Return the highest snapshot that enough replicas have reached."""
    if len(shard) == 1:
        return shard[0].newest
    return sorted([item.newest for item in shard])[-min(replicas, len(shard))]


def find_newest(
    shard: list[HeldSnapshots], at_most: Snapshot, replicas: int
) -> Snapshot | None:
    """Return the newest snapshot up to `at_most` that enough replicas hold."""
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


def find_most_served(held: list[list[HeldSnapshots]], at_least: Snapshot) -> Snapshot:
    """Return the newest of the snapshots that most shards can serve."""
    candidates = {item.newest for shard in held for item in shard} | {at_least}
    return max(
        (item for item in candidates if item >= at_least),
        key=lambda snapshot: (count_holding(held, snapshot), snapshot),
    )


def count_holding(held: list[list[HeldSnapshots]], snapshot: Snapshot) -> int:
    """Return the number of shards of which a replica holds the snapshot."""
    return sum(any(item.holds(snapshot) for item in shard) for shard in held)


def slack(held: list[list[HeldSnapshots]]) -> int:
    """Return how many snapshots older a safer choice may be."""
    narrowest = min(item.newest - item.oldest for shard in held for item in shard)
    return max(1, narrowest // SAFE_FRACTION)


def list_replicas(shards: Iterable) -> list[tuple[ShardId, Sequence[TargetId]]]:
    """Return id and replicas of shards, published or planned."""
    return [(shard.id, shard.replicas) for shard in shards]
