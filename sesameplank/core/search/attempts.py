"""Attempts of a query: the calls that it makes to targets, and their kinds."""

from enum import Enum

import msgspec

from ...ids import AttemptId, CollectionName, ShardId, TargetId


class AttemptKind(Enum):
    """Why an attempt was sent."""

    FIRST = "first"
    RETRY = "retry"
    HEDGE = "hedge"
    PROBE = "probe"


class Attempt(msgspec.Struct, frozen=True):
    """One call to one target for one or more shards; `sent_at` is in seconds."""

    id: AttemptId
    kind: AttemptKind
    collection: CollectionName
    target: TargetId
    shards: tuple[ShardId, ...]
    sent_at: float
