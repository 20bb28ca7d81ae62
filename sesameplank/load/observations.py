"""What callers, stand-ins and the coordinator saw in one run."""

from enum import Enum

import msgspec

from ..core.messages import BookingAnswer, Record, SearchAnswer
from ..ids import CollectionName, Snapshot, TargetId
from ..standins.store import RunBooking


class Outcome(Enum):
    """What a caller was told in the end."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class AttemptFailure(msgspec.Struct, frozen=True):
    """One call of a caller to an entry that brought no answer.

    `cause` is the type of the error underneath, empty for a refusal.
    """

    address: str
    at: float
    kind: str
    cause: str = ""


class Observation(msgspec.Struct):
    """One arrival as its caller saw it; times in milliseconds.

    `late_ms` is how long after its due time it was sent; `latency_ms` counts
    from the due time, so that a busy generator or system hides no waiting.
    """

    index: int
    late_ms: float
    latency_ms: float
    outcome: Outcome
    kind: str = ""
    answered_by: str = ""
    at_least: Snapshot = Snapshot(0)
    answer: SearchAnswer | None = None
    booking: BookingAnswer | None = None
    failures: tuple[AttemptFailure, ...] = ()


class WorkerReport(msgspec.Struct):
    """All that one generator process saw, and its processor seconds."""

    observations: list[Observation]
    processor_s: float


class Run(msgspec.Struct, frozen=True, array_like=True):
    """One search call that a target ran: when it began, and what it served OK.

    `begun_at` is in seconds of the machine's monotonic clock.
    """

    request_id: str
    begun_at: float
    snapshot: Snapshot
    shards: int


class TargetTruth(msgspec.Struct):
    """What one stand-in target knows of the calls it took."""

    target: TargetId
    runs: list[Run]
    connections_limit: int
    connections_peak: int = 0
    over_limit: int = 0
    leaving_since: float | None = None


class Change(msgspec.Struct, frozen=True, array_like=True):
    """A record's value from a snapshot on."""

    snapshot: Snapshot
    record: Record


class CollectionTruth(msgspec.Struct):
    """The change log and the booking ledger of one collection."""

    collection: CollectionName
    changes: list[Change]
    ledger: list[RunBooking]


class GroundTruth(msgspec.Struct):
    """All that the stand-ins know of a run; traffic in bytes."""

    collections: list[CollectionTruth] = []
    targets: list[TargetTruth] = []
    control_bytes: int = 0


class Sighting(msgspec.Struct, frozen=True):
    """A configuration version that an entry showed.

    It was asked at `begun_at` and had answered by `ended_at`, both monotonic.
    """

    entry: str
    begun_at: float
    ended_at: float
    version: int
