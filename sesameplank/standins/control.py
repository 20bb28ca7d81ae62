"""Control commands for the stand-ins, and the ground truth that they report."""

import msgspec

from ..conf import PresetName
from ..ids import CollectionName, EntryId, ShardId, TargetId
from .proxy import Direction, Faults
from .store import Change, ExecutedBooking
from .targets import TargetTruth


class SlowTargets(msgspec.Struct, frozen=True, tag="slow_targets"):
    """Multiply the service times of targets by a factor; 1.0 restores them."""

    targets: tuple[TargetId, ...]
    factor: float


class StopTargets(msgspec.Struct, frozen=True, tag="stop_targets"):
    """Kill targets: break their connections and refuse new ones."""

    targets: tuple[TargetId, ...]


class StartTargets(msgspec.Struct, frozen=True, tag="start_targets"):
    """Start stopped targets again; they serve slowly at first."""

    targets: tuple[TargetId, ...]


class DrainTargets(msgspec.Struct, frozen=True, tag="drain_targets"):
    """Make targets report in answers and health reports that they are leaving."""

    targets: tuple[TargetId, ...]


class LeaveTargets(msgspec.Struct, frozen=True, tag="leave_targets"):
    """Publish a configuration that marks targets as leaving."""

    targets: tuple[TargetId, ...]


class SetPreset(msgspec.Struct, frozen=True, tag="set_preset"):
    """Publish the configuration with another preset."""

    preset: PresetName


class PublishDocument(msgspec.Struct, frozen=True, tag="publish_document"):
    """Publish a configuration document unchanged, even if it is invalid."""

    document: str


class SplitShard(msgspec.Struct, frozen=True, tag="split_shard"):
    """Publish a configuration in which a shard is split into two halves."""

    collection: CollectionName
    shard: ShardId


class MoveShard(msgspec.Struct, frozen=True, tag="move_shard"):
    """Move a shard to other targets; the previous owners drop it after a delay."""

    collection: CollectionName
    shard: ShardId
    replicas: tuple[TargetId, ...]


class SetVms(msgspec.Struct, frozen=True, tag="set_vms"):
    """Publish a VM list that marks some VMs as leaving and leaves others out."""

    leaving: tuple[EntryId, ...] = ()
    gone: tuple[EntryId, ...] = ()


class SetPlatform(msgspec.Struct, frozen=True, tag="set_platform"):
    """Take the configuration service down, or make it serve an old version.

    While `frozen_version` is set, the service returns no newer configuration.
    The default values restore normal service.
    """

    down: bool = False
    frozen_version: int | None = None


class SetTargetFaults(msgspec.Struct, frozen=True, tag="set_target_faults"):
    """Inject faults between entries and the listed targets; an empty list means all."""

    faults: Faults
    targets: tuple[TargetId, ...] = ()


class PartitionEntries(msgspec.Struct, frozen=True, tag="partition_entries"):
    """Partition the network between two groups of entries."""

    left: tuple[EntryId, ...]
    right: tuple[EntryId, ...]


class LoseBetween(msgspec.Struct, frozen=True, tag="lose_between"):
    """Block the traffic from one entry to another, but not the reverse direction."""

    source: EntryId
    sink: EntryId


class HealEntries(msgspec.Struct, frozen=True, tag="heal_entries"):
    """Remove all faults between entries."""


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
    """The changes and bookings of a collection in one process of stand-ins.

    `changes` covers the key ranges that the targets of the process own, and
    `ledger` holds all bookings that they have executed.
    """

    changes: tuple[Change, ...]
    ledger: tuple[ExecutedBooking, ...]


class Truth(msgspec.Struct, frozen=True):
    """The ground truth of one process of stand-ins.

    Checks compare it with what entries and callers report.
    """

    collections: dict[CollectionName, CollectionTruth]
    targets: dict[TargetId, TargetTruth]
    platform_calls: int
    platform_peak_calls_per_s: int
    published_versions: tuple[int, ...]


__all__ = ["Command", "Direction", "Truth"]
