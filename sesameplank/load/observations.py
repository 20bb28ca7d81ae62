"""What callers and the coordinator saw in one run."""

from enum import Enum

import msgspec

from ..core.messages import BookingAnswer, SearchAnswer
from ..ids import Snapshot


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


class VersionObservation(msgspec.Struct, frozen=True):
    """A configuration version that an entry showed.

    It was asked at `begun_at` and had answered by `ended_at`, both monotonic.
    """

    entry: str
    begun_at: float
    ended_at: float
    version: int
