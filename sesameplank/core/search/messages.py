"""Messages of the callers' API and of the calls to targets.

Both travel as JSON over HTTP. The platform defines the API of the targets. Times
are in milliseconds.
"""

from enum import Enum
from typing import Annotated, Any

import msgspec

from ...ids import (
    CollectionName,
    ConfigVersion,
    IdempotencyKey,
    RecordKey,
    RequestId,
    ShardId,
    Snapshot,
    TargetId,
)
from ..common.outcomes import Ran
from .coverage import Coverage

MAX_LIMIT = 1_000
Text = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
MAX_SNAPSHOT = 2**63 - 1
MAX_TOTAL = 2**63 - 1
StatedSnapshot = Annotated[Snapshot, msgspec.Meta(ge=0, le=MAX_SNAPSHOT)]


class Message(msgspec.Struct, frozen=True, omit_defaults=True):
    """Base of messages that ignore unknown fields, such as fields added later."""


class StrictMessage(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True
):
    """Base of callers' requests, in which an unknown field is an error."""


class Filter(StrictMessage, frozen=True):
    """A filter that matches records whose field equals the value."""

    field: Text
    equals: str | int | float | bool


class Order(StrictMessage, frozen=True):
    """The sort order of hits: by a field, ties by ascending record key."""

    field: Text = "key"
    descending: bool = False


class SearchRequest(StrictMessage, frozen=True):
    """A caller's query over a whole collection."""

    collection: CollectionName
    terms: tuple[Text, ...] = ()
    filters: tuple[Filter, ...] = ()
    order: Order = Order()
    limit: Annotated[int, msgspec.Meta(ge=0, le=MAX_LIMIT)] = 10
    deadline_ms: Annotated[int, msgspec.Meta(ge=1)] | None = None
    at_least_snapshot: Annotated[int, msgspec.Meta(ge=0)] = 0
    min_coverage: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.0
    explain: bool = False


class Record(Message, frozen=True):
    """One record: its key and fields."""

    key: RecordKey
    fields: dict[str, str | int | float | bool]


class ShardExplanation(Message, frozen=True):
    """How one shard of a query was served."""

    shard: ShardId
    target: TargetId | None
    attempts: int
    hedged: bool
    elapsed_ms: float
    missing: str | None = None


class Explanation(Message, frozen=True):
    """How a query was served: its shards, plans, calls and times."""

    shards: tuple[ShardExplanation, ...]
    plans: int
    target_calls: int
    slowest_target_ms: float
    elapsed_ms: float


class SearchAnswer(Message, frozen=True):
    """The merged answer for one snapshot, with its coverage."""

    request_id: RequestId
    collection: CollectionName
    snapshot: Snapshot
    config_version: ConfigVersion
    preset: str
    total: int
    hits: tuple[Record, ...]
    coverage: Coverage
    explanation: Explanation | None = None


class BookingRequest(StrictMessage, frozen=True):
    """A caller's non-idempotent request to reserve stock of one record."""

    collection: CollectionName
    record: Annotated[RecordKey, msgspec.Meta(min_length=1, max_length=200)]
    quantity: Annotated[int, msgspec.Meta(ge=1)] = 1
    deadline_ms: Annotated[int, msgspec.Meta(ge=1)] | None = None


class BookingResult(Enum):
    """The decision of a target about a booking that it executed."""

    ACCEPTED = "accepted"
    DECLINED = "declined"


class BookingAnswer(Message, frozen=True):
    """The result of an executed booking, and the snapshot that contains it."""

    request_id: RequestId
    idempotency_key: IdempotencyKey
    result: BookingResult
    snapshot: Snapshot
    config_version: ConfigVersion


class WriterAnswer(Message, frozen=True):
    """An issued writer id, which is the prefix of idempotency keys.

    New keys are accepted until `open_ms` after the id was issued. The outcome of
    each key is stored until `keep_ms` after the id was issued.
    """

    writer: str
    open_ms: int
    keep_ms: int


class BookingState(Enum):
    """The state of an idempotency key."""

    NEW = "new"
    RUNNING = "running"
    ANSWERED = "answered"
    UNKNOWN = "unknown"
    CLOSED = "closed"


class BookingStatus(Message, frozen=True):
    """The known state of an idempotency key and its booking.

    `ran` is NOT_RUN only if the booking was not executed and never will be.
    """

    idempotency_key: IdempotencyKey
    state: BookingState
    ran: Ran
    detail: str
    booking: BookingAnswer | None = None


class ShardStatus(Enum):
    """The status that a target returns for one shard of a search call."""

    OK = "ok"
    SNAPSHOT_MISSING = "snapshot_missing"
    NOT_OWNED = "not_owned"
    SHED = "shed"


class ShardRequest(Message, frozen=True):
    """The part of a search call that concerns one shard."""

    shard: ShardId
    start: int
    end: int


class TargetSearch(Message, frozen=True):
    """A search call to one target, for all shards requested from it."""

    request_id: RequestId
    collection: CollectionName
    snapshot: Snapshot
    deadline_ms: int
    shards: tuple[ShardRequest, ...]
    terms: tuple[str, ...] = ()
    filters: tuple[Filter, ...] = ()
    order: Order = Order()
    limit: int = 10


class ShardResult(Message, frozen=True):
    """A target's answer for one shard.

    `oldest` to `newest` is the range of snapshots that the target holds.
    """

    shard: ShardId
    status: ShardStatus
    oldest: StatedSnapshot
    newest: StatedSnapshot
    total: Annotated[int, msgspec.Meta(ge=0, le=MAX_TOTAL)] = 0
    hits: tuple[Record, ...] = ()


class TargetSearchAnswer(Message, frozen=True):
    """A target's answer to a search call.

    `limit_per_s` is the number of requests a second that the target takes from all
    processes together, as long as its answers name it; None is no limit. Other values
    than numbers are ignored, so that they don't spoil the answer.
    """

    request_id: RequestId
    snapshot: StatedSnapshot
    results: tuple[ShardResult, ...]
    draining: bool = False
    limit_per_s: Any = None


class CancelRequest(Message, frozen=True):
    """A request to cancel a search that the target has not finished."""

    request_id: RequestId


class TargetBooking(Message, frozen=True):
    """A booking as it is sent to the target that owns the record's shard."""

    request_id: RequestId
    idempotency_key: IdempotencyKey
    collection: CollectionName
    record: RecordKey
    quantity: int
    deadline_ms: int


class TargetBookingStatus(Enum):
    """The status that a target returns for a booking; only RAN means executed."""

    RAN = "ran"
    NOT_OWNED = "not_owned"
    SHED = "shed"


class TargetBookingAnswer(Message, frozen=True):
    """A target's answer to a booking."""

    request_id: RequestId
    status: TargetBookingStatus
    result: BookingResult | None = None
    snapshot: StatedSnapshot = Snapshot(0)
    draining: bool = False
    limit_per_s: Any = None


class TargetShardHealth(Message, frozen=True):
    """The range of snapshots that a target holds for one shard."""

    collection: CollectionName
    shard: ShardId
    oldest: StatedSnapshot
    newest: StatedSnapshot


class TargetHealth(Message, frozen=True):
    """A target's health and load report, which may lag or mislead."""

    state: str
    load: float
    shards: tuple[TargetShardHealth, ...] = ()
    limit_per_s: Any = None
