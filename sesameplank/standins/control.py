"""Commands that steer the stand-ins, and the ground truth they report."""

import msgspec

from ..conf import PresetName
from ..ids import CollectionName, EntryId, ShardId, TargetId
from .proxy import Direction, Faults
from .store import Change, ExecutedBooking
from .targets import TargetTruth


class SlowTargets(msgspec.Struct, frozen=True, tag="slow_targets"):
    """Multiply the service times of some targets."""

    targets: tuple[TargetId, ...]
    factor: float


class StopTargets(msgspec.Struct, frozen=True, tag="stop_targets"):
    """Kill targets: their connections break and no new ones are accepted."""

    targets: tuple[TargetId, ...]


class StartTargets(msgspec.Struct, frozen=True, tag="start_targets"):
    """Start stopped targets again, cold."""

    targets: tuple[TargetId, ...]


class DrainTargets(msgspec.Struct, frozen=True, tag="drain_targets"):
    """Let targets say in answers and health that they are leaving."""

    targets: tuple[TargetId, ...]


class LeaveTargets(msgspec.Struct, frozen=True, tag="leave_targets"):
    """Publish a configuration in which targets are leaving."""

    targets: tuple[TargetId, ...]


class SetPreset(msgspec.Struct, frozen=True, tag="set_preset"):
    """Publish the configuration with another preset."""

    preset: PresetName


class PublishDocument(msgspec.Struct, frozen=True, tag="publish_document"):
    """Publish a document as it is, valid or not."""

    document: str


class SplitShard(msgspec.Struct, frozen=True, tag="split_shard"):
    """Publish a configuration in which a shard is cut into two halves."""

    collection: CollectionName
    shard: ShardId


class MoveShard(msgspec.Struct, frozen=True, tag="move_shard"):
    """Move a shard to other targets; the old ones drop it a while later."""

    collection: CollectionName
    shard: ShardId
    replicas: tuple[TargetId, ...]


class SetVms(msgspec.Struct, frozen=True, tag="set_vms"):
    """Publish a VM list in which some are leaving and some are gone."""

    leaving: tuple[EntryId, ...] = ()
    gone: tuple[EntryId, ...] = ()


class SetPlatform(msgspec.Struct, frozen=True, tag="set_platform"):
    """Take the service down, or freeze what it answers at an older version."""

    down: bool = False
    frozen_version: int | None = None


class SetTargetFaults(msgspec.Struct, frozen=True, tag="set_target_faults"):
    """Put faults in force between entries and some targets, or all."""

    faults: Faults
    targets: tuple[TargetId, ...] = ()


class PartitionEntries(msgspec.Struct, frozen=True, tag="partition_entries"):
    """Cut two groups of entries off from each other."""

    left: tuple[EntryId, ...]
    right: tuple[EntryId, ...]


class LoseBetween(msgspec.Struct, frozen=True, tag="lose_between"):
    """Lose what one entry sends to another."""

    source: EntryId
    sink: EntryId


class HealEntries(msgspec.Struct, frozen=True, tag="heal_entries"):
    """Lift every fault between entries."""


Command = (
    SlowTargets
    | StopTargets
    | StartTargets
    | DrainTargets
    | LeaveTargets
    | SetPreset
    | PublishDocument
    | SplitShard
    | MoveShard
    | SetVms
    | SetPlatform
    | SetTargetFaults
    | PartitionEntries
    | LoseBetween
    | HealEntries
)


class CollectionTruth(msgspec.Struct, frozen=True):
    """All that happened to a collection's records held in one process."""

    changes: tuple[Change, ...]
    ledger: tuple[ExecutedBooking, ...]


class Truth(msgspec.Struct, frozen=True):
    """The ground truth of one process of stand-ins."""

    collections: dict[CollectionName, CollectionTruth]
    targets: dict[TargetId, TargetTruth]
    platform_calls: int
    platform_peak_calls_per_s: int
    published_versions: tuple[int, ...]


__all__ = ["Command", "Direction", "Truth"]
