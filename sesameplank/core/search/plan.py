"""The plan of a query: one snapshot, one shard map, one range for each shard."""

from collections.abc import Iterable

import msgspec

from ...ids import CollectionName, ConfigVersion, ShardId, Snapshot, TargetId
from .ranges import KeyRange

NO_VERSION = ConfigVersion(0)


class PlannedShard(msgspec.Struct, frozen=True):
    """One shard of a plan and the replicas that may serve it."""

    id: ShardId
    range: KeyRange
    replicas: tuple[TargetId, ...]


class Plan(msgspec.Struct, frozen=True):
    """The snapshot and shards of a query; every attempt is pinned to them.

    `config_version` and `preset` are those of the configuration that defines the
    shards.
    """

    collection: CollectionName
    snapshot: Snapshot
    shards: tuple[PlannedShard, ...]
    config_version: ConfigVersion = NO_VERSION
    preset: str = ""


def make_plan(
    collection: CollectionName,
    snapshot: Snapshot,
    shards: Iterable[PlannedShard],
    config_version: ConfigVersion = NO_VERSION,
    preset: str = "",
) -> Plan:
    """Return the plan of a query over disjoint shards."""
    return Plan(collection, snapshot, tuple(shards), config_version, preset)
