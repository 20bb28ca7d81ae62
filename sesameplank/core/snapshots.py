"""Choice of the one index snapshot that a query is pinned to."""

from collections.abc import Iterable

import msgspec

from ..ids import CollectionName, ShardId, Snapshot, TargetId


class HeldSnapshots(msgspec.Struct, frozen=True):
    """The snapshots that one replica was last seen to hold, both inclusive."""

    oldest: Snapshot
    newest: Snapshot

    def holds(self, snapshot: Snapshot) -> bool:
        """Tell whether the snapshot lies between oldest and newest."""
        return self.oldest <= snapshot <= self.newest


class SnapshotTracker:
    """Remembers which replica holds which snapshots, from answers and health.

    What is remembered may be out of date in either direction; a replica that
    lacks a pinned snapshot says so, and the query is planned again.
    """

    def __init__(self) -> None:
        self.held: dict[tuple[CollectionName, ShardId, TargetId], HeldSnapshots] = {}

    def observe(
        self,
        collection: CollectionName,
        shard: ShardId,
        target: TargetId,
        held: HeldSnapshots,
    ) -> None:
        """Record what a replica said it holds; older news is ignored."""
        key = (collection, shard, target)
        known = self.held.get(key)
        if known is None or (held.newest, held.oldest) > (known.newest, known.oldest):
            self.held[key] = held

    def forget_target(self, target: TargetId) -> None:
        """Drop all that is known of a target."""
        for key in [key for key in self.held if key[2] == target]:
            del self.held[key]

    def get_held(
        self, collection: CollectionName, shard: ShardId, target: TargetId
    ) -> HeldSnapshots | None:
        """Return what the replica was last seen to hold, or None."""
        return self.held.get((collection, shard, target))

    def choose(
        self,
        collection: CollectionName,
        shards: Iterable[tuple[ShardId, Iterable[TargetId]]],
        at_least: Snapshot,
    ) -> Snapshot | None:
        """Return the newest snapshot that some replica of every shard holds.

        Shards of which nothing is known do not count. The result is never
        below `at_least`; None means that nothing is known at all.
        """
        newest: Snapshot | None = None
        for shard, targets in shards:
            known = [
                held.newest
                for target in targets
                if (held := self.get_held(collection, shard, target)) is not None
            ]
            if known and (newest is None or max(known) < newest):
                newest = max(known)
        if newest is None:
            return at_least or None
        return max(newest, at_least)
