"""Typed values of the documents that the platform publishes.

The configuration document lists the targets, collections, callers and presets, and
names the preset in force. The VM list contains the entry VMs. Decoding checks
types and bounds. The module `rules` checks that the parts of a document are
consistent.
"""

from enum import Enum
from typing import Annotated

import msgspec

from ..core.search.ranges import KEY_SPACE, KeyRange
from ..ids import (
    CallerName,
    CollectionName,
    ConfigVersion,
    DataCentre,
    EntryId,
    ShardId,
    TargetId,
)

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=100)]
Fraction = Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]
Quantile = Annotated[float, msgspec.Meta(gt=0.0, lt=1.0)]
ExtraLoad = Annotated[float, msgspec.Meta(ge=0.0, le=0.5)]
LatencyFactor = Annotated[float, msgspec.Meta(ge=1.0, le=100.0)]
MAX_COUNT = 1_000_000_000  # Of calls, connections or milliseconds.
MAX_VERSION = 2**63 - 1
MAX_VMS = 4_096  # Entries do work for each VM of the list.
Positive = Annotated[int, msgspec.Meta(ge=1, le=MAX_COUNT)]
Version = Annotated[int, msgspec.Meta(ge=0, le=MAX_VERSION)]


class PresetName(Enum):
    """The presets; exactly one is in force at any time."""

    ORDINARY = "ordinary"
    PEAK = "peak"
    MAINTENANCE = "maintenance"


class CallerClass(Enum):
    """Priority classes of callers; FIRST has the highest priority."""

    FIRST = "first"
    SECOND = "second"
    THIRD = "third"


class TargetState(Enum):
    """The state of a target, as set by the operators."""

    SERVING = "serving"
    LEAVING = "leaving"


class VmState(Enum):
    """The state of an entry VM, as published by the platform."""

    LIVE = "live"
    LEAVING = "leaving"


class Document(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True
):
    """Base class of the published documents and their parts."""


class Target(Document, frozen=True):
    """A backend instance: its address, limits and state.

    `slots` is the number of calls that it runs at a time. `connections` is the limit
    on its connections from all processes together.
    """

    address: Name
    data_centre: DataCentre
    slots: Positive = 2
    connections: Positive = 25
    state: TargetState = TargetState.SERVING


class Shard(Document, frozen=True):
    """A range of key positions of a collection, and the targets that store it."""

    id: ShardId
    start: Annotated[int, msgspec.Meta(ge=0, lt=KEY_SPACE)]
    end: Annotated[int, msgspec.Meta(gt=0, le=KEY_SPACE)]
    replicas: Annotated[tuple[TargetId, ...], msgspec.Meta(min_length=1)]

    @property
    def range(self) -> KeyRange:
        """The positions of the shard."""
        return KeyRange(self.start, self.end)


class Collection(Document, frozen=True):
    """A searchable collection of records, partitioned into shards."""

    shards: Annotated[tuple[Shard, ...], msgspec.Meta(min_length=1)]

    def get_shard(self, position: int) -> Shard:
        """Return the shard that contains the position, or raise LookupError."""
        for shard in self.shards:
            if shard.range.contains(position):
                return shard
        raise LookupError(f"no shard holds position {position}")


class Caller(Document, frozen=True):
    """A caller that is allowed to use the system, and its priority class."""

    priority: CallerClass = CallerClass.SECOND


class Policy(Document, frozen=True):
    """The policy that a preset sets; times are in milliseconds.

    `hedge_budget` and `retry_budget` are fractions of the shard requests sent.
    `max_ejected` is the share of a collection's targets that may be ejected at the
    same time. `first_class_latency` is a fraction of the default deadline and
    `lower_class_latency` a multiple of the latency without overload; both limit the
    median latency of a collection. The third class is admitted up to
    `third_class_share` of the limit of the lower classes. Each completed query
    allows each lower class `lower_class_floor` queries beyond its limit.
    """

    default_deadline_ms: Positive = 1_000
    max_deadline_ms: Positive = 10_000
    hedge_quantile: Quantile = 0.99
    hedge_budget: ExtraLoad = 0.045
    retry_budget: ExtraLoad = 0.1
    max_ejected: Fraction = 0.3
    first_class_latency: Fraction = 0.4
    lower_class_latency: LatencyFactor = 3.0
    third_class_share: Fraction = 0.6
    lower_class_floor: ExtraLoad = 0.02


class Configuration(Document, frozen=True):
    """The configuration document."""

    deployment: Name
    preset: PresetName
    targets: dict[TargetId, Target]
    collections: dict[CollectionName, Collection]
    callers: dict[CallerName, Caller]
    presets: dict[PresetName, Policy] = {}

    @property
    def policy(self) -> Policy:
        """The policy of the preset in force."""
        return self.presets.get(self.preset, DEFAULT_POLICIES[self.preset])


class PublishedConfiguration(msgspec.Struct, frozen=True):
    """A configuration as the platform publishes it.

    `document` is decoded only when it is validated. `published_at` is in seconds
    since the Unix epoch by the platform's clock.
    """

    version: Annotated[ConfigVersion, msgspec.Meta(ge=0, le=MAX_VERSION)]
    document: msgspec.Raw
    published_at: float = 0.0


class Vm(Document, frozen=True):
    """One entry VM in the platform's list."""

    id: EntryId
    address: Name
    peer_address: Name
    data_centre: DataCentre
    state: VmState = VmState.LIVE


class PublishedVms(msgspec.Struct, frozen=True):
    """The platform's list of entry VMs, each listed once."""

    version: Version
    vms: Annotated[tuple[Vm, ...], msgspec.Meta(max_length=MAX_VMS)]

    def __post_init__(self) -> None:
        """Raise ValueError if the list contradicts itself."""
        seen: set[EntryId] = set()
        for vm in self.vms:
            if vm.id in seen:
                raise ValueError(f"the VM {vm.id!r} is listed more than once")
            seen.add(vm.id)


DEFAULT_POLICIES = {
    PresetName.ORDINARY: Policy(),
    PresetName.PEAK: Policy(
        default_deadline_ms=800,
        hedge_budget=0.01,
        retry_budget=0.05,
        max_ejected=0.2,
        lower_class_latency=2.0,
        third_class_share=0.4,
    ),
    PresetName.MAINTENANCE: Policy(
        default_deadline_ms=3_000,
        retry_budget=0.3,
        max_ejected=0.5,
        first_class_latency=0.2,
        lower_class_latency=4.0,
    ),
}
